package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	toxiproxy "github.com/Shopify/toxiproxy/v2"
	"github.com/rs/zerolog"

	"monsoonswitch/asserter"
	"monsoonswitch/caller"
	"monsoonswitch/declarer"
	"monsoonswitch/descriptor"
	"monsoonswitch/imitator"
	"monsoonswitch/operator"
	"monsoonswitch/storer"
)

// binary is the path of the program under test.
var binary string

func TestMain(m *testing.M) {
	folder, err := os.MkdirTemp("", "monsoonswitch")
	if err == nil {
		binary = filepath.Join(folder, "monsoonswitch")
		err = exec.Command("go", "build", "-o", binary, ".").Run()
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "build:", err)
		os.Exit(1)
	}
	code := m.Run()
	_ = os.RemoveAll(folder)
	os.Exit(code)
}

// waitLimit bounds the wait for an expected condition. It is generous, since it is no
// check of speed.
const waitLimit = 60 * time.Second

// process is one serve process with a proxy in front of its inner listener.
type process struct {
	name, domain      string
	cmd               *exec.Cmd
	proxy             *toxiproxy.Proxy
	public, operators string
	exited            chan struct{}
}

// fleet is a fleet of serve processes with stand-ins for the platform and the backend
// servers. The address is that of the store.
type fleet struct {
	t        testing.TB
	store    *imitator.Store
	address  string
	client   *storer.Client
	backends []*imitator.Backend

	mu        sync.Mutex
	processes []*process
	started   int
	proxies   *toxiproxy.ApiServer
}

// domains are the failure domains of the instances and backend servers.
var domains = []string{"worcester", "providence", "portsmouth"}

// fieldbook returns the declaration of the service fieldbook.
func fieldbook() declarer.Service {
	s, err := declarer.Load("loader/deployments/pelletier/fieldbook.ini")
	if err != nil {
		panic(err)
	}
	return s
}

// newFleet starts a fleet with six backend servers of fieldbook and waits until all
// instances are ready.
func newFleet(t testing.TB, instances int) *fleet {
	f := &fleet{t: t, store: imitator.NewStore(), proxies: toxiproxy.NewServer(toxiproxy.NewMetricsContainer(nil), zerolog.Nop())}
	p, err := imitator.ServeStore(f.store, "127.0.0.1:0")
	asserter.NoError(t, "start store", err)
	t.Cleanup(p.Close)
	f.address = p.Address()
	f.client = storer.NewClient(f.address)
	for i := range 6 {
		f.addBackend(i)
	}
	f.declare(fieldbook())
	for range instances {
		f.start()
	}
	t.Cleanup(f.close)
	f.waitReady(instances)
	return f
}

func (f *fleet) addBackend(i int) {
	b := imitator.NewBackend(imitator.BackendOptions{Slots: 3, Backlog: 1, Median: 5 * time.Millisecond, Spread: 0.3, Down: time.Second, Seed: uint64(i)}, time.Now())
	p, err := imitator.ServeBackend(b, "127.0.0.1:0")
	asserter.NoError(f.t, "start backend server", err)
	f.t.Cleanup(p.Close)
	f.backends = append(f.backends, b)
	f.store.Register("fieldbook", descriptor.Backend{ID: fmt.Sprintf("fieldbook-%d", i), Address: p.Address(), Domain: domains[i%3], Slots: 3})
}

// declare writes a declaration, replacing any stored one, and returns its revision.
func (f *fleet) declare(s declarer.Service) uint64 {
	f.t.Helper()
	data, err := json.Marshal(s)
	asserter.NoError(f.t, "encode", err)
	found, _ := f.store.Peek(storer.ServiceKey(s.Name))
	item, err := f.client.Put(context.Background(), storer.ServiceKey(s.Name), data, found.Revision, 0)
	asserter.NoError(f.t, "declare", err)
	return item.Revision
}

