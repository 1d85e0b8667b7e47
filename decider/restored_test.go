package decider

import (
	"testing"

	"monsoonswitch/asserter"
	"monsoonswitch/descriptor"
)

// eraList returns a list of backend servers at a revision of an era.
func eraList(era, revision uint64, ids ...string) descriptor.Document {
	d := descriptor.Document{Kind: descriptor.KindBackends, Name: "ledger", Revision: descriptor.StampRevision(era, revision)}
	for _, id := range ids {
		d.Backends = append(d.Backends, descriptor.Backend{ID: id})
	}
	return d
}

// TestDepartedInOldCopy guards against a backend server that left before a restore and is used
// again because the copy lists it, and against never using one that wrote its entry again.
func TestDepartedInOldCopy(t *testing.T) {
	r := newRestoration()
	lists := []descriptor.Document{
		eraList(0, 50, "left", "stays", "flaps"), eraList(0, 60, "stays"), eraList(0, 70, "stays", "flaps"),
		eraList(1, 30, "left", "flaps"), eraList(1, 31, "flaps"), eraList(1, 32, "left", "stays", "flaps"),
	}
	var before descriptor.Document
	var used [][]string
	for _, l := range lists {
		r.recordList(before, l)
		var ids []string
		for _, b := range r.withoutDeparted(l) {
			ids = append(ids, b.ID)
		}
		used, before = append(used, ids), l
	}
	asserter.Equal(t, "before the restore", used[:3], [][]string{{"left", "stays", "flaps"}, {"stays"}, {"stays", "flaps"}})
	asserter.Equal(t, "in the copy", used[3], []string{"flaps"})
	asserter.Equal(t, "written again after the copy", used[5], []string{"left", "stays", "flaps"})
}

// TestEnterEra guards against taking the first era that an instance sees for a restore.
func TestEnterEra(t *testing.T) {
	r := newRestoration()
	asserter.Equal(t, "first", r.enterEra(descriptor.StampRevision(2, 9)), false)
	asserter.Equal(t, "same", r.enterEra(descriptor.StampRevision(2, 1)), false)
	asserter.Equal(t, "restored", r.enterEra(descriptor.StampRevision(3, 1)), true)
	asserter.Equal(t, "an answer from before", r.enterEra(descriptor.StampRevision(2, 10)), false)
	asserter.Equal(t, "again", r.enterEra(descriptor.StampRevision(3, 2)), false)
}

// TestRecordShown guards against a read that counts as proof although the restored store lacks the
// document that is held.
func TestRecordShown(t *testing.T) {
	held := func() []descriptor.Reference {
		return []descriptor.Reference{{Kind: descriptor.KindRouting, Name: "all", Revision: 12}}
	}
	read := func(era uint64, complete bool, versions ...uint64) descriptor.DocumentsRead {
		e := descriptor.DocumentsRead{Kind: descriptor.KindRouting, Complete: complete, Revision: descriptor.StampRevision(era, 5)}
		for _, v := range versions {
			e.Documents = append(e.Documents, descriptor.Document{Kind: descriptor.KindRouting, Name: "all", Revision: v})
		}
		return e
	}
	shown := func(reads ...descriptor.DocumentsRead) uint64 {
		r := newRestoration()
		for _, e := range reads {
			r.recordShown(e, held)
		}
		v, ok := r.shown.Get(documentKey{descriptor.KindRouting, "all"})
		if !ok {
			return 99
		}
		return v
	}
	asserter.Equal(t, "nothing read", shown(), uint64(99))
	asserter.Equal(t, "an older one", shown(read(0, true, 12), read(1, true, 7)), uint64(7))
	asserter.Equal(t, "a watch without changes after it", shown(read(1, true, 7), read(1, false)), uint64(7))
	asserter.Equal(t, "none in a restored store", shown(read(1, true)), uint64(0))
	asserter.Equal(t, "one that can't be decoded in the first era", shown(read(0, true, 12), read(0, true)), uint64(12))
	asserter.Equal(t, "written again", shown(read(1, true), read(1, false, 12)), uint64(12))
}
