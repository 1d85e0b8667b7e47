// Package forwarder moves the bytes of requests and answers between callers and
// backend servers. It makes no decisions: it posts events to the control goroutine and
// carries out the actions that the control goroutine returns.
package forwarder

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/zeromicro/go-zero/core/breaker"
	"github.com/zeromicro/go-zero/rest/httpc"

	"monsoonswitch/catcher"
	"monsoonswitch/declarer"
	"monsoonswitch/descriptor"
	"monsoonswitch/recorder"
)

// Timeouts and limits of connections to backend servers.
const (
	// connectTimeout is the default timeout for connecting to a backend server. It
	// allows a few round trips between regions. Waiting longer has no benefit: a lost
	// packet is retransmitted only after a second, and a request that was not sent yet
	// can safely go elsewhere.
	connectTimeout = 250 * time.Millisecond
	// idempotentIdleTime is how long an idle connection is reused for idempotent work.
	idempotentIdleTime = 30 * time.Second
	// nonIdempotentIdleTime is the default time for which an idle connection is reused
	// for non-idempotent work. A backend server may close a connection that is idle for
	// longer while a request is being sent, which leaves it unknown whether the work
	// ran.
	nonIdempotentIdleTime = time.Second
	// maxIdlePerBackend bounds the number of idle connections to one backend server.
	maxIdlePerBackend = 8
	// maxHeadBytes bounds the head of an answer in bytes.
	maxHeadBytes = 64 << 10
	// probeDelay is the delay before a connect probe.
	probeDelay = 50 * time.Millisecond
	// clientName is the name of the client in go-zero.
	clientName = "monsoonswitch-backend"
)

// Control is the interface of the control goroutine for traffic goroutines.
type Control interface {
	// Open posts a request and returns the channel of its actions.
	Open(descriptor.Arrived) <-chan descriptor.RequestAction
	// Post posts an event.
	Post(descriptor.Event)
	// Release stops the delivery of actions for a request.
	Release(descriptor.RequestID)
}

// Options configure a forwarder.
type Options struct {
	// CallerHeader names the request header that identifies a caller; if it is empty,
	// callers are identified by their IP address.
	CallerHeader string
	// StallTimeout bounds the time without progress in reading a caller's body or in
	// writing an answer to a caller.
	StallTimeout time.Duration
	// Keep is how long callers may cache a list of addresses.
	Keep time.Duration
	// Instance is the name of this instance, and Domain its failure domain.
	Instance, Domain string
	// FreshTime is how long an idle connection is reused for non-idempotent work; 0
	// means nonIdempotentIdleTime.
	FreshTime time.Duration
	// ConnectTimeout bounds the time for connecting to a backend server; 0 means
	// connectTimeout.
	ConnectTimeout time.Duration
	// UploadBytes bounds the memory of all uploads together, in bytes; 0 means
	// defaultUploadBytes.
	UploadBytes int
	// Catcher reports panics in the handling of requests.
	Catcher *catcher.Catcher
	// Memory is what the bodies of requests hold their memory of, beside the bound UploadBytes; nil
	// means that there is nothing else.
	Memory SharedMemory
	// CallerLeft reports whether the caller has closed the connection of a request with the given
	// context, also while bytes that it sent before are unread; nil means that it is not known.
	CallerLeft func(context.Context) bool
	// BackendConnections bounds the connections to backend servers; 0 means that there is no bound.
	BackendConnections int
}

// Forwarder serves callers. It is safe for use by many goroutines.
type Forwarder struct {
	options  Options
	control  Control
	dialect  Dialect
	recorder *recorder.Recorder
	// routeCounts holds the number of requests of each route, as *atomic.Uint64 by
	// name. It distributes the requests of a route with a traffic split.
	routeCounts sync.Map
	snapshot    atomic.Pointer[snapshot]
	requests    atomic.Uint64
	closer      closer
	uploads     *uploads
	// dialer opens all connections to backend servers.
	dialer *net.Dialer
	// idempotentClient sends idempotent work, and nonIdempotentClient all other work.
	idempotentClient, nonIdempotentClient httpc.Service
}

