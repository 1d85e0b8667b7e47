package rationer

import (
	"slices"
	"time"

	"monsoonswitch/container"
	"monsoonswitch/descriptor"
	"monsoonswitch/limiter"
)

// Arrive decides about a request. left is the time that its caller still waits, or 0 if that is
// not known. If the verdict is Refused, the result includes the time until a request may be
// permitted. If it is Waiting, Flush returns the decision later, or at once.
func (r *Rationer) Arrive(now time.Duration, e descriptor.Arrived, left time.Duration) (Verdict, time.Duration) {
	now = r.setTime(now)
	mark := descriptor.MarkOf(e.Customer)
	c, ok := r.customer(mark)
	if e.Customer == "" || !ok {
		return Permitted, 0
	}
	a, ok := r.accounts.Get(mark)
	if !ok {
		a = newAccount(now)
		r.accounts.Put(mark, a)
	}
	a.arrive(now)
	if len(a.waiting) == 0 {
		if ends, ok := a.take(now); ok {
			r.permit(e.Request, mark, ends)
			if _, due := a.ahead(c.terms); due && now >= a.emptyUntil {
				r.want(mark, a)
			}
			return Permitted, 0
		}
		if now < a.emptyUntil {
			return Refused, r.refuse(now, mark, a)
		}
		if _, ok := r.grantorOf(mark); !ok {
			return r.useStatic(now, e.Request, mark, a)
		}
	}
	wait := maxWait
	if left > 0 {
		wait = min(wait, time.Duration(waitPart*float64(left)))
	}
	a.waiting = append(a.waiting, waiter{e, now + wait})
	r.waiting.Put(e.Request, mark)
	r.counts.Waited++
	r.want(mark, a)
	return Waiting, 0
}

// permit records that a request has taken a permit.
func (r *Rationer) permit(id descriptor.RequestID, mark uint64, ends time.Duration) {
	r.taken.Put(id, permit{mark, ends})
	r.counts.Used++
}

// refuse counts a refusal and returns the time until a request may be permitted.
func (r *Rationer) refuse(now time.Duration, mark uint64, a *account) time.Duration {
	r.counts.Refused++
	if a.notedAt < 0 || now-a.notedAt >= noteInterval {
		a.notedAt = now
		c, _ := r.customer(mark)
		r.note(descriptor.NoteQuotaExceeded, c.name, "requests are refused")
	}
	return max(time.Millisecond, a.retryAt-now)
}

// useStatic decides about a request by the share that this instance may use without a grantor.
func (r *Rationer) useStatic(now time.Duration, id descriptor.RequestID, mark uint64, a *account) (Verdict, time.Duration) {
	free := r.given.freeAt(slotOf(mark))
	a.retryAt = max(a.retryAt, now+unknownWait)
	if !r.view.Ready || !r.view.Owner || now < free {
		return Refused, r.refuse(now, mark, a)
	}
	if start := epoch.Add(free); a.static.At().Before(start) {
		a.static = limiter.NewBucket(start)
	}
	c, _ := r.customer(mark)
	n := float64(r.divisor(now))
	a.static = a.static.WithTime(epoch.Add(now), c.terms.Rate/n, c.terms.Size/n)
	if a.static.Whole() < 1 {
		return Refused, r.refuse(now, mark, a)
	}
	a.static = a.static.WithRequests(1)
	r.permit(id, mark, now)
	r.counts.Static++
	return Permitted, 0
}

// End records that a request ended. If it is known not to have run, its permit is free for another
// request until it ends.
func (r *Rationer) End(now time.Duration, id descriptor.RequestID, outcome descriptor.Outcome) {
	now = r.setTime(now)
	p, ok := r.taken.Get(id)
	if !ok {
		return
	}
	r.taken.Delete(id)
	a, ok := r.accounts.Get(p.mark)
	if outcome != descriptor.NotRun || !ok || p.ends <= now {
		return
	}
	a.add(p.ends, 1)
	r.counts.Returned++
	r.serveWaiting(now, p.mark, a)
}

// Cancel removes a request that waits and returns it, or false if it does not wait.
func (r *Rationer) Cancel(id descriptor.RequestID) (descriptor.Arrived, bool) {
	mark, ok := r.waiting.Get(id)
	if !ok {
		return descriptor.Arrived{}, false
	}
	r.waiting.Delete(id)
	a, _ := r.accounts.Get(mark)
	i := slices.IndexFunc(a.waiting, func(w waiter) bool { return w.arrived.Request == id })
	e := a.waiting[i].arrived
	a.waiting = slices.Delete(a.waiting, i, i+1)
	return e, true
}

// want has the next demand include a customer.
func (r *Rationer) want(mark uint64, a *account) {
	if a.asked {
		return
	}
	a.asked = true
	r.wanted.Put(mark, true)
	if g, ok := r.grantorOf(mark); ok && !r.open.Has(g.ID) {
		r.sendable = true
	}
}

// closeFlight has the next demand to a grantor sent.
func (r *Rationer) closeFlight(to string) {
	r.open.Delete(to)
	r.sendable = true
}

// sendDemands sends the demands of all customers whose grantor has no other one to answer.
func (r *Rationer) sendDemands() {
	for r.sendable && r.wanted.Len() > 0 {
		r.sendable = false
		groups := container.NewTable[string, []uint64]()
		for mark := range r.wanted.All {
			grantor, ok := r.grantorOf(mark)
			if ok && !r.open.Has(grantor.ID) {
				list, _ := groups.Get(grantor.ID)
				groups.Put(grantor.ID, append(list, mark))
			}
		}
		for id, marks := range groups.All {
			r.sendDemand(id, marks)
		}
	}
}

