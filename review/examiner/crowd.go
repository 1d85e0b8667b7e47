package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// holders is the number of connections that untrusted clients hold.
	holders = 700
	// holdTime is the time after which each of them opens another stream.
	holdTime = time.Second
	// triers is the number of ordinary clients that try at once, and crowdTime how long they do.
	triers, crowdTime = 10, 30 * time.Second
	// stableWindow is the bound stable_window_s.
	stableWindow = 3 * time.Second
)

// playCrowd has untrusted clients hold connections of HTTP/2 with one slow upload each.
func playCrowd(rec *record, trouble bool) (bool, error) {
	f, err := newFleet(rec, 1, smallMachine, []route{
		{"jepu9.example", "/lepu270/", "safe", "huvo", 3, 1, 2},
		{"hulo84.example", "/xapu221/", "unsafe", "wuno", 4, 2, 2},
	})
	if f != nil {
		defer f.close()
	}
	if err != nil {
		return false, err
	}
	for n := range 6 {
		service := []string{"huvo", "wuno"}[n%2]
		if _, err := newBackend(f.store, rec, service, n+1, 6, func(*http.Request) time.Duration { return 100 * time.Millisecond }); err != nil {
			return false, err
		}
	}
	if err := f.wait(); err != nil {
		return false, err
	}
	p := f.instances[0]
	stop := make(chan struct{})
	var clients sync.WaitGroup
	if trouble {
		for range holders {
			clients.Go(func() { holder(p.front, stop) })
		}
		rec.write("%d untrusted clients connect", holders)
		time.Sleep(2 * time.Second)
	}
	tries := &attempts{last: time.Now()}
	for n := range triers {
		clients.Go(func() {
			for k := 0; ; k++ {
				select {
				case <-stop:
					return
				case <-time.After(200 * time.Millisecond):
				}
				tries.add(rec, n, tryOnce(p.front, fmt.Sprintf("t%d.%d", n, k)))
			}
		})
	}
	ready := true
	for end := time.Now().Add(crowdTime); time.Now().Before(end); time.Sleep(time.Second) {
		now := p.isReady()
		ready = ready && now
		rec.write("ready: %v", now)
	}
	close(stop)
	clients.Wait()
	rec.write("ordinary clients: %d tries, %d answered; the longest time without an answer is %d ms; ready all the while: %v",
		tries.count, tries.answered, tries.longest.Milliseconds(), ready)
	return ready && tries.longest > stableWindow, nil
}

// attempts counts the tries of ordinary clients.
type attempts struct {
	mu              sync.Mutex
	count, answered int
	// last is the time of the last answer, and longest the longest time between two.
	last    time.Time
	longest time.Duration
}

// add counts a try.
func (a *attempts) add(rec *record, n int, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.count++
	now := time.Now()
	a.longest = max(a.longest, now.Sub(a.last))
	if err == nil {
		a.answered++
		a.last = now
		return
	}
	rec.write("ordinary client %d: %v", n, err)
}

// tryOnce sends a request on a new connection and reads the answer.
func tryOnce(front, id string) error {
	conn, err := net.DialTimeout("tcp", front, time.Second)
	if err != nil {
		return err
	}
	defer closeQuietly(conn)
	_ = conn.SetDeadline(time.Now().Add(3 * time.Second))
	if _, err := io.WriteString(conn, clientHead("GET", "/lepu270/2f", "jepu9.example", id, 0)); err != nil {
		return err
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return err
	}
	return response.Body.Close()
}

// slowHead is the header list of a request whose body does not end.
var slowHead = bytes.Join([][]byte{
	{0x83, 0x86}, literal(":path", "/xapu221/2f"), literal(":authority", "hulo84.example"), literal("request-id", "held"), literal("deadline-ms", "4000"),
}, nil)

// holder keeps a connection with a slow upload until it is to stop.
func holder(front string, stop <-chan struct{}) {
	for {
		if conn, err := net.Dial("tcp", front); err == nil {
			hold(conn, stop)
			_ = conn.Close()
		}
		select {
		case <-stop:
			return
		case <-time.After(500 * time.Millisecond):
		}
	}
}

// hold opens a stream in each holdTime and sends no end of its body.
func hold(conn net.Conn, stop <-chan struct{}) {
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		_, _ = io.Copy(io.Discard, conn)
	}()
	_, err := conn.Write(append([]byte("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"), frame(4, 0, 0, nil)...))
	for stream := uint32(1); err == nil; stream += 2 {
		_, err = conn.Write(append(frame(1, 4, stream, slowHead), frame(0, 0, stream, []byte("x"))...))
		select {
		case <-stop:
			return
		case <-closed:
			return
		case <-time.After(holdTime):
		}
	}
}
