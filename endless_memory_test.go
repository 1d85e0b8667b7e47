package main

import (
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"monsoonswitch/asserter"
)

const (
	// smallestMemory is the memory of the smallest instances, in bytes.
	smallestMemory = 184 << 20
	// endlessRequests is the number of requests at once whose answers never end.
	endlessRequests = 400
)

// peakMemory returns the most memory that the process of an instance has held, in bytes.
func (p *platformInstance) peakMemory(t *testing.T) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	asserter.NoError(t, "read status of the process", err)
	_, rest, ok := strings.Cut(string(data), "VmHWM:")
	asserter.True(t, "status has the peak", ok)
	kilobytes, err := strconv.Atoi(strings.Fields(rest)[0])
	asserter.NoError(t, "peak", err)
	return kilobytes << 10
}

// TestEndlessMemory guards against an instance that keeps the bytes of answers without end until
// it runs out of memory, with callers that read nothing, and ends with the requests of others.
func TestEndlessMemory(t *testing.T) {
	f := newPlatformFleet(t, 1, 1)
	p := f.instances[0]
	b := newEndlessBackend(t)
	entry := f.backends[0].entry("ready")
	entry["address"], entry["slots"] = b.listener.Addr().String(), endlessRequests
	f.store.set("servers/endless", entry)
	f.store.drop("servers/" + f.backends[0].id)
	asserter.Eventually(t, "only the endless backend server is used", waitLimit, func() bool {
		_, body := f.send(p, "GET", "ledger.example", "/safe/first", "")
		return body == "endless"
	})
	before := p.peakMemory(t)
	var running sync.WaitGroup
	for answer := range endlessAnswers {
		for i := range endlessRequests / len(endlessAnswers) {
			running.Go(func() {
				conn, err := net.Dial("tcp", p.front)
				if err != nil {
					t.Errorf("dial: got error %v, want none", err)
					return
				}
				defer func() { _ = conn.Close() }()
				_, _ = fmt.Fprintf(conn, "GET /safe/%d/%s HTTP/1.1\r\nHost: ledger.example\r\nRequest-Id: m-%s-%d\r\nDeadline-Ms: 2000\r\n\r\n", i, answer, answer, i)
				time.Sleep(routeTimeout + 2*endingTime)
			})
		}
	}
	running.Wait()
	peak := p.peakMemory(t)
	b.mu.Lock()
	answered := len(b.closedAt)
	b.mu.Unlock()
	t.Logf("peak of %d MB before and %d MB after %d requests, %d of them answered without end", before>>20, peak>>20, endlessRequests, answered)
	asserter.AtLeast(t, "requests answered without end", answered, endlessRequests/4)
	asserter.AtMost(t, "peak memory in bytes", peak, smallestMemory)
	asserter.True(t, "the process goes on", f.alive(p))
}

// alive reports whether the process of an instance answers.
func (f *platformFleet) alive(p *platformInstance) bool {
	status, _ := f.get(p, "/readiness")
	return status == 200
}