func (r *Rationer) sendDemand(to string, marks []uint64) {
	m := descriptor.QuotaDemand{Stamp: r.nextStamp(r.now)}
	for _, mark := range marks {
		r.wanted.Delete(mark)
		a, ok := r.accounts.Get(mark)
		c, limited := r.customer(mark)
		if !ok || !limited {
			continue
		}
		a.drop(r.now)
		ahead, _ := a.ahead(c.terms)
		m.List = append(m.List, descriptor.CustomerDemand{Mark: mark, Permits: len(a.waiting), Ahead: ahead})
	}
	if len(m.List) == 0 {
		return
	}
	r.flights.Put(m.Stamp, flight{to: to, at: r.now, marks: marks})
	r.open.Put(to, m.Stamp)
	if to == r.self {
		r.HandleGrant(r.now, to, r.grant(r.now, m))
		return
	}
	grantor, _ := r.grantorOf(marks[0])
	r.send(grantor, m)
}

// HandleGrant handles the answer to a demand.
func (r *Rationer) HandleGrant(now time.Duration, from string, m descriptor.QuotaGrant) {
	now = r.setTime(now)
	if m.Slots != 0 {
		r.hearFleet(now, m.Fleet)
		delete(r.fresh, from)
		until := time.Duration(m.Stamp)*time.Microsecond + pledgeLife
		r.held.receive(now, from, pledge{until: until, stamp: m.Stamp, slots: slots(m.Slots), fleet: m.Fleet}, r.lastStamp)
		return
	}
	if m.Fresh {
		r.hearFleet(now, m.Fleet)
		r.fresh[from] = time.Duration(m.Stamp) * time.Microsecond
		return
	}
	f, ok := r.flights.Get(m.Stamp)
	if !ok || f.to != from {
		return
	}
	r.flights.Delete(m.Stamp)
	if stamp, _ := r.open.Get(from); stamp == m.Stamp {
		r.closeFlight(from)
	}
	answered := make(map[uint64]bool, len(m.List))
	for _, g := range m.List {
		answered[g.Mark] = true
		r.apply(now, m.Stamp, g)
	}
	for _, mark := range f.marks {
		if a, ok := r.accounts.Get(mark); ok && !answered[mark] {
			// The next tick asks again: the grantor's view or limits differ.
			a.asked = false
		}
	}
}

// apply adds the granted permits of a customer and decides about its requests.
func (r *Rationer) apply(now time.Duration, stamp int64, g descriptor.CustomerGrant) {
	a, ok := r.accounts.Get(g.Mark)
	if !ok {
		return
	}
	a.asked = false
	a.add(time.Duration(stamp)*time.Microsecond+time.Duration(g.Life)*time.Millisecond, g.Permits)
	if g.Wait > 0 {
		wait := time.Duration(g.Wait) * time.Millisecond
		a.emptyUntil = now + min(maxEmptyTime, max(minEmptyTime, wait))
		a.retryAt = now + wait
	}
	r.serveWaiting(now, g.Mark, a)
	if now < a.emptyUntil {
		for _, w := range a.waiting {
			r.resolve(Resolved{w.arrived, Refused, r.refuse(now, g.Mark, a)})
		}
		a.waiting = nil
	}
	if len(a.waiting) > 0 {
		r.want(g.Mark, a)
	}
}

// serveWaiting gives the permits that are held to the requests that wait.
func (r *Rationer) serveWaiting(now time.Duration, mark uint64, a *account) {
	for len(a.waiting) > 0 {
		ends, ok := a.take(now)
		if !ok {
			return
		}
		e := a.waiting[0].arrived
		a.waiting = a.waiting[1:]
		r.permit(e.Request, mark, ends)
		r.resolve(Resolved{e, Permitted, 0})
	}
}

func (r *Rationer) resolve(s Resolved) {
	r.waiting.Delete(s.Arrived.Request)
	r.resolved = append(r.resolved, s)
}

// expireFlights gives up the demands that were not answered in time. Late answers still count until
// the permits would have ended.
func (r *Rationer) expireFlights(now time.Duration) {
	var lost []int64
	for stamp, f := range r.flights.All {
		if now-f.at < answerTimeout {
			continue
		}
		if open, _ := r.open.Get(f.to); open == stamp {
			r.closeFlight(f.to)
			for _, mark := range f.marks {
				if a, ok := r.accounts.Get(mark); ok {
					a.asked = false
				}
			}
			if now-r.silentAt >= noteInterval {
				r.silentAt = now
				r.note(descriptor.NoteQuotaSilent, f.to, "grantor does not answer")
			}
		}
		if now-f.at >= maxLife {
			lost = append(lost, stamp)
		}
	}
	for _, stamp := range lost {
		r.flights.Delete(stamp)
	}
}

// tickAccounts decides about the requests that have waited long enough, and asks again for the
// others.
func (r *Rationer) tickAccounts(now time.Duration) {
	marks := container.NewTable[uint64, bool]()
	for _, mark := range r.waiting.All {
		marks.Put(mark, true)
	}
	for mark := range marks.All {
		if a, ok := r.accounts.Get(mark); ok {
			r.tickAccount(now, mark, a)
		}
	}
}

func (r *Rationer) tickAccount(now time.Duration, mark uint64, a *account) {
	if _, ok := r.limited[mark]; !ok {
		for _, w := range a.waiting {
			r.resolve(Resolved{w.arrived, Permitted, 0})
		}
		a.waiting = nil
		return
	}
	kept := a.waiting[:0:0]
	for _, w := range a.waiting {
		if now < w.until {
			kept = append(kept, w)
			continue
		}
		verdict, retry := r.useStatic(now, w.arrived.Request, mark, a)
		r.resolve(Resolved{w.arrived, verdict, retry})
	}
	a.waiting = kept
	if len(a.waiting) > 0 {
		r.want(mark, a)
	}
}
