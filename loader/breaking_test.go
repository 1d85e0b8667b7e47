package loader

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"monsoonswitch/asserter"
	"monsoonswitch/descriptor"
	"monsoonswitch/forwarder"
	"monsoonswitch/imitator"
	"monsoonswitch/storer"
)

var errBroken = errors.New("broken on purpose")

// fakeFleet is a fleet of one HTTP server that acts as its instances and backend servers.
// It holds every guarantee but those that a test breaks by its fields.
type fakeFleet struct {
	server   *httptest.Server
	backends []backend
	// answer handles the n-th request for work, counted from 1, and reports whether it did.
	answer func(f *fakeFleet, w http.ResponseWriter, token string, n int) bool
	// tally changes the fleet's own counts before they are read.
	tally func(*descriptor.Tally)
	// peekError is the error of reads of the store, faultError that of all faults.
	peekError, faultError error
	// size is the number of instances, of which answering answer.
	size, answering int
	// blind is set if no instance avoids a gray backend server.
	blind bool

	mu               sync.Mutex
	number           int
	received, served uint64
	runs             map[string]int
	ejections        []byte
	grays            map[string]bool
}

// fakeBackend is a backend server of a fakeFleet.
type fakeBackend struct {
	fleet *fakeFleet
	id    string
	// count changes the counts before they are read.
	count func(*imitator.BackendCounts)
	err   error
}

func newFakeFleet() *fakeFleet {
	f := &fakeFleet{size: 3, answering: 3, runs: make(map[string]int), grays: make(map[string]bool)}
	for i := range 11 {
		f.backends = append(f.backends, &fakeBackend{fleet: f, id: fmt.Sprintf("ledger-%d", i)})
	}
	f.server = httptest.NewServer(f)
	return f
}

// ServeHTTP names the server as the only address, or serves a request for work.
func (f *fakeFleet) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == forwarder.AddressPath {
		address := strings.TrimPrefix(f.server.URL, "http://")
		_ = json.NewEncoder(w).Encode(forwarder.AddressAnswer{Addresses: []forwarder.Address{{Address: address, Ticket: "t"}}, Keep: 1})
		return
	}
	token := r.URL.Query().Get(imitator.TokenParameter)
	f.mu.Lock()
	f.received++
	f.number++
	n := f.number
	f.mu.Unlock()
	if f.answer != nil && f.answer(f, w, token, n) {
		return
	}
	f.run(token)
	f.countServed()
	size, _ := strconv.Atoi(r.URL.Query().Get(imitator.SizeParameter))
	_, _ = io.WriteString(w, imitator.Body(token, size))
}

func (f *fakeFleet) run(token string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.runs[token]++
}

func (f *fakeFleet) countServed() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.served++
}

func (b *fakeBackend) Service() string { return "ledger" }

func (b *fakeBackend) ID() string { return b.id }

func (b *fakeBackend) SetFault(fault imitator.BackendFault) error {
	b.fleet.mu.Lock()
	defer b.fleet.mu.Unlock()
	b.fleet.grays[b.id] = fault.Stall && !b.fleet.blind
	return b.fleet.faultError
}

func (b *fakeBackend) Crash() error { return b.fleet.faultError }

func (b *fakeBackend) Entry() descriptor.Backend { return descriptor.Backend{ID: b.id} }

// Counts returns the runs of the whole fleet as those of the first backend server.
func (b *fakeBackend) Counts() (imitator.BackendCounts, error) {
	b.fleet.mu.Lock()
	defer b.fleet.mu.Unlock()
	c := imitator.BackendCounts{Keys: make(map[string]int)}
	if b.id == "ledger-0" {
		for k, n := range b.fleet.runs {
			c.Keys[k] = n
		}
	}
	if b.count != nil {
		b.count(&c)
	}
	return c, b.err
}

func (f *fakeFleet) Entries() []string { return []string{strings.TrimPrefix(f.server.URL, "http://")} }

func (f *fakeFleet) Backends() []backend { return f.backends }

func (f *fakeFleet) Size() int { return f.size }

func (f *fakeFleet) SetStoreFault(imitator.StoreFault) error { return f.faultError }

func (f *fakeFleet) Register(string, descriptor.Backend) error { return f.faultError }

func (f *fakeFleet) Deregister(string, string) error { return f.faultError }

func (f *fakeFleet) Peek(key string) (storer.Item, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.peekError != nil {
		return storer.Item{}, f.peekError
	}
	if key == storer.EjectKey("ledger") && f.ejections != nil {
		return storer.Item{Key: key, Value: f.ejections}, nil
	}
	if key != storer.TallyKey("ledger") {
		return storer.Item{}, storer.ErrNotFound
	}
	t := descriptor.Tally{
		Service: "ledger", Instance: "entry-0", Version: 1, Received: f.received, Final: true,
		Counts: []descriptor.Count{{Class: "lookup", Reason: descriptor.Served, Outcome: descriptor.Ran, Requests: f.served}},
	}
	if f.tally != nil {
		f.tally(&t)
	}
	data, err := json.Marshal([]descriptor.Tally{t})
	return storer.Item{Key: key, Value: data}, err
}

