package imitator

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// oddHeads are first lines and headers of answers that can't be delivered to callers.
var oddHeads = []string{"000 Odd", "099 Odd", "+20 Odd", "101 Odd", "600 Odd", "999 Odd", "200 OK\r\nOdd Name: a"}

const (
	// minPartBytes is the least body of an upload that is answered in part. A smaller one fits the
	// receive buffer of a connection, so that nothing shows that it was not read.
	minPartBytes = 1 << 20
	// maxPartRead bounds the bytes of an upload that are read before a part of the answer.
	maxPartRead = 64 << 10
)

// partPauses are the times between a part of an answer and the end of its connection.
var partPauses = []time.Duration{0, 20 * time.Millisecond, 200 * time.Millisecond}

// drawBelow draws a number from 0 to n-1.
func (b *Backend) drawBelow(n int) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.random.IntN(n)
}

// answerOddly writes the answer to a request that ran with a head that can't be delivered, if the
// fault Odd is drawn. It reports whether it did.
func (b *Backend) answerOddly(w http.ResponseWriter, r *http.Request) bool {
	if !b.draw(b.faultAt(time.Now()).Odd) {
		return false
	}
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return false
	}
	defer func() { _ = conn.Close() }()
	b.end(true)
	head := oddHeads[b.drawBelow(len(oddHeads))]
	names := b.options.names()
	// An error means that the instance has closed the connection.
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 %s\r\n%s: %s\r\nContent-Length: 3\r\n\r\nodd", head, names.Attempt, r.Header.Get(names.Attempt))
	return true
}

// answerInPart runs a large upload that it doesn't read to its end, writes a part of an answer
// without a length and ends the connection, if the fault Part is drawn. It reports whether it did.
func (b *Backend) answerInPart(w http.ResponseWriter, r *http.Request) bool {
	if r.ContentLength >= 0 && r.ContentLength < minPartBytes || !b.draw(b.faultAt(time.Now()).Part) {
		return false
	}
	if n, _ := io.CopyN(io.Discard, r.Body, int64(1+b.drawBelow(maxPartRead))); n == 0 {
		// It is a request without a body that came in chunks.
		return false
	}
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return false
	}
	token := r.URL.Query().Get(TokenParameter)
	b.begin(token)
	b.end(true)
	names := b.options.names()
	body := Body(token, sizeOf(r))
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n", names.Attempt, r.Header.Get(names.Attempt))
	if names.Signature != "" {
		_, _ = fmt.Fprintf(conn, "%s: %s\r\n", names.Signature, signature)
	}
	_, _ = fmt.Fprintf(conn, "\r\n%s", body[:len(body)/2])
	time.Sleep(partPauses[b.drawBelow(len(partPauses))])
	b.endPart(conn)
	return true
}

// endPart closes a connection with a reset, with bytes that were not read, or after its sending
// side.
func (b *Backend) endPart(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return
	}
	switch b.drawBelow(3) {
	case 0:
		_ = tcp.SetLinger(0)
	case 1:
		_ = tcp.CloseWrite()
		time.Sleep(stallPollInterval)
	}
}
