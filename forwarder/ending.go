package forwarder

import (
	"net/http"
	"slices"

	"github.com/rotisserie/eris"
)

// Errors of answers whose body was read to its end.
var (
	// errMalformedTrailers reports trailers that can't be written to any caller as they are.
	errMalformedTrailers = eris.New("malformed trailers")
	// errUnprovenEnd reports a connection that ended without a proof that the answer is complete.
	errUnprovenEnd = eris.New("connection ended before the request was taken")
)

// judgeEnd decides whether the end of the answer's body, which net/http reported, proves that the
// answer is complete. It returns nil if so. A length or chunks prove it. The end of the connection
// proves it only if the backend server had taken the whole request when it ended: it would otherwise
// show a crash or a reset as well as the end of the answer. A reset does not have to show: writing the
// body can use up its error, and reading then ends without one. When the answer began is of no
// matter, since a backend server may answer first and read on.
//
// Bytes that the backend server's system took and its process did not read can't be told from those
// that it read.
func (t *attempt) judgeEnd() error {
	if !areValidFields(t.response.Trailer) {
		return errMalformedTrailers
	}
	if t.body == nil || !endsWithConnection(t.response) {
		return nil
	}
	conn := t.conn.Load()
	if conn == nil || !conn.written.provesWhole(t.body.body.length) {
		return errUnprovenEnd
	}
	return nil
}

// endsWithConnection reports whether only the end of the connection ends the body of an answer.
func endsWithConnection(r *http.Response) bool {
	return r.ContentLength < 0 && r.Body != http.NoBody && !slices.Contains(r.TransferEncoding, "chunked")
}
