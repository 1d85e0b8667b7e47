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

// bufferSize is the number of bytes copied at a time.
const bufferSize = 32 << 10

var buffers = sync.Pool{New: func() any {
	b := make([]byte, bufferSize)
	return &b
}}

// copyAnswer streams an answer to the caller. It returns an error only if the
// backend server's answer broke off; when the caller leaves, the rest is read
// and dropped, so that the end of the work is known.
func (s *session) copyAnswer(response *http.Response) (uint64, error) {
	controller := http.NewResponseController(s.w)
	copyHeader(s.w.Header(), response.Header)
	s.owner.dialect.Pass(s.w.Header())
	s.sendAway()
	announceTrailers(s.w.Header(), response)
	if !s.away {
		s.w.WriteHeader(response.StatusCode)
	}
	buffer := buffers.Get().(*[]byte)
	defer buffers.Put(buffer)
	var sum uint64
	for {
		n, err := response.Body.Read(*buffer)
		sum += uint64(n)
		if n > 0 && !s.away {
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

// sendAway ends the caller's connection after an answer if this instance leaves,
// so that the next request goes to another one.
func (s *session) sendAway() {
	if s.owner.snapshot.Load().Leaving {
		s.w.Header().Set("Connection", "close")
	}
}

// write passes bytes on and notes if the caller left.
func (s *session) write(controller *http.ResponseController, data []byte) {
	_ = controller.SetWriteDeadline(time.Now().Add(s.owner.options.StallTimeout))
	_, err := s.w.Write(data)
	if err == nil {
		err = controller.Flush()
	}
	if err != nil && !errors.Is(err, http.ErrNotSupported) {
		s.away = true
		s.gone = nil
		s.owner.control.Post(descriptor.Gone{At: time.Now(), Request: s.id})
	}
}

// refusal is the body of an answer that refuses work.
type refusal struct {
	Reason    string    `json:"reason"`
	Outcome   string    `json:"outcome"`
	Service   string    `json:"service,omitempty"`
	Addresses []Address `json:"addresses,omitempty"`
	Retry     float64   `json:"retry,omitempty"`
}

// refuse answers that work was refused, and what is known of whether it ran.
func (s *session) refuse(a descriptor.Refuse) {
	s.owner.recorder.End(s.endReason(a), time.Since(s.started), 0)
	body := refusal{
		Reason:  a.Reason.String(),
		Outcome: a.Outcome.String(),
		Service: s.service,
		Retry:   a.Retry.Seconds(),
	}
	if a.Reason == descriptor.Misdirected && s.entry != nil {
		body.Addresses = addresses(s.currentEntry(), s.owner.options.Domain, s.caller())
	}
	s.sendAway()
	if s.owner.dialect.Refuse(s.w, s.r, a) {
		_ = json.NewEncoder(s.w).Encode(body)
	}
}

func (s *session) endReason(a descriptor.Refuse) descriptor.Reason {
	if s.away {
		return descriptor.Abandoned
	}
	return a.Reason
}

// currentEntry returns the newest entry of the service.
func (s *session) currentEntry() *descriptor.Entry {
	if entry, ok := s.owner.snapshot.Load().Services[s.service]; ok {
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
