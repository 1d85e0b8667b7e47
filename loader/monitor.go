package loader

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"monsoonswitch/declarer"
	"monsoonswitch/descriptor"
	"monsoonswitch/imitator"
	"monsoonswitch/storer"
)

// checkInterval is the time between two checks of the fleet.
const checkInterval = 25 * time.Millisecond

// grayBackend is a backend server with an injected fault.
type grayBackend struct {
	backend backend
	since   time.Time
	// found is the time within which all instances have to avoid it; 0 means none.
	found time.Duration
	// avoided and ejected are the times at which this was first observed; zero
	// means never.
	avoided, ejected time.Time
}

// drainingBackend is a backend server that announced that it is draining.
type drainingBackend struct {
	backend backend
	since   time.Time
	// after holds the counts drainLimit after the announcement.
	after *imitator.BackendCounts
}

// drainLimit is the time after which a draining backend server must not receive new
// requests.
const drainLimit = 2 * time.Second

// Ejection is one observed ejection. Second is its time in seconds from the start
// of the scenario; Gray reports whether the backend server had a fault.
type Ejection struct {
	Service string  `json:"service"`
	Backend string  `json:"backend"`
	Second  float64 `json:"second"`
	Gray    bool    `json:"gray"`
}

// monitor checks the store and the instances periodically while a scenario runs.
type monitor struct {
	fleet      fleet
	deployment deployment
	started    time.Time
	cancel     context.CancelFunc
	done       chan struct{}

	mu     sync.Mutex
	grays  []*grayBackend
	drains []*drainingBackend
	// seen holds the start of the last ejection of each SERVICE/BACKEND.
	seen      map[string]time.Time
	ejections []Ejection
	// entries holds the number of entries that were added to the list of each service.
	entries map[string]int
	// breaches counts the checks that found fewer backend servers than the floor.
	breaches int
	// unread holds the error of the last check of each service that could not read its
	// ejections.
	unread map[string]error
	// active is the number of ejections in force at the last check.
	active int
}

// newMonitor starts a monitor, which runs until stop is called.
func newMonitor(f fleet, d deployment, started time.Time) *monitor {
	ctx, cancel := context.WithCancel(context.Background())
	m := &monitor{
		fleet:      f,
		deployment: d,
		started:    started,
		cancel:     cancel,
		done:       make(chan struct{}),
		seen:       make(map[string]time.Time),
		unread:     make(map[string]error),
		entries:    make(map[string]int),
	}
	go func() {
		defer close(m.done)
		ticker := time.NewTicker(checkInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				m.check()
			case <-ctx.Done():
				return
			}
		}
	}()
	return m
}

// stop ends the monitor after a last check.
func (m *monitor) stop() {
	m.cancel()
	<-m.done
	m.check()
}

// ejected returns the number of backend servers ejected now.
func (m *monitor) ejected() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.active
}

// expectGray records that a fault was injected into a backend server, which all
// instances have to avoid within found unless it is 0.
func (m *monitor) expectGray(b backend, now time.Time, found time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.grays = append(m.grays, &grayBackend{backend: b, since: now, found: found})
}

// expectDrain records that a backend server was set to draining.
func (m *monitor) expectDrain(b backend) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.drains = append(m.drains, &drainingBackend{backend: b, since: time.Now()})
}

func (m *monitor) check() {
	active := 0
	for _, s := range m.deployment.services {
		list, err := m.ejectionsOf(s.Name)
		// The list may come late, and holds what was in force when it was read.
		active += m.checkEjections(s, list, err, time.Now())
	}
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.active = active
	for _, g := range m.grays {
		if g.avoided.IsZero() && m.isAvoided(g.backend) {
			g.avoided = now
		}
	}
	for _, d := range m.drains {
		if d.after == nil && now.Sub(d.since) >= drainLimit {
			if c, err := d.backend.Counts(); err == nil {
				d.after = &c
			}
		}
	}
}

// expectEntry records that an entry was added to the list of a service.
func (m *monitor) expectEntry(service string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.entries[service]++
}

// checkEjections records new ejections of a service, checks its floor and returns
// the number of ejections in force.
func (m *monitor) checkEjections(declared declarer.Service, list []descriptor.Ejection, err error, now time.Time) int {
	service := declared.Name
	m.mu.Lock()
	defer m.mu.Unlock()
	m.unread[service] = err
	active := 0
	for _, e := range list {
		if !now.Before(e.Until) {
			continue
		}
		active++
		id := service + "/" + e.Backend
		if m.seen[id].Equal(e.Since) {
			continue
		}
		m.seen[id] = e.Since
		m.ejections = append(m.ejections, Ejection{
			Service: service,
			Backend: e.Backend,
			Second:  e.Since.Sub(m.started).Seconds(),
			Gray:    m.markEjected(e, now),
		})
	}
	if size := m.deployment.sizes[service] + m.entries[service]; size-active < declared.MinRemaining(size) {
		m.breaches++
	}
	return active
}

// markEjected records the ejection of a gray backend server. It reports whether the
// ejected backend server has an injected fault.
func (m *monitor) markEjected(e descriptor.Ejection, now time.Time) bool {
	found := false
	for _, g := range m.grays {
		if g.backend.ID() != e.Backend {
			continue
		}
		found = true
		if g.ejected.IsZero() {
			g.ejected = now
		}
	}
	return found
}

// ejectionsOf returns the stored ejections of a service. It returns an error if they
// can't be read.
func (m *monitor) ejectionsOf(service string) ([]descriptor.Ejection, error) {
	item, err := m.fleet.Peek(storer.EjectKey(service))
	if errors.Is(err, storer.ErrNotFound) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	var list []descriptor.Ejection
	if err := json.Unmarshal(item.Value, &list); err != nil {
		return nil, eris.Wrapf(storer.ErrMalformed, "%s: %v", item.Key, err)
	}
	return list, nil
}

// isAvoided reports whether all instances answer and every one that serves the backend
// server's service avoids it or does not consider it ready.
func (m *monitor) isAvoided(b backend) bool {
	dumps := m.fleet.Dumps()
	if countInstances(dumps) < m.fleet.Size() {
		return false
	}
	serving, avoiding := 0, 0
	for _, d := range dumps {
		for _, v := range d.Services {
			if v.Name != b.Service() {
				continue
			}
			serving++
			for _, x := range v.Backends {
				if x.ID == b.ID() && (x.Avoided || x.State != "ready") {
					avoiding++
				}
			}
		}
	}
	return serving > 0 && avoiding == serving
}
