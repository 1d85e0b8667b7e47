package imitator

import (
	"sync"
	"time"

	"monsoonswitch/listener"
)

// Limits of the stand-ins' listeners; headerBytes bounds the headers of a request.
const (
	headerTimeout = 10 * time.Second
	idleTimeout   = time.Minute
	headerBytes   = 64 << 10
)

func options(address string) listener.Options {
	return listener.Options{
		Address:       address,
		HeaderTimeout: headerTimeout,
		IdleTimeout:   idleTimeout,
		HeaderBytes:   headerBytes,
	}
}

// Process is a running stand-in with its listener.
type Process struct {
	mu sync.Mutex
	// listener is nil while a backend server is down.
	listener *listener.Listener
	address  string
	closed   bool
}

// ServeStore starts the platform's stand-in on an address. It returns an error if it
// cannot listen there.
func ServeStore(s *Store, address string) (*Process, error) {
	l, err := listener.New(options(address), s)
	if err != nil {
		return nil, err
	}
	return &Process{listener: l, address: l.Address()}, nil
}

// ServeBackend starts a backend server's stand-in on an address. It does not listen
// while it is down after a crash. It returns an error if it cannot listen at first.
func ServeBackend(b *Backend, address string) (*Process, error) {
	l, err := listener.New(options(address), b)
	if err != nil {
		return nil, err
	}
	p := &Process{listener: l, address: l.Address()}
	b.setCrashHandler(func(down time.Duration) { p.restart(b, down) })
	return p, nil
}

// Address returns the listening address as host:port.
func (p *Process) Address() string { return p.address }

// Close stops the stand-in immediately.
func (p *Process) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	if p.listener != nil {
		_ = p.listener.Close()
	}
}

// restart closes the listener and listens again after down.
func (p *Process) restart(b *Backend, down time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || p.listener == nil {
		return
	}
	_ = p.listener.Close()
	p.listener = nil
	time.AfterFunc(down, func() { p.listenAgain(b) })
}

// listenAgain listens on the same address again. It retries as long as the address
// is not available.
func (p *Process) listenAgain(b *Backend) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return
	}
	l, err := listener.New(options(p.address), b)
	if err != nil {
		time.AfterFunc(stallPollInterval, func() { p.listenAgain(b) })
		return
	}
	p.listener = l
}
