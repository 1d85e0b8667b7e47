package server

import (
	"net/http"
	"sync"

	"monsoonswitch/operator"
)

// gate is a handler that blocks requests until the actual handler is set.
type gate struct {
	once    sync.Once
	opened  chan struct{}
	handler http.Handler
}

func newGate() *gate { return &gate{opened: make(chan struct{})} }

func (g *gate) open(h http.Handler) {
	g.once.Do(func() {
		g.handler = h
		close(g.opened)
	})
}

// ServeHTTP implements http.Handler.
func (g *gate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	select {
	case <-g.opened:
		g.handler.ServeHTTP(w, r)
	case <-r.Context().Done():
	}
}

// gates holds the gate of each kind of listener.
type gates struct{ callers, questions, inner, operators *gate }

func newGates() *gates { return &gates{newGate(), newGate(), newGate(), newGate()} }

func (g *gates) open(s *Server) {
	g.callers.open(s.forwarder)
	g.questions.open(s.catcher.Handler("question", http.HandlerFunc(s.forwarder.ServeQuestion)))
	g.inner.open(s.catcher.Handler("link", s.linker))
	g.operators.open(s.catcher.Handler("operator", operator.New(s)))
}
