// Package soaker runs randomized soaks: the real program as separate processes, with faults
// injected from outside. The checks are those of package loader, from what callers and
// backend servers see.
package soaker

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"monsoonswitch/loader"
)

// step is one fault of an instance.
type step struct {
	at       time.Duration
	kind     kind
	instance int
	span     time.Duration
}

// kind is a kind of fault that is injected into an instance from outside.
type kind string

const (
	// pause stops the process with SIGSTOP.
	pause kind = "pause"
	// kill ends the process with SIGKILL and starts it again.
	kill kind = "kill"
	// stop ends the process with SIGTERM and starts it again.
	stop kind = "stop"
	// reload sends SIGHUP.
	reload kind = "reload"
	// reset, delay, silence and oneway are faults of the links that the instance accepted.
	reset   kind = "reset"
	delay   kind = "delay"
	silence kind = "silence"
	oneway  kind = "oneway"
	// away breaks the connections of the instance to the store.
	away kind = "away"
	// herd kills all instances and starts them again.
	herd kind = "herd"
)

var kinds = []kind{pause, kill, stop, reload, reset, delay, silence, oneway, away, herd}

// Limits of a plan.
const (
	// leadTime is the time without faults at the start, and tailTime that at the end.
	leadTime = 2 * time.Second
	tailTime = 6 * time.Second
	// minSteps and maxSteps bound the number of faults of instances, and of faults of the
	// store and of backend servers.
	minSteps = 3
	maxSteps = 9
	// leastServed is the share of the work that must be served in the seconds in which not
	// all instances are down.
	leastServed = 0.5
	// recoveryTime is the time after a restart of all instances until work is served.
	recoveryTime = 5 * time.Second
	// grayTime is the time after which a gray backend server must be found, and
	// grayShare the share of the mean load of the others that it may get then. grayExtra
	// requests beside are those that try it again.
	grayTime  = 3 * time.Second
	grayShare = 0.4
	grayExtra = 6
	// plannedShare is the share of the plans without unplanned faults of instances.
	plannedShare = 0.3
)

// plan is all that happens in a soak. The same seed gives the same plan.
type plan struct {
	scenario loader.Scenario
	steps    []step
}

// newPlan returns the plan of a seed.
func newPlan(seed uint64, instances int, duration time.Duration) plan {
	r := rand.New(rand.NewPCG(seed, 0))
	p := plan{scenario: loader.Scenario{
		Name:       fmt.Sprintf("soak-%d", seed),
		Deployment: "pelletier",
		Duration:   duration,
		Seed:       seed,
		Instances:  instances,
		Policy:     "standard",
		Disturbed:  true,
		Work:       work(r),
	}}
	moment := func() time.Duration {
		return leadTime + time.Duration(r.Int64N(int64(duration-leadTime-tailTime)))
	}
	for range minSteps + r.IntN(maxSteps-minSteps) {
		p.steps = append(p.steps, step{
			at:       moment(),
			kind:     kinds[r.IntN(len(kinds))],
			instance: r.IntN(instances),
			span:     200*time.Millisecond + time.Duration(r.Int64N(int64(4*time.Second))),
		})
	}
	for i := range minSteps + r.IntN(maxSteps-minSteps) {
		f := surroundings[r.IntN(len(surroundings))]
		f.Name = fmt.Sprintf("%s-%d", f.Kind, i)
		f.From = moment()
		f.To = min(f.From+500*time.Millisecond+time.Duration(r.Int64N(int64(5*time.Second))), duration-tailTime)
		f.Index = r.IntN(f.Index)
		p.scenario.Faults = append(p.scenario.Faults, f)
	}
	return p.withServers(seed, duration).withOddAnswers(seed, duration).withPlanned(seed)
}

