// Package linker maintains the links between instances: WebSocket connections that carry
// the messages of the inner protocol.
package linker

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"monsoonswitch/catcher"
	"monsoonswitch/descriptor"
)

// Errors of links.
var (
	// ErrProtocol reports a peer that violates the inner protocol.
	ErrProtocol = eris.New("peer violated the inner protocol")
	// ErrClosed reports that the linker was closed.
	ErrClosed = eris.New("linker closed")
)

// Intervals and timeouts of links.
const (
	// maintainInterval is the time between checks for links to open or close.
	maintainInterval = 250 * time.Millisecond
	// redialDelay is the least time after a background dial of an address before it is
	// dialed again for a wanted instance. While there is no link, seeds are dialed after
	// half of it.
	redialDelay = time.Second
	// dialRecordTime is how long the time of a dial is kept.
	dialRecordTime = time.Minute
	// dialTimeout bounds the time for opening a link.
	dialTimeout = 2 * time.Second
	// seedInterval sets the time between dials of a seed while there are links, which
	// reconnect the parts of a fleet after a network partition. The time is random, from
	// half to one and a half of seedInterval, and mostly in the lower half of this range
	// because it is drawn anew at each check.
	seedInterval = 15 * time.Second
	// joinTime is the time after the start in which all seeds are dialed. If each instance of a
	// fleet that starts at once dialed one seed, the instances of each seed would form a part of
	// their own until seedInterval has passed.
	joinTime = 2 * time.Second
	// maxIdleTime is the time without messages other than heartbeats and digests after
	// which an instance closes a link that it dialed and no longer wants.
	maxIdleTime = 30 * time.Second
)

// compressedBytes is the size of a message in bytes from which it is compressed. Smaller
// ones are frequent, and compressing them would save little.
const compressedBytes = 4 << 10

// Poster accepts events.
type Poster interface {
	// Post posts an event.
	Post(descriptor.Event)
}

// Options configure a linker.
type Options struct {
	// Self returns the current record of this instance.
	Self func() descriptor.Member
	// Key is the shared secret by which instances prove their membership.
	Key string
	// Seeds are the first inner addresses of instances to join the fleet through; see
	// SetSeeds.
	Seeds []string
	// Reject is called with the cause for each link that was refused, could not be opened
	// in the background, or was closed because of a malformed frame. Failed dials by Send
	// are not reported.
	Reject func(peer string, err error)
	// Catcher reports panics in the handling of links.
	Catcher *catcher.Catcher
}

// Linker maintains the links of one instance. It is safe for use by many goroutines.
type Linker struct {
	options Options
	poster  Poster
	ctx     context.Context
	cancel  context.CancelFunc
	client  *http.Client

	// notifyMu is held while links change and the change is posted, so that changes are
	// posted in their order. It is locked before mu.
	notifyMu sync.Mutex
	mu       sync.Mutex
	// links holds the open links by the ID of the peer, newest last.
	links map[string][]*link
	// wanted holds the instances to keep links to, by ID.
	wanted map[string]descriptor.Member
	// known is the number of live members that this instance knows.
	known int
	// dialed holds when each address was last dialed in the background.
	dialed map[string]time.Time
	// queued holds the messages for instances that are being dialed, by ID.
	queued map[string][]descriptor.Message
	// seeds are the inner addresses of instances to join the fleet through.
	seeds []string
	// lastSeedDial is when a seed was last chosen to be dialed, including one that was not
	// dialed because it is this instance or already linked.
	lastSeedDial time.Time
	// started is when the linker started, and nextSeed the position of the next seed to dial.
	started  time.Time
	nextSeed int
	traffic  Traffic
}

// Traffic counts the bytes and messages of all links.
type Traffic struct {
	SentBytes, SentMessages         uint64
	ReceivedBytes, ReceivedMessages uint64
	// Dropped counts the messages that were dropped because a queue was full or a link
	// could not be opened. It omits those still queued on a link that closed.
	Dropped uint64
	// Sent holds the sent messages by type.
	Sent [descriptor.MessageTypeCount]Count
}

// Count is a number of messages and their bytes.
type Count struct{ Messages, Bytes uint64 }

// Since returns the difference between t and an earlier value.
func (c Count) Since(before Count) Count {
	return Count{Messages: c.Messages - before.Messages, Bytes: c.Bytes - before.Bytes}
}

// New returns a linker that opens and closes links in the background.
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
		queued:  make(map[string][]descriptor.Message),
		seeds:   o.Seeds,

		started: time.Now(), nextSeed: rand.IntN(1 << 10),
	}
	go func() {
		ticker := time.NewTicker(maintainInterval)
		defer ticker.Stop()
		for {
			select {
			case now := <-ticker.C:
				o.Catcher.Run("links", func() { l.maintain(now) })
			case <-ctx.Done():
				return
			}
		}
	}()
	return l
}

// Close closes all links and stops dialing.
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

// Traffic returns the counts of all links so far.
func (l *Linker) Traffic() Traffic {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.traffic
}

