package main

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"monsoonswitch/asserter"
	"monsoonswitch/soaker"
)

// platformFleet is a fleet of serve processes that read their routes from a stand-in
// of the operators' platform. The address is that of the platform's store.
type platformFleet struct {
	t         *testing.T
	store     *platformStore
	address   string
	backends  []*platformBackend
	instances []*platformInstance
	seeds     []string
	// limits are further lines of the section limits of the instances' settings.
	limits string
}

// platformInstance is one serve process, which can be restarted with the same
// settings file and addresses.
type platformInstance struct {
	name, front, questions, inner, settings string
	cmd                                     *exec.Cmd
}

// testPorts are outside of the ephemeral range: an outgoing connection of another process could
// take a port of that range before the instance listens on it.
var testPorts = soaker.NewPorts(0)

// freeAddress returns a loopback address on which no process listens.
func freeAddress(t *testing.T) string {
	address, err := testPorts.FreeAddress()
	asserter.NoError(t, "free address", err)
	return address
}

// routing returns a routing configuration. Each service gets a route for safe requests
// with three attempts and one for unsafe requests with one attempt.
func routing(version int, services ...string) map[string]any {
	var routes, list [][]any
	for _, s := range services {
		routes = append(routes, []any{"safe-" + s, s + ".example", "/safe/", "safe", 2, 1, 1, nil, 3, s})
		routes = append(routes, []any{"once-" + s, s + ".example", "/once/", "unsafe", 2, 1, 1, nil, 1, s})
		list = append(list, []any{s, "/health", 100})
	}
	return map[string]any{
		"version":  fmt.Sprintf("r%d", version),
		"routes":   map[string]any{"columns": []string{"name", "hostname", "path_prefix", "kind", "timeout_s", "target_latency_s", "priority", "traffic_split", "max_attempts", "service"}, "rows": routes},
		"services": map[string]any{"columns": []string{"name", "health_path", "max_connections"}, "rows": list},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 1 << 20, "header_timeout_s": 3, "idle_timeout_s": 15},
	}
}

// newPlatformFleet starts a fleet and waits until every instance serves requests. The
// store also holds a malformed entry, which the instances have to ignore.
func newPlatformFleet(t *testing.T, instances, backends int) *platformFleet {
	return newLimitedFleet(t, instances, backends, "")
}

// newLimitedFleet does the same with further lines of the section limits.
func newLimitedFleet(t *testing.T, instances, backends int, limits string) *platformFleet {
	f := &platformFleet{t: t, store: newPlatformStore(), limits: limits}
	server := httptest.NewServer(f.store)
	t.Cleanup(server.Close)
	f.address = strings.TrimPrefix(server.URL, "http://")
	f.store.set("op/config", routing(1, "ledger"))
	f.store.set("servers/strange", map[string]any{"service": 7, "slots": "many"})
	for i := range backends {
		b := newPlatformBackend("ledger", i)
		t.Cleanup(b.server.Close)
		f.backends = append(f.backends, b)
		f.store.set("servers/"+b.id, b.entry("ready"))
	}
	for i := range instances {
		f.add(i)
	}
	for _, p := range f.instances {
		f.start(p)
	}
	t.Cleanup(f.killAll)
	f.waitServed()
	return f
}

// add writes the settings of the i-th instance.
func (f *platformFleet) add(i int) {
	p := &platformInstance{name: fmt.Sprintf("entry-%d", i), front: freeAddress(f.t), questions: freeAddress(f.t), inner: freeAddress(f.t)}
	f.seeds = append(f.seeds, p.inner)
	text := fmt.Sprintf(`[instance]
name = %s
domain = a
[callers]
listen = %s
questions = %s
keep = 2s
[inner]
listen = %s
key = a-key-for-the-tests
seeds = %s
[operators]
listen = 127.0.0.1:0
[platform]
address = %s
source = routing
patience = 0s
wait = 300ms
gap = 100ms
[log]
format = json
[limits]
grace = 6
%s[retries]
ratio = 0.2
extra = 1000
window = 10
`, p.name, p.front, p.questions, p.inner, strings.Join(f.seeds[:min(3, len(f.seeds))], ","), f.address, f.limits)
	p.settings = filepath.Join(f.t.TempDir(), p.name+".ini")
	asserter.NoError(f.t, "write settings", os.WriteFile(p.settings, []byte(text), 0o600))
	f.instances = append(f.instances, p)
}

