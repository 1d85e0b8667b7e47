package loader

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"monsoonswitch/descriptor"
	"monsoonswitch/imitator"
	"monsoonswitch/storer"
)

// watchEvery is the time between looks at the fleet.
const watchEvery = 25 * time.Millisecond

// gray is a backend server with a fault.
type gray struct {
	backend backend
	since   time.Time
	// avoided and ejected are when that was seen first; zero means never.
	avoided, ejected time.Time
}

// drain is a backend server that announced its leaving.
type drain struct {
	backend backend
	since   time.Time
	// after holds the counts drainTime after the announcement.
	after *imitator.BackendCounts
}

// drainTime is the time after which a leaving backend server gets no new work.
const drainTime = 2 * time.Second

// Ejection is one ejection that was seen.
type Ejection struct {
	Service string  `json:"service"`
	Backend string  `json:"backend"`
	Second  float64 `json:"second"`
	Gray    bool    `json:"gray"`
}

// watch looks at the store and at the instances while a scenario runs.
type watch struct {
	fleet      fleet
	deployment deployment
	started    time.Time
	cancel     context.CancelFunc
	done       chan struct{}

	mu        sync.Mutex
	grays     []*gray
	drains    []*drain
	seen      map[string]time.Time
	ejections []Ejection
	breaches  int
	holding   int
}

func newWatch(f fleet, d deployment, started time.Time) *watch {
	ctx, cancel := context.WithCancel(context.Background())
	w := &watch{
		fleet:      f,
		deployment: d,
		started:    started,
		cancel:     cancel,
		done:       make(chan struct{}),
		seen:       make(map[string]time.Time),
	}
	go func() {
		defer close(w.done)
		ticker := time.NewTicker(watchEvery)
		defer ticker.Stop()
		for {
			select {
			case now := <-ticker.C:
				w.look(now)
			case <-ctx.Done():
				return
			}
		}
	}()
	return w
}

func (w *watch) stop() {
	w.cancel()
	<-w.done
}

// ejected returns the number of backend servers ejected now.
func (w *watch) ejected() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.holding
}

func (w *watch) expectGray(b backend, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.grays = append(w.grays, &gray{backend: b, since: now})
}

func (w *watch) expectDrain(b backend) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.drains = append(w.drains, &drain{backend: b, since: time.Now()})
}

func (w *watch) look(now time.Time) {
	holding := 0
	for _, s := range w.deployment.services {
		holding += w.lookAtStore(s.Name, s.Keep(w.deployment.sizes[s.Name]), now)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.holding = holding
	for _, g := range w.grays {
		if g.avoided.IsZero() && w.isAvoided(g.backend) {
			g.avoided = now
		}
	}
	for _, d := range w.drains {
		if d.after == nil && now.Sub(d.since) >= drainTime {
			c := d.backend.Counts()
			d.after = &c
		}
	}
}

// lookAtStore reads the ejections of a service and checks its floor.
func (w *watch) lookAtStore(service string, keep int, now time.Time) int {
	list := w.ejectionsOf(service)
	w.mu.Lock()
	defer w.mu.Unlock()
	holding := 0
	for _, e := range list {
		if !now.Before(e.Until) {
			continue
		}
		holding++
		id := service + "/" + e.Backend
		if w.seen[id].Equal(e.Since) {
			continue
		}
		w.seen[id] = e.Since
		w.ejections = append(w.ejections, Ejection{
			Service: service,
			Backend: e.Backend,
			Second:  e.Since.Sub(w.started).Seconds(),
			Gray:    w.markEjected(e, now),
		})
	}
	if w.deployment.sizes[service]-holding < keep {
		w.breaches++
	}
	return holding
}

// markEjected notes the ejection of a gray backend server and tells whether it
// is one.
func (w *watch) markEjected(e descriptor.Ejection, now time.Time) bool {
	found := false
	for _, g := range w.grays {
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

// ejectionsOf reads the store past its faults.
func (w *watch) ejectionsOf(service string) []descriptor.Ejection {
	item, ok := w.fleet.Peek(storer.EjectKey(service))
	if !ok {
		return nil
	}
	var list []descriptor.Ejection
	if json.Unmarshal(item.Value, &list) != nil {
		return nil
	}
	return list
}

// isAvoided tells whether every instance that serves a backend server's service
// prefers others.
func (w *watch) isAvoided(b backend) bool {
	serving, avoiding := 0, 0
	for _, d := range w.fleet.Dumps() {
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
