package main

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// The limit of the tenant and the rule for it, as on the pages.
const (
	tenantRate   = 40
	tenantBurst  = 10
	quotaWindow  = 5 * time.Second
	quotaAllowed = (tenantRate*5+tenantBurst)*1.1 + 20
	tenantKey    = "k-4711"
	// askRate is what the tenant asks at each instance, in requests a second.
	askRate = 20
	// cutInstances is the number of instances that are cut off from the others and restarted.
	cutInstances = 4
)

// dialer returns the instance whose process opened a connection, or nil.
func (f *fleet) dialer(c net.Conn) *instance {
	port := c.RemoteAddr().(*net.TCPAddr).Port
	table, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return nil
	}
	inode := ""
	for line := range strings.SplitSeq(string(table), "\n") {
		fields := strings.Fields(line)
		if len(fields) > 9 && strings.HasSuffix(fields[1], fmt.Sprintf(":%04X", port)) {
			inode = "socket:[" + fields[9] + "]"
		}
	}
	for _, p := range f.instances {
		files, _ := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", p.pid.Load()))
		for _, name := range files {
			if target, err := os.Readlink(name); err == nil && target == inode {
				return p
			}
		}
	}
	return nil
}

// mostInWindow returns the most runs in any quotaWindow.
func (f *fleet) mostInWindow(since time.Time) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	most, first := 0, 0
	for i, r := range f.runs {
		if r.at.Before(since) {
			first = i + 1
			continue
		}
		for r.at.Sub(f.runs[first].at) > quotaWindow {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// playQuota lets a tenant ask for more than its limit at all instances. With trouble, four of twelve
// instances, the seeds among them, are cut off from the others, and restarted.
func playQuota(f *fleet, trouble bool) (bool, error) {
	c := configuration(7, []route{
		{name: "r-stock", host: "jepu9.example", path: "/stock/", kind: "safe", service: "katalogoa", timeout: 4, attempts: 2},
	}, "katalogoa")
	c["tenants"] = map[string]any{
		"columns": []string{"name", "api_keys", "priority", "rate_per_s", "burst"},
		"rows":    [][]any{{"yard", []string{tenantKey}, 1, tenantRate, tenantBurst}},
	}
	f.store.put("op/config", c)
	if err := f.setUp("katalogoa", 12, 12); err != nil {
		return false, err
	}
	time.Sleep(2 * stableWindow)
	started := time.Now()
	stop := make(chan struct{})
	var group sync.WaitGroup
	for _, p := range f.instances {
		group.Go(func() { f.ask(p, stop) })
	}
	time.Sleep(2 * quotaWindow)
	f.note("most in %v before: %d, %.0f allowed", quotaWindow, f.mostInWindow(started), quotaAllowed)
	if trouble {
		f.partition(cutInstances)
		if err := f.restart(f.instances[:cutInstances]); err != nil {
			return false, err
		}
	}
	time.Sleep(5 * quotaWindow)
	close(stop)
	group.Wait()
	most := f.mostInWindow(started)
	f.note("most requests of the tenant that ran in %v: %d, %.0f allowed", quotaWindow, most, quotaAllowed)
	return float64(most) > quotaAllowed, nil
}

// partition cuts the first n instances off from the others. All reach the store, clients and backend servers.
func (f *fleet) partition(n int) {
	first := make(map[*instance]bool)
	for _, p := range f.instances[:n] {
		first[p] = true
	}
	for _, p := range f.instances {
		p.links.cut(func(from net.Conn) bool {
			d := f.dialer(from)
			return d != nil && first[d] == first[p]
		})
	}
	f.note("%d instances are cut off from the others", n)
}

// restart kills processes and starts them again.
func (f *fleet) restart(list []*instance) error {
	f.note("%d processes are killed and start again", len(list))
	for _, p := range list {
		p.kill()
	}
	for _, p := range list {
		if err := p.start(); err != nil {
			return err
		}
	}
	return nil
}

// ask sends requests of the tenant to an instance until stop is closed.
func (f *fleet) ask(to *instance, stop chan struct{}) {
	ticker := time.NewTicker(time.Second / askRate)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
			go f.sendWithKey(to, "GET", "jepu9.example", "/stock/x", tenantKey, 2*time.Second)
		}
	}
}