// start starts the process of an instance.
func (f *platformFleet) start(p *platformInstance) {
	log, err := os.OpenFile(p.settings+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	asserter.NoError(f.t, "open log", err)
	p.cmd = exec.Command(binary, "serve", "--settings", p.settings)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	asserter.NoError(f.t, "start", p.cmd.Start())
	asserter.NoError(f.t, "close log", log.Close())
}

// lastLines returns the end of the log of an instance.
func (p *platformInstance) lastLines() string {
	data, err := os.ReadFile(p.settings + ".log")
	if err != nil {
		return err.Error()
	}
	return string(data[max(0, len(data)-1000):])
}

// kill kills a process and waits until it exits.
func (f *platformFleet) kill(p *platformInstance) {
	_ = p.cmd.Process.Kill()
	_ = p.cmd.Wait()
}

func (f *platformFleet) killAll() {
	for _, p := range f.instances {
		f.kill(p)
	}
}

// waitServed waits until every instance serves requests and resolves addresses.
func (f *platformFleet) waitServed() {
	f.t.Helper()
	for _, p := range f.instances {
		f.t.Cleanup(func() {
			if f.t.Failed() {
				f.t.Logf("log of %s: %s", p.name, p.lastLines())
			}
		})
		asserter.Eventually(f.t, p.name+" serves", waitLimit, func() bool {
			status, _ := f.get(p, "/resolve?name=ledger.example&zone=a")
			served, _ := f.send(p, "GET", "ledger.example", "/safe/x", "")
			return status == 200 && served == 200
		})
	}
}

// get sends a GET request to the listener for questions of an instance.
func (f *platformFleet) get(p *platformInstance, path string) (int, string) {
	return f.do(p.questions, "GET", "", path, "", 2000)
}

// requests counts the requests sent, to give each its own identifier.
var requests struct {
	mu sync.Mutex
	n  int
}

// nextRequestID returns an identifier that no other request has.
func nextRequestID() string {
	requests.mu.Lock()
	defer requests.mu.Unlock()
	requests.n++
	return fmt.Sprintf("id%d", requests.n)
}

// send sends a request with a deadline of 2 s and returns the status and the body.
func (f *platformFleet) send(p *platformInstance, method, host, path, body string) (int, string) {
	return f.do(p.front, method, host, path, body, 2000)
}

// do sends a request to an address, with an identifier of its own and a deadline in
// milliseconds. It returns the status and the body, or 0 and the error.
func (f *platformFleet) do(address, method, host, path, body string, deadlineMillis int) (int, string) {
	id := nextRequestID()
	r, err := http.NewRequest(method, "http://"+address+path, strings.NewReader(body))
	asserter.NoError(f.t, "request", err)
	r.Host = host
	r.Header.Set("Request-Id", id)
	r.Header.Set("Deadline-Ms", fmt.Sprint(deadlineMillis))
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, err.Error()
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err.Error()
	}
	return response.StatusCode, string(data)
}

// TestPlatformServes checks that requests follow the routes in the platform's store,
// that older routing versions are ignored, and that instances recover when the store
// no longer holds the history that they watch.
func TestPlatformServes(t *testing.T) {
	f := newPlatformFleet(t, 3, 4)
	t.Run("a request is routed by host and path and its response is unchanged", func(t *testing.T) {
		status, body := f.send(f.instances[1], "POST", "ledger.example:80", "/once/a", "work")
		asserter.Equal(t, "status", status, 200)
		asserter.Equal(t, "body", body, "POST /once/a by ledger")
	})
	t.Run("a missing route is answered with 404", func(t *testing.T) {
		asserter.Eventually(t, "status 404", waitLimit, func() bool {
			status, _ := f.send(f.instances[0], "GET", "ledger.example", "/other/", "")
			return status == 404
		})
	})
	t.Run("a new route is in force at all instances and older versions are ignored", func(t *testing.T) {
		b := newPlatformBackend("billing", 0)
		t.Cleanup(b.server.Close)
		f.store.set("servers/"+b.id, b.entry("ready"))
		f.store.set("op/config", routing(4, "ledger", "billing"))
		for _, p := range f.instances {
			asserter.Eventually(t, p.name, waitLimit, func() bool {
				status, _ := f.send(p, "GET", "billing.example", "/safe/", "")
				return status == 200
			})
		}
		f.store.set("op/config", routing(3, "ledger"))
		time.Sleep(time.Second)
		for _, p := range f.instances {
			status, _ := f.send(p, "GET", "billing.example", "/safe/", "")
			asserter.Equal(t, "after an older version", status, 200)
		}
	})
	t.Run("the store drops its history", func(t *testing.T) {
		f.store.dropHistory()
		b := newPlatformBackend("audit", 0)
		t.Cleanup(b.server.Close)
		f.store.set("servers/"+b.id, b.entry("ready"))
		f.store.set("op/config", routing(6, "ledger", "billing", "audit"))
		for _, p := range f.instances {
			asserter.Eventually(t, p.name, waitLimit, func() bool {
				status, _ := f.send(p, "GET", "audit.example", "/safe/", "")
				return status == 200
			})
		}
	})
}

