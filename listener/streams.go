package listener

import "net/http"

const (
	// http2Streams bounds the requests at once of a connection of HTTP/2. The standard recommends not
	// to allow fewer.
	http2Streams = 100
	// http2FieldBytes is what HTTP/2 counts for a field beside its bytes against the bound on a list.
	http2FieldBytes = 32
	// frameHeadBytes is the length of the head of a frame.
	frameHeadBytes = 9
	// frameHeaders and frameContinuation are the types of the frames with header lists.
	frameHeaders, frameContinuation = 1, 9
)

// streams follows the frames of a connection of HTTP/2 and takes the memory for header lists before
// net/http sees them.
type streams struct {
	// skip is the number of bytes up to the next frame, and head its first bytes.
	skip int
	head []byte
	// weights holds the memory of header lists without a handler, oldest first. The mutex of the
	// admission guards it. Handlers may claim the lists in another order: the sum is the same.
	weights []int
	// handled is the number of requests with a handler. The same mutex guards it.
	handled int
	// trailers is the memory of trailers, which is returned once there is no handler. The same mutex
	// guards it.
	trailers int
	// inTrailer is set if the newest header list is a trailer.
	inTrailer bool
	// last is the newest stream.
	last uint32
}

// startStreams makes the connection one of HTTP/2, whose preface was read.
func (c *conn) startStreams(p []byte) (int, error) {
	if !c.reserveStreams() {
		return 0, c.answer(answerFull)
	}
	c.streams = &streams{skip: c.head.searched + len(http2RestOfPrefix)}
	return c.readStreams(p)
}

// reserveStreams takes the memory of a connection of HTTP/2. It reports false if there is none.
func (c *conn) reserveStreams() bool {
	a := c.admission
	if !a.takeWithin(c, claim{c.class.places(), http2Bytes, a.spares[c.class]}, c.wait()) {
		return false
	}
	a.mu.Lock()
	left := c.left
	if !left {
		c.place += http2Bytes
	}
	a.mu.Unlock()
	if left {
		a.put(c.class.places(), http2Bytes)
	}
	return !left
}

// readStreams reads frames. It takes the memory for header lists among them.
func (c *conn) readStreams(p []byte) (int, error) {
	n, err := c.source(p)
	s := c.streams
	for rest := p[:n]; len(rest) > 0; {
		if s.skip > 0 {
			k := min(s.skip, len(rest))
			s.skip -= k
			rest = rest[k:]
			continue
		}
		s.head = append(s.head, rest[0])
		rest = rest[1:]
		if len(s.head) < frameHeadBytes {
			continue
		}
		weight := s.weigh(c.options.headLimit())
		if weight > 0 && !c.takeStream(weight) {
			return 0, errNotAdmitted
		}
		s.head = s.head[:0]
	}
	return n, err
}

// weigh returns the memory that the frame at hand may need. Each byte may be a field, up to the bound on
// a list.
func (s *streams) weigh(limit int) int {
	length := int(s.head[0])<<16 | int(s.head[1])<<8 | int(s.head[2])
	kind := s.head[3]
	id := uint32(s.head[5]&0x7f)<<24 | uint32(s.head[6])<<16 | uint32(s.head[7])<<8 | uint32(s.head[8])
	s.skip = length
	weight := 2*length + min(length, limit/http2FieldBytes)*lineBytes
	switch {
	case kind == frameContinuation:
		return weight
	case kind != frameHeaders:
		return 0
	}
	s.inTrailer = id <= s.last
	s.last = max(s.last, id)
	return weight + requestBytes
}

// takeStream takes memory for a part of the newest header list. It reports false if there is none, or if
// too many lists have no handler.
func (c *conn) takeStream(weight int) bool {
	weight = min(weight, c.admission.heaviest[c.class])
	if !c.takeForRequest(weight) {
		c.admission.countRefused()
		return false
	}
	c.admission.mu.Lock()
	defer c.admission.mu.Unlock()
	if c.evicted {
		return false
	}
	c.unlist()
	s := c.streams
	isContinuation := s.head[3] == frameContinuation
	switch {
	case s.inTrailer:
		s.trailers += weight
	case isContinuation && len(s.weights) > 0:
		s.weights[len(s.weights)-1] += weight
	default:
		s.weights = append(s.weights, weight)
	}
	return len(s.weights) <= 2*http2Streams
}

// claimStream returns what the oldest header list without a handler needs less than was taken for it,
// and a function that returns the rest. It reports false if none was admitted.
func (c *conn) claimStream(r *http.Request) (func(), bool) {
	bytes, lines := len(r.RequestURI), 0
	for name, values := range r.Header {
		lines += len(values)
		for _, v := range values {
			bytes += len(name) + len(v)
		}
	}
	need := c.admission.weight(c.class, bytes, lines)
	c.admission.mu.Lock()
	s := c.streams
	if s == nil || len(s.weights) == 0 {
		c.admission.mu.Unlock()
		return nil, false
	}
	taken := s.weights[0]
	s.weights = s.weights[1:]
	s.handled++
	c.admission.mu.Unlock()
	need = min(need, taken)
	c.returnRequest(taken - need)
	return func() { c.returnRequest(need + c.endStream()) }, true
}

// endStream records the end of a handler. After the last one the connection is idle, and the memory of
// trailers is returned, whose size is the result.
func (c *conn) endStream() int {
	c.admission.mu.Lock()
	defer c.admission.mu.Unlock()
	c.served = true
	s := c.streams
	s.handled--
	if s.handled > 0 || len(s.weights) > 0 {
		return 0
	}
	c.becomeIdle()
	n := s.trailers
	s.trailers = 0
	return n
}

// returnRequest returns a part of the memory of requests.
func (c *conn) returnRequest(n int) {
	a := c.admission
	a.mu.Lock()
	if c.left {
		n = 0
	}
	c.request -= n
	a.mu.Unlock()
	a.put(c.class.requests(), n)
}
