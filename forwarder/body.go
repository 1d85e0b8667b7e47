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

const (
	// maxBufferedBytes bounds the bytes of a request body that are buffered for retries. A
	// read in progress when an attempt ends may add one more part.
	maxBufferedBytes = 1 << 20
	// unreadBodyTimeout bounds the time for which the rest of a body is read after the answer.
	unreadBodyTimeout = time.Second
)

// Errors of reading a caller's body.
var (
	// errBodyReleased reports that the request whose body is read has ended.
	errBodyReleased = eris.New("request has ended")
	// errAttemptEnded reports that the attempt that reads has ended.
	errAttemptEnded = eris.New("attempt has ended")
	// errBodyGone reports that bytes of the body were read by another attempt and not kept.
	errBodyGone = eris.New("body can't be sent again")
)

// callerBody is the body of a caller's request. It buffers up to maxBufferedBytes, so
// that work that did not run at one backend server can be sent to another. Each reader
// gets the body from its first byte without a gap, or an error. A nil callerBody means
// that the request has no body.
type callerBody struct {
	source       io.Reader
	controller   *http.ResponseController
	stallTimeout time.Duration

	// whole is set once the end of the body was read. The caller's connection can carry
	// another request only then.
	whole atomic.Bool
	// failed is set when reading the source failed before its end.
	failed atomic.Bool

	// deadlineMu guards released and the read deadline of the caller's connection.
	deadlineMu sync.Mutex
	// released is set when the request ends. The body is not read any more then.
	released bool

	// reading is held while the source is read. It is taken before mu.
	reading sync.Mutex
	// mu guards the fields below and ended of all readers. It is not held while the source
	// is read, so that what it guards is known at once.
	mu sync.Mutex
	// consumed is the number of bytes read from the source.
	consumed int
	// buffered holds all of them, unless overflowed is set.
	buffered   []byte
	overflowed bool
	// end is the error with which the source ended; nil until then.
	end error
}

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

// replayable reports whether the body can be sent again from its start. It stays so until a
// reader that has not ended reads on.
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

// readAhead buffers the body until its end, or until the buffer is full, reading fails or the
// deadline passes. A zero deadline means that there is none. No attempt may read yet.
func (b *callerBody) readAhead(deadline time.Time) {
	chunk := buffers.Get().(*[]byte)
	defer buffers.Put(chunk)
	ahead := bodyReader{body: b}
	for left := maxBufferedBytes; left > 0 && (deadline.IsZero() || time.Now().Before(deadline)); {
		n, err := ahead.Read((*chunk)[:min(left, len(*chunk))])
		if err != nil {
			return
		}
		left -= n
	}
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
	b.deadlineMu.Lock()
	if !b.released {
		_ = b.controller.SetReadDeadline(time.Now().Add(timeout))
	}
	b.released = true
	b.deadlineMu.Unlock()
	b.reading.Lock()
	defer b.reading.Unlock()
}

// unread reports whether the end of the body was not read yet.
func (b *callerBody) unread() bool { return b != nil && !b.whole.Load() }

// bodyReader reads a caller's body from its first byte.
type bodyReader struct {
	body *callerBody
	// offset is the number of bytes read.
	offset int
	// ended is set when the attempt that reads has ended. It is guarded by mu of the body.
	ended bool
}

// stop ends the reading. What a read in progress takes from the source is kept for other
// readers.
func (r *bodyReader) stop() {
	r.body.mu.Lock()
	defer r.body.mu.Unlock()
	r.ended = true
}

// Read implements io.Reader. It returns an error if the caller sends nothing for the stall
// timeout, or if bytes that this reader didn't get were not kept.
func (r *bodyReader) Read(p []byte) (int, error) {
	if n, err := r.readBuffered(p); n > 0 || err != nil {
		return n, err
	}
	b := r.body
	b.reading.Lock()
	defer b.reading.Unlock()
	// Another reader may have read on meanwhile.
	if n, err := r.readBuffered(p); n > 0 || err != nil {
		return n, err
	}
	if !b.setDeadline(time.Now().Add(b.stallTimeout)) {
		return 0, errBodyReleased
	}
	n, err := b.source.Read(p)
	switch {
	case errors.Is(err, io.EOF):
		b.whole.Store(true)
		b.setDeadline(time.Time{})
	case err != nil:
		b.failed.Store(true)
	}
	r.record(p[:n], err)
	return n, err
}

// readBuffered reads from the buffer. It returns 0 and nil if the source must be read.
func (r *bodyReader) readBuffered(p []byte) (int, error) {
	b := r.body
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case r.ended:
		return 0, errAttemptEnded
	case r.offset < len(b.buffered):
		n := copy(p, b.buffered[r.offset:])
		r.offset += n
		return n, nil
	case r.offset < b.consumed:
		return 0, errBodyGone
	}
	return 0, b.end
}

// record keeps what was read from the source, unless it is too much. A reader that has ended
// doesn't cause the buffer to be given up: another one may have been promised it.
func (r *bodyReader) record(data []byte, err error) {
	b := r.body
	b.mu.Lock()
	defer b.mu.Unlock()
	b.end = err
	b.consumed += len(data)
	r.offset = b.consumed
	if b.overflowed {
		return
	}
	if len(b.buffered)+len(data) > maxBufferedBytes && !r.ended {
		b.overflowed, b.buffered = true, nil
		return
	}
	b.buffered = append(b.buffered, data...)
}

// attemptBody is the caller's body as read by one attempt.
type attemptBody struct {
	bodyReader
	attempt *attempt
	// sent is set once the end of the body was posted.
	sent atomic.Bool
}

// Read implements io.Reader. At the end of the body it posts that the whole body was
// sent.
func (b *attemptBody) Read(p []byte) (int, error) {
	if err := b.attempt.ctx.Err(); err != nil {
		return 0, err
	}
	n, err := b.bodyReader.Read(p)
	if errors.Is(err, io.EOF) && !b.sent.Swap(true) {
		s := b.attempt.session
		s.forwarder.control.Post(descriptor.Sent{At: time.Now(), Request: s.id, Attempt: b.attempt.id})
	}
	return n, err
}

// Close implements io.Closer. The caller's body stays open for other attempts.
func (b *attemptBody) Close() error { return nil }
