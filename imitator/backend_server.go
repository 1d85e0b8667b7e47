package imitator

import (
	"encoding/json"
	"errors"
	"hash/crc32"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Paths and parameters of the stand-in of a backend server.
const (
	CountsPath = "/-/counts"
	HealthPath = "/-/health"
	// Work is described by these query parameters: a token that the answer
	// carries, the size of the answer in bytes, the weight of the work as a
	// multiple of the median service time, and a mark that brings the backend
	// server down.
	TokenParameter  = "token"
	SizeParameter   = "size"
	WeightParameter = "weight"
	CrashParameter  = "crash"
)

// maxSize bounds an answer in bytes.
const maxSize = 64 << 20

// ServeHTTP serves work, health checks and the control of the stand-in.
func (b *Backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	now := time.Now()
	if b.down(now) && !strings.HasPrefix(r.URL.Path, "/-/") {
		panic(http.ErrAbortHandler)
	}
	switch r.URL.Path {
	case FaultPath:
		b.serveFault(w, r)
	case CountsPath:
		writeJSON(w, http.StatusOK, b.Counts())
	case HealthPath:
		b.announce(w)
		writeJSON(w, http.StatusOK, b.state(now))
	default:
		b.serveWork(w, r)
	}
}

func (b *Backend) serveFault(w http.ResponseWriter, r *http.Request) {
	var f BackendFault
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		writeProblem(w, http.StatusBadRequest, err)
		return
	}
	b.SetFault(f, time.Now())
	writeJSON(w, http.StatusOK, f)
}

// announce sets the headers in which a backend server reports its state.
func (b *Backend) announce(w http.ResponseWriter) {
	used, slots := b.load()
	w.Header().Set("Backend-Load", strconv.Itoa(used)+"/"+strconv.Itoa(slots))
	w.Header().Set("Backend-State", b.state(time.Now()))
}

func (b *Backend) serveWork(w http.ResponseWriter, r *http.Request) {
	if !b.enter() {
		b.announce(w)
		w.Header().Set("Backend-Refused", "not-run")
		writeProblem(w, http.StatusServiceUnavailable, errors.New("no slot"))
		return
	}
	defer b.leave()
	select {
	case b.slots <- struct{}{}:
	case <-r.Context().Done():
		return
	}
	defer func() { <-b.slots }()
	b.work(w, r)
}

// work runs one request.
func (b *Backend) work(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	b.begin(query.Get(TokenParameter))
	received, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		b.end(false)
		panic(http.ErrAbortHandler)
	}
	crash := b.crashed()
	if query.Get(CrashParameter) != "" {
		b.Crash(time.Now())
		panic(http.ErrAbortHandler)
	}
	if !b.spend(r, crash) {
		b.end(false)
		panic(http.ErrAbortHandler)
	}
	b.answer(w, r, received)
	b.end(true)
}

// spend takes the service time and tells whether the work came to its end.
func (b *Backend) spend(r *http.Request, crash <-chan struct{}) bool {
	weight := numberOr(r, WeightParameter, 1)
	now := time.Now()
	fault := b.faultAt(now)
	timer := time.NewTimer(b.serviceTime(weight, now) + fault.Late)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
			if !b.faultAt(time.Now()).Stall {
				return true
			}
			timer.Reset(stallPoll)
		case <-crash:
			return false
		case <-r.Context().Done():
			return false
		}
	}
}

// stallPoll is how often stalled work looks whether the stall is over.
const stallPoll = 50 * time.Millisecond

func (b *Backend) answer(w http.ResponseWriter, r *http.Request, received int64) {
	fault := b.faultAt(time.Now())
	b.announce(w)
	if b.chance(fault.Errors) {
		writeProblem(w, http.StatusInternalServerError, errors.New("fault"))
		return
	}
	token := r.URL.Query().Get(TokenParameter)
	size := int(min(maxSize, max(0, numberOr(r, SizeParameter, 64))))
	body := Body(token, size)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.Header().Set("Received", strconv.FormatInt(received, 10))
	if b.chance(fault.Cut) {
		_, _ = io.WriteString(w, body[:len(body)/2])
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(w, body)
}

// Body returns the answer to a token: callers check that it is whole and theirs.
func Body(token string, size int) string {
	sum := strconv.FormatUint(uint64(crc32.ChecksumIEEE([]byte(token))), 16)
	unit := token + ":" + sum + ";"
	return strings.Repeat(unit, size/len(unit)+1)
}

func numberOr(r *http.Request, name string, fallback float64) float64 {
	v, err := strconv.ParseFloat(r.URL.Query().Get(name), 64)
	if err != nil || !(v >= 0) {
		return fallback
	}
	return v
}
