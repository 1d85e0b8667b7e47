package listener

import (
	"container/list"
	"sync"
	"time"

	"monsoonswitch/limiter"
)

// Class is a part of the memory and the connections of an instance.
type Class int

// Classes of an Admission: each kind of listener, and the bodies of callers' requests.
const (
	Callers Class = iota
	Uploads
	Questions
	Instances
	Operators
	classCount
)

const (
	// lineBytes is what net/http and the forwarder need for one header line beside its bytes: an
	// entry of a map that is half full, a slice and two strings, and the same again for the copy that
	// is sent to a backend server. 16 KiB of short lines hold 0.4 MB.
	lineBytes = 256
	// requestBytes is what a request needs beside its head: goroutines, buffers of the connection to
	// the backend server and a part of the buffer of its answer.
	requestBytes = 24 << 10
	// operatorBytes is what a request of operators needs beside its head: a dump of the whole state.
	operatorBytes = 512 << 10
	// connectionBytes is what net/http needs for an idle connection: two buffers and a goroutine. 1,500 of
	// them took 17 MB with garbage.
	connectionBytes = 9 << 10
	// http2Bytes is what it needs beside that for a connection of HTTP/2.
	http2Bytes = 64 << 10
	// idleGrace is how long a connection that had a request served is kept when others need its place.
	idleGrace = time.Second
	// lightBytes bounds the memory of a light request. Others leave an eighth of their part for those:
	// ordinary callers are served beside a crowd with heavy heads.
	lightBytes = 64 << 10
	// eighths divides the memory of a listener.
	eighths = 8
)

// Limits configure an Admission.
type Limits struct {
	// Memory bounds what all classes hold together, in bytes, and Uploads what bodies may hold of it.
	Memory, Uploads int
	// Connections bounds the accepted connections of all listeners.
	Connections int
}

const (
	// defaultUploads bounds the memory of bodies where no bound is set, in bytes.
	defaultUploads = 32 << 20
	// unknownMemory is assumed for a process whose memory is unknown, in bytes.
	unknownMemory = 512 << 20
	// baseMemory is what the process needs beside requests: its code, the configuration and the
	// state of the fleet, in bytes.
	baseMemory = 40e6
	// garbageFactor is the size of the heap divided by what is in use.
	garbageFactor = 2
	// leastAccount is the least memory for requests, in bytes.
	leastAccount = 4 << 20
	// maxKeptDescriptors is the number of descriptors that are kept for files, the platform and the
	// connections between instances; keptShare is the share of the descriptors that it is at most.
	maxKeptDescriptors, keptShare = 200, 4
	// unknownConnections bounds the connections of a process whose descriptors are unknown.
	unknownConnections = 1 << 16
)

// NewLimits returns the limits of a process with a memory in bytes and a number of descriptors, of
// which 0 means unknown, and a bound on the memory of uploads, 0 meaning the default. A fifth of the
// descriptors that are not kept is left for connections to backend servers.
func NewLimits(memory, descriptors, uploads int) Limits {
	if memory == 0 {
		memory = unknownMemory
	}
	if uploads == 0 {
		uploads = defaultUploads
	}
	l := Limits{Memory: max((memory-baseMemory)/garbageFactor, leastAccount), Connections: unknownConnections}
	if descriptors > 0 {
		l.Connections = (descriptors - KeptDescriptors(descriptors)) * 4 / 5
	}
	l.Uploads = min(uploads, l.Memory/2)
	return l
}

// KeptDescriptors returns how many descriptors are kept for other purposes than connections of callers
// and to backend servers.
func KeptDescriptors(descriptors int) int { return min(maxKeptDescriptors, descriptors/keptShare) }

