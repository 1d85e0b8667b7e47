package linker

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"monsoonswitch/asserter"
	"monsoonswitch/declarer"
	"monsoonswitch/descriptor"
)

// countingListener counts the bytes received by all its connections.
type countingListener struct {
	net.Listener
	received *atomic.Int64
}

// Accept implements net.Listener.
func (l countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return countingConn{conn, l.received}, err
}

type countingConn struct {
	net.Conn
	received *atomic.Int64
}

// Read implements io.Reader.
func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.received.Add(int64(n))
	return n, err
}

// TestSizeOfRouting guards against routings that occupy the links of small instances for
// seconds. An instance with 10 Mbit/s must be able to send one with 1,450 routes over 16 links
// within a second.
func TestSizeOfRouting(t *testing.T) {
	const bound = 10e6 / 8 / 16
	var received atomic.Int64
	a := newTestLinker(t, "a", testKey)
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { a.linker.ServeHTTP(w, r) }))
	server.Listener = countingListener{server.Listener, &received}
	server.Start()
	t.Cleanup(server.Close)
	address := strings.TrimPrefix(server.URL, "http://")
	b := newTestLinker(t, "b", testKey, address)
	peer := next[descriptor.LinkOpened](t, b).Peer
	routing := declarer.Routing{Version: 7}
	for i := range 1450 {
		routing.Routes = append(routing.Routes, declarer.HostRoute{
			Host: "jepu9.example", Path: fmt.Sprintf("/lepu%d/2f/", i), Parts: []declarer.Part{{Service: "ledger", Weight: 1}},
			Class: declarer.Class{Name: fmt.Sprintf("r-%07d", i*6151%9973), Target: time.Second, Timeout: 3 * time.Second, Attempts: 3},
		})
	}
	sent := descriptor.Documents{List: []descriptor.Document{{Kind: descriptor.KindRouting, Name: "all", Revision: 7, Routing: &routing}}}
	b.linker.Send(peer, sent)
	got := next[descriptor.Received](t, a)
	asserter.Equal(t, "routes", len(got.Message.(descriptor.Documents).List[0].Routing.Routes), len(routing.Routes))
	asserter.AtMost(t, "bytes", received.Load(), int64(bound))
}
