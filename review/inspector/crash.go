package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	crashPath = "/calendar/crash"
	// crashDown is how long a backend server is down after a crash.
	crashDown = 2 * time.Second
	// crashSends is how often the client sends the request, once in crashPause.
	crashSends = 14
	crashPause = time.Second
	// readInterval is the time between two ordinary reads at each instance.
	readInterval = 500 * time.Millisecond
	// allowedRetries is the number of retries that may reach backend servers.
	allowedRetries = 3
)

// crashes makes a backend server crash when it begins to run a request for crashPath. It is back after
// crashDown.
func crashes(b *backend, _ http.ResponseWriter, r *http.Request) bool {
	if !strings.HasPrefix(r.URL.Path, crashPath) {
		return false
	}
	b.fleet.ran(b, r, 0)
	b.fleet.add("%s crashes", b.name)
	go func() {
		b.crash()
		time.Sleep(crashDown)
		if err := b.start(); err != nil {
			b.fleet.note("%s does not start: %v", b.name, err)
		}
	}()
	time.Sleep(100 * time.Millisecond)
	panic(http.ErrAbortHandler)
}

// crashRuns returns when requests for crashPath reached backend servers.
func (f *fleet) crashRuns() []time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	var result []time.Time
	for _, r := range f.runs {
		if strings.HasPrefix(r.path, crashPath) {
			result = append(result, r.at)
		}
	}
	return result
}

// read sends ordinary reads to an instance until stop is closed.
func (f *fleet) read(to *instance, stop chan struct{}) {
	c := newClient(f, to)
	defer c.close()
	for k := 0; ; k++ {
		select {
		case <-stop:
			return
		case <-time.After(readInterval):
			c.send("GET", "jepu9.example", fmt.Sprintf("/calendar/%s/%d", to.name, k), "", 6*time.Second)
		}
	}
}

// playCrash lets a client send a request that crashes backend servers to one instance after the other, while
// others read. With trouble, the open connections between the instances have gone silent before; new ones work. The instances
// are in touch again when the request is sent first.
func playCrash(f *fleet, trouble bool) (bool, error) {
	f.store.put("op/config", configuration(7, []route{
		{name: "r-read", host: "jepu9.example", path: "/calendar/", kind: "safe", service: "ratiba", timeout: 4, attempts: 2},
	}, "ratiba"))
	if err := f.setUp("ratiba", 12, siteInstances); err != nil {
		return false, err
	}
	for _, b := range f.backends {
		b.behave = crashes
	}
	stop := make(chan struct{})
	var group sync.WaitGroup
	for _, p := range f.instances {
		group.Go(func() { f.read(p, stop) })
	}
	defer group.Wait()
	defer close(stop)
	time.Sleep(2 * stableWindow)
	if trouble {
		f.silenceLinks()
	}
	time.Sleep(2 * stableWindow)
	for k := range crashSends {
		f.send(f.instances[k%len(f.instances)], "GET", "jepu9.example", crashPath, 6*time.Second)
		time.Sleep(crashPause)
	}
	runs := f.crashRuns()
	late := 0
	for i, at := range runs {
		if i > 2 && at.Sub(runs[2]) > stableWindow {
			late++
		}
	}
	f.note("crashed %d, reached backend servers later than %v after the third crash: %d, %d allowed", len(runs), stableWindow, late, allowedRetries)
	return late > allowedRetries, nil
}
