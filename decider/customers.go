package decider

import (
	"slices"
	"time"

	"monsoonswitch/declarer"
	"monsoonswitch/descriptor"
)

const (
	// askInterval is the time between requests for a proof while there is no recent one, and
	// askCount the number of instances that are asked at the same time.
	askInterval = 500 * time.Millisecond
	askCount    = 2
	// askShare and queryShare are the shares of the longest permitted age of a proof from which on
	// this instance asks other instances for one, and queries the store itself. A proof that comes
	// from announcements is at most 1.6 s old with the intervals of the platform's template.
	askShare   = 0.4
	queryShare = 0.5
	// startTime is the time that a starting instance has to hear of a proof before it queries the
	// store for one.
	startTime = 1200 * time.Millisecond
	// continueTime is the age of the last read of the store up to which it counts as serving this
	// instance.
	continueTime = 1500 * time.Millisecond
	// pruneInterval is the time between removals of old stamps.
	pruneInterval = time.Second
)

// customers is the state of an instance for work with API keys.
type customers struct {
	askedAt, prunedAt time.Time
	// asked counts the instances that were asked for a proof, to choose others each time.
	asked int
	// stale is set while work with an API key is refused for lack of a recent proof.
	stale bool
}

// identifiedBefore reports whether the customer of a request was looked up in another version of
// the routing than the one in force, and may differ in that one.
func (d *Decider[E, D, P, L]) identifiedBefore(e descriptor.Arrived) bool {
	return d.keyed() && e.Routing != d.routes.Routing().Version
}

// keyed reports whether requests need an API key.
func (d *Decider[E, D, P, L]) keyed() bool { return d.routes != nil && d.routes.Routing().Keyed }

// strict reports whether work with an API key needs the proof of a recent routing. An instance
// without a routing assumes so, in order to have a proof when it is ready.
func (d *Decider[E, D, P, L]) strict() bool {
	return d.options.Withdraw > 0 && d.options.Routing && (d.routes == nil || d.keyed())
}

// lacksProof reports whether a request needs the proof that its API key was not withdrawn too long
// before the request arrived, and there is none. The caller sent the request before its uptime, so
// that it may run even if it waits for long afterwards.
func (d *Decider[E, D, P, L]) lacksProof(e descriptor.Arrived) bool {
	return d.keyed() && d.strict() && !e.Public && !d.prover.Recent(e.Uptime, d.options.Withdraw)
}

// holdRouting puts a routing in force for the look-up of routes and customers.
func (d *Decider[E, D, P, L]) holdRouting(r declarer.Routing) {
	d.routes = declarer.NewRouteIndex(r)
	d.prover.Hold(r.Version)
	d.publishNow()
}

// proveRead records what a read of the store proves about the routing.
func (d *Decider[E, D, P, L]) proveRead(e descriptor.DocumentsRead) {
	if e.Kind != descriptor.KindRouting {
		return
	}
	if e.Complete || e.Unreadable {
		d.prover.Lost()
	}
	for _, document := range e.Documents {
		if document.Routing != nil && !e.Unreadable {
			d.prover.Found(document.Routing.Version)
		}
	}
	d.prover.Read(e.Uptime, e.Seen)
}

// handleProof applies the proof of an announcement and sends a stamp to the instance that it came
// from, so that the next one has a proof.
func (d *Decider[E, D, P, L]) handleProof(from descriptor.Member, m descriptor.Freshness, uptime time.Duration) {
	returned := d.prover.HandleProof(m, uptime)
	if returned {
		d.timeDirty = true
	}
	if !d.strict() {
		return
	}
	if s, ok := d.prover.NextStamp(from.ID, returned); ok {
		d.send(from, s)
	}
}

// handleStamp keeps the stamp of another instance, and answers with a proof if it asks for one.
func (d *Decider[E, D, P, L]) handleStamp(from descriptor.Member, m descriptor.ClockStamp, uptime time.Duration) {
	d.prover.HandleStamp(from.ID, m, uptime)
	if !m.Asks {
		return
	}
	if answer := d.prover.WithProof(from.ID, descriptor.Freshness{}); answer.Stamp != 0 {
		d.send(from, answer)
	}
}

// updateProof asks for a proof if there is no recent one, and notes when work with an API key is
// refused for lack of one.
func (d *Decider[E, D, P, L]) updateProof() {
	if d.now.Sub(d.customers.prunedAt) >= pruneInterval {
		d.customers.prunedAt = d.now
		d.prover.Prune()
	}
	d.noteStale(d.strict() && d.synced && d.keyed() && !d.prover.Fresh(d.options.Withdraw))
	if !d.strict() || d.prover.Fresh(share(askShare, d.options.Withdraw)) || d.now.Sub(d.customers.askedAt) < askInterval {
		return
	}
	d.customers.askedAt = d.now
	links := d.gossiper.Links()
	for range min(askCount, len(links)) {
		d.customers.asked++
		to, ok := d.gossiper.Member(links[d.customers.asked%len(links)])
		if !ok {
			continue
		}
		if s := d.prover.Stamp(to.ID); s.Stamp != 0 {
			s.Asks = true
			d.send(to, s)
		}
	}
}

// noteStale notes the begin and the end of the time in which work with an API key is refused.
func (d *Decider[E, D, P, L]) noteStale(stale bool) {
	if stale == d.customers.stale {
		return
	}
	d.customers.stale = stale
	if stale {
		d.note(descriptor.NoteProofLost, d.options.Self.ID, "work with API keys is refused")
		return
	}
	d.note(descriptor.NoteProofFound, d.options.Self.ID, "work with API keys is served")
}

// mustProve reports whether this instance must query the store because other instances give it no
// recent proof.
func (d *Decider[E, D, P, L]) mustProve() bool {
	return d.strict() && d.now.Sub(d.syncedAt) >= startTime && !d.prover.Heard(share(queryShare, d.options.Withdraw))
}

// mustContinue reports whether this instance continues to query the store, which serves it. Of
// several such instances only the first in the order of watchers and then of the names continues:
// if all stopped because they hear of each other, none would announce what the store holds.
func (d *Decider[E, D, P, L]) mustContinue(watchers []descriptor.Member) bool {
	if !d.watch.Active || d.now.Sub(d.relayer.Read(d.options.kinds())) >= continueTime {
		return false
	}
	rank := func(id string) int {
		if i := slices.IndexFunc(watchers, func(m descriptor.Member) bool { return m.ID == id }); i >= 0 {
			return i
		}
		return len(watchers)
	}
	self := d.options.Self.ID
	return !d.relayer.Announced(d.now, func(origin string) bool {
		return rank(origin) < rank(self) || rank(origin) == rank(self) && origin < self
	})
}

func share(part float64, of time.Duration) time.Duration { return time.Duration(part * float64(of)) }
