package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

const (
	// crowdSize is the number of connections of a crowd to the listener for callers, and
	// smallCrowdSize that to each of the other listeners. All connections of a test exceed the
	// descriptors of the settings.
	crowdSize, smallCrowdSize = 600, 150
	// crowdTime is how long a crowd lasts. It is longer than the timeout for a head.
	crowdTime = 3500 * time.Millisecond
	// crowdHead is the size of a head within the limits of the operators' platform, in bytes.
	crowdHead = 16 << 10
	// redialPause is the time after which a connection of a crowd that was closed is opened anew.
	redialPause = 500 * time.Millisecond
)

// sender is a kind of untrusted caller: what one of its connections sends.
type sender struct {
	name string
	// once is sent first, and again is then sent repeatedly with pauses.
	once, again []byte
	pause       time.Duration
	// reads is set if the caller reads what it gets.
	reads bool
}

// pathHeld names an answer of endlessAnswers that keeps a request until the timeout of its route.
const pathHeld = "/safe/crowd/silence"

// startOf returns the first lines of a head.
func startOf(method, path string) string {
	return method + " " + path + " HTTP/1.1\r\nHost: ledger.example\r\nRequest-Id: crowd\r\nDeadline-Ms: 2000\r\n"
}

// distinctLines returns n bytes of header lines with short names that differ.
func distinctLines(n int) string {
	var b strings.Builder
	for i := 0; b.Len() < n; i++ {
		fmt.Fprintf(&b, "%s:\r\n", shortName(i))
	}
	return b.String()[:b.Len()]
}

// shortName returns the i-th of the short header names.
func shortName(i int) string {
	const letters = "abcdefghijklmnopqrstuvwxyz"
	name := string(letters[i%len(letters)])
	for i /= len(letters); i > 0; i /= len(letters) {
		name += string(letters[i%len(letters)])
	}
	return name + "x"
}

// distinctHead returns a complete head of crowdHead bytes with distinct short names.
func distinctHead(path string) string {
	start := startOf("GET", path)
	return start + distinctLines(crowdHead-len(start)-16) + "\r\n"
}

// chunkedStart is the head of a request whose body comes in chunks.
var chunkedStart = startOf("POST", "/once/crowd/silence") + "Transfer-Encoding: chunked\r\n\r\n"

// headSenders are the kinds of untrusted callers that send odd heads. They are used for every
// listener, with its path.
func headSenders(path string) []sender {
	start := startOf("GET", path)
	repeated := func(line string, n int) string { return strings.Repeat(line, n/len(line)) }
	return []sender{
		{name: "complete heads with distinct short names", again: []byte(distinctHead(path)), pause: time.Second, reads: true},
		{name: "complete heads with one short name", again: []byte(start + repeated("a:\r\n", crowdHead-len(start)-16) + "\r\n"), pause: time.Second, reads: true},
		{name: "complete heads with odd bytes", again: []byte(start + repeated("a\x7f\xff: \xfe\r\n", crowdHead-len(start)-16) + "\r\n"), pause: time.Second, reads: true},
		{name: "heads that end late", once: []byte(start + distinctLines(crowdHead)), again: []byte("z:\r\n"), pause: 500 * time.Millisecond},
		{name: "heads without end", once: []byte(start), again: []byte(distinctLines(crowdHead)), pause: 10 * time.Millisecond},
		{name: "lines without end", once: []byte(start + "a: "), again: []byte(strings.Repeat("b", crowdHead)), pause: 10 * time.Millisecond},
		{name: "long first lines", once: []byte("GET " + path + strings.Repeat("/", 4*crowdHead)), again: []byte("/"), pause: 100 * time.Millisecond},
		{name: "empty lines", again: []byte(repeated("\r\n", crowdHead)), pause: 10 * time.Millisecond},
		{name: "heads byte by byte", once: []byte(start + "a: "), again: []byte("b"), pause: 100 * time.Millisecond},
		{name: "connections that never send"},
		{name: "complete requests directly after another", again: []byte(strings.Repeat(distinctHead(path), 20)), pause: 10 * time.Millisecond},
		{name: "small requests whose answers are not read", again: []byte(strings.Repeat(start+"\r\n", 100)), pause: 10 * time.Millisecond},
	}
}

