package caller

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"monsoonswitch/asserter"
	"monsoonswitch/forwarder"
)

// TestBrokenWorkIsSentOnce guards against work that is neither repeatable nor keyed being sent
// again after the connection on which it was sent breaks, by net/http or because the connection
// that net/http opens for that fails.
func TestBrokenWorkIsSentOnce(t *testing.T) {
	for name, ends := range map[string]bool{"the instance stays": false, "the instance ends": true} {
		for _, method := range []string{http.MethodGet, http.MethodPost} {
			t.Run(name+", "+method, func(t *testing.T) {
				var got atomic.Int32
				var once sync.Once
				breaking, err := net.Listen("tcp", "127.0.0.1:0")
				asserter.NoError(t, "listen", err)
				t.Cleanup(func() { _ = breaking.Close() })
				go func() {
					for {
						conn, err := breaking.Accept()
						if err != nil {
							return
						}
						go func() {
							defer func() { _ = conn.Close() }()
							reader := bufio.NewReader(conn)
							for {
								r, err := http.ReadRequest(reader)
								if err != nil {
									return
								}
								if r.URL.Path == "/work" {
									got.Add(1)
									if ends {
										once.Do(func() { _ = breaking.Close() })
									}
									return
								}
								_, _ = fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
							}
						}()
					}
				}()
				other := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { got.Add(1) }))
				t.Cleanup(other.Close)
				entry := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
					_ = json.NewEncoder(w).Encode(forwarder.AddressAnswer{Keep: 60, Addresses: []forwarder.Address{
						{Address: breaking.Addr().String()}, {Address: strings.TrimPrefix(other.URL, "http://")},
					}})
				}))
				t.Cleanup(entry.Close)
				ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
				defer cancel()
				c := New([]string{strings.TrimPrefix(entry.URL, "http://")}, "")
				_, err = c.Do(ctx, Work{Service: "ledger", Method: http.MethodGet, Path: "/before"})
				asserter.NoError(t, "request before", err)
				_, err = c.Do(ctx, Work{Service: "ledger", Method: method, Path: "/work"})
				asserter.Equal(t, "requests that arrived", got.Load(), int32(1))
				asserter.True(t, "the work ends with an error", err != nil)
			})
		}
	}
}
