package forwarder

import (
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"monsoonswitch/asserter"
	"monsoonswitch/declarer"
	"monsoonswitch/descriptor"
)

// retrying is a Control that resends a request while the work did not run and the body
// can be sent again.
type retrying struct {
	*singleBackend
	mu       sync.Mutex
	attempts map[descriptor.RequestID]descriptor.AttemptID
}

// Post implements Control.
func (c *retrying) Post(event descriptor.Event) {
	e, ok := event.(descriptor.Failed)
	if !ok || e.Fault != descriptor.FaultShed || !e.BodyReplayable {
		c.singleBackend.Post(event)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.attempts[e.Request]++
	c.singleBackend.mu.Lock()
	defer c.singleBackend.mu.Unlock()
	c.open[e.Request] <- descriptor.Dispatch{Request: e.Request, Attempt: 1 + c.attempts[e.Request], Backend: descriptor.Backend{ID: "b", Address: c.address}}
}

// routes returns a directory with a route for each path, confirmed as of current.
func routes(current time.Time, paths ...string) *descriptor.Directory {
	r := declarer.Routing{Version: 1}
	for _, p := range paths {
		r.Routes = append(r.Routes, declarer.HostRoute{
			Host: "a.example", Path: p, Parts: []declarer.Part{{Service: "ledger", Weight: 1}},
			Class: declarer.Class{Name: p, Target: time.Second, Timeout: 3 * time.Second},
		})
	}
	return &descriptor.Directory{
		Ready: true, Routes: declarer.NewRouteIndex(r), Current: current,
		Services: map[string]*descriptor.ServiceEntry{"ledger": {Service: declarer.Service{Name: "ledger"}}},
	}
}

// ask sends a request for a path to the host of the routes and returns the status.
func (x *fixture) ask(path string) int {
	r := x.request("GET", path, nil)
	r.Host = "a.example"
	response, _, err := x.do(r)
	asserter.NoError(x.t, "ask", err)
	return response.StatusCode
}

func TestRoutes(t *testing.T) {
	x := newFixture(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusTeapot) })
	f := x.forwarder
	t.Run("a known route", func(t *testing.T) {
		f.SetDirectory(routes(time.Time{}, "/a/"))
		asserter.Equal(t, "status", x.ask("/a/1"), http.StatusTeapot)
		arrived := x.control.arrived()
		asserter.Equal(t, "service", arrived.Service, "ledger")
		asserter.True(t, "the timeout bounds the deadline", arrived.Deadline.Sub(arrived.At) <= 3*time.Second)
	})
	t.Run("no route as of a time after the arrival of the request", func(t *testing.T) {
		f.SetDirectory(routes(time.Now().Add(time.Minute), "/a/"))
		asserter.Equal(t, "status", x.ask("/b/1"), http.StatusNotFound)
	})
	t.Run("a route that is added while the request waits", func(t *testing.T) {
		f.SetDirectory(routes(time.Now().Add(-time.Minute), "/a/"))
		go func() {
			time.Sleep(50 * time.Millisecond)
			f.SetDirectory(routes(time.Now(), "/a/", "/b/"))
		}()
		asserter.Equal(t, "status", x.ask("/b/1"), http.StatusTeapot)
	})
	t.Run("no route at an instance that is shutting down is refused at once", func(t *testing.T) {
		directory := routes(time.Now().Add(-time.Minute), "/a/")
		directory.Leaving = true
		f.SetDirectory(directory)
		started := time.Now()
		asserter.Equal(t, "status", x.ask("/b/1"), http.StatusMisdirectedRequest)
		asserter.AtMost(t, "wait", time.Since(started), routeUpdateWait/2)
		asserter.Equal(t, "status of a known route", x.ask("/a/1"), http.StatusTeapot)
	})
	t.Run("a shutdown ends the wait for a route", func(t *testing.T) {
		f.SetDirectory(routes(time.Now().Add(-time.Minute), "/a/"))
		started := time.Now()
		go func() {
			time.Sleep(50 * time.Millisecond)
			directory := routes(time.Now().Add(-time.Minute), "/a/")
			directory.Leaving = true
			f.SetDirectory(directory)
		}()
		asserter.Equal(t, "status", x.ask("/b/1"), http.StatusMisdirectedRequest)
		asserter.AtMost(t, "wait", time.Since(started), routeUpdateWait/2)
	})
	t.Run("no route, and no confirmation in time", func(t *testing.T) {
		f.SetDirectory(routes(time.Now().Add(-time.Minute), "/a/"))
		asserter.Equal(t, "status", x.ask("/b/1"), http.StatusServiceUnavailable)
	})
}

