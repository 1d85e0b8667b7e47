package forwarder

import (
	"bytes"
	"errors"
	"io"
	"sync"
	"time"
)

// settleTime bounds the wait for a write in progress when a connection ends. What the peer has
// answered is written by then, unless the processor is short.
const settleTime = 100 * time.Millisecond

// Ends of the head and of a body in chunks.
var (
	headEnd  = []byte("\r\n\r\n")
	chunkEnd = []byte(lastChunk)
)

// written counts what was written of one request to a connection, and what the peer had taken
// when it ended the connection. It is safe for use by many goroutines.
type written struct {
	mu sync.Mutex
	// tail holds the last bytes that were written, at most len(chunkEnd).
	tail []byte
	// headWritten is set once the head was written, and body is the number of bytes after it.
	headWritten bool
	body        int64
	// busy is closed at the end of a write in progress; nil if there is none.
	busy   chan struct{}
	failed bool
	// ended is set when the peer ended the connection, and taken if it had taken all that was
	// written then.
	ended, taken bool
}

// begin forgets the earlier requests of the connection.
func (w *written) begin() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.tail, w.headWritten, w.body = nil, false, 0
}

// start records that a write begins.
func (w *written) start() chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.busy = make(chan struct{})
	return w.busy
}

// finish records the bytes and the error of a write.
func (w *written) finish(busy chan struct{}, data []byte, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	defer close(busy)
	w.busy = nil
	w.failed = w.failed || err != nil
	if w.headWritten {
		w.body += int64(len(data))
	} else if joined := append(w.tail, data...); bytes.Contains(joined, headEnd) {
		w.headWritten = true
		w.body = int64(len(joined) - bytes.Index(joined, headEnd) - len(headEnd))
	}
	w.tail = append(w.tail, data[max(0, len(data)-len(chunkEnd)):]...)
	w.tail = append([]byte(nil), w.tail[max(0, len(w.tail)-len(chunkEnd)):]...)
}

// settle waits for a write in progress, up to settleTime.
func (w *written) settle() {
	w.mu.Lock()
	busy := w.busy
	w.mu.Unlock()
	if busy == nil {
		return
	}
	timer := time.NewTimer(settleTime)
	defer timer.Stop()
	select {
	case <-busy:
	case <-timer.C:
	}
}

// end records that the peer ended the connection, and whether it had taken all bytes.
func (w *written) end(taken bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ended = true
	w.taken = taken && w.busy == nil && !w.failed
}

// provesWhole reports whether the peer ended the connection after it had taken a request with a
// body of the given length, or in chunks if that is negative.
func (w *written) provesWhole(length int64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.ended || !w.taken || w.failed || !w.headWritten {
		return false
	}
	if length < 0 {
		return bytes.Equal(w.tail, chunkEnd)
	}
	return w.body >= length
}

// Write implements net.Conn.
func (c *connection) Write(p []byte) (int, error) {
	busy := c.written.start()
	n, err := c.Conn.Write(p)
	c.written.finish(busy, p[:n], err)
	return n, err
}

// Read implements net.Conn. When the peer ends the connection it records what the peer had taken;
// net/http closes the connection after that.
func (c *connection) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if errors.Is(err, io.EOF) {
		c.written.settle()
		queued, known := unacknowledged(c.Conn)
		c.written.end(known && queued == 0)
	}
	return n, err
}
