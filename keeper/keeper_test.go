package keeper

import (
	"fmt"
	"testing"
	"time"

	"monsoonswitch/asserter"
	"monsoonswitch/descriptor"
)

// roster finds instances in tests.
type roster map[string]descriptor.Member

// Member implements Members.
func (r roster) Member(id string) (descriptor.Member, bool) {
	m, ok := r[id]
	return m, ok
}

// pair is two keepers that can exchange messages.
type pair struct {
	t       *testing.T
	now     time.Time
	roster  roster
	keepers map[string]*Keeper
	next    descriptor.RequestID
}

func newPair(t *testing.T) *pair {
	p := &pair{t: t, now: time.Unix(6000, 0), roster: roster{}, keepers: make(map[string]*Keeper)}
	for _, id := range []string{"a", "b", "c"} {
		p.add(id)
	}
	return p
}

func (p *pair) add(id string) {
	m := descriptor.Member{ID: id, Incarnation: 1}
	p.roster[id] = m
	var writes descriptor.WriteID
	p.keepers[id] = New(m, p.roster, func() descriptor.WriteID {
		writes++
		return writes
	}, p.now)
}

// key returns a key with the ticket of an instance.
func (p *pair) key(issuer, unique string) string {
	return TicketOf(p.roster[issuer], p.now).String() + "." + unique
}

// send gives a request with a key to an instance and carries its messages.
func (p *pair) send(to, key string) (descriptor.RequestID, Decision) {
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
		answers := p.keepers[s.To.ID].HearClaim(p.now, p.roster[to], s.Message.(descriptor.Claim))
		verdict := answers[0].(descriptor.Send).Message.(descriptor.Verdict)
		settled, ok, _ := p.keepers[to].HearVerdict(p.roster[s.To.ID], verdict)
		if ok {
			return p.next, settled.Decision
		}
	}
	return p.next, d
}

// end ends a request at an instance and carries what it says.
func (p *pair) end(at string, id descriptor.RequestID, outcome descriptor.Outcome) {
	for _, a := range p.keepers[at].End(id, outcome) {
		s := a.(descriptor.Send)
		p.keepers[s.To.ID].HearSettle(at, s.Message.(descriptor.Settle))
	}
}

func (p *pair) want(got Decision, verdict Verdict, reason descriptor.Reason, outcome descriptor.Outcome) {
	p.t.Helper()
	asserter.Equal(p.t, "decision", got, Decision{Verdict: verdict, Reason: reason, Outcome: outcome})
}

func TestTicketKeys(t *testing.T) {
	t.Run("runs once at its issuer", func(t *testing.T) {
		p := newPair(t)
		id, d := p.send("a", p.key("a", "1"))
		p.want(d, Proceed, 0, 0)
		_, d = p.send("a", p.key("a", "1"))
		p.want(d, Reject, descriptor.KeyBusy, descriptor.MayHaveRun)
		p.end("a", id, descriptor.Ran)
		_, d = p.send("a", p.key("a", "1"))
		p.want(d, Reject, descriptor.KeyUsed, descriptor.Ran)
	})
	t.Run("runs once wherever it is sent again", func(t *testing.T) {
		p := newPair(t)
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
		p := newPair(t)
		id, _ := p.send("b", p.key("a", "1"))
		p.end("b", id, descriptor.NotRun)
		_, d := p.send("c", p.key("a", "1"))
		p.want(d, Proceed, 0, 0)
	})
	t.Run("another instance can't settle a key", func(t *testing.T) {
		p := newPair(t)
		p.send("b", p.key("a", "1"))
		p.keepers["a"].HearSettle("c", descriptor.Settle{Key: scoped("billing", p.key("a", "1")), Outcome: descriptor.NotRun})
		_, d := p.send("c", p.key("a", "1"))
		p.want(d, Reject, descriptor.KeyBusy, descriptor.MayHaveRun)
	})
	t.Run("an issuer that is gone leaves it uncertain", func(t *testing.T) {
		p := newPair(t)
		key := p.key("a", "1")
		p.roster["a"] = p.roster["a"].WithState(descriptor.Dead, nil)
		_, d := p.send("b", key)
		p.want(d, Reject, descriptor.KeyUnsettled, descriptor.MayHaveRun)
	})
	t.Run("a later incarnation of the issuer knows nothing", func(t *testing.T) {
		p := newPair(t)
		key := p.key("a", "1")
		m := p.roster["a"]
		m.Incarnation = 2
		p.roster["a"] = m
		p.keepers["a"] = New(m, p.roster, nil, p.now)
		for _, at := range []string{"a", "b"} {
			_, d := p.send(at, key)
			p.want(d, Reject, descriptor.KeyUnsettled, descriptor.MayHaveRun)
		}
	})
	t.Run("an issuer that can't be reached leaves it uncertain", func(t *testing.T) {
		p := newPair(t)
		e := descriptor.Arrived{At: p.now, Request: 9, Service: "billing", Key: p.key("a", "1")}
		d, _ := p.keepers["b"].Begin(e, false)
		asserter.Equal(t, "verdict", d.Verdict, Wait)
		late := p.keepers["b"].Tick(p.now.Add(claimWait))
		asserter.Equal(t, "late", len(late), 1)
		p.want(late[0].Decision, Reject, descriptor.KeyUnsettled, descriptor.MayHaveRun)
	})
	t.Run("a grant of another key is given back", func(t *testing.T) {
		p := newPair(t)
		e := descriptor.Arrived{At: p.now, Request: 5, Service: "billing", Key: p.key("a", "mine")}
		_, _ = p.keepers["b"].Begin(e, false)
		verdict := descriptor.Verdict{Request: 5, Key: "billing/" + p.key("a", "other"), Granted: true}
		_, ok, actions := p.keepers["b"].HearVerdict(p.roster["a"], verdict)
		asserter.Equal(t, "went on", ok, false)
		asserter.Equal(t, "actions", len(actions), 1)
	})
	t.Run("a grant that comes too late is given back", func(t *testing.T) {
		p := newPair(t)
		verdict := descriptor.Verdict{Request: 77, Key: "billing/k", Granted: true}
		_, ok, actions := p.keepers["b"].HearVerdict(p.roster["a"], verdict)
		asserter.Equal(t, "went on", ok, false)
		asserter.Equal(t, "actions", actions, []descriptor.Action{descriptor.Send{
			To: p.roster["a"], Message: descriptor.Settle{Key: "billing/k", Outcome: descriptor.NotRun},
		}})
	})
}

