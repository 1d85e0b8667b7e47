package main

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"monsoonswitch/asserter"
	"monsoonswitch/imitator"
)

// Figures of the soak on the platform.
const (
	platformSoakTime    = 10 * time.Second
	platformSoakClients = 24
	platformSoakServers = 3
	// platformTimeout is the deadline of a request.
	platformTimeout = 4 * time.Second
	// entryOverlap bounds the time in which the entries of an ended and of a new incarnation
	// stand side by side.
	entryOverlap = 2 * time.Second
)

// platformSoakSeeds are the seeds that CI plays: those that failed while a copy of a refusal of
// the same request was believed.
var platformSoakSeeds = []uint64{1, 4, 5}

// platformHeaders are the headers of the platform that a stand-in reads and writes.
var platformHeaders = imitator.Names{Attempt: "Request-Id", Refused: "Not-Executed", Expect: "Expect-Instance", Signature: "Server-Signature"}

// soakServer is a backend server that restarts at its address under another ID.
type soakServer struct {
	name    string
	standIn *imitator.Backend
	address string
	starts  int
}

// entry returns what the backend server stores under its key.
func (s *soakServer) entry() map[string]any {
	return map[string]any{
		"service": "soak", "address": s.address, "zone": "a", "version": "v1", "slots": 12, "state": "ready",
		"cold_remaining_s": 0, "sequence": 1, "born": time.Now().UnixMilli(),
	}
}

// id returns the ID of the present incarnation.
func (s *soakServer) id() string { return fmt.Sprintf("%s-%d", s.name, s.starts) }

// platformSoak plays faults of a seed against a fleet on the platform.
type platformSoak struct {
	t       *testing.T
	f       *platformFleet
	seed    uint64
	servers []*soakServer
	ended   context.Context

	mu sync.Mutex
	// once, refused and served list the identifiers of the requests that may run once, of
	// those among them that were refused as not run, and of those that were served.
	once, refused, served []string
	// statuses counts the answers, 0 being none. foreign lists what no backend server gave.
	statuses map[int]int
	foreign  []string
}

// newPlatformSoak starts a fleet with backend servers that copy refusals.
func newPlatformSoak(t *testing.T, seed uint64) *platformSoak {
	s := &platformSoak{t: t, f: newPlatformFleet(t, 3, 1), seed: seed, statuses: make(map[int]int)}
	for i := range platformSoakServers {
		b := imitator.NewBackend(imitator.BackendOptions{
			Slots: 12, Backlog: 4, Median: 10 * time.Millisecond, Spread: 0.5, Down: 200 * time.Millisecond, Seed: seed + uint64(i), Names: platformHeaders,
		}, time.Now())
		p, err := imitator.ServeBackend(b, "127.0.0.1:0")
		asserter.NoError(t, "start backend server", err)
		t.Cleanup(p.Close)
		x := &soakServer{name: fmt.Sprintf("i-soak-%d", i), standIn: b, address: p.Address()}
		b.SetName(x.id())
		s.servers = append(s.servers, x)
		s.f.store.set("servers/"+x.id(), x.entry())
	}
	config := routing(2, "ledger", "soak")
	routes := config["routes"].(map[string]any)
	rows := routes["rows"].([][]any)
	for _, kind := range []string{"safe", "unsafe", "upload"} {
		rows = append(rows, []any{"all-" + kind, kind + ".example", "/", kind, 4, 1, 1, nil, 3, "soak"})
	}
	routes["rows"] = rows
	limits := config["limits"].(map[string]any)
	limits["max_body_bytes"] = 16 << 20
	s.f.store.set("op/config", config)
	for _, p := range s.f.instances {
		asserter.Eventually(t, p.name+" serves the soak", waitLimit, func() bool {
			status, _ := s.f.send(p, "GET", "safe.example", "/first?token=first", "")
			return status == http.StatusOK
		})
	}
	return s
}

