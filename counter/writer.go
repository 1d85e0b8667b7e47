package counter

import (
	"slices"
	"sort"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"monsoonswitch/container"
	"monsoonswitch/descriptor"
)

// Intervals of writes to the store.
const (
	// minWriteInterval is the minimum time between writes of one service's tallies.
	minWriteInterval = 5 * time.Second
	// writeIntervalPerService is the minimum mean time between writes of the whole
	// fleet: the interval of each service is at least this times the number of
	// services. It limits the fleet to 100 writes per second.
	writeIntervalPerService = 10 * time.Millisecond
	// initialBackoff is the mean backoff after the first failed write. It doubles
	// with each further failure, up to the interval between writes. The jitter of a
	// service makes it 0.5 to 1.5 times as long.
	initialBackoff = 2 * time.Second
)

// WriteInterval returns the time between writes of one service's tallies in a
// fleet with the given number of services.
func WriteInterval(services int) time.Duration {
	return max(minWriteInterval, time.Duration(services)*writeIntervalPerService)
}

// serviceTallies is the state of a tally writer for one service.
type serviceTallies struct {
	// tallies holds the newest tally of each incarnation by Owner.
	tallies *container.Table[string, descriptor.Tally]
	// stored holds the version of each incarnation's tally in the store.
	stored *container.Table[string, uint64]
	// revision is the store's revision of the service's tallies.
	revision uint64
	// dirty is set when there are tallies to write.
	dirty bool
	// urgent is set when a final tally is to be written, which does not wait for
	// nextAt.
	urgent bool
	// write is the ID of the write in progress, or 0.
	write descriptor.WriteID
	// nextAt is the earliest time of the next write.
	nextAt time.Time
	// interval is the time between writes that applied to the last write.
	interval time.Duration
	// failures counts consecutive writes that failed.
	failures int
	// jitter, from 0 to 1, spreads the retries of different services.
	jitter float64
	// writing holds the tallies of the last write.
	writing []descriptor.Tally
}

// Owner returns the identifier of the incarnation that a tally belongs to.
func Owner(t descriptor.Tally) string {
	return t.Instance + "/" + strconv.FormatInt(t.Incarnation, 36)
}

// Writer merges the tallies of many instances and writes them to the store. It is
// not safe for concurrent use.
type Writer struct {
	self      descriptor.Member
	next      func() descriptor.WriteID
	byService *container.Table[string, *serviceTallies]
}

// NewWriter returns a writer without tallies.
func NewWriter(self descriptor.Member, next func() descriptor.WriteID) *Writer {
	return &Writer{self: self, next: next, byService: container.NewTable[string, *serviceTallies]()}
}

// serviceTallies returns the state of a service and creates it if needed.
func (w *Writer) serviceTallies(service string) *serviceTallies {
	s, ok := w.byService.Get(service)
	if !ok {
		s = &serviceTallies{
			tallies: container.NewTable[string, descriptor.Tally](),
			stored:  container.NewTable[string, uint64](),
			jitter:  float64(xxhash.Sum64String(service)>>11) / (1 << 53),
		}
		w.byService.Put(service, s)
	}
	return s
}

// Merge adds a tally to the next write. Versions that are not newer than the known
// one and tallies that are already folded are ignored.
func (w *Writer) Merge(t descriptor.Tally) {
	s := w.serviceTallies(t.Service)
	if s.isFolded(t) {
		return
	}
	if s.merge(t) {
		s.dirty = true
		s.urgent = s.urgent || t.Final
	}
}

// merge stores a tally and reports whether it is newer than the known one.
func (s *serviceTallies) merge(t descriptor.Tally) bool {
	owner := Owner(t)
	old, ok := s.tallies.Get(owner)
	if ok && old.Version >= t.Version {
		return false
	}
	s.tallies.Put(owner, t)
	return true
}

// isFolded reports whether the folded tally contains t.
func (s *serviceTallies) isFolded(t descriptor.Tally) bool {
	_, found := slices.BinarySearch(s.folded(), Owner(t))
	return found
}

// folded returns the sorted owners of the tallies that the folded tally contains.
func (s *serviceTallies) folded() []string {
	t, _ := s.tallies.Get(Owner(descriptor.Tally{Instance: FoldedInstance}))
	return t.Folded
}

