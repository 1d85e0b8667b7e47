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

// request is an open request for a document.
type request struct {
	revision uint64
	at       time.Time
	// instances is the number of instances asked since at.
	instances int
}

// Spreader holds the documents of one instance. It must be used by one goroutine
// only.
type Spreader struct {
	documents *container.Table[key, descriptor.Document]
	// digest sums up the references of all documents.
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
		documents:   container.NewTable[key, descriptor.Document](),
		requested:   container.NewTable[key, request](),
		unannounced: container.NewTable[key, string](),
		differing:   container.NewTable[string, uint64](),
	}
}

// Digest returns the bucket sums of all documents.
func (s *Spreader) Digest() container.BucketSums { return s.digest }

// Len returns the number of documents.
func (s *Spreader) Len() int { return s.documents.Len() }

// Get returns a document.
func (s *Spreader) Get(kind descriptor.Kind, id string) (descriptor.Document, bool) {
	return s.documents.Get(key{kind, id})
}

// Take stores a document unless the same or a newer revision is held, and reports
// whether it did. from is the instance that it came from, or empty.
func (s *Spreader) Take(d descriptor.Document, from string) bool {
	k := key{d.Kind, d.Name}
	old, ok := s.documents.Get(k)
	if ok && old.Revision >= d.Revision {
		return false
	}
	if ok {
		s.digest = s.digest.Without(k.hash(), documentHash(old))
	}
	s.digest = s.digest.With(k.hash(), documentHash(d))
	s.documents.Put(k, d)
	s.requested.Delete(k)
	s.unannounced.Put(k, from)
	return true
}

// hash distributes the keys over the buckets.
func (k key) hash() uint64 { return xxhash.Sum64String(k.kind.String() + "/" + k.name) }

func documentHash(d descriptor.Document) uint64 {
	return key{d.Kind, d.Name}.hash()*31 + d.Revision*0x9e3779b97f4a7c15
}

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
			if d, ok := s.documents.Get(k); ok && from != id {
				list = append(list, descriptor.Reference{Kind: k.kind, Name: k.name, Revision: d.Revision})
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
	for k, d := range s.documents.All {
		if container.InBuckets(set, k.hash()) {
			list = append(list, descriptor.Reference{Kind: k.kind, Name: k.name, Revision: d.Revision})
		}
	}
	return list
}

// Forget removes the state of an instance whose link closed.
func (s *Spreader) Forget(id string) { s.differing.Delete(id) }

// List returns the references of all documents, sorted by kind and name.
func (s *Spreader) List() []descriptor.Reference {
	list := make([]descriptor.Reference, 0, s.documents.Len())
	for k, d := range s.documents.All {
		list = append(list, descriptor.Reference{Kind: k.kind, Name: k.name, Revision: d.Revision})
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
// the list.
func (s *Spreader) Compare(now time.Time, m descriptor.References) (descriptor.Refresh, []descriptor.Documents) {
	var want descriptor.Refresh
	listed := make(map[key]uint64, len(m.List))
	for _, r := range m.List {
		k := key{r.Kind, r.Name}
		listed[k] = r.Revision
		if d, ok := s.documents.Get(k); (!ok || d.Revision < r.Revision) && s.startRequest(now, k, r.Revision) {
			want.List = append(want.List, r)
		}
	}
	var have []descriptor.Document
	for k, d := range s.documents.All {
		if container.InBuckets(m.Buckets, k.hash()) && d.Revision > listed[k] {
			have = append(have, d)
		}
	}
	return want, pack(have)
}

// maxParallelRequests is the number of instances that are asked for one revision
// at the same time, in case one request is lost.
const maxParallelRequests = 2

// startRequest reports whether to request a revision now, and records the request
// if so. It is false if enough other instances were asked within requestTimeout.
func (s *Spreader) startRequest(now time.Time, k key, revision uint64) bool {
	r, ok := s.requested.Get(k)
	if !ok || r.revision < revision || now.Sub(r.at) >= requestTimeout {
		r = request{revision: revision, at: now}
	}
	if r.instances == maxParallelRequests {
		return false
	}
	r.instances++
	s.requested.Put(k, r)
	return true
}

// Answer returns messages with the requested documents that are held.
func (s *Spreader) Answer(m descriptor.Refresh) []descriptor.Documents {
	var list []descriptor.Document
	for _, r := range m.List {
		if d, ok := s.documents.Get(key{r.Kind, r.Name}); ok && d.Revision >= r.Revision {
			list = append(list, d)
		}
	}
	return pack(list)
}
