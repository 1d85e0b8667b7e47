package keeper

import (
	"fmt"
	"testing"
	"time"

	"monsoonswitch/asserter"
	"monsoonswitch/descriptor"
)

// members is a fixed list of instances by ID.
type members map[string]descriptor.Member

// Member implements Members.
func (r members) Member(id string) (descriptor.Member, bool) {
	m, ok := r[id]
	return m, ok
}

// cluster simulates the keepers of three instances that exchange messages.
type cluster struct {
	t       *testing.T
	now     time.Time
	members members
	keepers map[string]*Keeper
	next    descriptor.RequestID
}

func newCluster(t *testing.T) *cluster {
	p := &cluster{t: t, now: time.Unix(6000, 0), members: members{}, keepers: make(map[string]*Keeper)}
	for _, id := range []string{"a", "b", "c"} {
		p.add(id)
	}
	return p
}

func (p *cluster) add(id string) {
	m := descriptor.Member{ID: id, Incarnation: 1}
	p.members[id] = m
	var writes descriptor.WriteID
	p.keepers[id] = New(m, p.members, func() descriptor.WriteID {
		writes++
		return writes
	}, p.now)
}

// key returns a key with the ticket of issuer and the given unique part.
func (p *cluster) key(issuer, unique string) string {
	return TicketOf(p.members[issuer], p.now).String() + "." + unique
}

// send starts a request with a key at an instance and delivers its messages.
func (p *cluster) send(to, key string) (descriptor.RequestID, Decision) {
	p.next++
	e := descriptor.Arrived{At: p.now, Request: p.next, Service: "billing", Key: key}
	d, actions := p.keepers[to].Begin(e, false)
	if d.Verdict != Wait {
		return p.next, d
	}
	for _, a := range actions {
		s, ok := a.(descriptor.Send)
		if !ok {
			continue
		}
		answers := p.keepers[s.To.ID].HandleClaim(p.now, p.members[to], s.Message.(descriptor.Claim))
		verdict := answers[0].(descriptor.Send).Message.(descriptor.Verdict)
		resolved, ok, _ := p.keepers[to].HandleVerdict(p.members[s.To.ID], verdict)
		if ok {
			return p.next, resolved.Decision
		}
	}
	return p.next, d
}

// end ends a request at an instance and delivers its messages.
func (p *cluster) end(at string, id descriptor.RequestID, outcome descriptor.Outcome) {
	for _, a := range p.keepers[at].End(id, outcome) {
		s := a.(descriptor.Send)
		p.keepers[s.To.ID].HandleSettlement(at, s.Message.(descriptor.KeySettlement))
	}
}

func (p *cluster) want(got Decision, verdict Verdict, reason descriptor.Reason, outcome descriptor.Outcome) {
	p.t.Helper()
	asserter.Equal(p.t, "decision", got, Decision{Verdict: verdict, Reason: reason, Outcome: outcome})
}

