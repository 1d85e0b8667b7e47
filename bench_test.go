package main

import (
	"bufio"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"monsoonswitch/asserter"
	"monsoonswitch/operator"
)

// usage is the resource usage of all running processes. The processor time cpu, the
// bytes sent over links and the store calls are totals since the start; resident is
// the current resident memory in bytes.
type usage struct {
	cpu       time.Duration
	sentBytes float64
	calls     uint64
	resident  float64
}

// ticksPerSecond is the unit of processor times in /proc.
const ticksPerSecond = 100

// usage reads the resource usage from /proc, the metrics and the store.
func (f *fleet) usage() usage {
	var u usage
	for _, p := range f.live() {
		stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
		asserter.NoError(f.t, "read stat", err)
		fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+2:]))
		user, _ := strconv.Atoi(fields[11])
		system, _ := strconv.Atoi(fields[12])
		pages, _ := strconv.Atoi(fields[21])
		u.cpu += time.Duration(user+system) * time.Second / ticksPerSecond
		u.resident += float64(pages * os.Getpagesize())
		u.sentBytes += f.metric(p, "monsoonswitch_links_sentbytes")
	}
	u.calls = f.store.Calls().Total()
	return u
}

// metric returns the value of a metric of a process.
func (f *fleet) metric(p *process, name string) float64 {
	f.t.Helper()
	response, err := http.Get("http://" + p.operators + operator.MetricsPath)
	asserter.NoError(f.t, "send request", err)
	defer response.Body.Close()
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		if text, ok := strings.CutPrefix(lines.Text(), name+" "); ok {
			value, err := strconv.ParseFloat(text, 64)
			asserter.NoError(f.t, "value of "+name, err)
			return value
		}
	}
	f.t.Fatalf("no metric %s", name)
	return 0
}

// BenchmarkFleet measures fleets of real processes without requests: control traffic,
// processor time, memory, store calls, and how long a new revision takes to be in
// force at all instances.
func BenchmarkFleet(b *testing.B) {
	const idlePeriod = 10 * time.Second
	const revisions = 10
	for _, n := range []int{6, 12, 24, 48} {
		b.Run(fmt.Sprintf("%d processes", n), func(b *testing.B) {
			f := newFleet(b, n)
			time.Sleep(3 * time.Second)
			before := f.usage()
			time.Sleep(idlePeriod)
			after := f.usage()
			instanceSeconds := float64(n) * idlePeriod.Seconds()
			b.ReportMetric((after.sentBytes-before.sentBytes)/instanceSeconds, "B/s/instance")
			b.ReportMetric(100*(after.cpu-before.cpu).Seconds()/instanceSeconds, "%core/instance")
			b.ReportMetric(after.resident/float64(n)/(1<<20), "MB-resident/instance")
			b.ReportMetric(float64(after.calls-before.calls)/idlePeriod.Seconds(), "storecalls/s")
			delays := hdrhistogram.New(1, 60_000, 3)
			for i := range revisions {
				s := fieldbook()
				s.Floor = 2 + i%3
				f.waitRevision(f.declare(s))
				for _, p := range f.live() {
					for _, v := range f.status(p).Services {
						asserter.NoError(b, "record", delays.RecordValue(1+int64(1000*v.Seconds)))
					}
				}
			}
			b.ReportMetric(float64(delays.ValueAtQuantile(50)), "ms-p50")
			b.ReportMetric(float64(delays.ValueAtQuantile(99)), "ms-p99")
			b.ReportMetric(0, "ns/op")
		})
	}
}