// run plays the load and the faults.
func (s *platformSoak) run() {
	ctx, cancel := context.WithTimeout(context.Background(), platformSoakTime)
	defer cancel()
	s.ended = ctx
	var all sync.WaitGroup
	for i := range platformSoakClients {
		all.Go(func() { s.client(i) })
	}
	for i := range s.servers {
		all.Go(func() { s.disturbServer(i) })
	}
	all.Go(s.disturbInstances)
	all.Wait()
}

// wait waits for a time and reports whether the soak goes on.
func (s *platformSoak) wait(d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-s.ended.Done():
		return false
	}
}

// disturbServer restarts a backend server at its address, under a new ID whose entry stands
// beside the old one for a while, and has it turn work away and copy its refusals.
func (s *platformSoak) disturbServer(i int) {
	x, r := s.servers[i], rand.New(rand.NewPCG(s.seed, uint64(i)))
	for s.wait(time.Duration(r.Int64N(int64(time.Second)))) {
		fault := imitator.BackendFault{Copy: true, Turn: 0.3 * r.Float64(), Errors: 0.2 * r.Float64()}
		old := x.id()
		if r.IntN(3) > 0 {
			x.starts++
			x.standIn.Crash(time.Now())
			x.standIn.SetName(x.id())
			s.f.store.set("servers/"+x.id(), x.entry())
		}
		x.standIn.SetFault(fault, time.Now())
		s.wait(time.Duration(r.Int64N(int64(entryOverlap))))
		if old != x.id() {
			s.f.store.drop("servers/" + old)
		}
		x.standIn.SetFault(imitator.BackendFault{}, time.Now())
	}
}

// disturbInstances stops, kills and reloads one instance after the other.
func (s *platformSoak) disturbInstances() {
	r := rand.New(rand.NewPCG(s.seed, 1000))
	for s.wait(time.Second + time.Duration(r.Int64N(int64(2*time.Second)))) {
		p := s.f.instances[r.IntN(len(s.f.instances))]
		sig := []syscall.Signal{syscall.SIGTERM, syscall.SIGKILL, syscall.SIGHUP}[r.IntN(3)]
		_ = p.cmd.Process.Signal(sig)
		if sig == syscall.SIGHUP {
			continue
		}
		_ = p.cmd.Wait()
		s.f.start(p)
	}
}

// client sends requests of all kinds on kept connections.
func (s *platformSoak) client(i int) {
	r := rand.New(rand.NewPCG(s.seed, 2000+uint64(i)))
	client := &http.Client{Transport: &http.Transport{DisableCompression: true}, Timeout: platformTimeout + time.Second}
	defer client.CloseIdleConnections()
	for n := 0; s.ended.Err() == nil; n++ {
		s.send(client, r, fmt.Sprintf("%d-%d-%d", s.seed, i, n))
		time.Sleep(time.Duration(r.Int64N(int64(30 * time.Millisecond))))
	}
}

// send sends one request and records its outcome.
func (s *platformSoak) send(client *http.Client, r *rand.Rand, id string) {
	kind, method, body := "safe", http.MethodGet, ""
	switch n := r.IntN(20); {
	case n < 14:
		kind, method, body = "unsafe", http.MethodPost, "work of "+id
	case n == 14:
		kind, method, body = "upload", http.MethodPut, randomText(r, 1<<20+r.IntN(2<<20))
	}
	size := r.IntN(5000)
	path := []string{"/", "/readiness", "/resolve", "/metrics", "/once/a"}[r.IntN(5)]
	sum := sha256.Sum256([]byte(body))
	url := fmt.Sprintf("http://%s%s?token=%s&size=%d&sum=%s", s.f.instances[r.IntN(len(s.f.instances))].front, path, id, size, hex.EncodeToString(sum[:]))
	request, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	if kind == "upload" && r.IntN(2) == 0 {
		request.ContentLength, request.GetBody = -1, nil
	}
	request.Host = kind + ".example"
	request.Header.Set("Request-Id", id)
	request.Header.Set("Deadline-Ms", strconv.FormatInt(platformTimeout.Milliseconds(), 10))
	status, answer := 0, ""
	response, err := client.Do(request)
	if err == nil {
		var data []byte
		data, err = io.ReadAll(response.Body)
		_ = response.Body.Close()
		status, answer = response.StatusCode, string(data)
	}
	if err != nil {
		status = 0
	}
	s.record(id, kind, status, status == http.StatusOK && (answer != imitator.Body(id, size) || response.Header.Get("Server-Signature") == ""))
}

