package listener

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"testing"

	"monsoonswitch/asserter"
)

// seeds are streams of requests whose framing is odd.
var seeds = []string{
	"GET / HTTP/1.1\r\nHost: a\r\n\r\nGET /b HTTP/1.1\nHost: a\n\n",
	"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabcGET / HTTP/1.1\r\nHost: a\r\n\r\n",
	"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\nContent-Length: 9\r\n\r\n3;x=y\r\nabc\r\n0;z\r\nT: v\r\n\r\nGET / HTTP/1.1\r\nHost: a\r\n\r\n",
	"POST / HTTP/1.0\r\nHost: a\r\nTransfer-Encoding: chunked\r\nContent-Length: 2\r\n\r\nabGET / HTTP/1.1\r\nHost: a\r\n\r\n",
	"POST / HTTP/1.1\r\nHost: a\r\nContent-Length:\r\n 3\r\n\r\nabc",
	"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding:\r\n chunked\r\n\r\nA\r\n0123456789\r\n0\r\n\r\n",
	"POST / HTTP/1.1\r\nHost: a\r\ncontent-length: 1\r\nContent-Length: 1\r\n\r\nxGET / HTTP/1.1\r\nHost: a\r\n\r\n",
	"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: Chunked\r\n\r\n1 \r\na\r\n00\r\n\r\nGET / HTTP/1.1\r\nHost: a\r\n\r\n",
	"\r\n\r\nGET / HTTP/1.1\r\nHost: a\r\n\r\n",
	"GET / HTTP/1.1\r\nHost: a\r\n \r\n\r\n",
}

// checkFraming fails the test if the ends of the heads and bodies of a stream of requests differ from
// those that net/http finds.
func checkFraming(t *testing.T, data []byte) {
	source := bytes.NewReader(data)
	reader := bufio.NewReader(source)
	for at := 0; at < len(data); {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		var h head
		end, ok := h.scan(data[at:])
		asserter.True(t, "the head has an end", ok)
		at += end
		asserter.Equal(t, "end of the head", at, len(data)-source.Len()-reader.Buffered())
		if r.Method == "PRI" {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		b := h.body()
		if b.open() {
			at += b.pass(data[at:])
		}
		asserter.True(t, "the body has ended", !b.open())
		asserter.Equal(t, "end of the body", at, len(data)-source.Len()-reader.Buffered())
	}
}

// TestFraming guards against bytes that are taken for a body and that net/http takes for a head, for
// which no memory would be taken.
func TestFraming(t *testing.T) {
	for _, s := range seeds {
		t.Run(s, func(t *testing.T) { checkFraming(t, []byte(s)) })
	}
}

// FuzzFraming guards against the same with any stream.
func FuzzFraming(f *testing.F) {
	for _, s := range seeds {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, data []byte) { checkFraming(t, data) })
}