// NextWrites returns the writes to make now. services is the number of services in the
// fleet, which determines the interval.
func (w *Writer) NextWrites(now time.Time, services int) []descriptor.Action {
	every := WriteInterval(services)
	var actions []descriptor.Action
	for service, s := range w.byService.All {
		if !s.dirty || s.write != 0 || now.Before(s.nextAt) && !s.urgent {
			continue
		}
		s.write = w.next()
		s.nextAt = now.Add(every)
		s.interval = every
		s.dirty = false
		s.urgent = false
		s.writing = Fold(s.list(), now)
		actions = append(actions, descriptor.WriteTallies{
			Write:   s.write,
			Service: service,
			Tallies: s.writing,
			Expect:  s.revision,
		})
	}
	return actions
}

// StoreRestored has the tallies of all services written again, since the store may have lost them.
func (w *Writer) StoreRestored() {
	for _, s := range w.byService.All {
		s.dirty = s.dirty || s.tallies.Len() > 0
	}
}

// list returns the tallies sorted by owner.
func (s *serviceTallies) list() []descriptor.Tally {
	list := make([]descriptor.Tally, 0, s.tallies.Len())
	for _, t := range s.tallies.All {
		list = append(list, t)
	}
	sort.Slice(list, func(i, j int) bool { return Owner(list[i]) < Owner(list[j]) })
	return list
}

// AddressedReceipt is a receipt with the instance that it is to be sent to.
type AddressedReceipt struct {
	Instance string
	Receipt  descriptor.TallyReceipt
}

// Written handles the result of a write. It returns the receipts to send, and
// whether the write was made by this writer.
func (w *Writer) Written(e descriptor.Written) ([]AddressedReceipt, bool) {
	for _, s := range w.byService.All {
		if s.write == 0 || s.write != e.Write {
			continue
		}
		s.write = 0
		return s.finish(e), true
	}
	return nil, false
}

func (s *serviceTallies) finish(e descriptor.Written) []AddressedReceipt {
	switch e.Result {
	case descriptor.WriteAccepted:
		s.revision = e.Revision
		s.failures = 0
		s.adoptFolded()
		return s.receipts()
	case descriptor.WriteConflict:
		s.revision = e.Revision
		for _, t := range e.Tallies {
			s.merge(t)
		}
		s.dropFolded()
		s.nextAt = e.At
	case descriptor.WriteUnavailable, descriptor.WriteUnknown:
		s.nextAt = e.At.Add(s.backoff())
		s.urgent = false
	}
	s.dirty = true
	return nil
}

// adoptFolded removes the tallies that the last write folded, and keeps the
// folded tally instead.
func (s *serviceTallies) adoptFolded() {
	for _, t := range s.writing {
		if t.Instance == FoldedInstance {
			s.merge(t)
		}
	}
	s.dropFolded()
}

// dropFolded removes the tallies that the folded tally contains.
func (s *serviceTallies) dropFolded() {
	for _, owner := range s.folded() {
		s.tallies.Delete(owner)
	}
}

// backoff counts a failed write and returns the time to wait before the next one.
func (s *serviceTallies) backoff() time.Duration {
	wait := min(s.interval, initialBackoff<<min(s.failures, 8))
	s.failures++
	return wait/2 + time.Duration(s.jitter*float64(wait))
}

// receipts returns the receipts for the tallies that were just written.
func (s *serviceTallies) receipts() []AddressedReceipt {
	var result []AddressedReceipt
	for _, t := range s.writing {
		owner := Owner(t)
		if v, _ := s.stored.Get(owner); v >= t.Version {
			continue
		}
		s.stored.Put(owner, t.Version)
		receipt := descriptor.TallyReceipt{Service: t.Service, Incarnation: t.Incarnation, Version: t.Version}
		result = append(result, AddressedReceipt{Instance: t.Instance, Receipt: receipt})
	}
	return result
}

// Unwritten returns the number of services with tallies that are not in the store.
func (w *Writer) Unwritten() int {
	n := 0
	for _, s := range w.byService.All {
		if s.dirty || s.write != 0 {
			n++
		}
	}
	return n
}
