package loader

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"monsoonswitch/assembler"
	"monsoonswitch/descriptor"
	"monsoonswitch/imitator"
	"monsoonswitch/operator"
	"monsoonswitch/storer"
)

// ErrFleet reports a fleet that can't do what a scenario needs.
var ErrFleet = eris.New("fleet can't run the scenario")

// backend is a backend server of a fleet under test.
type backend interface {
	// Service and ID name it.
	Service() string
	ID() string
	// SetFault replaces its faults.
	SetFault(imitator.BackendFault)
	// Counts returns what it counted.
	Counts() imitator.BackendCounts
}

// fleet is a fleet under test, in this process or in others.
type fleet interface {
	// Entries returns the addresses of instances for callers.
	Entries() []string
	// Backends returns the backend servers.
	Backends() []backend
	// SetStoreFault replaces the faults of the platform.
	SetStoreFault(imitator.StoreFault)
	// Peek reads the store.
	Peek(key string) (storer.Item, bool)
	// Dumps returns the states of the instances.
	Dumps() []descriptor.Dump
	// Replace replaces one instance.
	Replace() error
	// Cut stops what others send over links that an instance accepted, and
	// Heal ends that.
	Cut(instance int) error
	Heal(instance int)
	// Finish ends the fleet gracefully, or waits until its counts are stored.
	Finish()
	// Close ends everything that the fleet started.
	Close()
}

// local is a fleet in this process.
type local struct{ *assembler.Fleet }

// cutsLinks tells whether a scenario cuts links between instances.
func (s Scenario) cutsLinks() bool {
	for _, f := range s.Faults {
		if f.Kind == FaultOneWay {
			return true
		}
	}
	return false
}

// localBackend is a backend server of it.
type localBackend struct{ *assembler.Backend }

// newLocal starts a fleet for a scenario.
func newLocal(s Scenario, d deployment) (fleet, error) {
	f, err := assembler.New(assembler.Options{
		Domains:   d.domains,
		Instances: s.Instances,
		Groups:    d.groups(s.Seed),
		Services:  d.services,
		Policy:    s.Policy,
		Proxied:   s.cutsLinks(),
		Keep:      keepTime,
	})
	if err != nil {
		return nil, err
	}
	return local{f}, nil
}

// Service implements backend.
func (b localBackend) Service() string { return b.Backend.Service }

// ID implements backend.
func (b localBackend) ID() string { return b.Listed.ID }

// SetFault implements backend.
func (b localBackend) SetFault(f imitator.BackendFault) { b.Stand.SetFault(f, time.Now()) }

// Counts implements backend.
func (b localBackend) Counts() imitator.BackendCounts { return b.Stand.Counts() }

// Backends implements fleet.
func (l local) Backends() []backend {
	var result []backend
	for _, b := range l.Fleet.Backends {
		result = append(result, localBackend{b})
	}
	return result
}

// SetStoreFault implements fleet.
func (l local) SetStoreFault(f imitator.StoreFault) { l.Store.SetFault(f) }

// Peek implements fleet. It sees the store past its faults.
func (l local) Peek(key string) (storer.Item, bool) { return l.Store.Peek(key) }

// Dumps implements fleet.
func (l local) Dumps() []descriptor.Dump {
	var result []descriptor.Dump
	for _, s := range l.Servers() {
		if d, ok := s.Dump(); ok {
			result = append(result, d)
		}
	}
	return result
}

// Cut implements fleet.
func (l local) Cut(i int) error { return l.Fleet.Cut(i, assembler.Inward) }

// Finish implements fleet.
func (l local) Finish() { l.Shutdown() }

// Remote names a fleet of other processes with the stand-ins around it.
type Remote struct {
	// Store is the address of the stand-in of the platform.
	Store string
	// Entries and Operators are the addresses of the instances.
	Entries, Operators []string
}

// remote is a fleet of other processes.
type remote struct {
	addresses Remote
	client    *storer.Client
	backends  []backend
}

// newRemote finds the backend servers of a fleet that runs.
func newRemote(a Remote) (fleet, error) {
	r := &remote{addresses: a, client: storer.NewClient(a.Store)}
	listing, err := r.client.Instances(context.Background(), 0, 0)
	if err != nil {
		return nil, err
	}
	for _, s := range listing.Services {
		for _, b := range s.Backends {
			r.backends = append(r.backends, remoteBackend{service: s.Name, listed: b})
		}
	}
	if len(r.backends) == 0 || len(a.Entries) == 0 {
		return nil, eris.Wrap(ErrFleet, "no backend servers or no instances")
	}
	return r, nil
}

// remoteBackend is a stand-in of a backend server in another process.
type remoteBackend struct {
	service string
	listed  descriptor.Backend
}

// Service implements backend.
func (b remoteBackend) Service() string { return b.service }

// ID implements backend.
func (b remoteBackend) ID() string { return b.listed.ID }

// SetFault implements backend.
func (b remoteBackend) SetFault(f imitator.BackendFault) {
	_ = exchange(b.listed.Address, imitator.FaultPath, f, nil)
}

// Counts implements backend. One that does not answer counted nothing.
func (b remoteBackend) Counts() imitator.BackendCounts {
	var c imitator.BackendCounts
	_ = exchange(b.listed.Address, imitator.CountsPath, nil, &c)
	return c
}

// Entries implements fleet.
func (r *remote) Entries() []string { return r.addresses.Entries }

// Backends implements fleet.
func (r *remote) Backends() []backend { return r.backends }

// SetStoreFault implements fleet.
func (r *remote) SetStoreFault(f imitator.StoreFault) {
	_ = exchange(r.addresses.Store, imitator.FaultPath, f, nil)
}

// Peek implements fleet. During an outage nothing is found.
func (r *remote) Peek(key string) (storer.Item, bool) {
	item, err := r.client.Get(context.Background(), key)
	return item, err == nil
}

// Dumps implements fleet.
func (r *remote) Dumps() []descriptor.Dump {
	var result []descriptor.Dump
	for _, a := range r.addresses.Operators {
		var d struct{ State descriptor.Dump }
		if exchange(a, operator.DumpPath, nil, &d) == nil {
			result = append(result, d.State)
		}
	}
	return result
}

// Replace implements fleet: a process starts no other.
func (r *remote) Replace() error { return eris.Wrap(ErrFleet, "instances are other processes") }

// Cut implements fleet.
func (r *remote) Cut(int) error { return eris.Wrap(ErrFleet, "no proxies before the instances") }

// Heal implements fleet.
func (r *remote) Heal(int) {}

// storeTime is how long the last counts take to the store.
const storeTime = 15 * time.Second

// Finish implements fleet.
func (r *remote) Finish() { time.Sleep(storeTime) }

// Close implements fleet.
func (r *remote) Close() {}
