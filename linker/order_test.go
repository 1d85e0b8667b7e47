package linker

import (
	"sync"
	"testing"
	"time"

	"monsoonswitch/asserter"
	"monsoonswitch/descriptor"
)

// slowPoster is a Poster that takes up to 100 ms to post the end of a link.
type slowPoster struct {
	mu      sync.Mutex
	order   []string
	closing chan struct{}
	opened  chan struct{}
}

// Post implements Poster.
func (s *slowPoster) Post(event descriptor.Event) {
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

// TestOrderOfLinks opens a link while the end of an older one is being posted. LinkOpened
// must be posted after LinkClosed, or the receiver would consider the peer unlinked.
func TestOrderOfLinks(t *testing.T) {
	s := &slowPoster{closing: make(chan struct{}), opened: make(chan struct{})}
	l := &Linker{poster: s, links: make(map[string][]*link), queued: make(map[string][]descriptor.Message)}
	older := &link{linker: l, peer: descriptor.Member{ID: "peer"}}
	newer := &link{linker: l, peer: descriptor.Member{ID: "peer"}}
	l.links["peer"] = []*link{older}
	go l.remove(older)
	<-s.closing
	l.add(newer)
	<-s.opened
	s.mu.Lock()
	defer s.mu.Unlock()
	asserter.Equal(t, "order", s.order, []string{"closed", "opened"})
}
