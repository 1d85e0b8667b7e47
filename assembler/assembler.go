// Package assembler runs a complete fleet in one process, with stand-ins for the
// platform and the backend servers. The demo, experiments and tests use it.
package assembler

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"sync"
	"time"

	toxiproxy "github.com/Shopify/toxiproxy/v2"
	"github.com/rotisserie/eris"

	"monsoonswitch/configurer"
	"monsoonswitch/declarer"
	"monsoonswitch/descriptor"
	"monsoonswitch/imitator"
	"monsoonswitch/logger"
	"monsoonswitch/server"
	"monsoonswitch/storer"
)

// ErrStart reports a fleet that did not become ready, or an instance without a
// proxy.
var ErrStart = eris.New("fleet did not start")

const (
	// loopback is a loopback address with a free port.
	loopback = "127.0.0.1:0"
	// fleetKey authenticates the instances to each other.
	fleetKey = "assembled-fleet-key"
	// startTimeout bounds the wait until all instances of a fleet are ready.
	startTimeout = 20 * time.Second
	// readyPollInterval is the time between two checks.
	readyPollInterval = 20 * time.Millisecond
)

// Group describes the backend servers of one service.
type Group struct {
	Service string
	Count   int
	Options imitator.BackendOptions
}

// Options describe a fleet.
type Options struct {
	Domains   []string
	Instances int
	Groups    []Group
	Services  []declarer.Service
	// Policy is one of the policies of package configurer.
	Policy string
	// Proxied puts a proxy in front of the inner listener of each instance, so
	// that Cut can block one direction of the links.
	Proxied bool
	// Keep is how long callers cache address answers.
	Keep time.Duration
	// Log receives the log events; nil discards them.
	Log io.Writer
	// Level is the log level; empty means info.
	Level string
}

// Backend is a backend server of the fleet. Listed is its entry in the platform's
// list, StandIn its stand-in.
type Backend struct {
	Service string
	Listed  descriptor.Backend
	StandIn *imitator.Backend
	process *imitator.Process
}

// Fleet is a running fleet. Store is the platform's stand-in and Client a client of
// it.
type Fleet struct {
	options      Options
	Store        *imitator.Store
	storeProcess *imitator.Process
	Client       *storer.Client
	Backends     []*Backend

	mu      sync.Mutex
	servers []*server.Server
	proxies []*toxiproxy.Proxy
	// started is the number of instances started so far.
	started int
}

// New starts a fleet and waits until every instance is ready. It returns an error if
// a process does not start or the fleet is not ready in time.
func New(o Options) (*Fleet, error) {
	f := &Fleet{options: o, Store: imitator.NewStore()}
	process, err := imitator.ServeStore(f.Store, loopback)
	if err != nil {
		return nil, err
	}
	f.storeProcess = process
	f.Client = storer.NewClient(process.Address())
	if err := f.startBackends(); err != nil {
		return nil, err
	}
	if err := f.declare(); err != nil {
		return nil, err
	}
	for range o.Instances {
		if _, err := f.Start(); err != nil {
			return nil, err
		}
	}
	return f, f.waitReady()
}

func (f *Fleet) startBackends() error {
	for _, g := range f.options.Groups {
		for i := range g.Count {
			b, err := f.startBackend(g, i)
			if err != nil {
				return err
			}
			f.Backends = append(f.Backends, b)
			f.Store.Register(g.Service, b.Listed)
		}
	}
	return nil
}

func (f *Fleet) startBackend(g Group, i int) (*Backend, error) {
	options := g.Options
	options.Seed += uint64(i)
	standIn := imitator.NewBackend(options, time.Now())
	process, err := imitator.ServeBackend(standIn, loopback)
	if err != nil {
		return nil, err
	}
	listed := descriptor.Backend{
		ID:      fmt.Sprintf("%s-%d", g.Service, i),
		Address: process.Address(),
		Domain:  f.options.Domains[i%len(f.options.Domains)],
		Slots:   options.Slots,
	}
	return &Backend{Service: g.Service, Listed: listed, StandIn: standIn, process: process}, nil
}

// declare writes the declarations to the store.
func (f *Fleet) declare() error {
	for _, s := range f.options.Services {
		data, err := json.Marshal(s)
		if err != nil {
			return eris.Wrap(err, "encode declaration")
		}
		if _, err := f.Client.Put(context.Background(), storer.ServiceKey(s.Name), data, 0, 0); err != nil {
			return err
		}
	}
	return nil
}

