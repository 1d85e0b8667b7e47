package imitator

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"hash/crc32"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Paths and query parameters of a backend server's stand-in.
const (
	CountsPath = "/-/counts"
	HealthPath = "/-/health"
	// CrashPath crashes the backend server, which is down for a while then.
	CrashPath = "/-/crash"
	// These query parameters describe a request for work: a token that is
	// repeated in the response, the size of the response in bytes, the weight as
	// a multiple of the median service time, whether the request crashes the
	// backend server, and the SHA-256 sum of the body that its caller sends.
	TokenParameter  = "token"
	SizeParameter   = "size"
	WeightParameter = "weight"
	CrashParameter  = "crash"
	SumParameter    = "sum"
)

// maxSize bounds the size of a response, in bytes.
const maxSize = 64 << 20

// ServeHTTP implements http.Handler. It serves requests for work, health checks and
// the control interface of the stand-in.
func (b *Backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	now := time.Now()
	if b.down(now) && !strings.HasPrefix(r.URL.Path, "/-/") {
		panic(http.ErrAbortHandler)
	}
	switch r.URL.Path {
	case FaultPath:
		b.serveFault(w, r)
	case CrashPath:
		b.serveCrash(w, now)
	case CountsPath:
		writeJSON(w, http.StatusOK, b.Counts())
	case HealthPath:
		b.setStateHeaders(w)
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

// serveCrash answers and then crashes, which breaks the connection of the answer too.
func (b *Backend) serveCrash(w http.ResponseWriter, now time.Time) {
	text := strconv.FormatInt(int64(b.options.Down), 10)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	_, _ = io.WriteString(w, text)
	_ = http.NewResponseController(w).Flush()
	b.Crash(now)
}

// setStateHeaders sets the headers in which a backend server reports its load and
// state.
func (b *Backend) setStateHeaders(w http.ResponseWriter) {
	used, slots := b.load()
	w.Header().Set("Backend-Load", strconv.Itoa(used)+"/"+strconv.Itoa(slots))
	w.Header().Set("Backend-State", b.state(time.Now()))
}

func (b *Backend) serveWork(w http.ResponseWriter, r *http.Request) {
	if b.repeatRefusal(w, r) {
		return
	}
	names := b.options.names()
	attempt := r.Header.Get(names.Attempt)
	if names.Expect != "" && !b.expected(r.Header.Get(names.Expect)) {
		b.refuse(w, r, attempt, http.StatusMisdirectedRequest, "another backend server")
		return
	}
	if wait, ok := b.turnAway(senderOf(r), time.Now()); ok {
		if wait > 0 {
			w.Header().Set("Retry-After", strconv.FormatFloat(wait.Seconds(), 'f', 3, 64))
		}
		b.refuse(w, r, attempt, http.StatusServiceUnavailable, "turned away")
		return
	}
	if !b.admit() {
		b.refuse(w, r, attempt, http.StatusServiceUnavailable, fullOrDraining)
		return
	}
	defer b.release()
	select {
	case b.slots <- struct{}{}:
	case <-r.Context().Done():
		return
	}
	defer func() { <-b.slots }()
	b.run(w, r)
}

// senderOf returns the instance that sent a request, which is the part of the identifier of
// the attempt before the last dot.
func senderOf(r *http.Request) string {
	id := r.Header.Get(attemptHeader)
	return id[:max(0, strings.LastIndexByte(id, '.'))]
}

// fullOrDraining is why a request is refused without a fault that turns it away.
const fullOrDraining = "backlog full or draining"

// refuse answers that an attempt did not run. The answer is sent before the body is read; the
// rest of it is discarded, so that the connection can be used again.
func (b *Backend) refuse(w http.ResponseWriter, r *http.Request, attempt string, status int, why string) {
	names := b.options.names()
	b.remember(r.RemoteAddr, refusal{status, attempt})
	_, _ = io.CopyN(io.Discard, r.Body, b.earlyBytes())
	control := http.NewResponseController(w)
	_ = control.EnableFullDuplex()
	b.setStateHeaders(w)
	w.Header().Set(names.Refused, "not-run")
	w.Header().Set(names.Attempt, attempt)
	text := strconv.Quote(why)
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	w.WriteHeader(status)
	_, _ = io.WriteString(w, text)
	_ = control.Flush()
	_, _ = io.Copy(io.Discard, r.Body)
}

// earlyBytes draws how much of a body is read before its request is refused.
func (b *Backend) earlyBytes() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.random.Int64N(maxEarlyBytes)
}

// maxEarlyBytes bounds the bytes of a body that are read before its request is refused.
const maxEarlyBytes = 1 << 20

// attemptHeader is the identifier of an attempt, which a refusal repeats.
const attemptHeader = "Backend-Attempt"

// repeatRefusal runs a request and writes the refusal of an earlier one as its answer, if
// the fault Repeat is set. It reports whether it did.
func (b *Backend) repeatRefusal(w http.ResponseWriter, r *http.Request) bool {
	if !b.faultAt(time.Now()).Repeat {
		return false
	}
	b.begin(r.URL.Query().Get(TokenParameter))
	_, err := io.Copy(io.Discard, r.Body)
	b.end(err == nil)
	b.refuse(w, r, "an-earlier-attempt", http.StatusServiceUnavailable, fullOrDraining)
	return true
}

// run runs one request that holds a slot.
func (b *Backend) run(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	token := query.Get(TokenParameter)
	if b.answerInPart(w, r) {
		return
	}
	b.begin(token)
	sum := sha256.New()
	received, err := io.Copy(sum, r.Body)
	if err != nil {
		b.end(false)
		panic(http.ErrAbortHandler)
	}
	if want := query.Get(SumParameter); want != "" && hex.EncodeToString(sum.Sum(nil)) != want {
		b.alter()
	}
	if earlier, ok := b.takeRefusal(r.RemoteAddr); ok && b.answerBehindCopy(w, r, earlier, token) {
		return
	}
	crash := b.crashed()
	if query.Get(CrashParameter) != "" {
		b.Crash(time.Now())
		panic(http.ErrAbortHandler)
	}
	if !b.sleepServiceTime(r, crash) {
		b.end(false)
		panic(http.ErrAbortHandler)
	}
	if b.answerOddly(w, r) {
		return
	}
	b.answer(w, r, received)
	b.end(true)
}

// sleepServiceTime waits for the service time of a request and for the end of a
// stall. It returns false if the backend server crashes or the request is cancelled.
func (b *Backend) sleepServiceTime(r *http.Request, crash <-chan struct{}) bool {
	weight := numberParameter(r, WeightParameter, 1)
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
			timer.Reset(stallPollInterval)
		case <-crash:
			return false
		case <-r.Context().Done():
			return false
		}
	}
}

