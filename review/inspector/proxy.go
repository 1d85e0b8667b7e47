package main

import (
	"io"
	"net"
	"sync"
)

// proxy passes connections on to one address. It can silence those that are open: they stay open and pass
// nothing more in either direction, while new ones work.
type proxy struct {
	listener net.Listener
	target   string
	// admits reports whether a connection may pass; nil admits all.
	admits func(from net.Conn) bool

	mu    sync.Mutex
	pairs map[*pair]bool
}

// pair is the two connections of one that is passed on.
type pair struct {
	from, to net.Conn
	// silent is closed when nothing more is passed on.
	silent chan struct{}
	once   sync.Once
}

func newProxy(address, target string) (*proxy, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, target: target, pairs: make(map[*pair]bool)}
	go p.accept()
	return p, nil
}

func (p *proxy) accept() {
	for {
		from, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.pass(from)
	}
}

// pass passes one connection on until either side ends it.
func (p *proxy) pass(from net.Conn) {
	p.mu.Lock()
	admits := p.admits
	p.mu.Unlock()
	if admits != nil && !admits(from) {
		// It hangs, as behind a partition, until its dialer gives up.
		_, _ = io.Copy(io.Discard, from)
		_ = from.Close()
		return
	}
	to, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = from.Close()
		return
	}
	c := &pair{from: from, to: to, silent: make(chan struct{})}
	p.mu.Lock()
	p.pairs[c] = true
	p.mu.Unlock()
	var group sync.WaitGroup
	group.Go(func() { c.copy(to, from) })
	group.Go(func() { c.copy(from, to) })
	group.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case <-c.silent:
		// Kept, since connections that nothing refers to are closed.
	default:
		delete(p.pairs, c)
	}
}

// copy copies in one direction. A silent connection is read no more, so that its end is not seen either.
func (c *pair) copy(to, from net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		select {
		case <-c.silent:
			return
		default:
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				break
			}
		}
		if err != nil {
			break
		}
	}
	_ = c.from.Close()
	_ = c.to.Close()
}

// silence silences all open connections and returns their number.
func (p *proxy) silence() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.pairs {
		c.once.Do(func() { close(c.silent) })
	}
	return len(p.pairs)
}

// cut silences the open connections that are not admitted from now on.
func (p *proxy) cut(admits func(from net.Conn) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.admits = admits
	for c := range p.pairs {
		if !admits(c.from) {
			c.once.Do(func() { close(c.silent) })
		}
	}
}