// start starts one serve process with a proxy and with up to four seeds.
func (f *fleet) start() *process {
	f.t.Helper()
	running := f.live()
	f.mu.Lock()
	p := &process{name: fmt.Sprintf("entry-%d", f.started), domain: domains[f.started%3], exited: make(chan struct{})}
	f.started++
	var seeds []string
	for _, other := range running {
		if len(seeds) < 4 {
			seeds = append(seeds, other.proxy.Listen)
		}
	}
	f.mu.Unlock()
	p.proxy = toxiproxy.NewProxy(f.proxies, p.name, "127.0.0.1:0", "127.0.0.1:1")
	asserter.NoError(f.t, "start proxy", p.proxy.Start())
	settings := fmt.Sprintf(`[instance]
name = %s
domain = %s
[callers]
listen = 127.0.0.1:0
keep = 1s
[inner]
listen = 127.0.0.1:0
advertise = %s
key = a-key-for-the-tests
seeds = %s
[operators]
listen = 127.0.0.1:0
[platform]
address = %s
patience = 1s
[log]
format = json
`, p.name, p.domain, p.proxy.Listen, strings.Join(seeds, ", "), f.address)
	path := filepath.Join(f.t.TempDir(), p.name+".ini")
	asserter.NoError(f.t, "write settings", os.WriteFile(path, []byte(settings), 0o600))
	p.cmd = exec.Command(binary, "serve", "--settings", path)
	f.launch(p)
	f.mu.Lock()
	f.processes = append(f.processes, p)
	f.mu.Unlock()
	return p
}

// launch starts the process and reads its addresses from the log event for the start.
func (f *fleet) launch(p *process) {
	f.t.Helper()
	out, err := p.cmd.StdoutPipe()
	asserter.NoError(f.t, "pipe", err)
	asserter.NoError(f.t, "start", p.cmd.Start())
	lines := bufio.NewScanner(out)
	for lines.Scan() {
		var e struct {
			Event  int    `json:"event"`
			Detail string `json:"detail"`
		}
		if json.Unmarshal(lines.Bytes(), &e) != nil || e.Event != descriptor.NoteStarted {
			continue
		}
		words := strings.Fields(e.Detail)
		p.public, p.operators = words[1], words[5]
		inner := innerAddress(f.t, p.operators)
		p.proxy.Lock()
		p.proxy.Upstream = inner
		p.proxy.Unlock()
		break
	}
	go func() {
		for lines.Scan() {
			continue
		}
		_ = p.cmd.Wait()
		close(p.exited)
	}()
}

// innerAddress returns the inner listening address of a process from its dump.
func innerAddress(t testing.TB, operators string) string {
	t.Helper()
	var d struct {
		Listening struct{ Inner string }
	}
	get(t, operators, operator.DumpPath, &d)
	return d.Listening.Inner
}

// get gets and decodes a JSON response of an operators' listener.
func get(t testing.TB, address, path string, result any) {
	t.Helper()
	response, err := http.Get("http://" + address + path)
	asserter.NoError(t, "send request", err)
	defer response.Body.Close()
	asserter.NoError(t, "decode response", json.NewDecoder(response.Body).Decode(result))
}

// status returns the status of a process.
func (f *fleet) status(p *process) operator.Status {
	f.t.Helper()
	var s operator.Status
	get(f.t, p.operators, operator.StatusPath, &s)
	return s
}

// live returns the running processes.
func (f *fleet) live() []*process {
	f.mu.Lock()
	defer f.mu.Unlock()
	var result []*process
	for _, p := range f.processes {
		select {
		case <-p.exited:
		default:
			result = append(result, p)
		}
	}
	return result
}

// waitReady waits until every running process knows exactly n ready instances.
func (f *fleet) waitReady(n int) {
	f.t.Helper()
	asserter.Eventually(f.t, fmt.Sprintf("%d instances ready everywhere", n), waitLimit, func() bool {
		for _, p := range f.live() {
			ready := 0
			for _, m := range f.status(p).Members {
				if m.Ready && (m.State == "alive" || m.State == "suspect") {
					ready++
				}
			}
			if ready != n {
				return false
			}
		}
		return true
	})
}

// waitRevision waits until a revision of fieldbook is in force at every running
// process.
func (f *fleet) waitRevision(revision uint64) {
	f.t.Helper()
	asserter.Eventually(f.t, "revision in force everywhere", waitLimit, func() bool {
		for _, p := range f.live() {
			for _, s := range f.status(p).Services {
				if s.Service == "fieldbook" && s.Revision < revision {
					return false
				}
			}
		}
		return true
	})
}

// entries returns the addresses of the running processes for callers.
func (f *fleet) entries() []string {
	var result []string
	for _, p := range f.live() {
		result = append(result, p.public)
	}
	return result
}

// stop shuts a process down gracefully and waits until it exits.
func (f *fleet) stop(p *process) {
	f.t.Helper()
	_ = p.cmd.Process.Signal(os.Interrupt)
	select {
	case <-p.exited:
	case <-time.After(waitLimit):
		f.t.Errorf("%s: did not exit within %v", p.name, waitLimit)
		return
	}
	asserter.Equal(f.t, p.name+" exit code", p.cmd.ProcessState.ExitCode(), 0)
}

