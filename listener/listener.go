// Package listener runs HTTP servers on go-zero's rest. It turns off the features of rest
// that would abort long uploads, refuse work or hide truncated answers.
package listener

import (
	"context"
	"errors"
	"math"
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

// ErrListen reports that listening on an address failed.
var ErrListen = eris.New("can't listen")

const (
	// startTimeout bounds the time until a server listens.
	startTimeout = 5 * time.Second
	// exitDelay is the delay after which go-zero ends the process on a signal. One year
	// means never in practice: the shutdown of an instance takes as long as its longest
	// upload.
	exitDelay = 24 * 365 * time.Hour
)

// Options configure a server.
type Options struct {
	// Address is host:port; port 0 means a free port.
	Address string
	// HeaderTimeout bounds the time for reading the head of a request.
	HeaderTimeout time.Duration
	// IdleTimeout bounds the time between requests of a connection.
	IdleTimeout time.Duration
	// HeaderBytes bounds the head of a request in bytes.
	HeaderBytes int
	// UnencryptedHTTP2 enables HTTP/2 without TLS.
	UnencryptedHTTP2 bool
	// StreamBytes bounds what is received and not yet read of the body of each HTTP/2 request, in
	// bytes; 0 means the default of net/http, 1 MiB.
	StreamBytes int
	// Admission bounds the memory and the connections, and Class is the part of it that the server
	// uses. Without one the server has an Admission of its own with the default limits.
	Admission *Admission
	Class     Class
}

// headLimit returns the longest head that is read, in bytes.
func (o *Options) headLimit() int {
	if o.HeaderBytes == 0 {
		return http.DefaultMaxHeaderBytes + headSlack
	}
	return o.HeaderBytes + headSlack
}

// Listener is a running HTTP server.
type Listener struct {
	server  *http.Server
	address string
}

var configure sync.Once

// Configure turns off the process-wide features of go-zero: its log, its statistics and
// its timed exit on signals. Only the first call has an effect.
func Configure() {
	configure.Do(func() {
		logx.Disable()
		logx.DisableStat()
		proc.Setup(proc.ShutdownConf{WrapUpTime: exitDelay, WaitTime: 2 * exitDelay})
	})
}

// New starts a server with a handler for all requests. It returns ErrListen if the
// server can't listen on the address.
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
	server, err := rest.NewServer(conf, rest.WithRouter(singleHandlerRouter{handler}))
	if err != nil {
		return nil, eris.Wrapf(ErrListen, "%q: %v", o.Address, err)
	}
	return start(o, server)
}

// start runs the server in the background. The listener is opened here, since the start function of
// rest ends the process on errors and accepts connections itself.
func start(o Options, server *rest.Server) (*Listener, error) {
	raw, err := net.Listen("tcp", o.Address)
	if err != nil {
		return nil, eris.Wrapf(ErrListen, "%q: %v", o.Address, err)
	}
	if o.Admission == nil {
		o.Admission = NewAdmission(NewLimits(0, 0, math.MaxInt))
	}
	ready := make(chan *Listener, 1)
	go server.StartWithOpts(func(s *http.Server) {
		o.apply(s)
		ready <- &Listener{server: s, address: raw.Addr().String()}
		// It returns once the server is closed. Otherwise rest would listen by itself then.
		if err := s.Serve(admitting{Listener: raw, admission: o.Admission, options: &o}); !errors.Is(err, http.ErrServerClosed) {
			_ = s.Close()
		}
	})
	select {
	case l := <-ready:
		return l, nil
	case <-time.After(startTimeout):
		_ = raw.Close()
		return nil, eris.Wrapf(ErrListen, "%q: not started in %v", o.Address, startTimeout)
	}
}

// apply copies the options to an HTTP server.
func (o Options) apply(s *http.Server) {
	s.ReadHeaderTimeout = o.HeaderTimeout
	s.IdleTimeout = o.IdleTimeout
	s.MaxHeaderBytes = o.HeaderBytes
	// net/http would answer "OPTIONS *" with 200 by itself, as if a backend server had run it.
	s.DisableGeneralOptionsHandler = true
	s.HTTP2 = &http.HTTP2Config{MaxReceiveBufferPerStream: o.StreamBytes, MaxConcurrentStreams: http2Streams}
	s.Handler = admitted(s.Handler)
	s.ConnContext = withConn
	s.ConnState = stateChanged
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(o.UnencryptedHTTP2)
	s.Protocols = protocols
}

// Address returns the host:port listened on.
func (l *Listener) Address() string { return l.address }

// Shutdown stops accepting connections and waits for requests in flight until ctx
// ends. It returns an error if requests are still in flight then.
func (l *Listener) Shutdown(ctx context.Context) error {
	return eris.Wrap(l.server.Shutdown(ctx), "shut down listener")
}

// Close closes all connections immediately.
func (l *Listener) Close() error {
	return eris.Wrap(l.server.Close(), "close listener")
}

// singleHandlerRouter is a router that passes every request to one handler. It replaces
// the router of rest, which has no wildcard and whose not-found handler adds a status to
// answers.
type singleHandlerRouter struct{ handler http.Handler }

var _ httpx.Router = singleHandlerRouter{}

// ServeHTTP implements http.Handler.
func (c singleHandlerRouter) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c.handler.ServeHTTP(w, r)
}

// Handle implements httpx.Router and does nothing, because there are no routes.
func (c singleHandlerRouter) Handle(string, string, http.Handler) error { return nil }

// SetNotFoundHandler implements httpx.Router and does nothing, because every request has
// a handler.
func (c singleHandlerRouter) SetNotFoundHandler(http.Handler) {}

// SetNotAllowedHandler implements httpx.Router and does nothing, because every method is
// allowed.
func (c singleHandlerRouter) SetNotAllowedHandler(http.Handler) {}
