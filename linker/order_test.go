package linker

import (
	"sync"
	"testing"
	"time"

	"monsoonswitch/asserter"
	"monsoonswitch/descriptor"
)

// slow is a poster that takes its time over the end of a link.
type slow struct {
	mu      sync.Mutex
	order   []string
	closing chan struct{}
	opened  chan struct{}
}

// Post implements Poster.
func (s *slow) Post(event descriptor.Event) {
	name := "opened"
	if _, ok := event.(descriptor.LinkClosed); ok {
		name = "closed"
		close(s.closing)
		select {
		case <-s.opened:
		case <-time.After(100 * time.Millisecond):
		}
	}
	s.mu.Lock()
	s.order = append(s.order, name)
	s.mu.Unlock()
	if name == "opened" {
		close(s.opened)
	}
}

// TestOrderOfLinks opens a link while the end of an older one is being told: the
// begin must be told after it, or the new link would be forgotten.
func TestOrderOfLinks(t *testing.T) {
	s := &slow{closing: make(chan struct{}), opened: make(chan struct{})}
	l := &Linker{poster: s, links: make(map[string][]*link), waiting: make(map[string][]descriptor.Message)}
	older := &link{owner: l, peer: descriptor.Member{ID: "peer"}}
	newer := &link{owner: l, peer: descriptor.Member{ID: "peer"}}
	l.links["peer"] = []*link{older}
	go l.remove(older)
	<-s.closing
	l.add(newer)
	<-s.opened
	s.mu.Lock()
	defer s.mu.Unlock()
	asserter.Equal(t, "order", s.order, []string{"closed", "opened"})
}
