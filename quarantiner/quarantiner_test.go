package quarantiner

import (
	"testing"
	"time"

	"monsoonswitch/asserter"
)

var epoch = time.Unix(1000, 0)

// after returns a time after epoch.
func after(d time.Duration) time.Time { return epoch.Add(d) }

// request is the fingerprint of the requests in the tests.
const request = 99

// crashed returns a register with crashes of different backend servers at epoch, one for each
// given content of the request.
func crashed(contents ...uint64) *Register {
	g := NewRegister()
	for i, c := range contents {
		g.Add(request, Crash{Service: "ledger", Mark: uint64(i + 1), Content: c, At: epoch})
	}
	return g
}

func refused(g *Register, content uint64, now time.Time) bool {
	return g.Get(request).Refused(content, now)
}

// TestRequestsThatLookAlike guards against taking a request for another one of the same path and
// caller, in both directions: its answer must not clear the other one, and it must not be refused
// because of it.
func TestRequestsThatLookAlike(t *testing.T) {
	t.Run("another body is not refused", func(t *testing.T) {
		g := crashed(7, 7)
		asserter.Equal(t, "refused", refused(g, 7, epoch), true)
		asserter.Equal(t, "another body refused", refused(g, 8, epoch), false)
	})
	t.Run("an unknown body counts as each", func(t *testing.T) {
		asserter.Equal(t, "refused", refused(crashed(7, 7), 0, epoch), true)
		asserter.Equal(t, "refused", refused(crashed(7, 0), 7, epoch), true)
	})
	t.Run("one crash counts once, whether the body was known or not", func(t *testing.T) {
		g := crashed(7)
		g.Add(request, Crash{Service: "ledger", Mark: 1, Content: 0, At: epoch})
		asserter.Equal(t, "refused", refused(g, 7, epoch), false)
		asserter.Equal(t, "refused if unknown", refused(g, 0, epoch), false)
	})
	t.Run("the answer to another body clears nothing", func(t *testing.T) {
		g := crashed(7)
		asserter.Equal(t, "cleared", g.Answer(after(time.Second), request, 8), false)
		asserter.Equal(t, "cleared by an unknown body", g.Answer(after(time.Second), request, 0), false)
		g.Add(request, Crash{Mark: 9, Content: 7, At: after(time.Second)})
		asserter.Equal(t, "refused", refused(g, 7, after(time.Second)), true)
	})
	t.Run("an answer shows that the crashes before had another cause", func(t *testing.T) {
		g := crashed(7, 7)
		asserter.Equal(t, "cleared", g.Answer(after(time.Second), request, 7), true)
		asserter.Equal(t, "refused", refused(g, 7, after(time.Second)), false)
	})
	t.Run("many bodies of one path and caller", func(t *testing.T) {
		g := crashed(1, 2, 3, 4, 5, 6, 7, 7)
		asserter.Equal(t, "refused", refused(g, 7, epoch), true)
		asserter.Equal(t, "another body refused", refused(g, 6, epoch), false)
	})
}

// TestLateProbe guards against a probe that reaches the next incarnation of a crashed backend
// server and withdraws its crash.
func TestLateProbe(t *testing.T) {
	for _, c := range []struct {
		after time.Duration
		want  bool
	}{{100 * time.Millisecond, true}, {900 * time.Millisecond, true}, {time.Second, false}, {3 * time.Second, false}} {
		t.Run(c.after.String(), func(t *testing.T) {
			asserter.Equal(t, "withdrawn", crashed(7).Withdraw(after(c.after), request, 1), c.want)
		})
	}
}

func TestRefusalEnds(t *testing.T) {
	g := crashed(7, 7)
	asserter.Equal(t, "refused before", refused(g, 7, after(refusalTime-time.Second)), true)
	asserter.Equal(t, "refused after", refused(g, 7, after(refusalTime)), false)
	asserter.Equal(t, "listed before", len(g.Settled(after(refusalTime-time.Second), "ledger", 9)), 2)
	asserter.Equal(t, "listed after", len(g.Settled(after(refusalTime), "ledger", 9)), 0)
}

// TestManyBrokenConnections guards against the record of a request that is refused being dropped
// because the connections of many others broke.
func TestManyBrokenConnections(t *testing.T) {
	g := crashed(7, 7)
	for i := range uint64(4 * maxRecords) {
		g.Add(1000+i, Crash{Service: "ledger", Mark: 1, Content: 7, At: after(time.Second)})
	}
	asserter.Equal(t, "refused", refused(g, 7, after(time.Second)), true)
	asserter.AtMost(t, "records", g.Len(), 4*maxRecords)
	asserter.Equal(t, "fingerprints", len(g.Fingerprints()), g.Len())
}
