package main

import (
	"bufio"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// run is one line that a backend server prints when it begins to work on a request, and
// again when it has read the whole body.
type run struct {
	Server string `json:"server"`
	ID     string `json:"id"`
	Method string `json:"method"`
	URI    string `json:"uri"`
	// Whole is set once the body was read to its end, and Length and Sum describe it.
	Whole  bool   `json:"whole"`
	Length int64  `json:"length"`
	Sum    string `json:"sum"`
	// Refused is set if the backend server turned the request away without running it.
	Refused bool `json:"refused"`
}

// backend is a stand-in of a backend server, in a process of its own. Requests that it runs
// are printed as JSON. It takes commands on standard input, one a line: "shed X" makes it
// turn away a share X of its requests as not run.
type backend struct {
	id    string
	slots int
	queue int
	work  time.Duration
	// answer is the least length of the body of an answer.
	answer int

	mu      sync.Mutex
	shed    float64
	held    int
	running chan struct{}
	out     *json.Encoder
}

// runBackend runs the subcommand backend.
func runBackend(arguments []string) error {
	flags := flag.NewFlagSet("backend", flag.ContinueOnError)
	listen := flags.String("listen", "", "address")
	b := &backend{out: json.NewEncoder(os.Stdout)}
	flags.StringVar(&b.id, "id", "", "ID in the store")
	flags.IntVar(&b.slots, "slots", 3, "requests that run at the same time")
	flags.IntVar(&b.queue, "queue", 12, "requests that may wait")
	flags.IntVar(&b.answer, "answer", 0, "least length of the body of an answer")
	flags.DurationVar(&b.work, "work", 200*time.Millisecond, "time that a request takes")
	if err := flags.Parse(arguments); err != nil {
		return fmt.Errorf("backend: %w", err)
	}
	b.running = make(chan struct{}, b.slots)
	l, err := net.Listen("tcp", *listen)
	if err != nil {
		return fmt.Errorf("backend: %w", err)
	}
	go b.readCommands()
	server := &http.Server{Handler: b, IdleTimeout: 10 * time.Second, ReadHeaderTimeout: time.Minute}
	return server.Serve(l)
}

// readCommands reads commands until standard input ends, with which the process ends.
func (b *backend) readCommands() {
	lines := bufio.NewScanner(os.Stdin)
	for lines.Scan() {
		if text, ok := strings.CutPrefix(lines.Text(), "shed "); ok {
			share, _ := strconv.ParseFloat(text, 64)
			b.mu.Lock()
			b.shed = share
			b.mu.Unlock()
		}
	}
	os.Exit(0)
}

func (b *backend) print(r run) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r.Server = b.id
	_ = b.out.Encode(r)
}

// admit takes a place for a request and reports whether there was one.
func (b *backend) admit() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.held >= b.slots+b.queue || rand.Float64() < b.shed {
		return false
	}
	b.held++
	return true
}

func (b *backend) release() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.held--
}

// load returns the value of the header that tells the load.
func (b *backend) load() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := min(b.held, b.slots)
	return fmt.Sprintf("%d,%d,%d", n, b.held-n, b.slots)
}

// ServeHTTP implements http.Handler.
func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	h.Set("Instance-Id", b.id)
	if r.URL.Path == healthPath {
		h.Set("Backend-Load", b.load())
		return
	}
	seen := run{ID: r.Header.Get("Request-Id"), Method: r.Method, URI: r.RequestURI}
	h.Set("Request-Id", seen.ID)
	if want := r.Header.Get("Expect-Instance"); want != "" && want != b.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if !b.admit() {
		b.refuse(w, r, seen)
		return
	}
	defer b.release()
	b.print(seen)
	sum := sha256.New()
	var err error
	if seen.Length, err = io.Copy(sum, r.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
	seen.Whole, seen.Sum = true, hex.EncodeToString(sum.Sum(nil))
	b.print(seen)
	b.running <- struct{}{}
	time.Sleep(b.work)
	<-b.running
	h.Set("Backend-Load", b.load())
	h.Set("Server-Signature", signature(seen.ID))
	text := fmt.Sprintf("%s %d %s", b.id, seen.Length, seen.Sum)
	text += strings.Repeat(".", max(0, b.answer-len(text)))
	h.Set("Content-Length", strconv.Itoa(len(text)))
	_, _ = io.WriteString(w, text)
}

// refuse turns a request away before its body is read, and reads the body afterwards, so
// that the connection can be used again.
func (b *backend) refuse(w http.ResponseWriter, r *http.Request, seen run) {
	seen.Refused = true
	b.print(seen)
	control := http.NewResponseController(w)
	_ = control.EnableFullDuplex()
	h := w.Header()
	h.Set("Backend-Load", b.load())
	h.Set("Not-Executed", "1")
	const text = "busy\n"
	h.Set("Content-Length", strconv.Itoa(len(text)))
	w.WriteHeader(http.StatusServiceUnavailable)
	_, _ = io.WriteString(w, text)
	_ = control.Flush()
	_, _ = io.Copy(io.Discard, r.Body)
}

// healthPath is where backend servers serve health checks.
const healthPath = "/health"

// signature returns the value by which an answer is known to be a backend server's.
func signature(id string) string { return "stand-in." + id }
