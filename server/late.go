package server

import (
	"monsoonswitch/controller"
	"monsoonswitch/descriptor"
)

// late passes calls on to a controller that is created after its users. They
// wait for it.
type late struct {
	ready chan struct{}
	to    *controller.Controller
}

func newLate() *late { return &late{ready: make(chan struct{})} }

func (l *late) set(c *controller.Controller) {
	l.to = c
	close(l.ready)
}

// Post implements linker.Poster, storer.Poster and forwarder.Control.
func (l *late) Post(e descriptor.Event) {
	<-l.ready
	l.to.Post(e)
}

// Open implements forwarder.Control.
func (l *late) Open(e descriptor.Arrived) <-chan descriptor.RequestAction {
	<-l.ready
	return l.to.Open(e)
}

// Release implements forwarder.Control.
func (l *late) Release(id descriptor.RequestID) {
	<-l.ready
	l.to.Release(id)
}
