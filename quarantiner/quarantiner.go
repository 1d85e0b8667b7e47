// Package quarantiner records the crashes of backend servers under requests and decides
// which requests are refused because of them. It does no I/O and reads no clock.
package quarantiner

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"monsoonswitch/container"
)

const (
	// maxRecords bounds the records remembered per generation.
	maxRecords = 2048
	// crashLimit is the number of crashes from which a request is refused.
	crashLimit = 2
	// maxCrashes bounds the crashes of a record. Requests with one fingerprint may differ in
	// their content.
	maxCrashes = 6
	// refusalTime is how long a crash counts.
	refusalTime = 10 * time.Minute
	// settleTime is the time after a broken connection in which the backend server can be
	// found to be up. A probe that succeeds later may reach its next incarnation.
	settleTime = time.Second
)

// Crash is one crash of a backend server under a request.
type Crash struct {
	// Service is the service that the request was sent to.
	Service string
	// Mark identifies the backend server; see descriptor.MarkOf.
	Mark uint64
	// Content is a hash of the request's body, or 0 if it is not known.
	Content uint64
	At      time.Time
}

// matches reports whether c may be a crash under a request with the given content. Contents that
// are not known match all.
func (c Crash) matches(content uint64) bool {
	return c.Content == content || c.Content == 0 || content == 0
}

// settled reports whether c can no longer be withdrawn at now.
func (c Crash) settled(now time.Time) bool { return now.Sub(c.At) >= settleTime }

// Record lists the crashes of backend servers under requests of one fingerprint.
type Record struct {
	// crashes holds the newest crashes in its first count entries, oldest record first. No two
	// have the same backend server and content.
	crashes [maxCrashes]Crash
	count   int
	// answered is the content of the request that was last answered, and answeredAt the time.
	answered   uint64
	answeredAt time.Time
}

// WithCrash returns r with one more crash, unless it is already recorded.
func (r Record) WithCrash(c Crash) Record {
	if slices.ContainsFunc(r.Crashes(), func(x Crash) bool { return x.Mark == c.Mark && x.Content == c.Content }) {
		return r
	}
	if r.count == len(r.crashes) {
		copy(r.crashes[:], r.crashes[1:])
		r.count--
	}
	r.crashes[r.count] = c
	r.count++
	return r
}

// WithoutCrash returns r without the crashes of a backend server that are not settled at now.
// mark is that of its first crash.
func (r Record) WithoutCrash(mark uint64, now time.Time) Record {
	var marks [maxCrashes]uint64
	for i := range marks {
		marks[i] = mark
		mark = nextMark(mark)
	}
	result := Record{answered: r.answered, answeredAt: r.answeredAt}
	for _, c := range r.Crashes() {
		if c.settled(now) || !slices.Contains(marks[:], c.Mark) {
			result = result.WithCrash(c)
		}
	}
	return result
}

// WithAnswer returns r after a request with the given content was answered at now, which shows
// that it did not cause the crashes before.
func (r Record) WithAnswer(content uint64, now time.Time) Record {
	r.answered, r.answeredAt = content, now
	return r
}

// Crashes returns the recorded crashes, oldest record first.
func (r Record) Crashes() []Crash { return r.crashes[:r.count] }

// Has reports whether a crash of a backend server is recorded.
func (r Record) Has(mark uint64) bool {
	return slices.ContainsFunc(r.Crashes(), func(c Crash) bool { return c.Mark == mark })
}

// Suspected returns the number of crashes, up to refusalTime before now, that a request with
// the given content may have caused. One that is recorded with and without its content counts
// once.
func (r Record) Suspected(content uint64, now time.Time) int {
	marks := make([]uint64, 0, maxCrashes)
	for _, c := range r.Crashes() {
		answered := content != 0 && content == r.answered && c.At.Before(r.answeredAt)
		if c.matches(content) && !answered && now.Sub(c.At) < refusalTime && !slices.Contains(marks, c.Mark) {
			marks = append(marks, c.Mark)
		}
	}
	return len(marks)
}

// Refused reports whether a request with the given content is refused at now.
func (r Record) Refused(content uint64, now time.Time) bool {
	return r.Suspected(content, now) >= crashLimit
}

