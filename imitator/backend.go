package imitator

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"
)

// BackendFault is what is wrong with the stand-in of a backend server.
type BackendFault struct {
	// Stall holds all real work while health checks pass.
	Stall bool `json:"stall"`
	// Errors is the share of work answered with status 500.
	Errors float64 `json:"errors"`
	// Cut is the share of answers that break off.
	Cut float64 `json:"cut"`
	// Late delays every answer.
	Late time.Duration `json:"late"`
	// Flap switches Stall on and off with this period; zero means not at all.
	Flap time.Duration `json:"flap"`
	// Drain announces that the backend server leaves, and refuses new work.
	Drain bool `json:"drain"`
}

// BackendOptions are the constant parts of the stand-in.
type BackendOptions struct {
	// Slots is the number of requests that run at a time.
	Slots int
	// Backlog is the number of requests that wait before work is shed.
	Backlog int
	// Median is the median service time.
	Median time.Duration
	// Spread is the standard deviation of the logarithm of the service time.
	Spread float64
	// Cold is how long the service time is longer after a start.
	Cold time.Duration
	// Down is how long a crash takes the backend server down.
	Down time.Duration
	// Seed makes the service times repeatable.
	Seed uint64
}

// BackendCounts is what the stand-in counted.
type BackendCounts struct {
	// Begun and Done count requests that began and that ran to their end.
	Begun uint64 `json:"begun"`
	Done  uint64 `json:"done"`
	// Shed counts refused requests, and Cancelled those given up by the fleet.
	Shed      uint64 `json:"shed"`
	Cancelled uint64 `json:"cancelled"`
	Crashes   uint64 `json:"crashes"`
	// Peak is the largest number of requests at a time.
	Peak int `json:"peak"`
	// DrainedBegun counts the requests that began while draining.
	DrainedBegun uint64 `json:"drainedbegun"`
	// Keys counts the runs by the token of the request.
	Keys map[string]int `json:"keys"`
}

// Backend is the stand-in of a backend server.
type Backend struct {
	options BackendOptions
	slots   chan struct{}

	mu      sync.Mutex
	random  *rand.Rand
	fault   BackendFault
	flapAt  time.Time
	started time.Time
	// downUntil is when a crash is over.
	downUntil time.Time
	// crash is closed at the next crash, and stopped is called then.
	crash   chan struct{}
	stopped func(time.Duration)
	inside  int
	counts  BackendCounts
}

// NewBackend returns a stand-in that starts at now.
func NewBackend(o BackendOptions, now time.Time) *Backend {
	return &Backend{
		options: o,
		slots:   make(chan struct{}, o.Slots),
		random:  rand.New(rand.NewPCG(o.Seed, 1)),
		started: now,
		crash:   make(chan struct{}),
		stopped: func(time.Duration) {},
		counts:  BackendCounts{Keys: make(map[string]int)},
	}
}

// SetFault replaces the faults at now.
func (b *Backend) SetFault(f BackendFault, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fault = f
	b.flapAt = now
}

// Counts returns what was counted so far.
func (b *Backend) Counts() BackendCounts {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.counts
	c.Keys = make(map[string]int, len(b.counts.Keys))
	for k, n := range b.counts.Keys {
		c.Keys[k] = n
	}
	return c
}

// faultAt returns the faults in force at now.
func (b *Backend) faultAt(now time.Time) BackendFault {
	b.mu.Lock()
	defer b.mu.Unlock()
	f := b.fault
	if f.Flap > 0 {
		f.Stall = int(now.Sub(b.flapAt)/f.Flap)%2 == 0
	}
	return f
}

// serviceTime draws the time that work with the given weight takes at now.
func (b *Backend) serviceTime(weight float64, now time.Time) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	d := float64(b.options.Median) * weight * math.Exp(b.options.Spread*b.random.NormFloat64())
	if now.Sub(b.started) < b.options.Cold {
		d *= coldFactor
	}
	return time.Duration(d)
}

// coldFactor is how many times longer work takes during a cold start.
const coldFactor = 4

// chance draws whether something with the given share happens.
func (b *Backend) chance(share float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return share > 0 && b.random.Float64() < share
}

// Crash breaks all connections and refuses new ones for a while.
func (b *Backend) Crash(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.counts.Crashes++
	b.downUntil = now.Add(b.options.Down)
	b.started = b.downUntil
	close(b.crash)
	b.crash = make(chan struct{})
	go b.stopped(b.options.Down)
}

// onCrash sets what is called at each crash with its length.
func (b *Backend) onCrash(f func(time.Duration)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stopped = f
}

// down tells whether the backend server is down at now.
func (b *Backend) down(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return now.Before(b.downUntil)
}

func (b *Backend) crashed() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.crash
}

// enter counts a request that came and tells whether there is room for it.
func (b *Backend) enter() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.inside >= b.options.Slots+b.options.Backlog || b.fault.Drain {
		b.counts.Shed++
		return false
	}
	b.inside++
	b.counts.Peak = max(b.counts.Peak, b.inside)
	return true
}

func (b *Backend) leave() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.inside--
}

// begin counts the run of a request.
func (b *Backend) begin(token string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.counts.Begun++
	if b.fault.Drain {
		b.counts.DrainedBegun++
	}
	if token != "" {
		b.counts.Keys[token]++
	}
}

func (b *Backend) end(done bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if done {
		b.counts.Done++
	} else {
		b.counts.Cancelled++
	}
}

// load returns the requests inside and the slots.
func (b *Backend) load() (int, int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return min(b.inside, b.options.Slots), b.options.Slots
}

// state returns the name of the health that answers announce at now.
func (b *Backend) state(now time.Time) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case b.fault.Drain:
		return "draining"
	case now.Sub(b.started) < b.options.Cold:
		return "cold"
	}
	return "ready"
}
