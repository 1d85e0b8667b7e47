package forwarder

import (
	"net/http"
	"testing"
	"time"

	"monsoonswitch/asserter"
	"monsoonswitch/descriptor"
)

// TestConnectTimeout sends a request to a backend server that can't be reached within
// the connect timeout. The attempt must fail with FaultConnect, which implies that the
// work did not run.
func TestConnectTimeout(t *testing.T) {
	reached := false
	x := newFixtureWith(t, Options{StallTimeout: 10 * time.Second, ConnectTimeout: time.Nanosecond}, func(http.ResponseWriter, *http.Request) { reached = true })
	_, _, err := x.do(x.request("GET", "/", nil))
	asserter.NoError(t, "request", err)
	asserter.Equal(t, "reached", reached, false)
	asserter.Equal(t, "fault", x.control.fault(), descriptor.FaultConnect)
}
