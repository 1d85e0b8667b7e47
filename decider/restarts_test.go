package decider

import (
	"fmt"
	"testing"
	"time"

	"monsoonswitch/asserter"
	"monsoonswitch/descriptor"
)

// Bounds while a third of the fleet restarts. Members must be known as soon as before the control
// messages of restarts were made smaller.
const (
	restartSpreadLimit = 400 * time.Millisecond
	restartReadyLimit  = 1200 * time.Millisecond
	restartKnownLimit  = restartReadyLimit + membersKnownLimit
	restartDeadLimit   = 6500 * time.Millisecond
)

// TestBytesOfRestarts guards against control messages that grow with the fleet while a third
// of it restarts: 219 instances sent 390 KB a second each.
func TestBytesOfRestarts(t *testing.T) {
	for _, n := range []int{30, 100} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			if n > 30 && testing.Short() {
				t.Skip("long")
			}
			checkRestarts(t, n)
		})
	}
}

// TestBytesOfLargeRestarts is TestBytesOfRestarts for the largest fleet.
func TestBytesOfLargeRestarts(t *testing.T) {
	if testing.Short() {
		t.Skip("long")
	}
	checkRestarts(t, 219)
}

// TestMembersOfWholeStart guards against instances that start all at once and learn of each other
// only with the digests after ten seconds: each was introduced by one that knew few, and passed
// nothing on.
func TestMembersOfWholeStart(t *testing.T) {
	f := newRollingFleet(100)
	f.run(membersKnownLimit)
	for _, n := range f.nodes {
		asserter.Equal(t, n.self.ID+": members", len(n.decider.gossiper.Members()), len(f.nodes))
	}
}

func checkRestarts(t *testing.T, n int) {
	t.Helper()
	f := newRollingFleet(n)
	f.run(5 * time.Second)
	f.table(t, "start", 5*time.Second)
	f.run(20 * time.Second)
	f.resetBytes()
	f.run(10 * time.Second)
	f.table(t, "calm", 10*time.Second)
	mean, maximum := f.measureRestarts(t)
	asserter.AtMost(t, "bytes a second of an instance, mean", mean*1000, controlBytesPerSecond)
	asserter.AtMost(t, "bytes a second of the instance that sends most", maximum*1000, controlBytesPerSecond)
	f.checkTimes(t)
}

// TestRestartsOfMixedBuilds guards against instances of an earlier build missing what this build
// sends in other messages, and the other way round.
func TestRestartsOfMixedBuilds(t *testing.T) {
	f := newRollingFleet(30)
	for i, n := range f.nodes {
		if i%2 == 0 {
			n.types = 0
		}
	}
	f.run(35 * time.Second)
	f.measureRestarts(t)
	f.checkTimes(t)
}

// measureRestarts restarts a third of the instances twice in 30 s, lets two others crash, and
// returns the KB a second that an instance sent, the mean and the largest.
func (f *rollingFleet) measureRestarts(t *testing.T) (mean, maximum float64) {
	t.Helper()
	f.resetBytes()
	f.readyTimes, f.knownTimes, f.suspicions = nil, nil, 0
	f.awaited, f.spreadTimes = nil, make(map[string][]time.Duration)
	before := f.now
	f.restartThird()
	f.after(time.Second, f.nodes[1].crash)
	f.after(4*time.Second, f.nodes[len(f.nodes)/2].crash)
	f.restartThird()
	f.run(30*time.Second - f.now.Sub(before))
	mean, maximum = f.table(t, "restarts", f.now.Sub(before))
	t.Logf("suspicions of running instances, at an instance: %.2f", float64(f.suspicions)/float64(len(f.nodes)))
	f.run(8 * time.Second)
	return mean, maximum
}

// checkTimes checks the times until instances were ready and others knew of their changes.
func (f *rollingFleet) checkTimes(t *testing.T) {
	t.Helper()
	asserter.AtMost(t, "until ready", times(t, "until ready", f.readyTimes), restartReadyLimit)
	asserter.AtMost(t, "until members known", times(t, "until members known", f.knownTimes), restartKnownLimit)
	asserter.AtMost(t, "until all know of a start", times(t, "until all know of a start", f.spreadTimes["started"]), restartSpreadLimit)
	asserter.AtMost(t, "until all know of a departure", times(t, "until all know of a departure", f.spreadTimes["leaving"]), restartSpreadLimit)
	asserter.AtMost(t, "until all know of a crash", times(t, "until all know of a crash", f.spreadTimes["dead"]), restartDeadLimit)
	asserter.Equal(t, "changes that some instance does not know", len(f.awaited), 0)
	asserter.Equal(t, "crashes", len(f.spreadTimes["dead"]), 2)
	for _, n := range f.nodes {
		for _, other := range f.nodes {
			if m, _ := n.decider.gossiper.Member(other.self.ID); n.up && other.up && (m.Incarnation != other.decider.gossiper.Self().Incarnation || m.State != descriptor.Alive) {
				t.Errorf("%s at %s: got %s of start %d", other.self.ID, n.self.ID, m.State, m.Incarnation)
			}
		}
	}
}
