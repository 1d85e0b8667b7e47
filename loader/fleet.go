package loader

import (
	"time"

	"github.com/rotisserie/eris"

	"monsoonswitch/assembler"
	"monsoonswitch/descriptor"
	"monsoonswitch/imitator"
	"monsoonswitch/storer"
)

// ErrFleet reports a fleet that does not support an operation of the scenario.
var ErrFleet = eris.New("fleet does not support the scenario")

// backend controls one backend server of a fleet under test.
type backend interface {
	// Service and ID return the service name and the backend server's ID.
	Service() string
	ID() string
	// SetFault replaces the active faults. It returns an error if the backend server
	// does not confirm them.
	SetFault(imitator.BackendFault) error
	// Crash breaks all connections; the backend server is down for a while then. It returns
	// an error if the backend server does not confirm that.
	Crash() error
	// Entry returns its entry in the list.
	Entry() descriptor.Backend
	// Counts returns the counters of the backend server, or an error if it does not
	// answer.
	Counts() (imitator.BackendCounts, error)
}

// fleet controls a fleet under test, in this process or in other processes.
type fleet interface {
	// Entries returns the instances' listening addresses for callers.
	Entries() []string
	// Backends returns the backend servers.
	Backends() []backend
	// Size returns the number of instances that have to answer.
	Size() int
	// SetStoreFault replaces the active faults of the platform's store. It returns an
	// error if the store does not confirm them.
	SetStoreFault(imitator.StoreFault) error
	// Register adds an entry to the list of backend servers, and Deregister removes one.
	// They return an error if the store does not confirm that.
	Register(service string, b descriptor.Backend) error
	Deregister(service, id string) error
	// Peek returns the item stored under key. It returns storer.ErrNotFound if there is
	// none, and another error if the read failed.
	Peek(key string) (storer.Item, error)
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
type localFleet struct {
	*assembler.Fleet
	// size is the number of instances that the scenario runs with.
	size int
}

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
	return localFleet{f, s.Instances}, nil
}

// Service implements backend.
func (b localBackend) Service() string { return b.Backend.Service }

// ID implements backend.
func (b localBackend) ID() string { return b.Listed.ID }

// SetFault implements backend.
func (b localBackend) SetFault(f imitator.BackendFault) error {
	b.StandIn.SetFault(f, time.Now())
	return nil
}

// Crash implements backend.
func (b localBackend) Crash() error {
	b.StandIn.Crash(time.Now())
	return nil
}

// Entry implements backend.
func (b localBackend) Entry() descriptor.Backend { return b.Listed }

// Counts implements backend.
func (b localBackend) Counts() (imitator.BackendCounts, error) { return b.StandIn.Counts(), nil }

// Backends implements fleet.
func (l localFleet) Backends() []backend {
	var result []backend
	for _, b := range l.Fleet.Backends {
		result = append(result, localBackend{b})
	}
	return result
}

// Size implements fleet.
func (l localFleet) Size() int { return l.size }

// SetStoreFault implements fleet.
func (l localFleet) SetStoreFault(f imitator.StoreFault) error {
	l.Store.SetFault(f)
	return nil
}

// Register implements fleet.
func (l localFleet) Register(service string, b descriptor.Backend) error {
	l.Store.Register(service, b)
	return nil
}

// Deregister implements fleet.
func (l localFleet) Deregister(service, id string) error {
	l.Store.Deregister(service, id)
	return nil
}

// Peek implements fleet. It reads the store directly, unaffected by store faults.
func (l localFleet) Peek(key string) (storer.Item, error) {
	item, ok := l.Store.Peek(key)
	if !ok {
		return item, eris.Wrap(storer.ErrNotFound, key)
	}
	return item, nil
}

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
