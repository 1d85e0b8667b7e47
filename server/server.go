// Package server assembles an entry instance from its parts.
package server

import (
	"context"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"monsoonswitch/catcher"
	"monsoonswitch/configurer"
	"monsoonswitch/controller"
	"monsoonswitch/decider"
	"monsoonswitch/descriptor"
	"monsoonswitch/detector"
	"monsoonswitch/forwarder"
	"monsoonswitch/limiter"
	"monsoonswitch/linker"
	"monsoonswitch/listener"
	"monsoonswitch/logger"
	"monsoonswitch/operator"
	"monsoonswitch/picker"
	"monsoonswitch/platform"
	"monsoonswitch/rationer"
	"monsoonswitch/recorder"
	"monsoonswitch/retrier"
	"monsoonswitch/storer"
)

const (
	// closeTime bounds the time for closing idle connections at the end of a shutdown.
	closeTime = time.Second
	// closeGraceShare is the share of the grace time that it may take: the platform kills the
	// process at the end of that, and decisions use most of it.
	closeGraceShare = 0.03
)

// Server is a running entry instance.
type Server struct {
	// reloadMu guards the fields of settings that Reload changes. The others never change.
	reloadMu   sync.Mutex
	settings   configurer.Settings
	log        *logger.Logger
	self       descriptor.Member
	recorder   *recorder.Recorder
	catcher    *catcher.Catcher
	controller *controller.Controller
	forwarder  *forwarder.Forwarder
	linker     *linker.Linker
	follower   *storer.Follower
	writer     *storer.Writer
	callers    *listener.Listener
	// questions are the listeners that serve only requests to the instance itself.
	questions []*listener.Listener
	inner     *listener.Listener
	operators *listener.Listener
	admission *listener.Admission
	load      *loadReporter
	// controlLag is the largest age of an event when it was handled in the last
	// loadInterval, in nanoseconds.
	controlLag atomic.Int64
	// routingSeen is the uptime as of which the routing is proved to have been the newest, or 0.
	routingSeen atomic.Int64
	// exitAllowed is closed, and isExitAllowed set, by the action ShutdownComplete.
	exitAllowed   chan struct{}
	isExitAllowed atomic.Bool
}

// New starts an entry instance. The settings must have been checked. It returns an
// error if a listener can't be opened.
func New(settings configurer.Settings, log *logger.Logger) (*Server, error) {
	s := &Server{
		settings:    settings,
		log:         log,
		recorder:    recorder.New(),
		exitAllowed: make(chan struct{}),
	}
	s.catcher = catcher.New(s.reportPanic)
	now := time.Now()
	s.self = descriptor.Member{
		ID:          settings.Instance.Name,
		Domain:      settings.Instance.Domain,
		Incarnation: now.UnixMicro(),
		Capacity:    settings.Instance.Capacity(),
	}
	gates := newGates()
	if err := s.listen(gates); err != nil {
		s.closeListeners()
		return nil, err
	}
	s.start(now)
	gates.open(s)
	s.load = newLoadReporter(s)
	s.log.Event(descriptor.NoteStarted, "", s.self.ID, "callers "+s.self.Public+" inner "+s.self.Inner+" operators "+s.Operators())
	return s, nil
}

// reportPanic counts and logs a panic that was recovered.
func (s *Server) reportPanic(place, detail string) {
	s.recorder.Panic()
	s.log.Panic(place, detail)
}

// listen opens the listeners. It runs before everything else, because the record of the
// instance contains the addresses, and port 0 means a free port.
func (s *Server) listen(g *gates) error {
	limits := s.settings.Limits
	s.admission = s.newAdmission()
	options := listener.Options{
		Address:          s.settings.Callers.Listen,
		HeaderTimeout:    limits.HeadTimeout,
		IdleTimeout:      limits.IdleTimeout,
		HeaderBytes:      limits.HeadBytes,
		UnencryptedHTTP2: true,
		StreamBytes:      forwarder.StreamBytes,
		Admission:        s.admission,
	}
	var err error
	if s.callers, err = listener.New(options, g.callers); err != nil {
		return eris.Wrap(err, "callers")
	}
	options.UnencryptedHTTP2, options.Class = false, listener.Questions
	options.HeaderBytes = min(limits.HeadBytes, ownHeadBytes)
	for _, address := range s.settings.Callers.Questions {
		options.Address = address
		l, err := listener.New(options, g.questions)
		if err != nil {
			return eris.Wrap(err, "questions")
		}
		s.questions = append(s.questions, l)
	}
	options.Address, options.Class = s.settings.Inner.Listen, listener.Instances
	if s.inner, err = listener.New(options, g.inner); err != nil {
		return eris.Wrap(err, "inner")
	}
	options.Address, options.Class = s.settings.Operators.Listen, listener.Operators
	if s.operators, err = listener.New(options, g.operators); err != nil {
		return eris.Wrap(err, "operators")
	}
	s.self.Public = advertisedAddress(s.settings.Callers.Advertise, s.callers)
	s.self.Inner = advertisedAddress(s.settings.Inner.Advertise, s.inner)
	return nil
}

