package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// playQueued has clients leave whose unsafe requests wait at the instance for a slot of a slow backend.
func playQueued(rec *record, trouble bool) (bool, error) {
	const work, slow = 410 * time.Millisecond, 5
	f, err := newFleet(rec, 1, smallMachine, []route{{"hulo84.example", "/xapu221/", "unsafe", "wuno", 4, 2, 2}})
	if f != nil {
		defer f.close()
	}
	if err != nil {
		return false, err
	}
	var slowed atomic.Bool
	var backends []*backend
	for n := range 2 {
		b, err := newBackend(f.store, rec, "wuno", n+1, 6, func(*http.Request) time.Duration {
			if slowed.Load() {
				return slow * work
			}
			return work
		})
		if err != nil {
			return false, err
		}
		backends = append(backends, b)
	}
	if err := f.wait(); err != nil {
		return false, err
	}
	all := &leavers{left: make(map[string]time.Time)}
	var clients sync.WaitGroup
	for n := range 160 {
		if n == 40 && trouble {
			slowed.Store(true)
			rec.write("the backends turn slow: their work takes %d times as long", slow)
		}
		leaves := trouble && n >= 40
		clients.Go(func() { postingClient(rec, all, f.instances[0].front, n, leaves) })
		time.Sleep(70 * time.Millisecond)
	}
	clients.Wait()
	time.Sleep(5 * time.Second)
	return all.judge(rec, backends, 0).late > goneFew, nil
}

// postingClient sends an unsafe request with a body. It leaves after 300 ms, or reads the answer.
func postingClient(rec *record, all *leavers, front string, n int, leaves bool) {
	conn, err := net.Dial("tcp", front)
	if err != nil {
		return
	}
	defer closeQuietly(conn)
	id := fmt.Sprintf("q%d", n)
	body := strings.Repeat("x", 300)
	_, _ = io.WriteString(conn, clientHead("POST", "/xapu221/2f", "hulo84.example", id, len(body))+body)
	rec.write("client %d sends %s to %s", n, id, front)
	if !leaves {
		readAnswers(rec, conn, n, 1)
		return
	}
	got := make(chan struct{})
	go func() {
		defer close(got)
		readAnswers(rec, conn, n, 1)
	}()
	select {
	case <-got:
	case <-time.After(300 * time.Millisecond):
		_ = conn.Close()
		all.leave(time.Now(), id)
		rec.write("client %d closes its connection", n)
		<-got
	}
}
