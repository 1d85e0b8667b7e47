package forwarder

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"monsoonswitch/asserter"
	"monsoonswitch/descriptor"
)

// slowReader reads small parts with pauses, as from a slow link.
type slowReader struct{ source io.Reader }

// Read implements io.Reader.
func (s slowReader) Read(p []byte) (int, error) {
	time.Sleep(time.Millisecond)
	return s.source.Read(p[:min(len(p), 4096)])
}

// dialSlow opens a connection with a small window.
func (x *fixture) dialSlow(t *testing.T) *rawCaller {
	dialer := net.Dialer{Control: func(_, _ string, c syscall.RawConn) error {
		var failed error
		err := c.Control(func(fd uintptr) {
			failed = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 8<<10)
		})
		return errors.Join(err, failed)
	}}
	conn, err := dialer.DialContext(context.Background(), "tcp", strings.TrimPrefix(x.front.URL, "http://"))
	asserter.NoError(t, "dial", err)
	t.Cleanup(func() { _ = conn.Close() })
	asserter.NoError(t, "deadline", conn.SetDeadline(time.Now().Add(10*time.Second)))
	return &rawCaller{t: t, conn: conn, reader: bufio.NewReader(slowReader{conn})}
}

// TestAnswerBeforeClose guards against an answer that is cut because the instance closes the
// connection after it, in a shutdown, while the caller has sent further requests.
func TestAnswerBeforeClose(t *testing.T) {
	const size = 200_000
	for name, answer := range map[string]func(w http.ResponseWriter){
		"with a length": func(w http.ResponseWriter) { w.Header().Set("Content-Length", fmt.Sprint(size)) },
		"in chunks":     func(w http.ResponseWriter) { _ = http.NewResponseController(w).Flush() },
		"with trailers": func(w http.ResponseWriter) { w.Header().Set("Trailer", "Sum") },
	} {
		t.Run(name, func(t *testing.T) {
			x := newFixture(t, func(w http.ResponseWriter, _ *http.Request) {
				answer(w)
				_, _ = io.WriteString(w, strings.Repeat("a", size))
			})
			directory := *x.forwarder.snapshot.Load().Directory
			directory.Leaving = true
			x.forwarder.SetDirectory(&directory)
			k := x.dialSlow(t)
			for range 3 {
				k.write("GET /a HTTP/1.1\r\nHost: ledger.example\r\n\r\n")
			}
			response, err := http.ReadResponse(k.reader, nil)
			asserter.NoError(t, "read answer", err)
			data, err := io.ReadAll(response.Body)
			if name != "with trailers" {
				// net/http ends an answer with trailers itself.
				asserter.NoError(t, "read body", err)
				asserter.Equal(t, "bytes", len(data), size)
				asserter.True(t, "the answer closes the connection", response.Close)
				asserter.AtMost(t, "time until the connection ends", k.ends(), closeTimeout)
			}
		})
	}
}

// TestWaitClosed guards against an end of the process that resets connections which are being
// closed.
func TestWaitClosed(t *testing.T) {
	x := newFixture(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") })
	directory := *x.forwarder.snapshot.Load().Directory
	directory.Leaving = true
	x.forwarder.SetDirectory(&directory)
	k := x.dialRaw(t)
	k.write("GET /a HTTP/1.1\r\nHost: ledger.example\r\n\r\n")
	k.answer()
	// The caller has the answer a moment before its connection is taken over; a shutdown of the
	// listener waits for that.
	asserter.Eventually(t, "the connection is being closed", closeTimeout, func() bool {
		x.forwarder.closer.mu.Lock()
		defer x.forwarder.closer.mu.Unlock()
		return x.forwarder.closer.open == 1
	})
	started := time.Now()
	time.AfterFunc(200*time.Millisecond, func() { _ = k.conn.Close() })
	x.forwarder.WaitClosed(t.Context())
	asserter.AtLeast(t, "wait for a caller that closes", time.Since(started), 150*time.Millisecond)
	asserter.AtMost(t, "wait for a caller that closes", time.Since(started), closeTimeout/2)
}

// TestHalfClosedCaller guards against an empty answer to a caller that closed its sending side
// and was taken for gone.
func TestHalfClosedCaller(t *testing.T) {
	x := newFixture(t, func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(200 * time.Millisecond)
		_, _ = io.WriteString(w, "ok")
	})
	k := x.dialRaw(t)
	k.write("GET /a HTTP/1.1\r\nHost: ledger.example\r\n\r\n")
	asserter.NoError(t, "close the sending side", k.conn.(*net.TCPConn).CloseWrite())
	response, err := http.ReadResponse(k.reader, nil)
	if err == nil {
		data, err := io.ReadAll(response.Body)
		asserter.True(t, fmt.Sprintf("no answer, or the whole one: got status %d and %q", response.StatusCode, data), err != nil || string(data) == "ok")
	}
	asserter.Equal(t, "answers discarded", posted[descriptor.CallerGone](x.control), 1)
}
