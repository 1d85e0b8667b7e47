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

// attempt is one request sent to a backend server on behalf of a session.
type attempt struct {
	session *session
	id      descriptor.AttemptID
	backend descriptor.Backend
	ctx     context.Context
	cancel  context.CancelFunc
	// body is what the attempt sends of the caller's body, or nil.
	body *attemptBody
	// response is set before Answered is posted.
	response *http.Response
	// expectedID is the identifier that the answer repeats, or "" if there is none.
	expectedID string
	// reused is set if the connection had carried other requests.
	reused atomic.Bool
	// withheld is set if the request was not sent because the connection must not carry it.
	withheld atomic.Bool
	// conn is the connection that carries the request, or nil.
	conn atomic.Pointer[connection]
	// wholeRead is set before the last byte of an answer of known length is written to
	// the caller, which may then have the whole answer.
	wholeRead atomic.Bool
	closing   sync.Once
	// stage is one of attemptWaiting, attemptSent and attemptWithdrawn.
	stage atomic.Int32
	// connectionsUsed counts the connections that carried the request.
	// firstIdleNanos is how long the first one had been idle, in nanoseconds.
	connectionsUsed atomic.Int32
	firstIdleNanos  atomic.Int64
	// connectionBroke reports whether the attempt ended because its connection
	// broke.
	connectionBroke atomic.Bool
}

// Stages of an attempt. Of attemptSent and attemptWithdrawn the first one holds for good.
const (
	// attemptWaiting is the stage of an attempt that has no connection yet.
	attemptWaiting int32 = iota
	// attemptSent is the stage from the moment on at which it may be sent.
	attemptSent
	// attemptWithdrawn is the stage of an attempt whose caller left before.
	attemptWithdrawn
)

// withdraw cancels the attempt if nothing was sent yet. It posts a failure with FaultWithdrawn then.
func (t *attempt) withdraw() {
	if t.stage.CompareAndSwap(attemptWaiting, attemptWithdrawn) {
		t.cancel()
	}
}

// begin reports whether the request may be sent. It can't be withdrawn from then on.
func (t *attempt) begin() bool {
	return t.stage.CompareAndSwap(attemptWaiting, attemptSent) || t.stage.Load() == attemptSent
}

// run sends the request and posts the result.
func (t *attempt) run() {
	s := t.session
	response, err := t.send()
	if err != nil {
		t.fail(err)
		return
	}
	head := s.forwarder.dialect.ParseHead(response, Expected{ID: t.expectedID, Reused: t.reused.Load()})
	if t.reused.Load() && hasSecondStatusLine(response) {
		head.Mismatched = true
	}
	head.Malformed = !isDeliverable(response)
	if fault, ok := head.fault(s.class.Idempotent); ok {
		switch {
		case head.Malformed:
			// Nothing in it can be relied on, a promise that the work did not run neither.
			head = Head{Malformed: true}
			s.forwarder.recorder.Fault()
		case head.Mismatched:
			// The answer may be old, so its load and health are not used.
			head = Head{Mismatched: true}
			s.forwarder.recorder.Mismatch()
		}
		t.post(fault, head)
		t.discard(response, head)
		return
	}
	t.response = response
	s.forwarder.control.Post(descriptor.Answered{
		At:      time.Now(),
		Request: s.id,
		Attempt: t.id,
		Status:  response.StatusCode,
		Health:  head.Health,
		Load:    head.Load,
		Pause:   head.Pause,
		Limit:   head.Limit,
	})
}

// send sends the request and returns the answer. It sends it on another connection if the first
// one must not carry it. Each connection that must not is closed, so that a new one follows.
func (t *attempt) send() (*http.Response, error) {
	service := t.session.forwarder.nonIdempotentClient
	if t.session.class.Idempotent {
		service = t.session.forwarder.idempotentClient
	}
	for {
		t.withheld.Store(false)
		response, err := service.DoRequest(t.request())
		if !t.withheld.Load() {
			return response, err
		}
		if err == nil {
			// It was read before the connection was closed, and answers an earlier request.
			_ = response.Body.Close()
		}
		if t.body != nil {
			t.body.stop()
		}
	}
}

// fault returns the fault that the head of an answer to idempotent or other work indicates, and
// false if there is none.
func (h Head) fault(idempotent bool) (descriptor.Fault, bool) {
	switch {
	case h.Malformed, h.Mismatched:
		return descriptor.FaultBroken, true
	case h.Foreign:
		return descriptor.FaultWrongBackend, true
	case h.NotRun:
		return descriptor.FaultShed, true
	case h.Unstated && !idempotent:
		// Delivered, it could make the caller send work again that ran.
		return descriptor.FaultStatus, true
	}
	return 0, false
}

