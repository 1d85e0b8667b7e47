package forwarder

import (
	"errors"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"

	"monsoonswitch/descriptor"
)

// maxBufferedBytes bounds the bytes of a request body that are buffered for retries.
const maxBufferedBytes = 1 << 20

// callerBody is the body of a caller's request. It buffers up to maxBufferedBytes, so
// that work that did not run at one backend server can be sent to another. A nil
// callerBody means that the request has no body.
type callerBody struct {
	source       io.ReadCloser
	controller   *http.ResponseController
	stallTimeout time.Duration

	// whole is set once the end of the body was read. The caller's connection can carry
	// another request only then.
	whole atomic.Bool

	// deadlineMu guards released and the read deadline of the caller's connection.
	deadlineMu sync.Mutex
	// released is set when the request ends. The body is not read any more then.
	released bool

	// mu guards the fields below. Attempts read one after the other.
	mu sync.Mutex
	// buffered holds all bytes read so far, unless overflowed is set.
	buffered   []byte
	overflowed bool
	// end is the error with which the source ended; nil until then.
	end error
	// failed is set when reading the source failed before its end.
	failed atomic.Bool
}

// unreadBodyTimeout bounds the time for which the rest of a body is read after the answer.
const unreadBodyTimeout = time.Second

// errBodyReleased reports that the request whose body is read has ended.
var errBodyReleased = eris.New("request has ended")

func newCallerBody(s *session) *callerBody {
	if s.r.Body == nil || s.r.Body == http.NoBody || s.r.ContentLength == 0 {
		return nil
	}
	return &callerBody{
		source:       s.r.Body,
		controller:   http.NewResponseController(s.w),
		stallTimeout: s.forwarder.options.StallTimeout,
	}
}

// replayable reports whether the body can be sent again from its start.
func (b *callerBody) replayable() bool {
	if b == nil {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.overflowed
}

// sourceFailed reports whether reading the caller's body failed.
func (b *callerBody) sourceFailed() bool { return b != nil && b.failed.Load() }

// content returns a hash of the body, or 0 unless the whole body is buffered.
func (b *callerBody) content() uint64 {
	if b == nil {
		return xxhash.Sum64(nil)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.overflowed || !errors.Is(b.end, io.EOF) {
		return 0
	}
	return xxhash.Sum64(b.buffered)
}

// readAhead buffers the body until its end, or until it is too long to be buffered, reading fails
// or the deadline passes. A zero deadline means that there is none.
func (b *callerBody) readAhead(deadline time.Time) {
	chunk := buffers.Get().(*[]byte)
	defer buffers.Put(chunk)
	for offset := 0; b.replayable() && (deadline.IsZero() || time.Now().Before(deadline)); {
		n, err := b.readAt(*chunk, offset)
		if err != nil {
			return
		}
		offset += n
	}
}

// readAt reads bytes from offset on, first from the buffer and then from the source.
// It returns an error if the caller sends nothing for the stall timeout.
func (b *callerBody) readAt(p []byte, offset int) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if offset < len(b.buffered) {
		return copy(p, b.buffered[offset:]), nil
	}
	if b.end != nil {
		return 0, b.end
	}
	if !b.setDeadline(time.Now().Add(b.stallTimeout)) {
		return 0, errBodyReleased
	}
	n, err := b.source.Read(p)
	switch {
	case errors.Is(err, io.EOF):
		b.end = err
		b.whole.Store(true)
		b.setDeadline(time.Time{})
	case err != nil:
		b.end = err
		b.failed.Store(true)
	}
	if !b.overflowed && len(b.buffered)+n <= maxBufferedBytes {
		b.buffered = append(b.buffered, p[:n]...)
		return n, err
	}
	b.overflowed = true
	b.buffered = nil
	return n, err
}

// setDeadline sets the read deadline of the caller's connection; zero means none. It reports
// false, and changes nothing, once the body was released.
func (b *callerBody) setDeadline(t time.Time) bool {
	b.deadlineMu.Lock()
	defer b.deadlineMu.Unlock()
	if !b.released {
		_ = b.controller.SetReadDeadline(t)
	}
	return !b.released
}

// release ends the reading of the body and waits for a read in progress, because net/http
// reads from the connection once the handler returns. What is left of the body is discarded
// until the timeout has passed: the answer may be lost if the connection is closed with unread
// bytes.
func (b *callerBody) release(timeout time.Duration) {
	if !b.unread() {
		return
	}
	b.setDeadline(time.Now().Add(timeout))
	b.deadlineMu.Lock()
	b.released = true
	b.deadlineMu.Unlock()
	b.mu.Lock()
	defer b.mu.Unlock()
}

// unread reports whether the end of the body was not read yet.
func (b *callerBody) unread() bool { return b != nil && !b.whole.Load() }

// attemptBody is the caller's body as read by one attempt.
type attemptBody struct {
	*callerBody
	attempt *attempt
	// offset is the number of bytes read by this attempt.
	offset int
	// sent is set once the end of the body was posted.
	sent atomic.Bool
}

// Read implements io.Reader. At the end of the body it posts that the whole body was
// sent.
func (b *attemptBody) Read(p []byte) (int, error) {
	if err := b.attempt.ctx.Err(); err != nil {
		return 0, err
	}
	n, err := b.readAt(p, b.offset)
	b.offset += n
	if errors.Is(err, io.EOF) && !b.sent.Swap(true) {
		s := b.attempt.session
		s.forwarder.control.Post(descriptor.Sent{At: time.Now(), Request: s.id, Attempt: b.attempt.id})
	}
	return n, err
}

// Close implements io.Closer. The caller's body stays open for other attempts.
func (b *attemptBody) Close() error { return nil }
