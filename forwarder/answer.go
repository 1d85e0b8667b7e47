package forwarder

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"monsoonswitch/descriptor"
)

// copyBufferBytes is the size of a copy buffer in bytes.
const copyBufferBytes = 32 << 10

var buffers = sync.Pool{New: func() any {
	b := make([]byte, copyBufferBytes)
	return &b
}}

// errCallerLeft reports that the caller disconnected while an answer was copied to it.
var errCallerLeft = eris.New("caller disconnected")

// delivery is the result of copying an answer to the caller.
type delivery struct {
	attempt *attempt
	// bytes is the number of bytes read from the backend server.
	bytes uint64
	// err is nil if the answer was copied completely. It is errCallerLeft if the caller
	// disconnected, and otherwise the error of reading the answer.
	err error
}

// startDelivery copies the answer of an attempt to the caller in the background. If the
// caller left, the answer is discarded instead.
func (s *session) startDelivery(t *attempt) {
	s.delivering = t
	copyTo := s.copyAnswer
	if s.callerLeft {
		copyTo = (*attempt).discardDelivered
		s.discarding = true
	}
	go func() {
		d := delivery{attempt: t, err: errPanicked}
		s.forwarder.options.Catcher.Run("answer", func() { d.bytes, d.err = copyTo(t) })
		s.copied <- d
	}()
}

// discardDelivered reads and discards an answer whose caller left. If it is too long for
// that, its connection is closed.
func (t *attempt) discardDelivered() (uint64, error) {
	n, err := io.CopyN(io.Discard, t.response.Body, maxDiscardedBytes)
	if errors.Is(err, io.EOF) {
		err = t.judgeEnd()
	}
	return uint64(n), err
}

// copyAnswer streams the answer of an attempt to the caller and returns the number of bytes
// read. It returns errCallerLeft if the caller disconnects, and an error if the backend
// server's answer was truncated or the attempt was cancelled.
func (s *session) copyAnswer(t *attempt) (uint64, error) {
	response := t.response
	controller := http.NewResponseController(s.w)
	copyHeader(s.w.Header(), response.Header)
	s.forwarder.dialect.AddAnswerHeaders(s.w.Header())
	s.limitConnection()
	announceTrailers(s.w.Header(), response)
	s.w.WriteHeader(response.StatusCode)
	s.begun = true
	buffer := buffers.Get().(*[]byte)
	defer buffers.Put(buffer)
	var sum uint64
	for {
		n, err := response.Body.Read(*buffer)
		sum += uint64(n)
		if response.ContentLength >= 0 && sum >= uint64(response.ContentLength) {
			t.wholeRead.Store(true)
		}
		if n > 0 {
			if err := s.write(t, controller, (*buffer)[:n]); err != nil {
				return sum, err
			}
		}
		if errors.Is(err, io.EOF) {
			if err := t.judgeEnd(); err != nil {
				return sum, err
			}
			copyTrailers(s.w.Header(), response)
			return sum, nil
		}
		if err != nil {
			return sum, err
		}
	}
}

// limitConnection closes the caller's connection after the answer in two cases: this instance
// is shutting down, so that the caller's next request goes to another instance; or the request's
// body was not read to its end, so that what follows on the connection can't be told from it.
func (s *session) limitConnection() {
	if s.forwarder.snapshot.Load().Leaving || s.r.ProtoMajor == 1 && s.body.unread() {
		s.w.Header().Set("Connection", "close")
		s.closing = true
	}
}

// write sends bytes to the caller. It returns errCallerLeft if that fails, and an error if
// the attempt was cancelled; see stopDelivery.
func (s *session) write(t *attempt, controller *http.ResponseController, data []byte) error {
	_ = controller.SetWriteDeadline(time.Now().Add(s.forwarder.options.StallTimeout))
	if err := t.ctx.Err(); err != nil {
		return err
	}
	_, err := s.w.Write(data)
	if err == nil {
		err = controller.Flush()
	}
	if err != nil && !errors.Is(err, http.ErrNotSupported) {
		return eris.Wrapf(errCallerLeft, "%v", err)
	}
	return nil
}

// stopDelivery cancels the delivery and waits for its end. The write deadline ends a write
// to a caller that does not read; write sets its own only before it checks for cancellation.
func (s *session) stopDelivery() delivery {
	s.delivering.cancel()
	_ = http.NewResponseController(s.w).SetWriteDeadline(time.Now())
	d := <-s.copied
	s.delivered = true
	return d
}