// TestPlatformBackends checks how instances treat backend servers that shed, fail,
// drain or have moved: no request is lost or runs twice.
func TestPlatformBackends(t *testing.T) {
	f := newPlatformFleet(t, 3, 5)
	t.Run("shed requests did not run and are served by other backend servers", func(t *testing.T) {
		// A started instance has an empty retry budget. That of a slot owner grows with time.
		time.Sleep(2 * time.Second)
		before, _ := f.counts()
		f.backends[0].set(func(b *platformBackend) { b.shed = true })
		served := f.sendInTurn(t, 40)
		after, _ := f.counts()
		asserter.Equal(t, "runs", after-before, served)
		f.backends[0].set(func(b *platformBackend) { b.shed = false })
	})
	t.Run("a gray backend server gets few requests, and none runs twice", func(t *testing.T) {
		f.backends[1].set(func(b *platformBackend) { b.gray = true })
		before, _ := f.backends[1].counts()
		for i := range 150 {
			f.send(f.instances[i%3], "POST", "ledger.example", "/once/a", "work")
		}
		after, _ := f.backends[1].counts()
		asserter.AtMost(t, "requests at the gray backend server, of 150", after-before, 15)
		_, maximum := f.counts()
		asserter.Equal(t, "runs of one request", maximum, 1)
		f.backends[1].set(func(b *platformBackend) { b.gray = false })
	})
	t.Run("a draining backend server gets no new requests, even after an outdated entry", func(t *testing.T) {
		b := f.backends[2]
		f.store.set("servers/"+b.id, b.entry("draining"))
		asserter.Eventually(t, "no new requests", waitLimit, func() bool {
			before, _ := b.counts()
			for i := range 30 {
				f.send(f.instances[i%3], "GET", "ledger.example", "/safe/a", "")
			}
			after, _ := b.counts()
			return before == after
		})
		f.store.set("servers/"+b.id, b.entry("ready"))
		time.Sleep(time.Second)
		since := time.Now()
		for i := range 90 {
			f.send(f.instances[i%3], "GET", "ledger.example", "/safe/a", "")
		}
		f.store.drop("servers/" + b.id)
		time.Sleep(time.Second)
		for i := range 30 {
			f.send(f.instances[i%3], "GET", "ledger.example", "/safe/a", "")
		}
		b.mu.Lock()
		defer b.mu.Unlock()
		asserter.True(t, "no requests after the outdated entry", b.last.Before(since))
	})
	t.Run("an address that is now used by another backend server", func(t *testing.T) {
		b := f.backends[3]
		b.set(func(b *platformBackend) { b.id = "i-other" })
		before, _ := f.counts()
		served := f.sendInTurn(t, 40)
		after, _ := f.counts()
		asserter.Equal(t, "runs", after-before, served)
	})
}

// TestPlatformOutage checks that instances keep serving while the platform's store is
// down, that a restarted instance gets its state from the others, and that a missing
// route is then answered with 503, since the routes may be outdated.
func TestPlatformOutage(t *testing.T) {
	f := newPlatformFleet(t, 4, 3)
	f.store.setDown(true)
	t.Run("instances keep serving", func(t *testing.T) {
		time.Sleep(1500 * time.Millisecond)
		for _, p := range f.instances {
			status, _ := f.send(p, "POST", "ledger.example", "/once/a", "work")
			asserter.Equal(t, p.name, status, 200)
		}
	})
	t.Run("a restarted instance gets its state from the others", func(*testing.T) {
		f.kill(f.instances[3])
		f.start(f.instances[3])
		f.waitServed()
	})
	t.Run("a missing route is answered with 503", func(t *testing.T) {
		status, _ := f.send(f.instances[0], "GET", "ledger.example", "/new/", "")
		asserter.Equal(t, "status", status, 503)
	})
	t.Run("all instances restart once the store is available", func(*testing.T) {
		f.killAll()
		for _, p := range f.instances {
			f.start(p)
		}
		f.store.setDown(false)
		f.waitServed()
	})
}

