package listener

import (
	"container/list"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// leastBuffer is the size of the smallest buffer of a head, in bytes.
	leastBuffer = 1 << 10
	// smallRead is the size of a read that is made into the buffer of the connection instead.
	smallRead = 512
	// headSlack is how much longer than HeaderBytes a head may be, as in net/http, in bytes.
	headSlack = 4 << 10
	// lingerTime bounds the time for which bytes are discarded behind an answer before a close.
	lingerTime = 500 * time.Millisecond
	// maxAdmissionWait bounds the time for which a head waits for memory. admissionShare is the
	// share of the timeout for a head that it takes at most.
	maxAdmissionWait, admissionShare = time.Second, 4
)

// Answers to requests that were not run.
const (
	answerFull    = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nRetry-After: 1\r\nConnection: close\r\n\r\n"
	answerTooLong = "HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\n\r\n431 Request Header Fields Too Large"
)

// errNotAdmitted reports a connection that was closed for lack of memory.
var errNotAdmitted = eris.New("connection is not admitted")

// conn is an accepted connection. It reads each head into a buffer that is accounted for, and passes it
// on once there is memory for what net/http makes of it. It passes nothing on behind the end of a
// request, so that net/http never holds more than one head.
type conn struct {
	net.Conn
	admission *Admission
	class     Class
	options   *Options
	// raw is set when what is read is passed on as it is.
	raw atomic.Bool

	// deadlineMu guards the deadlines below.
	deadlineMu sync.Mutex
	// asked is the read deadline that was set, and headEnd the end of the time for the head that is
	// being read, or zero. kept is set from the second head on: its time starts with its first byte,
	// and what was asked is the end of the time for which the connection may be idle.
	asked, headEnd time.Time
	kept           bool

	// Only the reader uses the fields up to streams.
	// buffer holds what was read and not passed on, and head what is known of the head in it.
	buffer []byte
	head   head
	// given is the number of bytes of buffer that were passed on before the end of the head was
	// known, and whole the number of bytes that may be passed on, or 0.
	given, whole int
	body         body
	// paidTrailers is the number of lines of the trailer that are accounted for.
	paidTrailers int
	// streams is set for a connection of HTTP/2.
	streams *streams

	// The mutex of the admission guards the fields below.
	// element is the entry in the lists of the admission, or nil.
	element *list.Element
	// served is set if a request was served, and evicted if the connection is closed for others.
	served, evicted, left bool
	idleSince             time.Time
	// place is the memory of the connection, buffered that of buffer, and request that of the request
	// that is served.
	place, buffered, request int
	// pending is set between the end of a head and its handler.
	pending bool
}

// unlist removes the connection from the lists of the admission, whose mutex is held.
func (c *conn) unlist() {
	if c.element == nil {
		return
	}
	for _, l := range []*list.List{c.admission.fresh[c.class], c.admission.idle[c.class]} {
		l.Remove(c.element)
	}
	c.element = nil
}

// evict marks the connection as one that is closed for others. The mutex of the admission is held.
func (c *conn) evict() *conn {
	c.unlist()
	c.evicted = true
	return c
}

// leave returns all that the connection holds. The mutex of the admission is held.
func (c *conn) leave() {
	if c.left {
		return
	}
	c.left = true
	c.unlist()
	a := c.admission
	a.connections = a.connections.WithReturned(int(c.class), 1)
	a.memory = a.memory.WithReturned(int(c.class.places()), c.place+c.buffered)
	a.memory = a.memory.WithReturned(int(c.class.requests()), c.request)
	c.place, c.buffered, c.request = 0, 0, 0
	a.grant()
}

// Close implements net.Conn.
func (c *conn) Close() error {
	err := c.Conn.Close()
	c.admission.mu.Lock()
	defer c.admission.mu.Unlock()
	c.leave()
	return err
}

// CloseWrite closes the sending side.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error {
	if err := c.SetReadDeadline(t); err != nil {
		return err
	}
	return c.SetWriteDeadline(t)
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.deadlineMu.Lock()
	defer c.deadlineMu.Unlock()
	c.asked = t
	return c.applyDeadline()
}

// setHeadEnd sets the end of the time for the head that is being read; zero means none.
func (c *conn) setHeadEnd(t time.Time) {
	c.deadlineMu.Lock()
	defer c.deadlineMu.Unlock()
	c.headEnd = t
	_ = c.applyDeadline()
}

