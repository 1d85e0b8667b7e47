package forwarder

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"monsoonswitch/asserter"
	"monsoonswitch/declarer"
	"monsoonswitch/descriptor"
	"monsoonswitch/recorder"
)

// singleBackend is a Control that sends every request once, to one backend server.
type singleBackend struct {
	mu      sync.Mutex
	address string
	open    map[descriptor.RequestID]chan descriptor.RequestAction
	events  []descriptor.Event
}

// Open implements Control.
func (c *singleBackend) Open(e descriptor.Arrived) <-chan descriptor.RequestAction {
	c.mu.Lock()
	defer c.mu.Unlock()
	answers := make(chan descriptor.RequestAction, 8)
	c.open[e.Request] = answers
	c.events = append(c.events, e)
	answers <- descriptor.Dispatch{Request: e.Request, Attempt: 1, Backend: descriptor.Backend{ID: "b", Address: c.address}}
	return answers
}

// Post implements Control.
func (c *singleBackend) Post(event descriptor.Event) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.events = append(c.events, event)
	switch e := event.(type) {
	case descriptor.Answered:
		c.open[e.Request] <- descriptor.Deliver{Request: e.Request, Attempt: e.Attempt}
	case descriptor.Failed:
		c.open[e.Request] <- descriptor.Refuse{Request: e.Request, Reason: descriptor.BackendFailed, Outcome: descriptor.MayHaveRun}
	}
}

// Release implements Control.
func (c *singleBackend) Release(descriptor.RequestID) {}

// arrived returns the last Arrived event.
func (c *singleBackend) arrived() descriptor.Arrived {
	c.mu.Lock()
	defer c.mu.Unlock()
	var last descriptor.Arrived
	for _, e := range c.events {
		if a, ok := e.(descriptor.Arrived); ok {
			last = a
		}
	}
	return last
}

// fault returns the fault of the last attempt that failed, or -1.
func (c *singleBackend) fault() descriptor.Fault {
	c.mu.Lock()
	defer c.mu.Unlock()
	last := descriptor.Fault(-1)
	for _, e := range c.events {
		if f, ok := e.(descriptor.Failed); ok {
			last = f.Fault
		}
	}
	return last
}

// fixture holds a forwarder between a test client and a backend server.
type fixture struct {
	t         *testing.T
	front     *httptest.Server
	control   *singleBackend
	forwarder *Forwarder
}

// readyDirectory returns the directory of an instance that serves one service.
func readyDirectory() *descriptor.Directory {
	return &descriptor.Directory{Ready: true, Services: map[string]*descriptor.ServiceEntry{"ledger": {
		Service: declarer.Service{
			Name:    "ledger",
			Classes: []declarer.Class{{Name: "all", Idempotent: true}},
			Routes:  []declarer.Route{{Name: "all", Path: "/", Class: "all"}},
		},
		Serving: []descriptor.Member{
			{ID: "far", Public: "10.0.0.1:80", Domain: "far"},
			{ID: "near", Public: "10.0.0.2:80", Domain: "near"},
		},
	}}}
}

func newFixture(t *testing.T, backend http.HandlerFunc) *fixture {
	return newFixtureWith(t, Options{StallTimeout: 10 * time.Second, Keep: time.Second, CallerHeader: "Caller"}, backend)
}

func newFixtureWith(t *testing.T, o Options, backend http.HandlerFunc) *fixture {
	b := httptest.NewServer(backend)
	t.Cleanup(b.Close)
	control := &singleBackend{address: strings.TrimPrefix(b.URL, "http://"), open: make(map[descriptor.RequestID]chan descriptor.RequestAction)}
	f := New(o, NewStandardDialect(o), control, recorder.New())
	f.SetDirectory(readyDirectory())
	front := httptest.NewServer(f)
	t.Cleanup(front.Close)
	return &fixture{t: t, front: front, control: control, forwarder: f}
}

func (x *fixture) request(method, path string, body io.Reader) *http.Request {
	r, err := http.NewRequestWithContext(context.Background(), method, x.front.URL+path, body)
	asserter.NoError(x.t, "build request", err)
	r.Header.Set("Service", "ledger")
	return r
}

// do sends a request and returns the answer with its whole body, or the error of
// sending or reading.
func (x *fixture) do(r *http.Request) (*http.Response, string, error) {
	response, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		return nil, "", err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return response, string(data), err
}

