package loader

import (
	"context"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"monsoonswitch/assembler"
	"monsoonswitch/descriptor"
	"monsoonswitch/imitator"
	"monsoonswitch/operator"
	"monsoonswitch/storer"
)

// ErrFleet reports a fleet that does not support an operation of the scenario.
var ErrFleet = eris.New("fleet does not support the scenario")

// backend controls one backend server of a fleet under test.
type backend interface {
	// Service and ID return the service name and the backend server's ID.
	Service() string
	ID() string
	// SetFault replaces the active faults.
	SetFault(imitator.BackendFault)
	// Crash breaks all connections; the backend server is down for a while then.
	Crash()
	// Entry returns its entry in the list.
	Entry() descriptor.Backend
	// Counts returns the counters of the backend server.
	Counts() imitator.BackendCounts
}

// fleet controls a fleet under test, in this process or in other processes.
type fleet interface {
	// Entries returns the instances' listening addresses for callers.
	Entries() []string
	// Backends returns the backend servers.
	Backends() []backend
	// SetStoreFault replaces the active faults of the platform's store.
	SetStoreFault(imitator.StoreFault)
	// Register adds an entry to the list of backend servers, and Deregister removes one.
	Register(service string, b descriptor.Backend)
	Deregister(service, id string)
	// Peek returns the item stored under key; false means that there is none or
	// that the read failed.
	Peek(key string) (storer.Item, bool)
	// Dumps returns the state dumps of the instances that answer.
	Dumps() []descriptor.Dump
	// Replace starts one instance and shuts the oldest one down. It returns an
	// error if the fleet cannot start instances.
	Replace() error
	// Cut blocks the inbound direction of the links that an instance accepted,
	// and Heal restores it. Cut returns an error if no proxy precedes the instance.
	Cut(instance int) error
	Heal(instance int)
	// Finish shuts the fleet down gracefully, or waits until a fleet of other
	// processes has stored its last tallies.
	Finish()
	// Close stops everything that the fleet started.
	Close()
}

// localFleet is a fleet in this process.
type localFleet struct{ *assembler.Fleet }

// cutsLinks reports whether the scenario cuts links between instances.
func (s Scenario) cutsLinks() bool {
	for _, f := range s.Faults {
		if f.Kind == FaultOneWay {
			return true
		}
	}
	return false
}

// localBackend is a backend server of a localFleet.
type localBackend struct{ *assembler.Backend }

// newLocalFleet starts a fleet for a scenario. It returns an error if the fleet does
// not become ready.
func newLocalFleet(s Scenario, d deployment) (fleet, error) {
	f, err := assembler.New(assembler.Options{
		Domains:   d.domains,
		Instances: s.Instances,
		Groups:    d.groups(s.Seed),
		Services:  d.services,
		Policy:    s.Policy,
		Proxied:   s.cutsLinks(),
		Keep:      addressKeepTime,
	})
	if err != nil {
		return nil, err
	}
	return localFleet{f}, nil
}

// Service implements backend.
func (b localBackend) Service() string { return b.Backend.Service }

// ID implements backend.
func (b localBackend) ID() string { return b.Listed.ID }

// SetFault implements backend.
func (b localBackend) SetFault(f imitator.BackendFault) { b.StandIn.SetFault(f, time.Now()) }

// Crash implements backend.
func (b localBackend) Crash() { b.StandIn.Crash(time.Now()) }

// Entry implements backend.
func (b localBackend) Entry() descriptor.Backend { return b.Listed }

// Counts implements backend.
func (b localBackend) Counts() imitator.BackendCounts { return b.StandIn.Counts() }

// Backends implements fleet.
func (l localFleet) Backends() []backend {
	var result []backend
	for _, b := range l.Fleet.Backends {
		result = append(result, localBackend{b})
	}
	return result
}

// SetStoreFault implements fleet.
func (l localFleet) SetStoreFault(f imitator.StoreFault) { l.Store.SetFault(f) }

// Register implements fleet.
func (l localFleet) Register(service string, b descriptor.Backend) { l.Store.Register(service, b) }

// Deregister implements fleet.
func (l localFleet) Deregister(service, id string) { l.Store.Deregister(service, id) }

// Peek implements fleet. It reads the store directly, unaffected by store faults.
func (l localFleet) Peek(key string) (storer.Item, bool) { return l.Store.Peek(key) }

