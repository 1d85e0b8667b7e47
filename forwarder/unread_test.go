package forwarder

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"monsoonswitch/asserter"
	"monsoonswitch/descriptor"
)

// refusing is a Control that refuses work whose label begins with "refused" at once, and work
// whose label begins with "late" while it is being sent.
type refusing struct{ *singleBackend }

// Open implements Control.
func (c *refusing) Open(e descriptor.Arrived) <-chan descriptor.RequestAction {
	refuse := descriptor.Refuse{Request: e.Request, Reason: descriptor.Overloaded, Outcome: descriptor.NotRun}
	switch {
	case strings.HasPrefix(e.Label, "refused"):
		answers := make(chan descriptor.RequestAction, 1)
		answers <- refuse
		return answers
	case strings.HasPrefix(e.Label, "late"):
		refuse.Reason, refuse.Outcome = descriptor.Expired, descriptor.MayHaveRun
		time.AfterFunc(50*time.Millisecond, func() { c.send(e.Request, refuse) })
	}
	return c.singleBackend.Open(e)
}

// labelledDialect takes the label of a request from its path, and refuses with a head alone,
// as the dialect of the operators' platform does.
type labelledDialect struct{ StandardDialect }

// Label implements Dialect.
func (labelledDialect) Label(r *http.Request) string { return strings.TrimPrefix(r.URL.Path, "/") }

// Refuse implements Dialect.
func (labelledDialect) Refuse(w http.ResponseWriter, _ *http.Request, a descriptor.Refuse) bool {
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(statusOf(a.Reason))
	return false
}

// pathLog collects the paths of the requests that a backend server got.
type pathLog struct {
	mu    sync.Mutex
	paths []string
}

func (l *pathLog) add(path string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.paths = append(l.paths, path)
}

func (l *pathLog) has(path string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Contains(l.paths, path)
}

// newRefusingFixture returns a fixture whose control refuses some work. Its backend server
// answers /early before it has read the body, and all else after that.
func newRefusingFixture(t *testing.T) (*fixture, *pathLog) {
	log := &pathLog{}
	address := listenRaw(t, func(conn net.Conn) {
		reader := bufio.NewReader(conn)
		for {
			r, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			log.add(r.URL.Path)
			if r.URL.Path != "/early" {
				_, _ = io.Copy(io.Discard, r.Body)
			}
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n%s: %s\r\n\r\nok", headerAttempt, r.Header.Get(headerAttempt))
		}
	})
	x := newFixture(t, nil)
	x.control.address = address
	x.forwarder.control = &refusing{x.control}
	x.forwarder.dialect = labelledDialect{x.forwarder.dialect.(StandardDialect)}
	return x, log
}

// rawCaller is a caller that writes the bytes of its requests itself.
type rawCaller struct {
	t      *testing.T
	conn   net.Conn
	reader *bufio.Reader
}

func (x *fixture) dialRaw(t *testing.T) *rawCaller {
	conn, err := net.Dial("tcp", strings.TrimPrefix(x.front.URL, "http://"))
	asserter.NoError(t, "dial", err)
	t.Cleanup(func() { _ = conn.Close() })
	asserter.NoError(t, "deadline", conn.SetDeadline(time.Now().Add(10*time.Second)))
	return &rawCaller{t: t, conn: conn, reader: bufio.NewReader(conn)}
}

// write sends bytes. A connection that is closed meanwhile is no error.
func (c *rawCaller) write(text string) {
	_, _ = io.WriteString(c.conn, text)
}

// answer reads one answer with its body.
func (c *rawCaller) answer() *http.Response {
	response, err := http.ReadResponse(c.reader, nil)
	asserter.NoError(c.t, "read answer", err)
	_, err = io.Copy(io.Discard, response.Body)
	asserter.NoError(c.t, "read body", err)
	return response
}

