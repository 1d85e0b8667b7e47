package forwarder

import (
	"io"
	"maps"
	"net"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"monsoonswitch/asserter"
	"monsoonswitch/descriptor"
	"monsoonswitch/listener"
	"monsoonswitch/recorder"
)

// departureLimit is the time after the close by a caller within which its requests may still be sent on.
const departureLimit = 500 * time.Millisecond

// queueing is a Control that holds all requests, as a balancer without a free slot does, and refuses those
// whose callers have left.
type queueing struct {
	mu sync.Mutex
	// open holds the actions of the requests by ID, and labels their labels in the order of arrival.
	open   map[descriptor.RequestID]chan descriptor.RequestAction
	labels []string
	// gone is the number of requests whose callers have left, and withdrawn that of attempts that sent nothing
	// therefore.
	gone, withdrawn int
	// ignoresGone is set to act as if the departures of callers were not known yet.
	ignoresGone bool
}

// Open implements Control.
func (c *queueing) Open(e descriptor.Arrived) <-chan descriptor.RequestAction {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open[e.Request] = make(chan descriptor.RequestAction, 1)
	c.labels = append(c.labels, e.Label)
	return c.open[e.Request]
}

// Post implements Control.
func (c *queueing) Post(event descriptor.Event) {
	c.mu.Lock()
	defer c.mu.Unlock()
	refusal := descriptor.Refuse{Reason: descriptor.Abandoned, Outcome: descriptor.NotRun}
	switch e := event.(type) {
	case descriptor.CallerGone:
		c.gone++
		if !c.ignoresGone {
			c.open[e.Request] <- refusal
		}
	case descriptor.Failed:
		if e.Fault == descriptor.FaultWithdrawn {
			c.withdrawn++
		}
		c.open[e.Request] <- refusal
	}
}

// dispatch sends the newest request to a backend server.
func (c *queueing) dispatch(b descriptor.Backend) {
	c.mu.Lock()
	defer c.mu.Unlock()
	newest := slices.Max(slices.Collect(maps.Keys(c.open)))
	c.open[newest] <- descriptor.Dispatch{Request: newest, Attempt: 1, Backend: b}
}

// Release implements Control.
func (c *queueing) Release(descriptor.RequestID) {}

// counts returns the numbers of requests that arrived and whose callers have left.
func (c *queueing) counts() (arrived, gone int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.labels), c.gone
}

// newQueueingFixture returns the address of a forwarder behind the listener for callers, and its control.
func newQueueingFixture(t *testing.T) (string, *queueing) {
	control := &queueing{open: make(map[descriptor.RequestID]chan descriptor.RequestAction)}
	o := Options{StallTimeout: 10 * time.Second, Keep: time.Second, CallerLeft: listener.PeerClosed, BackendConnections: 1, ConnectTimeout: 10 * time.Second}
	f := New(o, labelledDialect{NewStandardDialect(o)}, control, recorder.New())
	f.SetDirectory(readyDirectory())
	l, err := listener.New(listener.Options{Address: "127.0.0.1:0", UnencryptedHTTP2: true, StreamBytes: StreamBytes}, f)
	asserter.NoError(t, "listen", err)
	t.Cleanup(func() { _ = l.Close() })
	return l.Address(), control
}

// departureCases are requests that wait while net/http reads nothing from their connections: it watches a
// connection only once it has read the whole body, and until the first byte of the next request.
var departureCases = []struct {
	name string
	text string
	// waiting is the number of requests that the control goroutine gets while the caller stays.
	waiting int
}{
	{"without a body", "GET /a HTTP/1.1\r\nHost: ledger\r\n\r\n", 1},
	{"with a body", "POST /a HTTP/1.1\r\nHost: ledger\r\nContent-Length: 300\r\n\r\n" + strings.Repeat("x", 300), 1},
	{"with a part of a body", "POST /a HTTP/1.1\r\nHost: ledger\r\nContent-Length: 300\r\n\r\nxxx", 1},
	{"with a body in chunks", "POST /a HTTP/1.1\r\nHost: ledger\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", 1},
	{"before other requests", strings.Repeat("GET /a HTTP/1.1\r\nHost: ledger\r\n\r\n", 3), 1},
	{"before other requests with a body", strings.Repeat("POST /a HTTP/1.1\r\nHost: ledger\r\nContent-Length: 3\r\n\r\nabc", 3), 1},
}