// TestTicketKeys guards against work with an idempotency key that runs twice because
// it is sent again, to the same or to another instance. If it is uncertain whether the
// work ran, it must be refused.
func TestTicketKeys(t *testing.T) {
	t.Run("runs once at its issuer", func(t *testing.T) {
		p := newCluster(t)
		id, d := p.send("a", p.key("a", "1"))
		p.want(d, Proceed, 0, 0)
		_, d = p.send("a", p.key("a", "1"))
		p.want(d, Reject, descriptor.KeyBusy, descriptor.MayHaveRun)
		p.end("a", id, descriptor.Ran)
		_, d = p.send("a", p.key("a", "1"))
		p.want(d, Reject, descriptor.KeyUsed, descriptor.Ran)
	})
	t.Run("runs once even if it is sent again to any instance", func(t *testing.T) {
		p := newCluster(t)
		id, d := p.send("b", p.key("a", "1"))
		p.want(d, Proceed, 0, 0)
		for _, at := range []string{"a", "b", "c"} {
			_, d = p.send(at, p.key("a", "1"))
			p.want(d, Reject, descriptor.KeyBusy, descriptor.MayHaveRun)
		}
		p.end("b", id, descriptor.Ran)
		for _, at := range []string{"a", "b", "c"} {
			_, d = p.send(at, p.key("a", "1"))
			p.want(d, Reject, descriptor.KeyUsed, descriptor.Ran)
		}
	})
	t.Run("work that did not run may be sent again", func(t *testing.T) {
		p := newCluster(t)
		id, _ := p.send("b", p.key("a", "1"))
		p.end("b", id, descriptor.NotRun)
		_, d := p.send("c", p.key("a", "1"))
		p.want(d, Proceed, 0, 0)
	})
	t.Run("an instance without the grant can't settle a key", func(t *testing.T) {
		p := newCluster(t)
		p.send("b", p.key("a", "1"))
		p.keepers["a"].HandleSettlement("c", descriptor.KeySettlement{Key: scopedKey("billing", p.key("a", "1")), Outcome: descriptor.NotRun})
		_, d := p.send("c", p.key("a", "1"))
		p.want(d, Reject, descriptor.KeyBusy, descriptor.MayHaveRun)
	})
	t.Run("a dead issuer leaves the outcome uncertain", func(t *testing.T) {
		p := newCluster(t)
		key := p.key("a", "1")
		p.members["a"] = p.members["a"].WithState(descriptor.Dead, nil)
		_, d := p.send("b", key)
		p.want(d, Reject, descriptor.KeyUnsettled, descriptor.MayHaveRun)
	})
	t.Run("a later incarnation of the issuer leaves the outcome uncertain", func(t *testing.T) {
		p := newCluster(t)
		key := p.key("a", "1")
		m := p.members["a"]
		m.Incarnation = 2
		p.members["a"] = m
		p.keepers["a"] = New(m, p.members, nil, p.now)
		for _, at := range []string{"a", "b"} {
			_, d := p.send(at, key)
			p.want(d, Reject, descriptor.KeyUnsettled, descriptor.MayHaveRun)
		}
	})
	t.Run("an unreachable issuer leaves the outcome uncertain", func(t *testing.T) {
		p := newCluster(t)
		e := descriptor.Arrived{At: p.now, Request: 9, Service: "billing", Key: p.key("a", "1")}
		d, _ := p.keepers["b"].Begin(e, false)
		asserter.Equal(t, "verdict", d.Verdict, Wait)
		expired := p.keepers["b"].Tick(p.now.Add(claimWait))
		asserter.Equal(t, "expired", len(expired), 1)
		p.want(expired[0].Decision, Reject, descriptor.KeyUnsettled, descriptor.MayHaveRun)
	})
	t.Run("a grant of another key is returned to the issuer", func(t *testing.T) {
		p := newCluster(t)
		e := descriptor.Arrived{At: p.now, Request: 5, Service: "billing", Key: p.key("a", "mine")}
		_, _ = p.keepers["b"].Begin(e, false)
		verdict := descriptor.Verdict{Request: 5, Key: "billing/" + p.key("a", "other"), Granted: true}
		_, ok, actions := p.keepers["b"].HandleVerdict(p.members["a"], verdict)
		asserter.Equal(t, "request resolved", ok, false)
		asserter.Equal(t, "actions", len(actions), 1)
	})
	t.Run("a grant that arrives after the wait is returned to the issuer", func(t *testing.T) {
		p := newCluster(t)
		verdict := descriptor.Verdict{Request: 77, Key: "billing/k", Granted: true}
		_, ok, actions := p.keepers["b"].HandleVerdict(p.members["a"], verdict)
		asserter.Equal(t, "request resolved", ok, false)
		asserter.Equal(t, "actions", actions, []descriptor.Action{descriptor.Send{
			To: p.members["a"], Message: descriptor.KeySettlement{Key: "billing/k", Outcome: descriptor.NotRun},
		}})
	})
}

// TestDroppedKeys sends more keys than an issuer holds. A request with a dropped key
// must be refused with an uncertain outcome, since the issuer can no longer know whether
// its work ran.
func TestDroppedKeys(t *testing.T) {
	p := newCluster(t)
	first := p.key("a", "first")
	id, _ := p.send("a", first)
	p.end("a", id, descriptor.Ran)
	p.now = p.now.Add(2 * epochTime)
	for i := range 2*generationKeys + 1 {
		p.now = p.now.Add(time.Millisecond)
		id, d := p.send("a", p.key("a", fmt.Sprint(i)))
		if d.Verdict == Proceed {
			p.end("a", id, descriptor.Ran)
		}
	}
	asserter.AtMost(t, "keys held", p.keepers["a"].keys.Len(), 2*generationKeys)
	asserter.Equal(t, "keys dropped", p.keepers["a"].Dump().Dropped, uint64(generationKeys))
	_, d := p.send("a", first)
	p.want(d, Reject, descriptor.KeyUnsettled, descriptor.MayHaveRun)
}

