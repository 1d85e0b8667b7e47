package forwarder

import (
	"net/http"
	"testing"

	"monsoonswitch/asserter"
	"monsoonswitch/descriptor"
)

// TestStartingRefusal guards against an instance that is starting saying that work with a key did
// not run: an earlier request with the key may have run at another instance.
func TestStartingRefusal(t *testing.T) {
	for key, want := range map[string]descriptor.Outcome{"": descriptor.NotRun, "ticket.1": descriptor.MayHaveRun} {
		t.Run("key "+key, func(t *testing.T) {
			x := newFixture(t, nil)
			x.forwarder.SetDirectory(&descriptor.Directory{})
			r := x.request(http.MethodPost, "/a", nil)
			if key != "" {
				r.Header.Set(headerKey, key)
			}
			response, _, err := x.do(r)
			asserter.NoError(t, "send", err)
			asserter.Equal(t, "reason", response.Header.Get(headerReason), descriptor.Starting.String())
			asserter.Equal(t, "outcome", response.Header.Get(headerOutcome), want.String())
		})
	}
}
