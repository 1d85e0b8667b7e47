package relayer

import (
	"testing"
	"time"

	"monsoonswitch/asserter"
	"monsoonswitch/descriptor"
)

const (
	parentUptime = 1000 * time.Second
	childUptime  = 20 * time.Second
	withdraw     = 5 * time.Second
)

// pair is a parent that read version 3 at its uptime parentUptime, and its child, which holds the
// same version. Their uptimes differ by far.
type pair struct {
	parent, child *Prover
}

func newPair() *pair {
	p := &pair{
		parent: NewProver(descriptor.Member{ID: "p", Incarnation: 1}, 1),
		child:  NewProver(descriptor.Member{ID: "c", Incarnation: 1}, 2),
	}
	p.parent.Advance(parentUptime)
	p.child.Advance(childUptime)
	p.parent.Hold(3)
	p.child.Hold(3)
	p.parent.Found(3)
	p.parent.Read(parentUptime, parentUptime)
	return p
}

// stamp has the child send a stamp that arrives after the given time.
func (p *pair) stamp(after time.Duration) {
	s, _ := p.child.NextStamp("p", true)
	p.parent.HandleStamp("c", s, parentUptime+after)
}

// announce has the parent compose an announcement after composed that the child receives after
// received, both since the start.
func (p *pair) announce(composed, received time.Duration) bool {
	p.parent.Advance(parentUptime + composed)
	m := p.parent.WithProof("c", descriptor.Freshness{})
	return p.child.HandleProof(m, childUptime+received)
}

// TestProver guards against a proof that is younger than the read of the store it comes from.
func TestProver(t *testing.T) {
	t.Run("a proof is at most as young as the read", func(t *testing.T) {
		p := newPair()
		p.stamp(time.Millisecond)
		asserter.True(t, "returned", p.announce(10*time.Millisecond, 11*time.Millisecond))
		asserter.AtMost(t, "proof", p.child.held.read, childUptime)
		asserter.AtLeast(t, "proof", p.child.held.read, childUptime-4*time.Millisecond)
	})
	t.Run("a late announcement proves nothing younger", func(t *testing.T) {
		p := newPair()
		p.stamp(time.Millisecond)
		p.announce(10*time.Millisecond, time.Minute)
		asserter.AtMost(t, "proof", p.child.held.read, childUptime)
		asserter.Equal(t, "recent", p.child.Recent(childUptime+time.Minute, withdraw), false)
	})
	t.Run("a late stamp makes the proof older", func(t *testing.T) {
		p := newPair()
		p.stamp(3 * time.Second)
		p.announce(4*time.Second, 4*time.Second)
		asserter.AtMost(t, "proof", p.child.held.read, childUptime-3*time.Second)
	})
	t.Run("without a stamp there is no proof", func(t *testing.T) {
		p := newPair()
		asserter.Equal(t, "returned", p.announce(time.Second, time.Second), false)
		asserter.Equal(t, "recent", p.child.Recent(childUptime+time.Second, withdraw), false)
	})
	t.Run("an old stamp is not returned", func(t *testing.T) {
		p := newPair()
		p.stamp(0)
		asserter.Equal(t, "returned", p.announce(maxStampAge+time.Second, maxStampAge+time.Second), false)
	})
	t.Run("the stamp of an earlier incarnation is not used", func(t *testing.T) {
		p := newPair()
		p.stamp(0)
		p.child = NewProver(descriptor.Member{ID: "c", Incarnation: 2}, 3)
		p.child.Advance(time.Second)
		p.child.Hold(3)
		asserter.Equal(t, "returned", p.announce(time.Second, time.Hour), false)
		asserter.Equal(t, "recent", p.child.Recent(childUptime+time.Hour, 2*time.Hour), false)
	})
	t.Run("a stamp sent before this incarnation knew its uptime is not used", func(t *testing.T) {
		p := newPair()
		m := descriptor.Freshness{Stamp: p.child.offset + 1, Version: 3}
		asserter.Equal(t, "returned", p.child.HandleProof(m, childUptime), false)
	})
	t.Run("a time in the future is not used", func(t *testing.T) {
		p := newPair()
		s := p.child.Stamp("p")
		p.child.HandleProof(descriptor.Freshness{Stamp: s.Stamp, Held: 5000, Version: 3}, childUptime+time.Second)
		p.child.HandleProof(descriptor.Freshness{Stamp: s.Stamp, Held: -1, Version: 3}, childUptime+time.Second)
		p.child.HandleProof(descriptor.Freshness{Stamp: s.Stamp, Proof: -9000, Version: 3}, childUptime+time.Second)
		asserter.Equal(t, "recent", p.child.Recent(childUptime, time.Hour), false)
	})
	t.Run("the limit is kept with a margin", func(t *testing.T) {
		p := newPair()
		read := p.parent.held.read
		asserter.True(t, "below", p.parent.Recent(read+withdraw-Margin(withdraw), withdraw))
		asserter.Equal(t, "above", p.parent.Recent(read+withdraw-Margin(withdraw)+1, withdraw), false)
		asserter.Equal(t, "unknown uptime", p.parent.Recent(0, withdraw), false)
	})
}

// TestProverVersions guards against a proof for another version than the one held.
func TestProverVersions(t *testing.T) {
	t.Run("a newer version is proved once it is held, as of its own time", func(t *testing.T) {
		p := newPair()
		p.child.Hold(2)
		p.stamp(0)
		p.announce(0, time.Second)
		asserter.Equal(t, "recent before", p.child.Recent(childUptime+time.Second, withdraw), false)
		p.child.Hold(3)
		asserter.True(t, "recent", p.child.Recent(childUptime+4*time.Second, withdraw))
		asserter.AtMost(t, "proof", p.child.held.read, childUptime)
	})
	t.Run("a store that holds an older version proves nothing", func(t *testing.T) {
		p := newPair()
		p.parent.Hold(4)
		p.parent.Read(parentUptime+time.Second, 0)
		asserter.Equal(t, "proof", p.parent.held.read, parentUptime)
		p.stamp(0)
		p.child.Hold(4)
		p.announce(time.Second, time.Second)
		asserter.Equal(t, "recent at the child", p.child.Recent(childUptime+time.Second, withdraw), true)
		asserter.AtMost(t, "proof at the child", p.child.held.read, childUptime)
	})
	t.Run("an announcement of an older version proves nothing", func(t *testing.T) {
		p := newPair()
		p.child.Hold(4)
		p.stamp(0)
		p.announce(0, time.Second)
		asserter.Equal(t, "recent", p.child.Recent(childUptime+time.Second, withdraw), false)
	})
	t.Run("a store without a readable version proves nothing", func(t *testing.T) {
		p := newPair()
		p.parent.Lost()
		p.parent.Read(parentUptime+time.Second, 0)
		asserter.Equal(t, "proof", p.parent.held.read, parentUptime)
	})
	t.Run("the number of versions that are not held is bounded", func(t *testing.T) {
		p := newPair()
		for v := uint64(10); v < 100; v++ {
			p.parent.Found(v)
			p.parent.Read(parentUptime+time.Duration(v)*time.Millisecond, 0)
		}
		asserter.Equal(t, "versions", len(p.parent.pending), maxPending)
		p.parent.Hold(99)
		asserter.Equal(t, "proof", p.parent.held.read, parentUptime+99*time.Millisecond)
		asserter.Equal(t, "versions after", len(p.parent.pending), 0)
	})
}
