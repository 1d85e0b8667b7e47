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

// Times of writes to the store.
const (
	// writeLeast is the least time between writes of one service's tallies.
	writeLeast = 5 * time.Second
	// writeShare is the time between two writes of any service: it keeps the
	// writes of the fleet at 100 a second.
	writeShare = 10 * time.Millisecond
	// failureFirst is the wait after a write that did not reach the store; it
	// doubles up to the interval of writes.
	failureFirst = 2 * time.Second
)

// WriteInterval returns the time between writes of one service's tallies in a
// fleet with the given number of services.
func WriteInterval(services int) time.Duration {
	return max(writeLeast, time.Duration(services)*writeShare)
}

// page is what a tally writer holds of one service.
type page struct {
	// tallies holds the newest tally of each incarnation by Owner.
	tallies *container.Table[string, descriptor.Tally]
	// stored holds the version of each incarnation in the store.
	stored   *container.Table[string, uint64]
	revision uint64
	dirty    bool
	// urgent tells that a final tally waits.
	urgent bool
	write  descriptor.WriteID
	nextAt time.Time
	// interval is the time between writes at the last one.
	interval time.Duration
	// failures counts the writes in a row that did not reach the store.
	failures int
	// jitter sets the services of a fleet apart; it is from 0 to 1.
	jitter float64
	// writing holds the versions of the write under way.
	writing []descriptor.Tally
}

// Owner names the incarnation that a tally belongs to.
func Owner(t descriptor.Tally) string {
	return t.Instance + "/" + strconv.FormatInt(t.Incarnation, 36)
}

// Writer merges the tallies of many instances and writes them to the store.
type Writer struct {
	self  descriptor.Member
	next  func() descriptor.WriteID
	pages *container.Table[string, *page]
}

// NewWriter returns a writer without tallies.
func NewWriter(self descriptor.Member, next func() descriptor.WriteID) *Writer {
	return &Writer{self: self, next: next, pages: container.NewTable[string, *page]()}
}

func (w *Writer) page(service string) *page {
	p, ok := w.pages.Get(service)
	if !ok {
		p = &page{
			tallies: container.NewTable[string, descriptor.Tally](),
			stored:  container.NewTable[string, uint64](),
			jitter:  float64(xxhash.Sum64String(service)>>11) / (1 << 53),
		}
		w.pages.Put(service, p)
	}
	return p
}

// Merge takes in a tally; an older version changes nothing.
func (w *Writer) Merge(t descriptor.Tally) {
	p := w.page(t.Service)
	if p.isFolded(t) {
		return
	}
	if p.merge(t) {
		p.dirty = true
		p.urgent = p.urgent || t.Final
	}
}

func (p *page) merge(t descriptor.Tally) bool {
	owner := Owner(t)
	old, ok := p.tallies.Get(owner)
	if ok && old.Version >= t.Version {
		return false
	}
	p.tallies.Put(owner, t)
	return true
}

// isFolded tells whether the folded tally contains t.
func (p *page) isFolded(t descriptor.Tally) bool {
	_, found := slices.BinarySearch(p.folded(), Owner(t))
	return found
}

// folded lists the incarnations that the folded tally contains, sorted.
func (p *page) folded() []string {
	t, _ := p.tallies.Get(Owner(descriptor.Tally{Instance: FoldedInstance}))
	return t.Folded
}

// Due returns the writes to make now.
func (w *Writer) Due(now time.Time, services int) []descriptor.Action {
	every := WriteInterval(services)
	var actions []descriptor.Action
	for service, p := range w.pages.All {
		if !p.dirty || p.write != 0 || now.Before(p.nextAt) && !p.urgent {
			continue
		}
		p.write = w.next()
		p.nextAt = now.Add(every)
		p.interval = every
		p.dirty = false
		p.urgent = false
		p.writing = Fold(p.list(), now)
		actions = append(actions, descriptor.WriteTallies{
			Write:   p.write,
			Service: service,
			Tallies: p.writing,
			Expect:  p.revision,
		})
	}
	return actions
}

func (p *page) list() []descriptor.Tally {
	list := make([]descriptor.Tally, 0, p.tallies.Len())
	for _, t := range p.tallies.All {
		list = append(list, t)
	}
	sort.Slice(list, func(i, j int) bool { return Owner(list[i]) < Owner(list[j]) })
	return list
}

// Addressed is a receipt for an instance.
type Addressed struct {
	Instance string
	Receipt  descriptor.Receipt
}

// Written takes in the end of a write and returns the receipts to send and
// whether the write was one of this writer.
func (w *Writer) Written(e descriptor.Written) ([]Addressed, bool) {
	for _, p := range w.pages.All {
		if p.write == 0 || p.write != e.Write {
			continue
		}
		p.write = 0
		return p.finish(e), true
	}
	return nil, false
}

func (p *page) finish(e descriptor.Written) []Addressed {
	switch e.Result {
	case descriptor.WriteAccepted:
		p.revision = e.Revision
		p.failures = 0
		p.drop()
		return p.receipts()
	case descriptor.WriteConflict:
		p.revision = e.Revision
		for _, t := range e.Tallies {
			p.merge(t)
		}
		p.dropFolded()
		p.nextAt = e.At
	case descriptor.WriteUnavailable, descriptor.WriteUnknown:
		p.nextAt = e.At.Add(p.backoff())
		p.urgent = false
	}
	p.dirty = true
	return nil
}

// drop replaces the tallies that the store now holds folded.
func (p *page) drop() {
	for _, t := range p.writing {
		if t.Instance == FoldedInstance {
			p.merge(t)
		}
	}
	p.dropFolded()
}

// dropFolded removes the tallies that a folded one contains.
func (p *page) dropFolded() {
	for _, owner := range p.folded() {
		p.tallies.Delete(owner)
	}
}

// backoff returns the wait after one more failure.
func (p *page) backoff() time.Duration {
	wait := min(p.interval, failureFirst<<min(p.failures, 8))
	p.failures++
	return wait/2 + time.Duration(p.jitter*float64(wait))
}

// receipts returns the confirmations of the tallies just written.
func (p *page) receipts() []Addressed {
	var result []Addressed
	for _, t := range p.writing {
		owner := Owner(t)
		if v, _ := p.stored.Get(owner); v >= t.Version {
			continue
		}
		p.stored.Put(owner, t.Version)
		receipt := descriptor.Receipt{Service: t.Service, Incarnation: t.Incarnation, Version: t.Version}
		result = append(result, Addressed{Instance: t.Instance, Receipt: receipt})
	}
	return result
}

// Unwritten returns the number of services with tallies not yet in the store.
func (w *Writer) Unwritten() int {
	n := 0
	for _, p := range w.pages.All {
		if p.dirty || p.write != 0 {
			n++
		}
	}
	return n
}
