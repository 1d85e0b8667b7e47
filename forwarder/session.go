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
	// label is the caller's own identifier of the request.
	label string
	// deadline is when the caller stops waiting; zero means that it never does.
	deadline time.Time
	// gone is nil once the caller's leaving was posted, which away tells.
	gone     <-chan struct{}
	away     bool
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
		gone:     r.Context().Done(),
		attempts: make(map[descriptor.AttemptID]*attempt),
	}
	s.label = f.dialect.Label(r)
	if p := f.dialect.Patience(r); p > 0 {
		s.deadline = s.started.Add(p)
	}
	return s
}

// locate finds the service and the class of the request.
func (s *session) locate() (descriptor.Reason, bool) {
	directory := s.owner.snapshot.Load()
	if directory.Routes != nil {
		return s.locateRoute(directory)
	}
	s.service = serviceName(s.r)
	entry, ok := directory.Services[s.service]
	if !ok {
		return descriptor.UnknownService, false
	}
	s.entry = entry
	s.class, _ = entry.Service.Match(s.r.Method, s.r.URL.Path)
	return descriptor.Served, true
}

// locateRoute finds the route of the request by host and path. A route that is
// not known may be a new one: only knowledge of the platform's store that is
// newer than the request can tell that there is none.
func (s *session) locateRoute(d *snapshot) (descriptor.Reason, bool) {
	timer := time.NewTimer(routeWait)
	defer timer.Stop()
	for {
		if route, ok := d.Routes.Match(s.r.Host, s.r.URL.EscapedPath()); ok {
			s.service = route.Choose(s.owner.turn(route.Class.Name))
			s.class = route.Class
			s.entry = d.Services[s.service]
			if t := s.started.Add(route.Class.Timeout); route.Class.Timeout > 0 && (s.deadline.IsZero() || t.Before(s.deadline)) {
				s.deadline = t
			}
			return descriptor.Served, true
		}
		if d.Current.After(s.started) {
			return descriptor.UnknownRoute, false
		}
		select {
		case <-d.replaced:
			d = s.owner.snapshot.Load()
		case <-timer.C:
			return descriptor.Starting, false
		case <-s.gone:
			return descriptor.Abandoned, false
		}
	}
}

// routeWait is the longest wait for news of a route that is not known; the news
// comes with the next confirmation of a follower of the store.
const routeWait = 900 * time.Millisecond

// left returns the time until the deadline, or 0 if there is none.
func (s *session) left(now time.Time) time.Duration {
	if s.deadline.IsZero() {
		return 0
	}
	return max(s.deadline.Sub(now), time.Millisecond)
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
			s.away = true
			s.owner.control.Post(descriptor.Gone{At: time.Now(), Request: s.id})
		}
	}
}

// unfit returns why a request can't be handed to the decisions at all.
func (s *session) unfit() (descriptor.Reason, bool) {
	switch {
	case s.r.Method == http.MethodConnect || s.r.Header.Get("Upgrade") != "":
		return descriptor.Unsupported, true
	case !s.owner.snapshot.Load().Ready:
		return descriptor.Starting, true
	}
	reason, ok := s.locate()
	return reason, !ok
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
		Replayable:  !hasBody || s.r.ContentLength > 0 && s.r.ContentLength <= maxKept,
		Body:        hasBody,
		Size:        s.r.ContentLength,
		Deadline:    s.deadline,
		Label:       s.label,
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
	if s.away {
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