// Start starts a further instance. It returns an error if the instance cannot listen.
func (f *Fleet) Start() (*server.Server, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	settings := f.settings(f.started)
	f.started++
	if err := f.addProxy(&settings); err != nil {
		return nil, err
	}
	out := f.options.Log
	if out == nil {
		out = io.Discard
	}
	log, err := logger.New(out, settings.Log.Level, settings.Log.Format, settings.Instance.Name, logger.RequestLimits{Notable: settings.Log.Notable, Sampled: settings.Log.Sampled})
	if err != nil {
		return nil, err
	}
	s, err := server.New(settings, log)
	if err != nil {
		return nil, err
	}
	f.servers = append(f.servers, s)
	if f.options.Proxied {
		forward(f.proxies[len(f.proxies)-1], s.Listening().Inner)
	}
	return s, nil
}

// addProxy starts a proxy for the inner listener of a new instance and lets the
// instance advertise it. It does nothing if the fleet is not proxied.
func (f *Fleet) addProxy(settings *configurer.Settings) error {
	if !f.options.Proxied {
		return nil
	}
	p, err := newProxy(settings.Instance.Name)
	if err != nil {
		return err
	}
	f.proxies = append(f.proxies, p)
	settings.Inner.Advertise = p.Listen
	return nil
}

// maxSeeds bounds the seed addresses in the settings of an instance.
const maxSeeds = 3

// settings returns the settings of the i-th instance. The caller must hold the lock.
func (f *Fleet) settings(i int) configurer.Settings {
	var s configurer.Settings
	s.Instance.Name = fmt.Sprintf("entry-%d", i)
	s.Instance.Domain = f.options.Domains[i%len(f.options.Domains)]
	s.Callers.Listen = loopback
	s.Callers.Keep = f.options.Keep
	s.Callers.Header = "Caller"
	s.Inner.Listen = loopback
	s.Inner.Key = fleetKey
	for _, other := range f.servers {
		if len(s.Inner.Seeds) < maxSeeds {
			s.Inner.Seeds = append(s.Inner.Seeds, other.Inner())
		}
	}
	s.Operators.Listen = loopback
	s.Platform.Address = f.storeProcess.Address()
	s.Platform.Patience = time.Second
	s.Log.Level = "info"
	if f.options.Level != "" {
		s.Log.Level = f.options.Level
	}
	s.Log.Format = "text"
	s.Limits.HeadBytes = 64 << 10
	s.Limits.HeadTimeout = 10 * time.Second
	s.Limits.IdleTimeout = 2 * time.Minute
	s.Limits.StallTimeout = time.Minute
	s.Limits.Policy = f.options.Policy
	return s
}

// waitReady waits until every instance is ready and knows all others as ready.
func (f *Fleet) waitReady() error {
	deadline := time.Now().Add(startTimeout)
	for time.Now().Before(deadline) {
		if f.ready() {
			return nil
		}
		time.Sleep(readyPollInterval)
	}
	return eris.Wrapf(ErrStart, "not ready after %v", startTimeout)
}

// ready reports whether every instance is ready, knows all others as ready and has at
// least two documents for each service: its declaration and its list of backend servers.
func (f *Fleet) ready() bool {
	for _, s := range f.Servers() {
		d, ok := s.Dump()
		if !ok || !d.Ready || len(d.Documents) < 2*len(f.options.Services) {
			return false
		}
		ready := 0
		for _, m := range d.Members {
			if m.Ready {
				ready++
			}
		}
		if ready < f.options.Instances {
			return false
		}
	}
	return true
}

// Servers returns the running instances.
func (f *Fleet) Servers() []*server.Server {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]*server.Server(nil), f.servers...)
}

// Entries returns the instances' addresses for callers.
func (f *Fleet) Entries() []string {
	var result []string
	for _, s := range f.Servers() {
		result = append(result, s.Public())
	}
	return result
}

// Replace starts a new instance and shuts the oldest one down gracefully. It returns
// an error if the new instance does not start.
func (f *Fleet) Replace() error {
	f.mu.Lock()
	oldest := f.servers[0]
	f.mu.Unlock()
	if _, err := f.Start(); err != nil {
		return err
	}
	oldest.Shutdown()
	f.remove(oldest)
	return nil
}

// remove removes an instance from the list of running ones.
func (f *Fleet) remove(s *server.Server) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := range f.servers {
		if f.servers[i] == s {
			f.servers = append(f.servers[:i:i], f.servers[i+1:]...)
			return
		}
	}
}

// Shutdown shuts all instances down gracefully and concurrently, and waits for them.
func (f *Fleet) Shutdown() {
	var group sync.WaitGroup
	for _, s := range f.Servers() {
		group.Add(1)
		go func() {
			defer group.Done()
			s.Shutdown()
		}()
	}
	group.Wait()
	f.mu.Lock()
	f.servers = nil
	f.mu.Unlock()
}

// Close stops the instances, stand-ins and proxies immediately.
func (f *Fleet) Close() {
	for _, s := range f.Servers() {
		s.Close()
	}
	for _, b := range f.Backends {
		b.process.Close()
	}
	for _, p := range f.proxies {
		p.Stop()
	}
	f.storeProcess.Close()
}
