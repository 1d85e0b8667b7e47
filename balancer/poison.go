package balancer

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"monsoonswitch/descriptor"
)

const (
	// maxCrashes bounds the suspected fingerprints remembered per generation.
	maxCrashes = 2048
	// crashLimit is the number of crashed backend servers from which a request is
	// refused.
	crashLimit = 2
	// crashTime is how long after the last crash a request is refused.
	crashTime = 10 * time.Minute
	// crashSettleTime is the time after a broken connection in which the backend server can
	// be found to be up. A probe that succeeds later may reach its next incarnation.
	crashSettleTime = time.Second
	// maxListedCrashes bounds the crashes in one suspicion list.
	maxListedCrashes = 256
	// crashHeralds is the number of slot owners, in their order, that spread a crash
	// report of another instance to all instances.
	crashHeralds = 2
)

// crash is one crash of a backend server under a request.
type crash struct {
	// mark identifies the backend server; see descriptor.MarkOf.
	mark uint64
	at   time.Time
}

// crashRecord lists the crashes of backend servers under one request.
type crashRecord struct {
	// crashes holds crashes of distinct backend servers in its first count entries.
	crashes [crashLimit]crash
	count   int
}

// WithCrash returns r with one more crash, unless it is already recorded or r is full. at of a
// recorded one is kept.
func (r crashRecord) WithCrash(c crash) crashRecord {
	if r.count == len(r.crashes) || r.has(c.mark) {
		return r
	}
	r.crashes[r.count] = c
	r.count++
	return r
}

// WithoutCrash returns r without the crash of a backend server at now, if it is not settled.
func (r crashRecord) WithoutCrash(mark uint64, now time.Time) crashRecord {
	var result crashRecord
	for _, c := range r.list() {
		if c.mark != mark || c.settled(now) {
			result = result.WithCrash(c)
		}
	}
	return result
}

func (r crashRecord) list() []crash { return r.crashes[:r.count] }

func (r crashRecord) has(mark uint64) bool {
	for _, c := range r.list() {
		if c.mark == mark {
			return true
		}
	}
	return false
}

// poisoned reports whether the request is refused at now.
func (r crashRecord) poisoned(now time.Time) bool {
	if r.count < crashLimit {
		return false
	}
	var last time.Time
	for _, c := range r.list() {
		if c.at.After(last) {
			last = c.at
		}
	}
	return now.Sub(last) < crashTime
}

// settled reports whether c can no longer be withdrawn at now.
func (c crash) settled(now time.Time) bool { return now.Sub(c.at) >= crashSettleTime }

// poisoned reports whether requests with a fingerprint are refused.
func (b *Balancer[E, D, P, L]) poisoned(fingerprint uint64) bool {
	r, _ := b.crashes.Get(fingerprint)
	return r.poisoned(b.now)
}

// refusePoisoned refuses a waiting request if it became known to crash backend servers while it
// waited, and reports whether it did.
func (b *Balancer[E, D, P, L]) refusePoisoned(r request) bool {
	if !b.poisoned(r.fingerprint) {
		return false
	}
	b.refuse(r, descriptor.Poisoned, r.outcome(), 0)
	return true
}

func (b *Balancer[E, D, P, L]) crashedElsewhere(fingerprint uint64, id string) bool {
	r, _ := b.crashes.Get(fingerprint)
	return r.count > 1 || r.count == 1 && !r.has(descriptor.MarkOf(id))
}

// crashedBefore reports whether a backend server crashed under a request.
func (b *Balancer[E, D, P, L]) crashedBefore(fingerprint uint64) bool {
	r, _ := b.crashes.Get(fingerprint)
	return r.count > 0
}

// recordCrash records a crash and notifies the owners, and all instances once the request is
// refused.
func (b *Balancer[E, D, P, L]) recordCrash(fingerprint uint64, id string) {
	known := b.poisoned(fingerprint)
	b.addCrash(fingerprint, id, crash{mark: descriptor.MarkOf(id), at: b.now}, "seen here")
	m := descriptor.CrashReport{Service: b.service.Name, Fingerprint: fingerprint, Backend: id}
	b.sendToOwners(m)
	if !known && b.poisoned(fingerprint) {
		b.spreadRecord(fingerprint)
	}
}

// spreadRecord sends all crashes under a request to all instances.
func (b *Balancer[E, D, P, L]) spreadRecord(fingerprint uint64) {
	r, _ := b.crashes.Get(fingerprint)
	for _, c := range r.list() {
		b.emit(descriptor.Spread{Report: b.reportOf(fingerprint, c)})
	}
}

func (b *Balancer[E, D, P, L]) reportOf(fingerprint uint64, c crash) descriptor.CrashReport {
	return descriptor.CrashReport{
		Service: b.service.Name, Fingerprint: fingerprint, Mark: c.mark, Backend: b.marks[c.mark],
		Age: b.now.Sub(c.at).Milliseconds(),
	}
}

// noteCrash logs a change of the crashes that are recorded for a request.
func (b *Balancer[E, D, P, L]) noteCrash(number int, fingerprint uint64, id, source string) {
	r, _ := b.crashes.Get(fingerprint)
	b.note(number, id, fmt.Sprintf("%s, crashes %d, %s", fingerprintText(fingerprint), r.count, source))
}

// fingerprintText returns the form of a fingerprint in logs.
func fingerprintText(fingerprint uint64) string { return fmt.Sprintf("request %016x", fingerprint) }

