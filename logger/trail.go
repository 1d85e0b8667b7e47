package logger

import (
	"math"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"monsoonswitch/descriptor"
)

const (
	// burstTime is the time whose quota of requests may be told at once.
	burstTime = 3 * time.Second
	// leftOutEvery is the time between counts of the requests left out.
	leftOutEvery = 10 * time.Second
)

// quota is a number of requests that may be told now; it grows with time.
type quota struct {
	left float64
	at   time.Time
}

// WithTime returns q as of now, at a number of requests a second.
func (q quota) WithTime(now time.Time, rate float64) quota {
	burst := math.Max(1, rate*burstTime.Seconds())
	if passed := now.Sub(q.at).Seconds(); passed > 0 && !q.at.IsZero() {
		q.left = math.Min(burst, q.left+rate*passed)
	} else if q.at.IsZero() {
		q.left = burst
	}
	q.at = now
	return q
}

// trails decides which requests are told.
type trails struct {
	volume          Volume
	mu              sync.Mutex
	notable, sample quota
	// leftOut counts the requests not told since leftOutAt.
	leftOut, leftOutNotable uint64
	leftOutAt               time.Time
}

// admits tells whether a request is to be told, and returns the counts of those
// left out once these are due.
func (t *trails) admits(now time.Time, notable bool) (told bool, leftOut, leftOutNotable uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.notable = t.notable.WithTime(now, t.volume.Notable)
	t.sample = t.sample.WithTime(now, t.volume.Sampled)
	q := &t.sample
	if notable {
		q = &t.notable
	}
	if told = q.left >= 1; told {
		q.left--
	} else {
		t.leftOut++
		if notable {
			t.leftOutNotable++
		}
	}
	if t.leftOut > 0 && now.Sub(t.leftOutAt) >= leftOutEvery {
		leftOut, leftOutNotable = t.leftOut, t.leftOutNotable
		t.leftOut, t.leftOutNotable, t.leftOutAt = 0, 0, now
	}
	return told, leftOut, leftOutNotable
}

// Trail writes what was decided about a request, if the budget allows.
func (l *Logger) Trail(now time.Time, t descriptor.Trail) {
	told, leftOut, notable := l.trails.admits(now, t.Notable())
	if leftOut > 0 {
		l.entry.WithFields(logrus.Fields{
			"event": descriptor.NoteLogDropped, "requests": leftOut, "notable": notable, "lines": l.Dropped(),
		}).Log(Catalogue[descriptor.NoteLogDropped].Level, Catalogue[descriptor.NoteLogDropped].Text)
	}
	if !told {
		return
	}
	for _, line := range t.Lines {
		l.trace(t, line)
	}
	e := Catalogue[descriptor.NoteEnded]
	l.entry.WithFields(logrus.Fields{
		"event": descriptor.NoteEnded, "at": t.At.Format(time.RFC3339Nano), "id": t.Label, "request": t.Request, "service": t.Service, "class": t.Class,
		"reason": t.Reason.String(), "outcome": t.Outcome.String(), "millis": millis(t.Latency), "target": millis(t.Target),
		"revision": t.Revision, "listed": t.Listed, "currentage": millis(t.Current),
	}).Log(e.Level, e.Text)
}

// trace writes one decision.
func (l *Logger) trace(t descriptor.Trail, line descriptor.Trace) {
	fields := logrus.Fields{
		"event": line.Number, "id": t.Label, "request": t.Request, "service": t.Service,
		"at": line.At.Format(time.RFC3339Nano), "queued": line.Queued, "inflight": line.InFlight,
	}
	if line.Left != 0 {
		fields["left"] = millis(line.Left)
	}
	if line.Backend != "" {
		fields["backend"] = line.Backend
		fields["attempt"] = line.Attempt
		fields["trust"] = rounded(line.Trust)
		fields["load"] = rounded(line.Load)
	}
	if line.Status != 0 {
		fields["status"] = line.Status
	}
	if line.Cause != "" {
		fields["cause"] = line.Cause
	}
	e := Catalogue[line.Number]
	l.entry.WithFields(fields).Log(e.Level, e.Text)
}

func millis(d time.Duration) int64 { return d.Milliseconds() }

// rounded returns a value with three decimals.
func rounded(v float64) float64 { return math.Round(v*1000) / 1000 }

// Dropped returns the number of lines that found the output too slow.
func (l *Logger) Dropped() uint64 { return l.writer.dropped.Load() }
