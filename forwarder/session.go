package forwarder

import (
	"context"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"monsoonswitch/declarer"
	"monsoonswitch/descriptor"
	"monsoonswitch/timekeeper"
)

// session is one request of a caller.
type session struct {
	forwarder *Forwarder
	w         http.ResponseWriter
	r         *http.Request
	id        descriptor.RequestID
	started   time.Time
	// uptime is the uptime of the machine once the head of the request was read.
	uptime  time.Duration
	entry   *descriptor.ServiceEntry
	class   declarer.Class
	service string
	body    *callerBody
	// admitted is set if there is memory for the body. The request is refused otherwise.
	admitted bool
	// label is the caller's identifier of the request.
	label string
	// located is the directory from which the service and the class were taken, and
	// relocations is how often they were taken from a newer one.
	located     *snapshot
	relocations int
	// identity is the customer of the request.
	identity identity
	// callerDeadline is when the caller stops waiting; zero means that there is no deadline.
	// deadline is that or the end of the route's timeout, whichever is earlier.
	callerDeadline, deadline time.Time
	// callerDone is closed when the caller disconnects. It is nil once this was
	// posted, and callerLeft is set then.
	callerDone <-chan struct{}
	callerLeft bool
	// presentAt is when the caller was last known to be present.
	presentAt time.Time
	attempts  map[descriptor.AttemptID]*attempt
	running   sync.WaitGroup
	// delivering is the attempt whose answer is copied to the caller, or nil. Until the
	// result arrives on copied, only the goroutine that copies uses w.
	delivering *attempt
	copied     chan delivery
	// closing is set if the answer announces the close of the connection, and complete once
	// the answer is written.
	closing, complete bool
	// discarding is set if the answer is discarded because the caller left.
	discarding bool
	// delivered is set once the result of copying was received.
	delivered bool
	// begun is set once the head of an answer was written.
	begun bool
	// counted is set while the request is counted as open.
	counted bool
}

func newSession(f *Forwarder, w http.ResponseWriter, r *http.Request) *session {
	return &session{
		forwarder: f,
		w:         w,
		r:         r,
		id:        descriptor.RequestID(f.requests.Add(1)),
		started:   time.Now(),
		uptime:    timekeeper.Uptime(),
		attempts:  make(map[descriptor.AttemptID]*attempt),
		copied:    make(chan delivery, 1),
	}
}

// describe sets what the head of the request says about it.
func (s *session) describe() {
	s.label = bounded(s.forwarder.dialect.Label(s.r))
	if p := s.forwarder.dialect.CallerTimeout(s.r); p > 0 {
		s.callerDeadline = s.started.Add(p)
		s.deadline = s.callerDeadline
	}
}

// maxNameBytes bounds what is kept of the names that callers choose, in bytes. Decisions remember requests
// for longer than they are open.
const maxNameBytes = 256

// bounded returns at most the first maxNameBytes of a name. It doesn't keep the rest in memory.
func bounded(name string) string {
	if len(name) <= maxNameBytes {
		return name
	}
	return strings.Clone(name[:maxNameBytes])
}

// locate finds the service and the class of the request.
func (s *session) locate() (descriptor.Reason, bool) {
	directory := s.forwarder.snapshot.Load()
	if directory.Routes != nil {
		return s.locateRoute(directory)
	}
	s.located = directory
	s.service = serviceName(s.r)
	entry, ok := directory.Services[s.service]
	if !ok {
		return descriptor.UnknownService, false
	}
	s.entry = entry
	s.class, _ = entry.Service.Match(s.r.Method, s.r.URL.Path)
	return descriptor.Served, true
}

