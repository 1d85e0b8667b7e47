package decider

import (
	"fmt"
	"testing"
	"time"
)

// TestBytesOfRestarts guards against control messages that grow with the fleet while a third
// of it restarts: 219 instances sent 390 KB a second each.
func TestBytesOfRestarts(t *testing.T) {
	for _, n := range []int{30, 100, 219} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			if n > 100 && testing.Short() {
				t.Skip("long")
			}
			f := newRollingFleet(n)
			f.run(5 * time.Second)
			f.table(t, "start", 5*time.Second)
			f.run(20 * time.Second)
			f.resetBytes()
			f.run(10 * time.Second)
			f.table(t, "calm", 10*time.Second)
			f.resetBytes()
			f.readyTimes, f.knownTimes = nil, nil
			before := f.now
			f.restartThird()
			f.restartThird()
			f.run(30*time.Second - f.now.Sub(before))
			f.table(t, "restarts", f.now.Sub(before))
			f.run(8 * time.Second)
			times(t, "until ready", f.readyTimes)
			times(t, "until members known", f.knownTimes)
			for what, list := range f.spreadTimes {
				times(t, "until all know: "+what, list)
			}
		})
	}
}
