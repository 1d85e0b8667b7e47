package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// goneSlack is the time after a client has left within which its requests may still reach backends.
const goneSlack = 500 * time.Millisecond

// goneFew is the number of requests that are taken for the few that may reach a backend later.
const goneFew = 5

// leavers collects when the clients of requests left.
type leavers struct {
	mu   sync.Mutex
	left map[string]time.Time
}

// leave records that the client of some requests closed its connection.
func (l *leavers) leave(at time.Time, ids ...string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, id := range ids {
		l.left[id] = at
	}
}

// verdict counts what reached the backends late, and what was still at work late.
type verdict struct {
	// late counts requests that reached a backend over goneSlack after their client had left, and ran those
	// of them that ran.
	late, ran int
	// lasting counts idempotent requests that would have lasted so long, and working those of them at which
	// a backend was still at work then.
	lasting, working int
}

// judge counts by the rule. work is how long an idempotent request runs; 0 leaves them out.
func (l *leavers) judge(rec *record, backends []*backend, work time.Duration) verdict {
	var v verdict
	for _, b := range backends {
		for _, x := range b.seen() {
			left, ok := l.left[x.id]
			if !ok {
				continue
			}
			end := left.Add(goneSlack)
			if x.arrived.After(end) {
				v.late++
				if x.ran {
					v.ran++
				}
				rec.write("request %s reached backend %s %d ms after its client had left, ran %v", x.id, b.id, x.arrived.Sub(left).Milliseconds(), x.ran)
				continue
			}
			if work == 0 || !x.arrived.Add(work).After(end) {
				continue
			}
			v.lasting++
			if x.ended.IsZero() || x.ended.After(end) {
				v.working++
			}
		}
	}
	rec.write("%d requests reached a backend over %v after their clients had left, %d of them ran; of %d idempotent requests that would have lasted so long, a backend was still at work on %d",
		v.late, goneSlack, v.ran, v.lasting, v.working)
	return v
}

// clientHead returns the head of a request of a client.
func clientHead(method, path, host, id string, length int) string {
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: 3000\r\n", method, path, host, id)
	if length > 0 {
		head += fmt.Sprintf("Content-Length: %d\r\n", length)
	}
	return head + "\r\n"
}

// pipelined is how many requests a client sends on a connection before the first is answered.
const pipelined = 3

// playPipelined has clients send safe requests behind one another and leave before the first answer.
func playPipelined(rec *record, trouble bool) (bool, error) {
	const work = 1200 * time.Millisecond
	f, err := newFleet(rec, 3, smallMachine, []route{{"jepu9.example", "/lepu270/", "safe", "huvo", 3, 1, 2}})
	if f != nil {
		defer f.close()
	}
	if err != nil {
		return false, err
	}
	var backends []*backend
	for n := range 11 {
		b, err := newBackend(f.store, rec, "huvo", n+1, 3, func(*http.Request) time.Duration { return work })
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
	for n := range 24 {
		front := f.instances[n%len(f.instances)].front
		clients.Go(func() { pipeliningClient(rec, all, front, n, trouble) })
		time.Sleep(400 * time.Millisecond)
	}
	clients.Wait()
	time.Sleep(5 * time.Second)
	v := all.judge(rec, backends, work)
	return v.late > goneFew || 4*v.working > v.lasting, nil
}

// pipeliningClient sends some requests at once. It leaves after 300 ms, or without trouble after all
// answers.
func pipeliningClient(rec *record, all *leavers, front string, n int, trouble bool) {
	conn, err := net.Dial("tcp", front)
	if err != nil {
		return
	}
	defer closeQuietly(conn)
	var ids []string
	text := ""
	for k := range pipelined {
		id := fmt.Sprintf("p%d.%d", n, k)
		ids = append(ids, id)
		text += clientHead("GET", "/lepu270/2f", "jepu9.example", id, 0)
	}
	_, _ = io.WriteString(conn, text)
	rec.write("client %d sends %v to %s", n, ids, front)
	if !trouble {
		readAnswers(rec, conn, n, pipelined)
		return
	}
	time.Sleep(300 * time.Millisecond)
	_ = conn.Close()
	all.leave(time.Now(), ids...)
	rec.write("client %d closes its connection", n)
}

// readAnswers reads answers from a connection.
func readAnswers(rec *record, conn net.Conn, n, count int) {
	_ = conn.SetReadDeadline(time.Now().Add(8 * time.Second))
	reader := bufio.NewReader(conn)
	for range count {
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			rec.write("client %d: %v", n, err)
			return
		}
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		rec.write("client %d gets %d for %s", n, response.StatusCode, response.Header.Get("Request-Id"))
	}
}
