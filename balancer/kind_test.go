package balancer

import (
	"testing"
	"time"

	"monsoonswitch/asserter"
	"monsoonswitch/declarer"
	"monsoonswitch/descriptor"
	"monsoonswitch/retrier"
)

// TestKindChangesWhileOpen guards against work that was sent as non-idempotent running twice
// because a newer declaration calls its class idempotent.
func TestKindChangesWhileOpen(t *testing.T) {
	b := newPooledBalancer(Options{Self: "entry-0", Retries: retrier.Bounds{Ratio: 1, Extra: 5, Window: time.Second}}, []descriptor.Member{{ID: "entry-0"}}, backendList(3, 3))
	now := epoch
	for id := descriptor.RequestID(2); id < 102; id++ {
		// Requests that are served fill the retry budget.
		now = now.Add(50 * time.Millisecond)
		b.Arrive(nonIdempotent(id, now))
		b.Answered(descriptor.Answered{At: now, Request: id, Attempt: 1, Status: 200})
		b.Finished(descriptor.Finished{At: now, Request: id, Attempt: 1})
	}
	sentTo(b)
	e := nonIdempotent(1, now)
	e.Deadline = now.Add(time.Minute)
	b.Arrive(e)
	asserter.Equal(t, "times sent", len(sentTo(b)), 1)
	service := b.Service()
	service.Classes = []declarer.Class{{Name: "once", Target: replayTarget, Attempts: 3, Idempotent: true}}
	b.Declare(service, 2)
	b.Failed(descriptor.Failed{At: now.Add(10 * time.Millisecond), Request: 1, Attempt: 1, Fault: descriptor.FaultBroken, BodyReplayable: true})
	asserter.Equal(t, "times sent after it may have run", len(sentTo(b)), 0)
}
