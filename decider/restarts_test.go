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
			f.readyTimes, f.knownTimes, f.suspicions = nil, nil, 0
			f.awaited, f.spreadTimes = nil, make(map[string][]time.Duration)
			before := f.now
			f.restartThird()
			f.after(time.Second, f.nodes[1].crash)
			f.after(4*time.Second, f.nodes[n/2].crash)
			f.restartThird()
			f.run(30*time.Second - f.now.Sub(before))
			f.table(t, "restarts", f.now.Sub(before))
			t.Logf("suspicions of running instances, at an instance: %.2f", float64(f.suspicions)/float64(n))
			f.run(8 * time.Second)
			times(t, "until ready", f.readyTimes)
			times(t, "until members known", f.knownTimes)
			for what, list := range f.spreadTimes {
				times(t, "until all know: "+what, list)
			}
		})
	}
}
