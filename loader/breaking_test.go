package loader

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"monsoonswitch/asserter"
	"monsoonswitch/descriptor"
	"monsoonswitch/imitator"
)

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
		name: "an answer with a status that HTTP does not define", want: []string{"whole answers"},
		fleet: func(f *fakeFleet) {
			f.answer = once(func(f *fakeFleet, w http.ResponseWriter, token string) {
				f.run(token)
				f.countServed()
				w.WriteHeader(999)
				_, _ = io.WriteString(w, imitator.Body(token, 256))
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

// TestUnsettledWork breaks the share served by requests that were not sent, or that had no
// outcome after the load.
func TestUnsettledWork(t *testing.T) {
	for _, c := range []struct {
		name             string
		started, skipped uint64
		want             []string
	}{
		{"all served", 100, 0, nil},
		{"most were not sent", 100, 1000, []string{"served"}},
		{"one has no outcome", 101, 0, []string{"answers"}},
		{"a tenth and more has no outcome", 112, 0, []string{"served", "answers"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := Scenario{Deployment: "pelletier", Work: []Work{{Name: "lookups", Service: "ledger", Class: "lookup", Least: defaultLeast}}}
			r := &Runner{scenario: s, record: newRecord(s)}
			r.record.tallies[0].started, r.record.tallies[0].skipped = c.started, c.skipped
			r.record.tallies[0].sent, r.record.tallies[0].served = 100, 100
			result := Result{Work: []WorkResult{r.record.tallies[0].result("lookups")}}
			r.verifyServed(&result)
			var got []string
			for _, v := range result.Violations {
				check, _, _ := strings.Cut(v, ":")
				got = append(got, check)
			}
			asserter.Equal(t, "broken checks", got, c.want)
		})
	}
}