// randomText returns a text that differs in all its parts.
func randomText(r *rand.Rand, size int) string {
	data := make([]byte, size)
	for i := range data {
		data[i] = byte(r.Uint32())
	}
	return string(data)
}

func (s *platformSoak) record(id, kind string, status int, foreign bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.statuses[status]++
	if kind != "safe" {
		s.once = append(s.once, id)
	}
	switch status {
	case http.StatusOK:
		s.served = append(s.served, id)
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		if kind != "safe" {
			s.refused = append(s.refused, id)
		}
	}
	if foreign {
		s.foreign = append(s.foreign, id)
	}
}

// verify checks what callers were told against what backend servers ran.
func (s *platformSoak) verify() {
	runs := make(map[string]int)
	var refused, copies, altered uint64
	for _, x := range s.servers {
		c := x.standIn.Counts()
		refused += c.Shed
		copies += c.Copies
		altered += c.Altered
		for k, n := range c.Keys {
			runs[k] += n
		}
	}
	over := func(list []string, limit int) []string {
		var result []string
		for _, id := range list {
			if runs[id] > limit {
				result = append(result, id)
			}
		}
		return result
	}
	var unrun []string
	for _, id := range s.served {
		if runs[id] == 0 {
			unrun = append(unrun, id)
		}
	}
	s.t.Logf("seed %d: answers by status %v, %d copies of refusals", s.seed, s.statuses, copies)
	twice, ran := over(s.once, 1), over(s.refused, 0)
	for _, id := range slices.Concat(twice, ran, unrun, s.foreign) {
		s.trace(id)
	}
	// An instance that closes a connection after a refusal gets no copies.
	asserter.AtLeast(s.t, "refusals of backend servers", refused, 1)
	asserter.AtLeast(s.t, "served", len(s.served), len(s.once)/2)
	asserter.Equal(s.t, "run more than once", twice, nil)
	asserter.Equal(s.t, "refused as not run, and ran", ran, nil)
	asserter.Equal(s.t, "served and never run", unrun, nil)
	asserter.Equal(s.t, "answers that no backend server gave", s.foreign, nil)
	asserter.Equal(s.t, "bodies that differ from what was sent", altered, 0)
}

// trace prints what instances logged of a request, and which backend servers ran it.
func (s *platformSoak) trace(id string) {
	for _, x := range s.servers {
		if n := x.standIn.Counts().Keys[id]; n > 0 {
			s.t.Logf("%s ran %d times at %s", id, n, x.name)
		}
	}
	for _, p := range s.f.instances {
		data, err := os.ReadFile(p.settings + ".log")
		asserter.NoError(s.t, "read log", err)
		for line := range strings.Lines(string(data)) {
			if strings.Contains(line, strconv.Quote(id)) {
				s.t.Logf("%s: %s", p.name, line)
			}
		}
	}
}

// TestPlatformSoak plays the faults of a seed against a fleet on the platform: backend servers
// copy their refusals, with the identifiers of the refused requests, and restart at their
// addresses while their old entries stand, beside stops, kills and reloads of instances.
// PLATFORM_SOAK_SEEDS names further seeds, SOAK_SEEDS adds a number of fresh ones.
func TestPlatformSoak(t *testing.T) {
	seeds := platformSoakSeeds
	for _, text := range strings.Fields(os.Getenv("PLATFORM_SOAK_SEEDS")) {
		seed, err := strconv.ParseUint(text, 10, 64)
		asserter.NoError(t, "seed", err)
		seeds = append(seeds, seed)
	}
	if n, err := strconv.Atoi(os.Getenv("SOAK_SEEDS")); err == nil {
		for i := range n {
			seeds = append(seeds, uint64(time.Now().UnixNano())+uint64(i))
		}
	}
	for _, seed := range seeds {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			s := newPlatformSoak(t, seed)
			s.run()
			s.verify()
		})
	}
}
