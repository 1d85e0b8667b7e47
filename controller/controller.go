// Package controller runs the decision state machine of an instance on one
// goroutine, the control goroutine. Traffic goroutines post events and receive
// actions on channels.
package controller

import (
	"sync/atomic"
	"time"

	"monsoonswitch/descriptor"
	"monsoonswitch/timekeeper"
)

// Parameters of the control goroutine.
const (
	// queueLength is the capacity of the event queue.
	queueLength = 4096
	// actionQueueLength is the capacity of the action channel of one request. It
	// exceeds the number of actions that a request can get, so that delivery never
	// blocks.
	actionQueueLength = 32
	// busyTick and idleTick are the intervals between timer events with and
	// without open requests.
	busyTick = 10 * time.Millisecond
	idleTick = 100 * time.Millisecond
)

// Machine is the decision state machine of an instance.
type Machine interface {
	// Step handles one event and returns the resulting actions. The slice is
	// valid until the next call.
	Step(descriptor.Event) []descriptor.Action
	// Busy reports whether there are open requests.
	Busy() bool
	// Dump returns the state at the given time.
	Dump(time.Time) descriptor.Dump
}

// Effects carries out the actions that do not belong to a request.
type Effects interface {
	// Do carries out one action. It runs on the control goroutine and must not
	// block.
	Do(descriptor.Action)
}

// input is one entry of the queue of the control goroutine: an event, the
// release of a request, or a call of Dump.
type input struct {
	event descriptor.Event
	// actions receives the actions of a new request, or is nil.
	actions chan descriptor.RequestAction
	// released is the request that needs no more actions, or 0.
	released descriptor.RequestID
	// dump receives the state for a call of Dump, or is nil.
	dump chan descriptor.Dump
}

// Controller is the control goroutine of an instance.
type Controller struct {
	inputs chan input
	stop   chan struct{}
	done   chan struct{}
	// events counts the handled events, and maxLag is the largest age of one when it
	// was handled, in nanoseconds, since the last call of TakeLoad.
	events atomic.Uint64
	maxLag atomic.Int64
}

// Load describes the load of the control goroutine in a period.
type Load struct {
	// Events is the number of handled events.
	Events uint64
	// MaxLag is the largest age of an event when it was handled.
	MaxLag time.Duration
}

// TakeLoad returns the load since the last call.
func (c *Controller) TakeLoad() Load {
	return Load{Events: c.events.Swap(0), MaxLag: time.Duration(c.maxLag.Swap(0))}
}

// recordLag counts an event that occurred at the given time and is handled now.
func (c *Controller) recordLag(at, now time.Time) {
	c.events.Add(1)
	if lag := int64(now.Sub(at)); lag > c.maxLag.Load() {
		c.maxLag.Store(lag)
	}
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

// Post queues an event. It blocks while the queue is full, and drops the event
// after Close.
func (c *Controller) Post(e descriptor.Event) { c.enqueue(input{event: e}) }

// enqueue adds to the queue and reports whether the controller is still open.
func (c *Controller) enqueue(in input) bool {
	select {
	case c.inputs <- in:
		return true
	case <-c.stop:
		return false
	}
}

// Open queues a new request and returns the channel that receives its actions. The
// caller must call Release when it needs no more actions.
func (c *Controller) Open(e descriptor.Arrived) <-chan descriptor.RequestAction {
	actions := make(chan descriptor.RequestAction, actionQueueLength)
	c.enqueue(input{event: e, actions: actions})
	return actions
}

// Release stops the delivery of actions for a request.
func (c *Controller) Release(id descriptor.RequestID) { c.enqueue(input{released: id}) }

// Dump returns the state of the instance at one instant, or false if the controller
// is closed.
func (c *Controller) Dump() (descriptor.Dump, bool) {
	result := make(chan descriptor.Dump, 1)
	if !c.enqueue(input{dump: result}) {
		return descriptor.Dump{}, false
	}
	select {
	case d := <-result:
		return d, true
	case <-c.done:
		return descriptor.Dump{}, false
	}
}

// Close stops the control goroutine and waits for its end. It must be called once.
func (c *Controller) Close() {
	close(c.stop)
	<-c.done
}

// loop is the state of the control goroutine. requests holds the action channel of
// each open request.
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
			if in.event != nil {
				c.recordLag(in.event.When(), time.Now())
			}
			l.handle(in)
		case now := <-timer.C:
			l.step(descriptor.Ticked{At: now, Uptime: timekeeper.Uptime()})
			timer.Reset(l.tickInterval())
		case <-c.stop:
			return
		}
	}
}

// tickInterval returns the time until the next timer event.
func (l *loop) tickInterval() time.Duration {
	if l.machine.Busy() {
		return busyTick
	}
	return idleTick
}

func (l *loop) handle(in input) {
	switch {
	case in.dump != nil:
		in.dump <- l.machine.Dump(time.Now())
	case in.released != 0:
		delete(l.requests, in.released)
	default:
		if e, ok := in.event.(descriptor.Arrived); ok && in.actions != nil {
			l.requests[e.Request] = in.actions
		}
		l.step(in.event)
	}
}

func (l *loop) step(e descriptor.Event) {
	for _, a := range l.machine.Step(e) {
		l.deliver(a)
	}
}

// deliver sends an action to its request or to the effects. Actions for released
// requests are dropped. It never blocks: the channel of a request has room for all
// actions that a request can get.
func (l *loop) deliver(a descriptor.Action) {
	r, ok := a.(descriptor.RequestAction)
	if !ok {
		l.effects.Do(a)
		return
	}
	actions, ok := l.requests[r.ForRequest()]
	if !ok {
		return
	}
	select {
	case actions <- r:
	default:
	}
}
