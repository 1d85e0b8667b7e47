package rationer

import (
	"fmt"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"monsoonswitch/asserter"
	"monsoonswitch/declarer"
	"monsoonswitch/descriptor"
)

// modelCustomers are limits from most of the rule being the rate to most of it being the slack.
var modelCustomers = []declarer.Customer{
	{Name: "large", Rate: 306, Burst: 306},
	{Name: "middle", Rate: 40, Burst: 10},
	{Name: "small", Rate: 2, Burst: 2},
}

const (
	modelNodes = 6
	// modelSteps is the number of steps of a schedule, and modelStepTime the longest time between
	// two of them.
	modelSteps    = 40
	modelStepTime = 4 * time.Second
	// modelLoad is the load as a multiple of each rate. It is so high that the few instances that
	// ask a grantor of an older plan use all that it grants.
	modelLoad = 2.5
)

// quotaModel drives a fleet through a random schedule. Callers send more than every limit.
type quotaModel struct {
	*testFleet
	// cut holds the pairs of instances of which the first one's messages to the second are lost.
	cut map[[2]string]bool
	// slow is the largest delay of a message, and loss the share of lost ones.
	slow time.Duration
	loss float64
	// hot holds the instances that callers use.
	hot []*node
	// times is the load as a multiple of each rate.
	times float64
	// fault is called every 5 ms, unless it is nil.
	fault func(*quotaModel)
}

func newQuotaModel(seed uint64) *quotaModel {
	m := &quotaModel{cut: make(map[[2]string]bool), slow: time.Millisecond, times: modelLoad}
	m.testFleet = newTestFleet(seed, modelNodes, 3, modelCustomers...)
	m.hot = m.nodes
	m.delay = func(t testMessage) (time.Duration, bool) {
		if m.cut[[2]string{t.from, t.to}] || m.random.Float64() < m.loss {
			return 0, false
		}
		return time.Duration(1 + m.random.Int64N(int64(m.slow))), true
	}
	return m
}

// step changes one thing at random.
func (m *quotaModel) step() {
	p := m.nodes[m.random.IntN(len(m.nodes))]
	switch m.random.IntN(13) {
	case 0:
		m.partition()
	case 1:
		m.cut = make(map[[2]string]bool)
	case 2:
		p.frozen = m.now + time.Duration(m.random.Int64N(int64(6*time.Second)))
	case 3:
		m.start(p)
	case 4:
		m.setView(p, m.randomView())
	case 5, 6:
		v, share := m.randomView(), []float64{0.7, 0.7, 1}[m.random.IntN(3)]
		for _, q := range m.nodes {
			if m.random.Float64() < share {
				m.setView(q, v)
			}
		}
	case 7:
		m.slow = []time.Duration{time.Millisecond, 30 * time.Millisecond, time.Second, 5 * time.Second}[m.random.IntN(4)]
	case 8:
		m.loss = []float64{0, 0, 0.1, 0.5}[m.random.IntN(4)]
	case 9:
		m.hot = m.nodes
		if n := m.random.IntN(4); n > 0 {
			m.hot = nil
			for range n {
				m.hot = append(m.hot, m.nodes[m.random.IntN(len(m.nodes))])
			}
		}
	case 10:
		m.notRun = []float64{0, 0, 0.5}[m.random.IntN(3)]
	case 11:
		m.changeLimits()
	default:
		// A quiet time fills the buckets.
		m.advance(m.now + time.Duration(m.random.Int64N(int64(8*time.Second))))
	}
}

// changeLimits has some instances use lower limits than the others, or all use the highest.
func (m *quotaModel) changeLimits() {
	lower := slices.Clone(modelCustomers)
	for i := range lower {
		lower[i].Rate /= 2
		lower[i].Burst /= 4
	}
	back := m.random.IntN(2) == 0
	for _, p := range m.nodes {
		switch {
		case back:
			p.SetLimits(modelCustomers)
		case m.random.IntN(2) == 0:
			p.SetLimits(lower)
		}
	}
}

func (m *quotaModel) partition() {
	m.cut = make(map[[2]string]bool)
	side := make(map[string]bool)
	for _, p := range m.nodes {
		side[p.id] = m.random.IntN(2) == 0
	}
	oneWay := m.random.IntN(3) == 0
	for _, p := range m.nodes {
		for _, q := range m.nodes {
			if side[p.id] != side[q.id] && (!oneWay || side[p.id]) {
				m.cut[[2]string{p.id, q.id}] = true
			}
		}
	}
}

// randomView returns a view with a random part of the members in a random order.
func (m *quotaModel) randomView() View {
	ids := m.ids()
	m.random.Shuffle(len(ids), func(i, k int) { ids[i], ids[k] = ids[k], ids[i] })
	if m.random.IntN(3) > 0 {
		ids = m.ids()
	}
	return m.viewOf(ids[m.random.IntN(len(ids)-1):])
}

// load sends requests above all limits for a time.
func (m *quotaModel) load(span time.Duration) {
	const step = 5 * time.Millisecond
	for end := m.now + span; m.now < end; {
		m.advance(m.now + step)
		if m.fault != nil {
			m.fault(m)
		}
		for _, c := range m.customers {
			for count := m.times * c.Rate * step.Seconds(); m.random.Float64() < count; count-- {
				m.request(m.hot[m.random.IntN(len(m.hot))], c.Name)
			}
		}
	}
}

