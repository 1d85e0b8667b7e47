package balancer

import (
	"fmt"
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
)

// crash lists the backend servers that crashed while they ran a request.
type crash struct {
	// backends holds distinct IDs in its first count entries.
	backends [crashLimit]string
	count    int
	// at is when the last backend server crashed.
	at time.Time
}

// WithBackend returns c with one more backend server.
func (c crash) WithBackend(id string, at time.Time) crash {
	c.at = at
	if c.count == crashLimit || c.has(id) {
		return c
	}
	c.backends[c.count] = id
	c.count++
	return c
}

// WithoutBackend returns c without a backend server that did not crash.
func (c crash) WithoutBackend(id string) crash {
	var result crash
	for i := range c.count {
		if c.backends[i] != id {
			result = result.WithBackend(c.backends[i], c.at)
		}
	}
	return result
}

func (c crash) has(id string) bool {
	for i := range c.count {
		if c.backends[i] == id {
			return true
		}
	}
	return false
}

// poisoned reports whether requests with a fingerprint are refused.
func (b *Balancer[E, D, P, L]) poisoned(fingerprint uint64) bool {
	c, ok := b.crashes.Get(fingerprint)
	return ok && c.count >= crashLimit && b.now.Sub(c.at) < crashTime
}

func (b *Balancer[E, D, P, L]) crashedElsewhere(fingerprint uint64, id string) bool {
	c, ok := b.crashes.Get(fingerprint)
	return ok && (c.count > 1 || c.count == 1 && !c.has(id))
}

// recordCrash records a crash and notifies the other owners.
func (b *Balancer[E, D, P, L]) recordCrash(fingerprint uint64, id string) {
	b.addCrash(fingerprint, id)
	b.noteCrash(descriptor.NoteCrash, fingerprint, id, "seen here")
	b.sendToOwners(descriptor.CrashReport{Service: b.service.Name, Fingerprint: fingerprint, Backend: id})
}

// noteCrash logs a change of the crashes that are recorded for a request.
func (b *Balancer[E, D, P, L]) noteCrash(number int, fingerprint uint64, id, source string) {
	c, _ := b.crashes.Get(fingerprint)
	b.note(number, id, fmt.Sprintf("%s, crashes %d, %s", fingerprintText(fingerprint), c.count, source))
}

// fingerprintText returns the form of a fingerprint in logs.
func fingerprintText(fingerprint uint64) string { return fmt.Sprintf("request %016x", fingerprint) }

func (b *Balancer[E, D, P, L]) addCrash(fingerprint uint64, id string) {
	c, _ := b.crashes.Get(fingerprint)
	c = c.WithBackend(id, b.now)
	b.crashes.Put(fingerprint, c)
	if c.count >= crashLimit {
		b.note(descriptor.NotePoison, id, fingerprintText(fingerprint)+" is refused for 10 min")
	}
}

// clearCrash removes the suspicion from a request that was answered.
func (b *Balancer[E, D, P, L]) clearCrash(fingerprint uint64) {
	if b.crashes.Len() == 0 {
		return
	}
	c, ok := b.crashes.Get(fingerprint)
	if !ok || c.count >= crashLimit {
		return
	}
	b.crashes.Delete(fingerprint)
	b.noteCrash(descriptor.NoteCrashWithdrawn, fingerprint, "", "answered")
	b.sendToOwners(descriptor.CrashReport{Service: b.service.Name, Fingerprint: fingerprint, Cleared: true})
}

// withdrawCrashes removes the crashes recorded for a backend server that was found to
// be up.
func (b *Balancer[E, D, P, L]) withdrawCrashes(id string) {
	for _, fingerprint := range b.crashes.Keys() {
		c, _ := b.crashes.Get(fingerprint)
		if !c.has(id) {
			continue
		}
		c = c.WithoutBackend(id)
		if c.count == 0 {
			b.crashes.Delete(fingerprint)
		} else {
			b.crashes.Put(fingerprint, c)
		}
		b.noteCrash(descriptor.NoteCrashWithdrawn, fingerprint, id, "accepts connections")
		b.sendToOwners(descriptor.CrashReport{Service: b.service.Name, Fingerprint: fingerprint, Backend: id, Cleared: true})
	}
}

// HandleCrash handles a crash, or its withdrawal, reported by another owner.
func (b *Balancer[E, D, P, L]) HandleCrash(now time.Time, m descriptor.CrashReport) {
	b.advance(now)
	if !m.Cleared {
		b.addCrash(m.Fingerprint, m.Backend)
		b.noteCrash(descriptor.NoteCrash, m.Fingerprint, m.Backend, "reported")
		return
	}
	c, ok := b.crashes.Get(m.Fingerprint)
	if !ok {
		return
	}
	c = c.WithoutBackend(m.Backend)
	if m.Backend == "" || c.count == 0 {
		b.crashes.Delete(m.Fingerprint)
		return
	}
	b.crashes.Put(m.Fingerprint, c)
}
