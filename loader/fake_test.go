package loader

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"

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
