package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	uploadBytes = 8 << 20
	// earlyRead is what a backend server reads of a long body before it begins to answer, and readPause the
	// time until it reads on.
	earlyRead = 64 << 10
	readPause = 300 * time.Millisecond
	// uploadWork is the work after the whole body.
	uploadWork = 1200 * time.Millisecond
	answerHead = "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Signature: %s\r\nConnection: close\r\n\r\n"
	answerBody = "received and stored"
)

// answersUnframed returns the behavior of a backend server that reads a long body to its end, works, and ends
// an answer without a length by closing its connection. If early is set, it sends the head of the answer
// before it has read the whole body.
func answersUnframed(early bool) func(*backend, http.ResponseWriter, *http.Request) bool {
	return func(b *backend, w http.ResponseWriter, r *http.Request) bool {
		if r.ContentLength < uploadBytes {
			return false
		}
		conn, buffered, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return false
		}
		defer func() { _ = conn.Close() }()
		id := r.Header.Get("Request-Id")
		head := fmt.Sprintf(answerHead, id, b.name)
		n, _ := io.CopyN(io.Discard, buffered, earlyRead)
		if early {
			_, _ = io.WriteString(conn, head)
		}
		time.Sleep(readPause)
		m, err := io.CopyN(io.Discard, buffered, r.ContentLength-n)
		if err != nil {
			b.fleet.add("%s got %d bytes of %s and then %v", b.name, n+m, id, err)
			return true
		}
		b.fleet.ran(b, r, n+m)
		time.Sleep(uploadWork)
		if !early {
			_, _ = io.WriteString(conn, head)
		}
		_, err = io.WriteString(conn, answerBody)
		b.fleet.add("%s ends its answer to %s and closes, %v", b.name, id, err)
		return true
	}
}

// playEarly sends uploads on kept connections to one instance, which gets SIGTERM while the backend servers
// work on them. With trouble these begin to answer before they have read the whole body.
func playEarly(f *fleet, trouble bool) (bool, error) {
	f.store.put("op/config", configuration(7, []route{
		{name: "r-upload", host: "jepu9.example", path: "/scans/", kind: "upload", service: "kliniki", timeout: 4, attempts: 2},
	}, "kliniki"))
	if err := f.setUp("kliniki", 4, 3); err != nil {
		return false, err
	}
	for _, b := range f.backends {
		b.behave = answersUnframed(trouble)
	}
	leaving := f.instances[0]
	var group sync.WaitGroup
	var mu sync.Mutex
	cut := 0
	for range 6 {
		group.Go(func() {
			c := newClient(f, leaving)
			defer c.close()
			c.send("POST", "jepu9.example", "/scans/", "small", 8*time.Second)
			a := c.send("POST", "jepu9.example", "/scans/", strings.Repeat("b", uploadBytes), 8*time.Second)
			mu.Lock()
			defer mu.Unlock()
			if f.hasRun(a.id) && a.err != nil {
				cut++
			}
		})
	}
	time.Sleep(readPause)
	f.note("SIGTERM to %s", leaving.name)
	leaving.signal(syscall.SIGTERM)
	group.Wait()
	f.note("uploads that ran and whose connection ended without a complete answer: %d, 0 allowed", cut)
	return cut > 0, nil
}