// endDelivery ends the request after its answer was copied or failed.
func (s *session) endDelivery(d delivery) {
	now := time.Now()
	switch {
	case d.err == nil:
		s.complete = true
		s.forwarder.control.Post(descriptor.Finished{At: now, Request: s.id, Attempt: d.attempt.id, Bytes: d.bytes})
		s.recordEnd(s.endReason(descriptor.Served), d.bytes)
		if s.discarding {
			// net/http would write an empty answer, which a caller that only closed its sending
			// side would take for the whole one.
			panic(http.ErrAbortHandler)
		}
	case errors.Is(d.err, errCallerLeft):
		s.recordCallerGone(now)
		s.recordEnd(descriptor.Abandoned, d.bytes)
	case d.attempt.ctx.Err() != nil:
		s.abortAnswer(descriptor.AnswerCut, d.bytes)
	default:
		s.forwarder.control.Post(descriptor.Failed{At: now, Request: s.id, Attempt: d.attempt.id, Fault: descriptor.FaultTruncated})
		s.forwarder.recorder.Fault()
		if errors.Is(d.err, errPanicked) && !s.begun {
			s.refuseAfterPanic()
			return
		}
		s.abortAnswer(descriptor.AnswerCut, d.bytes)
	}
}

// abortAnswer ends a request whose answer is not complete. It aborts the connection or
// stream to the caller, so that the answer can't be taken for a complete one.
func (s *session) abortAnswer(reason descriptor.Reason, bytes uint64) {
	s.recordEnd(s.endReason(reason), bytes)
	s.body.release(0)
	panic(http.ErrAbortHandler)
}

// refusal is the JSON body of a refusal.
type refusal struct {
	Reason    string    `json:"reason"`
	Outcome   string    `json:"outcome"`
	Service   string    `json:"service,omitempty"`
	Addresses []Address `json:"addresses,omitempty"`
	Retry     float64   `json:"retry,omitempty"`
}

// refuse answers that the request is refused, and whether the work may have run.
func (s *session) refuse(a descriptor.Refuse) {
	s.recordEnd(s.endReason(a.Reason), 0)
	body := refusal{
		Reason:  a.Reason.String(),
		Outcome: a.Outcome.String(),
		Service: s.service,
		Retry:   a.Retry.Seconds(),
	}
	if a.Reason == descriptor.Misdirected && s.entry != nil {
		body.Addresses = addresses(s.currentEntry(), s.forwarder.options.Domain, s.caller())
	}
	data, err := json.Marshal(body)
	if err != nil {
		// Can't happen: no field is of a type that JSON lacks.
		data = nil
	}
	s.limitConnection()
	s.w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	s.begun = true
	if s.forwarder.dialect.Refuse(s.w, s.r, a) {
		_, _ = s.w.Write(data)
	}
	// An error means that the caller left.
	_ = http.NewResponseController(s.w).Flush()
	s.complete = true
}

// recordEnd counts the end of the request, once.
func (s *session) recordEnd(reason descriptor.Reason, bytes uint64) {
	if s.counted {
		s.counted = false
		s.forwarder.recorder.End(reason, time.Since(s.started), bytes)
	}
}

// endReason returns why the request ended, given the reason if the caller did not leave.
func (s *session) endReason(reason descriptor.Reason) descriptor.Reason {
	if s.callerLeft {
		return descriptor.Abandoned
	}
	return reason
}

// currentEntry returns the newest directory entry of the service.
func (s *session) currentEntry() *descriptor.ServiceEntry {
	if entry, ok := s.forwarder.snapshot.Load().Services[s.service]; ok {
		return entry
	}
	return s.entry
}

// statusOf returns the HTTP status of a refusal.
func statusOf(reason descriptor.Reason) int {
	switch reason {
	case descriptor.UnknownService, descriptor.UnknownRoute:
		return http.StatusNotFound
	case descriptor.ServiceClosing, descriptor.ServiceClosed:
		return http.StatusGone
	case descriptor.Misdirected:
		return http.StatusMisdirectedRequest
	case descriptor.Expired:
		return http.StatusGatewayTimeout
	case descriptor.KeyMissing, descriptor.KeyInvalid:
		return http.StatusBadRequest
	case descriptor.KeyBusy, descriptor.KeyUsed, descriptor.KeyUnsettled:
		return http.StatusConflict
	case descriptor.Poisoned:
		return http.StatusUnprocessableEntity
	case descriptor.BackendFailed, descriptor.AnswerCut:
		return http.StatusBadGateway
	case descriptor.Unsupported:
		return http.StatusNotImplemented
	case descriptor.Unauthorized:
		return http.StatusUnauthorized
	case descriptor.QuotaExceeded:
		return http.StatusTooManyRequests
	}
	return http.StatusServiceUnavailable
}
