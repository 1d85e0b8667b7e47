package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"monsoonswitch/asserter"
)

// usage is what processes used so far.
type usage struct {
	cpu     time.Duration
	sent    float64
	calls   uint64
	resides float64
}

// clockTicks is the number of ticks a second in /proc.
const clockTicks = 100

func (f *fleet) usage() usage {
	var u usage
	for _, p := range f.live() {
		stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
		asserter.NoError(f.t, "read stat", err)
		fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+2:]))
		user, _ := strconv.Atoi(fields[11])
		system, _ := strconv.Atoi(fields[12])
		pages, _ := strconv.Atoi(fields[21])
		u.cpu += time.Duration(user+system) * time.Second / clockTicks
		u.resides += float64(pages * os.Getpagesize())
		var m map[string]struct {
			Value float64 `json:"value"`
		}
		get(f.t, p.operators, "/metrics", &m)
		u.sent += m["links.sentbytes"].Value
	}
	u.calls = f.store.Calls().Total()
	return u
}

// BenchmarkFleet measures fleets of real processes without traffic: control
// traffic, processor time, memory, store calls, and how long a revision takes to
// be in force everywhere.
func BenchmarkFleet(b *testing.B) {
	const quiet = 10 * time.Second
	const revisions = 10
	for _, n := range []int{6, 12, 24, 48} {
		b.Run(fmt.Sprintf("%d processes", n), func(b *testing.B) {
			f := newFleet(b, n)
			time.Sleep(3 * time.Second)
			before := f.usage()
			time.Sleep(quiet)
			after := f.usage()
			share := float64(n) * quiet.Seconds()
			b.ReportMetric((after.sent-before.sent)/share, "B/s/instance")
			b.ReportMetric(100*(after.cpu-before.cpu).Seconds()/share, "%core/instance")
			b.ReportMetric(after.resides/float64(n)/(1<<20), "MB-resident/instance")
			b.ReportMetric(float64(after.calls-before.calls)/quiet.Seconds(), "storecalls/s")
			spread := hdrhistogram.New(1, 60_000, 3)
			for i := range revisions {
				s := fieldbook()
				s.Floor = 2 + i%3
				f.waitRevision(f.declare(s))
				for _, p := range f.live() {
					for _, v := range f.status(p).Services {
						asserter.NoError(b, "record", spread.RecordValue(1+int64(1000*v.Seconds)))
					}
				}
			}
			b.ReportMetric(float64(spread.ValueAtQuantile(50)), "ms-p50")
			b.ReportMetric(float64(spread.ValueAtQuantile(99)), "ms-p99")
			b.ReportMetric(0, "ns/op")
		})
	}
}
