// Package forwarder moves the bytes of requests and answers between callers and
// backend servers. It decides nothing: it posts events and does what it is told.
package forwarder

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/zeromicro/go-zero/core/breaker"
	"github.com/zeromicro/go-zero/rest/httpc"

	"monsoonswitch/descriptor"
	"monsoonswitch/recorder"
)

// Times and bounds of traffic.
const (
	// connectTimeout bounds the making of a connection to a backend server if the
	// settings do not: a few round trips between regions. A lost packet is sent
	// again only after a second, and nothing ran yet.
	connectTimeout = 250 * time.Millisecond
	// reuseTime is how long an idle connection is used again for work that may
	// run twice.
	reuseTime = 30 * time.Second
	// freshTime is how long an idle connection is used again for other work: a
	// backend server may close an older one while a request is on its way, and
	// nobody could tell whether it ran.
	freshTime = time.Second
	// idlePerBackend bounds the idle connections to one backend server.
	idlePerBackend = 8
	// probeDelay is the wait before a probe.
	probeDelay = 50 * time.Millisecond
	// clientName is the name under which go-zero knows the client.
	clientName = "monsoonswitch-backend"
)

// Control is the control goroutine as traffic sees it.
type Control interface {
	// Open passes a request on and returns the channel of its actions.
	Open(descriptor.Arrived) <-chan descriptor.RequestAction
	// Post passes an event on.
	Post(descriptor.Event)
	// Release ends the delivery of actions for a request.
	Release(descriptor.RequestID)
}

// Options are the constant parts of a forwarder.
type Options struct {
	// CallerHeader names the header that tells callers apart; empty means
	// their address.
	CallerHeader string
	// StallTimeout bounds the time without progress of a caller's body or of
	// an answer on its way to the caller.
	StallTimeout time.Duration
	// Keep is how long callers keep an answer to which addresses to use.
	Keep time.Duration
	// Domain is the failure domain of this instance.
	Domain string
	// FreshTime is how long an idle connection is used again for work that may
	// not run twice; 0 means freshTime.
	FreshTime time.Duration
	// ConnectTimeout bounds the making of a connection to a backend server; 0
	// means connectTimeout.
	ConnectTimeout time.Duration
}

// Forwarder serves callers. It is safe for use by many goroutines.
type Forwarder struct {
	options  Options
	control  Control
	dialect  Dialect
	recorder *recorder.Recorder
	// turns counts the requests of each route that is split.
	turns    sync.Map
	snapshot atomic.Pointer[snapshot]
	requests atomic.Uint64
	// dialer makes all connections to backend servers.
	dialer *net.Dialer
	// reusing sends work that may run twice, and careful all other work.
	reusing, careful httpc.Service
}

// New returns a forwarder with an empty directory.
func New(o Options, d Dialect, c Control, r *recorder.Recorder) *Forwarder {
	breaker.NoBreakerFor(clientName)
	if o.FreshTime == 0 {
		o.FreshTime = freshTime
	}
	if o.ConnectTimeout == 0 {
		o.ConnectTimeout = connectTimeout
	}
	dialer := &net.Dialer{Timeout: o.ConnectTimeout}
	f := &Forwarder{
		options:  o,
		control:  c,
		dialect:  d,
		recorder: r,
		dialer:   dialer,
		reusing:  newClient(dialer, reuseTime),
		careful:  newClient(dialer, o.FreshTime),
	}
	f.snapshot.Store(newSnapshot(&descriptor.Directory{}))
	return f
}

func newClient(dialer *net.Dialer, idle time.Duration) httpc.Service {
	transport := &http.Transport{
		DialContext:           dialer.DialContext,
		MaxIdleConnsPerHost:   idlePerBackend,
		IdleConnTimeout:       idle,
		DisableCompression:    true,
		ExpectContinueTimeout: time.Second,
	}
	client := &http.Client{
		Transport:     transport,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	return httpc.NewServiceWithClient(clientName, client)
}

// turn counts a request of a route and returns the count.
func (f *Forwarder) turn(route string) uint64 {
	v, ok := f.turns.Load(route)
	if !ok {
		v, _ = f.turns.LoadOrStore(route, new(atomic.Uint64))
	}
	return v.(*atomic.Uint64).Add(1)
}

// snapshot is a directory with a channel that is closed when a newer one is there.
type snapshot struct {
	*descriptor.Directory
	replaced chan struct{}
}

func newSnapshot(d *descriptor.Directory) *snapshot {
	return &snapshot{Directory: d, replaced: make(chan struct{})}
}

// SetDirectory replaces the directory.
func (f *Forwarder) SetDirectory(d *descriptor.Directory) {
	close(f.snapshot.Swap(newSnapshot(d)).replaced)
}

// Probe makes a connection to a backend server and posts whether it could. A
// moment passes first: one that just broke down may still seem to listen.
func (f *Forwarder) Probe(p descriptor.Probe) {
	go func() {
		time.Sleep(probeDelay)
		conn, err := f.dialer.Dial("tcp", p.Backend.Address)
		if err == nil {
			_ = conn.Close()
		}
		f.control.Post(descriptor.Probed{
			At:        time.Now(),
			Service:   p.Service,
			Backend:   p.Backend.ID,
			Suspected: p.Suspected,
			Alive:     err == nil,
		})
	}()
}

// ServeQuestion answers a question to the instance itself.
func (f *Forwarder) ServeQuestion(w http.ResponseWriter, r *http.Request) {
	if !f.dialect.Own(w, r, f.snapshot.Load().Directory) {
		http.NotFound(w, r)
	}
}

// ServeHTTP serves one request of a caller.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if f.dialect.Own(w, r, f.snapshot.Load().Directory) {
		return
	}
	f.recorder.Begin()
	s := newSession(f, w, r)
	s.run()
}
