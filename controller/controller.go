// Package controller runs the decisions of an instance on one goroutine. Traffic
// goroutines post events and wait on channels for what to do.
package controller

import (
	"time"

	"monsoonswitch/descriptor"
)

// Parameters of the control goroutine.
const (
	// queueLength is the number of events that may wait.
	queueLength = 4096
	// answerLength is the number of actions that may wait for one request; it
	// is more than a request can get.
	answerLength = 32
	// busyTick and idleTick are the times between ticks with and without
	// requests in flight.
	busyTick = 10 * time.Millisecond
	idleTick = 100 * time.Millisecond
)

// Machine is the state machine that decides.
type Machine interface {
	// Step takes one event in and returns the actions that follow, valid until
	// the next call.
	Step(descriptor.Event) []descriptor.Action
	// Busy tells whether there are requests that have not ended.
	Busy() bool
	// Dump returns the state at the given time.
	Dump(time.Time) descriptor.Dump
}

// Effects carries out the actions that belong to no request. It must not block.
type Effects interface {
	// Do carries out one action.
	Do(descriptor.Action)
}

// input is one event with what else the control goroutine needs for it.
type input struct {
	event descriptor.Event
	// answers receives the actions of the request that arrives.
	answers chan descriptor.RequestAction
	// closed is the request whose goroutine ended, or 0.
	closed descriptor.RequestID
	// dump receives the state.
	dump chan descriptor.Dump
}

// Controller is the control goroutine of an instance.
type Controller struct {
	inputs chan input
	stop   chan struct{}
	done   chan struct{}
}

// New starts the control goroutine.
func New(m Machine, e Effects) *Controller {
	c := &Controller{
		inputs: make(chan input, queueLength),
		stop:   make(chan struct{}),
		done:   make(chan struct{}),
	}
	loop := &loop{machine: m, effects: e, requests: make(map[descriptor.RequestID]chan descriptor.RequestAction)}
	go func() {
		defer close(c.done)
		loop.run(c)
	}()
	return c
}

// Post passes an event on. It blocks while the queue is full, and drops the
// event once the controller was closed.
func (c *Controller) Post(e descriptor.Event) { c.put(input{event: e}) }

func (c *Controller) put(in input) bool {
	select {
	case c.inputs <- in:
		return true
	case <-c.stop:
		return false
	}
}

// Open passes a request on and returns the channel of its actions.
func (c *Controller) Open(e descriptor.Arrived) <-chan descriptor.RequestAction {
	answers := make(chan descriptor.RequestAction, answerLength)
	c.put(input{event: e, answers: answers})
	return answers
}

// Release ends the delivery of actions for a request.
func (c *Controller) Release(id descriptor.RequestID) { c.put(input{closed: id}) }

// Dump returns the state of the instance at one instant.
func (c *Controller) Dump() (descriptor.Dump, bool) {
	result := make(chan descriptor.Dump, 1)
	if !c.put(input{dump: result}) {
		return descriptor.Dump{}, false
	}
	select {
	case d := <-result:
		return d, true
	case <-c.done:
		return descriptor.Dump{}, false
	}
}

// Close ends the control goroutine.
func (c *Controller) Close() {
	close(c.stop)
	<-c.done
}

// loop is the state of the control goroutine.
type loop struct {
	machine  Machine
	effects  Effects
	requests map[descriptor.RequestID]chan descriptor.RequestAction
}

func (l *loop) run(c *Controller) {
	timer := time.NewTimer(busyTick)
	defer timer.Stop()
	for {
		select {
		case in := <-c.inputs:
			l.take(in)
		case now := <-timer.C:
			l.step(descriptor.Ticked{At: now})
			timer.Reset(l.wait())
		case <-c.stop:
			return
		}
	}
}

func (l *loop) wait() time.Duration {
	if l.machine.Busy() {
		return busyTick
	}
	return idleTick
}

func (l *loop) take(in input) {
	switch {
	case in.dump != nil:
		in.dump <- l.machine.Dump(time.Now())
	case in.closed != 0:
		delete(l.requests, in.closed)
	default:
		if e, ok := in.event.(descriptor.Arrived); ok && in.answers != nil {
			l.requests[e.Request] = in.answers
		}
		l.step(in.event)
	}
}

func (l *loop) step(e descriptor.Event) {
	for _, a := range l.machine.Step(e) {
		l.deliver(a)
	}
}

// deliver passes an action to its request or to the effects. The channel of a
// request has room for all actions that a request can get.
func (l *loop) deliver(a descriptor.Action) {
	r, ok := a.(descriptor.RequestAction)
	if !ok {
		l.effects.Do(a)
		return
	}
	answers, ok := l.requests[r.For()]
	if !ok {
		return
	}
	select {
	case answers <- r:
	default:
	}
}