// Admission decides how much the connections and requests of all listeners hold. It is safe for use
// by many goroutines.
type Admission struct {
	mu          sync.Mutex
	memory      limiter.Shares[int]
	connections limiter.Shares[int]
	// fresh holds the connections that had no request served and are not in a request, oldest
	// first, and idle those that had one and are not in a request, in the order in which they ended.
	fresh, idle [classCount]*list.List
	// waiting holds those that wait for memory, by part and rank.
	waiting [partCount][rankCount]list.List
	counts  Counts
	// limit is the bound on the memory of all classes, uploads that of bodies, spares holds an eighth of
	// the memory of each class, and heaviest the most that a request of it weighs. They never change.
	limit, uploads   int
	spares, heaviest [classCount]int
}

// part is a part of the memory: that of connections and of heads that are being read of a class, that
// of its requests, or that of bodies. Connections get their place whatever requests hold.
type part int

// partCount is the number of parts.
const partCount = 2 * classCount

// places returns the part of connections and of heads that are being read.
func (c Class) places() part { return part(c) }

// requests returns the part of requests.
func (c Class) requests() part { return part(c + classCount) }

// rankCount is the number of queues of a part: connections that had a request served come first, and
// light requests before others.
const rankCount = 4

// Counts counts what an Admission turned away.
type Counts struct {
	// Refused counts requests that were refused for lack of memory, Closed connections that were
	// closed for others or for lack of memory, and Rejected those that were closed when accepted.
	Refused, Closed, Rejected int64
}

// claim is an amount of memory of a part. It is granted only while spare is left then.
type claim struct {
	part     part
	n, spare int
}

// waiter waits for memory.
type waiter struct {
	claim
	granted chan struct{}
}

// NewAdmission returns an admission with limits. Each listener but that for callers has a sixteenth
// of the memory and half as much of the connections reserved; callers have the most of it.
func NewAdmission(l Limits) *Admission {
	a := &Admission{memory: limiter.NewShares(l.Memory), connections: limiter.NewShares(l.Connections)}
	for _, c := range []Class{Questions, Instances, Operators} {
		a.divide(c, l.Memory/16, l.Memory/8)
		a.connections = a.connections.WithPart(int(c), l.Connections/32, l.Connections/8)
	}
	a.memory = a.memory.WithPart(int(Uploads.places()), l.Memory/16, l.Uploads)
	a.divide(Callers, l.Memory/4, l.Memory*3/4)
	a.connections = a.connections.WithPart(int(Callers), l.Connections/4, l.Connections)
	for c := range classCount {
		a.fresh[c], a.idle[c] = list.New(), list.New()
		a.heaviest[c] = a.memory.Most(int(c.requests())) - a.spares[c]
	}
	a.limit, a.uploads = l.Memory, a.memory.Most(int(Uploads.places()))
	return a
}

// divide sets what is reserved for a class, half of it for connections, and the most that it may hold:
// five eighths for connections, of which one is for heads that are being read, and six for requests.
func (a *Admission) divide(c Class, reserved, most int) {
	a.spares[c] = most / eighths
	a.memory = a.memory.WithPart(int(c.places()), reserved/2, 5*a.spares[c])
	a.memory = a.memory.WithPart(int(c.requests()), reserved/2, 6*a.spares[c])
}

// Held returns the memory that a class holds, in bytes.
func (a *Admission) Held(c Class) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.memory.Held(int(c.places())) + a.memory.Held(int(c.requests()))
}

// Connections returns the number of connections of a class.
func (a *Admission) Connections(c Class) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.connections.Held(int(c))
}

// Limit returns the bound on the memory of all classes, in bytes.
func (a *Admission) Limit() int { return a.limit }

// UploadLimit returns the bound on the memory of bodies, in bytes.
func (a *Admission) UploadLimit() int { return a.uploads }

// Counts returns what was turned away so far.
func (a *Admission) Counts() Counts {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.counts
}

// countRefused counts a request that was refused for lack of memory.
func (a *Admission) countRefused() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.counts.Refused++
}

// TakeUpload takes memory for a body. It reports false if it is not left.
func (a *Admission) TakeUpload(n int) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.take(claim{part: Uploads.places(), n: n})
}

// PutUpload returns memory of a body.
func (a *Admission) PutUpload(n int) { a.put(Uploads.places(), n) }

