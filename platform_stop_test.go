package main

import (
	"syscall"
	"testing"
	"time"

	"monsoonswitch/asserter"
)

// TestPlatformStopWithinGrace guards against a process that is still there at the end of the grace
// time, when the platform kills it, because a backend server does not answer.
func TestPlatformStopWithinGrace(t *testing.T) {
	const grace = 6 * time.Second
	f := newPlatformFleet(t, 2, 2)
	for _, b := range f.backends {
		b.set(func(b *platformBackend) { b.serviceTime = 2 * grace })
	}
	config := routing(2, "ledger")
	for _, row := range config["routes"].(map[string]any)["rows"].([][]any) {
		row[4] = 60 // timeout_s
	}
	f.store.set("op/config", config)
	time.Sleep(time.Second)
	p := f.instances[0]
	go f.do(p.front, "POST", "ledger.example", "/once/a", "work", 60000)
	time.Sleep(200 * time.Millisecond)
	started := time.Now()
	asserter.NoError(t, "signal", p.cmd.Process.Signal(syscall.SIGTERM))
	go f.do(p.front, "POST", "ledger.example", "/once/b", "work", 60000)
	asserter.NoError(t, "exit", p.cmd.Wait())
	t.Logf("exit after %v", time.Since(started))
	asserter.AtMost(t, "time until the exit", time.Since(started), grace)
}
