package loader

import (
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
	reasons                                                 map[string]uint64
	latency                                                 *hdrhistogram.Histogram
	// lateRefusals counts requests that were sent once and refused as overloaded later
	// than their class's target plus lateRefusalTolerance.
	lateRefusals uint64
	// corrupt counts answers that were truncated or belonged to another request.
	corrupt uint64
	// perSecond holds the outcomes by the second in which the request was sent.
	perSecond []second
}

// second counts the outcomes of the requests sent in one second.
type second struct {
	served, refused uint64
	latency         *hdrhistogram.Histogram
}

// token identifies a request whose runs at backend servers are checked at the end.
type token struct {
	text string
	// reason is that of an instance that refused the request as not run, and tries how often
	// it had been sent.
	reason string
	tries  int
}

// record collects the outcomes that callers observed. It is safe for use by many
// goroutines.
type record struct {
	mu sync.Mutex
	// tallies and targets hold the tally and the latency target of each kind of
	// work.
	tallies []tally
	// keyed lists the requests with an idempotency key, notRun those refused as
	// not run.
	keyed   []token
	notRun  []token
	targets []time.Duration
	// cut lists the requests whose answer began and broke off, unanswered those that were
	// the first on their connection without an answer when it broke.
	cut, unanswered []string
	grays           []GrayResult
	// poisonSent and poisonRefused count the poison requests sent and those
	// refused with the reason poisoned.
	poisonSent, poisonRefused uint64
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

// add records the outcome of one request. The time at is relative to the start of
// the scenario.
func (r *record) add(index int, at time.Duration, text string, w Work, result caller.Result, err error, poisoned bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := &r.tallies[index]
	t.sent++
	t.tries += uint64(result.Tries)
	if poisoned {
		r.addPoison(result)
		return
	}
	if w.Keyed {
		r.keyed = append(r.keyed, token{text: text})
	}
	s := t.secondAt(at)
	switch {
	case err != nil:
		t.unknown++
		t.reasons["no-answer"]++
		s.refused++
	case result.Refused():
		s.refused++
		r.addRefusal(t, text, result, r.targets[index])
	default:
		t.addServed(s, text, w, result)
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

func (r *record) addPoison(result caller.Result) {
	r.poisonSent++
	if result.Reason == "poisoned" {
		r.poisonRefused++
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

func (r *record) addRefusal(t *tally, text string, result caller.Result, target time.Duration) {
	t.reasons[result.Reason]++
	switch result.Outcome {
	case "not-run":
		t.notRun++
		r.notRun = append(r.notRun, token{text: text, reason: result.Reason, tries: result.Tries})
	case "may-have-run":
		t.mayHaveRun++
	default:
		t.ran++
	}
	if result.Reason == "overloaded" && result.Tries == 1 && result.Latency > target+lateRefusalTolerance {
		t.lateRefusals++
	}
}

// lateRefusalTolerance is added to the class's target before a refusal counts as
// late, to allow for the time that the refusal takes to reach the caller.
const lateRefusalTolerance = 30 * time.Millisecond

func (t *tally) addServed(s *second, text string, w Work, result caller.Result) {
	if result.Status >= 500 {
		t.reasons["status-5xx"]++
		t.unknown++
		return
	}
	t.served++
	s.served++
	if string(result.Body) != imitator.Body(text, w.Size) || !strings.HasPrefix(string(result.Body), text+":") {
		t.corrupt++
	}
	micros := result.Latency.Microseconds()
	// Values outside the histogram's range are clamped.
	_ = t.latency.RecordValue(min(histogramHigh, max(histogramLow, micros)))
	_ = s.latency.RecordValue(min(histogramHigh, max(histogramLow, micros)))
}