// addCrash records a crash and reports whether it was not known. The ID is empty if the
// backend server is not known here.
func (b *Balancer[E, D, P, L]) addCrash(fingerprint uint64, id string, c crash, source string) bool {
	before, _ := b.crashes.Get(fingerprint)
	after := before.WithCrash(c)
	if after == before {
		return false
	}
	b.crashes.Put(fingerprint, after)
	b.noteCrash(descriptor.NoteCrash, fingerprint, id, source)
	if !before.poisoned(b.now) && after.poisoned(b.now) {
		b.note(descriptor.NotePoison, id, fingerprintText(fingerprint)+" is refused for 10 min")
	}
	return true
}

// clearCrash removes the suspicion from a request that was answered.
func (b *Balancer[E, D, P, L]) clearCrash(fingerprint uint64) {
	if b.crashes.Len() == 0 {
		return
	}
	r, ok := b.crashes.Get(fingerprint)
	if !ok || r.count >= crashLimit {
		return
	}
	b.crashes.Delete(fingerprint)
	b.noteCrash(descriptor.NoteCrashWithdrawn, fingerprint, "", "answered")
	b.sendToOwners(descriptor.CrashReport{Service: b.service.Name, Fingerprint: fingerprint, Cleared: true})
}

// withdrawCrashes removes the crashes recorded for a backend server that was found to
// be up, unless they are settled.
func (b *Balancer[E, D, P, L]) withdrawCrashes(id string) {
	mark := descriptor.MarkOf(id)
	for _, fingerprint := range b.crashes.Keys() {
		before, _ := b.crashes.Get(fingerprint)
		after := before.WithoutCrash(mark, b.now)
		if after == before {
			continue
		}
		b.putRecord(fingerprint, after)
		b.noteCrash(descriptor.NoteCrashWithdrawn, fingerprint, id, "accepts connections")
		m := descriptor.CrashReport{Service: b.service.Name, Fingerprint: fingerprint, Backend: id, Cleared: true}
		b.sendToOwners(m)
		if before.poisoned(b.now) && !after.poisoned(b.now) {
			b.emit(descriptor.Spread{Report: m})
		}
	}
}

func (b *Balancer[E, D, P, L]) putRecord(fingerprint uint64, r crashRecord) {
	if r.count == 0 {
		b.crashes.Delete(fingerprint)
		return
	}
	b.crashes.Put(fingerprint, r)
}

// HandleCrash handles a crash, or its withdrawal, reported by another instance. The first
// owners spread it to all instances when the request is refused from now on, unless it was
// spread already: the instance that reports it may not know of the other crashes.
func (b *Balancer[E, D, P, L]) HandleCrash(now time.Time, m descriptor.CrashReport) {
	b.advance(now)
	mark := m.Mark
	if mark == 0 {
		mark = descriptor.MarkOf(m.Backend)
	}
	r, ok := b.crashes.Get(m.Fingerprint)
	switch {
	case !m.Cleared:
		b.addReported(m, crash{mark: mark, at: now.Add(-time.Duration(max(0, m.Age)) * time.Millisecond)})
	case !ok:
	case m.Backend == "":
		if r.count < crashLimit {
			b.crashes.Delete(m.Fingerprint)
		}
	default:
		b.putRecord(m.Fingerprint, r.WithoutCrash(mark, now))
	}
}

func (b *Balancer[E, D, P, L]) addReported(m descriptor.CrashReport, c crash) {
	known := b.poisoned(m.Fingerprint)
	b.addCrash(m.Fingerprint, m.Backend, c, "reported")
	spreads := b.position >= 0 && b.position < crashHeralds && m.Origin == ""
	if !known && spreads && b.poisoned(m.Fingerprint) {
		b.spreadRecord(m.Fingerprint)
	}
}

// Crashes returns the newest settled crashes, for a suspicion list.
func (b *Balancer[E, D, P, L]) Crashes(now time.Time) []descriptor.Crash {
	var list []descriptor.Crash
	for _, fingerprint := range b.crashes.Keys() {
		r, _ := b.crashes.Get(fingerprint)
		for _, c := range r.list() {
			if age := now.Sub(c.at); c.settled(now) && age < crashTime {
				list = append(list, descriptor.Crash{Fingerprint: fingerprint, Mark: c.mark, Age: age.Milliseconds()})
			}
		}
	}
	slices.SortStableFunc(list, func(x, y descriptor.Crash) int { return cmp.Compare(x.Age, y.Age) })
	return list[:min(len(list), maxListedCrashes)]
}

// mergeCrashes records the crashes of a suspicion list, and reports to its origin those that it
// lacks.
func (b *Balancer[E, D, P, L]) mergeCrashes(origin descriptor.Member, list []descriptor.Crash) {
	listed := make(map[descriptor.Crash]bool, len(list))
	for _, c := range list {
		listed[descriptor.Crash{Fingerprint: c.Fingerprint, Mark: c.Mark}] = true
		at := b.now.Add(-time.Duration(max(0, c.Age)) * time.Millisecond)
		b.addCrash(c.Fingerprint, b.marks[c.Mark], crash{mark: c.Mark, at: at}, "listed by "+origin.ID)
	}
	if origin.ID == "" || len(list) == maxListedCrashes {
		return
	}
	for _, c := range b.Crashes(b.now) {
		if !listed[descriptor.Crash{Fingerprint: c.Fingerprint, Mark: c.Mark}] {
			m := descriptor.CrashReport{Service: b.service.Name, Fingerprint: c.Fingerprint, Mark: c.Mark, Backend: b.marks[c.Mark], Age: c.Age}
			b.emit(descriptor.Send{To: origin, Message: m})
		}
	}
}
