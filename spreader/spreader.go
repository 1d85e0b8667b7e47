// Package spreader distributes documents over the links between instances:
// declared services, routings, lists of backend servers and sets of ejections. A
// document is never replaced by an older revision.
package spreader

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"monsoonswitch/container"
	"monsoonswitch/descriptor"
)

const (
	// maxDocuments bounds the number of documents in one message.
	maxDocuments = 32
	// requestTimeout is how long the instances that were asked for a revision, at
	// most maxParallelRequests, have to answer before others are asked.
	requestTimeout = 500 * time.Millisecond
)

// key identifies a document.
type key struct {
	kind descriptor.Kind
	name string
}

// held is a document with its content hash.
type held struct {
	document descriptor.Document
	// sum is the content hash of a list of backend servers or a routing, and 0 for other
	// kinds.
	sum uint64
}

// newHeld returns a complete document with its content hash.
func newHeld(d descriptor.Document) held {
	switch {
	case d.Kind == descriptor.KindBackends:
		return held{document: d, sum: contentSum(d.Backends)}
	case d.Kind == descriptor.KindRouting && d.Routing != nil:
		return held{document: d, sum: routingSum(*d.Routing)}
	}
	return held{document: d}
}

// WithRevision returns h with a later revision that has the same content.
func (h held) WithRevision(revision uint64) held {
	h.document.Revision = revision
	return h
}

// reference returns the reference of h.
func (h held) reference() descriptor.Reference {
	return descriptor.Reference{Kind: h.document.Kind, Name: h.document.Name, Revision: h.document.Revision, Sum: h.sum}
}

// request is an open request for a document.
type request struct {
	revision uint64
	at       time.Time
	// instances is the number of instances asked since at.
	instances int
	// whole is set once a difference could not be applied, so that the complete document
	// is requested.
	whole bool
}

// Spreader holds the documents of one instance. It must be used by one goroutine
// only.
type Spreader struct {
	documents *container.Table[key, held]
	// history holds the latest earlier versions of each list of backend servers.
	history *container.Table[key, *container.Ring[version]]
	// routingChanges holds how the latest versions of each routing differ.
	routingChanges *container.Table[key, *container.Ring[routingChange]]
	// digest sums up the hashes of all documents.
	digest container.BucketSums
	// differing holds, for each instance, the set of buckets in which its last
	// digest differed.
	differing *container.Table[string, uint64]
	// requested holds the documents that were requested and not received yet.
	requested *container.Table[key, request]
	// unannounced holds the documents stored since the last announcement, each
	// with the instance that it came from.
	unannounced *container.Table[key, string]
}

// New returns a spreader without documents.
func New() *Spreader {
	return &Spreader{
		documents:   container.NewTable[key, held](),
		history:     container.NewTable[key, *container.Ring[version]](),
		requested:   container.NewTable[key, request](),
		unannounced: container.NewTable[key, string](),
		differing:   container.NewTable[string, uint64](),

		routingChanges: container.NewTable[key, *container.Ring[routingChange]](),
	}
}

// Digest returns the bucket sums of all documents.
func (s *Spreader) Digest() container.BucketSums { return s.digest }

// Len returns the number of documents.
func (s *Spreader) Len() int { return s.documents.Len() }

// Get returns a document.
func (s *Spreader) Get(kind descriptor.Kind, id string) (descriptor.Document, bool) {
	h, ok := s.documents.Get(key{kind, id})
	return h.document, ok
}

// Take stores a document unless the same or a newer revision is held. It returns the
// complete document, and whether it was stored. A later revision with the same content
// replaces only the revision and counts as not stored. from is the instance that it came
// from, or empty.
func (s *Spreader) Take(d descriptor.Document, from string) (descriptor.Document, bool) {
	k := key{d.Kind, d.Name}
	old, ok := s.documents.Get(k)
	if ok && old.document.Revision >= d.Revision && !old.lacksCustomers(d) {
		return d, false
	}
	d, whole := s.complete(k, withSortedRoutes(d), old)
	if !whole {
		s.requestWhole(k)
		return d, false
	}
	if ok && old.withoutChange(d) {
		s.documents.Put(k, old.WithRevision(d.Revision))
		s.requested.Delete(k)
		return d, false
	}
	if ok {
		s.digest = s.digest.Without(k.hash(), old.hash())
		s.remember(k, old, d)
	}
	h := newHeld(d)
	s.digest = s.digest.With(k.hash(), h.hash())
	s.documents.Put(k, h)
	s.requested.Delete(k)
	s.unannounced.Put(k, from)
	return d, true
}

// requestWhole has the complete document requested with the next reference to it.
func (s *Spreader) requestWhole(k key) {
	r, _ := s.requested.Get(k)
	s.requested.Put(k, request{revision: r.revision, whole: true})
}

// hash distributes the keys over the buckets.
func (k key) hash() uint64 { return xxhash.Sum64String(k.kind.String() + "/" + k.name) }

// hash returns the hash of a document in digests. Lists are compared by content, because
// instances that read the store at different moments see different revisions of it.
func (h held) hash() uint64 {
	k := key{h.document.Kind, h.document.Name}
	if k.kind == descriptor.KindBackends {
		return k.hash()*hashMultiplier + h.sum
	}
	if h.keyed() {
		// Instances that lack the customers of the same version must learn of them.
		return k.hash()*hashMultiplier + h.document.Revision*revisionMultiplier + h.sum
	}
	return k.hash()*hashMultiplier + h.document.Revision*revisionMultiplier
}

// Odd multipliers that mix the bits of hashes.
const (
	hashMultiplier     = 31
	revisionMultiplier = 0x9e3779b97f4a7c15
)

