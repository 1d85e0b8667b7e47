package spreader

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"monsoonswitch/container"
	"monsoonswitch/descriptor"
)

// historyLength is the number of earlier versions that are kept of each list of backend
// servers, so that an instance which holds one of them is sent only the difference.
const historyLength = 16

// version is a list of backend servers with its content hash.
type version struct {
	sum  uint64
	list []descriptor.Backend
}

// contentSum returns the content hash of a list. It does not depend on the order of the
// list, and is never 0.
func contentSum(list []descriptor.Backend) uint64 {
	sum := uint64(len(list)) + 1
	for _, b := range list {
		sum += backendSum(b)
	}
	return max(1, sum)
}

func backendSum(b descriptor.Backend) uint64 {
	h := xxhash.New()
	for _, part := range []string{b.ID, b.Name, b.Address, b.Domain} {
		_, _ = h.WriteString(part)
		_, _ = h.Write([]byte{0})
	}
	flag := byte(0)
	if b.Leaving {
		flag = 1
	}
	_, _ = h.Write([]byte{flag, byte(b.Slots), byte(b.Slots >> 8), byte(b.Slots >> 16), byte(b.Slots >> 24)})
	return h.Sum64()
}

// withoutChange reports whether d is a later revision with the same content as the list
// that is held.
func (k held) withoutChange(d descriptor.Document) bool {
	return d.Kind == descriptor.KindBackends && k.sum == contentSum(d.Backends)
}

// remember keeps what it takes to send next, which is about to replace h, as a difference.
func (s *Spreader) remember(k key, h held, next descriptor.Document) {
	switch k.kind {
	case descriptor.KindBackends:
		s.rememberList(k, h)
	case descriptor.KindRouting:
		s.rememberRouting(k, h, next)
	}
}

// rememberList keeps a list that is about to be replaced.
func (s *Spreader) rememberList(k key, h held) {
	history, ok := s.history.Get(k)
	if !ok {
		history = container.NewRing[version](historyLength)
		s.history.Put(k, history)
	}
	history.Add(version{sum: h.sum, list: h.document.Backends})
}

// maxEarlier is the number of earlier versions that a request names.
const maxEarlier = 8

// earlier returns the content hashes of the versions of a document that were held before,
// newest first.
func (s *Spreader) earlier(k key) []uint64 {
	var sums []uint64
	if history, ok := s.history.Get(k); ok {
		for _, v := range history.Slice() {
			sums = append(sums, v.sum)
		}
	}
	if changes, ok := s.routingChanges.Get(k); ok {
		for _, c := range changes.Slice() {
			sums = append(sums, c.sum)
		}
	}
	slices.Reverse(sums)
	return sums[:min(len(sums), maxEarlier)]
}

// difference returns a document as the difference to the first known version of those that
// r names, or complete if r names none or none is known.
func (s *Spreader) difference(k key, h held, r descriptor.Reference) descriptor.Document {
	if r.Sum == 0 || h.sum == 0 {
		return h.document
	}
	for _, base := range append([]uint64{r.Sum}, r.Earlier...) {
		if d, ok := s.differenceTo(k, h, base); ok {
			return d
		}
	}
	return h.document
}

// differenceTo returns a document as the difference to the version with the content hash
// base, or complete if that is not larger. It returns false if that version is not known.
func (s *Spreader) differenceTo(k key, h held, base uint64) (descriptor.Document, bool) {
	if k.kind == descriptor.KindRouting {
		return s.routingDifference(k, h, base)
	}
	return s.listDifference(k, h, base)
}

// listDifference returns the list h as the difference to the version with the content hash
// base, or complete if that is not larger. It returns false if that version is not known.
func (s *Spreader) listDifference(k key, h held, base uint64) (descriptor.Document, bool) {
	d := h.document
	from, ok := s.version(k, h, base)
	if !ok {
		return d, false
	}
	before := make(map[string]descriptor.Backend, len(from))
	for _, b := range from {
		before[b.ID] = b
	}
	changes := d
	changes.Backends, changes.Base, changes.Sum = nil, base, h.sum
	for _, b := range d.Backends {
		if old, ok := before[b.ID]; !ok || old != b {
			changes.Backends = append(changes.Backends, b)
		}
		delete(before, b.ID)
	}
	for _, b := range from {
		if _, ok := before[b.ID]; ok {
			changes.Removed = append(changes.Removed, b.ID)
		}
	}
	if len(changes.Backends)+len(changes.Removed) >= len(d.Backends) {
		return d, true
	}
	return changes, true
}

// version returns the present or an earlier version of a list by its content hash.
func (s *Spreader) version(k key, h held, sum uint64) ([]descriptor.Backend, bool) {
	if h.sum == sum {
		return h.document.Backends, true
	}
	history, ok := s.history.Get(k)
	if !ok {
		return nil, false
	}
	for _, v := range history.Slice() {
		if v.sum == sum {
			return v.list, true
		}
	}
	return nil, false
}

// complete returns the complete document for one that may hold only a difference. That is
// applied to base, the version that is held, also if it is to an earlier one: what changed
// since then is in the difference too, unless it changed back. complete returns false if the
// difference is to a version that was not held, or the result is not the expected one.
func (s *Spreader) complete(k key, d descriptor.Document, base held) (descriptor.Document, bool) {
	switch {
	case d.Base == 0:
		return d, true
	case d.Base != base.sum && !slices.Contains(s.earlier(k), d.Base):
		return d, false
	case d.Kind == descriptor.KindBackends:
		return completeList(d, base.document.Backends)
	case d.Kind == descriptor.KindRouting && d.Routing != nil && base.document.Routing != nil:
		return completeRouting(d, *base.document.Routing)
	}
	return d, false
}

// completeList returns the complete list for a difference to the one that is held. It
// returns false if the result is not the expected list.
func completeList(d descriptor.Document, base []descriptor.Backend) (descriptor.Document, bool) {
	sum := d.Sum
	d.Backends = merged(base, d.Backends, d.Removed, func(b descriptor.Backend) string { return b.ID })
	d.Base, d.Removed, d.Sum = 0, nil, 0
	return d, contentSum(d.Backends) == sum
}

// merged returns base with changed and added items and without those whose names are
// removed, in the order of the names.
func merged[T any](base, changes []T, removals []string, name func(T) string) []T {
	changed := make(map[string]T, len(changes))
	for _, v := range changes {
		changed[name(v)] = v
	}
	removed := make(map[string]bool, len(removals))
	for _, n := range removals {
		removed[n] = true
	}
	result := make([]T, 0, len(base)+len(changes))
	for _, v := range base {
		if now, ok := changed[name(v)]; ok {
			result = append(result, now)
			delete(changed, name(v))
		} else if !removed[name(v)] {
			result = append(result, v)
		}
	}
	for _, v := range changes {
		if _, ok := changed[name(v)]; ok {
			result = append(result, v)
		}
	}
	slices.SortStableFunc(result, func(a, b T) int { return strings.Compare(name(a), name(b)) })
	return result
}
