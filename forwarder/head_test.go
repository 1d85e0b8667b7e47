package forwarder

import (
	"bufio"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"monsoonswitch/asserter"
	"monsoonswitch/descriptor"
)

// TestOddHeads guards against an answer that net/http can't write being delivered, and against one
// whose refusal is believed.
func TestOddHeads(t *testing.T) {
	for name, answer := range map[string]string{
		"status 000":           "HTTP/1.1 000 Odd\r\nContent-Length: 0\r\n\r\n",
		"status +20":           "HTTP/1.1 +20 Odd\r\nContent-Length: 0\r\n\r\n",
		"status 101":           "HTTP/1.1 101 Odd\r\n\r\n",
		"status 600":           "HTTP/1.1 600 Odd\r\nContent-Length: 0\r\n\r\n",
		"name with a space":    "HTTP/1.1 200 OK\r\nOdd Name: a\r\nContent-Length: 0\r\n\r\n",
		"refusal with a space": "HTTP/1.1 503 Busy\r\nBackend-Refused: not-run\r\nOdd Name: a\r\nContent-Length: 0\r\n\r\n",
		"trailer with a space": "HTTP/1.1 200 OK\r\nTrailer: Odd Name\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			x := newFixture(t, nil)
			x.control.address = cutBackend(t, answer)
			response, _, err := x.do(x.request("GET", "/a", nil))
			asserter.NoError(t, "send", err)
			asserter.Equal(t, "status", response.StatusCode, http.StatusBadGateway)
			asserter.Equal(t, "outcome", response.Header.Get(headerOutcome), descriptor.MayHaveRun.String())
			asserter.Equal(t, "fault", x.control.fault(), descriptor.FaultBroken)
		})
	}
}

// FuzzAnswerHead guards against an answer that counts although net/http can't write it, or drops
// part of it.
func FuzzAnswerHead(f *testing.F) {
	for _, head := range []string{
		"HTTP/1.1 000 Odd\r\n", "HTTP/1.1 +20 Odd\r\n", "HTTP/1.1 101 Odd\r\n", "HTTP/1.1 999 Odd\r\n",
		"HTTP/1.1 200 OK\r\nOdd Name: a\r\n", "HTTP/1.1 200 OK\r\nTrailer: A\r\nTransfer-Encoding: chunked\r\n",
		"HTTP/1.1 204 No Content\r\nContent-Length: 5\r\n", "HTTP/1.0 304 Not Modified\r\nRetry-After: 1e400\r\n",
	} {
		f.Add(head)
	}
	f.Fuzz(func(t *testing.T, head string) {
		response, err := http.ReadResponse(bufio.NewReader(strings.NewReader(head+"\r\n")), nil)
		if err != nil || !isDeliverable(response) {
			return
		}
		StandardDialect{}.ParseHead(response, Expected{})
		w := httptest.NewRecorder()
		copyHeader(w.Header(), response.Header)
		announceTrailers(w.Header(), response)
		w.WriteHeader(response.StatusCode)
		asserter.Equal(t, "status", w.Code, response.StatusCode)
		var text strings.Builder
		asserter.NoError(t, "write headers", w.Header().Write(&text))
		lines := 0
		for _, values := range w.Header() {
			lines += len(values)
		}
		asserter.Equal(t, "lines of headers", strings.Count(text.String(), "\r\n"), lines)
	})
}
