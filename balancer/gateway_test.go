package balancer

import (
	"fmt"
	"testing"

	"monsoonswitch/asserter"
	"monsoonswitch/descriptor"
)

// TestOutcomesByDomain guards against outcomes that cross a failure domain once for each
// owner there, and against owners that do not receive them, or receive them twice.
func TestOutcomesByDomain(t *testing.T) {
	for _, domains := range []int{1, 2, 5} {
		t.Run(fmt.Sprint(domains, " failure domains"), func(t *testing.T) {
			var members []descriptor.Member
			for i := range 3 * domains {
				members = append(members, descriptor.Member{ID: fmt.Sprintf("entry-%d", i), Domain: fmt.Sprint("domain-", i%domains)})
			}
			instances := make(map[string]*pooledBalancer)
			for _, m := range members {
				instances[m.ID] = newPooledBalancer(Options{Self: m.ID, Domain: m.Domain}, members, backendList(4, 3))
			}
			first := members[0]
			b := instances[first.ID]
			b.Arrive(nonIdempotent(1, epoch))
			b.Answered(descriptor.Answered{At: epoch.Add(quickFailure), Request: 1, Attempt: 1, Status: 500})
			received := make(map[string]int)
			crossed := 0
			type hop struct {
				from string
				send descriptor.Send
			}
			var pending []hop
			flush := func(id string) {
				actions, _ := instances[id].Flush(nil, nil)
				for _, a := range actions {
					if s, ok := a.(descriptor.Send); ok {
						pending = append(pending, hop{id, s})
					}
				}
			}
			for flush(first.ID); len(pending) > 0; {
				next := pending[0]
				pending = pending[1:]
				received[next.send.To.ID]++
				if instances[next.from].options.Domain != next.send.To.Domain {
					crossed++
				}
				instances[next.send.To.ID].HandleOutcomes(epoch, next.send.Message.(descriptor.Outcomes))
				flush(next.send.To.ID)
			}
			asserter.Equal(t, "messages between failure domains", crossed, domains-1)
			asserter.Equal(t, "receivers", len(received), len(members)-1)
			for id, n := range received {
				asserter.Equal(t, "received by "+id, n, 1)
			}
		})
	}
}
