package forwarder

import (
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"monsoonswitch/descriptor"
)

// errPanicked reports a panic in the handling of a request.
var errPanicked = eris.New("panic in the handling of the request")

// failAfterPanic posts that an attempt whose goroutine panicked failed. It says that the body
// can't be sent again: what was read of it is not known.
func (t *attempt) failAfterPanic() {
	t.cancel()
	t.session.forwarder.recorder.Fault()
	t.session.forwarder.control.Post(descriptor.Failed{
		At: time.Now(), Request: t.session.id, Attempt: t.id, Fault: descriptor.FaultBroken,
	})
}

// endAfterPanic ends a request whose goroutine panicked. The control goroutine is told of it as
// of a caller that left and attempts that broke, after which it does nothing more for the request.
// The caller gets 502, or a broken connection if its answer has begun.
func (s *session) endAfterPanic() {
	now := time.Now()
	left := s.callerLeft
	s.recordCallerGone(now)
	for _, t := range s.attempts {
		s.forwarder.control.Post(descriptor.Failed{At: now, Request: s.id, Attempt: t.id, Fault: descriptor.FaultBroken})
	}
	s.callerLeft = left
	if s.delivering != nil && !s.delivered {
		s.stopDelivery()
	}
	if s.begun || s.complete {
		s.recordEnd(descriptor.AnswerCut, 0)
		panic(http.ErrAbortHandler)
	}
	s.refuseAfterPanic()
}

// refuseAfterPanic answers that the work may have run.
func (s *session) refuseAfterPanic() {
	clear(s.w.Header())
	value := s.forwarder.options.Catcher.Run("refusal", func() {
		s.refuse(descriptor.Refuse{Request: s.id, Reason: descriptor.BackendFailed, Outcome: descriptor.MayHaveRun})
	})
	if value != nil {
		s.recordEnd(descriptor.BackendFailed, 0)
		panic(http.ErrAbortHandler)
	}
}
