// Package listener runs HTTP servers on go-zero's rest without the parts of it
// that would cut long uploads, refuse work or hide truncated answers.
package listener

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/zeromicro/go-zero/core/logx"
	"github.com/zeromicro/go-zero/core/proc"
	"github.com/zeromicro/go-zero/rest"
	"github.com/zeromicro/go-zero/rest/httpx"
)

// ErrListen reports an address that can't be listened on.
var ErrListen = eris.New("can't listen")

const (
	// startWait is the longest wait for a server to listen.
	startWait = 5 * time.Second
	// quitTime keeps go-zero from ending the process by itself: the shutdown
	// of an instance takes as long as its longest upload.
	quitTime = 24 * 365 * time.Hour
)

// Options are the limits of a server.
type Options struct {
	// Address is host:port; port 0 chooses a free one.
	Address string
	// HeaderTimeout bounds the time for the head of a request.
	HeaderTimeout time.Duration
	// IdleTimeout bounds the time between requests of a connection.
	IdleTimeout time.Duration
	// HeaderBytes bounds the head of a request.
	HeaderBytes int
	// Plain2 allows HTTP/2 without TLS.
	Plain2 bool
}

// Listener is a running HTTP server.
type Listener struct {
	server  *http.Server
	address string
}

var configure sync.Once

// Configure turns off what go-zero does to the whole process: its log, its
// statistics and its timed exit on signals. Only the first call has an effect.
func Configure() {
	configure.Do(func() {
		logx.Disable()
		logx.DisableStat()
		proc.Setup(proc.ShutdownConf{WrapUpTime: quitTime, WaitTime: 2 * quitTime})
	})
}

// New starts a server with a handler for all requests.
func New(o Options, handler http.Handler) (*Listener, error) {
	host, portText, err := net.SplitHostPort(o.Address)
	if err != nil {
		return nil, eris.Wrapf(ErrListen, "%q: %v", o.Address, err)
	}
	port, err := strconv.Atoi(portText)
	if err != nil {
		return nil, eris.Wrapf(ErrListen, "%q: %v", o.Address, err)
	}
	Configure()
	conf := rest.RestConf{Host: host, Port: port}
	server, err := rest.NewServer(conf, rest.WithRouter(catchAll{handler}))
	if err != nil {
		return nil, eris.Wrapf(ErrListen, "%q: %v", o.Address, err)
	}
	return start(o, server)
}

// start runs the server in the background and waits until it listens. Start of
// rest ends the process on errors, so the address is tried out first.
func start(o Options, server *rest.Server) (*Listener, error) {
	probe, err := net.Listen("tcp", o.Address)
	if err != nil {
		return nil, eris.Wrapf(ErrListen, "%q: %v", o.Address, err)
	}
	if err := probe.Close(); err != nil {
		return nil, eris.Wrapf(ErrListen, "%q: %v", o.Address, err)
	}
	ready := make(chan *Listener, 1)
	go server.StartWithOpts(func(s *http.Server) {
		o.apply(s)
		s.BaseContext = func(l net.Listener) context.Context {
			ready <- &Listener{server: s, address: l.Addr().String()}
			return context.Background()
		}
	})
	select {
	case l := <-ready:
		return l, nil
	case <-time.After(startWait):
		return nil, eris.Wrapf(ErrListen, "%q: not started in %v", o.Address, startWait)
	}
}

func (o Options) apply(s *http.Server) {
	s.ReadHeaderTimeout = o.HeaderTimeout
	s.IdleTimeout = o.IdleTimeout
	s.MaxHeaderBytes = o.HeaderBytes
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(o.Plain2)
	s.Protocols = protocols
}

// Address returns the host:port listened on.
func (l *Listener) Address() string { return l.address }

// Shutdown takes no new connections and waits for requests in flight until ctx
// ends.
func (l *Listener) Shutdown(ctx context.Context) error {
	return eris.Wrap(l.server.Shutdown(ctx), "shut down listener")
}

// Close ends all connections at once.
func (l *Listener) Close() error {
	return eris.Wrap(l.server.Close(), "close listener")
}

// catchAll is a router that passes every request to one handler. The router of
// rest has no wildcard, and its not-found handler adds a status to answers.
type catchAll struct{ handler http.Handler }

var _ httpx.Router = catchAll{}

// ServeHTTP implements http.Handler.
func (c catchAll) ServeHTTP(w http.ResponseWriter, r *http.Request) { c.handler.ServeHTTP(w, r) }

// Handle implements httpx.Router; there are no routes to add.
func (c catchAll) Handle(string, string, http.Handler) error { return nil }

// SetNotFoundHandler implements httpx.Router; every request is found.
func (c catchAll) SetNotFoundHandler(http.Handler) {}

// SetNotAllowedHandler implements httpx.Router; every method is allowed.
func (c catchAll) SetNotAllowedHandler(http.Handler) {}
