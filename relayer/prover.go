package relayer

import (
	"maps"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"monsoonswitch/descriptor"
)

const (
	// stampInterval is the time between stamps to an instance whose announcements return them,
	// and stampRetry that to one whose announcements do not.
	stampInterval = time.Second
	stampRetry    = 250 * time.Millisecond
	// maxStampAge is how long a stamp is returned. It bounds the error by clocks of different
	// rates; see Margin.
	maxStampAge = 5 * time.Second
	// maxPending bounds the proofs that are kept for versions which are not held yet.
	maxPending = 32
	// offsetBits is the number of bits of the offset of stamps. Together with an uptime in
	// microseconds it fits an int64.
	offsetBits = 62
)

// Margin returns the part of a limit on the age of a proof that is kept for clocks of different
// rates. Clocks that are slewed by 500 ppm each differ by 10 ms in 10 s, and a proof takes up to
// five hops.
func Margin(limit time.Duration) time.Duration { return limit / 100 }

// proof tells that a version was the newest in the store. Both times are uptimes of this machine; 0
// means that there is none.
type proof struct {
	// read is the latest known start of a read of the store that found nothing newer, and seen the
	// latest time as of which such a read was current. seen is later than read for a watch, and
	// relies on the store to wait for as long as it was asked to.
	read, seen time.Duration
}

// with returns the later times of two proofs.
func (p proof) with(q proof) proof {
	return proof{read: max(p.read, q.read), seen: max(p.seen, q.seen)}
}

// stamp is a stamp of another instance and the uptime at which it arrived.
type stamp struct {
	value int64
	at    time.Duration
}

// Prover keeps the proof of an instance that its routing is recent: the uptime as of which the
// platform's store held no newer version than the one held. All times are uptimes of this machine.
// A time of another machine is mapped by a stamp that this instance sent to it before: the stamp
// is a lower bound of the time at which it arrived there. It is not safe for concurrent use.
type Prover struct {
	// offset is added to uptimes in stamps. It differs between incarnations, so that a stamp of an
	// earlier one, perhaps on another machine, is recognized.
	offset int64
	// started is the first known uptime of this incarnation, and now the latest.
	started, now time.Duration
	// version is that of the routing held, and held the proof that it is the newest.
	version uint64
	held    proof
	// pending holds the proofs for newer versions than the one held.
	pending map[uint64]proof
	// heard is the latest proof that came from another instance.
	heard time.Duration
	// stored is the version that the last read of the store found, if found is set.
	stored uint64
	found  bool
	// stamps holds the last stamp of each instance that sent one, and sent the uptime of the last
	// stamp sent to each instance.
	stamps map[string]stamp
	sent   map[string]time.Duration
}

// NewProver returns a prover without a proof. The seed differs between incarnations.
func NewProver(self descriptor.Member, seed uint64) *Prover {
	text := self.ID + "/" + strconv.FormatInt(self.Incarnation, 10) + "/" + strconv.FormatUint(seed, 10)
	return &Prover{
		offset:  int64(xxhash.Sum64String(text)>>(64-offsetBits)) | 1,
		pending: make(map[uint64]proof),
		stamps:  make(map[string]stamp),
		sent:    make(map[string]time.Duration),
	}
}

// Advance records the present uptime. An uptime of 0 is unknown.
func (p *Prover) Advance(uptime time.Duration) {
	if uptime <= 0 {
		return
	}
	if p.started == 0 {
		p.started = uptime
	}
	p.now = max(p.now, uptime)
}

// Hold records the version of the routing held. The proof of an earlier version holds for the
// later one too. Proofs of versions in between are dropped: a store that holds an older version
// than this instance may have been restored from a copy.
func (p *Prover) Hold(version uint64) {
	p.version = version
	p.held = p.held.with(p.pending[version])
	maps.DeleteFunc(p.pending, func(v uint64, _ proof) bool { return v <= version })
}

// Found records the version that a read of the store found.
func (p *Prover) Found(version uint64) { p.stored, p.found = version, true }

// Lost records that the store holds no routing, or one that can't be decoded. Reads prove nothing
// until the next call of Found.
func (p *Prover) Lost() { p.found = false }

// Read records that a read of the store found nothing newer than the last version found. The read
// began at the uptime read and was current as of the uptime seen.
func (p *Prover) Read(read, seen time.Duration) {
	if read <= 0 || !p.found {
		return
	}
	p.Advance(max(read, seen))
	p.prove(p.stored, proof{read: read, seen: max(read, seen)})
}

// prove adds the proof that a version was the newest.
func (p *Prover) prove(version uint64, q proof) {
	switch {
	case version < p.version:
		// The store may have been restored from a copy.
	case version == p.version:
		p.held = p.held.with(q)
	default:
		p.pending[version] = p.pending[version].with(q)
		if len(p.pending) > maxPending {
			delete(p.pending, p.oldestPending())
		}
	}
}

func (p *Prover) oldestPending() uint64 {
	first, oldest := true, uint64(0)
	for v := range p.pending {
		if first || v < oldest {
			first, oldest = false, v
		}
	}
	return oldest
}

