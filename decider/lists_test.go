package decider

import (
	"fmt"
	"reflect"
	"slices"
	"testing"
	"time"

	"monsoonswitch/asserter"
	"monsoonswitch/declarer"
	"monsoonswitch/descriptor"
)

// controlBytesPerSecond is the budget of an instance for control, in bytes per second.
const controlBytesPerSecond = 16 << 10

// listOf returns a list of n backend servers. Those before changed are of a later start.
func listOf(n, changed int) []descriptor.Backend {
	list := make([]descriptor.Backend, 0, n)
	for i := range n {
		id := fmt.Sprintf("i-%08x@%d", i, 1768717824176)
		if i < changed {
			id = fmt.Sprintf("i-%08x@%d", i, 1768717899999)
		}
		list = append(list, descriptor.Backend{ID: id, Name: id[:10], Address: fmt.Sprintf("10.5.64.%d:8162", i), Domain: "karatu-a", Slots: 6})
	}
	return list
}

// TestEqualListsAreNotSent guards against sending a list to instances that hold the same one
// under another revision. Instances that read the store at different moments see different
// revisions, so that after the start of a fleet each sent its lists to all others.
func TestEqualListsAreNotSent(t *testing.T) {
	f := newRoutedFleet(0)
	f.backends = listOf(150, 0)
	for i := range 24 {
		f.add(fmt.Sprintf("entry-%d", i), []string{"worcester", "providence", "portsmouth"}[i%3])
	}
	for i, id := range f.order {
		f.revision = uint64(100 + i)
		f.read(id, f.version)
	}
	clear(f.sentBytes)
	f.run(5 * time.Second)
	asserter.Equal(t, "bytes of documents", f.sentBytes[descriptor.TypeDocuments], 0)
}

// TestBytesOfChangingLists guards against sending a whole list for each change of it. The
// links of small instances were full of lists while backend servers were replaced.
func TestBytesOfChangingLists(t *testing.T) {
	f := newRoutedFleet(24)
	f.backends = listOf(150, 0)
	f.revision++
	f.run(5 * time.Second)
	clear(f.sentBytes)
	const steps = 20
	for step := range steps {
		f.backends = listOf(150, 3*(step+1))
		f.revision++
		f.run(300 * time.Millisecond)
	}
	total := 0
	for _, n := range f.sentBytes {
		total += n
	}
	seconds := float64(steps) * 0.3
	asserter.AtMost(t, "bytes an instance and second", float64(total)/seconds/float64(len(f.order)), controlBytesPerSecond)
	f.run(2 * time.Second)
	for _, id := range f.order {
		list, _ := f.instances[id].spreader.Get(descriptor.KindBackends, "ledger")
		asserter.True(t, id+" holds the present list", slices.Equal(list.Backends, f.backends))
	}
}

// manyRoutes is the number of routes of a large routing.
const manyRoutes = 1450

// largeRouting returns a routing with many routes, the last of them of the given version.
func largeRouting(version uint64) declarer.Routing {
	r := declarer.Routing{Version: version}
	for i := range manyRoutes {
		r.Routes = append(r.Routes, declarer.HostRoute{
			Host: "jepu9.example", Path: fmt.Sprintf("/lepu%d/2f/", i), Parts: []declarer.Part{{Service: "ledger", Weight: 1}},
			Class: declarer.Class{Name: fmt.Sprintf("r-%07d", i), Target: time.Second, Timeout: 3 * time.Second, Attempts: 3},
		})
	}
	r.Routes[manyRoutes-1].Class.Timeout = time.Duration(version) * time.Second
	return r
}

// TestBytesOfChangingRouting guards against sending all routes for each change of one. With
// the links of small instances full of routes, a version was in force too late.
func TestBytesOfChangingRouting(t *testing.T) {
	f := newRoutedFleet(24)
	f.routing = largeRouting
	f.version++
	f.run(10 * time.Second)
	clear(f.sentBytes)
	const steps = 20
	for range steps {
		f.version++
		f.run(300 * time.Millisecond)
	}
	seconds := float64(steps) * 0.3
	asserter.AtMost(t, "bytes an instance and second", float64(f.sentBytes[descriptor.TypeDocuments])/seconds/float64(len(f.order)), controlBytesPerSecond)
	f.run(2 * time.Second)
	for _, id := range f.order {
		asserter.Equal(t, "version at "+id, f.inForce(id), f.version)
		asserter.True(t, id+" holds the present routes", reflect.DeepEqual(f.instances[id].routes.Routing(), largeRouting(f.version)))
	}
}