// TestDepartureWhileWaiting guards against requests that are sent on after their callers have left, since
// nothing read the connection while they waited for a slot.
func TestDepartureWhileWaiting(t *testing.T) {
	for _, c := range departureCases {
		for _, reset := range []bool{false, true} {
			name := c.name + ", closed"
			if reset {
				name = c.name + ", reset"
			}
			t.Run(name, func(t *testing.T) {
				address, control := newQueueingFixture(t)
				conn := sendText(t, address, c.text)
				wantArrived(t, control, c.waiting)
				if reset {
					asserter.NoError(t, "linger", conn.(*net.TCPConn).SetLinger(0))
				}
				asserter.NoError(t, "close", conn.Close())
				wantGone(t, control, c.waiting)
				time.Sleep(departureLimit)
				arrived, _ := control.counts()
				asserter.Equal(t, "requests that arrived in all", arrived, c.waiting)
			})
		}
	}
}

// TestPresenceWhileWaiting guards against callers that are taken to have left while they wait.
func TestPresenceWhileWaiting(t *testing.T) {
	for _, c := range departureCases {
		t.Run(c.name, func(t *testing.T) {
			address, control := newQueueingFixture(t)
			sendText(t, address, c.text)
			wantArrived(t, control, c.waiting)
			time.Sleep(departureLimit)
			_, gone := control.counts()
			asserter.Equal(t, "callers that left", gone, 0)
		})
	}
}

// TestDepartureBeforeSending guards against requests that are sent on after their callers have left, since the
// control goroutine does not know it yet or the request has no connection yet.
func TestDepartureBeforeSending(t *testing.T) {
	for _, c := range departureCases {
		t.Run("dispatched late "+c.name, func(t *testing.T) {
			address, control := newQueueingFixture(t)
			log := &pathLog{}
			server := listenRaw(t, func(net.Conn) { log.add("/a") })
			control.ignoresGone = true
			conn := sendText(t, address, c.text)
			wantArrived(t, control, c.waiting)
			asserter.NoError(t, "close", conn.Close())
			time.Sleep(departureInterval)
			control.dispatch(descriptor.Backend{ID: "b", Address: server})
			wantWithdrawn(t, control)
			asserter.Equal(t, "reached the backend server", log.has("/a"), false)
		})
		t.Run("waiting for a connection "+c.name, func(t *testing.T) {
			address, control := newQueueingFixture(t)
			held := make(chan struct{})
			t.Cleanup(func() { close(held) })
			server := descriptor.Backend{ID: "b", Address: listenRaw(t, func(net.Conn) { <-held })}
			sendText(t, address, departureCases[0].text)
			wantArrived(t, control, 1)
			control.dispatch(server)
			control.ignoresGone = true
			conn := sendText(t, address, c.text)
			wantArrived(t, control, 1+c.waiting)
			control.dispatch(server)
			time.Sleep(departureInterval)
			asserter.NoError(t, "close", conn.Close())
			wantWithdrawn(t, control)
		})
	}
}

// sendText opens a connection and writes bytes.
func sendText(t *testing.T, address, text string) net.Conn {
	conn, err := net.Dial("tcp", address)
	asserter.NoError(t, "dial", err)
	t.Cleanup(func() { _ = conn.Close() })
	_, err = io.WriteString(conn, text)
	asserter.NoError(t, "write", err)
	return conn
}

// wantArrived waits until a number of requests have arrived.
func wantArrived(t *testing.T, control *queueing, want int) {
	t.Helper()
	asserter.Eventually(t, "requests arrive", 10*time.Second, func() bool {
		arrived, _ := control.counts()
		return arrived == want
	})
}

// wantGone fails unless callers of a number of requests are known to have left within departureLimit.
func wantGone(t *testing.T, control *queueing, want int) {
	t.Helper()
	closed := time.Now()
	asserter.Eventually(t, "callers have left", 10*time.Second, func() bool {
		_, gone := control.counts()
		return gone == want
	})
	asserter.AtMost(t, "time until it is known", time.Since(closed), departureLimit)
}

// wantWithdrawn fails unless an attempt is withdrawn within departureLimit.
func wantWithdrawn(t *testing.T, control *queueing) {
	t.Helper()
	closed := time.Now()
	asserter.Eventually(t, "attempt is withdrawn", 5*time.Second, func() bool {
		control.mu.Lock()
		defer control.mu.Unlock()
		return control.withdrawn == 1
	})
	asserter.AtMost(t, "time until it is withdrawn", time.Since(closed), departureLimit)
}