// discard releases an answer that is not delivered. If the answer belongs to another
// request or is malformed, its connection is closed, because later answers on it can't be
// matched to requests either.
func (t *attempt) discard(response *http.Response, h Head) {
	if h.Malformed || h.Mismatched {
		t.cancel()
	} else {
		_, _ = io.CopyN(io.Discard, response.Body, maxDiscardedBytes)
	}
	_ = response.Body.Close()
}

// maxDiscardedBytes bounds the bytes that are read from an answer that is not
// delivered. Reading it to its end allows its connection to be reused.
const maxDiscardedBytes = 64 << 10

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
		t.body = &attemptBody{bodyReader: bodyReader{body: s.body}, attempt: t}
		r.Body = t.body
	case !s.class.Idempotent:
		r.ContentLength = 0
		r.Body = EmptyOnceBody{}
	default:
		r.ContentLength = 0
	}
	return r.WithContext(httptrace.WithClientTrace(t.ctx, &httptrace.ClientTrace{GotConn: t.gotConn}))
}

// EmptyOnceBody is an empty body that can't be read again. It prevents net/http from
// resending a request whose method is idempotent by HTTP semantics: the idempotency of
// the request's class takes precedence over its method.
type EmptyOnceBody struct{}

// Read implements io.Reader.
func (EmptyOnceBody) Read([]byte) (int, error) { return 0, io.EOF }

// Close implements io.Closer.
func (EmptyOnceBody) Close() error { return nil }

// target returns the URL of the request. Its path and query equal those that the
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
	t.expectedID = s.forwarder.dialect.PrepareRequest(h, s.r, t.backend, s.timeLeft(time.Now()))
	s.setCustomer(h)
	if _, ok := h["User-Agent"]; !ok {
		// An empty value prevents net/http from adding its default.
		h["User-Agent"] = []string{""}
	}
	lowercaseKeyNames(h)
	return h
}

// gotConn is called by net/http when a request gets a connection, before it is sent. It closes
// a connection that must not carry the request, or whose request was withdrawn: then nothing is
// sent. net/http resends an idempotent request by itself when a reused connection breaks. This is
// correct if the connection was idle for longer than FreshTime and the backend server closed it
// meanwhile. Otherwise the request may have crashed the backend server, so the attempt
// is cancelled and its failure is posted to the control goroutine.
func (t *attempt) gotConn(info httptrace.GotConnInfo) {
	if c, ok := info.Conn.(*connection); ok {
		withheld := !c.carry(t.expectedID) || !t.begin()
		t.withheld.Store(withheld)
		if withheld {
			t.session.forwarder.recorder.Withhold()
			_ = c.Close()
			return
		}
		c.written.begin()
		t.conn.Store(c)
	}
	t.reused.Store(info.Reused)
	if t.connectionsUsed.Add(1) == 1 {
		t.firstIdleNanos.Store(int64(info.IdleTime))
		return
	}
	if time.Duration(t.firstIdleNanos.Load()) <= t.session.forwarder.options.FreshTime {
		t.connectionBroke.Store(true)
		t.cancel()
	}
}

// fail posts a failed attempt, unless the attempt was cancelled for another reason than a
// broken connection.
func (t *attempt) fail(err error) {
	if t.stage.Load() == attemptWithdrawn {
		t.post(descriptor.FaultWithdrawn, Head{})
		return
	}
	if t.ctx.Err() != nil && !t.connectionBroke.Load() {
		return
	}
	t.session.forwarder.recorder.Fault()
	t.post(t.faultOf(err), Head{})
}

func (t *attempt) faultOf(err error) descriptor.Fault {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" && t.connectionsUsed.Load() == 0 {
		return descriptor.FaultConnect
	}
	if t.session.body.sourceFailed() {
		return descriptor.FaultRequestBody
	}
	return descriptor.FaultBroken
}

// post posts a failed attempt. The attempt reads no more of the caller's body then, so that
// whether the body can be sent again doesn't change.
func (t *attempt) post(fault descriptor.Fault, head Head) {
	s := t.session
	if t.body != nil {
		t.body.stop()
	}
	s.forwarder.control.Post(descriptor.Failed{
		At:             time.Now(),
		Request:        s.id,
		Attempt:        t.id,
		Fault:          fault,
		Health:         head.Health,
		Load:           head.Load,
		Pause:          head.Pause,
		Limit:          head.Limit,
		BodyReplayable: s.body.replayable(),
		Content:        s.body.content(),
	})
}

// close closes the body of the answer.
func (t *attempt) close() {
	t.closing.Do(func() {
		if t.response != nil {
			_ = t.response.Body.Close()
		}
	})
}
