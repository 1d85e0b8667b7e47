package spreader

import (
	"fmt"
	"testing"
	"time"

	"monsoonswitch/asserter"
	"monsoonswitch/declarer"
	"monsoonswitch/descriptor"
)

// keyedDocument returns a routing with 20 routes and a customer for each number, with a key of the
// same name. change is applied to the routing.
func keyedDocument(version uint64, customers []int, change func(*declarer.Routing)) descriptor.Document {
	d := routingDocument(version, numbers(1, 20))
	d.Routing.Keyed = true
	for _, i := range customers {
		name := fmt.Sprintf("c%03d", i)
		d.Routing.Customers = append(d.Routing.Customers, declarer.Customer{Name: name, Keys: []string{name}})
	}
	if change != nil {
		change(d.Routing)
	}
	return d
}

// TestCustomers guards against a change of customers alone that does not reach other instances, and
// against sending all customers for a change of one.
func TestCustomers(t *testing.T) {
	first := keyedDocument(1, numbers(1, 50), nil)
	for _, c := range []struct {
		name  string
		later descriptor.Document
	}{
		{"a key withdrawn", keyedDocument(2, numbers(1, 50), func(r *declarer.Routing) { r.Customers[6].Keys = nil })},
		{"a key moved to another customer", keyedDocument(2, numbers(1, 50), func(r *declarer.Routing) {
			r.Customers[6].Keys, r.Customers[7].Keys = nil, []string{"c007", "c008"}
		})},
		{"another rank", keyedDocument(2, numbers(1, 50), func(r *declarer.Routing) { r.Customers[6].Rank = 2 })},
		{"another quota", keyedDocument(2, numbers(1, 50), func(r *declarer.Routing) { r.Customers[6].Rate, r.Customers[6].Burst = 2.5, 1 })},
		{"a customer removed", keyedDocument(2, numbers(2, 50), nil)},
		{"a customer added", keyedDocument(2, numbers(1, 51), nil)},
		{"a public route", keyedDocument(2, numbers(1, 50), func(r *declarer.Routing) { r.Routes[3].Public = true })},
	} {
		t.Run(c.name, func(t *testing.T) {
			same := c.later
			routing := *c.later.Routing
			routing.Version = 1
			same.Routing = &routing
			asserter.True(t, "another content hash", newHeld(first).sum != newHeld(same).sum)
			a, b := holding(first), holding(first, c.later)
			sent := transfer(a, b)
			asserter.True(t, "sent as a difference", sent[0].Base != 0 && len(sent[0].Routing.Customers)+len(sent[0].Routing.Routes) < 5)
			wantRouting(t, a, c.later)
		})
	}
	t.Run("without customers the content hash is that of earlier builds", func(t *testing.T) {
		asserter.Equal(t, "hash", newHeld(routingDocument(1, numbers(1, 3), 2)).sum, uint64(2886303003466475154))
	})
	t.Run("customers are dropped when keys are no longer needed", func(t *testing.T) {
		a, b := holding(first), holding(first, routingDocument(2, numbers(1, 20)))
		transfer(a, b)
		wantRouting(t, a, routingDocument(2, numbers(1, 20)))
	})
}

// TestCustomersOfEarlierBuilds guards against an instance that got a routing from an earlier build,
// which leaves the customers out, and serves requests without a key until the next version.
func TestCustomersOfEarlierBuilds(t *testing.T) {
	complete, without := keyedDocument(1, numbers(1, 5), nil), routingDocument(1, numbers(1, 20))
	t.Run("the routing in the store replaces it", func(t *testing.T) {
		s := holding(without)
		_, ok := s.Take(complete, "")
		asserter.True(t, "stored", ok)
		wantRouting(t, s, complete)
	})
	t.Run("an instance that has the customers is asked for them", func(t *testing.T) {
		a, b := holding(without), holding(complete)
		asserter.True(t, "digests differ", a.Digest() != b.Digest())
		transfer(a, b)
		wantRouting(t, a, complete)
		asserter.Equal(t, "digests", a.Digest(), b.Digest())
	})
	t.Run("it does not replace the customers", func(t *testing.T) {
		a, b := holding(complete), holding(without)
		want, _ := a.Compare(time.Now(), descriptor.References{List: b.List()})
		asserter.Equal(t, "requests", len(want.List), 0)
		_, ok := a.Take(without, "b")
		asserter.Equal(t, "stored", ok, false)
	})
}