// bodySenders are further kinds of untrusted callers, for the listener for callers only.
func bodySenders() []sender {
	long := strings.Repeat("x", 900_000)
	chunk := "1;" + strings.Repeat("a;", 500) + "\r\nx\r\n"
	return []sender{
		{name: "endless answers that are not read", once: []byte(startOf("GET", "/safe/crowd/chunks") + "\r\n")},
		{name: "bodies", again: []byte(fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", startOf("POST", "/once/crowd/silence"), len(long), long)), pause: 10 * time.Millisecond},
		{name: "chunks with many short extensions", once: []byte(chunkedStart), again: []byte(strings.Repeat(chunk, 20)), pause: 10 * time.Millisecond},
		{name: "trailers", again: []byte(chunkedStart + "1\r\nx\r\n0\r\n" + distinctLines(crowdHead) + "\r\n"), pause: time.Second, reads: true},
		{name: "trailers without end", once: []byte(chunkedStart + "1\r\nx\r\n0\r\n"), again: []byte(distinctLines(crowdHead)), pause: 10 * time.Millisecond},
		{name: "HTTP/2 header lists", once: []byte(http2Preface), again: http2Streams(50), pause: 100 * time.Millisecond, reads: true},
		{name: "HTTP/2 header lists without end", once: append([]byte(http2Preface), http2Frame(1, 1, 1, http2Fields("a"))...), again: http2Frame(9, 0, 1, http2Fields("b")), pause: 10 * time.Millisecond, reads: true},
	}
}

// http2Preface starts a connection of HTTP/2, with empty settings.
var http2Preface = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + string(http2Frame(4, 0, 0, nil))

// http2Frame returns a frame of HTTP/2.
func http2Frame(kind, flags byte, stream int, payload []byte) []byte {
	n := len(payload)
	head := []byte{byte(n >> 16), byte(n >> 8), byte(n), kind, flags, 0, 0, byte(stream >> 8), byte(stream)}
	return append(head, payload...)
}

// http2Literal returns a header field in the literal form without indexing.
func http2Literal(name, value string) []byte {
	field := append([]byte{0, byte(len(name))}, name...)
	return append(append(field, byte(len(value))), value...)
}

// http2Fields returns a header list of a request for pathHeld with many short fields. prefix makes
// the names differ from those of other lists.
func http2Fields(prefix string) []byte {
	var list []byte
	for _, field := range [][2]string{{":method", "GET"}, {":scheme", "http"}, {":authority", "ledger.example"}, {":path", pathHeld}, {"request-id", "crowd"}} {
		list = append(list, http2Literal(field[0], field[1])...)
	}
	for i := 0; len(list) < crowdHead-16; i++ {
		list = append(list, http2Literal(prefix+shortName(i), "")...)
	}
	return list
}

// http2Streams returns the requests of many streams.
func http2Streams(count int) []byte {
	var b bytes.Buffer
	list := http2Fields("a")
	for i := range count {
		_, _ = b.Write(http2Frame(1, 5, 2*i+1, list))
	}
	return b.Bytes()
}

// crowd is a number of connections of one kind of sender.
type crowd struct {
	address string
	kind    sender
	stop    chan struct{}
	running sync.WaitGroup
	// opened counts the connections that were opened.
	opened atomic.Int64
}

// startCrowd opens the connections of a crowd. They are opened again when they are closed, until
// the crowd is ended.
func startCrowd(address string, size int, kind sender) *crowd {
	c := &crowd{address: address, kind: kind, stop: make(chan struct{})}
	for range size {
		c.running.Go(func() {
			for c.pause(redialPause) {
				c.connect()
			}
		})
	}
	return c
}

// end closes the connections and waits until all are closed.
func (c *crowd) end() {
	close(c.stop)
	c.running.Wait()
}

// pause waits and reports whether the crowd goes on.
func (c *crowd) pause(d time.Duration) bool {
	select {
	case <-c.stop:
		return false
	case <-time.After(d):
		return true
	}
}

// connect opens a connection and sends on it until it is closed or the crowd ends.
func (c *crowd) connect() {
	conn, err := net.Dial("tcp", c.address)
	if err != nil {
		return
	}
	c.opened.Add(1)
	closed, ended := make(chan struct{}), make(chan struct{})
	var helpers sync.WaitGroup
	helpers.Go(func() {
		select {
		case <-c.stop:
		case <-ended:
		}
		_ = conn.Close()
	})
	if c.kind.reads {
		helpers.Go(func() {
			defer close(closed)
			_, _ = io.Copy(io.Discard, conn)
		})
	}
	c.send(conn, closed)
	close(ended)
	helpers.Wait()
}

// send sends what the kind of sender says, and then waits for the end of the connection.
func (c *crowd) send(conn net.Conn, closed <-chan struct{}) {
	_, err := conn.Write(c.kind.once)
	for err == nil && len(c.kind.again) > 0 {
		if _, err = conn.Write(c.kind.again); err != nil {
			return
		}
		select {
		case <-closed:
			return
		case <-c.stop:
			return
		case <-time.After(c.kind.pause):
		}
	}
	if err == nil && !c.kind.reads {
		<-c.stop
	}
}

// TestCrowdHeads guards against a crowd whose heads are not those that its names say.
func TestCrowdHeads(t *testing.T) {
	if n := len(distinctHead(pathHeld)); n > crowdHead || n < crowdHead-64 {
		t.Errorf("head: got %d bytes, want at most %d", n, crowdHead)
	}
	seen := make(map[string]bool)
	for _, line := range strings.Split(strings.TrimSuffix(distinctLines(crowdHead), "\r\n"), "\r\n") {
		if seen[line] {
			t.Fatalf("line %q: got it twice", line)
		}
		seen[line] = true
	}
}
