package loader

import (
	"context"
	"time"
)

// GrayResult holds the requests that a gray backend server got, by second.
type GrayResult struct {
	Backend string `json:"backend"`
	// Fault is the name of its fault.
	Fault string `json:"fault"`
	// Since is the second in which the fault began.
	Since   int          `json:"since"`
	Seconds []GraySecond `json:"seconds"`
}

// GraySecond holds the requests of one second: those of the gray backend server, and the mean
// of the others of its service.
type GraySecond struct {
	Second int     `json:"second"`
	Gray   float64 `json:"gray"`
	Others float64 `json:"others"`
}

// staysGray reports whether a fault is one that health checks don't show and that no answer
// announces, and lasts.
func (f Fault) staysGray() bool { return f.Kind == FaultStall || f.Kind == FaultErrors }

// watchGray counts the requests of a gray backend server and of the others of its service
// each second until the fault ends.
func (r *Runner) watchGray(ctx context.Context, f Fault, gray backend) {
	var list []backend
	for _, b := range r.fleet.Backends() {
		if b.Service() == f.Service {
			list = append(list, b)
		}
	}
	result := GrayResult{Backend: gray.ID(), Fault: f.Name, Since: int(f.From.Seconds())}
	before := arrivals(list)
	for at := r.started.Add(f.From); sleepUntil(ctx, at.Add(time.Second)) && at.Add(time.Second).Sub(r.started) <= f.To; at = at.Add(time.Second) {
		now := arrivals(list)
		s := GraySecond{Second: int(at.Sub(r.started).Seconds())}
		for i, b := range list {
			// A backend server that is down doesn't answer, and has no count.
			n := max(0, float64(now[i])-float64(before[i]))
			if b.ID() == gray.ID() {
				s.Gray = n
			} else {
				s.Others += n / float64(len(list)-1)
			}
		}
		result.Seconds = append(result.Seconds, s)
		before = now
	}
	r.record.addGray(result)
}

// arrivals returns the number of requests that each backend server got.
func arrivals(list []backend) []uint64 {
	result := make([]uint64, len(list))
	for i, b := range list {
		// One that does not answer has no count.
		if c, err := b.Counts(); err == nil {
			result[i] = received(c)
		}
	}
	return result
}
