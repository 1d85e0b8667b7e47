package decider

import (
	"fmt"
	"testing"
	"time"

	"monsoonswitch/asserter"
	"monsoonswitch/descriptor"
	"monsoonswitch/messenger"
)

// largeFleet is a fleet in five failure domains, of which a part of the instances is large,
// with several hundred backend servers.
const (
	largeFleet        = 120
	largeFleetDomains = 5
	largeBackends     = 720
)

// newLargeFleet starts the instances of a large fleet at once.
func newLargeFleet() *routedFleet {
	f := newRoutedFleet(0)
	f.backends = listOf(largeBackends, 0)
	for i := range largeFleet {
		f.addWithCapacity(fmt.Sprintf("entry-%d", i), fmt.Sprint("domain-", i%largeFleetDomains), capacityOf(i))
	}
	return f
}

// capacityOf returns the capacity of the i-th instance: three of each failure domain are
// large.
func capacityOf(i int) int32 {
	if i < 3*largeFleetDomains {
		return 800
	}
	return 160
}

// crossing adds up the encoded sizes of the messages between failure domains while the
// fleet runs for a time, and those of all messages.
func (f *routedFleet) crossing(span time.Duration) (crossed, all int) {
	f.onSend = func(from string, a descriptor.Send) {
		data, err := messenger.Encode(a.Message)
		if err != nil {
			return
		}
		all += len(data)
		if f.instances[from].options.Self.Domain != a.To.Domain {
			crossed += len(data)
		}
	}
	f.run(span)
	f.onSend = nil
	return crossed, all
}

// TestBytesOfLargeFleet guards against control messages that grow with instances times
// backend servers: the start of 293 instances exchanged half a gigabyte, and lists of
// suspected backend servers crossed failure domains once for each instance.
func TestBytesOfLargeFleet(t *testing.T) {
	f := newLargeFleet()
	const start = 5 * time.Second
	crossed, all := f.crossing(start)
	t.Logf("start: %d reads of the store", f.reads)
	asserter.AtMost(t, "reads of the store at the start", f.reads, 2*largeFleet)
	t.Logf("start: %d bytes an instance, %d of them between failure domains", all/largeFleet, crossed/largeFleet)
	asserter.AtMost(t, "bytes an instance and second at the start", float64(all)/largeFleet/start.Seconds(), 2*controlBytesPerSecond)
	var suspicions []descriptor.BackendOutcomes
	for i := range largeBackends / 3 {
		suspicions = append(suspicions, descriptor.BackendOutcomes{Backend: f.backends[i].ID, Bad: 3})
	}
	const span = 3 * time.Second
	for _, m := range f.instances[f.order[0]].index.Get(callersRole) {
		f.step(m.ID, descriptor.Received{At: f.now, From: f.order[0], Message: descriptor.Outcomes{Service: "ledger", List: suspicions}})
	}
	crossed, all = f.crossing(span)
	t.Logf("calm: %d bytes an instance and second, %d of them between failure domains", all/largeFleet/3, crossed/largeFleet/3)
	asserter.AtMost(t, "bytes an instance and second", float64(all)/largeFleet/span.Seconds(), controlBytesPerSecond)
	asserter.AtMost(t, "bytes between failure domains, an instance and second", float64(crossed)/largeFleet/span.Seconds(), controlBytesPerSecond/16)
	for _, id := range f.order {
		s, _ := f.instances[id].served.Get("ledger")
		list, _ := s.Suspicions(f.now)
		asserter.AtLeast(t, "suspected at "+id, len(list), largeBackends/4)
	}
}
