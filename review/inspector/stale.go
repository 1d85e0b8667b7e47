package main

import (
	"sync"
	"time"
)

const (
	// turnedAway is the number of instances that the store turns away, for awayTime.
	turnedAway = 12
	awayTime   = 9 * time.Second
	// configurationBound is config_apply_s and skew_max_s together.
	configurationBound = 7 * time.Second
	pausePath          = "/pause/"
)

// playStale moves a route to another service. With trouble, the open connections between the instances have
// gone silent before, and the store turns a third of the instances away.
func playStale(f *fleet, trouble bool) (bool, error) {
	routes := func(service string) []route {
		return []route{{name: "r-pause", host: "jepu9.example", path: pausePath, kind: "unsafe", service: service, timeout: 4, attempts: 2}}
	}
	f.store.put("op/config", configuration(7, routes("kliniki"), "kliniki", "malipo"))
	if err := f.addBackends("malipo", 4, slotsEach, workTime); err != nil {
		return false, err
	}
	if err := f.setUp("kliniki", 4, siteInstances); err != nil {
		return false, err
	}
	if trouble {
		f.silenceLinks()
	}
	time.Sleep(stableWindow + 200*time.Millisecond)
	if trouble {
		f.note("the store turns %d instances away for %v", turnedAway, awayTime)
		for _, p := range f.instances[:turnedAway] {
			p.entrance.turnAway.Store(true)
		}
	}
	end := time.Now().Add(awayTime)
	time.Sleep(200 * time.Millisecond)
	acked := f.store.put("op/config", configuration(9, routes("malipo"), "kliniki", "malipo"))
	f.note("the store has acknowledged r9, which moves the route from kliniki to malipo")
	late := f.lateRuns(acked, end)
	f.note("requests sent later than %v after that to the instances and run by the old service: %d, 0 allowed", configurationBound, late)
	return late > 0, nil
}

// lateRuns sends requests to all instances until end, and returns how many of those that were sent later than
// configurationBound after a configuration was acknowledged were run by the first service.
func (f *fleet) lateRuns(acked, end time.Time) int {
	var group sync.WaitGroup
	var mu sync.Mutex
	late := make(map[string]bool)
	for _, p := range f.instances {
		group.Go(func() {
			for time.Now().Before(end) {
				isLate := time.Since(acked) > configurationBound
				a := f.send(p, "POST", "jepu9.example", pausePath, 5*time.Second)
				mu.Lock()
				late[a.id] = isLate
				mu.Unlock()
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	group.Wait()
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, r := range f.runs {
		if late[r.id] && r.service == f.backends[len(f.backends)-1].service {
			n++
		}
	}
	return n
}
