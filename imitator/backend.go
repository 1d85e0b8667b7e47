package imitator

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"
)

// BackendFault describes the faults of a backend server's stand-in.
type BackendFault struct {
	// Stall keeps requests from completing, while health checks still pass.
	Stall bool `json:"stall"`
	// Errors is the share of requests answered with status 500, from 0 to 1.
	Errors float64 `json:"errors"`
	// Cut is the share of responses that are truncated, from 0 to 1.
	Cut float64 `json:"cut"`
	// Late is added to the service time of every request.
	Late time.Duration `json:"late"`
	// Flap switches Stall on and off after each interval of this length; zero
	// leaves Stall as it is.
	Flap time.Duration `json:"flap"`
	// Drain announces the state draining and refuses new requests.
	Drain bool `json:"drain"`
	// Leave announces the state draining and still serves requests.
	Leave bool `json:"leave"`
	// Turn is the share of requests that are turned away unrun, from 0 to 1, and Pause the
	// time in which the backend server then wants no requests of the same instance.
	Turn  float64       `json:"turn"`
	Pause time.Duration `json:"pause"`
	// Repeat makes the backend server write its last refusal on a connection once more
	// before the answer to the next request there.
	Repeat bool `json:"repeat"`
	// Copy makes the backend server write its last refusal on a connection once more before
	// the answer to the next request there, with the identifier of the refused request.
	Copy bool `json:"copy"`
	// Odd is the share of answers with a status or header that can't be delivered, from 0 to 1.
	Odd float64 `json:"odd"`
	// Part is the share of large uploads that get a part of an answer without a length before
	// they are read, from 0 to 1.
	Part float64 `json:"part"`
}

// BackendOptions are the fixed parameters of a stand-in.
type BackendOptions struct {
	// Slots is the number of requests that run concurrently.
	Slots int
	// Backlog is the number of requests that may wait for a slot; further ones
	// are shed.
	Backlog int
	// Median is the median service time.
	Median time.Duration
	// Spread is the standard deviation of the logarithm of the service time.
	Spread float64
	// Cold is how long after a start service times are multiplied by coldFactor.
	Cold time.Duration
	// Down is how long the backend server is down after a crash.
	Down time.Duration
	// Seed seeds the generator of service times and random faults.
	Seed uint64
	// Names are the headers of requests and answers; without them they are those of
	// docs/PLATFORM.md.
	Names Names
}

// BackendCounts holds the counters of a stand-in.
type BackendCounts struct {
	// Begun and Done count requests that started and that completed.
	Begun uint64 `json:"begun"`
	Done  uint64 `json:"done"`
	// Shed counts refused requests. Cancelled counts those that started and ended because
	// the request was cancelled, its body broke or another request crashed the backend
	// server. Crashing requests and truncated answers are in neither Done nor Cancelled.
	Shed      uint64 `json:"shed"`
	Cancelled uint64 `json:"cancelled"`
	Crashes   uint64 `json:"crashes"`
	// Peak is the largest number of requests running or waiting at once.
	Peak int `json:"peak"`
	// DrainedBegun counts the requests that started while draining.
	DrainedBegun uint64 `json:"drainedbegun"`
	// Pressed counts the requests that an instance sent from pauseSlack after it was asked
	// for a pause until the end of that pause.
	Pressed uint64 `json:"pressed"`
	// Copies counts the refusals that were written once more, and Altered the requests that
	// ran with another body than their caller sent.
	Copies  uint64 `json:"copies"`
	Altered uint64 `json:"altered"`
	// Keys maps the token of each request to the number of its runs.
	Keys map[string]int `json:"keys"`
}

// Backend is the stand-in of a backend server.
type Backend struct {
	options BackendOptions
	slots   chan struct{}

	mu     sync.Mutex
	random *rand.Rand
	fault  BackendFault
	// faultSince is when the fault was set; flapping counts from it.
	faultSince time.Time
	started    time.Time
	// downUntil is the end of the last crash.
	downUntil time.Time
	// crash is closed at the next crash; crashHandler is then called with the
	// length of the crash.
	crash        chan struct{}
	crashHandler func(time.Duration)
	// admitted is the number of requests running or waiting for a slot.
	admitted int
	counts   BackendCounts
	// pauses holds the pause that each instance was last asked for, by its name.
	pauses map[string]pause
	// refusals holds the last refusal of each connection while Copy is set.
	refusals map[string]refusal
	// name is the name that requests must expect; empty means that any may come.
	name string
}

// pause is the time in which an instance is asked to send no requests.
type pause struct{ from, until time.Time }

