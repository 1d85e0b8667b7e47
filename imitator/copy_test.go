package imitator

import (
	"bufio"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"monsoonswitch/asserter"
)

// newTestBackend returns a stand-in that serves at once, and a connection to it.
func newTestBackend(t *testing.T, o BackendOptions) (*Backend, net.Conn, *bufio.Reader) {
	o.Slots, o.Median = 1, time.Millisecond
	b := NewBackend(o, time.Now())
	p, err := ServeBackend(b, "127.0.0.1:0")
	asserter.NoError(t, "serve", err)
	t.Cleanup(p.Close)
	conn, err := net.Dial("tcp", p.Address())
	asserter.NoError(t, "dial", err)
	t.Cleanup(func() { _ = conn.Close() })
	asserter.NoError(t, "deadline", conn.SetDeadline(time.Now().Add(10*time.Second)))
	return b, conn, bufio.NewReader(conn)
}

// readTestAnswer reads one answer and returns its status, its identifier and its body.
func readTestAnswer(t *testing.T, r *bufio.Reader, header string) (int, string, string) {
	response, err := http.ReadResponse(r, nil)
	asserter.NoError(t, "read answer", err)
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	asserter.NoError(t, "read body", err)
	return response.StatusCode, response.Header.Get(header), string(body)
}

// TestCopy checks that the copy of a refusal precedes the answer to the next request on its
// connection and bears the identifier of the refused one, also when that comes again.
func TestCopy(t *testing.T) {
	for name, names := range map[string]Names{
		"own headers":   {},
		"other headers": {Attempt: "Id", Refused: "Unrun", Expect: "To", Signature: "Signed"},
	} {
		t.Run(name, func(t *testing.T) {
			b, conn, reader := newTestBackend(t, BackendOptions{Names: names})
			header := b.options.names().Attempt
			send := func(id string) {
				_, err := fmt.Fprintf(conn, "GET /?token=%s&size=1 HTTP/1.1\r\nHost: b\r\n%s: %s\r\n\r\n", id, header, id)
				asserter.NoError(t, "send", err)
			}
			b.SetFault(BackendFault{Turn: 1, Copy: true}, time.Now())
			send("a")
			status, id, _ := readTestAnswer(t, reader, header)
			asserter.Equal(t, "refusal", fmt.Sprint(status, id), "503a")
			b.mu.Lock()
			b.fault.Turn = 0
			b.mu.Unlock()
			send("a")
			status, id, _ = readTestAnswer(t, reader, header)
			asserter.Equal(t, "copy", fmt.Sprint(status, id), "503a")
			status, id, body := readTestAnswer(t, reader, header)
			asserter.Equal(t, "answer", fmt.Sprint(status, id, body), "200a"+Body("a", 1))
			asserter.Equal(t, "runs", b.Counts().Keys["a"], 1)
			asserter.Equal(t, "copies", b.Counts().Copies, uint64(1))
		})
	}
	t.Run("a request for another backend server is misdirected", func(t *testing.T) {
		b, conn, reader := newTestBackend(t, BackendOptions{Names: Names{Attempt: "Id", Refused: "Unrun", Expect: "To"}})
		b.SetName("here")
		for name, want := range map[string]int{"there": http.StatusMisdirectedRequest, "here": http.StatusOK} {
			_, err := fmt.Fprintf(conn, "GET / HTTP/1.1\r\nHost: b\r\nTo: %s\r\n\r\n", name)
			asserter.NoError(t, "send", err)
			status, _, _ := readTestAnswer(t, reader, "Id")
			asserter.Equal(t, name, status, want)
		}
	})
}

// TestUploads checks that a refusal comes before the body was read, and that a body with other
// bytes than its caller sent is counted.
func TestUploads(t *testing.T) {
	const size = 2 << 20
	body := strings.Repeat("a", size)
	sum := sha256.Sum256([]byte(body))
	for name, c := range map[string]struct {
		sum     string
		altered uint64
	}{
		"the bytes that were sent": {hex.EncodeToString(sum[:]), 0},
		"other bytes":              {strings.Repeat("0", 64), 1},
	} {
		t.Run(name, func(t *testing.T) {
			b, conn, reader := newTestBackend(t, BackendOptions{})
			b.SetFault(BackendFault{Turn: 1}, time.Now())
			head := fmt.Sprintf("PUT /?token=a&sum=%s HTTP/1.1\r\nHost: b\r\nContent-Length: %d\r\n\r\n", c.sum, size)
			_, err := io.WriteString(conn, head+body[:maxEarlyBytes])
			asserter.NoError(t, "send a half", err)
			status, _, _ := readTestAnswer(t, reader, attemptHeader)
			asserter.Equal(t, "refusal", status, http.StatusServiceUnavailable)
			b.SetFault(BackendFault{}, time.Now())
			_, err = io.WriteString(conn, body[maxEarlyBytes:]+head+body)
			asserter.NoError(t, "send the rest and another", err)
			status, _, _ = readTestAnswer(t, reader, attemptHeader)
			asserter.Equal(t, "answer", status, http.StatusOK)
			asserter.Equal(t, "altered", b.Counts().Altered, c.altered)
		})
	}
}
