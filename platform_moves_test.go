package main

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"monsoonswitch/asserter"
)

// movedRoutes returns a routing whose n routes of one host go to one service.
func movedRoutes(version, n int, service string) map[string]any {
	config := routing(version, "ledger", "billing")
	routes := config["routes"].(map[string]any)
	rows := routes["rows"].([][]any)
	for i := range n {
		rows = append(rows, []any{fmt.Sprintf("moved-%d", i), "moved.example", fmt.Sprintf("/r%d/", i), "safe", 2, 1, 1, nil, 3, service})
	}
	routes["rows"] = rows
	return config
}

// TestPlatformMovedRoutes guards against requests that meet a move of their route to another
// service being told that the route doesn't exist, though each version has it.
func TestPlatformMovedRoutes(t *testing.T) {
	const routeCount, callers, versions = 400, 24, 40
	f := newPlatformFleet(t, 1, 4)
	for i := range 4 {
		b := newPlatformBackend("billing", i)
		t.Cleanup(b.server.Close)
		f.store.set("servers/"+b.id, b.entry("ready"))
	}
	f.store.set("op/config", movedRoutes(2, routeCount, "ledger"))
	p := f.instances[0]
	asserter.Eventually(t, "the routes are in force", waitLimit, func() bool {
		status, _ := f.send(p, "GET", "moved.example", fmt.Sprintf("/r%d/", routeCount-1), "")
		return status == 200
	})
	done := make(chan struct{})
	var mu sync.Mutex
	statuses := make(map[int]int)
	var running sync.WaitGroup
	for c := range callers {
		running.Go(func() {
			for i := c; ; i++ {
				select {
				case <-done:
					return
				default:
				}
				status, _ := f.send(p, "GET", "moved.example", fmt.Sprintf("/r%d/x", i%routeCount), "")
				mu.Lock()
				statuses[status]++
				mu.Unlock()
			}
		})
	}
	for v := range versions {
		f.store.set("op/config", movedRoutes(3+v, routeCount, []string{"billing", "ledger"}[v%2]))
		time.Sleep(100 * time.Millisecond)
	}
	close(done)
	running.Wait()
	t.Logf("statuses: %v", statuses)
	asserter.Equal(t, "requests told that the route is unknown", statuses[404], 0)
	asserter.AtLeast(t, "requests served", statuses[200], 1000)
}
