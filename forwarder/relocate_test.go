package forwarder

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"monsoonswitch/asserter"
	"monsoonswitch/declarer"
	"monsoonswitch/descriptor"
	"monsoonswitch/recorder"
)

// behind is a Control that has another directory in force than the one that requests were
// located with: it relocates each request of a service that it doesn't take.
type behind struct {
	*singleBackend
	takes string
	// onRelocate is called before a request is relocated.
	onRelocate func()
}

// Open implements Control.
func (c *behind) Open(e descriptor.Arrived) <-chan descriptor.RequestAction {
	if e.Service == c.takes {
		return c.singleBackend.Open(e)
	}
	c.Post(e)
	c.onRelocate()
	answers := make(chan descriptor.RequestAction, 1)
	answers <- descriptor.Relocate{Request: e.Request}
	return answers
}

// movedTo returns a directory whose route /a/ goes to a service, with a timeout.
func movedTo(service string, timeout time.Duration) *descriptor.Directory {
	d := routes(time.Now().Add(time.Minute), "/a/")
	r := d.Routes.Routing()
	r.Routes[0].Parts = []declarer.Part{{Service: service, Weight: 1}}
	r.Routes[0].Class.Timeout = timeout
	d.Routes = declarer.NewRouteIndex(r)
	d.Services = map[string]*descriptor.ServiceEntry{service: {Service: declarer.Service{Name: service}}}
	return d
}

// TestRelocation guards against a request being told 404 because the configuration changed
// between its look-up and the decision about it.
func TestRelocation(t *testing.T) {
	for _, c := range []struct {
		name   string
		next   *descriptor.Directory
		status int
	}{
		{"the route moved", movedTo("billing", 20*time.Second), http.StatusTeapot},
		{"the route is gone", routes(time.Now().Add(time.Minute), "/b/"), http.StatusNotFound},
		{"no other directory comes", nil, http.StatusServiceUnavailable},
		{"the directory doesn't help", movedTo("ledger", time.Second), http.StatusServiceUnavailable},
	} {
		t.Run(c.name, func(t *testing.T) {
			x := newFixture(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusTeapot) })
			x.forwarder.SetDirectory(movedTo("ledger", time.Second))
			relocated := 0
			x.forwarder.control = &behind{x.control, "billing", func() {
				relocated++
				if c.next != nil {
					x.forwarder.SetDirectory(c.next)
				}
			}}
			started := time.Now()
			asserter.Equal(t, "status", x.ask("/a/1"), c.status)
			asserter.AtMost(t, "time", time.Since(started), 2*routeUpdateWait)
			asserter.AtMost(t, "relocations", relocated, maxRelocations+1)
			if c.status == http.StatusTeapot {
				arrived := x.control.arrived()
				asserter.Equal(t, "service", arrived.Service, "billing")
				asserter.AtLeast(t, "time left by the new timeout", time.Until(arrived.Deadline), 10*time.Second)
			}
			// The event follows the refusal.
			want := map[bool]int{true: 0, false: 1}[c.status == http.StatusTeapot]
			asserter.Eventually(t, "events about a refusal without a service", time.Second, func() bool {
				return posted[descriptor.Unlocated](x.control) == want
			})
		})
	}
}

// TestCountsOfRoutes guards against memory that grows with each name of a route ever declared.
func TestCountsOfRoutes(t *testing.T) {
	f := New(Options{}, StandardDialect{}, nil, recorder.New())
	for v := range 20 {
		name := fmt.Sprint("route-", v)
		r := declarer.Routing{Version: uint64(v), Routes: []declarer.HostRoute{{Host: "a", Path: "/", Class: declarer.Class{Name: name}}}}
		f.SetDirectory(&descriptor.Directory{Routes: declarer.NewRouteIndex(r)})
		f.countRoute(name)
		asserter.Equal(t, "count of a new route", f.countRoute(name), uint64(2))
	}
	names := 0
	for range f.routeCounts.Range {
		names++
	}
	asserter.Equal(t, "routes with a count", names, 1)
}
