package loader

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"monsoonswitch/descriptor"
	"monsoonswitch/forwarder"
	"monsoonswitch/imitator"
	"monsoonswitch/operator"
	"monsoonswitch/storer"
)

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
// returns ErrFleet if an address is missing or given twice, if the backend servers are
// not those of the deployment, or if an instance or a backend server does not answer
// within readyTimeout.
func newRemoteFleet(a Remote, d deployment) (fleet, error) {
	if err := a.check(); err != nil {
		return nil, err
	}
	r := &remoteFleet{addresses: a, client: storer.NewClient(a.Store)}
	listing, err := r.client.Instances(context.Background(), 0, 0)
	if err != nil {
		return nil, err
	}
	listed := make(map[string]int)
	for _, s := range listing.Services {
		for _, b := range s.Decode() {
			r.backends = append(r.backends, remoteBackend{service: s.Name, listed: b})
			listed[s.Name]++
		}
	}
	if !maps.Equal(listed, d.sizes) {
		return nil, eris.Wrapf(ErrFleet, "backend servers listed by service: got %v, the deployment has %v", listed, d.sizes)
	}
	return r, r.waitReady(d)
}

// check returns ErrFleet unless every instance has one address for callers and one for
// operators, each given once.
func (a Remote) check() error {
	for _, list := range [][]string{a.Entries, a.Operators} {
		if len(list) == 0 {
			return eris.Wrap(ErrFleet, "the addresses of instances for callers and for operators must be given")
		}
		if len(slices.Compact(slices.Sorted(slices.Values(list)))) != len(list) {
			return eris.Wrapf(ErrFleet, "an address is given twice: %v", list)
		}
	}
	if len(a.Entries) != len(a.Operators) {
		return eris.Wrapf(ErrFleet, "%d addresses of instances for callers and %d for operators must be equally many", len(a.Entries), len(a.Operators))
	}
	return nil
}

const (
	// readyTimeout bounds the wait until every instance and backend server answers.
	readyTimeout = 10 * time.Second
	// readyPollInterval is the time between two checks whether they do.
	readyPollInterval = 200 * time.Millisecond
)

// waitReady waits until every instance names addresses of each service and dumps its
// state, and every backend server answers. It returns ErrFleet after readyTimeout.
func (r *remoteFleet) waitReady(d deployment) error {
	deadline := time.Now().Add(readyTimeout)
	for {
		err := r.ready(d)
		if err == nil || time.Now().After(deadline) {
			return err
		}
		time.Sleep(readyPollInterval)
	}
}

// ready returns ErrFleet if an instance or a backend server does not answer.
func (r *remoteFleet) ready(d deployment) error {
	for _, a := range r.addresses.Entries {
		for _, s := range d.services {
			var answer forwarder.AddressAnswer
			path := forwarder.AddressPath + "?service=" + s.Name + "&domain=" + d.domains[0] + "&caller=load"
			if err := exchange(a, path, nil, &answer); err != nil {
				return eris.Wrapf(ErrFleet, "instance at %s: %v", a, err)
			}
			if len(answer.Addresses) == 0 {
				return eris.Wrapf(ErrFleet, "instance at %s names no address for %s", a, s.Name)
			}
		}
	}
	if n := countInstances(r.Dumps()); n != r.Size() {
		return eris.Wrapf(ErrFleet, "%d instances answer operators, must be %d", n, r.Size())
	}
	for _, b := range r.backends {
		if _, err := b.Counts(); err != nil {
			return eris.Wrapf(ErrFleet, "backend server %s: %v", b.ID(), err)
		}
	}
	return nil
}

// countInstances returns the number of different instances in dumps.
func countInstances(dumps []descriptor.Dump) int {
	seen := make(map[string]bool)
	for _, d := range dumps {
		seen[d.Instance.ID] = true
	}
	return len(seen)
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
func (b remoteBackend) SetFault(f imitator.BackendFault) error {
	return exchange(b.listed.Address, imitator.FaultPath, f, nil)
}

// Crash implements backend.
func (b remoteBackend) Crash() error {
	return exchange(b.listed.Address, imitator.CrashPath, struct{}{}, nil)
}

// Entry implements backend.
func (b remoteBackend) Entry() descriptor.Backend { return b.listed }

// Counts implements backend.
func (b remoteBackend) Counts() (imitator.BackendCounts, error) {
	var c imitator.BackendCounts
	err := exchange(b.listed.Address, imitator.CountsPath, nil, &c)
	return c, err
}

// Entries implements fleet.
func (r *remoteFleet) Entries() []string { return r.addresses.Entries }

// Backends implements fleet.
func (r *remoteFleet) Backends() []backend { return r.backends }

// Size implements fleet.
func (r *remoteFleet) Size() int { return len(r.addresses.Entries) }

// SetStoreFault implements fleet.
func (r *remoteFleet) SetStoreFault(f imitator.StoreFault) error {
	return exchange(r.addresses.Store, imitator.FaultPath, f, nil)
}

// Register implements fleet.
func (r *remoteFleet) Register(service string, b descriptor.Backend) error {
	return exchange(r.addresses.Store, imitator.RegisterPath+service+"/"+b.ID, b, nil)
}

// Deregister implements fleet.
func (r *remoteFleet) Deregister(service, id string) error {
	return exchangeWith(http.MethodDelete, r.addresses.Store, imitator.RegisterPath+service+"/"+id, nil, nil)
}

// Peek implements fleet. It fails while the store is unavailable.
func (r *remoteFleet) Peek(key string) (storer.Item, error) {
	return r.client.Get(context.Background(), key)
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
