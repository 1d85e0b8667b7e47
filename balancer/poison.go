package balancer

import (
	"fmt"
	"time"

	"monsoonswitch/descriptor"
	"monsoonswitch/quarantiner"
)

const (
	// maxListedCrashes bounds the crashes in one suspicion list.
	maxListedCrashes = 256
	// crashHeralds is the number of slot owners, in their order, that spread a crash
	// report of another instance to all instances.
	crashHeralds = 2
	// maxUnanswered bounds the attempts that are remembered because they ended without an
	// answer, and unansweredTime is how long each of them is.
	maxUnanswered  = 256
	unansweredTime = 30 * time.Second
	// seenHere is the source of crashes that this instance saw itself, in logs.
	seenHere = "seen here"
)

// unanswered is an attempt that ended without an answer while its connection was open. Its
// backend server may have crashed without a sign of it.
type unanswered struct {
	request request
	backend string
	at      time.Time
}

// rememberUnanswered remembers an attempt until it is known whether its backend server crashed.
func (b *Balancer[E, D, P, L]) rememberUnanswered(r request, a attempt) {
	if !a.sentAt.IsZero() {
		b.unanswered.Add(unanswered{request: r, backend: a.backend, at: b.now})
	}
}

// recordRestarts records the crashes of backend servers that another incarnation has replaced in
// a new list, by name or by address, under the requests that they did not answer.
func (b *Balancer[E, D, P, L]) recordRestarts(list []descriptor.Backend) {
	for _, listed := range list {
		if b.backends.Has(listed.ID) {
			continue
		}
		for id, s := range b.backends.All {
			if s.mode != modeLeaving && listed.Replaces(s.listed) {
				b.recordRestart(id)
			}
		}
	}
}

func (b *Balancer[E, D, P, L]) recordRestart(id string) {
	for _, r := range b.requests.All {
		for _, a := range r.attempts[:r.count] {
			if a.backend == id && !a.answered {
				b.recordCrash(r, id)
			}
		}
	}
	for _, u := range b.unanswered.Slice() {
		if u.backend == id && b.now.Sub(u.at) < unansweredTime {
			b.recordCrash(u.request, id)
		}
	}
}

// poisoned reports whether requests with a fingerprint and content are refused.
func (b *Balancer[E, D, P, L]) poisoned(fingerprint, content uint64) bool {
	return b.crashes.Get(fingerprint).Refused(content, b.now)
}

// refusePoisoned refuses a waiting request if it became known to crash backend servers while it
// waited, and reports whether it did.
func (b *Balancer[E, D, P, L]) refusePoisoned(r request) bool {
	if !b.poisoned(r.fingerprint, r.content) {
		return false
	}
	b.refuse(r, descriptor.Poisoned, r.outcome(), 0)
	return true
}

// crashedElsewhere reports whether a backend server other than the given one crashed under a
// request.
func (b *Balancer[E, D, P, L]) crashedElsewhere(r request, id string) bool {
	record := b.crashes.Get(r.fingerprint)
	n := record.Suspected(r.content, b.now)
	return n > 1 || n == 1 && !record.Has(descriptor.MarkOf(id))
}

// crashedBefore reports whether a backend server crashed under a request.
func (b *Balancer[E, D, P, L]) crashedBefore(r request) bool {
	return b.crashes.Get(r.fingerprint).Suspected(r.content, b.now) > 0
}

// recordCrash records a crash and notifies the owners, and all instances once the request is
// refused.
func (b *Balancer[E, D, P, L]) recordCrash(r request, id string) {
	c := quarantiner.Crash{Service: b.service.Name, Mark: b.crashMark(r.fingerprint, id), Content: r.content, At: b.now}
	known := b.poisoned(r.fingerprint, r.content)
	b.addCrash(r.fingerprint, id, c, seenHere)
	b.sendToOwners(b.reportOf(r.fingerprint, c))
	if !known && b.poisoned(r.fingerprint, r.content) {
		b.spreadRecord(r.fingerprint)
	}
}