// TestBodyReplay guards against a truncated body in a request that is sent again. The
// backend server refuses it twice as not run after reading the body.
func TestBodyReplay(t *testing.T) {
	var calls atomic.Int32
	var last atomic.Value
	x := newFixture(t, func(w http.ResponseWriter, r *http.Request) {
		data, _ := io.ReadAll(r.Body)
		last.Store(string(data))
		if calls.Add(1) < 3 {
			w.Header().Set(headerRefused, "not-run")
			w.Header().Set(headerAttempt, r.Header.Get(headerAttempt))
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	control := &retrying{singleBackend: x.control, attempts: make(map[descriptor.RequestID]descriptor.AttemptID)}
	x.forwarder.control = control
	body := strings.Repeat("photo", 20000)
	response, _, err := x.do(x.request("POST", "/a", strings.NewReader(body)))
	asserter.NoError(t, "send", err)
	asserter.Equal(t, "status", response.StatusCode, 200)
	asserter.Equal(t, "attempts", calls.Load(), int32(3))
	asserter.True(t, "complete body", last.Load().(string) == body)
}

// mismatching is a Dialect that reports every answer as that of another request.
type mismatching struct{ StandardDialect }

// ParseHead implements Dialect.
func (mismatching) ParseHead(*http.Response, Expected) Head { return Head{Mismatched: true} }

// TestMismatchedAnswer guards against delivering the answer to another request, and
// against reusing the connection on which it arrived.
func TestMismatchedAnswer(t *testing.T) {
	var connections sync.Map
	x := newFixture(t, func(w http.ResponseWriter, r *http.Request) {
		connections.Store(r.RemoteAddr, true)
		_, _ = io.WriteString(w, "somebody else's")
	})
	x.forwarder.dialect = mismatching{}
	for range 3 {
		response, body, err := x.do(x.request("GET", "/a", nil))
		asserter.NoError(t, "send", err)
		asserter.Equal(t, "status", response.StatusCode, http.StatusBadGateway)
		asserter.Equal(t, "body of the other request delivered", strings.Contains(body, "somebody"), false)
	}
	used := 0
	connections.Range(func(any, any) bool { used++; return true })
	asserter.Equal(t, "connections, each used once", used, 3)
}

// TestNonIdempotentGetSentOnce breaks reused connections under non-idempotent work
// whose method is GET, which net/http would resend. The work must reach the backend
// server once.
func TestNonIdempotentGetSentOnce(t *testing.T) {
	var seen sync.Map
	x := newFixture(t, func(_ http.ResponseWriter, r *http.Request) {
		n, _ := seen.LoadOrStore(r.URL.Path, new(atomic.Int32))
		n.(*atomic.Int32).Add(1)
		if strings.HasPrefix(r.URL.Path, "/a/break") {
			panic(http.ErrAbortHandler)
		}
	})
	x.forwarder.SetDirectory(routes(time.Now(), "/a/"))
	for i := range 20 {
		asserter.Equal(t, "status", x.ask("/a/fine"), http.StatusOK)
		path := "/a/break" + strings.Repeat("x", i)
		asserter.Equal(t, "status on a broken connection", x.ask(path), http.StatusBadGateway)
		n, _ := seen.Load(path)
		asserter.Equal(t, "runs", n.(*atomic.Int32).Load(), int32(1))
	}
}
