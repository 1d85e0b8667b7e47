package forwarder

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"monsoonswitch/asserter"
	"monsoonswitch/descriptor"
)

// listenRaw handles each connection to a loopback address, which it returns, and closes it then.
func listenRaw(t *testing.T, handle func(net.Conn)) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	asserter.NoError(t, "listen", err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				handle(conn)
			}()
		}
	}()
	return l.Addr().String()
}

// rawBackend serves HTTP by hand on each connection. answer returns the bytes written for
// the n-th request of a connection, counted from 0.
func rawBackend(t *testing.T, answer func(n int, r *http.Request) string) string {
	return listenRaw(t, func(conn net.Conn) {
		reader := bufio.NewReader(conn)
		for n := 0; ; n++ {
			r, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			if _, err := fmt.Fprint(conn, answer(n, r)); err != nil {
				return
			}
		}
	})
}

// TestRepeatedRefusal guards against a backend server that writes an earlier refusal once
// more on a kept connection, as the answer to work that it runs. The work must not count as
// not run: its caller would be told so, or it would run at a second backend server.
func TestRepeatedRefusal(t *testing.T) {
	refusal := func(attempt string) string {
		return "HTTP/1.1 503 Service Unavailable\r\nBackend-Refused: not-run\r\nBackend-Attempt: " + attempt + "\r\nContent-Length: 0\r\n\r\n"
	}
	for name, second := range map[string]func(first string) string{
		"with the identifier of the earlier attempt": refusal,
		"without an identifier":                      func(string) string { return refusal("") },
	} {
		t.Run(name, func(t *testing.T) {
			var ran atomic.Int32
			var first string
			x := newFixture(t, nil)
			x.control.address = rawBackend(t, func(n int, r *http.Request) string {
				if n == 0 {
					first = r.Header.Get(headerAttempt)
					return refusal(first)
				}
				ran.Add(1)
				return second(first)
			})
			for i := range 2 {
				response, _, err := x.do(x.request("GET", fmt.Sprint("/a/", i), nil))
				asserter.NoError(t, "send", err)
				asserter.Equal(t, "status", response.StatusCode, http.StatusBadGateway)
			}
			asserter.Equal(t, "ran", ran.Load(), int32(1))
			asserter.Equal(t, "fault", x.control.fault(), descriptor.FaultBroken)
		})
	}
	t.Run("a refusal of the attempt itself is believed", func(t *testing.T) {
		x := newFixture(t, nil)
		x.control.address = rawBackend(t, func(_ int, r *http.Request) string { return refusal(r.Header.Get(headerAttempt)) })
		for range 3 {
			_, _, err := x.do(x.request("GET", "/a", nil))
			asserter.NoError(t, "send", err)
			asserter.Equal(t, "fault", x.control.fault(), descriptor.FaultShed)
		}
	})
}
