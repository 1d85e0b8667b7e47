package estimator

import (
	"fmt"
	"io"
	"math"
	"text/template"
	"time"

	"github.com/rotisserie/eris"

	"monsoonswitch/counter"
	"monsoonswitch/gossiper"
)

// Role is the state and load of one role of an instance at the target size.
// Messages and Bytes are per second, Core is a share of one core, and Memory is
// in bytes.
type Role struct {
	Name      string
	State     string
	Messages  float64
	Bytes     float64
	Core      float64
	Memory    float64
	Mechanism string
}

// Store is the load of the platform's store in one situation. Writes and Reads
// are per second.
type Store struct {
	Situation     string
	Writes, Reads float64
	Waiting       int
	Mechanism     string
}

// Page is the content of docs/CAPACITY.md.
type Page struct {
	Members, Services []Point
	Fleets            []FleetPoint
	Sizes             Sizes
	Roles             []Role
	Stores            []Store
	Request           time.Duration
	Links             int
	At                string
}

// Measure measures how the load grows with the numbers of members and services
// and computes the roles from it. With quick set it takes fewer and smaller
// sizes.
func Measure(quick bool, log io.Writer) (Page, error) {
	members := []int{50, 200, 1000, 3000, targetInstances}
	services := []int{10, 100, 1000, targetServices}
	fleets := []int{6, 12, 24, 48}
	length := 10 * time.Second
	if quick {
		members, services, fleets, length = members[:3], services[:2], fleets[:1], time.Second
	}
	var p Page
	var err error
	if p.Sizes, err = measureSizes(); err != nil {
		return p, err
	}
	p.Request = requestTime()
	for _, n := range members {
		fmt.Fprintf(log, "%d members\n", n)
		p.Members = append(p.Members, measureMembers(n))
	}
	for _, n := range services {
		fmt.Fprintf(log, "%d services\n", n)
		p.Services = append(p.Services, measureServices(n))
	}
	for _, n := range fleets {
		f, err := measureFleet(n, length, log)
		if err != nil {
			return p, err
		}
		p.Fleets = append(p.Fleets, f)
	}
	return p, p.compute()
}

// compute computes the roles at the target size.
func (p *Page) compute() error {
	codec, length, err := codecTime()
	if err != nil {
		return err
	}
	perByte := codec.Seconds() / length
	p.Links = 2 * int(math.Ceil(math.Log2(targetInstances)))
	links := float64(p.Links)
	changes := memberChanges()
	documents := perSecond(targetChanges) + perSecond(2*(targetRestarts+targetFailures))
	// Each change is received once and sent once over every link; a document
	// itself is received and sent about twice.
	digests := 1 / gossiper.DigestInterval(p.Links).Seconds()
	messages := 2 * links * (1 + digests + changes + documents)
	bytes := links*(p.Sizes.Heartbeat+digests*p.Sizes.Digest+changes*p.Sizes.Member+documents*p.Sizes.Reference) +
		2*perSecond(targetChanges)*p.Sizes.Declaration +
		2*perSecond(2*(targetRestarts+targetFailures))*p.Sizes.Backends
	member := fit(p.Members, func(x Point) float64 { return x.Memory })
	service := fit(p.Services, func(x Point) float64 { return x.Memory })
	tick := fit(p.Members, func(x Point) float64 { return x.Tick.Seconds() })
	change := fit(p.Members, func(x Point) float64 { return x.Change.Seconds() })
	document := fit(p.Services, func(x Point) float64 { return x.Change.Seconds() })
	// There are 5 gossip ticks per second, one every 200 ms.
	core := 5*max(0, tick.At(targetInstances)) +
		changes*links*change.At(targetInstances) +
		documents*document.At(targetServices) +
		bytes*2*perByte
	memory := max(0, member.Slope)*targetInstances + max(0, service.Slope)*targetServices
	entry := Role{
		Name:      "entry instance",
		State:     "all member records, all declarations and lists",
		Messages:  messages,
		Bytes:     2 * bytes,
		Core:      core,
		Memory:    memory,
		Mechanism: "links at distances 1, 2, 4, ... on a ring; only changes are sent; references first, documents on request; bucket sums every 31 s",
	}
	p.Roles = []Role{entry, p.serving(perByte), p.watcher(documents), p.tallyWriter(perByte)}
	p.Roles = append(p.Roles, combinedRole(p.Roles))
	p.Stores = stores()
	return nil
}

// combinedRole returns the role of an instance that has all of the given roles.
func combinedRole(roles []Role) Role {
	sum := Role{Name: "one instance with every role", State: "all of the above", Mechanism: "few instances watch the store, and most write no tallies"}
	for _, r := range roles {
		sum.Messages += r.Messages
		sum.Bytes += r.Bytes
		sum.Core += r.Core
		sum.Memory += r.Memory
	}
	return sum
}

