// Package stopper handles the signals of a process: its graceful shutdown and the reload of
// its settings.
package stopper

import (
	"os"
	"os/signal"
	"sync"
	"syscall"
)

// signalQueueLength is the number of signals that may wait to be handled. SIGHUP may come
// right before SIGTERM, and neither may be lost.
const signalQueueLength = 8

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
	// reloads holds at most one request to reload the settings.
	reloads chan struct{}
}

// New returns a stopper that requests a shutdown on SIGTERM or SIGINT, and a reload on
// SIGHUP. SIGPIPE is ignored, because a log that nobody reads any more must not end the
// process.
func New() *Stopper {
	s := &Stopper{
		requested: make(chan struct{}),
		done:      make(chan struct{}),
		signals:   make(chan os.Signal, signalQueueLength),
		reloads:   make(chan struct{}, 1),
	}
	signal.Ignore(syscall.SIGPIPE)
	signal.Notify(s.signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() {
		for {
			select {
			case v := <-s.signals:
				if v == syscall.SIGHUP {
					s.requestReload()
					continue
				}
				s.RequestShutdown(v.String())
			case <-s.done:
				signal.Stop(s.signals)
				return
			}
		}
	}()
	return s
}

// requestReload requests a reload, unless one is already pending.
func (s *Stopper) requestReload() {
	select {
	case s.reloads <- struct{}{}:
	default:
	}
}

// ReloadRequested returns a channel with a value for each request to reload the settings.
// Requests that arrive before the last one was received count as one.
func (s *Stopper) ReloadRequested() <-chan struct{} { return s.reloads }

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
