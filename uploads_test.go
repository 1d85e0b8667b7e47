package main

import (
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"monsoonswitch/asserter"
)

const (
	// parkedUploads is the number of uploads at once that wait for their answers, and
	// parkedBytes the length of each in bytes. An instance may buffer bodies of that length.
	parkedUploads = 400
	parkedBytes   = 1 << 20
	// parkedLeast is how many of them have to be at the backend server. The others may be refused,
	// as not run.
	parkedLeast = parkedUploads / 2
	// parkedTimeout bounds the time for which an upload is kept waiting.
	parkedTimeout = 40 * time.Second
)

// parkingBackend is a backend server that reads whole uploads and answers them when it is told to.
type parkingBackend struct {
	server   *httptest.Server
	answered chan struct{}
	mu       sync.Mutex
	// whole counts the uploads that were read, wrong those with another length.
	whole, wrong int
}

func newParkingBackend(t *testing.T) *parkingBackend {
	b := &parkingBackend{answered: make(chan struct{})}
	b.server = httptest.NewServer(b)
	t.Cleanup(b.server.Close)
	return b
}

// ServeHTTP implements http.Handler.
func (b *parkingBackend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	n, err := io.Copy(io.Discard, r.Body)
	if r.Method == http.MethodPost {
		b.mu.Lock()
		if err != nil || n != parkedBytes {
			b.wrong++
		} else {
			b.whole++
		}
		b.mu.Unlock()
		select {
		case <-b.answered:
		case <-time.After(parkedTimeout):
		}
	}
	w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
	w.Header().Set("Server-Signature", signature)
	_, _ = io.WriteString(w, "parked")
}

// counts returns the number of uploads that were read whole and of those that were not.
func (b *parkingBackend) counts() (whole, wrong int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.whole, b.wrong
}

// parkUploads makes b the only backend server of the fleet and allows requests to wait for
// parkedTimeout.
func (f *platformFleet) parkUploads(b *parkingBackend) {
	config := routing(2, "ledger")
	for _, row := range config["routes"].(map[string]any)["rows"].([][]any) {
		row[4] = parkedTimeout.Seconds()
	}
	config["services"].(map[string]any)["rows"].([][]any)[0][2] = 2 * parkedUploads
	f.store.set("op/config", config)
	entry := f.backends[0].entry("ready")
	entry["address"], entry["slots"] = strings.TrimPrefix(b.server.URL, "http://"), parkedUploads
	f.store.set("servers/parking", entry)
	f.store.drop("servers/" + f.backends[0].id)
	asserter.Eventually(f.t, "only the parking backend server is used", waitLimit, func() bool {
		_, body := f.send(f.instances[0], "GET", "ledger.example", "/safe/first", "")
		return body == "parked"
	})
}

// uploads are uploads that were sent at once.
type uploads struct {
	running sync.WaitGroup
	mu      sync.Mutex
	// statuses counts the uploads that have ended by the status of their answer.
	statuses map[int]int
}

// upload sends uploads at once.
func (f *platformFleet) upload(count int) *uploads {
	u := &uploads{statuses: make(map[int]int)}
	body := strings.Repeat("x", parkedBytes)
	for range count {
		u.running.Go(func() {
			status, _ := f.do(f.instances[0].front, "POST", "ledger.example", "/once/upload", body, int(parkedTimeout.Milliseconds()))
			u.mu.Lock()
			defer u.mu.Unlock()
			u.statuses[status]++
		})
	}
	return u
}

// count returns how many uploads ended with a status.
func (u *uploads) count(status int) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.statuses[status]
}

// operatorsPattern matches the address of the operators' listener in event 1001.
var operatorsPattern = regexp.MustCompile(`operators (127\.0\.0\.1:\d+)`)

// operators returns the address of the operators' listener of an instance.
func (p *platformInstance) operators(t *testing.T) string {
	log, err := os.ReadFile(p.settings + ".log")
	asserter.NoError(t, "read log", err)
	found := operatorsPattern.FindSubmatch(log)
	asserter.True(t, "the log names the operators' listener", found != nil)
	return string(found[1])
}

// metric returns the value of a metric of an instance.
func (p *platformInstance) metric(t *testing.T, name string) int {
	response, err := http.Get("http://" + p.operators(t) + "/metrics")
	asserter.NoError(t, "metrics", err)
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	asserter.NoError(t, "read metrics", err)
	_, rest, ok := strings.Cut("\n"+string(text), "\n"+name+" ")
	asserter.True(t, "there is a metric "+name, ok)
	line, _, _ := strings.Cut(rest, "\n")
	value, err := strconv.Atoi(line)
	asserter.NoError(t, name, err)
	return value
}

// TestUploadMemory guards against an instance that keeps the bodies of as many uploads as callers
// send, until it runs out of memory and ends with all of its requests.
func TestUploadMemory(t *testing.T) {
	f := newPlatformFleet(t, 1, 1)
	p := f.instances[0]
	b := newParkingBackend(t)
	f.parkUploads(b)
	before := p.peakMemory(t)
	sent := f.upload(parkedUploads)
	asserter.Eventually(t, "all uploads are at the backend server or refused", waitLimit, func() bool {
		whole, _ := b.counts()
		return whole+sent.count(http.StatusServiceUnavailable) == parkedUploads
	})
	held, limit := p.metric(t, "monsoonswitch_uploads_heldbytes"), p.metric(t, "monsoonswitch_uploads_limitbytes")
	unbuffered := p.metric(t, "monsoonswitch_uploads_unbuffered")
	refused := p.metric(t, `monsoonswitch_requests_ended{reason="uploads-full"}`)
	close(b.answered)
	sent.running.Wait()
	peak := p.peakMemory(t)
	whole, wrong := b.counts()
	t.Logf("peak of %d MB before and %d MB after %d uploads of %d MB at once: %d bytes held of %d, %d not buffered, %d refused for that, statuses %v",
		before>>20, peak>>20, parkedUploads, parkedBytes>>20, held, limit, unbuffered, refused, sent.statuses)
	asserter.AtLeast(t, "uploads at the backend server", whole, parkedLeast)
	asserter.Equal(t, "uploads answered with 200", sent.count(http.StatusOK), whole)
	asserter.Equal(t, "uploads refused as not run", sent.count(http.StatusServiceUnavailable), parkedUploads-whole)
	asserter.Equal(t, "uploads that were not whole", wrong, 0)
	asserter.AtMost(t, "bytes held", held, limit)
	asserter.AtLeast(t, "bytes held", held, limit/2)
	asserter.AtLeast(t, "bodies not buffered", unbuffered, 1)
	asserter.AtLeast(t, "uploads refused for lack of memory", refused, 1)
	asserter.AtMost(t, "peak memory in bytes", peak, smallestMemory)
	asserter.True(t, "the process goes on", f.alive(p))
	asserter.Eventually(t, "nothing is held", waitLimit, func() bool { return p.metric(t, "monsoonswitch_uploads_heldbytes") == 0 })
}