// stallPollInterval is the time between checks whether a stall has ended, and between
// tries to listen again after a crash.
const stallPollInterval = 50 * time.Millisecond

// answer writes the response, or the one that the current fault demands.
func (b *Backend) answer(w http.ResponseWriter, r *http.Request, received int64) {
	fault := b.faultAt(time.Now())
	b.setStateHeaders(w)
	if names := b.options.names(); names.Signature != "" {
		w.Header().Set(names.Signature, signature)
		w.Header().Set(names.Attempt, r.Header.Get(names.Attempt))
	}
	if b.draw(fault.Errors) {
		writeProblem(w, http.StatusInternalServerError, errors.New("injected error"))
		return
	}
	body := Body(r.URL.Query().Get(TokenParameter), sizeOf(r))
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.Header().Set("Received", strconv.FormatInt(received, 10))
	if b.draw(fault.Cut) {
		_, _ = io.WriteString(w, body[:len(body)/2])
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(w, body)
}

// sizeOf returns the size of the response that a request asks for.
func sizeOf(r *http.Request) int {
	return int(min(maxSize, max(0, numberParameter(r, SizeParameter, 64))))
}

// Body returns the response body for a token. Callers use it to check that a
// response is complete and belongs to their request.
func Body(token string, size int) string {
	sum := strconv.FormatUint(uint64(crc32.ChecksumIEEE([]byte(token))), 16)
	unit := token + ":" + sum + ";"
	return strings.Repeat(unit, size/len(unit)+1)
}

// numberParameter returns a non-negative number from the query, or fallback if it is
// missing or invalid.
func numberParameter(r *http.Request, name string, fallback float64) float64 {
	v, err := strconv.ParseFloat(r.URL.Query().Get(name), 64)
	if err != nil || !(v >= 0) {
		return fallback
	}
	return v
}
