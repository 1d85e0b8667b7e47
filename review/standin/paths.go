package main

import (
	"fmt"
	"net/http"
	"time"
)

// ownPaths adds a route for all paths of a host. Clients then send work to paths that the
// instances also serve themselves, on other listeners.
func ownPaths(f *fleet, trouble bool) error {
	routes := []route{
		{name: "visit-book", prefix: "/visits/", kind: "unsafe", service: serviceName, timeout: 2.5, target: 1, attempts: 2},
	}
	f.configure(3, routes, serviceName)
	for i := range 6 {
		if _, err := f.addServer(serviceName, fmt.Sprintf("i-%d", i), "", 170*time.Millisecond); err != nil {
			return err
		}
	}
	if err := f.startInstances(2); err != nil {
		return err
	}
	prefix := "/visits/"
	if trouble {
		prefix = "/"
		f.record.line("TROUBLE the next configuration adds a route with the prefix /")
		f.configure(5, append(routes, route{name: "all", prefix: "/", kind: "unsafe", service: serviceName, timeout: 2.5, target: 1, attempts: 2}), serviceName)
		time.Sleep(4 * time.Second)
	}
	for _, name := range []string{"readiness", "resolve", "booking"} {
		for _, p := range f.instances {
			r := newRequest(http.MethodPost, prefix+name, randomBytes(1000), false)
			a := f.send(p, r)
			if a.status/100 == 2 && a.signature != signature(r.id) {
				f.record.breach("MIXED: %s POST %s got status %d without a signature of a backend server, %d runs", r.id, r.path, a.status, len(f.runsOf(r.id)))
			}
			f.checkRuns(r)
		}
	}
	return nil
}
