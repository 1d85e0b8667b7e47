package main

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// leastMachine is the smallest machine of the deployments.
var leastMachine = machine{136, 2870}

const (
	// hostileConnections is the number of connections of untrusted clients.
	hostileConnections = 400
	// streamsEach is the number of requests that each of them keeps open at once, and streamBody how much of
	// the body of each it sends.
	streamsEach, streamBody = 15, 64 << 10
	framePayload            = 16 << 10
	// longIDs is the number of requests with identifiers of longID bytes to each service.
	longIDs, longID = 300, 60_000
	// uploaders is the number of clients that upload, and uploadBody the length of each upload.
	uploaders, uploadBody = 16, 900_000
	// uploadPause is the time between two uploads of a client.
	uploadPause = 200 * time.Millisecond
)

// playMemory has untrusted clients send bodies over HTTP/2 to paths without a route.
func playMemory(rec *record, trouble bool) (bool, error) {
	f, err := newFleet(rec, 1, leastMachine, []route{
		{"jepu9.example", "/lepu270/", "safe", "huvo", 3, 1, 2},
		{"hulo84.example", "/xapu221/", "safe", "kafi", 3, 1, 2},
		{"fiti9.example", "/fiti832/", "upload", "wuno", 12, 2, 2},
		{"fiti9.example", "/cubo38/", "safe", "wuno", 3, 1, 2},
	})
	if f != nil {
		defer f.close()
	}
	if err != nil {
		return false, err
	}
	for n := range 9 {
		work := 100 * time.Millisecond
		service := []string{"huvo", "kafi", "wuno"}[n%3]
		if service == "wuno" {
			work = 2 * time.Second
		}
		if _, err := newBackend(f.store, rec, service, n+1, 8, func(*http.Request) time.Duration { return work }); err != nil {
			return false, err
		}
	}
	if err := f.wait(); err != nil {
		return false, err
	}
	p := f.instances[0]
	rec.write("memory before: %d bytes", p.memory())
	stop := make(chan struct{})
	var clients sync.WaitGroup
	if trouble {
		startHostile(rec, p.front, &clients, stop)
	}
	broken := watchMemory(rec, p)
	close(stop)
	clients.Wait()
	return broken, nil
}

// startHostile sends requests with long identifiers, and starts the uploaders and the clients of HTTP/2.
func startHostile(rec *record, front string, clients *sync.WaitGroup, stop <-chan struct{}) {
	for _, target := range []string{"jepu9.example/lepu270/", "hulo84.example/xapu221/", "fiti9.example/cubo38/"} {
		sendLongIDs(rec, front, target)
	}
	for n := range uploaders {
		clients.Go(func() { uploader(rec, front, n, stop) })
	}
	time.Sleep(time.Second)
	for n := range hostileConnections {
		clients.Go(func() { hostileClient(rec, front, n, stop) })
	}
}

// watchMemory watches the memory of a process for 15 s, and sends an ordinary request each second. It
// reports whether the process used more than its machine has, or ended.
func watchMemory(rec *record, p *instance) bool {
	limit, peak := int64(leastMachine.memory)*1e6, int64(0)
	for k := range 60 {
		if k%4 == 0 {
			ordinaryClient(rec, p.front, k)
		}
		time.Sleep(250 * time.Millisecond)
		now := p.memory()
		if now == 0 {
			rec.write("the process has ended")
			return true
		}
		if now > peak {
			peak = now
			rec.write("memory of %s: %d bytes, %d allowed", p.name, peak, limit)
		}
	}
	return peak > limit
}

// ordinaryClient sends one request and reads its answer.
func ordinaryClient(rec *record, front string, n int) {
	conn, err := net.Dial("tcp", front)
	if err != nil {
		rec.write("client %d: %v", n, err)
		return
	}
	defer closeQuietly(conn)
	_, _ = io.WriteString(conn, clientHead("GET", "/lepu270/2f", "jepu9.example", fmt.Sprintf("o%d", n), 0))
	readAnswers(rec, conn, n, 1)
}

// sendLongIDs sends requests with long identifiers to a host and path and leaves before they are answered.
func sendLongIDs(rec *record, front, target string) {
	host, path, _ := strings.Cut(target, "/")
	rec.write("untrusted clients send %d requests with identifiers of %d bytes to %s", longIDs, longID, target)
	var clients sync.WaitGroup
	places := make(chan struct{}, 16)
	for n := range longIDs {
		places <- struct{}{}
		clients.Go(func() {
			defer func() { <-places }()
			conn, err := net.Dial("tcp", front)
			if err != nil {
				return
			}
			defer closeQuietly(conn)
			id := fmt.Sprintf("l%d", n) + strings.Repeat("x", longID)
			_, _ = io.WriteString(conn, clientHead("GET", "/"+path+"2f", host, id, 0))
			time.Sleep(60 * time.Millisecond)
		})
	}
	clients.Wait()
}

// uploader sends one upload after another on a connection.
func uploader(rec *record, front string, n int, stop <-chan struct{}) {
	body := make([]byte, uploadBody)
	for {
		select {
		case <-stop:
			return
		default:
		}
		conn, err := net.Dial("tcp", front)
		if err != nil {
			return
		}
		_, _ = io.WriteString(conn, clientHead("POST", "/fiti832/2f", "fiti9.example", fmt.Sprintf("u%d", n), len(body)))
		_, _ = conn.Write(body)
		readAnswers(rec, conn, n, 1)
		_ = conn.Close()
		time.Sleep(uploadPause)
	}
}

// frame returns a frame of HTTP/2.
func frame(kind, flags byte, stream uint32, payload []byte) []byte {
	b := make([]byte, 9, 9+len(payload))
	b[0], b[1], b[2], b[3], b[4] = byte(len(payload)>>16), byte(len(payload)>>8), byte(len(payload)), kind, flags
	binary.BigEndian.PutUint32(b[5:], stream)
	return append(b, payload...)
}

// literal returns a header field in the literal form without indexing.
func literal(name, value string) []byte {
	return append(append([]byte{0, byte(len(name))}, name...), append([]byte{byte(len(value))}, value...)...)
}

// hostileHead is the header list of a request for a path without a route.
var hostileHead = bytes.Join([][]byte{
	// POST, http and / of the static table, and :authority.
	{0x83, 0x86, 0x84, 0x01, 1, 'a'},
}, nil)

// hostileClient opens connections until it is to stop.
func hostileClient(rec *record, front string, n int, stop <-chan struct{}) {
	for first := true; ; first = false {
		select {
		case <-stop:
			return
		default:
		}
		if conn, err := net.Dial("tcp", front); err == nil {
			if first {
				rec.write("untrusted client %d connects", n)
			}
			sendBodies(conn, stop)
			_ = conn.Close()
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// sendBodies sends requests with bodies that do not end, and new ones each second.
func sendBodies(conn net.Conn, stop <-chan struct{}) {
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		_, _ = io.Copy(io.Discard, conn)
	}()
	_ = conn.SetWriteDeadline(time.Now().Add(20 * time.Second))
	_, err := conn.Write(append([]byte("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"), frame(4, 0, 0, nil)...))
	for stream := uint32(1); err == nil; {
		var b bytes.Buffer
		for range streamsEach {
			b.Write(frame(1, 4, stream, hostileHead))
			for range streamBody / framePayload {
				b.Write(frame(0, 0, stream, make([]byte, framePayload)))
			}
			stream += 2
		}
		_, err = conn.Write(b.Bytes())
		select {
		case <-stop:
			return
		case <-closed:
			return
		case <-time.After(1100 * time.Millisecond):
		}
	}
}
