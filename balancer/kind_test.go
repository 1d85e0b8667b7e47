package balancer

import (
	"fmt"
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

// TestNamesOfClasses guards against memory that grows with each name of a class ever declared, and against an open
// request whose class is mixed up with one that came after it.
func TestNamesOfClasses(t *testing.T) {
	const declared, versions = 20, 30
	b := newPooledBalancer(Options{Self: "entry-0"}, []descriptor.Member{{ID: "entry-0"}}, backendList(3, 3))
	b.Arrive(nonIdempotent(1, epoch))
	asserter.Equal(t, "times sent", len(sentTo(b)), 1)
	service := b.Service()
	for v := range versions {
		service.Classes = nil
		for n := range declared {
			service.Classes = append(service.Classes, declarer.Class{Name: fmt.Sprintf("%d-%d", v, n), Target: time.Second, Idempotent: true})
		}
		b.Declare(service, uint64(v+2))
	}
	asserter.AtMost(t, "entries", len(b.classes), declared+1)
	asserter.AtMost(t, "names", len(b.classPositions), declared+1)
	asserter.True(t, "takes a class of the last version", b.Takes(fmt.Sprintf("%d-0", versions-1)))
	asserter.Equal(t, "takes a class of an earlier one", b.Takes("0-0"), false)
	r, ok := b.requests.Get(1)
	asserter.True(t, "the request is open", ok)
	asserter.Equal(t, "its class", b.classes[r.class].declared.Name, "once")
	b.Answered(descriptor.Answered{At: epoch, Request: 1, Attempt: 1, Status: 200})
	b.Finished(descriptor.Finished{At: epoch, Request: 1, Attempt: 1})
	_, ended := b.Flush(nil, nil)
	asserter.Equal(t, "ended requests", len(ended), 1)
	asserter.Equal(t, "class of the ended request", ended[0].Class, "once")
}