// applyDeadline sets the deadline that holds now. deadlineMu is held.
func (c *conn) applyDeadline() error {
	t := c.asked
	if !c.headEnd.IsZero() && (t.IsZero() || c.headEnd.Before(t) || c.kept && t.After(time.Now())) {
		t = c.headEnd
	}
	return c.Conn.SetReadDeadline(t)
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	switch {
	case len(p) == 0:
		return c.Conn.Read(p)
	case c.whole > 0:
		n := copy(p, c.buffer[:c.whole])
		c.whole -= n
		c.drop(n)
		return n, nil
	case c.streams != nil && !c.raw.Load():
		return c.readStreams(p)
	case c.raw.Load():
		return c.source(p)
	case c.body.open():
		return c.readBody(p)
	case len(p) == 1 && c.given == 0:
		return c.peek(p)
	}
	return c.readHead(p)
}

// source reads what was read before and not passed on, or from the connection.
func (c *conn) source(p []byte) (int, error) {
	if len(c.buffer) > 0 {
		n := copy(p, c.buffer)
		c.drop(n)
		return n, nil
	}
	return c.Conn.Read(p)
}

// drop removes n bytes from the start of the buffer. An empty buffer is given up.
func (c *conn) drop(n int) {
	c.buffer = c.buffer[n:]
	if len(c.buffer) > 0 {
		return
	}
	c.buffer = nil
	c.account(0)
}

// account returns what the buffer held beyond n bytes.
func (c *conn) account(n int) {
	a := c.admission
	a.mu.Lock()
	back := 0
	if !c.left {
		back = c.buffered - n
		c.buffered = n
	}
	a.mu.Unlock()
	a.put(c.class.places(), back)
}

// peek waits while a request is served until the peer leaves, or until the read deadline. net/http
// watches the connection by reading one byte. It would stop watching if it got the first byte of the
// next request, so that byte is kept back. It is passed on where the system can't report the end of a
// connection with unread bytes.
func (c *conn) peek(p []byte) (int, error) {
	if len(c.buffer) == 0 {
		n, err := c.Conn.Read(p)
		if n == 0 {
			return n, err
		}
		if !c.store(p[:n]) {
			return 0, errNotAdmitted
		}
	}
	if err := awaitPeerClosed(c.Conn); !errors.Is(err, errNotObservable) {
		return 0, err
	}
	c.given = 1
	p[0] = c.buffer[0]
	return 1, nil
}

// readBody reads bytes of a body. What follows the body is kept.
func (c *conn) readBody(p []byte) (int, error) {
	n, err := c.source(p)
	k := c.body.pass(p[:n])
	if extra := c.body.trailers - c.paidTrailers; extra > 0 {
		c.paidTrailers = c.body.trailers
		if !c.takeForRequest(extra * lineBytes) {
			return 0, errNotAdmitted
		}
	}
	if k < n && !c.restore(p[k:n]) {
		return 0, errNotAdmitted
	}
	return k, err
}

// restore puts bytes back before those of the buffer.
func (c *conn) restore(p []byte) bool {
	rest := c.buffer
	c.buffer = nil
	old := make([]byte, 0, len(p)+len(rest))
	old = append(append(old, p...), rest...)
	c.account(0)
	return c.store(old)
}

// store appends bytes to the buffer. It reports false if there is no memory for that.
func (c *conn) store(p []byte) bool {
	if !c.reserve(len(p)) {
		return false
	}
	c.buffer = append(c.buffer, p...)
	return true
}

// reserve makes room in the buffer for n more bytes. It reports false if there is no memory for that.
func (c *conn) reserve(n int) bool {
	need := len(c.buffer) + n
	if need <= cap(c.buffer) {
		return true
	}
	size := max(leastBuffer, 2*cap(c.buffer), need)
	if !c.admission.takeWithin(c, claim{part: c.class.places(), n: size}, c.wait()) {
		return false
	}
	c.admission.mu.Lock()
	if c.left {
		c.admission.mu.Unlock()
		c.admission.put(c.class.places(), size)
		return false
	}
	c.buffered += size
	c.admission.mu.Unlock()
	c.buffer = append(make([]byte, 0, size), c.buffer...)
	c.account(size)
	return true
}

// wait returns for how long the connection may wait for memory.
func (c *conn) wait() time.Duration {
	if c.options.HeaderTimeout == 0 {
		return maxAdmissionWait
	}
	return min(maxAdmissionWait, c.options.HeaderTimeout/admissionShare)
}

// readHead reads a whole head and passes its first bytes on once it is admitted.
func (c *conn) readHead(p []byte) (int, error) {
	defer c.endHead()
	for {
		if len(c.buffer) > 0 {
			c.startHead()
			if end, ok := c.head.scan(c.buffer); ok {
				return c.admitHead(p, end)
			}
			if len(c.buffer) > c.options.headLimit() {
				return 0, c.answer(answerTooLong)
			}
		}
		if err := c.fill(p); err != nil {
			return 0, err
		}
	}
}

// startHead starts the time for the head that is being read, unless it runs.
func (c *conn) startHead() {
	if c.head.searched == 0 && c.options.HeaderTimeout > 0 {
		c.setHeadEnd(time.Now().Add(c.options.HeaderTimeout))
	}
}

