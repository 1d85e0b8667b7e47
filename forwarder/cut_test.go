package forwarder

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
)

// cutBackend answers each request with the given bytes and closes the connection.
func cutBackend(t *testing.T, answer string) string {
	return listenRaw(t, func(conn net.Conn) {
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
			_, _ = fmt.Fprint(conn, answer)
		}
	})
}

// TestCutHead guards against an answer that breaks off in its head, or in a framed body, and
// reaches the caller as a complete success. It cuts answers after each byte.
func TestCutHead(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nServer-Signature: s\r\nContent-Type: text/plain\r\n"
	for name, answer := range map[string]string{
		"with a length":                 head + "Content-Length: 12\r\n\r\ninvoice 1234",
		"with the length first":         "HTTP/1.1 200 OK\r\nContent-Length: 12\r\nServer-Signature: s\r\n\r\ninvoice 1234",
		"in chunks":                     head + "Transfer-Encoding: chunked\r\n\r\nc\r\ninvoice 1234\r\n0\r\n\r\n",
		"that ends with its connection": head + "\r\n",
		"with bare line feeds":          strings.ReplaceAll(head, "\r\n", "\n") + "Content-Length: 12\n\ninvoice 1234",
		"after an interim answer":       "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + head + "Content-Length: 12\r\n\r\ninvoice 1234",
	} {
		t.Run(name, func(t *testing.T) {
			x := newFixture(t, nil)
			for n := range len(answer) {
				x.control.mu.Lock()
				x.control.address = cutBackend(t, answer[:n])
				x.control.mu.Unlock()
				response, body, err := x.do(x.request("GET", "/a", nil))
				if err == nil && response.StatusCode == http.StatusOK {
					t.Errorf("after %d bytes, %q: got a complete 200 with %q, want a failure", n, answer[max(0, n-20):n], body)
				}
			}
		})
	}
}
