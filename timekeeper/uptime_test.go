package timekeeper

import (
	"testing"
	"time"

	"monsoonswitch/asserter"
)

// TestUptime guards against an uptime that stands still or runs at another rate than the
// monotonic clock while the machine runs.
func TestUptime(t *testing.T) {
	started, before := time.Now(), Uptime()
	time.Sleep(20 * time.Millisecond)
	elapsed := Uptime() - before
	asserter.AtLeast(t, "elapsed", elapsed, 20*time.Millisecond)
	asserter.AtMost(t, "elapsed", elapsed, time.Since(started)+time.Millisecond)
}
