package server_test

import (
	"context"
	"io"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"monsoonswitch/imitator"
)

// startFixture starts an instance with backend servers that answer immediately. It
// returns the addresses of the instance and of one backend server.
func startFixture(b *testing.B) (through, direct string) {
	f := oneInstance(b, 6, imitator.BackendOptions{Slots: 64, Backlog: 64})
	return f.Entries()[0], f.Backends[0].Listed.Address
}

var client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}

// ask sends one request and returns its latency.
func ask(b *testing.B, address string) time.Duration {
	start := time.Now()
	r, err := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://"+address+"/lines/1?size=256", nil)
	if err != nil {
		b.Fatal(err)
	}
	r.Header.Set("Service", "ledger")
	response, err := client.Do(r)
	if err != nil {
		b.Fatal(err)
	}
	_, err = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	if err != nil || response.StatusCode != http.StatusOK {
		b.Fatalf("status: got %d and %v, want 200", response.StatusCode, err)
	}
	return time.Since(start)
}

// measureFixedRate sends requests at a fixed rate, alternately through the instance and
// directly, and returns the latencies of both in microseconds.
func measureFixedRate(b *testing.B, through, direct string, rate int, length time.Duration) (t, d *hdrhistogram.Histogram) {
	t, d = hdrhistogram.New(1, 10_000_000, 3), hdrhistogram.New(1, 10_000_000, 3)
	var mu sync.Mutex
	var group sync.WaitGroup
	ticker := time.NewTicker(time.Second / time.Duration(2*rate))
	defer ticker.Stop()
	for i := range 2 * rate * int(length.Seconds()) {
		<-ticker.C
		group.Add(1)
		go func() {
			defer group.Done()
			address, h := through, t
			if i%2 == 1 {
				address, h = direct, d
			}
			took := ask(b, address)
			mu.Lock()
			defer mu.Unlock()
			_ = h.RecordValue(took.Microseconds())
		}()
	}
	group.Wait()
	return t, d
}

// BenchmarkAdded measures the latency that an instance adds. Callers and backend servers
// run in the same process.
func BenchmarkAdded(b *testing.B) {
	through, direct := startFixture(b)
	for _, rate := range []struct {
		name string
		rate int
	}{{"200 a second", 200}, {"2000 a second", 2000}} {
		b.Run(rate.name, func(b *testing.B) {
			t, d := measureFixedRate(b, through, direct, rate.rate, 5*time.Second)
			b.ReportMetric(float64(d.ValueAtQuantile(50)), "direct-p50-µs")
			b.ReportMetric(float64(d.ValueAtQuantile(99)), "direct-p99-µs")
			b.ReportMetric(float64(t.ValueAtQuantile(50)-d.ValueAtQuantile(50)), "added-p50-µs")
			b.ReportMetric(float64(t.ValueAtQuantile(99)-d.ValueAtQuantile(99)), "added-p99-µs")
			b.ReportMetric(0, "ns/op")
		})
	}
	for _, target := range []struct{ name, address string }{{"saturated through", through}, {"saturated direct", direct}} {
		b.Run(target.name, func(b *testing.B) { saturate(b, target.address) })
	}
}

// saturate sends requests from 64 goroutines for 4 s and reports throughput and latency.
func saturate(b *testing.B, address string) {
	const workers = 64
	const length = 4 * time.Second
	h := hdrhistogram.New(1, 10_000_000, 3)
	var mu sync.Mutex
	var group sync.WaitGroup
	used := cpuTime()
	end := time.Now().Add(length)
	for range workers {
		group.Add(1)
		go func() {
			defer group.Done()
			for time.Now().Before(end) {
				took := ask(b, address)
				mu.Lock()
				_ = h.RecordValue(took.Microseconds())
				mu.Unlock()
			}
		}()
	}
	group.Wait()
	used = cpuTime() - used
	b.ReportMetric(float64(h.TotalCount())/length.Seconds(), "requests/s")
	b.ReportMetric(float64(h.TotalCount())/used.Seconds(), "requests/core-s")
	b.ReportMetric(float64(h.ValueAtQuantile(50)), "p50-µs")
	b.ReportMetric(float64(h.ValueAtQuantile(99)), "p99-µs")
	b.ReportMetric(0, "ns/op")
}

// cpuTime returns the CPU time that the process has used.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
