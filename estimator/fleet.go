package estimator

import (
	"fmt"
	"io"
	"runtime"
	"syscall"
	"time"

	"monsoonswitch/assembler"
	"monsoonswitch/configurer"
	"monsoonswitch/declarer"
	"monsoonswitch/imitator"
)

// FleetPoint is one measurement of a whole fleet without traffic.
type FleetPoint struct {
	Instances int
	// Bytes and Messages are the numbers per second that one instance sends over
	// its links.
	Bytes, Messages float64
	// Core is the processor time of one instance as a share of one core. It
	// includes the instance's part of the stand-ins.
	Core float64
	// Memory is the heap per instance in bytes, including the stand-ins.
	Memory float64
	// Calls is the number of store calls of the whole fleet per second, and
	// Waiting the number of watches that wait for a change.
	Calls   float64
	Waiting int
}

// settleTime is how long a fleet runs before it is measured.
const settleTime = 3 * time.Second

// measureFleet runs a fleet in this process and measures it over length.
func measureFleet(instances int, length time.Duration, log io.Writer) (FleetPoint, error) {
	fmt.Fprintf(log, "fleet of %d instances\n", instances)
	before := heap()
	f, err := assembler.New(assembler.Options{
		Domains:   []string{"a", "b", "c"},
		Instances: instances,
		Groups:    []assembler.Group{{Service: "ledger", Count: 6, Options: imitator.BackendOptions{Slots: 3, Median: time.Millisecond}}},
		Services: []declarer.Service{{
			Name:    "ledger",
			Floor:   4,
			Classes: []declarer.Class{{Name: "lookup", Target: time.Second, Idempotent: true}},
			Routes:  []declarer.Route{{Name: "all", Path: "/", Class: "lookup"}},
		}},
		Policy: configurer.PolicyStandard,
		Keep:   time.Second,
	})
	if err != nil {
		return FleetPoint{}, err
	}
	defer f.Close()
	time.Sleep(settleTime)
	p := FleetPoint{Instances: instances, Memory: (heap() - before) / float64(instances)}
	bytes, messages := sentTotals(f)
	calls := f.Store.Calls().Total()
	used := cpuTime()
	time.Sleep(length)
	used = cpuTime() - used
	bytes2, messages2 := sentTotals(f)
	n := float64(instances) * length.Seconds()
	p.Bytes = float64(bytes2-bytes) / n
	p.Messages = float64(messages2-messages) / n
	p.Core = used.Seconds() / n
	p.Calls = float64(f.Store.Calls().Total()-calls) / length.Seconds()
	p.Waiting = f.Store.Calls().Waiting
	runtime.KeepAlive(f)
	return p, nil
}

// sentTotals returns the bytes and messages that all instances have sent.
func sentTotals(f *assembler.Fleet) (uint64, uint64) {
	var bytes, messages uint64
	for _, s := range f.Servers() {
		t := s.Traffic()
		bytes += t.SentBytes
		messages += t.SentMessages
	}
	return bytes, messages
}

// cpuTime returns the processor time that this process has used.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