func TestMemoryBound(t *testing.T) {
	p := newPair(t)
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
	_, d := p.send("a", first)
	p.want(d, Reject, descriptor.KeyUnsettled, descriptor.MayHaveRun)
}

func TestHeir(t *testing.T) {
	bequeath := func(p *pair, lose int) {
		for i, a := range p.keepers["a"].Bequeath(p.roster["c"]) {
			if i != lose {
				p.keepers["c"].HearInherit(a.(descriptor.Send).Message.(descriptor.Inherit))
			}
		}
		p.roster["a"] = p.roster["a"].WithState(descriptor.Left, nil).WithHeir("c")
	}
	t.Run("knows what ran and grants what did not", func(t *testing.T) {
		p := newPair(t)
		key, fresh := p.key("a", "1"), p.key("a", "2")
		id, _ := p.send("b", key)
		p.end("b", id, descriptor.Ran)
		bequeath(p, -1)
		for _, at := range []string{"b", "c"} {
			_, d := p.send(at, key)
			p.want(d, Reject, descriptor.KeyUsed, descriptor.Ran)
		}
		_, d := p.send("b", fresh)
		p.want(d, Proceed, 0, 0)
	})
	t.Run("an issuer that left grants nothing", func(t *testing.T) {
		p := newPair(t)
		key := p.key("a", "1")
		bequeath(p, -1)
		_, d := p.send("a", key)
		asserter.True(t, "not granted", d.Verdict != Proceed)
	})
	t.Run("with a part missing everything is uncertain", func(t *testing.T) {
		p := newPair(t)
		for i := range inheritPart + 1 {
			id, _ := p.send("a", p.key("a", fmt.Sprint(i)))
			p.end("a", id, descriptor.Ran)
		}
		key := p.key("a", "fresh")
		bequeath(p, 0)
		_, d := p.send("c", key)
		p.want(d, Reject, descriptor.KeyUnsettled, descriptor.MayHaveRun)
	})
}

func TestBareKeys(t *testing.T) {
	begin := func(p *pair, at string) (descriptor.RequestID, Decision, []descriptor.Action) {
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
		{"store away", descriptor.WriteUnavailable, reject(descriptor.ClaimUnavailable, descriptor.NotRun)},
		{"reply lost", descriptor.WriteUnknown, reject(descriptor.ClaimUnavailable, descriptor.NotRun)},
	}
	for _, c := range results {
		t.Run(c.name, func(t *testing.T) {
			p := newPair(t)
			_, d, actions := begin(p, "a")
			asserter.Equal(t, "verdict", d.Verdict, Wait)
			write := actions[0].(descriptor.WriteClaim)
			settled, ok := p.keepers["a"].Written(descriptor.Written{At: p.now, Write: write.Write, Result: c.result})
			asserter.True(t, "settled", ok)
			asserter.Equal(t, "decision", settled.Decision, c.want)
		})
	}
	t.Run("claims are bounded", func(t *testing.T) {
		p := newPair(t)
		refused := 0
		for i := range 100 {
			e := descriptor.Arrived{At: p.now, Request: descriptor.RequestID(1000 + i), Service: "billing", Key: fmt.Sprint(i)}
			if d, _ := p.keepers["a"].Begin(e, false); d.Verdict == Reject {
				refused++
			}
		}
		asserter.Equal(t, "refused", refused, 100-int(claimBurst))
	})
	t.Run("no key", func(t *testing.T) {
		p := newPair(t)
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