// pauseSlack is the time in which an instance must stop sending requests after it was asked
// for a pause.
const pauseSlack = 500 * time.Millisecond

// NewBackend returns a stand-in that started at now.
func NewBackend(o BackendOptions, now time.Time) *Backend {
	return &Backend{
		options:      o,
		slots:        make(chan struct{}, o.Slots),
		random:       rand.New(rand.NewPCG(o.Seed, 1)),
		started:      now,
		crash:        make(chan struct{}),
		crashHandler: func(time.Duration) {},
		counts:       BackendCounts{Keys: make(map[string]int)},
		pauses:       make(map[string]pause),
		refusals:     make(map[string]refusal),
	}
}

// SetName replaces the name that requests must expect. Others are misdirected.
func (b *Backend) SetName(name string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.name = name
}

// expected reports whether a request that expects a backend server may run here.
func (b *Backend) expected(name string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.name == "" || name == b.name
}

// SetFault replaces the faults; flapping starts at now.
func (b *Backend) SetFault(f BackendFault, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fault = f
	b.faultSince = now
	clear(b.refusals)
}

// Counts returns a copy of the counters.
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

// faultAt returns the faults at now, with Stall set according to Flap.
func (b *Backend) faultAt(now time.Time) BackendFault {
	b.mu.Lock()
	defer b.mu.Unlock()
	f := b.fault
	if f.Flap > 0 {
		f.Stall = int(now.Sub(b.faultSince)/f.Flap)%2 == 0
	}
	return f
}

// serviceTime draws the service time of a request with the given weight that starts
// at now.
func (b *Backend) serviceTime(weight float64, now time.Time) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	d := float64(b.options.Median) * weight * math.Exp(b.options.Spread*b.random.NormFloat64())
	if now.Sub(b.started) < b.options.Cold {
		d *= coldFactor
	}
	return time.Duration(d)
}

// coldFactor multiplies service times during a cold start.
const coldFactor = 4

// draw returns true with the given probability.
func (b *Backend) draw(share float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return share > 0 && b.random.Float64() < share
}

// Crash breaks all connections and refuses new ones for the time set by Down.
func (b *Backend) Crash(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.counts.Crashes++
	b.downUntil = now.Add(b.options.Down)
	b.started = b.downUntil
	close(b.crash)
	b.crash = make(chan struct{})
	go b.crashHandler(b.options.Down)
}

// setCrashHandler sets the function that is called at each crash with the length of
// the crash.
func (b *Backend) setCrashHandler(f func(time.Duration)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.crashHandler = f
}

// down reports whether the backend server is down at now.
func (b *Backend) down(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return now.Before(b.downUntil)
}

// crashed returns a channel that is closed at the next crash.
func (b *Backend) crashed() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.crash
}

// admit reports whether there is a slot or room in the backlog for a new request. It
// counts the request as admitted or as shed.
func (b *Backend) admit() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.admitted >= b.options.Slots+b.options.Backlog || b.fault.Drain {
		b.counts.Shed++
		return false
	}
	b.admitted++
	b.counts.Peak = max(b.counts.Peak, b.admitted)
	return true
}

// turnAway reports whether a request of an instance that arrives at now is turned away,
// and records the pause. It counts requests within an earlier pause.
func (b *Backend) turnAway(instance string, now time.Time) (time.Duration, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if p := b.pauses[instance]; now.After(p.from.Add(pauseSlack)) && now.Before(p.until) {
		b.counts.Pressed++
	}
	if b.fault.Turn <= 0 || b.random.Float64() >= b.fault.Turn {
		return 0, false
	}
	b.counts.Shed++
	b.pauses[instance] = pause{from: now, until: now.Add(b.fault.Pause)}
	return b.fault.Pause, true
}

// release ends an admitted request.
func (b *Backend) release() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.admitted--
}

// begin counts the start of a request.
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

// alter counts a request that ran with another body than its caller sent.
func (b *Backend) alter() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.counts.Altered++
}

// end counts the end of a request; done reports whether it completed.
func (b *Backend) end(done bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if done {
		b.counts.Done++
	} else {
		b.counts.Cancelled++
	}
}

// load returns the number of slots in use and the number of slots.
func (b *Backend) load() (int, int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return min(b.admitted, b.options.Slots), b.options.Slots
}

// state returns the state that responses announce at now: ready, cold or draining.
func (b *Backend) state(now time.Time) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case b.fault.Drain || b.fault.Leave:
		return "draining"
	case now.Sub(b.started) < b.options.Cold:
		return "cold"
	}
	return "ready"
}
