package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"monsoonswitch/asserter"
)

const (
	// crowdMemory and crowdDescriptors are the bounds of the settings under which crowds are met:
	// two thirds of the memory of the smallest machines and a tenth of their descriptors.
	crowdMemory, crowdDescriptors = 96_000_000, 400
	// samplePause is the time between two counts of descriptors.
	samplePause = 20 * time.Millisecond
)

// crowdLimits are the settings under which crowds are met.
var crowdLimits = fmt.Sprintf("memory = %d\ndescriptors = %d\nheadtimeout = 3s\nidletimeout = 15s\n", crowdMemory, crowdDescriptors)

// descriptors returns the number of file descriptors that the process of an instance has open, or
// 0 if the process has ended.
func (p *platformInstance) descriptors() int {
	list, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	return len(list)
}

// watchDescriptors counts descriptors until stop is closed, and returns the largest number through
// the result.
func (p *platformInstance) watchDescriptors(stop <-chan struct{}) *atomic.Int64 {
	peak := new(atomic.Int64)
	go func() {
		for {
			peak.Store(max(peak.Load(), int64(p.descriptors())))
			select {
			case <-stop:
				return
			case <-time.After(samplePause):
			}
		}
	}()
	return peak
}

// newCrowdedFleet starts an instance with the limits for crowds and a backend server that keeps
// requests.
func newCrowdedFleet(t *testing.T) *platformFleet {
	f := newLimitedFleet(t, 1, 1, crowdLimits)
	b := newEndlessBackend(t)
	entry := f.backends[0].entry("ready")
	entry["address"], entry["slots"] = b.listener.Addr().String(), 64
	f.store.set("servers/endless", entry)
	f.store.drop("servers/" + f.backends[0].id)
	asserter.Eventually(t, "only the endless backend server is used", waitLimit, func() bool {
		_, body := f.send(f.instances[0], "GET", "ledger.example", "/safe/first", "")
		return body == "endless"
	})
	return f
}

// meetCrowd sends a crowd to each of some listeners of an instance, and checks that the process goes
// on within the bounds of its settings and answers an ordinary request afterwards.
func (f *platformFleet) meetCrowd(t *testing.T, size int, kind sender, addresses ...string) {
	p := f.instances[0]
	before := p.peakMemory(t)
	stop := make(chan struct{})
	descriptors := p.watchDescriptors(stop)
	var crowds []*crowd
	for _, address := range addresses {
		crowds = append(crowds, startCrowd(address, size, kind))
	}
	time.Sleep(crowdTime)
	opened := int64(0)
	for _, c := range crowds {
		c.end()
		opened += c.opened.Load()
	}
	close(stop)
	asserter.AtLeast(t, "descriptors of a process that goes on", p.descriptors(), 1)
	peak := p.peakMemory(t)
	t.Logf("peak of %d MB before and %d MB after, at most %d descriptors, %d connections opened", before/1e6, peak/1e6, descriptors.Load(), opened)
	asserter.AtMost(t, "peak memory in bytes", peak, crowdMemory)
	asserter.AtMost(t, "descriptors", int(descriptors.Load()), crowdDescriptors)
	asserter.Eventually(t, "an ordinary request is answered", waitLimit, func() bool {
		status, _ := f.send(p, "GET", "ledger.example", "/safe/after", "")
		return status == 200
	})
	asserter.True(t, "the listener for questions answers", f.alive(p))
}

// TestUntrustedCallers guards against callers that make an instance run out of memory or of file
// descriptors, and end with the requests of all others. Crowds come one after the other, each to an
// instance of its own.
func TestUntrustedCallers(t *testing.T) {
	for _, kind := range append(headSenders(pathHeld), bodySenders()...) {
		t.Run(kind.name, func(t *testing.T) {
			f := newCrowdedFleet(t)
			f.meetCrowd(t, crowdSize, kind, f.instances[0].front)
		})
	}
}

// TestUntrustedPeers guards against the same at the listeners for questions, for other instances
// and for operators.
func TestUntrustedPeers(t *testing.T) {
	for _, kind := range headSenders("/dump") {
		t.Run(kind.name, func(t *testing.T) {
			f := newCrowdedFleet(t)
			p := f.instances[0]
			f.meetCrowd(t, smallCrowdSize, kind, p.questions, p.inner, p.operators(t))
		})
	}
}

// ordinaryConnections is the number of connections of TestOrdinaryCallers: more than come to one
// instance of the smallest machines. ordinaryAtOnce of them have a request at a time.
const ordinaryConnections, ordinaryAtOnce = 1500, 64

// TestOrdinaryCallers guards against bounds that callers within the limits of the operators' platform
// meet: they keep many connections to an instance of the smallest machines and send heads of 16 KiB.
func TestOrdinaryCallers(t *testing.T) {
	f := newLimitedFleet(t, 1, 1, "memory = 136000000\ndescriptors = 2870\nheadtimeout = 3s\nidletimeout = 15s\n")
	entry := f.backends[0].entry("ready")
	entry["slots"] = ordinaryAtOnce
	f.store.set("servers/"+f.backends[0].id, entry)
	p := f.instances[0]
	connections := make(chan net.Conn, ordinaryConnections)
	for range ordinaryConnections {
		c, err := net.Dial("tcp", p.front)
		asserter.NoError(t, "dial", err)
		t.Cleanup(func() { _ = c.Close() })
		connections <- c
	}
	head := startOf("GET", "/safe/ordinary")
	for i := 0; len(head) < crowdHead-1000; i++ {
		head += fmt.Sprintf("Line-%d: %s\r\n", i, strings.Repeat("v", 400))
	}
	head += "\r\n"
	for round := range 2 {
		var running sync.WaitGroup
		var mu sync.Mutex
		statuses := make(map[string]int)
		for range ordinaryAtOnce {
			running.Go(func() {
				for range ordinaryConnections / ordinaryAtOnce {
					status := askOn(<-connections, head, connections)
					mu.Lock()
					statuses[status]++
					mu.Unlock()
				}
			})
		}
		running.Wait()
		asserter.Equal(t, fmt.Sprintf("statuses of round %d", round), statuses, map[string]int{"200 OK": ordinaryConnections / ordinaryAtOnce * ordinaryAtOnce})
	}
	t.Logf("peak of %d MB, %d descriptors", p.peakMemory(t)/1e6, p.descriptors())
	asserter.AtMost(t, "peak memory in bytes", p.peakMemory(t), 136_000_000)
}

// askOn sends a request on a connection, which it puts behind the others then, and returns the status
// of the answer or the error.
func askOn(c net.Conn, head string, connections chan<- net.Conn) string {
	defer func() { connections <- c }()
	_ = c.SetDeadline(time.Now().Add(waitLimit))
	if _, err := io.WriteString(c, head); err != nil {
		return err.Error()
	}
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return err.Error()
	}
	_, _ = io.Copy(io.Discard, response.Body)
	return response.Status
}
