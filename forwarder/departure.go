package forwarder

import (
	"context"
	"sync"
	"time"
)

// departureInterval is the time between two checks whether the caller has left, while net/http doesn't
// watch the connection because the body was not read to its end.
const departureInterval = 100 * time.Millisecond

// watchCaller sets callerDone and returns a function that ends the watch. net/http watches the connection
// once the body was read to its end, which may be long after the request arrived: it is read when the
// request is sent on. Until then the connection is checked in intervals.
func (s *session) watchCaller() (stop func()) {
	ctx := s.r.Context()
	s.callerDone = ctx.Done()
	if !s.body.unread() || s.forwarder.options.CallerLeft == nil {
		return func() {}
	}
	watched, cancel := context.WithCancel(ctx)
	s.callerDone = watched.Done()
	w := &departureWatch{session: s, left: cancel}
	w.schedule()
	return w.stop
}

// departed reports whether the caller has left. It is asked before the request is passed to the control
// goroutine, since the request may have been behind another on its connection, or waited for memory or for a
// newer directory, and again before it is sent on.
func (s *session) departed() bool {
	select {
	case <-s.callerDone:
		return true
	default:
	}
	left := s.forwarder.options.CallerLeft
	if s.body.sourceFailed() || left != nil && left(s.r.Context()) {
		return true
	}
	s.presentAt = time.Now()
	return false
}

// departureWatch checks in intervals whether the caller of a session has left.
type departureWatch struct {
	session *session
	// left is called once the caller has left, or the watch is stopped.
	left context.CancelFunc

	// mu guards the fields below.
	mu      sync.Mutex
	timer   *time.Timer
	stopped bool
}

// schedule starts the wait for the next check.
func (w *departureWatch) schedule() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.stopped {
		w.timer = time.AfterFunc(departureInterval, w.check)
	}
}

// check ends the watch if the caller has left, or if net/http watches the connection.
func (w *departureWatch) check() {
	switch s := w.session; {
	case !s.body.unread():
	case s.forwarder.options.CallerLeft(s.r.Context()):
		w.left()
	default:
		w.schedule()
	}
}

// stop ends the watch.
func (w *departureWatch) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.timer.Stop()
	w.left()
}