func (f *fakeFleet) Dumps() []descriptor.Dump {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []descriptor.BackendDump
	for id, avoided := range f.grays {
		list = append(list, descriptor.BackendDump{ID: id, Avoided: avoided, State: "ready"})
	}
	var result []descriptor.Dump
	for i := range f.answering {
		result = append(result, descriptor.Dump{
			Instance: descriptor.Member{ID: fmt.Sprintf("entry-%d", i)},
			Services: []descriptor.ServiceDump{{Name: "ledger", Backends: list}},
		})
	}
	return result
}

func (f *fakeFleet) Replace() error { return f.faultError }

func (f *fakeFleet) Cut(int) error { return f.faultError }

func (f *fakeFleet) Heal(int) {}

func (f *fakeFleet) Finish() {}

func (f *fakeFleet) Close() { f.server.Close() }

// refuse answers that a request was refused.
func refuse(w http.ResponseWriter, reason, outcome string) {
	w.Header().Set("Monsoon-Reason", reason)
	w.Header().Set("Monsoon-Outcome", outcome)
	w.WriteHeader(http.StatusServiceUnavailable)
}

// every returns an answer that is given to every request from the second one on.
func every(answer func(f *fakeFleet, w http.ResponseWriter, token string)) func(*fakeFleet, http.ResponseWriter, string, int) bool {
	return func(f *fakeFleet, w http.ResponseWriter, token string, _ int) bool {
		answer(f, w, token)
		return true
	}
}

// once returns an answer that is given to the fifth request for notes only.
func once(answer func(f *fakeFleet, w http.ResponseWriter, token string)) func(*fakeFleet, http.ResponseWriter, string, int) bool {
	var mu sync.Mutex
	notes := 0
	return func(f *fakeFleet, w http.ResponseWriter, token string, _ int) bool {
		if !strings.HasPrefix(token, "notes") {
			return false
		}
		mu.Lock()
		notes++
		fifth := notes == 5
		mu.Unlock()
		if fifth {
			answer(f, w, token)
		}
		return fifth
	}
}

// breakage breaks one guarantee on purpose.
type breakage struct {
	name string
	// fleet breaks the fleet and scenario the scenario; nil leaves them as they are.
	fleet    func(*fakeFleet)
	scenario func(*Scenario)
	// want lists the checks that must fail, by the first words of their violations.
	want []string
}

// withFault returns a function that adds a fault of the second backend server of ledger.
func withFault(kind FaultKind, length time.Duration) func(*Scenario) {
	return func(s *Scenario) {
		s.Duration = length
		s.Faults = []Fault{{Name: "fault", Kind: kind, Service: "ledger", Index: 1, To: time.Hour, Found: time.Second}}
	}
}

// brokenTime is the duration of the load of most breakages.
const brokenTime = 500 * time.Millisecond

// withPoison makes all lookups poison.
func withPoison(s *Scenario) { s.Work[0].Poison = 1000 }

// crash sets the number of crashes of the first backend server.
func crash(n uint64) func(*fakeFleet) {
	return func(f *fakeFleet) {
		f.backends[0].(*fakeBackend).count = func(c *imitator.BackendCounts) { c.Crashes = n }
		f.answer = func(_ *fakeFleet, w http.ResponseWriter, token string, _ int) bool {
			if !strings.HasPrefix(token, "poison") {
				return false
			}
			refuse(w, "poisoned", "not-run")
			return true
		}
	}
}

// ejectAll stores ejections of all backend servers of ledger.
func ejectAll(f *fakeFleet) {
	var list []descriptor.Ejection
	for i := range 11 {
		list = append(list, descriptor.Ejection{Backend: fmt.Sprintf("ledger-%d", i), Since: time.Now(), Until: time.Now().Add(time.Hour)})
	}
	f.ejections, _ = json.Marshal(list)
}