// TestPlatformShutdown checks that an instance completes its requests in flight during
// a shutdown, and that it becomes unready and is no longer resolved by the others.
func TestPlatformShutdown(t *testing.T) {
	f := newPlatformFleet(t, 3, 4)
	for _, b := range f.backends {
		b.set(func(b *platformBackend) { b.serviceTime = 300 * time.Millisecond })
	}
	var group sync.WaitGroup
	var mu sync.Mutex
	failed := 0
	leaving := f.instances[0]
	for range 6 {
		group.Add(1)
		go func() {
			defer group.Done()
			status, _ := f.do(leaving.front, "POST", "ledger.example", "/once/a", "work", 30000)
			mu.Lock()
			defer mu.Unlock()
			if status != 200 {
				failed++
			}
		}()
	}
	time.Sleep(100 * time.Millisecond)
	asserter.NoError(t, "signal", leaving.cmd.Process.Signal(syscall.SIGTERM))
	asserter.Eventually(t, "not ready", waitLimit, func() bool {
		status, _ := f.get(leaving, "/readiness")
		return status == 503
	})
	group.Wait()
	asserter.Equal(t, "failed requests", failed, 0)
	asserter.NoError(t, "exit", leaving.cmd.Wait())
	asserter.Eventually(t, "others no longer resolve to it", waitLimit, func() bool {
		_, body := f.get(f.instances[1], "/resolve?name=x&zone=a")
		return body != "" && !strings.Contains(body, leaving.front)
	})
}

// TestPlatformHangup guards against SIGHUP, by which the platform says that the settings
// file changed, ending the process and the requests in flight.
func TestPlatformHangup(t *testing.T) {
	f := newPlatformFleet(t, 2, 2)
	for _, b := range f.backends {
		b.set(func(b *platformBackend) { b.serviceTime = 500 * time.Millisecond })
	}
	hangUp := func(t *testing.T) {
		t.Helper()
		status := make(chan int, 1)
		go func() {
			s, _ := f.do(f.instances[0].front, "POST", "ledger.example", "/once/a", "work", 5000)
			status <- s
		}()
		time.Sleep(100 * time.Millisecond)
		asserter.NoError(t, "signal", f.instances[0].cmd.Process.Signal(syscall.SIGHUP))
		asserter.Equal(t, "status of the request in flight", <-status, 200)
		ready, _ := f.get(f.instances[0], "/readiness")
		asserter.Equal(t, "status of the readiness check", ready, 200)
	}
	t.Run("with unchanged settings", hangUp)
	t.Run("with settings that are not valid", func(t *testing.T) {
		asserter.NoError(t, "write", os.WriteFile(f.instances[0].settings, []byte("[instance]\nname = ?\n"), 0o600))
		hangUp(t)
	})
}

// TestPlatformLogReaderGone guards against SIGPIPE ending an instance when the reader of its
// log is gone.
func TestPlatformLogReaderGone(t *testing.T) {
	f := newPlatformFleet(t, 1, 2)
	p := f.instances[0]
	f.kill(p)
	r, w, err := os.Pipe()
	asserter.NoError(t, "pipe", err)
	p.cmd = exec.Command(binary, "serve", "--settings", p.settings)
	p.cmd.Stdout = w
	asserter.NoError(t, "start", p.cmd.Start())
	asserter.NoError(t, "close", w.Close())
	f.waitServed()
	asserter.NoError(t, "close", r.Close())
	for range 10 {
		status, _ := f.send(p, "POST", "ledger.example", "/unknown/", "")
		asserter.Equal(t, "status of a request that is logged", status, 404)
	}
	asserter.NoError(t, "signal", p.cmd.Process.Signal(syscall.SIGHUP))
	time.Sleep(200 * time.Millisecond)
	status, _ := f.send(p, "GET", "ledger.example", "/safe/x", "")
	asserter.Equal(t, "status", status, 200)
}
