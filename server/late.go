package server

import (
	"monsoonswitch/controller"
	"monsoonswitch/descriptor"
)

// controlProxy forwards calls to a controller that is created after its users. Calls
// block until the controller is set.
type controlProxy struct {
	ready      chan struct{}
	controller *controller.Controller
}

func newControlProxy() *controlProxy { return &controlProxy{ready: make(chan struct{})} }

func (p *controlProxy) set(c *controller.Controller) {
	p.controller = c
	close(p.ready)
}

// Post implements linker.Poster, storer.Poster and forwarder.Control.
func (p *controlProxy) Post(e descriptor.Event) {
	<-p.ready
	p.controller.Post(e)
}

// Open implements forwarder.Control.
func (p *controlProxy) Open(e descriptor.Arrived) <-chan descriptor.RequestAction {
	<-p.ready
	return p.controller.Open(e)
}

// Release implements forwarder.Control.
func (p *controlProxy) Release(id descriptor.RequestID) {
	<-p.ready
	p.controller.Release(id)
}
