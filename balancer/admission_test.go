package balancer

import (
	"fmt"
	"testing"
	"time"

	"monsoonswitch/asserter"
	"monsoonswitch/descriptor"
	"monsoonswitch/picker"
)

// usualCustomers is the number of customers that send their usual.
const usualCustomers = 9

// hotFrom and hotUntil bound the time in which one customer sends more than its usual.
const (
	hotFrom  = 20 * time.Second
	hotUntil = 30 * time.Second
)

// hotCustomer returns a load of ten customers of 6 requests a second each, of which one sends nine
// times that for ten seconds: 108 in all, where the backend servers serve 90.
func hotCustomer() loadPattern {
	return loadPattern{
		gray: neverGray, shedShare: noSheds, backends: 6, slots: 3,
		rate: func(at time.Duration) float64 {
			if at > hotFrom && at < hotUntil {
				return 108
			}
			return 60
		},
		customer: func(draw float64, at time.Duration) string {
			usual := 0.9
			if at > hotFrom && at < hotUntil {
				usual = 0.5
			}
			if draw < usual {
				return fmt.Sprintf("usual-%d", int(draw/usual*usualCustomers))
			}
			return "hot"
		},
	}
}

// TestHotCustomer guards against a customer at nine times its usual whose requests fill the queues,
// so that those of all customers are refused alike.
func TestHotCustomer(t *testing.T) {
	got := replay[picker.HighestScore](hotCustomer())
	for i := range usualCustomers {
		name := fmt.Sprintf("usual-%d", i)
		t.Run(name+" is served", func(t *testing.T) {
			asserter.AtLeast(t, "share", got.ofCustomer[name].share(), 0.95)
		})
	}
	t.Run("the hot customer gets the rest", func(t *testing.T) {
		// 90 a second are served, of which the others ask for 54.
		asserter.AtLeast(t, "served", got.ofCustomer["hot"].served, int(0.8*(10*36+45*6)))
	})
	t.Run("served in time", func(t *testing.T) {
		asserter.AtLeast(t, "share", float64(got.inTarget)/float64(got.served), 0.97)
	})
}

// TestUrgentElsewhere guards against instances that fill the backend servers with less urgent work
// while more urgent work of the same service is refused at other instances. One instance gets 40
// urgent requests a second, and five get 140 others, where the backend servers serve 90.
func TestUrgentElsewhere(t *testing.T) {
	l := loadPattern{
		gray: neverGray, shedShare: noSheds, backends: 6, slots: 3, rate: steady(180), idempotent: 40.0 / 180,
		onceRank: 1, readsAt: 1, customer: func(float64, time.Duration) string { return "c" },
	}
	got := replay[picker.HighestScore](l)
	t.Log(got.ofClass, got.refused, got.failed, got.longest)
	t.Log(got.ofClass, got.refused, got.failed, got.longest)
	t.Log(got.ofClass, got.refused, got.failed, got.longest)
	t.Run("urgent work is served", func(t *testing.T) {
		asserter.AtLeast(t, "share", got.ofClass["read"].share(), 0.95)
	})
	t.Run("other work gets the rest", func(t *testing.T) {
		asserter.AtLeast(t, "served", got.ofClass["once"].served, int(0.8*50*replayTraffic.Seconds()))
	})
	t.Run("refusals come at once", func(t *testing.T) {
		asserter.AtMost(t, "longest wait", got.longest, replayTarget+busyTick)
	})
}

// TestCustomerRankFirst guards against an order of queued requests in which the rank of the class
// goes before that of the customer.
func TestCustomerRankFirst(t *testing.T) {
	x := descriptor.Urgency{Customer: 0, Class: 2}
	y := descriptor.Urgency{Customer: 1, Class: 0}
	asserter.True(t, "customer first", x.Before(y))
	asserter.True(t, "not the other way round", !y.Before(x))
	asserter.True(t, "class next", descriptor.Urgency{Class: 1}.Before(x))
	asserter.True(t, "equal ones", !x.Before(x))
}