// advertisedAddress returns the configured address, or the address listened on if none
// is configured.
func advertisedAddress(address string, l *listener.Listener) string {
	if address != "" {
		return address
	}
	return l.Address()
}

// start creates the components behind the listeners.
func (s *Server) start(now time.Time) {
	client, feeds := s.platformSource()
	control := newControlProxy()
	s.linker = linker.New(linker.Options{
		Self:  func() descriptor.Member { return s.self },
		Key:   s.settings.Inner.Key,
		Seeds: s.settings.Inner.Seeds,
		Reject: func(peer string, err error) {
			s.log.Event(descriptor.NoteLinkRefused, "", peer, err.Error())
		},
		Catcher: s.catcher,
	}, control)
	s.follower = storer.NewFollower(client, feeds, s.pace(), control, platformReporter{s.log}, s.catcher)
	s.writer = storer.NewWriter(client, control, s.catcher)
	options := forwarder.Options{
		CallerHeader:   s.settings.Callers.Header,
		StallTimeout:   s.settings.Limits.StallTimeout,
		Keep:           s.settings.Callers.Keep,
		Instance:       s.settings.Instance.Name,
		Domain:         s.settings.Instance.Domain,
		FreshTime:      s.settings.Limits.FreshTime,
		ConnectTimeout: s.settings.Limits.ConnectTimeout,
		Catcher:        s.catcher,
		UploadBytes:    s.admission.UploadLimit(),
		Memory:         s.admission,
		CallerLeft:     listener.PeerClosed,

		BackendConnections: s.backendConnections(),
	}
	s.forwarder = forwarder.New(options, s.dialect(options), control, s.recorder)
	s.controller = controller.New(s.machine(now), s)
	control.set(s.controller)
	s.recorder.AddGauge("links.sentbytes", func() int64 { return int64(s.linker.Traffic().SentBytes) })
	s.recorder.AddGauge("links.receivedbytes", func() int64 { return int64(s.linker.Traffic().ReceivedBytes) })
	s.recorder.AddGauge("links.sentmessages", func() int64 { return int64(s.linker.Traffic().SentMessages) })
	s.recorder.AddGauge("links.dropped", func() int64 { return int64(s.linker.Traffic().Dropped) })
	s.recorder.AddGauge("control.lagnanos", s.controlLag.Load)
	s.recorder.AddGauge("customers.proofagenanos", s.proofAge)
	for t := descriptor.TypeHello; int(t) < descriptor.MessageTypeCount; t++ {
		s.recorder.AddGauge("links.sentbytes."+t.String(), func() int64 { return int64(s.linker.Traffic().Sent[t].Bytes) })
	}
}

// usesRouting reports whether the services are declared by a routing of the platform's
// operator.
func (s *Server) usesRouting() bool { return s.settings.Platform.Source == configurer.SourceRouting }

// platformSource returns the client of the platform and the feeds to follow there.
func (s *Server) platformSource() (*storer.Client, []storer.Feed) {
	if s.usesRouting() {
		return storer.NewStoreClient(platform.NewStore(s.settings.Platform.Address)), platform.Feeds()
	}
	return storer.NewClient(s.settings.Platform.Address), []storer.Feed{storer.Declarations()}
}

func (s *Server) pace() storer.Pace {
	wait := s.settings.Platform.Wait
	if age := s.settings.Customers.ProofAge(); age > 0 {
		// A watch proves something only as of its start.
		wait = min(wait, age/5)
	}
	return storer.Pace{Wait: wait, Gap: s.settings.Platform.Gap}
}

// dialect returns the HTTP dialect of callers and backend servers.
func (s *Server) dialect(o forwarder.Options) forwarder.Dialect {
	if s.usesRouting() {
		return platform.NewDialect(o.Keep, o.Domain)
	}
	return forwarder.NewStandardDialect(o)
}

// machine returns the state machine with the policies that the settings select.
func (s *Server) machine(now time.Time) controller.Machine {
	o := decider.Options{
		Self:     s.self,
		Seed:     uint64(now.UnixNano()),
		PeerWait: s.settings.Platform.Patience,
		Routing:  s.usesRouting(),
		Retries:  retrier.Bounds(s.settings.Retries),
		Quotas:   rationer.Rule(s.settings.Quotas),
		Grace:    s.settings.Limits.Grace,
		Withdraw: s.settings.Customers.ProofAge(),
	}
	switch s.settings.Limits.Policy {
	case configurer.PolicyRoundRobin:
		return decider.New[detector.Nothing, detector.None, picker.RoundRobin, limiter.Open](o, now)
	case configurer.PolicyConsecutive:
		return decider.New[int, detector.Consecutive, picker.LeastLoaded, limiter.Open](o, now)
	}
	if s.usesRouting() {
		return decider.New[detector.Evidence, detector.Sequential, picker.HighestScore, limiter.Bounded](o, now)
	}
	return decider.NewStandard(o, now)
}

