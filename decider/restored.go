package decider

import (
	"math"

	"monsoonswitch/container"
	"monsoonswitch/descriptor"
)

// departuresPerGeneration is the number of departures of backend servers in one generation, which
// bounds the memory.
const departuresPerGeneration = 1 << 14

// restoration tracks what a restore of the platform's store from an older copy makes doubtful.
type restoration struct {
	// era is the newest era of the store that is known, once eraKnown is set.
	era      uint64
	eraKnown bool
	// shown holds the revision of each document that the store last showed to this instance.
	shown *container.Table[documentKey, uint64]
	// left holds the era in which each backend server was last removed from a list.
	left *container.Generations[string, uint64]
}

// returned marks a backend server that was listed again in the era in which it was removed.
const returned = math.MaxUint64

// documentKey identifies a document.
type documentKey struct {
	kind descriptor.Kind
	name string
}

func newRestoration() restoration {
	return restoration{
		shown: container.NewTable[documentKey, uint64](),
		left:  container.NewGenerations[string, uint64](departuresPerGeneration),
	}
}

// enterEra records the era of a revision, and reports whether the store was restored since the
// newest one that was known.
func (r *restoration) enterEra(stamped uint64) bool {
	era, _ := descriptor.SplitRevision(stamped)
	restored := r.eraKnown && era > r.era
	r.era, r.eraKnown = max(r.era, era), true
	return restored
}

// recordShown records what a read of the store showed. held returns the documents that this
// instance holds.
func (r *restoration) recordShown(e descriptor.DocumentsRead, held func() []descriptor.Reference) {
	present := make(map[string]bool, len(e.Documents))
	for _, d := range e.Documents {
		present[d.Name] = true
		r.shown.Put(documentKey{d.Kind, d.Name}, d.Revision)
	}
	if era, _ := descriptor.SplitRevision(e.Revision); !e.Complete || era == 0 {
		// A document that the store no longer shows may be one that can't be decoded. The last
		// valid one stays in force then.
		return
	}
	for _, h := range held() {
		if h.Kind == e.Kind && !present[h.Name] {
			r.shown.Put(documentKey{h.Kind, h.Name}, 0)
		}
	}
}

// withoutDeparted returns a list without the backend servers that left in an earlier era. One that
// is removed and listed again within one era has written its entry again.
func (r *restoration) withoutDeparted(d descriptor.Document) []descriptor.Backend {
	era, _ := descriptor.SplitRevision(d.Revision)
	if era == 0 {
		return d.Backends
	}
	var kept []descriptor.Backend
	for _, b := range d.Backends {
		if left, ok := r.left.Get(b.ID); !ok || left >= era {
			kept = append(kept, b)
		}
	}
	return kept
}

// recordList records the backend servers that a list lacks and the one before had.
func (r *restoration) recordList(before, list descriptor.Document) {
	era, _ := descriptor.SplitRevision(list.Revision)
	present := make(map[string]bool, len(list.Backends))
	for _, b := range list.Backends {
		present[b.ID] = true
		if left, ok := r.left.Get(b.ID); ok && left >= era {
			r.left.Put(b.ID, returned)
		}
	}
	for _, b := range before.Backends {
		if !present[b.ID] {
			r.left.Put(b.ID, era)
		}
	}
}

// enterEra notes the era of a revision of the store. After a restore, entries that the copy lacks
// are treated as those that expired in an outage, tallies and ejections are written again, and
// claims are in doubt.
func (d *Decider[E, D, P, L]) enterEra(stamped uint64) {
	if !d.restoration.enterEra(stamped) {
		return
	}
	d.relayer.RecordRestore(d.now)
	d.registrar.RecordRestore()
	d.keeper.StoreRestored(d.now)
	d.writer.StoreRestored()
	for _, s := range d.served.All {
		s.StoreRestored()
	}
}

// provesNewest reports whether a read of the store shows that the documents of its kind that this
// instance holds are the newest. A store that was restored from an older copy may hold older ones;
// a read that shows this, and each later one until the newer ones are written again, proves
// nothing. This is the only place that decides it: a read that is not a proof must not reach the
// relayer. Lists of backend servers are replaced by those of the restored store, so that they are
// always the newest.
func (d *Decider[E, D, P, L]) provesNewest(e descriptor.DocumentsRead) bool {
	if e.Kind != descriptor.KindRouting && e.Kind != descriptor.KindService {
		return true
	}
	for k, revision := range d.restoration.shown.All {
		if held, ok := d.spreader.Get(k.kind, k.name); k.kind == e.Kind && ok && held.Revision > revision {
			return false
		}
	}
	return true
}