// TestKeyHandover guards against work that runs again at the successor of an instance
// that shut down, also when a message of the handover is lost.
func TestKeyHandover(t *testing.T) {
	t.Run("refuses work that ran and grants work that did not", func(t *testing.T) {
		p := newCluster(t)
		key, fresh := p.key("a", "1"), p.key("a", "2")
		id, _ := p.send("b", key)
		p.end("b", id, descriptor.Ran)
		p.handOver("a", "c", -1)
		for _, at := range []string{"b", "c"} {
			_, d := p.send(at, key)
			p.want(d, Reject, descriptor.KeyUsed, descriptor.Ran)
		}
		_, d := p.send("b", fresh)
		p.want(d, Proceed, 0, 0)
	})
	t.Run("an issuer grants nothing after the handover", func(t *testing.T) {
		p := newCluster(t)
		key := p.key("a", "1")
		p.handOver("a", "c", -1)
		_, d := p.send("a", key)
		asserter.True(t, "not granted", d.Verdict != Proceed)
	})
	t.Run("a lost handover message leaves all keys uncertain", func(t *testing.T) {
		p := newCluster(t)
		p.run("a", maxHandoverKeys+1)
		key := p.key("a", "fresh")
		p.handOver("a", "c", 0)
		_, d := p.send("c", key)
		p.want(d, Reject, descriptor.KeyUnsettled, descriptor.MayHaveRun)
	})
}

// handOver hands over the keys of an instance that shuts down to another, without the
// message with index lose, and makes that one its successor.
func (p *cluster) handOver(from, to string, lose int) {
	for i, a := range p.keepers[from].HandOver(p.members[to]) {
		if i != lose {
			p.keepers[to].HandleKeyHandover(a.(descriptor.Send).Message.(descriptor.KeyHandover))
		}
	}
	p.members[from] = p.members[from].WithState(descriptor.Left, nil).WithSuccessor(to)
}

// run runs the work of n keys with the tickets of an instance at that instance.
func (p *cluster) run(at string, n int) {
	for i := range n {
		id, _ := p.send(at, p.key(at, fmt.Sprint(i)))
		p.end(at, id, descriptor.Ran)
	}
}

// TestLargeKeyHandover guards against work that runs again because the successor dropped its
// key during the handover, which together with its own keys exceeded its memory.
func TestLargeKeyHandover(t *testing.T) {
	const handed, own = 60000, 20000
	p := newCluster(t)
	p.run("a", handed)
	p.run("c", own)
	keys := make([]string, handed)
	for i := range keys {
		keys[i] = p.key("a", fmt.Sprint(i))
	}
	p.handOver("a", "c", -1)
	granted := 0
	for _, key := range keys {
		if _, d := p.send("c", key); d.Verdict == Proceed {
			granted++
		}
	}
	asserter.Equal(t, "keys granted again", granted, 0)
}

// TestReplacedIncarnation has an instance replace the record of an earlier start with a
// larger incarnation, as after a clock that was ahead. The tickets that other instances then
// make have its new incarnation, and work with their keys must run.
func TestReplacedIncarnation(t *testing.T) {
	replaced := func(t *testing.T) *cluster {
		p := newCluster(t)
		m := p.members["a"]
		m.Incarnation = 9
		p.members["a"] = m
		return p
	}
	for _, at := range []string{"a", "b"} {
		t.Run("a key of the new incarnation runs once at "+at, func(t *testing.T) {
			p := replaced(t)
			key := p.key("a", "1")
			id, d := p.send(at, key)
			p.want(d, Proceed, 0, 0)
			p.end(at, id, descriptor.Ran)
			_, d = p.send(at, key)
			p.want(d, Reject, descriptor.KeyUsed, descriptor.Ran)
		})
	}
	t.Run("its keys are handed over", func(t *testing.T) {
		p := replaced(t)
		ran := p.key("a", "0")
		p.run("a", 1)
		p.handOver("a", "c", -1)
		_, d := p.send("b", ran)
		p.want(d, Reject, descriptor.KeyUsed, descriptor.Ran)
		_, d = p.send("b", p.key("a", "unused"))
		p.want(d, Proceed, 0, 0)
	})
}

// TestSecondKeyHandover shuts down an instance and then its successor.
func TestSecondKeyHandover(t *testing.T) {
	t.Run("an unused key of the first is granted at each instance", func(t *testing.T) {
		p := newCluster(t)
		p.add("d")
		p.handOver("a", "b", -1)
		p.handOver("b", "c", -1)
		for _, at := range []string{"c", "d"} {
			_, d := p.send(at, p.key("a", "unused-at-"+at))
			p.want(d, Proceed, 0, 0)
		}
	})
	t.Run("a key of the first whose record was lost stays uncertain", func(t *testing.T) {
		p := newCluster(t)
		ran := p.key("a", "0")
		p.run("a", maxHandoverKeys+1)
		p.handOver("a", "b", -1)
		p.handOver("b", "c", 0)
		_, d := p.send("c", ran)
		p.want(d, Reject, descriptor.KeyUnsettled, descriptor.MayHaveRun)
	})
}