// withOddAnswers returns the plan with a backend server of each service whose answers can't be
// delivered or break off. It has a generator of its own.
func (p plan) withOddAnswers(seed uint64, duration time.Duration) plan {
	r := rand.New(rand.NewPCG(seed, 3))
	faults := slices.Clone(p.scenario.Faults)
	for _, f := range oddFaults {
		f.Name = fmt.Sprintf("%s-%s", f.Kind, f.Service)
		f.From = leadTime + time.Duration(r.Int64N(int64(duration-leadTime-tailTime)))
		f.To = min(f.From+time.Second+time.Duration(r.Int64N(int64(8*time.Second))), duration-tailTime)
		f.Index = r.IntN(f.Index)
		faults = append(faults, f)
	}
	p.scenario.Faults = faults
	return p
}

// oddFaults are the faults that withOddAnswers adds; Index is as in surroundings.
var oddFaults = []loader.Fault{
	{Kind: loader.FaultOdd, Service: "ledger", Index: 11, Share: 0.3},
	{Kind: loader.FaultOdd, Service: "billing", Index: 21, Share: 0.3},
	{Kind: loader.FaultPart, Service: "fieldbook", Index: 6, Share: 0.7},
}

// withServers returns the plan with faults of backend servers that restart, crash under
// uploads and copy refusals, and with the work for them. They have a generator of their own.
func (p plan) withServers(seed uint64, duration time.Duration) plan {
	r := rand.New(rand.NewPCG(seed, 1))
	faults := slices.Clone(p.scenario.Faults)
	for i := range minServerFaults + r.IntN(maxServerFaults-minServerFaults) {
		f := serverFaults[r.IntN(len(serverFaults))]
		f.Name = fmt.Sprintf("%s-server-%d", f.Kind, i)
		f.From = leadTime + time.Duration(r.Int64N(int64(duration-leadTime-tailTime)))
		f.To = min(f.From+time.Second+time.Duration(r.Int64N(int64(8*time.Second))), duration-tailTime)
		f.Index = r.IntN(f.Index)
		if f.Kind == loader.FaultStall || f.Kind == loader.FaultErrors {
			// It lasts, so that there is time to find it.
			f.From, f.To = leadTime+(f.From-leadTime)/2, duration-tailTime
		}
		faults = append(faults, f)
	}
	p.scenario.Faults = faults
	p.scenario.Work = append(slices.Clone(p.scenario.Work), serverWork(r)...)
	return p
}

// withPlanned returns the plan, for some seeds without what is not planned: instances are
// stopped and reloaded, and no backend server breaks off an answer.
func (p plan) withPlanned(seed uint64) plan {
	r := rand.New(rand.NewPCG(seed, 2))
	if r.Float64() >= plannedShare {
		return p
	}
	p.scenario.Planned = true
	p.steps = slices.Clone(p.steps)
	for i := range p.steps {
		p.steps[i].kind = []kind{stop, stop, reload}[r.IntN(3)]
	}
	var faults []loader.Fault
	for _, f := range p.scenario.Faults {
		switch f.Kind {
		case loader.FaultCut, loader.FaultPart, loader.FaultStall, loader.FaultFlap, loader.FaultCrash, loader.FaultRestart:
		default:
			faults = append(faults, f)
		}
	}
	p.scenario.Faults = faults
	return p
}

// minServerFaults and maxServerFaults bound the number of faults that withServers adds.
const (
	minServerFaults = 2
	maxServerFaults = 8
)

// serverFaults are the faults that withServers draws; Index is as in surroundings.
var serverFaults = []loader.Fault{
	{Kind: loader.FaultCopy, Service: "ledger", Index: 11, Share: 0.4},
	{Kind: loader.FaultCopy, Service: "fieldbook", Index: 6, Share: 0.4},
	{Kind: loader.FaultRestart, Service: "ledger", Index: 11, Share: 0.4},
	{Kind: loader.FaultRestart, Service: "billing", Index: 21, Share: 0.4},
	{Kind: loader.FaultRestart, Service: "fieldbook", Index: 6, Share: 0.4},
	{Kind: loader.FaultCrash, Service: "fieldbook", Index: 6},
	{Kind: loader.FaultTurn, Service: "fieldbook", Index: 6, Share: 0.4},
	{Kind: loader.FaultStall, Service: "ledger", Index: 11},
	{Kind: loader.FaultErrors, Service: "ledger", Index: 11, Share: 0.7},
}

