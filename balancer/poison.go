package balancer

import (
	"time"

	"monsoonswitch/descriptor"
)

const (
	// maxCrashes bounds the suspected fingerprints of one generation.
	maxCrashes = 2048
	// crashLimit is the number of backend servers that a request may bring down.
	crashLimit = 2
	// crashTime is how long a breakdown is held against a request.
	crashTime = 10 * time.Minute
)

// crash lists the backend servers that broke down while they ran a request.
type crash struct {
	// backends holds distinct IDs in its first count entries.
	backends [crashLimit]string
	count    int
	// at is when the last backend server broke down.
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

// WithoutBackend returns c without a backend server that did not break down.
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

// poisoned tells whether requests with a fingerprint are refused.
func (b *Balancer[E, D, P, L]) poisoned(fingerprint uint64) bool {
	c, ok := b.crashes.Get(fingerprint)
	return ok && c.count >= crashLimit && b.now.Sub(c.at) < crashTime
}

func (b *Balancer[E, D, P, L]) crashedElsewhere(fingerprint uint64, id string) bool {
	c, ok := b.crashes.Get(fingerprint)
	return ok && (c.count > 1 || c.count == 1 && !c.has(id))
}

// recordCrash adds a breakdown and tells the other serving instances.
func (b *Balancer[E, D, P, L]) recordCrash(fingerprint uint64, id string) {
	b.addCrash(fingerprint, id)
	b.tell(descriptor.Crash{Service: b.service.Name, Fingerprint: fingerprint, Backend: id})
}

func (b *Balancer[E, D, P, L]) addCrash(fingerprint uint64, id string) {
	c, _ := b.crashes.Get(fingerprint)
	c = c.WithBackend(id, b.now)
	b.crashes.Put(fingerprint, c)
	if c.count >= crashLimit {
		b.note(descriptor.NotePoison, id, "request refused from now on")
	}
}

// clearCrash takes the suspicion off a request that was answered.
func (b *Balancer[E, D, P, L]) clearCrash(fingerprint uint64) {
	if b.crashes.Len() == 0 {
		return
	}
	c, ok := b.crashes.Get(fingerprint)
	if !ok || c.count >= crashLimit {
		return
	}
	b.crashes.Delete(fingerprint)
	b.tell(descriptor.Crash{Service: b.service.Name, Fingerprint: fingerprint, Cleared: true})
}

// absolve takes back the crashes blamed on requests of a backend server that
// turned out to be up.
func (b *Balancer[E, D, P, L]) absolve(id string) {
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
		b.tell(descriptor.Crash{Service: b.service.Name, Fingerprint: fingerprint, Backend: id, Cleared: true})
	}
}

// HearCrash takes in a breakdown at another serving instance.
func (b *Balancer[E, D, P, L]) HearCrash(now time.Time, m descriptor.Crash) {
	b.advance(now)
	if !m.Cleared {
		b.addCrash(m.Fingerprint, m.Backend)
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