// endHead ends the time for a head.
func (c *conn) endHead() {
	c.setHeadEnd(time.Time{})
	c.deadlineMu.Lock()
	defer c.deadlineMu.Unlock()
	c.kept = true
}

// fill reads once into the buffer. It uses p while the buffer is empty, so that an idle connection has
// none.
func (c *conn) fill(p []byte) error {
	if len(c.buffer) == 0 && len(p) >= 1 {
		n, err := c.Conn.Read(p[:min(len(p), smallRead)])
		if n > 0 && !c.store(p[:n]) {
			return c.answer(answerFull)
		}
		return err
	}
	if cap(c.buffer) == len(c.buffer) && !c.reserve(1) {
		return c.answer(answerFull)
	}
	n, err := c.Conn.Read(c.buffer[len(c.buffer):cap(c.buffer)])
	c.buffer = c.buffer[:len(c.buffer)+n]
	if n > 0 {
		return nil
	}
	return err
}

// weight returns the memory that a request with a head of some bytes and lines needs. It is never more
// than what there is for one, so that an otherwise idle instance serves it.
func (a *Admission) weight(c Class, bytes, lines int) int {
	base := requestBytes
	if c == Operators {
		base = operatorBytes
	}
	return min(base+2*bytes+lines*lineBytes, a.heaviest[c])
}

// admitHead takes the memory for the head at the start of the buffer and passes its first bytes on.
func (c *conn) admitHead(p []byte, end int) (int, error) {
	if c.options.UnencryptedHTTP2 && c.head.isHTTP2 && c.head.lines == 1 {
		return c.startStreams(p)
	}
	if !c.begin(c.admission.weight(c.class, end, c.head.lines)) {
		return 0, c.answer(answerFull)
	}
	c.body, c.paidTrailers, c.head = c.head.body(), 0, head{}
	c.whole = end - c.given
	c.drop(c.given)
	c.given = 0
	n := copy(p, c.buffer[:c.whole])
	c.whole -= n
	c.drop(n)
	return n, nil
}

// begin takes the memory for a request. It reports false if there is none, or if the connection is
// closed for others.
func (c *conn) begin(weight int) bool {
	if !c.takeForRequest(weight) {
		return false
	}
	c.admission.mu.Lock()
	defer c.admission.mu.Unlock()
	c.unlist()
	c.pending = true
	return !c.evicted
}

// takeForRequest takes memory that is returned when the request ends. It reports false if there is none.
func (c *conn) takeForRequest(n int) bool {
	a := c.admission
	m := claim{part: c.class.requests(), n: n}
	if n > lightBytes {
		m.spare = a.spares[c.class]
	}
	if !a.takeWithin(c, m, c.wait()) {
		return false
	}
	a.mu.Lock()
	if c.left {
		a.mu.Unlock()
		a.put(c.class.requests(), n)
		return false
	}
	c.request += n
	a.mu.Unlock()
	return true
}

// answer answers that a request was not run and ends the connection. What is received meanwhile is
// discarded, since a close with unread bytes could destroy the answer. It returns io.EOF.
func (c *conn) answer(text string) error {
	if text == answerFull {
		c.admission.countRefused()
	}
	c.buffer = nil
	c.account(0)
	end := time.Now().Add(lingerTime)
	_ = c.Conn.SetDeadline(end)
	if _, err := io.WriteString(c.Conn, text); err == nil && c.CloseWrite() == nil {
		scratch := make([]byte, smallRead)
		for err == nil && time.Now().Before(end) {
			_, err = c.Conn.Read(scratch)
		}
	}
	return io.EOF
}

// changed follows the state of the connection at the server.
func (c *conn) changed(state http.ConnState) {
	switch state {
	case http.StateHijacked:
		c.raw.Store(true)
	case http.StateIdle:
		c.endRequest()
	}
}

// endRequest returns the memory of the request.
func (c *conn) endRequest() {
	a := c.admission
	a.mu.Lock()
	if c.left || c.streams != nil {
		a.mu.Unlock()
		return
	}
	n := c.request
	c.request, c.pending, c.served = 0, false, true
	c.becomeIdle()
	a.mu.Unlock()
	a.put(c.class.requests(), n)
}

// becomeIdle adds the connection to those that may be closed for others. The mutex of the admission is
// held.
func (c *conn) becomeIdle() {
	if c.element == nil && !c.evicted && !c.left {
		c.idleSince = time.Now()
		c.element = c.admission.idle[c.class].PushBack(c)
	}
}

// claim reports whether the head of the request that is handled was admitted.
func (c *conn) claim() bool {
	c.admission.mu.Lock()
	defer c.admission.mu.Unlock()
	ok := c.pending
	c.pending = false
	return ok
}