// ends reports how long the connection stays open and without another byte.
func (c *rawCaller) ends() time.Duration {
	started := time.Now()
	data, err := io.ReadAll(c.reader)
	asserter.Equal(c.t, "further bytes", string(data), "")
	var timeout net.Error
	asserter.True(c.t, "the connection ends", !errors.As(err, &timeout) || !timeout.Timeout())
	return time.Since(started)
}

const nextRequest = "POST /next HTTP/1.1\r\nHost: ledger.example\r\nContent-Length: 5\r\n\r\n"

// TestAnswerBeforeBody guards against a connection that is kept although the answer was decided
// before the request's body was read: two goroutines then read the rest of that body and the
// next request, and the process ended with "invalid concurrent Body.Read call".
func TestAnswerBeforeBody(t *testing.T) {
	for framing, frame := range map[string]struct{ head, part, rest string }{
		"with a length": {"Content-Length: 8192\r\n", strings.Repeat("a", 100), strings.Repeat("a", 8092)},
		"in chunks":     {"Transfer-Encoding: chunked\r\n", "2000\r\n" + strings.Repeat("a", 100), strings.Repeat("a", 8092) + "\r\n0\r\n\r\n"},
	} {
		for name, c := range map[string]struct {
			path  string
			ready bool
		}{
			"refused by the control goroutine":       {"/refused", true},
			"refused before the control goroutine":   {"/starting", false},
			"answered early by the backend server":   {"/early", true},
			"refused with the caller not sending on": {"/refused/stalled", true},
			"refused while it is sent":               {"/late", true},
			"refused while the caller sends nothing": {"/late/stalled", true},
		} {
			t.Run(name+" "+framing, func(t *testing.T) {
				x, log := newRefusingFixture(t)
				if !c.ready {
					x.forwarder.SetDirectory(&descriptor.Directory{})
				}
				k := x.dialRaw(t)
				k.write("POST " + c.path + " HTTP/1.1\r\nHost: ledger.example\r\n" + frame.head + "\r\n" + frame.part)
				started := time.Now()
				asserter.True(t, "the answer closes the connection", k.answer().Close)
				asserter.AtMost(t, "time until the answer", time.Since(started), unreadBodyTimeout/2)
				if !strings.HasSuffix(c.path, "stalled") {
					k.write(frame.rest + nextRequest)
					time.Sleep(20 * time.Millisecond)
					k.write("hello")
				}
				asserter.AtMost(t, "time until the connection ends", k.ends(), 2*unreadBodyTimeout)
				asserter.Equal(t, "the next request is run", log.has("/next"), false)
			})
		}
	}
}

// TestMalformedBody guards against bytes behind a body that can't be parsed being taken for the
// next request of the connection.
func TestMalformedBody(t *testing.T) {
	for _, path := range []string{"/whole", "/refused", "/early"} {
		t.Run(path, func(t *testing.T) {
			x, log := newRefusingFixture(t)
			k := x.dialRaw(t)
			k.write("POST " + path + " HTTP/1.1\r\nHost: ledger.example\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\nzz\r\n" + nextRequest + "hello")
			asserter.True(t, "the answer closes the connection", k.answer().Close)
			k.ends()
			asserter.Equal(t, "the bytes behind are run", log.has("/next"), false)
		})
	}
}

// TestKeptAfterBody guards against closing connections whose request was read to its end.
func TestKeptAfterBody(t *testing.T) {
	for framing, body := range map[string]string{
		"with a length": "Content-Length: 5\r\n\r\nhello",
		"in chunks":     "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
		"without":       "Content-Length: 0\r\n\r\n",
	} {
		t.Run(framing, func(t *testing.T) {
			x, log := newRefusingFixture(t)
			k := x.dialRaw(t)
			for range 3 {
				k.write("POST /whole HTTP/1.1\r\nHost: ledger.example\r\n" + body)
				asserter.Equal(t, "the answer closes the connection", k.answer().Close, false)
			}
			k.write(nextRequest + "hello")
			k.answer()
			asserter.True(t, "the next request is run", log.has("/next"))
		})
	}
}

func (c *singleBackend) send(id descriptor.RequestID, action descriptor.RequestAction) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open[id] <- action
}
