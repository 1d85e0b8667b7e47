package forwarder

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"monsoonswitch/declarer"
	"monsoonswitch/descriptor"
)

// session is one request of a caller.
type session struct {
	owner   *Forwarder
	w       http.ResponseWriter
	r       *http.Request
	id      descriptor.RequestID
	started time.Time
	entry   *descriptor.Entry
	class   declarer.Class
	service string
	body    *callerBody
	// gone is nil once the caller's leaving was posted.
	gone     <-chan struct{}
	left     bool
	attempts map[descriptor.AttemptID]*attempt
	running  sync.WaitGroup
}

func newSession(f *Forwarder, w http.ResponseWriter, r *http.Request) *session {
	s := &session{
		owner:    f,
		w:        w,
		r:        r,
		id:       descriptor.RequestID(f.requests.Add(1)),
		started:  time.Now(),
		service:  serviceName(r),
		gone:     r.Context().Done(),
		attempts: make(map[descriptor.AttemptID]*attempt),
	}
	directory := f.directory.Load()
	if entry, ok := directory.Services[s.service]; ok {
		s.entry = entry
		s.class, _ = entry.Service.Match(r.Method, r.URL.Path)
	}
	return s
}

// serviceName returns the service that a request is for: the header Service, or
// the first label of its host.
func serviceName(r *http.Request) string {
	if name := r.Header.Get(headerService); name != "" {
		return name
	}
	host, _, _ := strings.Cut(r.Host, ":")
	name, _, _ := strings.Cut(host, ".")
	return name
}

// run serves the request to its end.
func (s *session) run() {
	if reason, ok := s.unfit(); ok {
		s.refuse(descriptor.Refuse{Reason: reason})
		return
	}
	s.body = newCallerBody(s)
	if s.body != nil {
		// Answers may begin before the caller has sent everything.
		_ = http.NewResponseController(s.w).EnableFullDuplex()
	}
	actions := s.owner.control.Open(s.arrived())
	defer s.owner.control.Release(s.id)
	defer s.stopAttempts()
	for {
		select {
		case a := <-actions:
			if s.obey(a) {
				return
			}
		case <-s.gone:
			s.gone = nil
			s.left = true
			s.owner.control.Post(descriptor.Gone{At: time.Now(), Request: s.id})
		}
	}
}

// unfit returns why a request can't be handed to the decisions at all.
func (s *session) unfit() (descriptor.Reason, bool) {
	switch {
	case s.r.Method == http.MethodConnect || s.r.Header.Get("Upgrade") != "":
		return descriptor.Unsupported, true
	case !s.owner.directory.Load().Ready:
		return descriptor.Starting, true
	case s.entry == nil:
		return descriptor.UnknownService, true
	}
	return descriptor.Served, false
}

// arrived describes the request to the decisions.
func (s *session) arrived() descriptor.Arrived {
	hasBody := s.body != nil
	return descriptor.Arrived{
		At:          time.Now(),
		Request:     s.id,
		Service:     s.service,
		Class:       s.class.Name,
		Caller:      s.caller(),
		Key:         s.r.Header.Get(headerKey),
		Fingerprint: s.fingerprint(),
		Replayable:  !hasBody,
		Body:        hasBody,
		Deadline:    deadline(s.r, s.started),
	}
}

// caller tells callers apart for fair shares.
func (s *session) caller() string {
	if h := s.owner.options.CallerHeader; h != "" {
		if v := s.r.Header.Get(h); v != "" {
			return v
		}
	}
	return hostOf(s.r.RemoteAddr)
}

// fingerprint is equal for requests of one caller that ask for the same.
func (s *session) fingerprint() uint64 {
	h := xxhash.New()
	for _, part := range []string{s.service, s.r.Method, s.r.URL.RequestURI(), s.r.Header.Get("Content-Length"), s.caller()} {
		_, _ = h.WriteString(part)
		_, _ = h.Write([]byte{0})
	}
	return h.Sum64()
}

// obey does what the decisions say and tells whether the request ended.
func (s *session) obey(action descriptor.RequestAction) bool {
	switch a := action.(type) {
	case descriptor.Dispatch:
		s.dispatch(a)
	case descriptor.Cancel:
		if t, ok := s.attempts[a.Attempt]; ok {
			t.cancel()
		}
	case descriptor.Deliver:
		return s.deliver(a)
	case descriptor.Refuse:
		s.stopAttempts()
		s.refuse(a)
		return true
	}
	return false
}

// dispatch starts an attempt. It outlives the caller: whether it ends early is
// for the decisions to say.
func (s *session) dispatch(a descriptor.Dispatch) {
	ctx, cancel := context.WithCancel(context.WithoutCancel(s.r.Context()))
	t := &attempt{session: s, id: a.Attempt, backend: a.Backend, ctx: ctx, cancel: cancel}
	s.attempts[a.Attempt] = t
	s.owner.recorder.Attempt()
	s.running.Add(1)
	go func() {
		defer s.running.Done()
		t.run()
	}()
}

// stopAttempts cancels every attempt and waits for its goroutine, which reads
// the caller's body.
func (s *session) stopAttempts() {
	for _, t := range s.attempts {
		t.cancel()
	}
	s.running.Wait()
	for _, t := range s.attempts {
		t.close()
	}
}

// deliver passes the answer of an attempt to the caller.
func (s *session) deliver(a descriptor.Deliver) bool {
	t, ok := s.attempts[a.Attempt]
	if !ok || t.response == nil {
		return false
	}
	bytes, err := s.copyAnswer(t.response)
	if err != nil {
		return s.cut(a.Attempt, bytes)
	}
	now := time.Now()
	s.owner.control.Post(descriptor.Finished{At: now, Request: s.id, Attempt: a.Attempt, Bytes: bytes})
	reason := descriptor.Served
	if s.left {
		reason = descriptor.Abandoned
	}
	s.owner.recorder.End(reason, now.Sub(s.started), bytes)
	return true
}

// cut ends a request whose answer broke off. The connection or stream to the
// caller is broken, so that the answer can't look whole.
func (s *session) cut(id descriptor.AttemptID, bytes uint64) bool {
	now := time.Now()
	s.owner.control.Post(descriptor.Failed{At: now, Request: s.id, Attempt: id, Fault: descriptor.FaultCut})
	s.owner.recorder.Fault()
	s.owner.recorder.End(descriptor.AnswerCut, now.Sub(s.started), bytes)
	panic(http.ErrAbortHandler)
}
