package imitator

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"
)

// Names are the headers by which requests and answers are told apart.
type Names struct {
	// Attempt is the identifier of a request, which its answer repeats.
	Attempt string
	// Refused marks an answer to work that did not run.
	Refused string
	// Expect names the backend server that a request is addressed to, and Signature marks
	// the answers of a backend server. They are empty if the protocol has none.
	Expect, Signature string
}

// names returns the headers in use.
func (o BackendOptions) names() Names {
	if o.Names.Attempt == "" {
		return Names{Attempt: attemptHeader, Refused: "Backend-Refused"}
	}
	return o.Names
}

// refusal is what a backend server wrote to turn a request away.
type refusal struct {
	status  int
	attempt string
}

// remember keeps the last refusal of a connection, which is known by its other end.
func (b *Backend) remember(connection string, f refusal) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.fault.Copy {
		b.refusals[connection] = f
	}
}

// takeRefusal returns the last refusal of a connection and forgets it. It reports false if
// the fault Copy is not set or the connection had none.
func (b *Backend) takeRefusal(connection string) (refusal, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	f, ok := b.refusals[connection]
	delete(b.refusals, connection)
	if ok && b.fault.Copy {
		b.counts.Copies++
		return f, true
	}
	return refusal{}, false
}

// answerBehindCopy writes the copy of an earlier refusal to a request that was begun and read,
// and its own answer once its service time is over. The connection ends with it. It reports
// false if the connection can't be taken over, and has done nothing then.
func (b *Backend) answerBehindCopy(w http.ResponseWriter, r *http.Request, earlier refusal, token string) bool {
	crash := b.crashed()
	conn, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return false
	}
	defer func() { _ = conn.Close() }()
	names := b.options.names()
	writeRaw(buffered.Writer, earlier.status, "", names.Attempt, earlier.attempt, names.Refused, "not-run")
	select {
	case <-time.After(b.serviceTime(numberParameter(r, WeightParameter, 1), time.Now())):
	case <-crash:
		b.end(false)
		return true
	}
	b.end(true)
	writeRaw(buffered.Writer, http.StatusOK, Body(token, sizeOf(r)), names.Attempt, r.Header.Get(names.Attempt), names.Signature, signature)
	return true
}

// writeRaw writes an answer with two headers by hand. A header without a name is left out. An
// error means that the instance has closed the connection.
func writeRaw(w *bufio.Writer, status int, body string, headers ...string) {
	fmt.Fprintf(w, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	for i := 0; i < len(headers); i += 2 {
		if headers[i] != "" {
			fmt.Fprintf(w, "%s: %s\r\n", headers[i], headers[i+1])
		}
	}
	fmt.Fprintf(w, "Content-Length: %s\r\n\r\n", strconv.Itoa(len(body)))
	_, _ = io.WriteString(w, body)
	_ = w.Flush()
}

// signature is the value of the header that marks the answers of a backend server.
const signature = "stand-in"
