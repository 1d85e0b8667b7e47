package forwarder

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"monsoonswitch/descriptor"
)

// copyBufferBytes is the size of a copy buffer in bytes.
const copyBufferBytes = 32 << 10

var buffers = sync.Pool{New: func() any {
	b := make([]byte, copyBufferBytes)
	return &b
}}

// copyAnswer streams an answer to the caller and returns the number of bytes read.
// It returns an error only if the backend server's answer was truncated. After the
// caller disconnects, the rest of the answer is read and discarded, so that the
// completion of the work is still observed.
func (s *session) copyAnswer(response *http.Response) (uint64, error) {
	controller := http.NewResponseController(s.w)
	copyHeader(s.w.Header(), response.Header)
	s.forwarder.dialect.AddAnswerHeaders(s.w.Header())
	s.closeIfLeaving()
	announceTrailers(s.w.Header(), response)
	if !s.callerLeft {
		s.w.WriteHeader(response.StatusCode)
	}
	buffer := buffers.Get().(*[]byte)
	defer buffers.Put(buffer)
	var sum uint64
	for {
		n, err := response.Body.Read(*buffer)
		sum += uint64(n)
		if n > 0 && !s.callerLeft {
			s.write(controller, (*buffer)[:n])
		}
		if errors.Is(err, io.EOF) {
			copyTrailers(s.w.Header(), response)
			return sum, nil
		}
		if err != nil {
			return sum, err
		}
	}
}

// closeIfLeaving closes the caller's connection after the answer if this instance is
// shutting down, so that the caller's next request goes to another instance.
func (s *session) closeIfLeaving() {
	if s.forwarder.snapshot.Load().Leaving {
		s.w.Header().Set("Connection", "close")
	}
}

// write sends bytes to the caller. On a write error it records that the caller
// disconnected and posts this to the control goroutine.
func (s *session) write(controller *http.ResponseController, data []byte) {
	_ = controller.SetWriteDeadline(time.Now().Add(s.forwarder.options.StallTimeout))
	_, err := s.w.Write(data)
	if err == nil {
		err = controller.Flush()
	}
	if err != nil && !errors.Is(err, http.ErrNotSupported) {
		s.callerLeft = true
		s.callerDone = nil
		s.forwarder.control.Post(descriptor.CallerGone{At: time.Now(), Request: s.id})
	}
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
	s.forwarder.recorder.End(s.endReason(a), time.Since(s.started), 0)
	body := refusal{
		Reason:  a.Reason.String(),
		Outcome: a.Outcome.String(),
		Service: s.service,
		Retry:   a.Retry.Seconds(),
	}
	if a.Reason == descriptor.Misdirected && s.entry != nil {
		body.Addresses = addresses(s.currentEntry(), s.forwarder.options.Domain, s.caller())
	}
	s.closeIfLeaving()
	if s.forwarder.dialect.Refuse(s.w, s.r, a) {
		_ = json.NewEncoder(s.w).Encode(body)
	}
}

func (s *session) endReason(a descriptor.Refuse) descriptor.Reason {
	if s.callerLeft {
		return descriptor.Abandoned
	}
	return a.Reason
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
	}
	return http.StatusServiceUnavailable
}
