package forwarder

import (
	"context"
	"net"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"
)

// maxCarried bounds the identifiers that a connection remembers, and so the requests that it
// carries.
const maxCarried = 256

// connection is a connection to a backend server. It carries each identifier of a request once:
// a late copy of the first answer would otherwise pass for the answer to the second request.
type connection struct {
	net.Conn
	mu sync.Mutex
	// carried holds the hashes of the identifiers that were sent, at most maxCarried.
	carried []uint64
	// written tells what of the present request the peer has taken.
	written written
}

// dialConnections returns a function for http.Transport that dials connections.
func dialConnections(d *net.Dialer) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := d.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &connection{Conn: conn}, nil
	}
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