// locateRoute finds the route of the request by host and path, and its customer. An unknown
// route or API key may be new, so it is refused as unknown only once the directory reflects a
// state of the platform's store that is newer than the request. After a wait of routeUpdateWait
// the request is refused with the reason Starting.
func (s *session) locateRoute(d *snapshot) (descriptor.Reason, bool) {
	timer := time.NewTimer(routeUpdateWait)
	defer timer.Stop()
	s.deadline = s.callerDeadline
	for {
		s.located = d
		reason := s.match(d)
		if reason == descriptor.Served || s.confirmed(d, reason) {
			return reason, reason == descriptor.Served
		}
		if d.Leaving {
			// The process may end before the directory is updated.
			return descriptor.Misdirected, false
		}
		if !s.admitted {
			// What was received of the body would wait without being accounted for.
			return descriptor.UploadsFull, false
		}
		select {
		case <-d.replaced:
			d = s.forwarder.snapshot.Load()
		case <-timer.C:
			return descriptor.Starting, false
		case <-s.callerDone:
			return descriptor.Abandoned, false
		}
	}
}

// match finds the route and the customer of the request in a directory. It returns the reason why
// the request must be refused if the directory holds the newest configuration, or Served.
func (s *session) match(d *snapshot) descriptor.Reason {
	route, ok := d.Routes.Match(s.r.Host, s.r.URL.EscapedPath())
	if !ok {
		return descriptor.UnknownRoute
	}
	if !s.identify(d.Routes, route) {
		return descriptor.Unauthorized
	}
	s.service = route.ChooseService(s.forwarder.countRoute(route.Class.Name))
	s.class = route.Class
	s.entry = d.Services[s.service]
	if t := s.started.Add(route.Class.Timeout); route.Class.Timeout > 0 && (s.deadline.IsZero() || t.Before(s.deadline)) {
		s.deadline = t
	}
	return descriptor.Served
}

// relocate finds the service and the class of the request anew, in a newer directory than
// the one they were taken from. It returns the reason Starting if none comes within
// routeUpdateWait, or after maxRelocations.
func (s *session) relocate() (descriptor.Reason, bool) {
	s.relocations++
	s.forwarder.recorder.Relocate()
	if s.callerLeft {
		return descriptor.Abandoned, false
	}
	if s.relocations > maxRelocations {
		return descriptor.Starting, false
	}
	if !s.admitted {
		return descriptor.UploadsFull, false
	}
	timer := time.NewTimer(routeUpdateWait)
	defer timer.Stop()
	select {
	case <-s.located.replaced:
		return s.locate()
	case <-timer.C:
		return descriptor.Starting, false
	case <-s.callerDone:
		return descriptor.Abandoned, false
	}
}

// maxRelocations bounds how often a request is located anew. More than one needs a
// declaration for each time the control goroutine takes the request.
const maxRelocations = 8

// routeUpdateWait bounds the wait for an update of the directory when a route is
// unknown. The update arrives with the next freshness announcement of an instance that
// watches the store.
const routeUpdateWait = 900 * time.Millisecond

// timeLeft returns the time until the deadline, at least 1 ms, or 0 if there is none.
func (s *session) timeLeft(now time.Time) time.Duration {
	if s.deadline.IsZero() {
		return 0
	}
	return max(s.deadline.Sub(now), time.Millisecond)
}

// serviceName returns the service of a request: the value of the header Service, or
// the first label of the host.
func serviceName(r *http.Request) string {
	if name := r.Header.Get(headerService); name != "" {
		return name
	}
	host, _, _ := strings.Cut(r.Host, ":")
	name, _, _ := strings.Cut(host, ".")
	return name
}

// run serves the request until it ends, and closes the connection if the answer said so.
func (s *session) run() {
	s.forwarder.recorder.Begin()
	s.counted = true
	s.describe()
	s.serve()
	s.close()
}

