package spreader

import (
	"fmt"
	"testing"
	"time"

	"monsoonswitch/asserter"
	"monsoonswitch/declarer"
	"monsoonswitch/descriptor"
)

// routingDocument returns a routing with the routes of the given numbers. Those in changed
// have another timeout.
func routingDocument(version uint64, routes []int, changed ...int) descriptor.Document {
	r := declarer.Routing{Version: version}
	timeouts := make(map[int]time.Duration)
	for _, i := range changed {
		timeouts[i] = time.Duration(version) * time.Second
	}
	for _, i := range routes {
		r.Routes = append(r.Routes, declarer.HostRoute{
			Host: "a.example", Path: fmt.Sprintf("/%d/", i), Class: declarer.Class{Name: fmt.Sprintf("r%03d", i), Timeout: timeouts[i]},
			Parts: []declarer.Part{{Service: "ledger", Weight: 1}},
		})
	}
	return descriptor.Document{Kind: descriptor.KindRouting, Name: "all", Revision: version, Routing: &r}
}

func wantRouting(t *testing.T, s *Spreader, want descriptor.Document) {
	t.Helper()
	got, _ := s.Get(descriptor.KindRouting, "all")
	asserter.Equal(t, "routing", *got.Routing, *want.Routing)
	asserter.Equal(t, "revision", got.Revision, want.Revision)
	asserter.Equal(t, "base", got.Base, uint64(0))
}

// numbers returns the numbers from low to high.
func numbers(low, high int) []int {
	var list []int
	for i := low; i <= high; i++ {
		list = append(list, i)
	}
	return list
}

// TestRoutings guards against sending all routes for each change of one, and against routes
// that differ from those in the store after a difference was applied.
func TestRoutings(t *testing.T) {
	first := routingDocument(1, numbers(1, 50))
	cases := []struct {
		name  string
		later []descriptor.Document
	}{
		{"a changed route", []descriptor.Document{routingDocument(2, numbers(1, 50), 7)}},
		{"routes added and removed", []descriptor.Document{routingDocument(2, numbers(3, 52))}},
		{"several versions", []descriptor.Document{routingDocument(2, numbers(1, 50), 7), routingDocument(5, numbers(2, 51)), routingDocument(6, numbers(2, 51), 9)}},
		{"another order", []descriptor.Document{routingDocument(2, append(numbers(10, 50), numbers(1, 9)...), 7)}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			latest := c.later[len(c.later)-1]
			a, b := holding(first), holding(append([]descriptor.Document{first}, c.later...)...)
			sent := transfer(a, b)
			asserter.True(t, "sent as a difference", sent[0].Base != 0 && len(sent[0].Routing.Routes) < 5)
			wantRouting(t, a, withSortedRoutes(latest))
		})
	}
	t.Run("a difference to an earlier version is applied to the present one", func(t *testing.T) {
		a := holding(first, routingDocument(2, numbers(1, 51)))
		b := holding(first, routingDocument(3, numbers(1, 51), 7))
		sent := transfer(a, b)
		asserter.Equal(t, "routes sent", len(sent[0].Routing.Routes), 2)
		wantRouting(t, a, routingDocument(3, numbers(1, 51), 7))
	})
	t.Run("what changed back since the earlier version is sent complete", func(t *testing.T) {
		a := holding(first, routingDocument(2, numbers(1, 51)))
		b := holding(first, routingDocument(3, numbers(1, 50), 7))
		transfer(a, b)
		sent := transfer(a, b)
		asserter.Equal(t, "base of the second", sent[0].Base, uint64(0))
		wantRouting(t, a, routingDocument(3, numbers(1, 50), 7))
	})
}