var breakages = []breakage{
	{name: "nothing"},
	{name: "nothing, with a gray backend server", scenario: withFault(FaultStall, brokenTime)},
	{name: "nothing, with a drain", scenario: withFault(FaultDrain, 3*time.Second)},
	{name: "nothing, with poison", scenario: withPoison, fleet: crash(1)},
	{
		name: "nothing is served", want: []string{"served"},
		fleet: func(f *fakeFleet) {
			f.answer = every(func(_ *fakeFleet, w http.ResponseWriter, _ string) { refuse(w, "overloaded", "not-run") })
		},
	},
	{
		name: "all is served after the target", want: []string{"target"},
		fleet: func(f *fakeFleet) {
			f.answer = func(*fakeFleet, http.ResponseWriter, string, int) bool {
				time.Sleep(1200 * time.Millisecond)
				return false
			}
		},
	},
	{name: "no work", want: []string{"served"}, scenario: func(s *Scenario) { s.Work = nil }},
	{
		name: "an answer of another request", want: []string{"whole answers"},
		fleet: func(f *fakeFleet) {
			f.answer = once(func(f *fakeFleet, w http.ResponseWriter, token string) {
				f.run(token)
				f.countServed()
				_, _ = io.WriteString(w, imitator.Body("lookups-1-0", 256))
			})
		},
	},
	{
		name: "a truncated answer that looks whole", want: []string{"whole answers"},
		fleet: func(f *fakeFleet) {
			f.answer = once(func(f *fakeFleet, w http.ResponseWriter, token string) {
				f.run(token)
				f.countServed()
				_, _ = io.WriteString(w, imitator.Body(token, 100))
			})
		},
	},
	{
		name: "an answer without a run", want: []string{"whole answers"},
		fleet: func(f *fakeFleet) {
			f.answer = once(func(f *fakeFleet, w http.ResponseWriter, token string) {
				f.countServed()
				_, _ = io.WriteString(w, imitator.Body(token, 256))
			})
		},
	},
	{
		name: "a lost answer that the fleet counts as served", want: []string{"report"},
		fleet: func(f *fakeFleet) {
			f.answer = once(func(f *fakeFleet, _ http.ResponseWriter, token string) {
				f.run(token)
				f.countServed()
				panic(http.ErrAbortHandler)
			})
		},
		// Only the first try of a request without a key ends the request.
		scenario: func(s *Scenario) { s.Work[1].Keyed = false },
	},
	{
		name: "a second run of a request with a key", want: []string{"at most once"},
		fleet: func(f *fakeFleet) {
			f.answer = func(f *fakeFleet, _ http.ResponseWriter, token string, _ int) bool {
				if strings.HasSuffix(token, "-5") {
					f.run(token)
				}
				return false
			}
		},
	},
	{
		name: "a second run of a request that is not idempotent and has no key", want: []string{"at most once"},
		fleet: func(f *fakeFleet) {
			f.answer = func(f *fakeFleet, _ http.ResponseWriter, token string, _ int) bool {
				if strings.HasSuffix(token, "-5") {
					f.run(token)
				}
				return false
			}
		},
		scenario: func(s *Scenario) { s.Work[1].Keyed = false },
	},
	{
		name: "a refusal of work that ran", want: []string{"true refusals"},
		fleet: func(f *fakeFleet) {
			f.answer = once(func(f *fakeFleet, w http.ResponseWriter, token string) {
				f.run(token)
				refuse(w, "overloaded", "not-run")
			})
		},
	},
	{
		name: "a refusal that does not say whether the work ran", want: []string{"true refusals"},
		fleet: func(f *fakeFleet) {
			f.answer = once(func(_ *fakeFleet, w http.ResponseWriter, _ string) { refuse(w, "overloaded", "") })
		},
	},
	{name: "an ejection of all", want: []string{"floor"}, fleet: ejectAll},
	{name: "ejections that can't be decoded", want: []string{"floor"}, fleet: func(f *fakeFleet) { f.ejections = []byte("{") }},
	{name: "a store that can't be read", want: []string{"floor", "report"}, fleet: func(f *fakeFleet) { f.peekError = errBroken }},
	{
		name: "a report short by one received", want: []string{"report"},
		fleet: func(f *fakeFleet) { f.tally = func(t *descriptor.Tally) { t.Received-- } },
	},
	{
		name: "a report short by one served", want: []string{"report"},
		fleet: func(f *fakeFleet) { f.tally = func(t *descriptor.Tally) { t.Counts[0].Requests-- } },
	},
	{
		name: "a report of one served too many", want: []string{"report"},
		fleet: func(f *fakeFleet) { f.tally = func(t *descriptor.Tally) { t.Counts[0].Requests++ } },
	},
	{
		name: "a report short by one beside an answer with status 500", want: []string{"report"},
		fleet: func(f *fakeFleet) {
			f.tally = func(t *descriptor.Tally) { t.Counts[0].Requests-- }
			f.answer = once(func(f *fakeFleet, w http.ResponseWriter, token string) {
				f.run(token)
				f.countServed()
				w.WriteHeader(http.StatusInternalServerError)
			})
		},
	},
	{
		name: "a report short by one beside poison", want: []string{"report"}, scenario: withPoison,
		fleet: func(f *fakeFleet) {
			crash(1)(f)
			f.tally = func(t *descriptor.Tally) { t.Received-- }
		},
	},
	{
		name: "a gray backend server that is not found", want: []string{"gray"}, scenario: withFault(FaultStall, brokenTime),
		fleet: func(f *fakeFleet) { f.blind = true },
	},
	{
		name: "a fault that is not injected", want: []string{"fault"}, scenario: withFault(FaultTurn, brokenTime),
		fleet: func(f *fakeFleet) { f.faultError = errBroken },
	},
	{
		name: "a fault of the store that is not injected", want: []string{"fault"}, scenario: withFault(FaultOutage, brokenTime),
		fleet: func(f *fakeFleet) { f.faultError = errBroken },
	},
	{
		name: "a replacement that fails", want: []string{"fault"}, scenario: withFault(FaultReplace, brokenTime),
		fleet: func(f *fakeFleet) { f.faultError = errBroken },
	},
	{
		name: "a link that is not cut", want: []string{"fault"}, scenario: withFault(FaultOneWay, brokenTime),
		fleet: func(f *fakeFleet) { f.faultError = errBroken },
	},
	{
		name: "a fault of a backend server that is not there", want: []string{"fault"},
		scenario: func(s *Scenario) {
			s.Faults = []Fault{{Name: "fault", Kind: FaultTurn, Service: "ledger", Index: 11, To: time.Hour}}
		},
	},
	{
		name: "a fault that begins after the end", want: []string{"fault"},
		scenario: func(s *Scenario) {
			s.Faults = []Fault{{Name: "fault", Kind: FaultTurn, Service: "ledger", From: time.Minute, To: time.Hour}}
		},
	},
	{
		name: "work at a draining backend server", want: []string{"drain"}, scenario: withFault(FaultDrain, 3*time.Second),
		fleet: func(f *fakeFleet) {
			n := uint64(0)
			f.backends[1].(*fakeBackend).count = func(c *imitator.BackendCounts) { n++; c.Begun = n }
		},
	},
	{name: "a drain that is not counted", want: []string{"drain"}, scenario: withFault(FaultDrain, brokenTime)},
	{
		name: "a backend server that does not answer", want: []string{"counts"},
		fleet: func(f *fakeFleet) { f.backends[3].(*fakeBackend).err = errBroken },
	},
	{
		name: "work at a backend server that asked for a pause", want: []string{"pause"},
		fleet: func(f *fakeFleet) {
			f.backends[3].(*fakeBackend).count = func(c *imitator.BackendCounts) { c.Pressed = maxPressed + 1 }
		},
	},
	{name: "poison that crashes too many", want: []string{"poison"}, scenario: withPoison, fleet: crash(maxCrashes + 1)},
	{name: "poison that crashes none", want: []string{"poison"}, scenario: withPoison, fleet: crash(0)},
	{name: "an instance that is missing", want: []string{"instances"}, fleet: func(f *fakeFleet) { f.answering = 2 }},
}