// serve serves the request until it ends. The caller's body is not read any more then.
func (s *session) serve() {
	s.body = newCallerBody(s)
	stopWatch := s.watchCaller()
	defer stopWatch()
	if s.body != nil {
		// The answer may begin before the caller has sent the whole body.
		_ = http.NewResponseController(s.w).EnableFullDuplex()
		defer s.body.close()
		defer s.body.release(unreadBodyTimeout)
	}
	s.admitted = s.body.admit()
	if reason, ok := s.precheck(); ok {
		s.refuseUnlocated(reason)
		return
	}
	arrived := s.arrived()
	if s.pausedTooLong() {
		s.refuseUnlocated(descriptor.Expired)
		return
	}
	if s.departed() {
		s.refuseUnlocated(descriptor.Abandoned)
		return
	}
	actions := s.forwarder.control.Open(arrived)
	defer s.forwarder.control.Release(s.id)
	defer s.stopAttempts()
	for {
		select {
		case a := <-actions:
			if _, ok := a.(descriptor.Relocate); ok {
				if reason, ok := s.relocate(); !ok {
					s.refuseUnlocated(reason)
					return
				}
				actions = s.forwarder.control.Open(s.arrived())
				continue
			}
			if s.apply(a) {
				return
			}
		case d := <-s.copied:
			s.delivered = true
			s.endDelivery(d)
			return
		case <-s.callerDone:
			if s.delivering != nil && s.delivering.wholeRead.Load() {
				// The caller may have left because it has the whole answer. The result
				// of copying it tells.
				s.callerDone = nil
				continue
			}
			s.recordCallerGone(time.Now())
		}
	}
}

// pausedTooLong reports whether the body was read ahead until the deadline, because its caller sent nothing.
func (s *session) pausedTooLong() bool {
	return s.body.sourceFailed() && !s.deadline.IsZero() && !time.Now().Before(s.deadline)
}

// uploadsRetry is the wait that callers are asked to keep if there is no memory for a body.
const uploadsRetry = time.Second

// refuseUnlocated refuses a request for which no service or class was found.
func (s *session) refuseUnlocated(reason descriptor.Reason) {
	a := descriptor.Refuse{Reason: reason}
	if reason == descriptor.UploadsFull {
		a.Retry = uploadsRetry
	}
	if reason == descriptor.Starting && s.r.Header.Get(headerKey) != "" {
		// The promise of a key covers all requests with it. This instance doesn't know yet
		// whether an earlier one ran elsewhere.
		a.Outcome = descriptor.MayHaveRun
	}
	s.refuse(a)
	event := descriptor.Unlocated{At: time.Now(), Request: s.id, Label: s.label, Reason: reason, Latency: time.Since(s.started)}
	if s.located != nil && s.located.Routes != nil {
		event.Version = s.located.Routes.Routing().Version
	}
	s.forwarder.control.Post(event)
}

// recordCallerGone records that the caller disconnected, posts this to the control goroutine and
// withdraws what was not sent yet. Only the first call has an effect.
func (s *session) recordCallerGone(now time.Time) {
	s.callerDone = nil
	if s.callerLeft {
		return
	}
	s.callerLeft = true
	s.forwarder.control.Post(descriptor.CallerGone{At: now, Request: s.id})
	for _, t := range s.attempts {
		t.withdraw()
	}
}

// precheck returns a reason and true if the request is refused without being passed to
// the control goroutine.
func (s *session) precheck() (descriptor.Reason, bool) {
	switch {
	case s.r.Method == http.MethodConnect || s.r.Header.Get("Upgrade") != "":
		return descriptor.Unsupported, true
	case !s.forwarder.snapshot.Load().Ready:
		return descriptor.Starting, true
	}
	reason, ok := s.locate()
	return reason, !ok
}

// arrived returns the event that describes the request to the control goroutine.
func (s *session) arrived() descriptor.Arrived {
	hasBody := s.body != nil
	fingerprint := s.fingerprint()
	if hasBody && s.admitted && s.forwarder.snapshot.Load().Suspected[fingerprint] {
		s.body.readAhead(s.deadline)
	}
	return s.identity.apply(descriptor.Arrived{
		At:          time.Now(),
		Request:     s.id,
		Service:     s.service,
		Class:       s.class.Name,
		Caller:      s.caller(),
		Key:         s.r.Header.Get(headerKey),
		Fingerprint: fingerprint,
		Content:     s.body.content(),
		Replayable:  !hasBody || s.body.promised,
		NoMemory:    !s.admitted,
		Body:        hasBody,
		Size:        s.r.ContentLength,
		Deadline:    s.deadline,
		Label:       s.label,
		Uptime:      s.uptime,
	})
}

