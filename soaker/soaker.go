package soaker

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	toxiproxy "github.com/Shopify/toxiproxy/v2"
	"github.com/rotisserie/eris"

	"monsoonswitch/loader"
)

// Options configure a soak.
type Options struct {
	// Program is the path of the program under test.
	Program string
	// Directory receives settings and logs.
	Directory string
	// Declarations is a directory with the declarations of the deployment.
	Declarations string
	Seed         uint64
	Instances    int
	Duration     time.Duration
}

// domains are the failure domains of the instances and backend servers.
var domains = []string{"worcester", "providence", "portsmouth"}

// services holds the number of backend servers of each service.
var services = []struct {
	name  string
	count int
}{{"ledger", 11}, {"billing", 21}, {"fieldbook", 6}}

// soak is a running soak.
type soak struct {
	options   Options
	progress  io.Writer
	store     string
	instances []*instance
	// children holds the processes other than instances.
	children []*child

	// mu guards outages, the times in which all instances were down or recovering, the
	// number of instances that are down now, and since when all of them are.
	mu       sync.Mutex
	outages  []span
	down     int
	allSince time.Time
}

// span is a time between two moments.
type span struct{ from, to time.Time }

// Run plays the soak of a seed and returns its result. It returns ErrSoak if a process
// does not start. It ends only processes that it started.
func Run(ctx context.Context, o Options, progress io.Writer) (loader.Result, error) {
	s := &soak{options: o, progress: progress}
	defer s.close()
	if err := s.start(ctx); err != nil {
		return loader.Result{}, err
	}
	p := newPlan(o.Seed, o.Instances, o.Duration)
	remote := loader.Remote{Store: s.store}
	for _, i := range s.instances {
		remote.Entries = append(remote.Entries, i.public)
		remote.Operators = append(remote.Operators, i.operators)
	}
	started := time.Now()
	var faults sync.WaitGroup
	for _, f := range p.steps {
		faults.Add(1)
		go func() {
			defer faults.Done()
			time.Sleep(time.Until(started.Add(f.at)))
			s.apply(f)
		}()
	}
	result, err := loader.RunRemote(ctx, p.scenario, remote, progress)
	faults.Wait()
	if err != nil {
		return result, err
	}
	fmt.Fprintf(progress, "      judged %d of %d seconds; in the others all instances were down or recovering\n", s.judged(started), int(o.Duration.Seconds()))
	return s.verifyGray(s.verifyServed(result, started), started, p.scenario.Faults), nil
}

// judged returns the number of seconds of the load that are in no outage of all instances.
func (s *soak) judged(started time.Time) int {
	n := 0
	for i := range int(s.options.Duration.Seconds()) {
		if s.counts(started, i) {
			n++
		}
	}
	return n
}

// counts reports whether a second of the load is in no outage of all instances.
func (s *soak) counts(started time.Time, second int) bool {
	at := started.Add(time.Duration(second) * time.Second)
	return !s.inOutage(at) && !s.inOutage(at.Add(time.Second))
}

// verifyServed adds a violation if too little was served in the seconds that are in no
// outage of all instances. The work is driven by the load alone, so that its seconds count
// from its start.
func (s *soak) verifyServed(r loader.Result, started time.Time) loader.Result {
	var served, all uint64
	for _, w := range r.Work {
		for i, second := range w.Seconds {
			if !s.counts(started, i) {
				continue
			}
			served += second.Served
			all += second.Served + second.Refused
		}
	}
	if float64(served) < leastServed*float64(all) {
		r.Violations = append(r.Violations, fmt.Sprintf("served: %d of %d requests outside of outages of all instances, must be a share of at least %g", served, all, leastServed))
	}
	return r
}

