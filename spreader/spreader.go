// Package spreader spreads documents over the links between instances: declared
// services, lists of backend servers and sets of ejections. A document never
// goes back to an older revision.
package spreader

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"monsoonswitch/container"
	"monsoonswitch/descriptor"
)

const (
	// maxDocuments bounds the documents of one message.
	maxDocuments = 32
	// askTime is how long an instance has to answer before another is asked.
	askTime = 500 * time.Millisecond
)

// name identifies a document.
type name struct {
	kind descriptor.Kind
	name string
}

// asked is a question for a document.
type asked struct {
	revision uint64
	at       time.Time
	// times counts the instances asked since at.
	times int
}

// Spreader holds the documents of one instance. It belongs to one goroutine.
type Spreader struct {
	documents *container.Table[name, descriptor.Document]
	// digest sums up all references.
	digest container.Sums
	// differing holds, for each instance, the set of buckets in which its
	// last digest differed.
	differing *container.Table[string, uint64]
	// asked holds the documents asked for and not received yet.
	asked *container.Table[name, asked]
	// fresh lists the documents taken in since the last flush.
	fresh *container.Table[name, string]
}

// New returns a spreader without documents.
func New() *Spreader {
	return &Spreader{
		documents: container.NewTable[name, descriptor.Document](),
		asked:     container.NewTable[name, asked](),
		fresh:     container.NewTable[name, string](),
		differing: container.NewTable[string, uint64](),
	}
}

// Digest sums up all documents.
func (s *Spreader) Digest() container.Sums { return s.digest }

// Len returns the number of documents.
func (s *Spreader) Len() int { return s.documents.Len() }

// Get returns a document.
func (s *Spreader) Get(kind descriptor.Kind, id string) (descriptor.Document, bool) {
	return s.documents.Get(name{kind, id})
}

// Take stores a document unless the same or a newer revision is held, and tells
// whether it did. from is the instance it came from, or empty.
func (s *Spreader) Take(d descriptor.Document, from string) bool {
	k := name{d.Kind, d.Name}
	old, ok := s.documents.Get(k)
	if ok && old.Revision >= d.Revision {
		return false
	}
	if ok {
		s.digest = s.digest.Without(k.hash(), hash(old))
	}
	s.digest = s.digest.With(k.hash(), hash(d))
	s.documents.Put(k, d)
	s.asked.Delete(k)
	s.fresh.Put(k, from)
	return true
}

// hash spreads the names over the buckets.
func (n name) hash() uint64 { return xxhash.Sum64String(n.kind.String() + "/" + n.name) }

func hash(d descriptor.Document) uint64 {
	return name{d.Kind, d.Name}.hash()*31 + d.Revision*0x9e3779b97f4a7c15
}

// DropFresh forgets that documents were taken in, where nobody is to be told of
// single ones.
func (s *Spreader) DropFresh() { s.fresh = container.NewTable[name, string]() }

// HasFresh tells whether documents were taken in since the last call of Fresh.
func (s *Spreader) HasFresh() bool { return s.fresh.Len() > 0 }

// Fresh returns the references of the documents taken in since the last call,
// for each of the given instances. Only references go to all: whoever lacks a
// document asks one instance for it, so that each gets it about once over
// whatever number of links. A reference does not go back where its document
// came from.
func (s *Spreader) Fresh(to []string) []Announcement {
	var result []Announcement
	for _, id := range to {
		var list []descriptor.Reference
		for k, from := range s.fresh.All {
			if d, ok := s.documents.Get(k); ok && from != id {
				list = append(list, descriptor.Reference{Kind: k.kind, Name: k.name, Revision: d.Revision})
			}
		}
		if len(list) > 0 {
			result = append(result, Announcement{To: id, References: descriptor.References{List: list}})
		}
	}
	s.DropFresh()
	return result
}

// Announcement is a message for one instance.
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

// HearDigest returns the references of the buckets in which a digest differs
// from the documents held, if the difference lasts or is large, or at once if asked to.
func (s *Spreader) HearDigest(from string, digest container.Sums, atOnce bool) []descriptor.References {
	before, _ := s.differing.Get(from)
	differing := s.digest.Differ(digest)
	s.differing.Put(from, differing)
	lasting := before & differing
	if atOnce || s.digest.Far(digest) {
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

// Forget drops what is known of an instance without a link.
func (s *Spreader) Forget(id string) { s.differing.Delete(id) }

// List returns the references of all documents in a fixed order.
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

// Compare returns which of the listed documents are newer than those held, and
// the messages with those held that are newer or missing in the listed buckets.
func (s *Spreader) Compare(now time.Time, m descriptor.References) (descriptor.Refresh, []descriptor.Documents) {
	var want descriptor.Refresh
	listed := make(map[name]uint64, len(m.List))
	for _, r := range m.List {
		k := name{r.Kind, r.Name}
		listed[k] = r.Revision
		if d, ok := s.documents.Get(k); (!ok || d.Revision < r.Revision) && s.ask(now, k, r.Revision) {
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

// maxAsked is the number of instances asked at once, in case one is lost.
const maxAsked = 2

// ask tells whether to ask for a revision now: not if enough other instances
// were asked for it a moment ago.
func (s *Spreader) ask(now time.Time, k name, revision uint64) bool {
	a, ok := s.asked.Get(k)
	if !ok || a.revision < revision || now.Sub(a.at) >= askTime {
		a = asked{revision: revision, at: now}
	}
	if a.times == maxAsked {
		return false
	}
	a.times++
	s.asked.Put(k, a)
	return true
}

// Answer returns the messages with the documents asked for.
func (s *Spreader) Answer(m descriptor.Refresh) []descriptor.Documents {
	var list []descriptor.Document
	for _, r := range m.List {
		if d, ok := s.documents.Get(name{r.Kind, r.Name}); ok && d.Revision >= r.Revision {
			list = append(list, d)
		}
	}
	return pack(list)
}
