package main

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"
)

// request is one request of a client.
type request struct {
	id, method, path string
	body             []byte
	// chunked sends the body in chunks instead of with a length.
	chunked  bool
	deadline time.Duration
}

// newRequest returns a request with a new identifier.
func newRequest(method, path string, body []byte, chunked bool) request {
	return request{id: fmt.Sprintf("%016x", rand.Uint64()), method: method, path: path, body: body, chunked: chunked, deadline: 4 * time.Second}
}

// sum returns the hash of the body.
func (r request) sum() string {
	h := sha256.Sum256(r.body)
	return hex.EncodeToString(h[:])
}

// answer is what a client got.
type answer struct {
	// status is 0 if the connection ended without an answer.
	status          int
	signature, body string
	err             error
}

// randomBytes returns n random bytes.
func randomBytes(n int) []byte {
	data := make([]byte, n)
	source := rand.NewChaCha8([32]byte{1, 2, 3, byte(n), byte(rand.Uint32())})
	_, _ = source.Read(data)
	return data
}

// send sends a request on a new connection and returns the answer.
func (f *fleet) send(p *instance, r request) answer {
	form := "no body"
	if len(r.body) > 0 {
		form = fmt.Sprintf("%d bytes with a length", len(r.body))
	}
	if r.chunked {
		form = fmt.Sprintf("%d bytes in chunks", len(r.body))
	}
	f.record.line("client sends %s %s %s to %s, %s, sum %.16s", r.id, r.method, r.path, p.name, form, r.sum())
	ctx, cancel := context.WithTimeout(context.Background(), r.deadline)
	defer cancel()
	a := exchange(ctx, p.front, r)
	f.record.line("client has for %s: status %d, signature %q, %s%s", r.id, a.status, a.signature, a.body, errorText(a.err))
	return a
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return ", error " + err.Error()
}

func exchange(ctx context.Context, address string, r request) answer {
	var body io.Reader
	if len(r.body) > 0 {
		body = bytes.NewReader(r.body)
	}
	if r.chunked {
		body = io.MultiReader(body)
	}
	h, err := http.NewRequestWithContext(ctx, r.method, "http://"+address+r.path, body)
	if err != nil {
		return answer{err: err}
	}
	h.GetBody = nil
	h.Host = host
	h.Header.Set("Request-Id", r.id)
	h.Header.Set("Deadline-Ms", strconv.FormatInt(r.deadline.Milliseconds(), 10))
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	response, err := client.Do(h)
	if err != nil {
		return answer{err: err}
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, signature: response.Header.Get("Server-Signature"), body: string(data), err: err}
}

// checkRuns applies the rules UNASKED and TWICE to a request.
func (f *fleet) checkRuns(r request) {
	// The lines of backend servers may arrive a little later than the answer.
	time.Sleep(200 * time.Millisecond)
	begun := 0
	for _, seen := range f.runsOf(r.id) {
		switch {
		case seen.Refused:
		case !seen.Whole:
			begun++
		case seen.Sum != r.sum() || seen.Method != r.method || seen.URI != r.path:
			f.record.breach("UNASKED: %s ran at %s with a changed body: %d bytes, sum %.16s; the client sent %d bytes, sum %.16s",
				r.id, seen.Server, seen.Length, seen.Sum, len(r.body), r.sum())
		}
	}
	if begun > 1 {
		f.record.breach("TWICE: %s ran %d times", r.id, begun)
	}
}