// TestBreakages guards against checks that can't fail: each is broken on purpose, and
// must be the one that fails.
func TestBreakages(t *testing.T) {
	for _, b := range breakages {
		t.Run(b.name, func(t *testing.T) {
			t.Parallel()
			result := playBroken(t, b)
			var got []string
			for _, v := range result.Violations {
				check, _, _ := strings.Cut(v, ":")
				if !slices.Contains(got, check) {
					got = append(got, check)
				}
			}
			slices.Sort(got)
			asserter.Equal(t, "broken checks", got, b.want)
			asserter.Equal(t, "guarantees held", result.GuaranteesHeld(), len(b.want) == 0)
			if t.Failed() {
				t.Log(result.Violations)
			}
		})
	}
}

// playBroken plays a scenario of lookups and notes at ledger against a fleet with a breakage.
func playBroken(t *testing.T, b breakage) Result {
	t.Helper()
	s := Scenario{
		Name: "broken", Deployment: "pelletier", Duration: brokenTime, Seed: 1, Instances: 3, Policy: "standard",
		Work: []Work{
			{Name: "lookups", Service: "ledger", Class: "lookup", Method: http.MethodGet, Path: "/lines/7", Rate: 60, PeakFactor: 1, Callers: 5, Size: 256, Weight: 1, Idempotent: true, Timeout: 5 * time.Second, Least: defaultLeast},
			{Name: "notes", Service: "ledger", Class: "note", Method: http.MethodPost, Path: "/notes", Rate: 30, PeakFactor: 1, Callers: 5, Size: 256, Weight: 1, Keyed: true, Timeout: 5 * time.Second, Least: defaultLeast},
		},
	}
	if b.scenario != nil {
		b.scenario(&s)
	}
	f := newFakeFleet()
	if b.fleet != nil {
		b.fleet(f)
	}
	d, err := deploymentOf(s.Deployment)
	asserter.NoError(t, "deployment", err)
	result, err := runWith(context.Background(), s, d, f, io.Discard)
	asserter.NoError(t, "run", err)
	return result
}
