// Package reporter builds the final report of a service from the tallies of all
// instance incarnations.
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

// ErrNoService reports a service without a declaration in the store.
var ErrNoService = eris.New("no such service")

// tallyDelay is the longest time that a tally takes from an instance to the instance
// that writes the service's tallies to the store.
const tallyDelay = 3 * time.Second

// vanishAge returns the age of an incarnation's last tally from which on it counts as
// vanished, unless the tally is final and has no open requests.
func vanishAge(t descriptor.Tally) time.Duration { return 2*t.Every + 2*tallyDelay }

// Row counts the requests of one class that ended with the same reason and outcome.
// Bytes is the number of response bytes sent for them.
type Row struct {
	Class    string `json:"class"`
	Reason   string `json:"reason"`
	Outcome  string `json:"outcome"`
	Requests uint64 `json:"requests"`
	Bytes    uint64 `json:"bytes"`
}

// Incarnation holds the counts of one instance incarnation. Since and Last are the
// times of its start and of its last tally.
type Incarnation struct {
	Instance    string    `json:"instance"`
	Incarnation int64     `json:"incarnation"`
	Received    uint64    `json:"received"`
	Open        uint64    `json:"open"`
	Since       time.Time `json:"since"`
	Last        time.Time `json:"last"`
	// Final reports whether the counts are complete.
	Final bool `json:"final"`
	// Vanished reports whether the incarnation stopped reporting without a final
	// tally that has no open requests.
	Vanished bool `json:"vanished"`
	// Uncertain estimates the number of requests missing from its counts: those open
	// at its last tally and those that it may have received since.
	Uncertain uint64 `json:"uncertain"`
}

// Revision holds the times at which the first and the last instance incarnation put a
// revision in force, and the number of incarnations that did.
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
	// Served counts requests with a complete response, Refused those that were
	// not run, Uncertain those that may have run, and Abandoned those cancelled
	// by their caller.
	Served    uint64 `json:"served"`
	Refused   uint64 `json:"refused"`
	Uncertain uint64 `json:"uncertain"`
	Abandoned uint64 `json:"abandoned"`
	// Open counts requests that had not ended at the last tallies.
	Open uint64 `json:"open"`
	Rows []Row  `json:"rows"`
	// Median and Tail are the 50th and 99th percentiles of the latency of served
	// requests; Latency is its histogram in the buckets of descriptor.BucketBound.
	Median    time.Duration `json:"median"`
	Tail      time.Duration `json:"tail"`
	Latency   []uint64      `json:"latency"`
	Ejections uint64        `json:"ejections"`
	Revisions []Revision    `json:"revisions"`
	Instances []Incarnation `json:"instances"`
	// Vanished counts the vanished incarnations; Unaccounted is the sum of their
	// Uncertain.
	Vanished    int    `json:"vanished"`
	Unaccounted uint64 `json:"unaccounted"`
	// Sealed reports whether the service is closed and every count is complete.
	Sealed bool `json:"sealed"`
}

// Read builds the report of a service from the platform's store. It returns an error
// that wraps ErrNoService if the service is not declared, and other errors if the
// store is unavailable or an item can't be decoded.
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
		return Report{}, eris.Wrapf(storer.ErrMalformed, "%s: %v", item.Key, err)
	}
	var tallies []descriptor.Tally
	stored, err := client.Get(ctx, storer.TallyKey(service))
	if err != nil && !errors.Is(err, storer.ErrNotFound) {
		return Report{}, err
	}
	if err == nil {
		if err := json.Unmarshal(stored.Value, &tallies); err != nil {
			return Report{}, eris.Wrapf(storer.ErrMalformed, "%s: %v", stored.Key, err)
		}
	}
	return Build(declared, item.Revision, tallies, now), nil
}

// Build builds a report from tallies, which may be in any order and repeated.
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

// newest returns the newest tally of each incarnation, ordered by incarnation.
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

// addTally adds the counts of one incarnation to the report.
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

// addCount adds requests to the total that their reason and outcome belong to.
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

// incarnationOf returns the counts of one incarnation. The number of requests that a
// vanished one may have received since its last tally is estimated as twice its mean
// rate over the longest time between two tallies, since the rate may have been above
// the mean. An incarnation without any request never counts as vanished.
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
	if i.Final || now.Sub(t.At) < vanishAge(t) || t.Open == 0 && t.Received == 0 {
		return i
	}
	i.Vanished = true
	reported := max(t.At.Sub(t.Since), time.Second)
	rate := float64(t.Received) / reported.Seconds()
	i.Uncertain = t.Open + uint64(math.Ceil(2*rate*(t.Every+tallyDelay).Seconds()))
	return i
}

// addRevisions adds the revisions that one incarnation put in force.
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

// finishRows sets the rows, ordered by class, reason and outcome.
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

// finishRevisions sets the revisions in ascending order.
func (r *Report) finishRevisions(revisions map[uint64]*Revision) {
	for _, v := range revisions {
		r.Revisions = append(r.Revisions, *v)
	}
	sort.Slice(r.Revisions, func(i, j int) bool { return r.Revisions[i].Revision < r.Revisions[j].Revision })
}

// quantile returns the upper bound of the histogram bucket that holds quantile q, which
// is from 0 to 1, or 0 if the histogram is empty.
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
