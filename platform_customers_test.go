package main

import (
	"fmt"
	"net/http"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"

	"monsoonswitch/asserter"
)

// keyedRouting returns a routing with the route /safe/ for customers, the public route /public/,
// and a customer for each key.
func keyedRouting(version int, keys ...string) map[string]any {
	r := routing(version, "ledger")
	routes := r["routes"].(map[string]any)
	rows := [][]any{}
	for _, path := range []string{"/safe/", "/public/"} {
		rows = append(rows, []any{"safe" + path, "ledger.example", path, "safe", 2, 1, 1, nil, 3, "ledger", path == "/public/"})
	}
	routes["columns"], routes["rows"] = append(routes["columns"].([]string), "public"), rows
	tenants := [][]any{}
	for _, k := range keys {
		tenants = append(tenants, []any{"owner-of-" + k, []string{k}, 1, nil, nil})
	}
	r["tenants"] = map[string]any{"columns": []string{"name", "api_keys", "priority", "rate_per_s", "burst"}, "rows": tenants}
	return r
}

// ask sends a request with a key to an instance and returns the status.
func (f *platformFleet) ask(p *platformInstance, path, key string) int {
	r, err := http.NewRequest("GET", "http://"+p.front+path, nil)
	asserter.NoError(f.t, "request", err)
	r.Host = "ledger.example"
	r.Header.Set("Request-Id", nextRequestID())
	r.Header.Set("Tenant-Id", "forged")
	if key != "" {
		r.Header.Set("Authorization", "Token "+key)
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

// eventually waits until a request with a key gets a status at all instances.
func (f *platformFleet) eventually(t *testing.T, path, key string, status int) {
	t.Helper()
	for _, p := range f.instances {
		asserter.Eventually(t, p.name, waitLimit, func() bool { return f.ask(p, path, key) == status })
	}
}

// TestPlatformCustomers guards against work without a valid key, keys and forged names at backend
// servers, and withdrawn keys that are accepted while the store can't be read.
func TestPlatformCustomers(t *testing.T) {
	f := newPlatformFleet(t, 3, 2)
	var mu sync.Mutex
	received := make(map[string][]string)
	for _, b := range f.backends {
		b.set(func(b *platformBackend) {
			b.onRequest = func(r *http.Request) {
				mu.Lock()
				defer mu.Unlock()
				received[r.URL.Path] = append(received[r.URL.Path], r.Header.Get("Authorization")+"/"+r.Header.Get("Tenant-Id"))
			}
		})
	}
	// sentOn fails the test unless all requests to a path reached backend servers without a key
	// and with the name of a customer.
	sentOn := func(t *testing.T, path, customer string) {
		t.Helper()
		mu.Lock()
		defer mu.Unlock()
		asserter.AtLeast(t, "requests", len(received[path]), 1)
		for _, got := range received[path] {
			asserter.Equal(t, "key and customer", got, "/"+customer)
		}
	}
	for _, p := range f.instances {
		file, err := os.OpenFile(p.settings, os.O_APPEND|os.O_WRONLY, 0o600)
		asserter.NoError(t, "open settings", err)
		_, err = file.WriteString("[customers]\nstrict = true\nwithdraw = 3\n")
		asserter.NoError(t, "write settings", err)
		asserter.NoError(t, "close settings", file.Close())
		asserter.NoError(t, "reload", p.cmd.Process.Signal(syscall.SIGHUP))
	}
	f.store.set("op/config", keyedRouting(2, "k1", "k2"))
	t.Run("an unknown key and none are refused", func(t *testing.T) {
		f.eventually(t, "/safe/1", "k9", 401)
		f.eventually(t, "/safe/1", "", 401)
	})
	t.Run("a known key is served, and the name of its customer is sent on", func(t *testing.T) {
		f.eventually(t, "/safe/k1", "k1", 200)
		sentOn(t, "/safe/k1", "owner-of-k1")
	})
	t.Run("a public route needs no key", func(t *testing.T) {
		for key, customer := range map[string]string{"": "", "k9": "", "k2": "owner-of-k2"} {
			f.eventually(t, "/public/"+key, key, 200)
			sentOn(t, "/public/"+key, customer)
		}
	})
	t.Run("a withdrawn key is refused, and a new one served", func(t *testing.T) {
		f.store.set("op/config", keyedRouting(3, "k2", "k3"))
		f.eventually(t, "/safe/1", "k1", 401)
		f.eventually(t, "/safe/1", "k3", 200)
		f.eventually(t, "/safe/1", "k2", 200)
	})
	t.Run("without the store, work with a key is refused and public work is served", func(t *testing.T) {
		f.store.setDown(true)
		// The watches in progress end before the change.
		time.Sleep(500 * time.Millisecond)
		f.store.set("op/config", keyedRouting(4, "k3"))
		withdrawn := time.Now()
		f.eventually(t, "/safe/1", "k2", 503)
		asserter.AtMost(t, "time", time.Since(withdrawn), 10*time.Second)
		for time.Since(withdrawn) < 3100*time.Millisecond {
			time.Sleep(20 * time.Millisecond)
		}
		for _, p := range f.instances {
			asserter.Equal(t, "withdrawn key at "+p.name, f.ask(p, "/safe/1", "k2"), 503)
			asserter.Equal(t, "valid key at "+p.name, f.ask(p, "/safe/1", "k3"), 503)
			asserter.Equal(t, "public route at "+p.name, f.ask(p, "/public/1", ""), 200)
		}
	})
	t.Run("after the outage valid keys are served again", func(t *testing.T) {
		f.store.setDown(false)
		f.eventually(t, "/safe/1", "k3", 200)
		f.eventually(t, "/safe/1", "k2", 401)
	})
	t.Run("a process that was frozen does not accept a key that was withdrawn meanwhile", func(t *testing.T) {
		p := f.instances[2]
		asserter.NoError(t, "stop", p.cmd.Process.Signal(syscall.SIGSTOP))
		f.store.set("op/config", keyedRouting(5, "k4"))
		time.Sleep(3100 * time.Millisecond)
		// The requests wait in the sockets of the process until it continues.
		statuses := make(chan int)
		for range 5 {
			go func() { statuses <- f.ask(p, "/safe/1", "k3") }()
		}
		time.Sleep(200 * time.Millisecond)
		asserter.NoError(t, "continue", p.cmd.Process.Signal(syscall.SIGCONT))
		for range 5 {
			status := <-statuses
			asserter.True(t, fmt.Sprintf("refused: %d", status), status == 503 || status == 401)
		}
		f.eventually(t, "/safe/1", "k4", 200)
		f.eventually(t, "/safe/1", "k3", 401)
	})
	t.Run("an instance that restarts serves again", func(t *testing.T) {
		p := f.instances[1]
		f.kill(p)
		f.start(p)
		f.eventually(t, "/safe/1", "k4", 200)
	})
}
