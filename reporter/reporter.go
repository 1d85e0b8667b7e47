// Package reporter makes the final report of a service from the tallies of every
// instance incarnation.
package reporter

import (
	"context"
	"encoding/json"
	"errors"
	"math"
	"sort"
	"time"

	"github.com/rotisserie/eris"

	"monsoonswitch/counter"
	"monsoonswitch/declarer"
	"monsoonswitch/descriptor"
	"monsoonswitch/storer"
)

// ErrNoService reports a service that was never declared.
var ErrNoService = eris.New("no such service")

// flushTime is the longest time that a count takes from an instance to the
// writer of its service.
const flushTime = 3 * time.Second

// silence is the age of the last report of an incarnation from which on it
// counts as vanished, unless it said goodbye.
func silence(t descriptor.Tally) time.Duration { return 2*t.Every + 2*flushTime }

// Row is the number of requests of one class that ended in one way.
type Row struct {
	Class    string `json:"class"`
	Reason   string `json:"reason"`
	Outcome  string `json:"outcome"`
	Requests uint64 `json:"requests"`
	Bytes    uint64 `json:"bytes"`
}

// Incarnation is the part of one instance incarnation.
type Incarnation struct {
	Instance    string    `json:"instance"`
	Incarnation int64     `json:"incarnation"`
	Received    uint64    `json:"received"`
	Open        uint64    `json:"open"`
	Since       time.Time `json:"since"`
	Last        time.Time `json:"last"`
	// Final tells that the counts are complete.
	Final bool `json:"final"`
	// Vanished tells that the incarnation fell silent without a goodbye.
	Vanished bool `json:"vanished"`
	// Uncertain bounds the requests that may be missing from its counts: those
	// open at its last report and those it may have received since.
	Uncertain uint64 `json:"uncertain"`
}

// Revision tells when a revision was in force first and last taken up.
type Revision struct {
	Revision  uint64    `json:"revision"`
	First     time.Time `json:"first"`
	Last      time.Time `json:"last"`
	Instances int       `json:"instances"`
}

// Report is the final report of a service.
type Report struct {
	Service  string    `json:"service"`
	State    string    `json:"state"`
	Revision uint64    `json:"revision"`
	At       time.Time `json:"at"`
	Received uint64    `json:"received"`
	// Served counts whole answers, Refused work that was not run, Uncertain
	// work that may have run, and Abandoned work whose caller left.
	Served    uint64 `json:"served"`
	Refused   uint64 `json:"refused"`
	Uncertain uint64 `json:"uncertain"`
	Abandoned uint64 `json:"abandoned"`
	// Open counts requests that had not ended at the last reports.
	Open        uint64        `json:"open"`
	Rows        []Row         `json:"rows"`
	Median      time.Duration `json:"median"`
	Tail        time.Duration `json:"tail"`
	Latency     []uint64      `json:"latency"`
	Ejections   uint64        `json:"ejections"`
	Revisions   []Revision    `json:"revisions"`
	Instances   []Incarnation `json:"instances"`
	Vanished    int           `json:"vanished"`
	Unaccounted uint64        `json:"unaccounted"`
	// Sealed tells that the service is closed and every count is complete.
	Sealed bool `json:"sealed"`
}

// Read makes the report of a service from the platform's store.
func Read(ctx context.Context, client *storer.Client, service string, now time.Time) (Report, error) {
	item, err := client.Get(ctx, storer.ServiceKey(service))
	if errors.Is(err, storer.ErrNotFound) {
		return Report{}, eris.Wrap(ErrNoService, service)
	}
	if err != nil {
		return Report{}, err
	}
	var declared declarer.Service
	if err := json.Unmarshal(item.Value, &declared); err != nil {
		return Report{}, eris.Wrapf(storer.ErrGarbage, "%s: %v", item.Key, err)
	}
	var tallies []descriptor.Tally
	stored, err := client.Get(ctx, storer.TallyKey(service))
	if err != nil && !errors.Is(err, storer.ErrNotFound) {
		return Report{}, err
	}
	if err == nil {
		if err := json.Unmarshal(stored.Value, &tallies); err != nil {
			return Report{}, eris.Wrapf(storer.ErrGarbage, "%s: %v", stored.Key, err)
		}
	}
	return Build(declared, item.Revision, tallies, now), nil
}

// Build makes a report. Tallies may come in any order and more than once.
func Build(s declarer.Service, revision uint64, tallies []descriptor.Tally, now time.Time) Report {
	r := Report{
		Service:  s.Name,
		State:    s.State.String(),
		Revision: revision,
		At:       now,
		Latency:  make([]uint64, descriptor.LatencyBuckets),
	}
	rows := make(map[Row]*Row)
	revisions := make(map[uint64]*Revision)
	for _, t := range newest(tallies) {
		r.addTally(t, rows, now)
		addRevisions(t, revisions)
	}
	r.finishRows(rows)
	r.finishRevisions(revisions)
	r.Median = quantile(r.Latency, 0.5)
	r.Tail = quantile(r.Latency, 0.99)
	r.Sealed = s.State == declarer.Closed && r.Open == 0 && r.Unaccounted == 0
	return r
}