// Connect sets the instances to keep links to.
func (l *Linker) Connect(peers []descriptor.Member, known int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.known = known
	l.wanted = make(map[string]descriptor.Member, len(peers))
	for _, m := range peers {
		l.wanted[m.ID] = m
	}
}

// SetSeeds replaces the inner addresses of instances to join the fleet through.
func (l *Linker) SetSeeds(seeds []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.seeds = seeds
}

// maxQueued bounds the messages that are queued while a link is opened.
const maxQueued = 256

// Send sends a message to an instance and opens a link if there is none. It never
// blocks; messages beyond the limits of the queues are dropped.
func (l *Linker) Send(to descriptor.Member, m descriptor.Message) {
	l.mu.Lock()
	list := l.links[to.ID]
	if len(list) > 0 {
		k := list[len(list)-1]
		l.mu.Unlock()
		k.send(m)
		return
	}
	pending := l.queued[to.ID]
	first := len(pending) == 0
	if len(pending) < maxQueued {
		l.queued[to.ID] = append(pending, m)
	} else {
		l.traffic.Dropped++
	}
	l.mu.Unlock()
	if first {
		go l.dialFor(to)
	}
}

// dialFor opens a link for queued messages and drops them if this fails.
func (l *Linker) dialFor(to descriptor.Member) {
	err := ErrClosed
	l.options.Catcher.Run("link", func() { err = l.dial(to.Inner) })
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		l.traffic.Dropped += uint64(len(l.queued[to.ID]))
	}
	delete(l.queued, to.ID)
}

// maintain opens wanted links and closes idle ones.
func (l *Linker) maintain(now time.Time) {
	for _, address := range l.addressesToDial(now) {
		go func() {
			l.options.Catcher.Run("link", func() {
				if err := l.dial(address); err != nil && !eris.Is(err, ErrClosed) {
					l.options.Reject(address, err)
				}
			})
		}()
	}
	l.closeIdle(now)
}

// addressesToDial returns the addresses to dial now and records the dials.
func (l *Linker) addressesToDial(now time.Time) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var result []string
	for id, m := range l.wanted {
		if len(l.links[id]) == 0 && now.Sub(l.dialed[m.Inner]) >= redialDelay {
			result = append(result, m.Inner)
		}
	}
	if seed, ok := l.seedToDial(now); ok {
		result = append(result, seed)
	}
	for address, at := range l.dialed {
		if now.Sub(at) > dialRecordTime {
			delete(l.dialed, address)
		}
	}
	for _, address := range result {
		l.dialed[address] = now
	}
	return result
}

// seedToDial returns the next seed and whether to dial it now. The time between dials is half of
// redialDelay while there is no link at all and after the start, and follows seedInterval
// otherwise.
func (l *Linker) seedToDial(now time.Time) (string, bool) {
	wait := seedInterval/2 + rand.N(seedInterval)
	if len(l.links) == 0 || now.Sub(l.started) < joinTime {
		wait = redialDelay / 2
	}
	if len(l.seeds) == 0 || now.Sub(l.lastSeedDial) < wait {
		return "", false
	}
	l.lastSeedDial = now
	l.nextSeed++
	seed := l.seeds[l.nextSeed%len(l.seeds)]
	return seed, seed != l.options.Self().Inner && !l.linkedTo(seed)
}

// linkedTo reports whether there is a link to an inner address.
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

// closeIdle closes the links that this instance dialed, does not want, and used only for
// heartbeats and digests for maxIdleTime.
func (l *Linker) closeIdle(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, list := range l.links {
		if _, ok := l.wanted[id]; ok {
			continue
		}
		for _, k := range list {
			if k.dialed && now.Sub(k.lastUsedAt()) > maxIdleTime {
				k.close()
			}
		}
	}
}

// add registers a link and sends the messages queued for it. It posts LinkOpened if the
// link is the first one to its peer.
func (l *Linker) add(k *link) {
	l.notifyMu.Lock()
	l.mu.Lock()
	list := l.links[k.peer.ID]
	l.links[k.peer.ID] = append(list, k)
	pending := l.queued[k.peer.ID]
	l.queued[k.peer.ID] = nil
	l.mu.Unlock()
	if len(list) == 0 {
		l.poster.Post(descriptor.LinkOpened{At: time.Now(), Peer: k.peer, Known: k.peerKnown, Types: k.peerTypes})
	}
	l.notifyMu.Unlock()
	for _, m := range pending {
		k.send(m)
	}
}

// remove unregisters a link. It posts LinkClosed if the link was the last one to its
// peer.
func (l *Linker) remove(k *link) {
	l.notifyMu.Lock()
	defer l.notifyMu.Unlock()
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

func (l *Linker) countSent(t descriptor.MessageType, bytes int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.traffic.SentBytes += uint64(bytes)
	l.traffic.SentMessages++
	l.traffic.Sent[t].Messages++
	l.traffic.Sent[t].Bytes += uint64(bytes)
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