// ClearAnnouncements drops the pending announcements. It is used where single
// documents are not announced.
func (s *Spreader) ClearAnnouncements() { s.unannounced = container.NewTable[key, string]() }

// HasAnnouncements reports whether documents were stored since the last call of
// TakeAnnouncements.
func (s *Spreader) HasAnnouncements() bool { return s.unannounced.Len() > 0 }

// TakeAnnouncements returns the references of the documents stored since the last
// call, for each of the given instances. Announcements carry only references, and
// an instance that lacks a document requests it, so that each instance gets it
// about once however many links it has. A reference is not sent to the instance
// that its document came from.
func (s *Spreader) TakeAnnouncements(to []string) []Announcement {
	var result []Announcement
	for _, id := range to {
		var list []descriptor.Reference
		for k, from := range s.unannounced.All {
			if h, ok := s.documents.Get(k); ok && from != id {
				list = append(list, h.reference())
			}
		}
		if len(list) > 0 {
			result = append(result, Announcement{To: id, References: descriptor.References{List: list}})
		}
	}
	s.ClearAnnouncements()
	return result
}

// Announcement is a message to one instance.
type Announcement struct {
	To         string
	References descriptor.References
}

func pack(list []descriptor.Document) []descriptor.Documents {
	var result []descriptor.Documents
	for len(list) > 0 {
		n := min(len(list), maxDocuments)
		result = append(result, descriptor.Documents{List: list[:n]})
		list = list[n:]
	}
	return result
}

// HandleDigest returns the references of the buckets in which a digest differs
// from the documents held. Buckets that differ for the first time are left out,
// unless the difference is large or atOnce is set, since the documents may still
// be under way.
func (s *Spreader) HandleDigest(from string, digest container.BucketSums, atOnce bool) []descriptor.References {
	before, _ := s.differing.Get(from)
	differing := s.digest.Differ(digest)
	s.differing.Put(from, differing)
	lasting := before & differing
	if atOnce || s.digest.DiffersWidely(digest) {
		lasting = differing
	}
	var result []descriptor.References
	for bucket := range container.Buckets {
		if set := lasting & (1 << bucket); set != 0 {
			result = append(result, descriptor.References{List: s.bucketReferences(set), Buckets: set})
		}
	}
	return result
}

func (s *Spreader) bucketReferences(set uint64) []descriptor.Reference {
	var list []descriptor.Reference
	for k, h := range s.documents.All {
		if container.InBuckets(set, k.hash()) {
			list = append(list, h.reference())
		}
	}
	return list
}

// Forget removes the state of an instance whose link closed.
func (s *Spreader) Forget(id string) { s.differing.Delete(id) }

// List returns the references of all documents, sorted by kind and name.
func (s *Spreader) List() []descriptor.Reference {
	list := make([]descriptor.Reference, 0, s.documents.Len())
	for _, h := range s.documents.All {
		list = append(list, h.reference())
	}
	sort.Slice(list, func(i, j int) bool {
		if list[i].Kind != list[j].Kind {
			return list[i].Kind < list[j].Kind
		}
		return list[i].Name < list[j].Name
	})
	return list
}

// Compare returns a request for the listed documents that are newer than those
// held, and the held documents of the listed buckets that are newer or missing in
// the list. A list with the same content is neither requested nor returned.
func (s *Spreader) Compare(now time.Time, m descriptor.References) (descriptor.Refresh, []descriptor.Documents) {
	var want descriptor.Refresh
	listed := make(map[key]descriptor.Reference, len(m.List))
	for _, r := range m.List {
		k := key{r.Kind, r.Name}
		listed[k] = r
		h, ok := s.documents.Get(k)
		if ok && h.document.Revision >= r.Revision && !h.mayLackCustomers(r) {
			continue
		}
		if ok && r.Sum != 0 && r.Sum == h.sum {
			s.documents.Put(k, h.WithRevision(r.Revision))
			continue
		}
		if open, ok := s.startRequest(now, k, r.Revision); ok {
			r.Sum, r.Earlier = h.sum, s.earlier(k)
			if open.whole {
				r.Sum, r.Earlier = 0, nil
			}
			want.List = append(want.List, r)
		}
	}
	var have []descriptor.Document
	for k, h := range s.documents.All {
		r, ok := listed[k]
		if !container.InBuckets(m.Buckets, k.hash()) || h.document.Revision <= r.Revision {
			continue
		}
		if !ok || r.Sum == 0 || r.Sum != h.sum {
			have = append(have, s.difference(k, h, r))
		}
	}
	return want, pack(have)
}

// maxParallelRequests is the number of instances that are asked for one revision
// at the same time, in case one request is lost.
const maxParallelRequests = 2

// startRequest returns the request for a revision and whether to send it now, and records
// it if so. It is not sent if enough other instances were asked within requestTimeout.
func (s *Spreader) startRequest(now time.Time, k key, revision uint64) (request, bool) {
	r, ok := s.requested.Get(k)
	if !ok || r.revision < revision || now.Sub(r.at) >= requestTimeout {
		r = request{revision: revision, at: now, whole: r.whole}
	}
	if r.instances == maxParallelRequests {
		return r, false
	}
	r.instances++
	s.requested.Put(k, r)
	return r, true
}

// Answer returns messages with the requested documents that are held. An instance that
// holds a known version of a list gets the difference to it.
func (s *Spreader) Answer(m descriptor.Refresh) []descriptor.Documents {
	var list []descriptor.Document
	for _, r := range m.List {
		k := key{r.Kind, r.Name}
		if h, ok := s.documents.Get(k); ok && h.document.Revision >= r.Revision {
			list = append(list, s.difference(k, h, r))
		}
	}
	return pack(list)
}