// caller returns the identity of the caller, by which fair shares are computed.
func (s *session) caller() string {
	if h := s.forwarder.options.CallerHeader; h != "" {
		if v := s.r.Header.Get(h); v != "" {
			return bounded(v)
		}
	}
	return hostOf(s.r.RemoteAddr)
}

// fingerprint returns a hash of the method, host, URI and caller. It is equal for repeated
// requests of one caller, also where a route sends them to different services, or where a body
// that was sent with a length is sent in chunks. The body is not part of it.
func (s *session) fingerprint() uint64 {
	h := xxhash.New()
	for _, part := range []string{s.r.Method, namedHost(s.r.Host), s.r.Header.Get(headerService), s.r.URL.RequestURI(), s.caller()} {
		_, _ = h.WriteString(part)
		_, _ = h.Write([]byte{0})
	}
	return h.Sum64()
}

// namedHost returns the host of a request, or nothing if it is an IP address: that is the
// address of an instance, which differs when the caller sends its request to another one.
func namedHost(host string) string {
	address := host
	if name, _, err := net.SplitHostPort(host); err == nil {
		address = name
	}
	if net.ParseIP(strings.Trim(address, "[]")) != nil {
		return ""
	}
	return host
}

// apply carries out an action of the control goroutine and reports whether the request
// ended.
func (s *session) apply(action descriptor.RequestAction) bool {
	switch a := action.(type) {
	case descriptor.Dispatch:
		s.dispatch(a)
	case descriptor.Cancel:
		if t, ok := s.attempts[a.Attempt]; ok {
			t.cancel()
		}
	case descriptor.Deliver:
		if t, ok := s.attempts[a.Attempt]; ok && t.response != nil && s.delivering == nil {
			s.startDelivery(t)
		}
	case descriptor.Refuse:
		if s.delivering != nil {
			s.abortAnswer(a.Reason, s.stopDelivery().bytes)
		}
		s.cancelAttempts()
		if s.callerLeft && len(s.attempts) > 0 {
			// A caller that closed only its sending side would take a refusal for the outcome of what
			// was dispatched.
			s.abortAnswer(a.Reason, 0)
		}
		s.refuse(a)
		return true
	}
	return false
}

// dispatch starts an attempt. Once it is sent it is not cancelled when the caller disconnects,
// because the control goroutine decides whether it ends early. If the caller has left meanwhile,
// which the control goroutine may not know yet, nothing is sent.
func (s *session) dispatch(a descriptor.Dispatch) {
	ctx, cancel := context.WithCancel(context.WithoutCancel(s.r.Context()))
	t := &attempt{session: s, id: a.Attempt, backend: a.Backend, ctx: ctx, cancel: cancel}
	s.attempts[a.Attempt] = t
	s.forwarder.recorder.Attempt()
	if time.Since(s.presentAt) >= departureInterval && s.departed() {
		s.recordCallerGone(time.Now())
	}
	if s.callerLeft {
		t.withdraw()
	}
	s.running.Add(1)
	go func() {
		defer s.running.Done()
		if s.forwarder.options.Catcher.Run("attempt", t.run) != nil {
			t.failAfterPanic()
		}
	}()
}

// cancelAttempts cancels all attempts.
func (s *session) cancelAttempts() {
	for _, t := range s.attempts {
		t.cancel()
	}
}

// stopAttempts cancels all attempts and waits for their goroutines, because they read
// the caller's body. The answer is written before: an attempt ends only when the read in
// progress does, which may wait for a caller that sends nothing.
func (s *session) stopAttempts() {
	s.cancelAttempts()
	s.body.release(unreadBodyTimeout)
	s.running.Wait()
	for _, t := range s.attempts {
		t.close()
	}
}