func TestAnswers(t *testing.T) {
	t.Run("complete answers keep their status, headers and trailers", func(t *testing.T) {
		x := newFixture(t, func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Trailer", "Sum")
			w.Header().Set("Kind", "line")
			w.Header().Set("Backend-Load", "1/3")
			w.WriteHeader(http.StatusTeapot)
			_, _ = io.WriteString(w, "whole")
			w.Header().Set("Sum", "42")
		})
		response, body, err := x.do(x.request("GET", "/a", nil))
		asserter.NoError(t, "read", err)
		asserter.Equal(t, "status", response.StatusCode, http.StatusTeapot)
		asserter.Equal(t, "body", body, "whole")
		asserter.Equal(t, "header", response.Header.Get("Kind"), "line")
		asserter.Equal(t, "trailer", response.Trailer.Get("Sum"), "42")
		asserter.Equal(t, "inner header", response.Header.Get("Backend-Load"), "")
	})
	for _, length := range []bool{true, false} {
		t.Run(fmt.Sprintf("a truncated answer is an error for the caller, length given %v", length), func(t *testing.T) {
			x := newFixture(t, func(w http.ResponseWriter, _ *http.Request) {
				if length {
					w.Header().Set("Content-Length", "1000")
				}
				_, _ = io.WriteString(w, strings.Repeat("x", 500))
				_ = http.NewResponseController(w).Flush()
				panic(http.ErrAbortHandler)
			})
			_, _, err := x.do(x.request("GET", "/a", nil))
			asserter.True(t, "truncation is an error", err != nil)
		})
	}
	t.Run("answers on reused connections reach the right callers", func(t *testing.T) {
		x := newFixture(t, func(w http.ResponseWriter, r *http.Request) {
			time.Sleep(time.Duration(len(r.URL.Path)%7) * time.Millisecond)
			_, _ = io.WriteString(w, r.URL.Path)
		})
		var group sync.WaitGroup
		for i := range 200 {
			group.Add(1)
			go func() {
				defer group.Done()
				path := fmt.Sprintf("/%d/%s", i, strings.Repeat("p", i%13))
				_, body, err := x.do(x.request("GET", path, nil))
				if err != nil || body != path {
					t.Errorf("answer: got %q and %v, want %q", body, err, path)
				}
			}()
		}
		group.Wait()
	})
	t.Run("bodies stream in both directions", func(t *testing.T) {
		x := newFixture(t, func(w http.ResponseWriter, r *http.Request) {
			_ = http.NewResponseController(w).EnableFullDuplex()
			buffer := make([]byte, 1)
			for {
				if _, err := r.Body.Read(buffer); err != nil {
					return
				}
				_, _ = w.Write(buffer)
				_ = http.NewResponseController(w).Flush()
			}
		})
		in, out := io.Pipe()
		go func() { _, _ = io.WriteString(out, "a") }()
		response, err := http.DefaultTransport.RoundTrip(x.request("PUT", "/a", in))
		asserter.NoError(t, "send", err)
		defer response.Body.Close()
		buffer := make([]byte, 1)
		_, err = io.ReadFull(response.Body, buffer)
		asserter.NoError(t, "first byte before the end of the body", err)
		asserter.Equal(t, "byte", string(buffer), "a")
		_ = out.Close()
	})
}

func TestRequests(t *testing.T) {
	var seen http.Header
	x := newFixture(t, func(_ http.ResponseWriter, r *http.Request) { seen = r.Header })
	r := x.request("POST", "/a?b=c", nil)
	for k, v := range map[string]string{
		"Connection": "keep-alive, Secret-Hop", "Secret-Hop": "1", "Te": "trailers", "Proxy-Authorization": "x",
		"Monsoon-Outcome": "forged", "Backend-State": "forged", "Idempotency-Key": "k1", "X-Forwarded-For": "1.2.3.4",
		"Caller": "tavern-7", "Prefer": "wait=3",
	} {
		r.Header.Set(k, v)
	}
	_, _, err := x.do(r)
	asserter.NoError(t, "send", err)
	for _, name := range []string{"Secret-Hop", "Te", "Proxy-Authorization", "Monsoon-Outcome", "Backend-State"} {
		asserter.Equal(t, name, seen.Get(name), "")
	}
	asserter.Equal(t, "key", seen.Get("Idempotency-Key"), "k1")
	asserter.Equal(t, "forwarded for", seen.Get("X-Forwarded-For"), "1.2.3.4, 127.0.0.1")
	arrived := x.control.arrived()
	asserter.Equal(t, "caller", arrived.Caller, "tavern-7")
	asserter.Equal(t, "class", arrived.Class, "all")
	asserter.Equal(t, "deadline", arrived.Deadline.Sub(arrived.At).Round(time.Second), 3*time.Second)
	t.Run("the key has no canonical name, on which net/http would resend", func(t *testing.T) {
		h := preparedHeaders(r)
		_, plain := h["Idempotency-Key"]
		asserter.Equal(t, "canonical key", plain, false)
	})
}

