package main

import (
	"sync"
	"testing"
	"time"

	"monsoonswitch/asserter"
)

// TestPlatformCrashingRequest guards against a request that crashes backend servers being sent on
// by one process after the other. It comes to two instances first, and to all others once the
// crashes can be known there. One of these starts again meanwhile.
func TestPlatformCrashingRequest(t *testing.T) {
	const (
		settled = 3 * time.Second
		// most is the largest number of crashes later than settled after the third.
		most = 3
	)
	f := newPlatformFleet(t, 8, 20)
	var mu sync.Mutex
	var crashes []time.Time
	var running sync.WaitGroup
	t.Cleanup(running.Wait)
	for _, b := range f.backends {
		b.set(func(b *platformBackend) {
			b.crashPath = "/once/crash"
			b.onCrash = func(b *platformBackend) {
				mu.Lock()
				crashes = append(crashes, time.Now())
				mu.Unlock()
				running.Add(1)
				defer running.Done()
				b.crash()
				f.store.set("servers/"+b.id, b.entry("ready"))
			}
		})
	}
	send := func(p *platformInstance) {
		f.send(p, "POST", "ledger.example", "/once/crash", "order 7")
		time.Sleep(100 * time.Millisecond)
	}
	for i := range 6 {
		send(f.instances[i%2])
	}
	time.Sleep(settled)
	for i := range 40 {
		if i == 10 {
			f.kill(f.instances[7])
			f.start(f.instances[7])
		}
		send(f.instances[2+i%6])
	}
	mu.Lock()
	defer mu.Unlock()
	asserter.AtLeast(t, "crashes", len(crashes), 2)
	late := 0
	for _, at := range crashes {
		if at.Sub(crashes[min(2, len(crashes)-1)]) > settled {
			late++
		}
	}
	t.Logf("%d crashes, %d of them late", len(crashes), late)
	asserter.AtMost(t, "crashes later than settled after the third", late, most)
	status, _ := f.send(f.instances[0], "POST", "ledger.example", "/once/other", "order 7")
	asserter.Equal(t, "status of another request", status, 200)
}