// stopAll shuts all running processes down gracefully and concurrently.
func (f *fleet) stopAll() {
	f.t.Helper()
	var group sync.WaitGroup
	for _, p := range f.live() {
		group.Add(1)
		go func() {
			defer group.Done()
			f.stop(p)
		}()
	}
	group.Wait()
}

// kill kills a process and waits until it exits.
func (f *fleet) kill(p *process) {
	_ = p.cmd.Process.Kill()
	<-p.exited
}

func (f *fleet) close() {
	for _, p := range f.live() {
		f.kill(p)
	}
	for _, p := range f.processes {
		p.proxy.Stop()
	}
}

// cut blocks one direction of the links that a process accepted.
func (f *fleet) cut(p *process, direction string) {
	f.t.Helper()
	toxic := fmt.Sprintf(`{"name":"cut","type":"timeout","stream":%q,"attributes":{"timeout":0}}`, direction)
	_, err := p.proxy.Toxics.AddToxicJson(strings.NewReader(toxic))
	asserter.NoError(f.t, "cut", err)
}

// heal restores the links of a process after cut.
func (f *fleet) heal(p *process) { p.proxy.Toxics.ResetToxics(context.Background()) }

// traffic sends requests until finish is called, which checks the guarantees.
type traffic struct {
	f      *fleet
	caller *caller.Caller
	cancel context.CancelFunc
	group  sync.WaitGroup

	mu                                     sync.Mutex
	served, failed, refused, unknown, sent int
	// keyed and notRun hold the tokens of the requests with an idempotency key
	// and of those refused as not run.
	keyed, notRun []string
	// corrupt holds the tokens of the requests whose response was truncated or
	// belonged to another request.
	corrupt []string
	// reasons counts refusals by reason and outcome.
	reasons map[string]int
}

// newTraffic starts workers that send visits, and a booking as every fourth request.
func newTraffic(f *fleet, workers int) *traffic {
	ctx, cancel := context.WithCancel(context.Background())
	x := &traffic{f: f, caller: caller.New(f.entries(), domains[0]), cancel: cancel, reasons: make(map[string]int)}
	for w := range workers {
		x.group.Add(1)
		go func() {
			defer x.group.Done()
			for i := 0; ctx.Err() == nil; i++ {
				x.send(fmt.Sprintf("%s-%d-%d", f.t.Name(), w, i), i%4 == 0)
				time.Sleep(5 * time.Millisecond)
			}
		}()
	}
	return x
}

// send sends one request and records its outcome. Bookings carry an idempotency key,
// and visits are repeatable.
func (x *traffic) send(token string, booking bool) {
	token = strings.ReplaceAll(token, "/", "-")
	w := caller.Work{
		Service: "fieldbook", Method: http.MethodGet, Path: "/visits?size=200&token=" + token,
		Repeatable: !booking, Keyed: booking, KeySuffix: token, Timeout: waitLimit,
	}
	if booking {
		w.Method = http.MethodPost
	}
	result, err := x.caller.Do(context.Background(), w)
	x.mu.Lock()
	defer x.mu.Unlock()
	x.sent++
	if booking {
		x.keyed = append(x.keyed, token)
	}
	switch {
	case err != nil:
		x.unknown++
	case result.Refused():
		x.refused++
		x.reasons[result.Reason+" "+result.Outcome]++
		if result.Outcome == "not-run" {
			x.notRun = append(x.notRun, token)
		}
	case result.Status >= http.StatusInternalServerError:
		x.failed++
	default:
		x.served++
		if string(result.Body) != imitator.Body(token, 200) {
			x.corrupt = append(x.corrupt, token)
		}
	}
}

// finish stops the workers and checks that no keyed request ran twice, that no request
// refused as not run ran, and that every response was complete.
func (x *traffic) finish() {
	x.f.t.Helper()
	x.cancel()
	x.group.Wait()
	runs := make(map[string]int)
	for _, b := range x.f.backends {
		for k, n := range b.Counts().Keys {
			runs[k] += n
		}
	}
	for _, k := range x.keyed {
		asserter.AtMost(x.f.t, "runs of "+k, runs[k], 1)
	}
	for _, k := range x.notRun {
		asserter.Equal(x.f.t, "runs of refused "+k, runs[k], 0)
	}
	asserter.Equal(x.f.t, "responses truncated or of another request", len(x.corrupt), 0)
	asserter.True(x.f.t, "some requests were served", x.served > 0)
	x.f.t.Logf("sent %d served %d failed %d refused %d unknown %d, reasons %v", x.sent, x.served, x.failed, x.refused, x.unknown, x.reasons)
}