// newest returns the newest version that is known, and the proof for it.
func (p *Prover) newest() (uint64, proof) {
	version, newest := p.version, p.held
	for v, q := range p.pending {
		if v > version {
			version, newest = v, q
		}
	}
	return version, newest
}

// Seen returns the uptime as of which the routing held was the newest if the store waits for as
// long as it is asked to, or 0 if it is not known.
func (p *Prover) Seen() time.Duration { return p.held.seen }

// Age returns the age of the proof at the present uptime, and false if there is none.
func (p *Prover) Age() (time.Duration, bool) { return p.now - p.held.read, p.held.read > 0 }

// Fresh reports whether the routing held was the newest at most limit ago.
func (p *Prover) Fresh(limit time.Duration) bool { return p.Recent(p.now, limit) }

// Recent reports whether the routing held was the newest at most limit before the given uptime.
func (p *Prover) Recent(uptime, limit time.Duration) bool {
	return p.held.read > 0 && uptime > 0 && uptime-p.held.read <= limit-Margin(limit)
}

// Heard reports whether other instances gave a proof that is at most limit old.
func (p *Prover) Heard(limit time.Duration) bool {
	return p.heard > 0 && p.now-p.heard <= limit
}

// NextStamp returns the stamp to send to an instance from which an announcement came, and false
// if none is due. returned reports whether that announcement returned a stamp.
func (p *Prover) NextStamp(to string, returned bool) (descriptor.ClockStamp, bool) {
	wait := stampInterval
	if !returned {
		wait = stampRetry
	}
	if last, ok := p.sent[to]; p.now == 0 || ok && p.now-last < wait {
		return descriptor.ClockStamp{}, false
	}
	return p.Stamp(to), true
}

// Stamp returns a stamp to send to an instance, or none if the uptime is not known.
func (p *Prover) Stamp(to string) descriptor.ClockStamp {
	if p.now == 0 {
		return descriptor.ClockStamp{}
	}
	p.sent[to] = p.now
	return descriptor.ClockStamp{Stamp: p.offset + p.now.Microseconds()}
}

// HandleStamp keeps a stamp that arrived at the given uptime. A later one replaces it, also if that
// is smaller, because its sender may have started again.
func (p *Prover) HandleStamp(from string, m descriptor.ClockStamp, uptime time.Duration) {
	if uptime <= 0 || m.Stamp <= 0 {
		return
	}
	p.Advance(uptime)
	p.stamps[from] = stamp{value: m.Stamp, at: uptime}
}

// WithProof returns an announcement with the proof of this instance for the newest version that it
// knows, in terms of the last stamp of the instance that the announcement is sent to. Without both
// it returns it without a proof. Ages are rounded up and the time for which the stamp was held is
// rounded down.
func (p *Prover) WithProof(to string, m descriptor.Freshness) descriptor.Freshness {
	m.Stamp, m.Held, m.Proof, m.Seen, m.Version = 0, 0, 0, 0, 0
	s, ok := p.stamps[to]
	version, newest := p.newest()
	if !ok || newest.read <= 0 || p.now-s.at > maxStampAge {
		return m
	}
	m.Stamp, m.Version = s.value, version
	m.Held = (p.now - s.at).Milliseconds()
	m.Proof, m.Seen = p.age(newest.read), p.age(newest.seen)
	return m
}

// age returns the time since an uptime in milliseconds, rounded up.
func (p *Prover) age(uptime time.Duration) int64 {
	return (p.now - uptime + time.Millisecond - 1).Milliseconds()
}

// maxMillis bounds the times of an announcement in milliseconds, so that they fit a time.Duration.
const maxMillis = 1 << 40

// HandleProof applies the proof of an announcement, and reports whether the announcement returned
// a stamp of this incarnation. The announcement was composed after the stamp was sent and held, so
// the proof is a lower bound however late it arrives.
func (p *Prover) HandleProof(m descriptor.Freshness, uptime time.Duration) bool {
	p.Advance(uptime)
	sent := time.Duration(m.Stamp-p.offset) * time.Microsecond
	if uptime <= 0 || m.Stamp < p.offset || sent < p.started.Truncate(time.Microsecond) || sent > uptime {
		return false
	}
	for _, millis := range []int64{m.Held, m.Proof, m.Seen} {
		if millis < 0 || millis > maxMillis {
			return true
		}
	}
	read := sent + time.Duration(m.Held-m.Proof)*time.Millisecond
	seen := sent + time.Duration(m.Held-m.Seen)*time.Millisecond
	if read <= 0 || max(read, seen) > uptime {
		return true
	}
	p.prove(m.Version, proof{read: read, seen: max(read, seen)})
	if m.Version >= p.version {
		p.heard = max(p.heard, read)
	}
	return true
}

// Prune drops stamps that are too old to be used.
func (p *Prover) Prune() {
	maps.DeleteFunc(p.stamps, func(_ string, s stamp) bool { return p.now-s.at > maxStampAge })
	maps.DeleteFunc(p.sent, func(_ string, at time.Duration) bool { return p.now-at > maxStampAge })
}