// verifyGray adds a violation if gray backend servers still get too many requests grayTime after
// their faults began, summed over the seconds that are in no outage of all instances. A
// fault is not judged if another one at its backend server overlaps, whose end ends it.
func (s *soak) verifyGray(r loader.Result, started time.Time, faults []loader.Fault) loader.Result {
	var got, others float64
	for _, g := range r.Grays {
		if overlaps(g, faults) {
			continue
		}
		for _, second := range g.Seconds {
			if second.Second >= g.Since+int(grayTime.Seconds()) && s.counts(started, second.Second) {
				got += second.Gray
				others += second.Others
			}
		}
	}
	if len(r.Grays) > 0 {
		fmt.Fprintf(s.progress, "      gray backend servers got %.0f requests; as many others got %.0f\n", got, others)
	}
	if got > grayShare*others+grayExtra {
		r.Violations = append(r.Violations, fmt.Sprintf("gray: backend servers with faults got %.0f requests from %v after they began, as many others got %.0f; must be a share of at most %g, and %d", got, grayTime, others, grayShare, grayExtra))
	}
	return r
}

// overlaps reports whether another fault is injected into a gray backend server while it is
// watched.
func overlaps(g loader.GrayResult, faults []loader.Fault) bool {
	i := slices.IndexFunc(faults, func(f loader.Fault) bool { return f.Name == g.Fault })
	if i < 0 {
		return true
	}
	gray := faults[i]
	return slices.ContainsFunc(faults, func(f loader.Fault) bool {
		return f.Name != gray.Name && f.Service == gray.Service && f.Index == gray.Index && f.From < gray.To && f.To > gray.From
	})
}

// inOutage reports whether all instances were down or recovering at a moment.
func (s *soak) inOutage(at time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, o := range s.outages {
		// A request waits for an answer for a while, so one sent just before counts too.
		if at.After(o.from.Add(-answerTime)) && at.Before(o.to) {
			return true
		}
	}
	return false
}

// answerTime is the time in which a request is answered or lost.
const answerTime = time.Second

// start starts the stand-ins, applies the declarations and starts the instances.
func (s *soak) start(ctx context.Context) error {
	address, err := s.standIn("store", "standin", "store", "--listen", loopback)
	if err != nil {
		return err
	}
	s.store = address
	for _, service := range services {
		for i := range service.count {
			id := fmt.Sprintf("%s-%d", service.name, i)
			_, err := s.standIn(id, "standin", "backend", "--store", s.store, "--service", service.name, "--id", id,
				"--domain", domains[i%len(domains)], "--seed", fmt.Sprint(s.options.Seed+uint64(i)), "--down", "700ms")
			if err != nil {
				return err
			}
		}
	}
	apply := exec.CommandContext(ctx, s.options.Program, "apply", "--store", s.store, s.options.Declarations)
	if out, err := apply.CombinedOutput(); err != nil {
		return eris.Wrapf(ErrSoak, "apply: %v: %s", err, out)
	}
	return s.startInstances()
}

// standIn starts a stand-in and returns the address on which it listens.
func (s *soak) standIn(name string, args ...string) (string, error) {
	const mark = "listening on "
	c, line, err := s.spawn(name, mark, args...)
	if err != nil {
		return "", err
	}
	s.children = append(s.children, c)
	return strings.TrimPrefix(line, mark), nil
}

func (s *soak) startInstances() error {
	var seeds []string
	free := NewPorts(s.options.Seed)
	for k := range s.options.Instances {
		i, err := newInstance(fmt.Sprintf("entry-%d", k), s.store, free)
		if err != nil {
			return err
		}
		s.instances = append(s.instances, i)
		if len(seeds) < len(domains) {
			seeds = append(seeds, i.links.Listen)
		}
	}
	for k, i := range s.instances {
		text := i.settings(domains[k%len(domains)], seeds)
		if err := os.WriteFile(s.settingsPath(i), []byte(text), 0o600); err != nil {
			return eris.Wrap(err, "write settings")
		}
		if err := s.serve(i); err != nil {
			return err
		}
	}
	// The instances learn of each other and of the declarations.
	time.Sleep(settleTime)
	return nil
}

// settleTime is the time between the start of the instances and that of the load.
const settleTime = 4 * time.Second

