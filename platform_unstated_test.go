package main

import (
	"fmt"
	"testing"
	"time"

	"monsoonswitch/asserter"
)

// TestPlatformUnstatedRefusal guards against a status that promises callers that their work did
// not run, of a backend server that ran it or that does not say so.
func TestPlatformUnstatedRefusal(t *testing.T) {
	f := newPlatformFleet(t, 1, 2)
	for _, status := range []int{408, 429, 503} {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			for _, b := range f.backends {
				b.set(func(b *platformBackend) { b.status = status })
			}
			for i := range 3 {
				before, _ := f.counts()
				got, body := f.send(f.instances[0], "POST", "ledger.example", fmt.Sprint("/once/", status, "/", i), "work")
				after, maximum := f.counts()
				asserter.Equal(t, "status of non-idempotent work", got, 502)
				asserter.Equal(t, "body", body, "")
				asserter.Equal(t, "runs", after-before, 1)
				asserter.Equal(t, "runs of one request", maximum, 1)
			}
		})
	}
	t.Run("other failures are delivered unchanged", func(t *testing.T) {
		// The failures before may be waited for.
		time.Sleep(time.Second)
		for _, b := range f.backends {
			b.set(func(b *platformBackend) { b.status = 409 })
		}
		got, body := f.send(f.instances[0], "POST", "ledger.example", "/once/other", "work")
		asserter.Equal(t, "status", got, 409)
		asserter.Equal(t, "body", body, "POST /once/other by ledger")
	})
}

// counts returns the total number of runs and the largest number of runs of one request at all
// backend servers.
func (f *platformFleet) counts() (total, maximum int) {
	for _, b := range f.backends {
		n, m := b.counts()
		total += n
		maximum = max(maximum, m)
	}
	return total, maximum
}