// crashMark returns the mark for a crash of a backend server now. An ID that names an incarnation
// crashes once.
func (b *Balancer[E, D, P, L]) crashMark(fingerprint uint64, id string) uint64 {
	mark := descriptor.MarkOf(id)
	if s, ok := b.backends.Get(id); ok && s.listed.NamesIncarnation() {
		return mark
	}
	return b.crashes.NextMark(b.now, fingerprint, mark)
}

// reportedCrash returns a crash that another instance reported.
func (b *Balancer[E, D, P, L]) reportedCrash(c descriptor.Crash) quarantiner.Crash {
	at := b.now.Add(-time.Duration(max(0, c.Age)) * time.Millisecond)
	return quarantiner.Crash{Service: b.service.Name, Mark: c.Mark, Content: c.Content, At: at}
}

// spreadRecord sends all crashes under a request to all instances.
func (b *Balancer[E, D, P, L]) spreadRecord(fingerprint uint64) {
	for _, c := range b.crashes.Get(fingerprint).Crashes() {
		b.emit(descriptor.Spread{Report: b.reportOf(fingerprint, c)})
	}
}

func (b *Balancer[E, D, P, L]) reportOf(fingerprint uint64, c quarantiner.Crash) descriptor.CrashReport {
	return descriptor.CrashReport{
		Service: c.Service, Fingerprint: fingerprint, Mark: c.Mark, Backend: b.marks[c.Mark],
		Content: c.Content, Age: b.now.Sub(c.At).Milliseconds(),
	}
}

// noteCrash logs a change of the crashes that are recorded for a request.
func (b *Balancer[E, D, P, L]) noteCrash(number int, fingerprint uint64, id, source string) {
	n := len(b.crashes.Get(fingerprint).Crashes())
	b.note(number, id, fmt.Sprintf("%s, crashes %d, %s", fingerprintText(fingerprint), n, source))
}

// fingerprintText returns the form of a fingerprint in logs.
func fingerprintText(fingerprint uint64) string { return fmt.Sprintf("request %016x", fingerprint) }

// addCrash records a crash. The ID of the backend server is empty if it is not known here. The
// first crash under a request is logged only where it was seen, since a rack that fails crashes
// under many requests.
func (b *Balancer[E, D, P, L]) addCrash(fingerprint uint64, id string, c quarantiner.Crash, source string) {
	known := b.poisoned(fingerprint, c.Content)
	if !b.crashes.Add(fingerprint, c) {
		return
	}
	if source == seenHere || len(b.crashes.Get(fingerprint).Crashes()) > 1 {
		b.noteCrash(descriptor.NoteCrash, fingerprint, id, source)
	}
	if !known && b.poisoned(fingerprint, c.Content) {
		b.note(descriptor.NotePoison, id, fingerprintText(fingerprint)+" is refused for 10 min")
	}
}

// recordAnswered records that a suspected request was answered, and notifies the owners, and all
// instances if it was refused.
func (b *Balancer[E, D, P, L]) recordAnswered(r request) {
	known := b.poisoned(r.fingerprint, r.content)
	if !b.crashes.Answer(b.now, r.fingerprint, r.content) {
		return
	}
	b.noteCrash(descriptor.NoteCrashWithdrawn, r.fingerprint, "", "answered")
	m := descriptor.CrashReport{Service: b.service.Name, Fingerprint: r.fingerprint, Content: r.content, Cleared: true}
	b.sendToOwners(m)
	if known {
		b.emit(descriptor.Spread{Report: m})
	}
}