// New returns a forwarder with an empty directory.
func New(o Options, d Dialect, c Control, r *recorder.Recorder) *Forwarder {
	breaker.NoBreakerFor(clientName)
	if o.FreshTime == 0 {
		o.FreshTime = nonIdempotentIdleTime
	}
	if o.ConnectTimeout == 0 {
		o.ConnectTimeout = connectTimeout
	}
	dialer := &net.Dialer{Timeout: o.ConnectTimeout}
	bounded := newBoundedDialer(dialer, o.BackendConnections)
	f := &Forwarder{
		options:             o,
		control:             c,
		dialect:             d,
		recorder:            r,
		dialer:              dialer,
		closer:              closer{catcher: o.Catcher},
		uploads:             newUploads(o.UploadBytes, o.Memory, r),
		idempotentClient:    newClient(bounded, idempotentIdleTime),
		nonIdempotentClient: newClient(bounded, o.FreshTime),
	}
	f.snapshot.Store(newSnapshot(&descriptor.Directory{}))
	return f
}

func newClient(dialer *boundedDialer, idle time.Duration) httpc.Service {
	transport := &http.Transport{
		DialContext:            dialer.dial,
		MaxIdleConnsPerHost:    maxIdlePerBackend,
		IdleConnTimeout:        idle,
		DisableCompression:     true,
		ExpectContinueTimeout:  time.Second,
		MaxResponseHeaderBytes: maxHeadBytes,
	}
	dialer.transports = append(dialer.transports, transport)
	client := &http.Client{
		Transport:     transport,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	return httpc.NewServiceWithClient(clientName, client)
}

// countRoute adds a request to the count of a route and returns the new count.
func (f *Forwarder) countRoute(route string) uint64 {
	v, ok := f.routeCounts.Load(route)
	if !ok {
		v, _ = f.routeCounts.LoadOrStore(route, new(atomic.Uint64))
	}
	return v.(*atomic.Uint64).Add(1)
}

// snapshot is a directory with a channel that is closed when it is replaced.
type snapshot struct {
	*descriptor.Directory
	replaced chan struct{}
}

func newSnapshot(d *descriptor.Directory) *snapshot {
	return &snapshot{Directory: d, replaced: make(chan struct{})}
}

// SetDirectory replaces the directory and wakes requests that wait for a new one.
func (f *Forwarder) SetDirectory(d *descriptor.Directory) {
	before := f.snapshot.Swap(newSnapshot(d))
	close(before.replaced)
	if d.Routes != nil && d.Routes != before.Routes {
		f.forgetRoutes(d.Routes.Routing())
	}
}

// forgetRoutes drops the counts of the routes that a routing doesn't have.
func (f *Forwarder) forgetRoutes(r declarer.Routing) {
	names := make(map[string]bool, len(r.Routes))
	for _, route := range r.Routes {
		names[route.Class.Name] = true
	}
	for name := range f.routeCounts.Range {
		if !names[name.(string)] {
			f.routeCounts.Delete(name)
		}
	}
}

// Probe connects to a backend server in the background and posts whether this
// succeeded. It waits for probeDelay first, because a process that has just crashed may
// still accept connections for a moment.
func (f *Forwarder) Probe(p descriptor.Probe) {
	go func() {
		time.Sleep(probeDelay)
		alive := false
		f.options.Catcher.Run("probe", func() { alive = f.accepts(p.Backend.Address) })
		f.control.Post(descriptor.Probed{
			At:        time.Now(),
			Service:   p.Service,
			Backend:   p.Backend.ID,
			Suspected: p.Suspected,
			Alive:     alive,
		})
	}()
}

// accepts reports whether connections to an address are accepted.
func (f *Forwarder) accepts(address string) bool {
	conn, err := f.dialer.Dial("tcp", address)
	if err == nil {
		_ = conn.Close()
	}
	return err == nil
}

// ServeQuestion serves only requests that are addressed to the instance itself.
func (f *Forwarder) ServeQuestion(w http.ResponseWriter, r *http.Request) {
	if !f.dialect.ServeLocal(w, r, f.snapshot.Load().Directory) {
		http.NotFound(w, r)
	}
}

// ServeHTTP serves one request of a caller. A path that the dialect doesn't reserve belongs to
// the callers' work, whatever the instance serves on its other listeners. A panic ends this
// request alone.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s := newSession(f, w, r)
	value := f.options.Catcher.Run("request", func() {
		if f.dialect.Reserved(r.URL.Path) && f.dialect.ServeLocal(w, r, f.snapshot.Load().Directory) {
			return
		}
		s.run()
	})
	switch {
	case value == nil:
	case catcher.IsAbort(value):
		panic(value)
	default:
		s.endAfterPanic()
	}
}
