package listener

import (
	"bytes"
	"math"
	"net/http"
	"strconv"
	"strings"
)

// maxFramingValue bounds the length of a header value that tells where a body ends, in bytes.
const maxFramingValue = 64

// http2Line is the first line of the preface of HTTP/2. rest of the preface follows its empty line.
const (
	http2Line         = "PRI * HTTP/2.0"
	http2RestOfPrefix = "SM\r\n\r\n"
)

// head scans the head of a request for its end and for the length of the body, as net/http does.
type head struct {
	// searched is the number of bytes that were searched, and line where the current line starts.
	searched, line int
	// lines is the number of lines including the first one.
	lines int
	// first is set to http2Line if the first line equals it. old is set before HTTP/1.1.
	isHTTP2, old bool
	// lengths and codings hold the values of Content-Length and Transfer-Encoding. folded is the
	// list whose last value the next line may continue, or nil.
	lengths, codings []string
	folded           *[]string
}

// scan searches b, which starts with the head and with all bytes searched before. It returns the
// length of the head, or false if b doesn't hold its end.
func (h *head) scan(b []byte) (int, bool) {
	for {
		i := bytes.IndexByte(b[h.searched:], '\n')
		if i < 0 {
			h.searched = len(b)
			return 0, false
		}
		line := bytes.TrimSuffix(b[h.line:h.searched+i], []byte("\r"))
		h.searched += i + 1
		h.line = h.searched
		if len(line) == 0 {
			return h.searched, true
		}
		h.lines++
		if h.lines == 1 {
			h.startLine(line)
			continue
		}
		h.field(line)
	}
}

// startLine reads the version of the protocol from the first line.
func (h *head) startLine(line []byte) {
	h.isHTTP2 = string(line) == http2Line
	major, minor, _ := http.ParseHTTPVersion(string(line[bytes.LastIndexByte(line, ' ')+1:]))
	h.old = major < 1 || major == 1 && minor < 1
}

// field reads a header line.
func (h *head) field(line []byte) {
	if line[0] == ' ' || line[0] == '\t' {
		if h.folded != nil {
			last := &(*h.folded)[len(*h.folded)-1]
			*last = shortValue(*last + " " + string(bytes.TrimSpace(line)))
		}
		return
	}
	h.folded = nil
	name, value, _ := bytes.Cut(line, []byte(":"))
	list := &h.lengths
	switch {
	case bytes.EqualFold(name, []byte("Content-Length")):
	case bytes.EqualFold(name, []byte("Transfer-Encoding")):
		list = &h.codings
	default:
		return
	}
	if len(*list) > 1 {
		// Two values tell already that net/http refuses the request, or that all are equal.
		return
	}
	*list = append(*list, shortValue(string(bytes.TrimSpace(value))))
	h.folded = list
}

// shortValue returns a value, or a part of it that is no valid value if it is too long.
func shortValue(value string) string {
	if value = strings.TrimSpace(value); len(value) > maxFramingValue {
		return value[:maxFramingValue+1]
	}
	return value
}

// body returns the framing of the body. net/http refuses a request whose framing is not valid, and
// closes its connection, so that it doesn't matter what is returned for it.
func (h *head) body() body {
	if !h.old && len(h.codings) > 0 {
		return body{chunked: strings.EqualFold(h.codings[0], "chunked")}
	}
	if len(h.lengths) == 0 {
		return body{}
	}
	n, err := strconv.ParseUint(h.lengths[0], 10, 63)
	if err != nil {
		return body{}
	}
	return body{left: int64(n)}
}

// chunkPart is what the next byte of a body in chunks belongs to.
type chunkPart int

const (
	// chunkSize is the size at the start of a chunk, and chunkExtension the rest of its line.
	chunkSize chunkPart = iota
	chunkExtension
	// chunkEnd is the line end behind the data of a chunk.
	chunkEnd
	// chunkTrailer is the lines behind the last chunk.
	chunkTrailer
)

// body tells where the body of a request ends. The zero value is an empty body.
type body struct {
	// left is the number of bytes of the body, or of data of the current chunk, that are not passed.
	left    int64
	chunked bool
	part    chunkPart
	// size is the size of the chunk whose line is read, and lineBytes the length of the line of a
	// trailer so far.
	size      int64
	lineBytes int
	// trailers counts the lines of the trailer.
	trailers int
}

// open reports whether the body has not ended.
func (b *body) open() bool { return b.chunked || b.left > 0 }

// pass passes the bytes of p that belong to the body and returns their number.
func (b *body) pass(p []byte) int {
	if !b.chunked {
		n := int(min(b.left, int64(len(p))))
		b.left -= int64(n)
		return n
	}
	for i := 0; i < len(p); i++ {
		if b.left > 0 {
			n := min(b.left, int64(len(p)-i))
			b.left -= n
			i += int(n) - 1
			continue
		}
		if b.passByte(p[i]); !b.chunked {
			return i + 1
		}
	}
	return len(p)
}

// passByte passes a byte that is not data of a chunk.
func (b *body) passByte(c byte) {
	switch b.part {
	case chunkSize, chunkExtension:
		b.passSize(c)
	case chunkEnd:
		if c == '\n' {
			b.part = chunkSize
		}
	case chunkTrailer:
		switch {
		case c == '\n' && b.lineBytes == 0:
			b.chunked = false
		case c == '\n':
			b.trailers++
			b.lineBytes = 0
		case c != '\r':
			b.lineBytes++
		}
	}
}

// passSize passes a byte of the line at the start of a chunk.
func (b *body) passSize(c byte) {
	digit, err := strconv.ParseUint(string(rune(c)), 16, 8)
	switch {
	case c == '\n' && b.size == 0:
		b.part, b.lineBytes = chunkTrailer, 0
	case c == '\n':
		b.left, b.size, b.part = b.size, 0, chunkEnd
	case b.part == chunkExtension:
	case err != nil:
		b.part = chunkExtension
	case b.size > math.MaxInt64>>8:
		// net/http refuses such a size.
	default:
		b.size = b.size<<4 | int64(digit)
	}
}