// ownPaths are paths that instances and stand-ins serve on other listeners, or under another
// prefix. On the listener for callers they belong to the route with the path "/".
var ownPaths = []string{"/readiness", "/resolve", "/status", "/dump", "/metrics", "/health"}

// serverWork returns large uploads, safe requests one behind the other, and work on ownPaths.
func serverWork(r *rand.Rand) []loader.Work {
	list := []loader.Work{
		{Name: "large", Service: "fieldbook", Class: "upload", Method: "PUT", Path: "/photos/2", Rate: 3, Keyed: true, Weight: 5},
		{Name: "chunked", Service: "fieldbook", Class: "upload", Method: "PUT", Path: "/photos/3", Rate: 3, Keyed: true, Weight: 5, Chunked: true},
		{Name: "behind", Service: "ledger", Class: "lookup", Method: "GET", Path: "/lines/8", Rate: 1, Weight: 1, Idempotent: true,
			Behind: 1 + r.IntN(5), ReadRate: 200_000 + r.IntN(2_000_000), Size: 20_000 + r.IntN(200_000)},
		{Name: "own-get", Service: "ledger", Class: "lookup", Method: "GET", Path: ownPaths[r.IntN(len(ownPaths))], Rate: 5, Weight: 1, Idempotent: true},
		{Name: "own-post", Service: "ledger", Class: "note", Method: "POST", Path: ownPaths[r.IntN(len(ownPaths))], Rate: 5, Weight: 1, Keyed: true},
	}
	for i := range list {
		list[i].PeakFactor, list[i].Callers, list[i].Timeout = 1, 12, 5*time.Second
		if list[i].Class == "upload" {
			list[i].Body = 1<<20 + r.IntN(5<<20)
		}
		if list[i].Behind > 0 {
			list[i].Timeout = 15 * time.Second
		}
	}
	return list
}

// surroundings are the faults of the store and of backend servers. Index is the number of
// backend servers of the service, among which one is drawn.
var surroundings = []loader.Fault{
	{Kind: loader.FaultStall, Service: "ledger", Index: 11},
	{Kind: loader.FaultErrors, Service: "billing", Index: 21, Share: 0.5},
	{Kind: loader.FaultCut, Service: "ledger", Index: 11, Share: 0.3},
	{Kind: loader.FaultLate, Service: "fieldbook", Index: 6, Time: 300 * time.Millisecond},
	{Kind: loader.FaultFlap, Service: "billing", Index: 21, Time: time.Second},
	{Kind: loader.FaultTurn, Service: "billing", Index: 21, Share: 1, Time: time.Second},
	{Kind: loader.FaultRepeat, Service: "ledger", Index: 11},
	{Kind: loader.FaultRepeat, Service: "billing", Index: 21},
	{Kind: loader.FaultOutage, Index: 1},
	{Kind: loader.FaultSlow, Index: 1, Time: 300 * time.Millisecond},
	{Kind: loader.FaultLost, Index: 1, Share: 0.3},
}

// work returns the work of a soak.
func work(r *rand.Rand) []loader.Work {
	kind := func(service, class, method, path string, keyed bool) loader.Work {
		return loader.Work{
			Name: class, Service: service, Class: class, Method: method, Path: path,
			Rate: 10 + 50*r.Float64(), PeakFactor: 1, Callers: 20, Size: 256 + r.IntN(20000), Weight: 1,
			Keyed: keyed, Idempotent: !keyed, Timeout: 5 * time.Second,
		}
	}
	list := []loader.Work{
		kind("ledger", "lookup", "GET", "/lines/7", false),
		kind("ledger", "note", "POST", "/notes", true),
		kind("billing", "invoice", "POST", "/invoices", true),
		kind("fieldbook", "booking", "POST", "/visits", true),
	}
	upload := kind("fieldbook", "upload", "PUT", "/photos/1", true)
	upload.Rate, upload.Body, upload.Weight = 2, 20000+r.IntN(200000), 5
	return append(list, upload)
}
