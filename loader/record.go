package loader

import (
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"monsoonswitch/caller"
	"monsoonswitch/imitator"
)

// Bounds of latency histograms in microseconds, and their significant digits.
const (
	histogramLow    = 10
	histogramHigh   = 300_000_000
	histogramDigits = 3
)

// tally counts the outcomes that callers observed for one kind of work.
type tally struct {
	sent, served, notRun, mayHaveRun, ran, unknown, skipped uint64
	tries                                                   uint64
	// started counts the requests whose sending began; sent counts those that have an
	// outcome.
	started uint64
	// poisonRefused counts the poison requests refused with the reason poisoned.
	poisonRefused uint64
	// unanswered counts the tries of requests that ended without an answer, and of them
	// timedOut counts the requests without one within their timeout.
	unanswered, timedOut uint64
	reasons              map[string]uint64
	latency              *hdrhistogram.Histogram
	// lateRefusals counts requests that were sent once and refused as overloaded later
	// than their class's target plus lateRefusalTolerance.
	lateRefusals uint64
	// corrupt counts answers that were truncated or belonged to another request, and
	// vague refusals that do not say whether the request ran.
	corrupt, vague uint64
	// perSecond holds the outcomes by the second in which the request was sent.
	perSecond []second
}

// second counts the outcomes of the requests sent in one second.
type second struct {
	served, refused uint64
	latency         *hdrhistogram.Histogram
}

// refusedWork is a request that was refused as not run.
type refusedWork struct {
	token string
	// reason is that of the instance that refused it, and tries how often it had been sent.
	reason string
	tries  int
	// repeatable is set if its caller sends it again without a key. The refusal covers the last
	// sending alone then.
	repeatable bool
}

// mayHaveRun reports whether an earlier sending may have run.
func (w refusedWork) mayHaveRun() bool { return w.repeatable && w.tries > 1 }

// record collects the outcomes that callers observed. It is safe for use by many
// goroutines.
type record struct {
	mu sync.Mutex
	// tallies and targets hold the tally and the latency target of each kind of
	// work.
	tallies []tally
	targets []time.Duration
	// once reports for each kind of work whether its requests may run at most once.
	once []bool
	// atMostOnce and served list the tokens of the requests that may run at most once and
	// that were served.
	atMostOnce, served []string
	// notRun lists the requests that were refused as not run.
	notRun []refusedWork
	// poisonSent counts the poison requests sent.
	poisonSent uint64
	// failures describes the faults that were not injected.
	failures []string
	// cut lists the requests whose answer began and broke off, unanswered those that were
	// the first on their connection without an answer when it broke.
	cut, unanswered []string
	grays           []GrayResult
}

func newRecord(s Scenario) *record {
	r := &record{tallies: make([]tally, len(s.Work))}
	seconds := int(s.Duration.Seconds()) + 2
	d, _ := deploymentOf(s.Deployment)
	for i, w := range s.Work {
		r.tallies[i] = tally{
			reasons:   make(map[string]uint64),
			latency:   newHistogram(),
			perSecond: make([]second, seconds),
		}
		service, _ := d.service(w.Service)
		class, _ := service.Class(w.Class)
		r.targets = append(r.targets, class.Target)
		r.once = append(r.once, w.Keyed || !class.Idempotent)
	}
	return r
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(histogramLow, histogramHigh, histogramDigits)
}

// skip counts a request that was not sent because too many were in flight.
func (r *record) skip(index int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tallies[index].skipped++
}

// start counts a request whose sending begins.
func (r *record) start(index int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tallies[index].started++
}

// failInjection records a fault that was not injected.
func (r *record) failInjection(name string, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failures = append(r.failures, name+": "+err.Error())
}

// totals returns the number of requests served and refused so far.
func (r *record) totals() (uint64, uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var served, refused uint64
	for i := range r.tallies {
		served += r.tallies[i].served
		refused += r.tallies[i].notRun + r.tallies[i].mayHaveRun + r.tallies[i].ran
	}
	return served, refused
}

// timeoutTolerance is the time by which a request without an answer may end before its
// timeout and still counts as timed out.
const timeoutTolerance = 20 * time.Millisecond

// add records the outcome of one request. The time at is relative to the start of
// the scenario.
func (r *record) add(index int, at time.Duration, text string, w Work, result caller.Result, err error, poisoned bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := &r.tallies[index]
	t.sent++
	t.tries += uint64(result.Tries)
	if err != nil {
		t.addUnanswered(w, result)
	}
	if poisoned {
		r.addPoison(t, result)
		return
	}
	if r.once[index] {
		r.atMostOnce = append(r.atMostOnce, text)
	}
	s := t.secondAt(at)
	switch {
	case err != nil:
		t.unknown++
		t.reasons["no-answer"]++
		s.refused++
	case result.Refused():
		s.refused++
		r.addRefusal(t, text, w, result, r.targets[index])
	default:
		r.addServed(t, s, text, w, result)
	}
}

func (t *tally) addUnanswered(w Work, result caller.Result) {
	t.unanswered += uint64(result.Tries)
	if w.Timeout > 0 && result.Latency > w.Timeout-timeoutTolerance {
		t.timedOut++
	}
}

// addBroken records a request whose connection broke before its answer was complete.
func (r *record) addBroken(text string, begun bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if begun {
		r.cut = append(r.cut, text)
	} else {
		r.unanswered = append(r.unanswered, text)
	}
}

func (r *record) addGray(g GrayResult) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.grays = append(r.grays, g)
}

func (r *record) addPoison(t *tally, result caller.Result) {
	r.poisonSent++
	if result.Reason == "poisoned" {
		t.poisonRefused++
	}
}

func (t *tally) secondAt(at time.Duration) *second {
	i := min(int(at.Seconds()), len(t.perSecond)-1)
	s := &t.perSecond[i]
	if s.latency == nil {
		s.latency = newHistogram()
	}
	return s
}

func (r *record) addRefusal(t *tally, text string, w Work, result caller.Result, target time.Duration) {
	t.reasons[result.Reason]++
	switch result.Outcome {
	case "not-run":
		t.notRun++
		r.notRun = append(r.notRun, refusedWork{token: text, reason: result.Reason, tries: result.Tries, repeatable: w.Idempotent && !w.Keyed})
	case "may-have-run":
		t.mayHaveRun++
	case "ran":
		t.ran++
	default:
		t.vague++
	}
	if result.Reason == "overloaded" && result.Tries == 1 && result.Latency > target+lateRefusalTolerance {
		t.lateRefusals++
	}
}

// maxStatus is the largest status that HTTP defines. An answer with another one is none.
const maxStatus = 599

// lateRefusalTolerance is added to the class's target before a refusal counts as
// late, to allow for the time that the refusal takes to reach the caller.
const lateRefusalTolerance = 30 * time.Millisecond

func (r *record) addServed(t *tally, s *second, text string, w Work, result caller.Result) {
	if result.Status >= http.StatusInternalServerError && result.Status <= maxStatus {
		t.reasons["status-5xx"]++
		t.unknown++
		return
	}
	t.served++
	s.served++
	r.served = append(r.served, text)
	if result.Status < http.StatusOK || result.Status > maxStatus || string(result.Body) != imitator.Body(text, w.Size) || !strings.HasPrefix(string(result.Body), text+":") {
		t.corrupt++
	}
	micros := result.Latency.Microseconds()
	// Values outside the histogram's range are clamped.
	_ = t.latency.RecordValue(min(histogramHigh, max(histogramLow, micros)))
	_ = s.latency.RecordValue(min(histogramHigh, max(histogramLow, micros)))
}
