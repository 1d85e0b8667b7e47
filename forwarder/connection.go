package forwarder

import (
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
)

// errNoPlace reports that there are too many connections to backend servers.
var errNoPlace = eris.New("too many connections to backend servers")

// maxCarried bounds the identifiers that a connection remembers, and so the requests that it
// carries.
const maxCarried = 256

// connection is a connection to a backend server. It carries each identifier of a request once:
// a late copy of the first answer would otherwise pass for the answer to the second request.
type connection struct {
	net.Conn
	// closed is called when the connection is closed, unless it is nil.
	closed func()
	once   sync.Once
	mu     sync.Mutex
	// carried holds the hashes of the identifiers that were sent, at most maxCarried.
	carried []uint64
	// written tells what of the present request the peer has taken.
	written written
}

// boundedDialer dials connections to backend servers, up to a number at once.
type boundedDialer struct {
	dialer *net.Dialer
	// places holds an element for each connection; it is nil if there is no bound.
	places chan struct{}
	// transports hold the idle connections.
	transports []*http.Transport
}

// newBoundedDialer returns a dialer of up to most connections at once; 0 means that there is no bound.
func newBoundedDialer(d *net.Dialer, most int) *boundedDialer {
	b := &boundedDialer{dialer: d}
	if most > 0 {
		b.places = make(chan struct{}, most)
	}
	return b
}

// dial dials a connection for http.Transport. If there are too many, it closes the idle ones and waits
// for a place, no longer than for a connection.
func (b *boundedDialer) dial(ctx context.Context, network, address string) (net.Conn, error) {
	if err := b.enter(ctx); err != nil {
		return nil, err
	}
	conn, err := b.dialer.DialContext(ctx, network, address)
	if err != nil {
		b.exit()
		return nil, err
	}
	return &connection{Conn: conn, closed: b.exit}, nil
}

// enter takes a place.
func (b *boundedDialer) enter(ctx context.Context) error {
	if b.places == nil {
		return nil
	}
	select {
	case b.places <- struct{}{}:
		return nil
	default:
	}
	for _, t := range b.transports {
		t.CloseIdleConnections()
	}
	timer := time.NewTimer(b.dialer.Timeout)
	defer timer.Stop()
	select {
	case b.places <- struct{}{}:
		return nil
	case <-timer.C:
	case <-ctx.Done():
	}
	// The type tells that nothing was sent.
	return &net.OpError{Op: "dial", Net: "tcp", Err: errNoPlace}
}

// exit returns a place.
func (b *boundedDialer) exit() {
	if b.places != nil {
		<-b.places
	}
}

// Close implements net.Conn.
func (c *connection) Close() error {
	if c.closed != nil {
		c.once.Do(c.closed)
	}
	return c.Conn.Close()
}

// carry records that the connection carries a request, and reports whether it may. An empty
// identifier is not recorded.
func (c *connection) carry(id string) bool {
	if id == "" {
		return true
	}
	hash := xxhash.Sum64String(id)
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.carried) >= maxCarried || slices.Contains(c.carried, hash) {
		return false
	}
	c.carried = append(c.carried, hash)
	return true
}
