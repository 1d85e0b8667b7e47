package spreader

import (
	"sort"

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

// remember keeps a list that is about to be replaced.
func (s *Spreader) remember(k key, h held) {
	if k.kind != descriptor.KindBackends {
		return
	}
	history, ok := s.history.Get(k)
	if !ok {
		history = container.NewRing[version](historyLength)
		s.history.Put(k, history)
	}
	history.Add(version{sum: h.sum, list: h.document.Backends})
}

// difference returns d as the difference to the version with the content hash base, or d
// itself if that version is not known or the difference is not smaller.
func (s *Spreader) difference(k key, h held, base uint64) descriptor.Document {
	d := h.document
	if k.kind != descriptor.KindBackends || base == 0 {
		return d
	}
	from, ok := s.version(k, h, base)
	if !ok {
		return d
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
		return d
	}
	return changes
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

// complete returns the complete document for one that may hold only a difference. It
// returns false if the base of the difference is not held, or the result is not the
// expected list.
func (s *Spreader) complete(d descriptor.Document) (descriptor.Document, bool) {
	if d.Base == 0 {
		return d, true
	}
	h, ok := s.documents.Get(key{d.Kind, d.Name})
	if !ok || h.sum != d.Base {
		return d, false
	}
	changed := make(map[string]descriptor.Backend, len(d.Backends))
	for _, b := range d.Backends {
		changed[b.ID] = b
	}
	removed := make(map[string]bool, len(d.Removed))
	for _, id := range d.Removed {
		removed[id] = true
	}
	list := make([]descriptor.Backend, 0, len(h.document.Backends)+len(d.Backends))
	for _, b := range h.document.Backends {
		if now, ok := changed[b.ID]; ok {
			list = append(list, now)
			delete(changed, b.ID)
		} else if !removed[b.ID] {
			list = append(list, b)
		}
	}
	for _, b := range d.Backends {
		if _, ok := changed[b.ID]; ok {
			list = append(list, b)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	sum := d.Sum
	d.Backends, d.Base, d.Removed, d.Sum = list, 0, nil, 0
	return d, contentSum(list) == sum
}
