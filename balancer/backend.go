package balancer

import (
	"time"

	"monsoonswitch/descriptor"
	"monsoonswitch/detector"
)

// mode tells which work a backend server may get.
type mode int

const (
	// modeReady allows all work.
	modeReady mode = iota
	// modeTrial allows single replayable requests after an ejection.
	modeTrial
	// modeEjected allows no new work until the hold-off ends.
	modeEjected
	// modeDown allows no new work until a connection is accepted again.
	modeDown
	// modeLeaving allows no new work.
	modeLeaving
)

// String returns the name used in dumps.
func (m mode) String() string {
	names := [...]string{"ready", "trial", "ejected", "down", "leaving"}
	return names[m]
}

// Times of the life of a backend server.
const (
	// rampTime is how long a backend server takes to its full share after a
	// start, a breakdown or an ejection.
	rampTime = 5 * time.Second
	// coldTime is how long the service times of a started backend server are
	// no evidence.
	coldTime = 10 * time.Second
	// drainTime is how long one announced drain holds.
	drainTime = 30 * time.Second
	// probeFirst and probeLast bound the waits between probes of a backend
	// server that is down.
	probeFirst = 100 * time.Millisecond
	probeLast  = 5 * time.Second
	// trialGoal is the number of good answers that end a trial.
	trialGoal = 5
)

// backend is the record of one backend server at this instance.
type backend[E any] struct {
	listed descriptor.Backend
	mode   mode
	// share is this instance's part of the slots.
	share int
	// borrowed slots may be used until borrowedUntil.
	borrowed      int
	borrowedUntil time.Time
	// lent slots may not be used until lentUntil.
	lent      int
	lentUntil time.Time
	// inFlight counts attempts that hold a slot; long is those of long work.
	inFlight int
	long     int
	// others is the work of other instances there by its last report, at othersAt.
	others   int
	othersAt time.Time
	// reportedAt is when it last reported its load to this instance.
	reportedAt time.Time
	// usual is the usual work of other instances at backend servers in use.
	usual float64
	// cap limits inFlight after a shed; it grows with answers and is at least 1.
	cap float64
	// evidence is what this instance observed; open is the weight of its
	// overdue requests at the last tick.
	evidence E
	open     float64
	// belief is what the pooled outcomes of work say of failures.
	belief detector.Belief
	// failedAt is when an instance last heard that work failed there.
	failedAt time.Time
	// usedAt is when an instance last sent work there, as far as it is known.
	usedAt time.Time
	// startedAt is when this instance last sent work there.
	startedAt time.Time
	// fleet is the score over all serving instances at the last tick.
	fleet float64
	// recent counts the observations of the present window, and before those
	// of the window before it.
	recent, before int
	// avoided tells that other backend servers are preferred until avoidUntil.
	avoided    bool
	avoidUntil time.Time
	avoidance  int
	// rampFrom is when the share began to grow; zero means it is in full.
	rampFrom time.Time
	// coldUntil is until when service times are no evidence.
	coldUntil time.Time
	// lostUntil is until when a backend server that is not listed may come back,
	// after an outage of the store; zero while it is listed.
	lostUntil time.Time
	// drainUntil is until when an announced drain holds.
	drainUntil time.Time
	// probeAt is when a backend server that is down is probed next.
	probeAt   time.Time
	probeWait time.Duration
	// brokenAt is when the last breakdown began that counted, and soundUntil
	// until when broken connections are known to be no breakdown.
	brokenAt   time.Time
	soundUntil time.Time
	// good counts the answers of the present trial, which began at trialFrom.
	good      int
	trialFrom time.Time
}

// unlimited is the cap of a backend server that did not shed.
const unlimited = 1 << 20

func newBackend[E any](listed descriptor.Backend, now time.Time, started bool) backend[E] {
	return backend[E]{listed: listed, cap: unlimited, belief: detector.NewBelief(now, started)}
}

// WithOutcome returns b after a request that ended there; base is the share of
// requests that fail at sound backend servers.
func (b backend[E]) WithOutcome(now time.Time, failed bool, base float64) backend[E] {
	b.belief = b.belief.WithOutcome(now, failed, base)
	if failed {
		b.failedAt = now
	}
	return b
}

// WithUse returns b after work was sent there at a time.
func (b backend[E]) WithUse(at time.Time) backend[E] {
	if at.After(b.usedAt) {
		b.usedAt = at
	}
	return b
}

// WithListed returns b as the platform lists it now.
func (b backend[E]) WithListed(listed descriptor.Backend) backend[E] {
	b.listed = listed
	return b
}

// WithMode returns b in mode m.
func (b backend[E]) WithMode(m mode) backend[E] {
	b.mode = m
	return b
}

// WithShare returns b with n slots of this instance.
func (b backend[E]) WithShare(n int) backend[E] {
	b.share = n
	return b
}

// WithStart returns b with one attempt more in flight.
func (b backend[E]) WithStart(long bool) backend[E] {
	b.inFlight++
	if long {
		b.long++
	}
	return b
}

// WithEnd returns b with one attempt less in flight.
func (b backend[E]) WithEnd(long bool) backend[E] {
	b.inFlight--
	if long {
		b.long--
	}
	return b
}

// WithEvidence returns b with evidence e after one more observation.
func (b backend[E]) WithEvidence(e E) backend[E] {
	b.evidence = e
	b.recent++
	return b
}

