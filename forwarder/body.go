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
	// errUploadsFull reports that there is no memory for reading ahead.
	errUploadsFull = eris.New("no memory left for uploads")
)

// callerBody is the body of a caller's request. It buffers up to maxBufferedBytes, so
// that work that did not run at one backend server can be sent to another. Each reader
// gets the body from its first byte without a gap, or an error. A nil callerBody means
// that the request has no body.
type callerBody struct {
	source       io.Reader
	controller   *http.ResponseController
	stallTimeout time.Duration
	// length is the number of bytes of the body, or negative if it is unknown.
	length  int64
	uploads *uploads
	// received is the number of bytes that net/http may hold of the body before it is read.
	received int
	// passed is the number of bytes taken from uploads for passing the body on.
	passed int
	// promised is set if the memory for the whole body was taken when it was admitted. The body
	// can be sent again until the request ends then, also by several attempts at once.
	promised bool

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
	// held is the number of bytes taken from uploads for buffered. The capacity of buffered is no
	// larger, and what a read in progress may bring has room in held, unless overflowed is set.
	held int
	// closed is set when the request has ended. Nothing is held then.
	closed bool
	// end is the error with which the source ended; nil until then.
	end error
}

func newCallerBody(s *session) *callerBody {
	if s.r.Body == nil || s.r.Body == http.NoBody || s.r.ContentLength == 0 {
		return nil
	}
	b := &callerBody{
		source:       s.r.Body,
		controller:   http.NewResponseController(s.w),
		stallTimeout: s.forwarder.options.StallTimeout,
		length:       s.r.ContentLength,
		uploads:      s.forwarder.uploads,
	}
	if s.r.ProtoMajor == 2 {
		b.received = StreamBytes
	}
	return b
}

// admit takes the memory for passing the body on, and for sending it again if its length is known
// and it fits. It reports false if there is no memory for passing it on. It is called once, before
// the body is read.
func (b *callerBody) admit() bool {
	if b == nil {
		return true
	}
	needed := b.bounded(passedBytes) + b.bounded(b.received)
	if !b.uploads.takeNeeded(needed) {
		return false
	}
	b.passed = needed
	if b.length > 0 && b.length <= maxBufferedBytes && b.uploads.takeOptional(int(b.length)) {
		b.held, b.promised = int(b.length), true
	}
	return true
}

// close returns all memory of the body. Reading it must have ended.
func (b *callerBody) close() {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return
	}
	b.closed = true
	b.giveUpBuffer()
	b.uploads.put(b.passed)
}

// giveUpBuffer returns the memory of the buffer. mu is held.
func (b *callerBody) giveUpBuffer() {
	b.overflowed, b.buffered = true, nil
	b.uploads.put(b.held)
	b.held = 0
}

// bounded returns n, or the length of the body if that is less: the source yields no more.
func (b *callerBody) bounded(n int) int {
	if b.length < 0 {
		return n
	}
	return int(min(int64(n), b.length))
}

// makeRoom makes room in the buffer for n more bytes. It reports false, and changes nothing, if
// there is no memory for that. mu is held.
func (b *callerBody) makeRoom(n int) bool {
	size := b.bounded(len(b.buffered) + n)
	if size > b.held {
		// The old buffer is held until its bytes are copied.
		size = max(size, b.bounded(min(2*b.held, maxBufferedBytes+n)))
		if !b.uploads.takeOptional(size) {
			return false
		}
		defer b.uploads.put(b.held)
		b.held = size
	}
	if cap(b.buffered) < b.held {
		b.buffered = append(make([]byte, 0, b.held), b.buffered...)
	}
	return true
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

// readAhead buffers the body until its end, or until the buffer is full, there is no memory for
// more, reading fails or the deadline passes. A zero deadline means that there is none. No attempt
// may read yet.
func (b *callerBody) readAhead(deadline time.Time) {
	chunk := buffers.Get().(*[]byte)
	defer buffers.Put(chunk)
	ahead := bodyReader{body: b, ahead: true, until: deadline}
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
	// ahead is set if no attempt reads. What was read can't be given up then, since no attempt has
	// sent it.
	ahead bool
	// until is when a read in progress ends; zero means that only the stall timeout ends it.
	until time.Time
}

// readDeadline returns when a read that begins now ends without bytes of the caller.
func (r *bodyReader) readDeadline(now time.Time) time.Time {
	t := now.Add(r.body.stallTimeout)
	if !r.until.IsZero() && r.until.Before(t) {
		return r.until
	}
	return t
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
	if n, err := r.prepare(p); n > 0 || err != nil {
		return n, err
	}
	if !b.setDeadline(r.readDeadline(time.Now())) {
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
	r.body.mu.Lock()
	defer r.body.mu.Unlock()
	return r.copyBuffered(p)
}

// prepare reads from the buffer, or makes room in it for what the source may yield. If there is no
// memory for that, it gives the buffer up, or returns errUploadsFull when reading ahead. It returns
// 0 and nil if the source must be read.
func (r *bodyReader) prepare(p []byte) (int, error) {
	b := r.body
	b.mu.Lock()
	defer b.mu.Unlock()
	if n, err := r.copyBuffered(p); n > 0 || err != nil {
		return n, err
	}
	switch {
	case b.closed:
		return 0, errBodyReleased
	case b.overflowed || b.makeRoom(len(p)):
	case r.ahead:
		return 0, errUploadsFull
	default:
		// The attempt that reads has not ended, so no other one was promised the body.
		b.giveUpBuffer()
		b.uploads.unbuffered.Add(1)
	}
	return 0, nil
}

// copyBuffered is readBuffered while mu of the body is held.
func (r *bodyReader) copyBuffered(p []byte) (int, error) {
	b := r.body
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
		b.giveUpBuffer()
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

// Read implements io.Reader. net/http calls it in a goroutine of its own.
func (b *attemptBody) Read(p []byte) (n int, err error) {
	err = errPanicked
	b.attempt.session.forwarder.options.Catcher.Run("request body", func() { n, err = b.read(p) })
	return n, err
}

// read reads from the body. At its end it posts that the whole body was sent.
func (b *attemptBody) read(p []byte) (int, error) {
	if err := b.attempt.ctx.Err(); err != nil {
		return 0, err
	}
	if b.attempt.withheld.Load() {
		// Bytes that are read now may be lost to the next connection.
		return 0, errAttemptEnded
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
