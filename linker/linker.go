// Package linker holds the links between instances: WebSocket connections over
// which the messages of the inner protocol go.
package linker

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"monsoonswitch/descriptor"
)

// Errors of links.
var (
	// ErrProtocol reports a peer that does not keep to the inner protocol.
	ErrProtocol = eris.New("peer broke the inner protocol")
	// ErrClosed reports that the linker was closed.
	ErrClosed = eris.New("linker closed")
)

// Times of links.
const (
	// dialEvery is the time between looks for links to open.
	dialEvery = 250 * time.Millisecond
	// dialWait is the wait before an instance is dialed again.
	dialWait = time.Second
	// dialMemory is how long the time of a dial is remembered.
	dialMemory = time.Minute
	// dialTimeout bounds the opening of a link.
	dialTimeout = 2 * time.Second
	// seedEvery is the mean time between calls at a seed, which join the parts
	// of a fleet that lost each other.
	seedEvery = 15 * time.Second
	// idleTime is how long an unused link that nobody wants is kept.
	idleTime = 30 * time.Second
)

// Poster takes events in.
type Poster interface {
	// Post passes an event on.
	Post(descriptor.Event)
}

// Options are the constant parts of a linker.
type Options struct {
	// Self returns the present record of this instance.
	Self func() descriptor.Member
	// Key proves that instances belong together.
	Key string
	// Seeds are the inner addresses to try first.
	Seeds []string
	// Reject is called with the reason for each link that was refused.
	Reject func(peer string, err error)
}

// Linker holds the links of one instance.
type Linker struct {
	options Options
	poster  Poster
	ctx     context.Context
	cancel  context.CancelFunc
	client  *http.Client

	// telling is held while links change and the control goroutine is told, so that
	// it hears of changes in their order. mu is taken after it.
	telling sync.Mutex
	mu      sync.Mutex
	// links holds the open links by the ID of the peer, newest last.
	links map[string][]*link
	// wanted holds the instances to keep links to.
	wanted map[string]descriptor.Member
	// dialed holds when each address was dialed last.
	dialed map[string]time.Time
	// waiting holds the messages for instances being dialed.
	waiting map[string][]descriptor.Message
	seeded  time.Time
	traffic Traffic
}

// Traffic counts what went over all links.
type Traffic struct {
	SentBytes, SentMessages         uint64
	ReceivedBytes, ReceivedMessages uint64
	Dropped                         uint64
}

// New returns a linker that dials in the background.
func New(o Options, p Poster) *Linker {
	ctx, cancel := context.WithCancel(context.Background())
	l := &Linker{
		options: o,
		poster:  p,
		ctx:     ctx,
		cancel:  cancel,
		client:  &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
		links:   make(map[string][]*link),
		wanted:  make(map[string]descriptor.Member),
		dialed:  make(map[string]time.Time),
		waiting: make(map[string][]descriptor.Message),
	}
	go func() {
		ticker := time.NewTicker(dialEvery)
		defer ticker.Stop()
		for {
			select {
			case now := <-ticker.C:
				l.maintain(now)
			case <-ctx.Done():
				return
			}
		}
	}()
	return l
}

// Close ends all links.
func (l *Linker) Close() {
	l.cancel()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, list := range l.links {
		for _, k := range list {
			k.close()
		}
	}
}

// Traffic returns what went over all links so far.
func (l *Linker) Traffic() Traffic {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.traffic
}

// Connect sets the instances to keep links to.
func (l *Linker) Connect(peers []descriptor.Member) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.wanted = make(map[string]descriptor.Member, len(peers))
	for _, m := range peers {
		l.wanted[m.ID] = m
	}
}

// maxWaiting bounds the messages that wait for one link.
const maxWaiting = 256

// Send passes a message to an instance, and opens a link if there is none. It
// never blocks; messages over the bound are dropped.
func (l *Linker) Send(to descriptor.Member, m descriptor.Message) {
	l.mu.Lock()
	list := l.links[to.ID]
	if len(list) > 0 {
		k := list[len(list)-1]
		l.mu.Unlock()
		k.send(m)
		return
	}
	pending := l.waiting[to.ID]
	first := len(pending) == 0
	if len(pending) < maxWaiting {
		l.waiting[to.ID] = append(pending, m)
	} else {
		l.traffic.Dropped++
	}
	l.mu.Unlock()
	if first {
		go l.dialFor(to)
	}
}