func TestRefusals(t *testing.T) {
	x := newFixture(t, func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	want := func(t *testing.T, r *http.Request, status int, reason, outcome string) {
		t.Helper()
		response, body, err := x.do(r)
		asserter.NoError(t, "send", err)
		asserter.Equal(t, "status", response.StatusCode, status)
		asserter.Equal(t, "reason", response.Header.Get(headerReason), reason)
		asserter.Equal(t, "outcome", response.Header.Get(headerOutcome), outcome)
		asserter.True(t, "reason in body", strings.Contains(body, `"reason":"`+reason+`"`))
	}
	t.Run("backend server closes the connection", func(t *testing.T) {
		want(t, x.request("POST", "/a", strings.NewReader("body")), http.StatusBadGateway, "backend-failed", "may-have-run")
	})
	t.Run("unknown service", func(t *testing.T) {
		r := x.request("GET", "/a", nil)
		r.Header.Set("Service", "other")
		want(t, r, http.StatusNotFound, "unknown-service", "not-run")
	})
	t.Run("upgrade", func(t *testing.T) {
		r := x.request("GET", "/a", nil)
		r.Header.Set("Upgrade", "websocket")
		want(t, r, http.StatusNotImplemented, "unsupported", "not-run")
	})
	t.Run("every reason has a status", func(t *testing.T) {
		for _, reason := range descriptor.Reasons() {
			if reason != descriptor.Served {
				asserter.AtLeast(t, reason.String(), statusOf(reason), 400)
			}
		}
	})
}

func TestAddresses(t *testing.T) {
	x := newFixture(t, func(http.ResponseWriter, *http.Request) {})
	_, body, err := x.do(x.request("GET", AddressPath+"?service=ledger&domain=near", nil))
	asserter.NoError(t, "ask", err)
	asserter.True(t, "same failure domain first: "+body, strings.Index(body, "10.0.0.2:80") < strings.Index(body, "10.0.0.1:80"))
	asserter.True(t, "ticket", strings.Contains(body, `"ticket":"m1.near.`))
	response, _, err := x.do(x.request("GET", AddressPath+"?service=other", nil))
	asserter.NoError(t, "ask", err)
	asserter.Equal(t, "unknown service", response.StatusCode, http.StatusNotFound)
}

// TestNoResend breaks a reused connection, on which net/http resends a request by
// itself. The request must reach the backend server once, and the failure must be
// reported.
func TestNoResend(t *testing.T) {
	var mu sync.Mutex
	seen := make(map[string]int)
	x := newFixture(t, func(_ http.ResponseWriter, r *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		seen[r.URL.Path]++
		if r.URL.Path == "/crash" {
			panic(http.ErrAbortHandler)
		}
	})
	_, _, err := x.do(x.request("GET", "/before", nil))
	asserter.NoError(t, "first request", err)
	response, _, err := x.do(x.request("GET", "/crash", nil))
	asserter.NoError(t, "second request", err)
	asserter.Equal(t, "reason", response.Header.Get(headerReason), "backend-failed")
	mu.Lock()
	defer mu.Unlock()
	asserter.Equal(t, "runs", seen["/crash"], 1)
}

func TestFaultOf(t *testing.T) {
	x := &attempt{session: &session{}}
	asserter.Equal(t, "dial", x.faultOf(&net.OpError{Op: "dial", Err: errors.New("refused")}), descriptor.FaultConnect)
	asserter.Equal(t, "read", x.faultOf(&net.OpError{Op: "read", Err: errors.New("reset")}), descriptor.FaultBroken)
}

func FuzzHeaders(f *testing.F) {
	f.Add("wait=3", "1.5", "2/3", "close, X")
	f.Fuzz(func(t *testing.T, prefer, timeout, load, connection string) {
		r := httptest.NewRequest("GET", "/", nil)
		r.Header["Prefer"] = []string{prefer}
		r.Header["Request-Timeout"] = []string{timeout}
		r.Header["Connection"] = []string{connection}
		asserter.AtMost(t, "caller timeout", callerTimeout(r), maxCallerTimeout)
		asserter.AtLeast(t, "free slots", loadOf(load).Slots-loadOf(load).Running, 0)
		asserter.Equal(t, "hop header", preparedHeaders(r).Get("Connection"), "")
	})
}

// preparedHeaders returns the headers that a backend server receives for a caller's
// request.
func preparedHeaders(r *http.Request) http.Header {
	f := New(Options{}, StandardDialect{}, nil, recorder.New())
	x := &attempt{session: &session{forwarder: f, r: r}}
	return x.header()
}