// newest returns the newest tally of each incarnation, in a fixed order.
func newest(tallies []descriptor.Tally) []descriptor.Tally {
	best := make(map[string]descriptor.Tally, len(tallies))
	for _, t := range counter.DropFolded(tallies) {
		owner := counter.Owner(t)
		if old, ok := best[owner]; !ok || t.Version > old.Version {
			best[owner] = t
		}
	}
	result := make([]descriptor.Tally, 0, len(best))
	for _, t := range best {
		result = append(result, t)
	}
	sort.Slice(result, func(i, j int) bool { return counter.Owner(result[i]) < counter.Owner(result[j]) })
	return result
}

func (r *Report) addTally(t descriptor.Tally, rows map[Row]*Row, now time.Time) {
	r.Received += t.Received
	r.Open += t.Open
	r.Ejections += t.Ejections
	for i, n := range t.Latency {
		if i < len(r.Latency) {
			r.Latency[i] += n
		}
	}
	for _, c := range t.Counts {
		key := Row{Class: c.Class, Reason: c.Reason.String(), Outcome: c.Outcome.String()}
		row, ok := rows[key]
		if !ok {
			row = &Row{Class: key.Class, Reason: key.Reason, Outcome: key.Outcome}
			rows[key] = row
		}
		row.Requests += c.Requests
		row.Bytes += c.Bytes
		r.addCount(c)
	}
	i := incarnationOf(t, now)
	r.Instances = append(r.Instances, i)
	r.Unaccounted += i.Uncertain
	if i.Vanished {
		r.Vanished++
	}
}

func (r *Report) addCount(c descriptor.Count) {
	switch {
	case c.Reason == descriptor.Served:
		r.Served += c.Requests
	case c.Reason == descriptor.Abandoned:
		r.Abandoned += c.Requests
	case c.Outcome == descriptor.NotRun:
		r.Refused += c.Requests
	default:
		r.Uncertain += c.Requests
	}
}

// incarnationOf describes the part of one incarnation. One that vanished may
// have received as many requests since its last report as it did on average in
// the longest time between two reports, and as many again.
func incarnationOf(t descriptor.Tally, now time.Time) Incarnation {
	i := Incarnation{
		Instance:    t.Instance,
		Incarnation: t.Incarnation,
		Received:    t.Received,
		Open:        t.Open,
		Since:       t.Since,
		Last:        t.At,
		Final:       t.Final && t.Open == 0,
	}
	if i.Final || now.Sub(t.At) < silence(t) || t.Open == 0 && t.Received == 0 {
		return i
	}
	i.Vanished = true
	span := max(t.At.Sub(t.Since), time.Second)
	rate := float64(t.Received) / span.Seconds()
	i.Uncertain = t.Open + uint64(math.Ceil(2*rate*(t.Every+flushTime).Seconds()))
	return i
}

func addRevisions(t descriptor.Tally, revisions map[uint64]*Revision) {
	for _, f := range t.Revisions {
		v, ok := revisions[f.Revision]
		if !ok {
			v = &Revision{Revision: f.Revision, First: f.At, Last: f.At}
			revisions[f.Revision] = v
		}
		if f.At.Before(v.First) {
			v.First = f.At
		}
		if f.At.After(v.Last) {
			v.Last = f.At
		}
		v.Instances++
	}
}

func (r *Report) finishRows(rows map[Row]*Row) {
	for _, row := range rows {
		r.Rows = append(r.Rows, *row)
	}
	sort.Slice(r.Rows, func(i, j int) bool {
		a, b := r.Rows[i], r.Rows[j]
		if a.Class != b.Class {
			return a.Class < b.Class
		}
		if a.Reason != b.Reason {
			return a.Reason < b.Reason
		}
		return a.Outcome < b.Outcome
	})
}

func (r *Report) finishRevisions(revisions map[uint64]*Revision) {
	for _, v := range revisions {
		r.Revisions = append(r.Revisions, *v)
	}
	sort.Slice(r.Revisions, func(i, j int) bool { return r.Revisions[i].Revision < r.Revisions[j].Revision })
}

// quantile returns the upper bound of the bucket that holds a quantile.
func quantile(buckets []uint64, q float64) time.Duration {
	var total uint64
	for _, n := range buckets {
		total += n
	}
	if total == 0 {
		return 0
	}
	var sum uint64
	for i, n := range buckets {
		sum += n
		if float64(sum) >= q*float64(total) {
			return descriptor.BucketBound(i)
		}
	}
	return descriptor.BucketBound(len(buckets) - 1)
}
