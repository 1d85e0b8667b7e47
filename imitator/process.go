package imitator

import (
	"sync"
	"time"

	"monsoonswitch/listener"
)

// Limits of the stand-ins' listeners.
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

// Process is a stand-in with its listener.
type Process struct {
	mu       sync.Mutex
	listener *listener.Listener
	address  string
	closed   bool
}

// ServeStore starts the stand-in of the platform on an address.
func ServeStore(s *Store, address string) (*Process, error) {
	l, err := listener.New(options(address), s)
	if err != nil {
		return nil, err
	}
	return &Process{listener: l, address: l.Address()}, nil
}

// ServeBackend starts the stand-in of a backend server on an address. While it
// is down after a crash it does not listen.
func ServeBackend(b *Backend, address string) (*Process, error) {
	l, err := listener.New(options(address), b)
	if err != nil {
		return nil, err
	}
	p := &Process{listener: l, address: l.Address()}
	b.onCrash(func(down time.Duration) { p.restart(b, down) })
	return p, nil
}

// Address returns the host:port listened on.
func (p *Process) Address() string { return p.address }

// Close ends the stand-in at once.
func (p *Process) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	if p.listener != nil {
		_ = p.listener.Close()
	}
}

// restart stops listening for a while.
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

func (p *Process) listenAgain(b *Backend) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return
	}
	l, err := listener.New(options(p.address), b)
	if err != nil {
		time.AfterFunc(stallPoll, func() { p.listenAgain(b) })
		return
	}
	p.listener = l
}