func (s *soak) settingsPath(i *instance) string {
	return filepath.Join(s.options.Directory, i.name+".ini")
}

// serve starts the process of an instance.
func (s *soak) serve(i *instance) error {
	c, _, err := s.spawn(i.name, "instance started", "serve", "--settings", s.settingsPath(i))
	if err != nil {
		return err
	}
	i.child = c
	return nil
}

// apply injects a fault and ends it.
func (s *soak) apply(f step) {
	fmt.Fprintf(s.progress, "      %s of instance %d for %v\n", f.kind, f.instance, f.span)
	i := s.instances[f.instance]
	switch f.kind {
	case pause:
		i.mu.Lock()
		defer i.mu.Unlock()
		s.leave()
		defer s.back()
		i.child.signal(syscall.SIGSTOP)
		time.Sleep(f.span)
		i.child.signal(syscall.SIGCONT)
	case kill:
		s.restart(i, syscall.SIGKILL, f.span)
	case stop:
		s.restart(i, syscall.SIGTERM, f.span)
	case reload:
		i.mu.Lock()
		defer i.mu.Unlock()
		i.child.signal(syscall.SIGHUP)
	case herd:
		s.herd(f.span)
	default:
		disturb(i, f)
	}
}

// restart ends the process of an instance and starts it again after a time.
func (s *soak) restart(i *instance, sig syscall.Signal, after time.Duration) {
	i.mu.Lock()
	defer i.mu.Unlock()
	s.leave()
	defer s.back()
	i.child.end(sig)
	time.Sleep(after)
	if err := s.serve(i); err != nil {
		fmt.Fprintf(s.progress, "      %s does not start again: %v\n", i.name, err)
	}
}

// leave counts an instance that goes down, and back one that is back. While all are down, and
// for recoveryTime after it, the load is not judged.
func (s *soak) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down++
	if s.down == len(s.instances) {
		s.allSince = time.Now()
	}
}

func (s *soak) back() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down == len(s.instances) {
		s.outages = append(s.outages, span{s.allSince, time.Now().Add(recoveryTime)})
	}
	s.down--
}

// herd kills all instances at the same time and starts them again.
func (s *soak) herd(after time.Duration) {
	outage := span{from: time.Now()}
	var all sync.WaitGroup
	for _, i := range s.instances {
		all.Add(1)
		go func() {
			defer all.Done()
			s.restart(i, syscall.SIGKILL, after)
		}()
	}
	all.Wait()
	outage.to = time.Now().Add(recoveryTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outages = append(s.outages, outage)
}

// disturb injects a fault of the network of an instance and ends it.
func disturb(i *instance, f step) {
	proxy, toxic := i.links, ""
	switch f.kind {
	case reset:
		toxic = `{"name":"soak","type":"reset_peer","stream":"downstream","attributes":{"timeout":0}}`
	case delay:
		toxic = `{"name":"soak","type":"latency","stream":"downstream","attributes":{"latency":200,"jitter":150}}`
	case silence:
		toxic = `{"name":"soak","type":"timeout","stream":"downstream","attributes":{"timeout":0}}`
	case oneway:
		toxic = `{"name":"soak","type":"timeout","stream":"upstream","attributes":{"timeout":0}}`
	case away:
		proxy = i.store
		toxic = `{"name":"soak","type":"reset_peer","stream":"downstream","attributes":{"timeout":0}}`
	}
	add(proxy, toxic)
	time.Sleep(f.span)
	proxy.Toxics.ResetToxics(context.Background())
}

// add adds a toxic to a proxy. One that is there already, of an overlapping fault, stays.
func add(p *toxiproxy.Proxy, toxic string) { _, _ = p.Toxics.AddToxicJson(strings.NewReader(toxic)) }

// close ends all processes and proxies of the soak.
func (s *soak) close() {
	for _, i := range s.instances {
		if i.child != nil {
			i.child.end(syscall.SIGKILL)
		}
		i.links.Stop()
		i.store.Stop()
	}
	for _, c := range s.children {
		c.end(syscall.SIGKILL)
	}
}
