package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	pausedUploads = 10
	pausedBytes   = 200_000
	sentBytes     = 50_000
	routeTimeout  = 4 * time.Second
	// answerSlack is how long after the timeout of its route a request may be without an answer.
	answerSlack = 500 * time.Millisecond
	// uploadPause is the pause of a client in the middle of its upload.
	uploadPause    = 10 * time.Second
	clientDeadline = 8 * time.Second
)

// crashesOnce makes the first backend server that gets an upload crash under it, for good.
func (f *fleet) crashesOnce() func(*backend, http.ResponseWriter, *http.Request) bool {
	var once sync.Once
	return func(b *backend, _ http.ResponseWriter, r *http.Request) bool {
		isFirst := false
		once.Do(func() { isFirst = true })
		if !isFirst {
			return false
		}
		f.ran(b, r, 0)
		f.note("%s crashes for good", b.name)
		go b.crash()
		time.Sleep(100 * time.Millisecond)
		panic(http.ErrAbortHandler)
	}
}

// playPause lets clients pause in the middle of their uploads. With trouble a backend server has crashed under
// an earlier upload to the same path.
func playPause(f *fleet, trouble bool) (bool, error) {
	f.store.put("op/config", configuration(7, []route{
		{name: "r-upload", host: "jepu9.example", path: "/scans/", kind: "upload", service: "kliniki", timeout: routeTimeout.Seconds(), attempts: 2},
	}, "kliniki"))
	if err := f.setUp("kliniki", 8, 3); err != nil {
		return false, err
	}
	to := f.instances[0]
	if trouble {
		crash := f.crashesOnce()
		for _, b := range f.backends {
			b.behave = crash
		}
	}
	c := newClient(f, to)
	c.send("POST", "jepu9.example", "/scans/", "an earlier upload", clientDeadline)
	c.close()
	time.Sleep(2 * stableWindow)
	var group sync.WaitGroup
	var mu sync.Mutex
	late := 0
	for range pausedUploads {
		group.Go(func() {
			after, answered := f.pausedUpload(to)
			mu.Lock()
			defer mu.Unlock()
			if !answered || after > routeTimeout+answerSlack {
				late++
			}
		})
	}
	group.Wait()
	f.note("uploads without an answer %v after the timeout of their route: %d of %d, %d allowed", answerSlack, late, pausedUploads, pausedUploads/2)
	return late > pausedUploads/2, nil
}

// pausedUpload sends the head and a part of an upload and pauses. It returns how long the answer took, and
// whether there was one before the deadline of the client.
func (f *fleet) pausedUpload(to *instance) (time.Duration, bool) {
	id := f.nextID()
	conn, err := net.Dial("tcp", to.at(frontPort))
	if err != nil {
		f.add("%s: %v", id, err)
		return 0, false
	}
	defer func() { _ = conn.Close() }()
	started := time.Now()
	_ = conn.SetDeadline(started.Add(min(clientDeadline, uploadPause)))
	_, err = fmt.Fprintf(conn, "POST /scans/ HTTP/1.1\r\nHost: jepu9.example\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\nContent-Length: %d\r\n\r\n%s",
		id, clientDeadline.Milliseconds(), pausedBytes, strings.Repeat("b", sentBytes))
	f.add("client sends the head and %d of %d bytes of %s to %s, %v", sentBytes, pausedBytes, id, to.name, err)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	after := time.Since(started)
	if err != nil {
		f.add("client gives up %s after %v: %v", id, after.Round(time.Millisecond), err)
		return after, false
	}
	_ = response.Body.Close()
	f.add("client gets %d for %s after %v", response.StatusCode, id, after.Round(time.Millisecond))
	return after, true
}
