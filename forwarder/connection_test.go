package forwarder

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"monsoonswitch/asserter"
	"monsoonswitch/descriptor"
	"monsoonswitch/recorder"
)

func TestCarry(t *testing.T) {
	t.Run("an identifier is carried once", func(t *testing.T) {
		var c connection
		asserter.Equal(t, "first", c.carry("a"), true)
		asserter.Equal(t, "other", c.carry("b"), true)
		asserter.Equal(t, "again", c.carry("a"), false)
	})
	t.Run("requests without an identifier are not compared", func(t *testing.T) {
		var c connection
		for range 2 * maxCarried {
			asserter.Equal(t, "carried", c.carry(""), true)
		}
	})
	t.Run("what is remembered has a bound", func(t *testing.T) {
		var c connection
		for i := range maxCarried {
			asserter.Equal(t, "carried", c.carry(fmt.Sprint(i)), true)
		}
		asserter.Equal(t, "one more", c.carry("one more"), false)
		asserter.Equal(t, "remembered", len(c.carried), maxCarried)
	})
}

// TestConnectionCarriesOnce sends requests one after the other, so that they share connections.
func TestConnectionCarriesOnce(t *testing.T) {
	for name, c := range map[string]struct {
		id          func(n int) string
		requests    int
		connections int
	}{
		"a caller that repeats an identifier":       {func(int) string { return "same" }, 20, 20},
		"more requests than a connection remembers": {func(n int) string { return fmt.Sprint(n) }, 2*maxCarried + 10, 3},
	} {
		for _, body := range []string{"", "work"} {
			t.Run(fmt.Sprintf("%s, %d bytes", name, len(body)), func(t *testing.T) {
				var mu sync.Mutex
				used := make(map[string]bool)
				backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					mu.Lock()
					used[r.RemoteAddr] = true
					mu.Unlock()
					w.Header().Set(headerAttempt, r.Header.Get(headerAttempt))
				}))
				t.Cleanup(backend.Close)
				o := Options{StallTimeout: 10 * time.Second, FreshTime: 10 * time.Second}
				control := &singleBackend{address: strings.TrimPrefix(backend.URL, "http://"), open: make(map[descriptor.RequestID]chan descriptor.RequestAction)}
				f := New(o, callerDialect{NewStandardDialect(o)}, control, recorder.New())
				f.SetDirectory(ledgerOnly(false))
				front := httptest.NewServer(f)
				t.Cleanup(front.Close)
				x := &fixture{t: t, front: front, control: control, forwarder: f}
				for i := range c.requests {
					r := x.request(http.MethodPut, "/a", strings.NewReader(body))
					r.Header.Set("Identifier", c.id(i))
					response, _, err := x.do(r)
					asserter.NoError(t, "send", err)
					asserter.Equal(t, "status", response.StatusCode, http.StatusOK)
				}
				mu.Lock()
				defer mu.Unlock()
				asserter.Equal(t, "connections", len(used), c.connections)
			})
		}
	}
}

// TestUnbufferedUploadsOnConnection guards against uploads that can be sent only once being lost to
// a connection that must not carry them.
func TestUnbufferedUploadsOnConnection(t *testing.T) {
	body := strings.Repeat("work", 50<<10)
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n, err := io.Copy(io.Discard, r.Body)
		w.Header().Set(headerAttempt, r.Header.Get(headerAttempt))
		if n != int64(len(body)) || err != nil {
			w.WriteHeader(http.StatusTeapot)
		}
	}))
	t.Cleanup(backend.Close)
	o := Options{StallTimeout: 10 * time.Second, FreshTime: 10 * time.Second, UploadBytes: 4 * passedBytes}
	control := &singleBackend{address: strings.TrimPrefix(backend.URL, "http://"), open: make(map[descriptor.RequestID]chan descriptor.RequestAction)}
	f := New(o, callerDialect{NewStandardDialect(o)}, control, recorder.New())
	f.SetDirectory(ledgerOnly(false))
	front := httptest.NewServer(f)
	t.Cleanup(front.Close)
	x := &fixture{t: t, front: front, control: control, forwarder: f}
	for range 10 {
		r := x.request(http.MethodPut, "/a", strings.NewReader(body))
		r.Header.Set("Identifier", "same")
		response, _, err := x.do(r)
		asserter.NoError(t, "send", err)
		asserter.Equal(t, "status", response.StatusCode, http.StatusOK)
	}
	asserter.Equal(t, "bodies not buffered", f.uploads.unbuffered.Load(), 10)
}