// Register holds the records of one instance by the fingerprint of the request. All services
// share it, because a request may be sent to more than one. Only one goroutine may use it.
type Register struct {
	// single holds the records with one crash, and several the others. Many connections that
	// break together must not evict a record that refuses a request.
	single, several *container.Generations[uint64, Record]
	// version grows with each change.
	version uint64
}

// NewRegister returns an empty register.
func NewRegister() *Register {
	return &Register{
		single:  container.NewGenerations[uint64, Record](maxRecords),
		several: container.NewGenerations[uint64, Record](maxRecords),
	}
}

// Get returns the record of a request; it is empty if there is none.
func (g *Register) Get(fingerprint uint64) Record {
	if r, ok := g.several.Get(fingerprint); ok {
		return r
	}
	r, _ := g.single.Get(fingerprint)
	return r
}

// Len returns the number of records.
func (g *Register) Len() int { return g.single.Len() + g.several.Len() }

// Add records a crash and reports whether that changed the record.
func (g *Register) Add(fingerprint uint64, c Crash) bool {
	before := g.Get(fingerprint)
	return g.put(fingerprint, before, before.WithCrash(c))
}

// Withdraw removes the crash of a backend server under a request, unless it is settled at now.
// It reports whether that changed the record.
func (g *Register) Withdraw(now time.Time, fingerprint, mark uint64) bool {
	before := g.Get(fingerprint)
	return g.put(fingerprint, before, before.WithoutCrash(mark, now))
}

// NextMark returns the mark under which a further crash of a backend server is recorded, which
// starts again under its ID. It is the given one, that of the first crash, until that crash is
// settled. Instances that know of the same crashes choose the same mark, so that two reports of
// one crash count once.
func (g *Register) NextMark(now time.Time, fingerprint, mark uint64) uint64 {
	r := g.Get(fingerprint)
	for range maxCrashes {
		i := slices.IndexFunc(r.Crashes(), func(c Crash) bool { return c.Mark == mark })
		if i < 0 || !r.crashes[i].settled(now) {
			break
		}
		mark = nextMark(mark)
	}
	return mark
}

// nextMark returns the mark of the crash after the one with the given mark.
func nextMark(mark uint64) uint64 {
	return xxhash.Sum64(binary.LittleEndian.AppendUint64(nil, mark))
}

// Answer records that a request with a known content was answered. It reports whether that
// request was suspected.
func (g *Register) Answer(now time.Time, fingerprint, content uint64) bool {
	before := g.Get(fingerprint)
	if content == 0 || before.Suspected(content, now) == 0 {
		return false
	}
	return g.put(fingerprint, before, before.WithAnswer(content, now))
}

func (g *Register) put(fingerprint uint64, before, after Record) bool {
	if after == before {
		return false
	}
	g.version++
	if after.count != 1 {
		g.single.Delete(fingerprint)
	}
	if after.count < crashLimit {
		g.several.Delete(fingerprint)
	}
	switch {
	case after.count >= crashLimit:
		g.several.Put(fingerprint, after)
	case after.count > 0:
		g.single.Put(fingerprint, after)
	}
	return true
}

// Version returns a number that grows with each change.
func (g *Register) Version() uint64 { return g.version }

// Fingerprints returns those of all records, in ascending order.
func (g *Register) Fingerprints() []uint64 {
	list := append(g.single.Keys(), g.several.Keys()...)
	slices.Sort(list)
	return list
}

// Entry is a crash with the fingerprint of its request.
type Entry struct {
	Fingerprint uint64
	Crash
}

// Settled returns up to n settled crashes of a service that still count at now, newest first.
func (g *Register) Settled(now time.Time, service string, n int) []Entry {
	var list []Entry
	for _, fingerprint := range g.Fingerprints() {
		for _, c := range g.Get(fingerprint).Crashes() {
			if c.Service == service && c.settled(now) && now.Sub(c.At) < refusalTime {
				list = append(list, Entry{fingerprint, c})
			}
		}
	}
	slices.SortStableFunc(list, func(x, y Entry) int { return cmp.Compare(y.At.UnixNano(), x.At.UnixNano()) })
	return list[:min(len(list), n)]
}