// WithWindow returns b with a new window of recent observations.
func (b backend[E]) WithWindow() backend[E] {
	b.before = b.recent
	b.recent = 0
	return b
}

// seen counts the recent observations.
func (b backend[E]) seen() int { return b.recent + b.before }

// WithAnswer returns b after an answer: the cap grows and a trial advances.
func (b backend[E]) WithAnswer() backend[E] {
	if b.cap < unlimited {
		b.cap += 1 / b.cap
	}
	if b.cap > float64(b.listed.Slots) {
		b.cap = unlimited
	}
	if b.mode == modeTrial {
		b.good++
	}
	return b
}

// WithLoad returns b after it reported its load, the reported attempt included.
func (b backend[E]) WithLoad(l descriptor.Load, at time.Time) backend[E] {
	if l.Known {
		b.reportedAt = at
		b = b.WithWork(l.Running+l.Waiting, at)
	}
	return b
}

// WithWork returns b after it was said how much work of all instances it had at a
// time.
func (b backend[E]) WithWork(work int, at time.Time) backend[E] {
	if at.After(b.othersAt) {
		b.others = max(0, work-b.inFlight)
		b.othersAt = at
	}
	return b
}

// WithUsual returns b if the others have so much work at a backend server in use.
func (b backend[E]) WithUsual(others float64) backend[E] {
	b.usual = others
	return b
}

const (
	// othersTime is how long a report of the work of other instances counts, less
	// and less: about as long as such work takes. Then the usual work counts that
	// others have at a backend server.
	othersTime = 600 * time.Millisecond
	// idleTime is the time without work after which nobody has any there.
	idleTime = 2 * time.Second
)

// load estimates how many requests b has per slot at now.
func (b backend[E]) load(now time.Time) float64 {
	others := 0.0
	if now.Sub(b.usedAt) < idleTime {
		others = b.usual
	}
	if age := now.Sub(b.othersAt); age < othersTime {
		fresh := 1 - float64(age)/float64(othersTime)
		others = fresh*float64(b.others) + (1-fresh)*others
	}
	return (float64(b.inFlight) + others) / float64(b.listed.Slots)
}

// WithShed returns b after it refused work at the present load.
func (b backend[E]) WithShed() backend[E] {
	b.cap = max(1, float64(b.inFlight-1))
	return b
}

// WithDown returns b after it refused a connection.
func (b backend[E]) WithDown(now time.Time) backend[E] {
	if b.mode == modeReady || b.mode == modeTrial {
		b.mode = modeDown
	}
	b.probeWait = min(probeLast, max(probeFirst, 2*b.probeWait))
	b.probeAt = now.Add(b.probeWait)
	return b
}

// WithUp returns b after it accepted a connection again.
func (b backend[E]) WithUp(now time.Time) backend[E] {
	b.mode = modeReady
	b.probeWait = 0
	b.rampFrom = now
	b.coldUntil = now.Add(coldTime)
	return b
}

// WithDrain returns b after it announced that it leaves.
func (b backend[E]) WithDrain(now time.Time) backend[E] {
	b.mode = modeLeaving
	b.drainUntil = now.Add(drainTime)
	return b
}

// WithEjection returns b without work, suspicion or evidence.
func (b backend[E]) WithEjection() backend[E] {
	var fresh E
	b.mode = modeEjected
	b.evidence = fresh
	b.avoided = false
	return b
}

// WithTrial returns b at the end of a hold-off.
func (b backend[E]) WithTrial(now time.Time) backend[E] {
	b.mode = modeTrial
	b.trialFrom = now
	b.good = 0
	return b
}

// WithReturn returns b after a trial that went well.
func (b backend[E]) WithReturn(now time.Time, e E) backend[E] {
	b.mode = modeReady
	b.evidence = e
	b.rampFrom = now
	b.avoided = false
	return b
}

// limit returns how many attempts may be in flight at now.
func (b backend[E]) limit(now time.Time) int {
	switch b.mode {
	case modeEjected, modeDown, modeLeaving:
		return 0
	case modeTrial:
		return min(1, b.share)
	}
	n := b.share
	if b.borrowed > 0 && now.Before(b.borrowedUntil) {
		n += b.borrowed
	}
	if b.lent > 0 && now.Before(b.lentUntil) {
		n -= b.lent
	}
	if !b.rampFrom.IsZero() {
		n = ramped(n, now.Sub(b.rampFrom))
	}
	return max(0, min(n, int(b.cap)))
}

// overCommit is the part of its slots for which more requests may wait at a backend
// server, so that no slot is idle until the instances know that it is free.
const overCommit = 0.67

// openLimit returns how many attempts may be in flight at now where the slots are
// not divided among instances.
func (b backend[E]) openLimit(now time.Time) int {
	switch b.mode {
	case modeEjected, modeDown, modeLeaving:
		return 0
	}
	// What is over the slots waits here, where its order and place can change.
	if b.load(now) >= 1+overCommit {
		return 0
	}
	return min(b.listed.Slots, int(b.cap))
}

// ramped returns the part of n slots that may be used some time after a start.
func ramped(n int, grown time.Duration) int {
	if grown >= rampTime || n <= 0 {
		return n
	}
	return max(1, int(float64(n)*float64(grown)/float64(rampTime)))
}

// healthy tells whether b counts as capacity that may take work.
func (b backend[E]) healthy() bool { return b.mode == modeReady || b.mode == modeTrial }
