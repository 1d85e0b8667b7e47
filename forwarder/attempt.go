package forwarder

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"monsoonswitch/descriptor"
)

// attempt is one try of a session at a backend server.
type attempt struct {
	session *session
	id      descriptor.AttemptID
	backend descriptor.Backend
	ctx     context.Context
	cancel  context.CancelFunc
	// response is set before Answered is posted.
	response *http.Response
	closing  sync.Once
	// used counts the connections that carried the request; idle is how long
	// the first one had been unused.
	used atomic.Int32
	idle atomic.Int64
	// broke tells that the attempt ended because its connection broke.
	broke atomic.Bool
}

// run sends the request and posts what comes of it.
func (t *attempt) run() {
	s := t.session
	service := s.owner.careful
	if s.class.Idempotent {
		service = s.owner.reusing
	}
	response, err := service.DoRequest(t.request())
	if err != nil {
		t.fail(err)
		return
	}
	head := s.owner.dialect.Read(response, s.label)
	if fault, ok := head.fault(); ok {
		t.drop(response, head)
		t.post(fault, head)
		return
	}
	t.response = response
	s.owner.control.Post(descriptor.Answered{
		At:      time.Now(),
		Request: s.id,
		Attempt: t.id,
		Status:  response.StatusCode,
		Health:  head.Health,
		Load:    head.Load,
	})
}

// fault returns the fault that the head of an answer tells of.
func (h Head) fault() (descriptor.Fault, bool) {
	switch {
	case h.Stray:
		return descriptor.FaultBroken, true
	case h.Foreign:
		return descriptor.FaultForeign, true
	case h.NotRun:
		return descriptor.FaultShed, true
	}
	return 0, false
}

// drop gives up an answer that is not delivered. The connection of one that
// belongs to another request is closed: what follows on it can't be told apart.
func (t *attempt) drop(response *http.Response, h Head) {
	if h.Stray {
		t.cancel()
	} else {
		_, _ = io.CopyN(io.Discard, response.Body, maxDropped)
	}
	_ = response.Body.Close()
}

// maxDropped bounds the bytes read of an answer that is not delivered, so that
// its connection can be used again.
const maxDropped = 4 << 10

// request builds the request for the backend server.
func (t *attempt) request() *http.Request {
	s := t.session
	r := &http.Request{
		Method:        s.r.Method,
		URL:           t.target(),
		Host:          s.r.Host,
		Header:        t.header(),
		ContentLength: s.r.ContentLength,
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
	}
	switch {
	case s.body != nil:
		r.Body = &attemptBody{callerBody: s.body, attempt: t}
	case !s.class.Idempotent:
		r.ContentLength = 0
		r.Body = oneWay{}
	default:
		r.ContentLength = 0
	}
	return r.WithContext(httptrace.WithClientTrace(t.ctx, &httptrace.ClientTrace{GotConn: t.gotConn}))
}

// oneWay is an empty body that can't be read again. It keeps net/http from sending
// a request a second time by itself whose method promises that it may: what a class
// of work says goes before its method.
type oneWay struct{}

// Read implements io.Reader.
func (oneWay) Read([]byte) (int, error) { return 0, io.EOF }

// Close implements io.Closer.
func (oneWay) Close() error { return nil }

// target returns the URL of the request, whose path and query are those that the
// caller sent, byte for byte.
func (t *attempt) target() *url.URL {
	u := &url.URL{Scheme: "http", Host: t.backend.Address}
	if raw := t.session.r.RequestURI; strings.HasPrefix(raw, "/") && !strings.HasPrefix(raw, "//") {
		u.Opaque = raw
		return u
	}
	from := t.session.r.URL
	u.Path, u.RawPath, u.RawQuery = from.Path, from.RawPath, from.RawQuery
	return u
}

func (t *attempt) header() http.Header {
	s := t.session
	h := make(http.Header, len(s.r.Header)+4)
	copyHeader(h, s.r.Header)
	s.owner.dialect.Offer(h, s.r, t.backend, s.left(time.Now()))
	if _, ok := h["User-Agent"]; !ok {
		// An empty value keeps net/http from adding its own.
		h["User-Agent"] = []string{""}
	}
	hideKey(h)
	return h
}

