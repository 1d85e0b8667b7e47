package listener

import (
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// repeatedConn is a connection on which a request is read again and again.
type repeatedConn struct {
	net.Conn
	request []byte
	at      int
}

// Read implements net.Conn.
func (c *repeatedConn) Read(p []byte) (int, error) {
	n := copy(p, c.request[c.at:])
	c.at = (c.at + n) % len(c.request)
	return n, nil
}

// SetReadDeadline implements net.Conn.
func (*repeatedConn) SetReadDeadline(time.Time) error { return nil }

// BenchmarkAdmission measures what the account costs for each request, without net/http.
func BenchmarkAdmission(b *testing.B) {
	const ordinary = "GET /lines/1?size=256 HTTP/1.1\r\nHost: ledger.example\r\nUser-Agent: client/1.0\r\nRequest-Id: 7b0f9a0c\r\n" +
		"Deadline-Ms: 2000\r\nAccept: application/json\r\nAccept-Encoding: gzip\r\nAuthorization: Token abcdefgh\r\n\r\n"
	for _, c := range []struct{ name, request string }{
		{"ordinary head", ordinary},
		{"head of 16 KiB with short lines", "GET / HTTP/1.1\r\nHost: a\r\n" + string(make16K()) + "\r\n"},
	} {
		b.Run(c.name, func(b *testing.B) {
			a := NewAdmission(NewLimits(136_000_000, 2870, 32<<20))
			x := &conn{Conn: &repeatedConn{request: []byte(c.request)}, admission: a, options: &Options{HeaderTimeout: 3 * time.Second, HeaderBytes: 64 << 10}}
			if !a.accept(x, time.Now()) {
				b.Fatal("accept: got false, want true")
			}
			p := make([]byte, 4096)
			b.ReportAllocs()
			for b.Loop() {
				for left := len(c.request); left > 0; {
					n, err := x.Read(p)
					if err != nil && !errors.Is(err, io.EOF) {
						b.Fatal(err)
					}
					left -= n
				}
				if !x.claim() {
					b.Fatal("claim: got false, want true")
				}
				x.changed(http.StateIdle)
			}
		})
	}
}

// make16K returns header lines of 16 KiB.
func make16K() []byte {
	var lines []byte
	for len(lines) < 16<<10-32 {
		lines = append(lines, "abc:\r\n"...)
	}
	return lines
}
