package stopper

import (
	"os"
	"syscall"
	"testing"
	"time"

	"monsoonswitch/asserter"
)

// waitLimit bounds the wait for a signal; it is no check of speed.
const waitLimit = 10 * time.Second

// received reports whether a channel is readable within waitLimit.
func received(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	case <-time.After(waitLimit):
		return false
	}
}

func raise(t *testing.T, s syscall.Signal) {
	t.Helper()
	asserter.NoError(t, s.String(), syscall.Kill(os.Getpid(), s))
}

func TestSignals(t *testing.T) {
	s := New()
	defer s.Finish()
	t.Run("SIGHUP requests a reload and no shutdown", func(t *testing.T) {
		raise(t, syscall.SIGHUP)
		asserter.True(t, "reload", received(s.ReloadRequested()))
		asserter.Equal(t, "reason of a shutdown", s.Reason(), "")
	})
	t.Run("SIGPIPE changes nothing", func(t *testing.T) {
		raise(t, syscall.SIGPIPE)
		asserter.Equal(t, "reason of a shutdown", s.Reason(), "")
	})
	t.Run("SIGTERM requests a shutdown", func(t *testing.T) {
		raise(t, syscall.SIGTERM)
		asserter.True(t, "shutdown", received(s.ShutdownRequested()))
	})
}
