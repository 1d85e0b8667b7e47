package main

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"monsoonswitch/asserter"
)

const (
	// restoredTime is the time after a restore of the store in which a test watches the fleet.
	restoredTime = 2 * time.Second
	// keptTime is longer than the time for which entries count that the copy lacks.
	keptTime = 3 * time.Second
	// restoredCalls bounds the calls of an instance to the store in one second after a restore: a
	// watch every 300 ms, pages of lists, and some that fail.
	restoredCalls = 30
)

// served sends n requests with a pause between them and returns how many got 200.
func (f *platformFleet) served(path string, n int) int {
	ok := 0
	for i := range n {
		status, _ := f.send(f.instances[i%len(f.instances)], "GET", "ledger.example", fmt.Sprint(path, i), "")
		if status == http.StatusOK {
			ok++
		}
		time.Sleep(20 * time.Millisecond)
	}
	return ok
}

// addBackend starts the n-th backend server of ledger without an entry.
func (f *platformFleet) addBackend(n int) *platformBackend {
	b := newPlatformBackend("ledger", n)
	f.t.Cleanup(b.server.Close)
	return b
}

// TestPlatformRestorePace guards against lists that follow each other without a pause: the revision
// of the reader never fell, so that each watch got 410 and each list ended in the same watch.
func TestPlatformRestorePace(t *testing.T) {
	f := newPlatformFleet(t, 2, 2)
	saved := f.store.copy()
	for i := range 20 {
		f.store.set("other/filler", i)
	}
	time.Sleep(listTime)
	f.store.restore(saved)
	before := f.store.count()
	time.Sleep(restoredTime)
	calls := f.store.count() - before
	t.Logf("%d calls in %v", calls, restoredTime)
	asserter.AtMost(t, "calls", calls, len(f.instances)*restoredCalls*int(restoredTime/time.Second))
	asserter.Equal(t, "served", f.served("/safe/pace/", 20), 20)
}

// TestPlatformRestoredLists guards against lists of a restored store that are not taken because
// their revisions are lower than before.
func TestPlatformRestoredLists(t *testing.T) {
	f := newPlatformFleet(t, 2, 1)
	saved := f.store.copy()
	for i := range 50 {
		f.store.set("other/filler", i)
	}
	f.store.set("servers/strange", map[string]any{"service": "ledger"})
	// The list is held with a revision over that of the copy.
	gone := f.addBackend(5)
	f.store.set("servers/"+gone.id, gone.entry("ready"))
	time.Sleep(listTime)
	f.store.drop("servers/" + gone.id)
	time.Sleep(listTime)
	f.store.restore(saved)
	fresh := f.addBackend(1)
	f.store.set("servers/"+fresh.id, fresh.entry("ready"))
	f.store.drop("servers/" + f.backends[0].id)
	asserter.Eventually(t, "the new backend server serves", waitLimit, func() bool {
		f.served("/safe/lists/", 4)
		total, _ := fresh.counts()
		return total > 0
	})
	time.Sleep(keptTime)
	before, _ := f.backends[0].counts()
	asserter.Equal(t, "served", f.served("/safe/listed/", 20), 20)
	after, _ := f.backends[0].counts()
	asserter.Equal(t, "requests at one that the restored store dropped", after-before, 0)
}

// TestPlatformRestoredDeparture guards against a backend server that left and is used again because
// the copy lists it.
func TestPlatformRestoredDeparture(t *testing.T) {
	f := newPlatformFleet(t, 2, 2)
	saved := f.store.copy()
	f.store.drop("servers/" + f.backends[0].id)
	time.Sleep(restoredTime)
	before, _ := f.backends[0].counts()
	f.store.restore(saved)
	time.Sleep(restoredTime)
	asserter.Equal(t, "served", f.served("/safe/departure/", 60), 60)
	after, _ := f.backends[0].counts()
	asserter.Equal(t, "requests at the one that left", after-before, 0)
	t.Run("one that is written again is used", func(t *testing.T) {
		f.backends[0].starts++
		f.store.set("servers/"+f.backends[0].id, f.backends[0].entry("ready"))
		asserter.Eventually(t, "it serves", waitLimit, func() bool {
			f.served("/safe/again/", 4)
			total, _ := f.backends[0].counts()
			return total > after
		})
	})
}

// TestPlatformRestoredConfiguration guards against an older configuration that replaces the one
// held, and against reads of it that count as proof that a route does not exist.
func TestPlatformRestoredConfiguration(t *testing.T) {
	f := newPlatformFleet(t, 2, 2)
	saved := f.store.copy()
	f.store.set("op/config", routing(2, "ledger", "later"))
	status := func(host string) int {
		s, _ := f.send(f.instances[0], "GET", host, "/safe/x", "")
		return s
	}
	asserter.Eventually(t, "the configuration is in force", waitLimit, func() bool { return status("later.example") == http.StatusServiceUnavailable })
	asserter.Equal(t, "an unknown route before", status("unknown.example"), http.StatusNotFound)
	f.store.restore(saved)
	time.Sleep(restoredTime)
	for range 10 {
		asserter.Equal(t, "a route of the later configuration", status("later.example"), http.StatusServiceUnavailable)
		asserter.Equal(t, "an unknown route while the store holds an older one", status("unknown.example"), http.StatusServiceUnavailable)
	}
	asserter.Equal(t, "served", f.served("/safe/configuration/", 20), 20)
	f.store.set("op/config", routing(2, "ledger", "later"))
	asserter.Eventually(t, "an unknown route after the configuration was written again", waitLimit, func() bool { return status("unknown.example") == http.StatusNotFound })
}

// TestPlatformRestoredEntries guards against dropping backend servers at once that the copy lacks:
// they write their entries again within two seconds.
func TestPlatformRestoredEntries(t *testing.T) {
	f := newPlatformFleet(t, 2, 1)
	f.store.drop("servers/" + f.backends[0].id)
	time.Sleep(listTime)
	saved := f.store.copy()
	f.backends = nil
	for i := range 2 {
		b := f.addBackend(1 + i)
		f.backends = append(f.backends, b)
		f.store.set("servers/"+b.id, b.entry("ready"))
	}
	asserter.Eventually(t, "the backend servers serve", waitLimit, func() bool { return f.served("/safe/before/", 4) == 4 })
	f.store.restore(saved)
	asserter.Equal(t, "served while the entries are missing", f.served("/safe/missing/", 60), 60)
	for _, b := range f.backends {
		f.store.set("servers/"+b.id, b.entry("ready"))
	}
	time.Sleep(restoredTime)
	asserter.Equal(t, "served after", f.served("/safe/after/", 20), 20)
}
