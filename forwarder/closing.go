package forwarder

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"monsoonswitch/catcher"
)

// closeTimeout bounds the time for which the instance waits for a caller to close a connection
// whose last answer is sent.
const closeTimeout = 2 * time.Second

// closer closes connections of callers in the background.
type closer struct {
	catcher *catcher.Catcher
	mu      sync.Mutex
	// open is the number of connections that are being closed, or are about to be.
	open int
	// idle is closed when open falls to 0. It is replaced when open rises again.
	idle chan struct{}
}

func (c *closer) begin() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.open == 0 {
		c.idle = make(chan struct{})
	}
	c.open++
}

func (c *closer) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open--
	if c.open == 0 {
		close(c.idle)
	}
}

// wait waits until no connection is being closed, or until ctx ends.
func (c *closer) wait(ctx context.Context) {
	c.mu.Lock()
	open, idle := c.open, c.idle
	c.mu.Unlock()
	if open == 0 {
		return
	}
	select {
	case <-idle:
	case <-ctx.Done():
	}
}

// close closes the sending side of a connection, after the bytes that end the last answer, and
// the connection once the caller has closed it or after closeTimeout. What the caller sends
// meanwhile is discarded: closing a connection with unread bytes resets it, which can destroy
// an answer on its way. begin was called before.
func (c *closer) close(conn net.Conn, last string) {
	go func() {
		defer c.end()
		defer func() { _ = conn.Close() }()
		c.catcher.Run("close", func() { drain(conn, last) })
	}()
}

// drain writes the last bytes of a connection, closes its sending side and discards what comes
// until the peer closes it.
func drain(conn net.Conn, last string) {
	_ = conn.SetDeadline(time.Now().Add(closeTimeout))
	if _, err := io.WriteString(conn, last); err != nil {
		return
	}
	if half, ok := conn.(interface{ CloseWrite() error }); !ok || half.CloseWrite() != nil {
		return
	}
	// An error means that the caller closed the connection or that the time is up.
	_, _ = io.Copy(io.Discard, conn)
}

// WaitClosed waits until the connections that are being closed are closed, or until ctx ends.
func (f *Forwarder) WaitClosed(ctx context.Context) { f.closer.wait(ctx) }

// lastChunk ends a body in chunks without trailers.
const lastChunk = "0\r\n\r\n"

// close closes the caller's connection if the answer announced this. It must be the last use of
// the connection, after a complete answer.
func (s *session) close() {
	if !s.closing || !s.complete || s.r.ProtoMajor != 1 {
		return
	}
	controller := http.NewResponseController(s.w)
	if err := controller.Flush(); err != nil {
		return
	}
	last := ""
	switch {
	case s.delivering == nil || s.delivering.response.ContentLength >= 0 || s.r.Method == http.MethodHead:
	case !s.r.ProtoAtLeast(1, 1) || len(s.delivering.response.Trailer) > 0:
		// net/http ends the answer.
		return
	default:
		last = lastChunk
	}
	// A shutdown of the listener doesn't wait for connections that were taken over.
	s.forwarder.closer.begin()
	conn, _, err := controller.Hijack()
	if err != nil {
		s.forwarder.closer.end()
		// The caller is served over a protocol whose connections can't be taken over.
		return
	}
	s.forwarder.closer.close(conn, last)
}
