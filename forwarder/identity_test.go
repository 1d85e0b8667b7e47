package forwarder

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"monsoonswitch/asserter"
	"monsoonswitch/descriptor"
)

// identity sends a request and returns the fingerprint and the content that its failure reports.
func (x *fixture) identity(r *http.Request) (uint64, uint64) {
	_, _, err := x.do(r)
	asserter.NoError(x.t, "send", err)
	x.control.mu.Lock()
	defer x.control.mu.Unlock()
	failed, ok := x.control.events[len(x.control.events)-1].(descriptor.Failed)
	asserter.True(x.t, "the attempt failed", ok)
	for _, e := range x.control.events {
		if a, ok := e.(descriptor.Arrived); ok && a.Request == failed.Request {
			return a.Fingerprint, failed.Content
		}
	}
	return 0, 0
}

// TestRepeatLooksDifferent guards against a repeated request that is not recognised as the one
// under which backend servers crashed, because its body comes in chunks or its route sends it to
// another service; and against taking a request with another body for it.
func TestRepeatLooksDifferent(t *testing.T) {
	x := newFixture(t, func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		panic(http.ErrAbortHandler)
	})
	post := func(body io.Reader) *http.Request {
		r := x.request("POST", "/a/1", body)
		r.Header.Del("Service")
		r.Host = "a.example"
		return r
	}
	x.forwarder.SetDirectory(routes(x.control.arrived().At, "/a/"))
	fingerprint, content := x.identity(post(strings.NewReader("invoice 7")))
	asserter.True(t, "content is known", content != 0)
	t.Run("a body in chunks", func(t *testing.T) {
		f, c := x.identity(post(io.MultiReader(strings.NewReader("invoice 7"))))
		asserter.Equal(t, "fingerprint", f, fingerprint)
		asserter.Equal(t, "content", c, content)
	})
	t.Run("another body of the same length", func(t *testing.T) {
		f, c := x.identity(post(strings.NewReader("invoice 8")))
		asserter.Equal(t, "fingerprint", f, fingerprint)
		asserter.True(t, "content differs", c != content)
	})
	t.Run("another service", func(t *testing.T) {
		directory := *routes(x.control.arrived().At, "/a/")
		directory.Services = map[string]*descriptor.ServiceEntry{"billing": directory.Services["ledger"]}
		r := directory.Routes.Routing()
		r.Routes[0].Parts[0].Service = "billing"
		x.forwarder.SetDirectory(&directory)
		f, c := x.identity(post(strings.NewReader("invoice 7")))
		asserter.Equal(t, "fingerprint", f, fingerprint)
		asserter.Equal(t, "content", c, content)
	})
	t.Run("the body of a suspected request is known when it arrives", func(t *testing.T) {
		directory := routes(x.control.arrived().At, "/a/")
		directory.Suspected = map[uint64]bool{fingerprint: true}
		x.forwarder.SetDirectory(directory)
		x.identity(post(strings.NewReader("invoice 7")))
		asserter.Equal(t, "content", x.control.arrived().Content, content)
	})
}

// TestRepeatAtAnotherInstance guards against a repeated request that is not recognised because
// its caller connects to another instance, whose IP number it names as the host.
func TestRepeatAtAnotherInstance(t *testing.T) {
	x := newFixture(t, func(http.ResponseWriter, *http.Request) {})
	fingerprint := func(host string) uint64 {
		r := x.request("GET", "/a/1", nil)
		r.Host, r.RemoteAddr = host, "127.0.0.1:1"
		return (&session{forwarder: x.forwarder, r: r}).fingerprint()
	}
	asserter.Equal(t, "another instance", fingerprint("127.0.0.2:8001"), fingerprint("127.0.0.1:8000"))
	asserter.Equal(t, "an instance with an IPv6 address", fingerprint("[::1]:8001"), fingerprint("127.0.0.1"))
	asserter.True(t, "a name is part of it", fingerprint("a.example") != fingerprint("b.example"))
	asserter.True(t, "a name is no address", fingerprint("a.example") != fingerprint("127.0.0.1"))
}