// gotConn watches net/http, which sends an idempotent request a second time by
// itself when a kept connection breaks. That is right when the connection had
// been unused for long and was closed meanwhile. Otherwise the request may have
// brought the backend server down, and the decisions must hear of it.
func (t *attempt) gotConn(info httptrace.GotConnInfo) {
	if t.used.Add(1) == 1 {
		t.idle.Store(int64(info.IdleTime))
		return
	}
	if time.Duration(t.idle.Load()) <= t.session.owner.options.FreshTime {
		t.broke.Store(true)
		t.cancel()
	}
}

// fail posts a failed attempt, unless it was cancelled.
func (t *attempt) fail(err error) {
	if t.ctx.Err() != nil && !t.broke.Load() {
		return
	}
	t.session.owner.recorder.Fault()
	t.post(t.faultOf(err), Head{})
}

func (t *attempt) faultOf(err error) descriptor.Fault {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" && t.used.Load() == 0 {
		return descriptor.FaultConnect
	}
	if t.session.body.broken() {
		return descriptor.FaultSource
	}
	return descriptor.FaultBroken
}

func (t *attempt) post(fault descriptor.Fault, head Head) {
	s := t.session
	s.owner.control.Post(descriptor.Failed{
		At:        time.Now(),
		Request:   s.id,
		Attempt:   t.id,
		Fault:     fault,
		Health:    head.Health,
		Load:      head.Load,
		Untouched: s.body.again(),
	})
}

// close releases the answer.
func (t *attempt) close() {
	t.closing.Do(func() {
		if t.response != nil {
			_ = t.response.Body.Close()
		}
	})
}

// maxKept bounds the bytes of a body that are kept to send it again.
const maxKept = 1 << 20

// callerBody is the body of a caller's request. Its first bytes are kept, so that
// work that did not run at one backend server can go to another. A nil callerBody
// stands for no body.
type callerBody struct {
	source     io.ReadCloser
	controller *http.ResponseController
	stall      time.Duration

	// mu guards what follows; one attempt after the other reads.
	mu sync.Mutex
	// kept holds all bytes read so far unless lost is set.
	kept []byte
	lost bool
	// end is the error at the end of the source, or nil before.
	end    error
	failed atomic.Bool
}

func newCallerBody(s *session) *callerBody {
	if s.r.Body == nil || s.r.Body == http.NoBody || s.r.ContentLength == 0 {
		return nil
	}
	return &callerBody{
		source:     s.r.Body,
		controller: http.NewResponseController(s.w),
		stall:      s.owner.options.StallTimeout,
	}
}

// again tells whether the body can be sent again from its start.
func (b *callerBody) again() bool {
	if b == nil {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.lost
}

func (b *callerBody) broken() bool { return b != nil && b.failed.Load() }

// readAt reads the bytes from an offset on: those kept first, and then more of
// the source. It fails if the caller sends nothing for too long.
func (b *callerBody) readAt(p []byte, offset int) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if offset < len(b.kept) {
		return copy(p, b.kept[offset:]), nil
	}
	if b.end != nil {
		return 0, b.end
	}
	_ = b.controller.SetReadDeadline(time.Now().Add(b.stall))
	n, err := b.source.Read(p)
	if err != nil {
		b.end = err
		_ = b.controller.SetReadDeadline(time.Time{})
	}
	if err != nil && !errors.Is(err, io.EOF) {
		b.failed.Store(true)
	}
	if !b.lost && len(b.kept)+n <= maxKept {
		b.kept = append(b.kept, p[:n]...)
		return n, err
	}
	b.lost = true
	b.kept = nil
	return n, err
}

// attemptBody is the caller's body as one attempt sends it.
type attemptBody struct {
	*callerBody
	attempt *attempt
	// offset is the number of bytes read by this attempt.
	offset int
	sent   atomic.Bool
}

// Read implements io.Reader and posts that the whole body was sent.
func (b *attemptBody) Read(p []byte) (int, error) {
	if err := b.attempt.ctx.Err(); err != nil {
		return 0, err
	}
	n, err := b.readAt(p, b.offset)
	b.offset += n
	if errors.Is(err, io.EOF) && !b.sent.Swap(true) {
		s := b.attempt.session
		s.owner.control.Post(descriptor.Sent{At: time.Now(), Request: s.id, Attempt: b.attempt.id})
	}
	return n, err
}

// Close implements io.Closer. The caller's body stays open for other attempts.
func (b *attemptBody) Close() error { return nil }