// take takes memory. mu is held.
func (a *Admission) take(c claim) bool {
	var ok bool
	a.memory, ok = a.memory.With(int(c.part), c.n, c.spare)
	return ok
}

// put returns memory and gives it to those that wait.
func (a *Admission) put(p part, n int) {
	if n == 0 {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.memory = a.memory.WithReturned(int(p), n)
	a.grant()
}

// grant gives memory to those that wait. mu is held.
func (a *Admission) grant() {
	for p := range a.waiting {
		for rank := range a.waiting[p] {
			queue := &a.waiting[p][rank]
			for e := queue.Front(); e != nil; e = queue.Front() {
				w := e.Value.(*waiter)
				if !a.take(w.claim) {
					break
				}
				queue.Remove(e)
				close(w.granted)
			}
		}
	}
}

// queueFor returns the queue for a claim of a connection. mu is held.
func (a *Admission) queueFor(c *conn, m claim) *list.List {
	rank := 0
	if !c.served {
		rank += rankCount / 2
	}
	if m.n > lightBytes {
		rank++
	}
	return &a.waiting[m.part][rank]
}

// takeWithin takes memory for a connection and waits for it up to a time. It closes a connection that
// had no request served if one that had one needs memory of the same part. It reports false if there is
// none.
func (a *Admission) takeWithin(c *conn, m claim, limit time.Duration) bool {
	a.mu.Lock()
	queue := a.queueFor(c, m)
	if queue.Len() == 0 && a.take(m) {
		a.mu.Unlock()
		return true
	}
	var victim *conn
	if c.served && m.part == c.class.places() {
		if victim = a.evictFresh(c.class); victim != nil {
			a.counts.Closed++
		}
	}
	w := &waiter{claim: m, granted: make(chan struct{})}
	e := queue.PushBack(w)
	a.mu.Unlock()
	if victim != nil {
		_ = victim.Conn.Close()
	}
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-w.granted:
		return true
	case <-timer.C:
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	select {
	case <-w.granted:
		return true
	default:
	}
	queue.Remove(e)
	a.grant()
	return false
}

// accept admits a new connection. It closes another one for it if there are too many. It reports
// false if there is no place.
func (a *Admission) accept(c *conn, now time.Time) bool {
	a.mu.Lock()
	victim, ok := a.place(c, now)
	if victim != nil {
		a.counts.Closed++
	}
	if !ok {
		a.counts.Rejected++
	}
	a.mu.Unlock()
	if victim != nil {
		_ = victim.Conn.Close()
	}
	return ok
}

// place takes the place of a connection, or that of another one, which it returns. mu is held.
func (a *Admission) place(c *conn, now time.Time) (*conn, bool) {
	if a.enter(c) {
		return nil, true
	}
	victim := a.evict(c.class, now)
	if victim == nil {
		return nil, false
	}
	victim.leave()
	return victim, a.enter(c)
}

// enter takes a place and the memory of a connection. mu is held.
func (a *Admission) enter(c *conn) bool {
	connections, ok := a.connections.With(int(c.class), 1, 0)
	if !ok || !a.take(claim{c.class.places(), connectionBytes, a.spares[c.class]}) {
		return false
	}
	a.connections = connections
	c.place = connectionBytes
	c.element = a.fresh[c.class].PushBack(c)
	return true
}

// evict chooses a connection that may be closed for another one: the oldest that had no request
// served, or one that has been idle for long. mu is held.
func (a *Admission) evict(class Class, now time.Time) *conn {
	if victim := a.evictFresh(class); victim != nil {
		return victim
	}
	if e := a.idle[class].Front(); e != nil && now.Sub(e.Value.(*conn).idleSince) >= idleGrace {
		return e.Value.(*conn).evict()
	}
	return nil
}

// evictFresh chooses the oldest connection that had no request served. mu is held.
func (a *Admission) evictFresh(class Class) *conn {
	e := a.fresh[class].Front()
	if e == nil {
		return nil
	}
	return e.Value.(*conn).evict()
}
