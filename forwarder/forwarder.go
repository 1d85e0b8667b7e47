// Package forwarder moves the bytes of requests and answers between callers and
// backend servers. It decides nothing: it posts events and does what it is told.
package forwarder

import (
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/zeromicro/go-zero/core/breaker"
	"github.com/zeromicro/go-zero/rest/httpc"

	"monsoonswitch/descriptor"
	"monsoonswitch/recorder"
)

// Times and bounds of traffic.
const (
	// connectTimeout bounds the making of a connection to a backend server.
	connectTimeout = time.Second
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
}

// Forwarder serves callers. It is safe for use by many goroutines.
type Forwarder struct {
	options   Options
	control   Control
	recorder  *recorder.Recorder
	directory atomic.Pointer[descriptor.Directory]
	requests  atomic.Uint64
	// reusing sends work that may run twice, and careful all other work.
	reusing, careful httpc.Service
}

// New returns a forwarder with an empty directory.
func New(o Options, c Control, r *recorder.Recorder) *Forwarder {
	breaker.NoBreakerFor(clientName)
	f := &Forwarder{
		options:  o,
		control:  c,
		recorder: r,
		reusing:  newClient(reuseTime),
		careful:  newClient(freshTime),
	}
	f.directory.Store(&descriptor.Directory{})
	return f
}

func newClient(idle time.Duration) httpc.Service {
	dialer := &net.Dialer{Timeout: connectTimeout}
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

// SetDirectory replaces the directory.
func (f *Forwarder) SetDirectory(d *descriptor.Directory) { f.directory.Store(d) }

// Probe makes a connection to a backend server and posts whether it could. A
// moment passes first: one that just broke down may still seem to listen.
func (f *Forwarder) Probe(p descriptor.Probe) {
	go func() {
		time.Sleep(probeDelay)
		conn, err := net.DialTimeout("tcp", p.Backend.Address, connectTimeout)
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

// ServeHTTP serves one request of a caller.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if isOwnPath(r.URL.Path) {
		f.serveOwn(w, r)
		return
	}
	f.recorder.Begin()
	s := newSession(f, w, r)
	s.run()
}