// Do implements controller.Effects.
func (s *Server) Do(action descriptor.Action) {
	switch a := action.(type) {
	case descriptor.Send:
		s.linker.Send(a.To, a.Message)
	case descriptor.Connect:
		s.linker.Connect(a.Peers, a.Known)
	case descriptor.Publish:
		s.forwarder.SetDirectory(a.Directory)
		s.routingSeen.Store(int64(a.Directory.Seen))
	case descriptor.Probe:
		s.forwarder.Probe(a)
	case descriptor.Write, descriptor.WriteTallies, descriptor.WriteClaim, descriptor.WriteRegister:
		s.writer.Do(a)
	case descriptor.Watch:
		if a.Trial {
			s.follower.Try()
		} else {
			s.follower.SetActive(a.Active)
		}
	case descriptor.Note:
		s.log.Note(a)
	case descriptor.QuotaCounts:
		s.recorder.SetQuotas(a)
	case descriptor.RequestTrace:
		s.log.LogRequest(time.Now(), a)
	case descriptor.ShutdownComplete:
		if !s.isExitAllowed.Swap(true) {
			close(s.exitAllowed)
		}
	}
}

// Public returns the address that is advertised to callers.
func (s *Server) Public() string { return s.self.Public }

// Inner returns the address that is advertised to other instances.
func (s *Server) Inner() string { return s.self.Inner }

// Operators returns the address of the operators' listener.
func (s *Server) Operators() string { return s.operators.Address() }

// Traffic returns the counts of bytes and messages on all links so far.
func (s *Server) Traffic() linker.Traffic { return s.linker.Traffic() }

// Dump implements operator.Source.
func (s *Server) Dump() (descriptor.Dump, bool) { return s.controller.Dump() }

// WriteMetrics implements operator.Source.
func (s *Server) WriteMetrics(w io.Writer) { s.recorder.Write(w) }

// Listening implements operator.Source.
func (s *Server) Listening() operator.Listening {
	return operator.Listening{
		Callers:   s.callers.Address(),
		Inner:     s.inner.Address(),
		Operators: s.operators.Address(),
	}
}

// Settings implements operator.Source.
func (s *Server) Settings() any {
	s.reloadMu.Lock()
	settings := s.settings
	s.reloadMu.Unlock()
	settings.Inner.Key = ""
	return settings
}

// Shutdown finishes every request in flight, hands over state to other instances and
// stops the instance. It takes as long as the longest request.
func (s *Server) Shutdown() {
	s.controller.Post(descriptor.ShutdownRequested{At: time.Now()})
	<-s.exitAllowed
	ctx, cancel := context.WithTimeout(context.Background(), s.closeTime())
	defer cancel()
	// Only idle connections, requests that were refused with the addresses of other
	// instances, and those that outlast the grace time are still open now.
	_ = s.callers.Shutdown(ctx)
	s.forwarder.WaitClosed(ctx)
	s.Close()
	s.log.Event(descriptor.NoteStopped, "", s.self.ID, "")
}

// closeTime returns the time that closing connections at the end of a shutdown may take.
func (s *Server) closeTime() time.Duration {
	s.reloadMu.Lock()
	defer s.reloadMu.Unlock()
	if grace := s.settings.Limits.Grace; grace > 0 {
		return min(closeTime, time.Duration(closeGraceShare*float64(grace)))
	}
	return closeTime
}

// Close stops the instance immediately.
func (s *Server) Close() {
	s.load.close()
	s.follower.SetActive(false)
	s.writer.Close()
	s.linker.Close()
	s.closeListeners()
	s.controller.Close()
}

func (s *Server) closeListeners() {
	for _, l := range append([]*listener.Listener{s.callers, s.inner, s.operators}, s.questions...) {
		if l != nil {
			_ = l.Close()
		}
	}
}

// platformReporter logs the reachability of the platform and its bad documents.
type platformReporter struct{ log *logger.Logger }

// ReachabilityChanged implements storer.Reporter.
func (p platformReporter) ReachabilityChanged(source string, ok bool, err error) {
	if ok {
		p.log.Event(descriptor.NoteStoreReachable, "", source, "")
		return
	}
	p.log.Event(descriptor.NoteStoreUnreachable, "", source, err.Error())
}

// StoreRestored implements storer.Reporter.
func (p platformReporter) StoreRestored(source string, era uint64) {
	p.log.Event(descriptor.NoteStoreRestored, "", source, fmt.Sprintf("era %d", era))
}

// BadDocument implements storer.Reporter.
func (p platformReporter) BadDocument(key string, err error) {
	p.log.Event(descriptor.NoteDocumentInvalid, "", key, err.Error())
}
