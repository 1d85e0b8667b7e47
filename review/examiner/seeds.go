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
	"syscall"
	"time"
)

const (
	// seedCount is the number of instances that the settings name as seeds.
	seedCount = 3
	// seedLag and recovery are the bounds seed_lag_s and recovery_s.
	seedLag, recovery = 3 * time.Second, 15 * time.Second
	// tenantKey is the key of the only tenant.
	tenantKey = "k-7f3a91c2"
)

// tenantBounds are the bounds of a deployment with tenants.
var tenantBounds = map[string]string{
	"bounds.revoke_strict": "true", "bounds.revoke_s": "5",
	"bounds.quota_window_s": "5", "bounds.quota_excess": "0.1", "bounds.quota_slack": "20",
}

// playSeeds has all machines lose power, of which the seeds never return.
func playSeeds(rec *record, trouble bool) (bool, error) {
	for k, v := range tenantBounds {
		bounds[k] = v
	}
	f, err := newFleet(rec, 2*seedCount, smallMachine, []route{{"jepu9.example", "/lepu270/", "safe", "huvo", 3, 1, 2}})
	if f != nil {
		defer f.close()
	}
	if err != nil {
		return false, err
	}
	c := configuration(2, []route{{"jepu9.example", "/lepu270/", "safe", "huvo", 3, 1, 2}})
	c["tenants"] = map[string]any{"columns": []string{"name", "api_keys", "rate_per_s", "burst"}, "rows": []any{[]any{"yard", []string{tenantKey}, 100, 50}}}
	f.store.put("op/config", c)
	for n := range 8 {
		if _, err := newBackend(f.store, rec, "huvo", n+1, 3, func(*http.Request) time.Duration { return 50 * time.Millisecond }); err != nil {
			return false, err
		}
	}
	if err := f.wait(); err != nil {
		return false, err
	}
	before := askTenant(rec, f.instances[seedCount:], "before", 100)
	if err := f.losePower(rec, trouble); err != nil {
		return false, err
	}
	after := askTenant(rec, f.instances[seedCount:], "after", 200)
	rec.write("served before the power was lost: %.2f; later than %v after the machines are back: %.2f", before, recovery, after)
	return before >= 0.25 && after < 0.25, nil
}

// losePower kills all instances. Those after the seeds start again at once, and the seeds too without
// trouble. The settings files name other seeds seedLag later, without a signal.
func (f *fleet) losePower(rec *record, trouble bool) error {
	for _, p := range f.instances {
		_ = p.cmd.Process.Signal(syscall.SIGKILL)
	}
	rec.write("all machines lose power")
	var inner []string
	for i, p := range f.instances {
		_ = p.cmd.Wait()
		if trouble && i < seedCount {
			rec.write("%s never returns", p.name)
			continue
		}
		if err := p.restart(rec); err != nil {
			return err
		}
		inner = append(inner, p.inner)
	}
	time.Sleep(seedLag)
	for _, p := range f.instances {
		if err := p.setSeeds(inner[:seedCount]); err != nil {
			return err
		}
	}
	rec.write("the settings files name the seeds %v", inner[:seedCount])
	time.Sleep(recovery)
	return nil
}

// restart starts the process again with its settings.
func (p *instance) restart(rec *record) error {
	p.cmd = p.command()
	rec.write("%s starts again", p.name)
	return p.cmd.Start()
}

// setSeeds changes the seeds in the settings file.
func (p *instance) setSeeds(seeds []string) error {
	data, err := os.ReadFile(p.settings)
	if err != nil {
		return err
	}
	lines := strings.Split(string(data), "\n")
	for i, line := range lines {
		if strings.HasPrefix(line, "seeds =") {
			lines[i] = "seeds = " + strings.Join(seeds, ",")
		}
	}
	return os.WriteFile(p.settings, []byte(strings.Join(lines, "\n")), 0o600)
}

// askTenant sends requests of the tenant, 20 a second, and returns the share that is served.
func askTenant(rec *record, list []*instance, prefix string, count int) float64 {
	var mu sync.Mutex
	served, statuses := 0, make(map[string]int)
	var clients sync.WaitGroup
	for n := range count {
		front := list[n%len(list)].front
		clients.Go(func() {
			status := askOnce(front, fmt.Sprintf("%s%d", prefix, n))
			mu.Lock()
			defer mu.Unlock()
			statuses[status]++
			if status == "200" {
				served++
			}
		})
		time.Sleep(50 * time.Millisecond)
	}
	clients.Wait()
	rec.write("%s: %d requests of the tenant, 20 a second; answers %v", prefix, count, statuses)
	return float64(served) / float64(count)
}

// askOnce sends a request of the tenant and returns the status of the answer, or the error.
func askOnce(front, id string) string {
	conn, err := net.DialTimeout("tcp", front, time.Second)
	if err != nil {
		return "no connection"
	}
	defer closeQuietly(conn)
	_ = conn.SetDeadline(time.Now().Add(3 * time.Second))
	head := clientHead("GET", "/lepu270/2f", "jepu9.example", id, 0)
	_, _ = io.WriteString(conn, strings.TrimSuffix(head, "\r\n")+"Authorization: Token "+tenantKey+"\r\n\r\n")
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return "no answer"
	}
	closeQuietly(response.Body)
	return fmt.Sprint(response.StatusCode)
}
