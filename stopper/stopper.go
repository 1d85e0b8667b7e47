// Package stopper manages the graceful shutdown of a process.
package stopper

import (
	"os"
	"os/signal"
	"sync"
	"syscall"
)

// Stopper turns the first signal or call into one request to shut down, and
// tells everyone who waits when the shutdown is done.
type Stopper struct {
	mu       sync.Mutex
	asked    chan struct{}
	done     chan struct{}
	isAsked  bool
	isDone   bool
	reason   string
	received chan os.Signal
}

// New returns a stopper that listens to SIGTERM and SIGINT.
func New() *Stopper {
	s := &Stopper{
		asked:    make(chan struct{}),
		done:     make(chan struct{}),
		received: make(chan os.Signal, 1),
	}
	signal.Notify(s.received, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		for {
			select {
			case v := <-s.received:
				s.Ask(v.String())
			case <-s.done:
				signal.Stop(s.received)
				return
			}
		}
	}()
	return s
}

// Ask requests a shutdown. Only the first call has an effect.
func (s *Stopper) Ask(reason string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isAsked {
		return
	}
	s.isAsked = true
	s.reason = reason
	close(s.asked)
}

// Reason returns why the shutdown was requested.
func (s *Stopper) Reason() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reason
}

// Asked is closed when a shutdown is requested.
func (s *Stopper) Asked() <-chan struct{} { return s.asked }

// Finish tells that the shutdown is done. Only the first call has an effect.
func (s *Stopper) Finish() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.isDone {
		s.isDone = true
		close(s.done)
	}
}