// Dumps implements fleet.
func (l localFleet) Dumps() []descriptor.Dump {
	var result []descriptor.Dump
	for _, s := range l.Servers() {
		if d, ok := s.Dump(); ok {
			result = append(result, d)
		}
	}
	return result
}

// Cut implements fleet.
func (l localFleet) Cut(i int) error { return l.Fleet.Cut(i, assembler.Inward) }

// Finish implements fleet.
func (l localFleet) Finish() { l.Shutdown() }

// Remote holds the addresses of a fleet whose instances and stand-ins run in other
// processes.
type Remote struct {
	// Store is the address of the platform's stand-in.
	Store string
	// Entries are the instances' addresses for callers, Operators those for
	// operators.
	Entries, Operators []string
}

// remoteFleet is a fleet of other processes.
type remoteFleet struct {
	addresses Remote
	client    *storer.Client
	backends  []backend
}

// newRemoteFleet reads the backend servers of a running fleet from the platform. It
// returns an error if no backend servers are listed or no instance addresses are
// given.
func newRemoteFleet(a Remote) (fleet, error) {
	r := &remoteFleet{addresses: a, client: storer.NewClient(a.Store)}
	listing, err := r.client.Instances(context.Background(), 0, 0)
	if err != nil {
		return nil, err
	}
	for _, s := range listing.Services {
		for _, b := range s.Decode() {
			r.backends = append(r.backends, remoteBackend{service: s.Name, listed: b})
		}
	}
	if len(r.backends) == 0 || len(a.Entries) == 0 {
		return nil, eris.Wrap(ErrFleet, "no backend servers listed or no instance addresses given")
	}
	return r, nil
}

// remoteBackend is a backend server stand-in in another process.
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

// Crash implements backend.
func (b remoteBackend) Crash() { _ = exchange(b.listed.Address, imitator.CrashPath, struct{}{}, nil) }

// Entry implements backend.
func (b remoteBackend) Entry() descriptor.Backend { return b.listed }

// Counts implements backend. It returns zero counts if the process does not answer.
func (b remoteBackend) Counts() imitator.BackendCounts {
	var c imitator.BackendCounts
	_ = exchange(b.listed.Address, imitator.CountsPath, nil, &c)
	return c
}

// Entries implements fleet.
func (r *remoteFleet) Entries() []string { return r.addresses.Entries }

// Backends implements fleet.
func (r *remoteFleet) Backends() []backend { return r.backends }

// SetStoreFault implements fleet.
func (r *remoteFleet) SetStoreFault(f imitator.StoreFault) {
	_ = exchange(r.addresses.Store, imitator.FaultPath, f, nil)
}

// Register implements fleet.
func (r *remoteFleet) Register(service string, b descriptor.Backend) {
	_ = exchange(r.addresses.Store, imitator.RegisterPath+service+"/"+b.ID, b, nil)
}

// Deregister implements fleet.
func (r *remoteFleet) Deregister(service, id string) {
	_ = exchangeWith(http.MethodDelete, r.addresses.Store, imitator.RegisterPath+service+"/"+id, nil, nil)
}

// Peek implements fleet. It finds nothing while the store is unavailable.
func (r *remoteFleet) Peek(key string) (storer.Item, bool) {
	item, err := r.client.Get(context.Background(), key)
	return item, err == nil
}

// Dumps implements fleet.
func (r *remoteFleet) Dumps() []descriptor.Dump {
	var result []descriptor.Dump
	for _, a := range r.addresses.Operators {
		var d struct{ State descriptor.Dump }
		if exchange(a, operator.DumpPath, nil, &d) == nil {
			result = append(result, d.State)
		}
	}
	return result
}

// Replace implements fleet. It always fails, since instances in other processes
// cannot be started from here.
func (r *remoteFleet) Replace() error { return eris.Wrap(ErrFleet, "instances run in other processes") }

// Cut implements fleet. It always fails, since no proxy precedes the instances.
func (r *remoteFleet) Cut(int) error {
	return eris.Wrap(ErrFleet, "no proxies in front of the instances")
}

// Heal implements fleet. It does nothing, since Cut always fails.
func (r *remoteFleet) Heal(int) {}

// tallyFlushTime is the longest time that the last tallies take to reach the
// store.
const tallyFlushTime = 15 * time.Second

// Finish implements fleet.
func (r *remoteFleet) Finish() { time.Sleep(tallyFlushTime) }

// Close implements fleet.
func (r *remoteFleet) Close() {}