// modelSeeds returns the number of schedules.
func modelSeeds(t *testing.T) int {
	n, err := strconv.Atoi(os.Getenv("QUOTA_SEEDS"))
	if err != nil {
		n = 12
	}
	t.Logf("%d seeds of %d steps", n, modelSteps)
	return n
}

// TestQuotaModel guards against more requests of a customer in a window than the rule allows, in
// random schedules of lost, late and reordered messages, partitions, frozen and restarted
// instances, different views of the fleet, and changes of limits to at most those that are checked.
func TestQuotaModel(t *testing.T) {
	worst := make(map[string]float64)
	ran, span := make(map[string]int), time.Duration(0)
	for seed := range modelSeeds(t) {
		m := newQuotaModel(uint64(seed))
		for range modelSteps {
			m.step()
			m.load(time.Duration(m.random.Int64N(int64(modelStepTime))))
		}
		span += m.now
		for _, c := range modelCustomers {
			ran[c.Name] += len(m.ran[c.Name])
			bound := standardRule.Bound(Limit{Rate: c.Rate, Burst: c.Burst})
			got := float64(m.worst(c.Name))
			worst[c.Name] = max(worst[c.Name], got/bound)
			asserter.AtMost(t, fmt.Sprintf("seed %d: requests of %s in a window", seed, c.Name), got, bound)
			asserter.AtMost(t, fmt.Sprintf("seed %d: requests of %s beside the reserve", seed, c.Name), got, unreserved(c))
		}
	}
	for _, c := range modelCustomers {
		t.Logf("%s: at most %.3f of the bound; %.2f of the rate served in %v", c.Name, worst[c.Name], float64(ran[c.Name])/c.Rate/span.Seconds(), span)
	}
}

// unreserved returns how many requests may run in a window if none of the reserve is used. Fractions of
// a permit may be used where shares come together, and lower limits have slightly longer lives.
func unreserved(c declarer.Customer) float64 {
	terms := TermsFor(standardRule, Limit{Rate: c.Rate, Burst: c.Burst})
	lower := TermsFor(standardRule, Limit{Rate: c.Rate / 2, Burst: c.Burst / 4})
	return terms.Size + terms.Rate*(standardRule.Window+max(terms.Life, lower.Life)).Seconds() + 1
}

// TestQuotaModelFindsFaults guards against a model that no fault can break.
func TestQuotaModelFindsFaults(t *testing.T) {
	for name, fault := range map[string]func(*quotaModel){
		"limits divided among too few": func(m *quotaModel) {
			for _, p := range m.nodes {
				p.fleet = modelNodes / 2
			}
		},
	} {
		t.Run(name, func(t *testing.T) { asserter.True(t, "found", modelBreaks(40, fault)) })
	}
}

// TestTwoGrantors guards against shares that are in use at two grantors of a customer, where the
// former one, which has callers, has not heard of a change that all others have.
func TestTwoGrantors(t *testing.T) {
	play := func(fault func(*quotaModel)) float64 {
		m := newQuotaModel(1)
		m.fault, m.times = fault, 6
		m.advance(startWait)
		grantor, _ := m.nodes[0].grantorOf(descriptor.MarkOf("large"))
		m.hot = []*node{m.byID[grantor.ID], m.nodes[modelNodes-1]}
		// The buckets are full then.
		m.advance(m.now + 3*time.Second)
		ids := m.ids()
		next := m.viewOf(append(ids[3:], ids[:3]...))
		for _, p := range m.nodes {
			if p.id != grantor.ID {
				m.setView(p, next)
			}
		}
		m.load(8 * time.Second)
		return float64(m.worst("large"))
	}
	bound := standardRule.Bound(Limit{Rate: 306, Burst: 306})
	t.Run("shares are given once", func(t *testing.T) {
		asserter.AtMost(t, "requests in a window", play(nil), bound)
	})
	for name, fault := range map[string]func(*node){
		"broken: shares are given twice": func(p *node) { *p.given = given{} },
		"broken: a grantor keeps shares": func(p *node) {
			for i := range p.held.byMember.Len() {
				_, share := p.held.byMember.At(i)
				share.until = p.now + pledgeLife
				p.held.byMember.SetAt(i, share)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			asserter.AtLeast(t, "requests in a window", play(func(m *quotaModel) {
				for _, p := range m.nodes {
					fault(p)
				}
			}), bound+1)
		})
	}
}

// modelBreaks reports whether the rule is broken in a schedule with a fault.
func modelBreaks(seeds int, fault func(*quotaModel)) bool {
	for seed := range seeds {
		m := newQuotaModel(uint64(seed))
		m.fault = fault
		for range modelSteps {
			m.step()
			m.load(time.Duration(m.random.Int64N(int64(modelStepTime))))
			for _, c := range modelCustomers {
				if float64(m.worst(c.Name)) > standardRule.Bound(Limit{Rate: c.Rate, Burst: c.Burst}) {
					return true
				}
			}
		}
	}
	return false
}
