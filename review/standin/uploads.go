package main

import (
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// Figures of the uploads. The limits of the configuration allow 64 MB.
const (
	uploadBytes = 3 << 20
	uploadWork  = 240 * time.Millisecond
	serverCount = 28
	// grayCount servers turn requests away, a share of 0.15.
	grayCount = 4
	// parallelUploads clients send uploadsEach uploads one after the other.
	parallelUploads = 40
	uploadsEach     = 5
)

// uploadRoutes is the configuration of the cases with uploads.
var uploadRoutes = []route{
	{name: "photo-upload", prefix: "/photos/", kind: "upload", service: serviceName, timeout: 4, target: 1, attempts: 2},
}

// startUploads starts the backend servers and three instances.
func startUploads(f *fleet) error {
	f.configure(3, uploadRoutes, serviceName)
	for i := range serverCount {
		if _, err := f.addServer(serviceName, fmt.Sprintf("i-%d", i), "", uploadWork); err != nil {
			return err
		}
	}
	return f.startInstances(3)
}

// crashedUpload kills the backend server that works on an upload. The client has no answer
// of its first try and sends the same photo again.
func crashedUpload(f *fleet, trouble bool) error {
	if err := startUploads(f); err != nil {
		return err
	}
	entry := f.instances[0]
	photo := randomBytes(uploadBytes)
	first := newRequest(http.MethodPost, "/photos/17", photo, true)
	answered := make(chan answer, 1)
	go func() { answered <- f.send(entry, first) }()
	var at string
	if !waitFor(5*time.Second, func() bool {
		for _, r := range f.runsOf(first.id) {
			at = r.Server
		}
		return at != ""
	}) {
		return errors.New("the first upload did not begin")
	}
	if trouble {
		for _, s := range f.servers {
			if s.id == at {
				f.crash(s)
			}
		}
	}
	<-answered
	time.Sleep(time.Second)
	for range 3 {
		again := newRequest(http.MethodPost, "/photos/17", photo, true)
		if a := f.send(entry, again); a.err != nil && a.status == 0 && !trouble {
			return errors.New("no answer without the disruption")
		}
		f.checkRuns(again)
	}
	withLength := newRequest(http.MethodPost, "/photos/17", photo, false)
	f.send(entry, withLength)
	f.checkRuns(withLength)
	return nil
}

// refusedUpload makes four of 28 backend servers turn away two fifths of its requests.
func refusedUpload(f *fleet, trouble bool) error {
	if err := startUploads(f); err != nil {
		return err
	}
	if trouble {
		for _, s := range f.servers[:grayCount] {
			f.record.line("TROUBLE %s turns requests away", s.id)
			fmt.Fprintln(s.commands, "shed 0.4")
		}
	}
	var clients sync.WaitGroup
	for i := range parallelUploads {
		clients.Go(func() {
			for k := range uploadsEach {
				r := newRequest(http.MethodPost, fmt.Sprintf("/photos/%d-%d", i, k), randomBytes(uploadBytes), true)
				f.send(f.instances[i%len(f.instances)], r)
				f.checkRuns(r)
			}
		})
	}
	clients.Wait()
	return nil
}
