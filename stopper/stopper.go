// Package stopper manages the graceful shutdown of a process.
package stopper

import (
	"os"
	"os/signal"
	"sync"
	"syscall"
)

// Stopper holds a request to shut down, which the first signal or call of
// RequestShutdown makes. It is safe for use by many goroutines.
type Stopper struct {
	mu          sync.Mutex
	requested   chan struct{}
	done        chan struct{}
	isRequested bool
	isDone      bool
	reason      string
	signals     chan os.Signal
}

// New returns a stopper that requests a shutdown on SIGTERM or SIGINT.
func New() *Stopper {
	s := &Stopper{
		requested: make(chan struct{}),
		done:      make(chan struct{}),
		signals:   make(chan os.Signal, 1),
	}
	signal.Notify(s.signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		for {
			select {
			case v := <-s.signals:
				s.RequestShutdown(v.String())
			case <-s.done:
				signal.Stop(s.signals)
				return
			}
		}
	}()
	return s
}

// RequestShutdown requests a shutdown. Only the first call has an effect.
func (s *Stopper) RequestShutdown(reason string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isRequested {
		return
	}
	s.isRequested = true
	s.reason = reason
	close(s.requested)
}

// Reason returns why the shutdown was requested.
func (s *Stopper) Reason() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reason
}

// ShutdownRequested returns a channel that is closed when a shutdown is requested.
func (s *Stopper) ShutdownRequested() <-chan struct{} { return s.requested }

// Finish marks the shutdown as done and ends the handling of signals. Only the first
// call has an effect.
func (s *Stopper) Finish() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.isDone {
		s.isDone = true
		close(s.done)
	}
}