func TestCallerMadeKeys(t *testing.T) {
	begin := func(p *cluster, at string) (descriptor.RequestID, Decision, []descriptor.Action) {
		p.next++
		d, actions := p.keepers[at].Begin(descriptor.Arrived{At: p.now, Request: p.next, Service: "billing", Key: "mine"}, false)
		return p.next, d, actions
	}
	results := []struct {
		name   string
		result descriptor.WriteResult
		want   Decision
	}{
		{"claimed", descriptor.WriteAccepted, Decision{Verdict: Proceed}},
		{"claimed before", descriptor.WriteConflict, reject(descriptor.KeyUnsettled, descriptor.MayHaveRun)},
		{"store unavailable", descriptor.WriteUnavailable, reject(descriptor.ClaimUnavailable, descriptor.NotRun)},
		{"reply lost", descriptor.WriteUnknown, reject(descriptor.ClaimUnavailable, descriptor.NotRun)},
	}
	for _, c := range results {
		t.Run(c.name, func(t *testing.T) {
			p := newCluster(t)
			_, d, actions := begin(p, "a")
			asserter.Equal(t, "verdict", d.Verdict, Wait)
			write := actions[0].(descriptor.WriteClaim)
			resolved, ok := p.keepers["a"].Written(descriptor.Written{At: p.now, Write: write.Write, Result: c.result})
			asserter.True(t, "resolved", ok)
			asserter.Equal(t, "decision", resolved.Decision, c.want)
		})
	}
	t.Run("a store that lost claims", func(t *testing.T) {
		p := newCluster(t)
		claim := func(at string) Decision {
			_, d, actions := begin(p, at)
			if d.Verdict != Wait {
				return d
			}
			resolved, _ := p.keepers[at].Written(descriptor.Written{At: p.now, Write: actions[0].(descriptor.WriteClaim).Write})
			return resolved.Decision
		}
		asserter.Equal(t, "claimed", claim("a").Verdict, Proceed)
		for _, k := range p.keepers {
			k.StoreRestored(p.now)
		}
		unsettled := reject(descriptor.KeyUnsettled, descriptor.MayHaveRun)
		asserter.Equal(t, "at another instance, whose claim is accepted", claim("b"), unsettled)
		asserter.Equal(t, "there again", claim("b"), unsettled)
		asserter.Equal(t, "at the instance that claimed it", claim("a").Verdict, Reject)
		p.now = p.now.Add(claimLife)
		asserter.Equal(t, "after the life of a claim", claim("c").Verdict, Proceed)
	})
	t.Run("the rate of claims is bounded", func(t *testing.T) {
		p := newCluster(t)
		refused := 0
		for i := range 100 {
			e := descriptor.Arrived{At: p.now, Request: descriptor.RequestID(1000 + i), Service: "billing", Key: fmt.Sprint(i)}
			if d, _ := p.keepers["a"].Begin(e, false); d.Verdict == Reject {
				refused++
			}
		}
		asserter.Equal(t, "refused", refused, 100-int(claimBurst))
	})
	t.Run("the claims of a fleet at one moment are bounded", func(t *testing.T) {
		// storeWrites is the number of writes per second that the store of a fleet of
		// this size takes.
		const instances, storeWrites = 48, 400
		p := newCluster(t)
		k := p.keepers["a"]
		k.SetFleetSize(instances)
		admitted := 0
		for i := range 100 {
			e := descriptor.Arrived{At: p.now, Request: descriptor.RequestID(1000 + i), Service: "billing", Key: fmt.Sprint(i)}
			if d, _ := k.Begin(e, false); d.Verdict != Reject {
				admitted++
			}
		}
		asserter.AtLeast(t, "claims of one instance", admitted, 1)
		asserter.AtMost(t, "claims of the fleet", admitted*instances, storeWrites)
	})
	t.Run("a request without a key is admitted only if allowed", func(t *testing.T) {
		p := newCluster(t)
		d, _ := p.keepers["a"].Begin(descriptor.Arrived{At: p.now}, false)
		p.want(d, Reject, descriptor.KeyMissing, descriptor.NotRun)
		d, _ = p.keepers["a"].Begin(descriptor.Arrived{At: p.now}, true)
		p.want(d, Proceed, 0, 0)
	})
}

func FuzzParseKey(f *testing.F) {
	f.Add("m1.entry-1.abc.1.x")
	f.Add("mine")
	f.Add("m1....")
	f.Fuzz(func(t *testing.T, key string) {
		ticket, issued, err := ParseKey(key)
		if err != nil || !issued {
			return
		}
		again, issued, err := ParseKey(ticket.String() + ".x")
		asserter.NoError(t, "parse again", err)
		asserter.True(t, "issued", issued)
		asserter.Equal(t, "ticket", again, ticket)
	})
}