// withdrawCrashes removes the crashes recorded for a backend server that was found to
// be up, unless they are settled.
func (b *Balancer[E, D, P, L]) withdrawCrashes(id string) {
	mark := descriptor.MarkOf(id)
	for _, fingerprint := range b.crashes.Fingerprints() {
		before := b.crashes.Get(fingerprint)
		if !b.crashes.Withdraw(b.now, fingerprint, mark) {
			continue
		}
		b.noteCrash(descriptor.NoteCrashWithdrawn, fingerprint, id, "accepts connections")
		m := descriptor.CrashReport{Service: b.service.Name, Fingerprint: fingerprint, Backend: id, Cleared: true}
		b.sendToOwners(m)
		if len(before.Crashes()) > 1 {
			// The record may have been spread.
			b.emit(descriptor.Spread{Report: m})
		}
	}
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
	switch {
	case !m.Cleared:
		b.addReported(m, mark)
	case m.Backend == "":
		b.crashes.Answer(now, m.Fingerprint, m.Content)
	default:
		b.crashes.Withdraw(now, m.Fingerprint, mark)
	}
}

func (b *Balancer[E, D, P, L]) addReported(m descriptor.CrashReport, mark uint64) {
	known := b.poisoned(m.Fingerprint, m.Content)
	b.addCrash(m.Fingerprint, m.Backend, b.reportedCrash(descriptor.Crash{Mark: mark, Content: m.Content, Age: m.Age}), "reported")
	spreads := b.position >= 0 && b.position < crashHeralds && m.Origin == ""
	if !known && spreads && b.poisoned(m.Fingerprint, m.Content) {
		b.spreadRecord(m.Fingerprint)
	}
}

// reportCrashesTo sends the crashes under requests of this service to instances that have become
// slot owners. Under a routing, suspicion lists do so too.
func (b *Balancer[E, D, P, L]) reportCrashesTo(members []descriptor.Member) {
	for _, m := range members {
		if m.ID != b.options.Self {
			b.reportSettled(m, func(quarantiner.Entry) bool { return true })
		}
	}
}

// reportSettled sends the crashes of this service that are not withdrawn any more to an instance,
// those that keep selects.
func (b *Balancer[E, D, P, L]) reportSettled(to descriptor.Member, keep func(quarantiner.Entry) bool) {
	for _, c := range b.crashes.Settled(b.now, b.service.Name, maxListedCrashes) {
		if keep(c) {
			b.emit(descriptor.Send{To: to, Message: b.reportOf(c.Fingerprint, c.Crash)})
		}
	}
}

// ReportRefused sends the crashes under the requests that are refused to an instance that starts,
// which gets requests before the next suspicion list.
func (b *Balancer[E, D, P, L]) ReportRefused(now time.Time, to descriptor.Member) {
	b.advance(now)
	b.reportSettled(to, func(c quarantiner.Entry) bool { return b.poisoned(c.Fingerprint, c.Content) })
}

// Crashes returns the newest crashes that are not withdrawn any more, for a suspicion list.
func (b *Balancer[E, D, P, L]) Crashes(now time.Time) []descriptor.Crash {
	var list []descriptor.Crash
	for _, c := range b.crashes.Settled(now, b.service.Name, maxListedCrashes) {
		list = append(list, descriptor.Crash{Fingerprint: c.Fingerprint, Mark: c.Mark, Content: c.Content, Age: now.Sub(c.At).Milliseconds()})
	}
	return list
}

// mergeCrashes records the crashes of a suspicion list, and reports to its origin those that it
// lacks.
func (b *Balancer[E, D, P, L]) mergeCrashes(origin descriptor.Member, list []descriptor.Crash) {
	type key struct{ fingerprint, mark, content uint64 }
	listed := make(map[key]bool, len(list))
	for _, c := range list {
		listed[key{c.Fingerprint, c.Mark, c.Content}] = true
		b.addCrash(c.Fingerprint, b.marks[c.Mark], b.reportedCrash(c), "listed by "+origin.ID)
	}
	if origin.ID == "" || len(list) == maxListedCrashes {
		return
	}
	b.reportSettled(origin, func(c quarantiner.Entry) bool { return !listed[key{c.Fingerprint, c.Mark, c.Content}] })
}
