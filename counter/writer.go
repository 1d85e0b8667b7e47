package counter

import (
	"sort"
	"strconv"
	"time"

	"monsoonswitch/container"
	"monsoonswitch/descriptor"
)

// Times of writes to the store.
const (
	// writeEvery is the time between writes of one service's tallies.
	writeEvery = 5 * time.Second
	// failureWait is the wait after a write that did not reach the store.
	failureWait = 2 * time.Second
)

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
		}
		w.pages.Put(service, p)
	}
	return p
}

// Merge takes in a tally; an older version changes nothing.
func (w *Writer) Merge(t descriptor.Tally) {
	p := w.page(t.Service)
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

// Due returns the writes to make now.
func (w *Writer) Due(now time.Time) []descriptor.Action {
	var actions []descriptor.Action
	for service, p := range w.pages.All {
		if !p.dirty || p.write != 0 || now.Before(p.nextAt) && !p.urgent {
			continue
		}
		p.write = w.next()
		p.nextAt = now.Add(writeEvery)
		p.dirty = false
		p.urgent = false
		p.writing = p.list()
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
		return p.receipts()
	case descriptor.WriteConflict:
		p.revision = e.Revision
		for _, t := range e.Tallies {
			p.merge(t)
		}
		p.nextAt = e.At
	case descriptor.WriteUnavailable, descriptor.WriteUnknown:
		p.nextAt = e.At.Add(failureWait)
	}
	p.dirty = true
	return nil
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
