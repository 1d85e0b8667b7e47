package balancer

import (
	"time"

	"monsoonswitch/descriptor"
	"monsoonswitch/detector"
	"monsoonswitch/limiter"
)

// mode is the state of a backend server. It decides which work it may get.
type mode int

const (
	// modeReady allows all work.
	modeReady mode = iota
	// modeTrial allows one attempt of this instance at a time after an ejection, of
	// work that can be retried unless all backend servers are suspected. If outcomes
	// are pooled, all work is allowed, but only while no ready one has a free slot.
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

// Durations and limits in the life of a backend server.
const (
	// rampTime is the time in which the usable share of a backend server grows to its
	// full size after a start, a breakdown, a drain or an ejection.
	rampTime = 5 * time.Second
	// coldTime is the time after a start for which service times are not used as
	// evidence.
	coldTime = 10 * time.Second
	// drainTime is how long a drain stays in effect after its last announcement.
	drainTime = 30 * time.Second
	// minProbeWait and maxProbeWait bound the wait between probes of a backend server
	// that is down.
	minProbeWait = 100 * time.Millisecond
	maxProbeWait = 5 * time.Second
	// trialAnswersNeeded is the number of answers that end a trial.
	trialAnswersNeeded = 5
)

// backend holds what this instance knows of one backend server.
type backend[E any] struct {
	listed descriptor.Backend
	// delisted is set while the platform does not list the backend server and it still
	// has work.
	delisted bool
	// announced is set once the backend server said in an answer that it is leaving.
	announced bool
	mode      mode
	// share is the number of slots assigned to this instance.
	share int
	// leasedIn is the number of slots leased from other instances, usable until
	// leasedInUntil.
	leasedIn      int
	leasedInUntil time.Time
	// leasedOut is the number of slots leased out. This instance may not use them until
	// leasedOutUntil.
	leasedOut      int
	leasedOutUntil time.Time
	// inFlight counts the attempts that hold a slot. longInFlight counts those of
	// long work.
	inFlight     int
	longInFlight int
	// otherWork is the number of requests of other instances there, as last reported
	// at otherWorkAt.
	otherWork   int
	otherWorkAt time.Time
	// reportedAt is when the backend server last reported its load to this instance.
	reportedAt time.Time
	// typicalOtherWork is the mean number of requests that other instances have at a
	// backend server in use.
	typicalOtherWork float64
	// shedLimit bounds inFlight after the backend server shed work. It grows with
	// each answer and is at least 1.
	shedLimit float64
	// evidence holds the observations of this instance. overdueScore is the score
	// added by its overdue open requests at the last tick.
	evidence     E
	overdueScore float64
	// estimate is the probability that the backend server is gray, from the pooled
	// outcomes of work.
	estimate detector.GrayEstimate
	// failedAt is when this instance last learned of work that failed there, at any
	// instance.
	failedAt time.Time
	// usedAt is the last known time at which any instance sent work there.
	usedAt time.Time
	// lastSentAt is when this instance last sent work there.
	lastSentAt time.Time
	// fleetScore is the evidence of all owners together at the last tick.
	fleetScore float64
	// observations is the number of observations in the current window, and
	// previousObservations that in the window before it. A window lasts at least
	// fullEvidenceInterval.
	observations, previousObservations int
	// avoided is set while other backend servers are preferred, until avoidUntil.
	// avoidCount is the number of times in a row that it was set.
	avoided    bool
	avoidUntil time.Time
	avoidCount int
	// rampFrom is when the usable share began to grow. Zero means that the full share
	// is usable.
	rampFrom time.Time
	// coldUntil is until when service times are not used as evidence.
	coldUntil time.Time
	// restoreDeadline is until when an unlisted backend server may be listed again
	// after an outage of the store. Zero means that it is listed.
	restoreDeadline time.Time
	// drainUntil is until when a drain stays in effect.
	drainUntil time.Time
	// pausedUntil is until when the backend server wants no requests of this instance.
	pausedUntil time.Time
	// allowance is the part of the backend server's own limit that this instance may send.
	allowance limiter.Allowance
	// probeAt is the time of the next probe while the backend server is down.
	// probeWait is the wait before it.
	probeAt   time.Time
	probeWait time.Duration
	// breakdownAt is when the last counted breakdown began. Until verifiedUpUntil,
	// broken connections are known not to come from a breakdown.
	breakdownAt     time.Time
	verifiedUpUntil time.Time
	// trialAnswers counts the answers in the current trial, which began at trialFrom.
	trialAnswers int
	trialFrom    time.Time
}

// unlimited is the shedLimit of a backend server that did not shed work.
const unlimited = 1 << 20

func newBackend[E any](listed descriptor.Backend, now time.Time, started bool) backend[E] {
	return backend[E]{listed: listed, shedLimit: unlimited, estimate: detector.NewGrayEstimate(now, started)}
}

// WithOutcome returns b after a request ended there. base is the share of requests
// that fail at healthy backend servers.
func (b backend[E]) WithOutcome(now time.Time, failed bool, base float64) backend[E] {
	b.estimate = b.estimate.WithOutcome(now, failed, base)
	if failed {
		b.failedAt = now
	}
	return b
}

// WithUse returns b after an instance sent work there at the given time.
func (b backend[E]) WithUse(at time.Time) backend[E] {
	if at.After(b.usedAt) {
		b.usedAt = at
	}
	return b
}

// WithListed returns b with its current entry in the platform's list.
func (b backend[E]) WithListed(listed descriptor.Backend) backend[E] {
	b.listed = listed
	return b
}

// WithMode returns b in mode m.
func (b backend[E]) WithMode(m mode) backend[E] {
	b.mode = m
	return b
}

// WithShare returns b with n slots assigned to this instance.
func (b backend[E]) WithShare(n int) backend[E] {
	b.share = n
	return b
}

// WithStart returns b with one more attempt in flight.
func (b backend[E]) WithStart(long bool) backend[E] {
	b.inFlight++
	if long {
		b.longInFlight++
	}
	return b
}

// WithEnd returns b with one attempt fewer in flight.
func (b backend[E]) WithEnd(long bool) backend[E] {
	b.inFlight--
	if long {
		b.longInFlight--
	}
	return b
}

// WithEvidence returns b with evidence e, which includes one more observation.
func (b backend[E]) WithEvidence(e E) backend[E] {
	b.evidence = e
	b.observations++
	return b
}

// WithNewWindow returns b with a new window of observations.
func (b backend[E]) WithNewWindow() backend[E] {
	b.previousObservations = b.observations
	b.observations = 0
	return b
}

// recentObservations counts the observations of the current and the previous window.
func (b backend[E]) recentObservations() int { return b.observations + b.previousObservations }

// WithAnswer returns b after an answer, which raises shedLimit and advances a trial.
func (b backend[E]) WithAnswer() backend[E] {
	if b.shedLimit < unlimited {
		b.shedLimit += 1 / b.shedLimit
	}
	if b.shedLimit > float64(b.listed.Slots) {
		b.shedLimit = unlimited
	}
	if b.mode == modeTrial {
		b.trialAnswers++
	}
	return b
}

// WithLoad returns b after it reported its load. The load includes the attempt that
// carried the report.
func (b backend[E]) WithLoad(l descriptor.Load, at time.Time) backend[E] {
	if l.Known {
		b.reportedAt = at
		b = b.WithWork(l.Running+l.Waiting, at)
	}
	return b
}

// WithWork returns b after a report of the requests of all instances there at a time.
// Older reports are ignored.
func (b backend[E]) WithWork(work int, at time.Time) backend[E] {
	if at.After(b.otherWorkAt) {
		b.otherWork = max(0, work-b.inFlight)
		b.otherWorkAt = at
	}
	return b
}

// WithTypicalOtherWork returns b with the mean number of requests of other instances
// at a backend server in use.
func (b backend[E]) WithTypicalOtherWork(others float64) backend[E] {
	b.typicalOtherWork = others
	return b
}

const (
	// otherWorkLifetime is how long a report of other instances' work is used, about
	// the time that such work takes. Its weight falls with age in favor of
	// typicalOtherWork.
	otherWorkLifetime = 600 * time.Millisecond
	// idleThreshold is the time without new work after which a backend server is
	// taken to have none from other instances.
	idleThreshold = 2 * time.Second
)

// load estimates the number of requests per slot at now.
func (b backend[E]) load(now time.Time) float64 {
	others := 0.0
	if now.Sub(b.usedAt) < idleThreshold {
		others = b.typicalOtherWork
	}
	if age := now.Sub(b.otherWorkAt); age < otherWorkLifetime {
		fresh := 1 - float64(age)/float64(otherWorkLifetime)
		others = fresh*float64(b.otherWork) + (1-fresh)*others
	}
	return (float64(b.inFlight) + others) / float64(b.listed.Slots)
}

// WithShed returns b after it refused work at its current load.
func (b backend[E]) WithShed() backend[E] {
	b.shedLimit = max(1, float64(b.inFlight-1))
	return b
}

// WithDown returns b after it refused a connection.
func (b backend[E]) WithDown(now time.Time) backend[E] {
	if b.mode == modeReady || b.mode == modeTrial {
		b.mode = modeDown
	}
	b.probeWait = min(maxProbeWait, max(minProbeWait, 2*b.probeWait))
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

// WithDrain returns b leaving for at least drainTime.
func (b backend[E]) WithDrain(now time.Time) backend[E] {
	b.mode = modeLeaving
	b.drainUntil = now.Add(drainTime)
	return b
}

// WithPause returns b after it asked this instance at now for no requests for a time.
// An earlier answer may arrive later, so a longer pause stays in effect.
func (b backend[E]) WithPause(now time.Time, pause time.Duration) backend[E] {
	if until := now.Add(pause); pause > 0 && until.After(b.pausedUntil) {
		b.pausedUntil = until
	}
	return b
}

// paused reports whether b wants no requests of this instance at now.
func (b backend[E]) paused(now time.Time) bool { return now.Before(b.pausedUntil) }

// WithEjection returns b ejected, with its evidence and avoidance cleared.
func (b backend[E]) WithEjection() backend[E] {
	var noEvidence E
	b.mode = modeEjected
	b.evidence = noEvidence
	b.avoided = false
	return b
}

// WithTrial returns b at the end of a hold-off.
func (b backend[E]) WithTrial(now time.Time) backend[E] {
	b.mode = modeTrial
	b.trialFrom = now
	b.trialAnswers = 0
	return b
}

// WithReturn returns b ready again with evidence e, after a drain or a trial.
func (b backend[E]) WithReturn(now time.Time, e E) backend[E] {
	b.mode = modeReady
	b.evidence = e
	b.rampFrom = now
	b.avoided = false
	return b
}

// accepts reports whether b takes a request of this instance at now by what it said itself.
func (b backend[E]) accepts(now time.Time) bool {
	return !b.paused(now) && b.allowance.Open(now)
}

// WithRequest returns b after this instance sent a request there at now.
func (b backend[E]) WithRequest(now time.Time) backend[E] {
	b.lastSentAt = now
	b.allowance = b.allowance.WithRequest(now)
	return b.WithUse(now)
}

// limit returns how many attempts may be in flight at now.
func (b backend[E]) limit(now time.Time) int {
	if !b.accepts(now) {
		return 0
	}
	switch b.mode {
	case modeEjected, modeDown, modeLeaving:
		return 0
	case modeTrial:
		return min(1, b.share)
	}
	n := b.share
	if b.leasedIn > 0 && now.Before(b.leasedInUntil) {
		n += b.leasedIn
	}
	if b.leasedOut > 0 && now.Before(b.leasedOutUntil) {
		n -= b.leasedOut
	}
	if !b.rampFrom.IsZero() {
		n = ramped(n, now.Sub(b.rampFrom))
	}
	return max(0, min(n, int(b.shedLimit)))
}

// overcommitRatio is the number of requests per slot that may wait at a backend
// server beyond those that run. They keep slots busy until the instances learn that a
// slot is free.
const overcommitRatio = 0.67

// pooledLimit returns how many attempts may be in flight at now if the slots are not
// divided among instances. Shares, leases, ramps and trials do not limit them.
func (b backend[E]) pooledLimit(now time.Time) int {
	if !b.accepts(now) {
		return 0
	}
	switch b.mode {
	case modeEjected, modeDown, modeLeaving:
		return 0
	}
	// Requests beyond overcommitRatio wait in the queue of this instance, where they
	// can still be reordered or sent to another backend server.
	if b.load(now) >= 1+overcommitRatio {
		return 0
	}
	return min(b.listed.Slots, int(b.shedLimit))
}

// ramped returns how many of n slots may be used after elapsed time since the start of
// the ramp.
func ramped(n int, elapsed time.Duration) int {
	if elapsed >= rampTime || n <= 0 {
		return n
	}
	return max(1, int(float64(n)*float64(elapsed)/float64(rampTime)))
}

// healthy reports whether b counts as capacity that may take work.
func (b backend[E]) healthy() bool { return b.mode == modeReady || b.mode == modeTrial }