// dialFor opens a link for waiting messages and drops them if it can't.
func (l *Linker) dialFor(to descriptor.Member) {
	err := l.dial(to.Inner)
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		l.traffic.Dropped += uint64(len(l.waiting[to.ID]))
	}
	delete(l.waiting, to.ID)
}

// maintain opens the links that are wanted and closes those nobody uses.
func (l *Linker) maintain(now time.Time) {
	for _, address := range l.due(now) {
		go func() {
			if err := l.dial(address); err != nil && !eris.Is(err, ErrClosed) {
				l.options.Reject(address, err)
			}
		}()
	}
	l.closeIdle(now)
}

// due returns the addresses to dial now.
func (l *Linker) due(now time.Time) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var result []string
	for id, m := range l.wanted {
		if len(l.links[id]) == 0 && now.Sub(l.dialed[m.Inner]) >= dialWait {
			result = append(result, m.Inner)
		}
	}
	if seed, ok := l.dueSeed(now); ok {
		result = append(result, seed)
	}
	for address, at := range l.dialed {
		if now.Sub(at) > dialMemory {
			delete(l.dialed, address)
		}
	}
	for _, address := range result {
		l.dialed[address] = now
	}
	return result
}

// dueSeed returns a seed to dial: often while there is no link at all, and now
// and then otherwise.
func (l *Linker) dueSeed(now time.Time) (string, bool) {
	wait := seedEvery/2 + rand.N(seedEvery)
	if len(l.links) == 0 {
		wait = dialWait / 2
	}
	if len(l.options.Seeds) == 0 || now.Sub(l.seeded) < wait {
		return "", false
	}
	l.seeded = now
	seed := l.options.Seeds[rand.IntN(len(l.options.Seeds))]
	return seed, seed != l.options.Self().Inner && !l.linkedTo(seed)
}

func (l *Linker) linkedTo(address string) bool {
	for _, list := range l.links {
		for _, k := range list {
			if k.peer.Inner == address {
				return true
			}
		}
	}
	return false
}

// closeIdle closes the links this instance dialed and does not want, if they
// carried nothing but heartbeats for a while.
func (l *Linker) closeIdle(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, list := range l.links {
		if _, ok := l.wanted[id]; ok {
			continue
		}
		for _, k := range list {
			if k.dialed && now.Sub(k.usedAt()) > idleTime {
				k.close()
			}
		}
	}
}

// add registers a link and tells the control goroutine of the first one.
func (l *Linker) add(k *link) {
	l.telling.Lock()
	l.mu.Lock()
	list := l.links[k.peer.ID]
	l.links[k.peer.ID] = append(list, k)
	pending := l.waiting[k.peer.ID]
	l.waiting[k.peer.ID] = nil
	l.mu.Unlock()
	if len(list) == 0 {
		l.poster.Post(descriptor.LinkOpened{At: time.Now(), Peer: k.peer})
	}
	l.telling.Unlock()
	for _, m := range pending {
		k.send(m)
	}
}

// remove takes a link out and tells the control goroutine of the last one.
func (l *Linker) remove(k *link) {
	l.telling.Lock()
	defer l.telling.Unlock()
	l.mu.Lock()
	var kept []*link
	for _, other := range l.links[k.peer.ID] {
		if other != k {
			kept = append(kept, other)
		}
	}
	if len(kept) == 0 {
		delete(l.links, k.peer.ID)
	} else {
		l.links[k.peer.ID] = kept
	}
	l.mu.Unlock()
	if len(kept) == 0 {
		l.poster.Post(descriptor.LinkClosed{At: time.Now(), Peer: k.peer.ID})
	}
}

func (l *Linker) countSent(bytes int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.traffic.SentBytes += uint64(bytes)
	l.traffic.SentMessages++
}

func (l *Linker) countReceived(bytes int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.traffic.ReceivedBytes += uint64(bytes)
	l.traffic.ReceivedMessages++
}

func (l *Linker) countDropped() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.traffic.Dropped++
}
