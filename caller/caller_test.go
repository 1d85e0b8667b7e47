package caller

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"testing"
	"time"

	"monsoonswitch/asserter"
	"monsoonswitch/forwarder"
)

// TestEndlessAnswer guards against a caller that keeps the bytes of an answer without end until
// it runs out of memory.
func TestEndlessAnswer(t *testing.T) {
	chunk := []byte(strings.Repeat("a", 1<<20))
	for name, path := range map[string]string{"to work": "/work", "to a question": forwarder.AddressPath} {
		t.Run(name, func(t *testing.T) {
			var server *httptest.Server
			server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path != path {
					address := strings.TrimPrefix(server.URL, "http://")
					_ = json.NewEncoder(w).Encode(forwarder.AddressAnswer{Addresses: []forwarder.Address{{Address: address}}, Keep: 1})
					return
				}
				_, _ = w.Write([]byte(`"`))
				for r.Context().Err() == nil {
					if _, err := w.Write(chunk); err != nil {
						return
					}
				}
			}))
			t.Cleanup(server.Close)
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			c := New([]string{strings.TrimPrefix(server.URL, "http://")}, "")
			_, err := c.Do(ctx, Work{Service: "ledger", Method: http.MethodGet, Path: "/work"})
			asserter.True(t, "an error", err != nil)
			asserter.NoError(t, "time left", ctx.Err())
			var stats runtime.MemStats
			runtime.ReadMemStats(&stats)
			asserter.AtMost(t, "memory taken from the system in bytes", stats.Sys, 8*maxAnswerBytes)
		})
	}
}