// memberChanges returns the number of changes of member records per second. Each
// replaced instance becomes unready, leaves, joins and becomes ready.
func memberChanges() float64 { return perSecond(4*targetRestarts + 6*targetFailures) }

// serving returns what an instance needs in addition to serve the mean number of
// services.
func (p Page) serving(perByte float64) Role {
	peers := float64(servingPerService - 1)
	evidence := servicesPerInstance * peers / 3
	tallies := servicesPerInstance / 2
	bytes := evidence*p.Sizes.Evidence + tallies*p.Sizes.Tally
	requests := float64(targetRequests) / targetInstances
	return Role{
		Name:      "serving instance, in addition",
		State:     fmt.Sprintf("%.1f services of %d backend servers, their requests in flight", servicesPerInstance, backendsPerService),
		Messages:  2 * (evidence + tallies),
		Bytes:     2 * bytes,
		Core:      requests*p.Request.Seconds() + 2*bytes*perByte,
		Memory:    servicesPerInstance * backendsPerService * 1024,
		Mechanism: "a few instances for each service, by rendezvous hashing; evidence is one number for each backend server",
	}
}

// watcher returns what an instance needs in addition to watch the platform's
// store.
func (p Page) watcher(documents float64) Role {
	size := (p.Sizes.Declaration + p.Sizes.Backends) / 2
	return Role{
		Name:      "watcher, in addition",
		State:     "two open watches",
		Messages:  2 * documents,
		Bytes:     2 * documents * size,
		Core:      documents * 200e-6,
		Memory:    1 << 20,
		Mechanism: "three instances in three failure domains, by rendezvous hashing",
	}
}

// tallyWriter returns what an instance needs in addition to write tallies.
func (p Page) tallyWriter(perByte float64) Role {
	services := float64(targetServices) / targetInstances
	reports := services * servingPerService / 2
	writes := services / counter.WriteInterval(targetServices).Seconds()
	bytes := reports*p.Sizes.Tally + writes*20*p.Sizes.Tally
	return Role{
		Name:      "tally writer, in addition",
		State:     fmt.Sprintf("tallies of %.1f services, 20 incarnations each", services),
		Messages:  2 * reports,
		Bytes:     bytes,
		Core:      bytes * 2 * perByte,
		Memory:    services * 20 * 4 * p.Sizes.Tally,
		Mechanism: "the first serving instance of each service; the interval grows with the number of services",
	}
}

// stores returns the load of the store in the situations that were considered.
func stores() []Store {
	writes := float64(targetServices) / counter.WriteInterval(targetServices).Seconds()
	changes := perSecond(targetChanges) + perSecond(2*(targetRestarts+targetFailures))
	const openWatches = 3 * 2
	watch := openWatches/30.0 + 3*changes
	const claimsPerSecond = 150
	lostWriters := float64(targetServices) * servingPerService / targetDomains
	return []Store{
		{"normal operation", writes + perSecond(targetChanges) + perSecond(targetFailures*2), watch, openWatches,
			"the tally interval grows with the number of services; three watchers"},
		{"normal operation, with the largest allowed rate of claims on keys made by callers", writes + claimsPerSecond, watch, openWatches,
			"the claims of the whole fleet are bounded"},
		{"the minute after a failure domain is lost", writes + 2*lostWriters/60, watch + openWatches/60.0, openWatches,
			"each new tally writer gets one conflict, spread over the interval"},
		{"the minute after an outage of the store", float64(targetServices) / (counter.WriteInterval(targetServices).Seconds() / 2), watch + openWatches, openWatches,
			"waits double up to the interval and differ from service to service"},
	}
}

// Over returns a mark for a value over its budget, or an empty string.
func Over(value, budget float64) string {
	if value > budget {
		return " **over**"
	}
	return ""
}

// Write writes the page to out.
func (p Page) Write(out io.Writer) error {
	return eris.Wrap(pageTemplate.Execute(out, p), "write page")
}

var pageTemplate = template.Must(template.New("page").Funcs(template.FuncMap{
	"kb":     func(v float64) string { return fmt.Sprintf("%.1f KB", v/1024) },
	"mb":     func(v float64) string { return fmt.Sprintf("%.1f MB", v/(1<<20)) },
	"pct":    func(v float64) string { return fmt.Sprintf("%.2f%%", 100*v) },
	"num":    func(v float64) string { return fmt.Sprintf("%.1f", v) },
	"us":     func(d time.Duration) string { return fmt.Sprintf("%.1f µs", float64(d.Nanoseconds())/1000) },
	"obytes": func(v float64) string { return Over(v, budgetBytes) },
	"ocore":  func(v float64) string { return Over(v, budgetCore) },
	"omem":   func(v float64) string { return Over(v, budgetMemory) },
	"owrite": func(v float64) string { return Over(v, budgetWrites) },
	"oread":  func(v float64) string { return Over(v, budgetReads) },
}).Parse(pageText))
