package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Figures of the deployment, as on the pages for the small sites.
const (
	heartbeat    = 1500 * time.Millisecond
	lapse        = 3 * heartbeat
	host         = "crews.example"
	serviceName  = "fieldbook"
	zone         = "worcester"
	graceSeconds = 6
)

// route is one route of the configuration.
type route struct {
	name, prefix, kind, service string
	timeout, target             float64
	attempts                    int
}

// server is one process of the stand-in of a backend server.
type server struct {
	id, address, service string
	slots                int
	cmd                  *exec.Cmd
	commands             io.Writer
	born                 int64
	// leaving is set when the entry says draining, gone when the process has ended.
	leaving, gone bool
}

// instance is one process of the project.
type instance struct {
	name, ip, front, ready, control, directory string
	settings                                   string
	cmd                                        *exec.Cmd
}

// fleet holds the stand-ins of the platform and the processes of a case.
type fleet struct {
	record  *record
	store   *store
	address string
	dir     string
	program string
	// template is the text of deploy/entry.ini.
	template string

	mu        sync.Mutex
	servers   []*server
	instances []*instance
	runs      []run
	sequence  int
	done      chan struct{}
	ports     *ports
}

// newFleet starts the stand-in of the store. root is the folder of the repository.
func newFleet(c *record, root string) (*fleet, error) {
	template, err := os.ReadFile(filepath.Join(root, "deploy", "entry.ini"))
	if err != nil {
		return nil, fmt.Errorf("template: %w", err)
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, fmt.Errorf("folder: %w", err)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("store: %w", err)
	}
	f := &fleet{
		record: c, store: newStore(), address: l.Addr().String(), dir: dir,
		program: filepath.Join(root, "target", "monsoonswitch"), template: string(template),
		done: make(chan struct{}), ports: newPorts(),
	}
	go func() { _ = http.Serve(l, f.store) }()
	go f.beat()
	return f, nil
}

// ports hands out ports below the range of ephemeral ones on addresses of this run.
type ports struct {
	subnet string
	next   int
}

func newPorts() *ports {
	return &ports{subnet: fmt.Sprintf("127.%d.%d.", 16+rand.IntN(200), rand.IntN(250)), next: 15000 + rand.IntN(10000)}
}

// ip returns the n-th address of this run.
func (p *ports) ip(n int) string { return p.subnet + fmt.Sprint(1+n) }

// free returns an address on ip on which nothing listens.
func (p *ports) free(ip string) string {
	for {
		p.next++
		address := fmt.Sprintf("%s:%d", ip, p.next)
		if l, err := net.Listen("tcp", address); err == nil {
			_ = l.Close()
			return address
		}
	}
}

// configure writes a configuration.
func (f *fleet) configure(version int, routes []route, services ...string) {
	var rows, list [][]any
	for _, r := range routes {
		rows = append(rows, []any{r.name, host, r.prefix, r.kind, r.timeout, r.target, 1, nil, r.attempts, r.service})
	}
	for _, s := range services {
		list = append(list, []any{s, healthPath, 390})
	}
	f.store.set("op/config", map[string]any{
		"version": fmt.Sprintf("r%d", version),
		"routes": map[string]any{"columns": []string{"name", "hostname", "path_prefix", "kind", "timeout_s",
			"target_latency_s", "priority", "traffic_split", "max_attempts", "service"}, "rows": rows},
		"services": map[string]any{"columns": []string{"name", "health_path", "max_connections"}, "rows": list},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 64 << 20,
			"header_timeout_s": 3, "idle_timeout_s": 15},
	})
	f.record.line("configuration r%d", version)
}

// addServer starts a backend server and registers it.
func (f *fleet) addServer(service, id, address string, work time.Duration, options ...string) (*server, error) {
	if address == "" {
		address = f.ports.free(f.ports.ip(100))
	}
	s := &server{id: id, address: address, service: service, slots: 3, born: time.Now().UnixMilli()}
	options = append([]string{"backend", "--listen", address, "--id", id, "--work", work.String()}, options...)
	s.cmd = exec.Command(os.Args[0], options...)
	in, err := s.cmd.StdinPipe()
	if err != nil {
		return nil, fmt.Errorf("backend: %w", err)
	}
	s.commands = in
	out, err := s.cmd.StdoutPipe()
	if err != nil {
		return nil, fmt.Errorf("backend: %w", err)
	}
	s.cmd.Stderr = os.Stderr
	if err := s.cmd.Start(); err != nil {
		return nil, fmt.Errorf("backend: %w", err)
	}
	go f.readRuns(out)
	if !waitFor(5*time.Second, func() bool { return answers(address, healthPath) }) {
		return nil, errors.New("backend server did not start")
	}
	f.mu.Lock()
	f.servers = append(f.servers, s)
	f.mu.Unlock()
	f.record.line("backend server %s of %s listens on %s", id, service, address)
	f.register(s)
	return s, nil
}

// readRuns reads what a backend server prints.
func (f *fleet) readRuns(out io.Reader) {
	lines := bufio.NewScanner(out)
	for lines.Scan() {
		var r run
		if json.Unmarshal(lines.Bytes(), &r) != nil {
			continue
		}
		f.mu.Lock()
		f.runs = append(f.runs, r)
		f.mu.Unlock()
		switch {
		case r.Refused:
			f.record.line("at %s: %s %s %s turned away as not run", r.Server, r.ID, r.Method, r.URI)
		case r.Whole:
			f.record.line("at %s: %s ran with a body of %d bytes, sum %.16s", r.Server, r.ID, r.Length, r.Sum)
		default:
			f.record.line("at %s: %s %s %s begins", r.Server, r.ID, r.Method, r.URI)
		}
	}
}

// runsOf returns what backend servers did with a request.
func (f *fleet) runsOf(id string) []run {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []run
	for _, r := range f.runs {
		if r.ID == id {
			list = append(list, r)
		}
	}
	return list
}

// register writes the entry of a backend server.
func (f *fleet) register(s *server) {
	f.mu.Lock()
	f.sequence++
	state := "ready"
	if s.leaving {
		state = "draining"
	}
	entry := map[string]any{"service": s.service, "address": s.address, "zone": zone, "version": "v1",
		"slots": s.slots, "state": state, "cold_remaining_s": 0, "sequence": f.sequence, "born": s.born}
	f.mu.Unlock()
	f.store.set("servers/"+s.id, entry)
}

// beat writes the entries of the living backend servers periodically.
func (f *fleet) beat() {
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-f.done:
			return
		}
		f.mu.Lock()
		list := append([]*server(nil), f.servers...)
		f.mu.Unlock()
		for _, s := range list {
			if !s.gone {
				f.register(s)
			}
		}
	}
}

// crash kills a backend server. Its entry lapses after three heartbeats.
func (f *fleet) crash(s *server) {
	f.mu.Lock()
	s.gone = true
	f.mu.Unlock()
	f.record.line("TROUBLE kill backend server %s", s.id)
	_ = s.cmd.Process.Kill()
	_ = s.cmd.Wait()
	time.AfterFunc(lapse, func() { f.store.drop("servers/" + s.id) })
}

var placeholder = regexp.MustCompile(`\{\{([^}]+)\}\}`)

// addInstance writes the settings of an instance as the deploy file's template gives them.
func (f *fleet) addInstance() *instance {
	n := len(f.instances)
	ip := f.ports.ip(n)
	p := &instance{
		name: fmt.Sprintf("edge-%s-%d", zone, n+1), ip: ip, front: f.ports.free(ip), ready: f.ports.free(ip),
		control: f.ports.free(ip), directory: f.ports.free(ip),
	}
	f.instances = append(f.instances, p)
	var seeds []string
	for _, other := range f.instances[:min(3, len(f.instances))] {
		seeds = append(seeds, other.control)
	}
	values := map[string]string{
		"node_name": p.name, "zone": zone, "ip": ip, "limits.cpu_share": "0.32", "limits.cpu_cores": "1",
		"listen.front": p.front, "listen.ready": p.ready, "listen.control": p.control,
		"listen.directory": p.directory, "seeds": strings.Join(seeds, ","), "platform.address": f.address,
		"bounds.grace_s": fmt.Sprint(graceSeconds), "bounds.budget_ratio": "0.2", "bounds.budget_extra": "64",
		"bounds.budget_window_s": "10",
	}
	text := placeholder.ReplaceAllStringFunc(f.template, func(m string) string { return values[m[2:len(m)-2]] })
	p.settings = filepath.Join(f.dir, p.name+".conf")
	if err := os.WriteFile(p.settings, []byte(text), 0o600); err != nil {
		panic(err)
	}
	return p
}

// startInstance starts the process of an instance with the command of the deploy file.
func (f *fleet) startInstance(p *instance) error {
	log, err := os.OpenFile(p.settings+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("log: %w", err)
	}
	defer func() { _ = log.Close() }()
	p.cmd = exec.Command(f.program, "serve", "--settings", p.settings)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	if err := p.cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", p.name, err)
	}
	f.record.line("instance %s serves callers on %s", p.name, p.front)
	go f.watch(p, p.cmd)
	return nil
}

// restartDelay is the time until the platform starts a process again that ended.
const restartDelay = time.Second

// watch waits for the end of a process, and starts it again if it ended by itself.
func (f *fleet) watch(p *instance, cmd *exec.Cmd) {
	err := cmd.Wait()
	select {
	case <-f.done:
		return
	default:
	}
	f.record.line("instance %s ended by itself: %v: %s", p.name, err, lastPanic(p.settings+".log"))
	time.Sleep(restartDelay)
	f.mu.Lock()
	defer f.mu.Unlock()
	select {
	case <-f.done:
	default:
		_ = f.startInstance(p)
	}
}

// lastPanic returns the last line of a log that tells of a panic that ended the process.
func lastPanic(path string) string {
	data, err := os.ReadFile(path)
	if err != nil {
		return ""
	}
	found := ""
	for _, line := range strings.Split(string(data), "\n") {
		if strings.HasPrefix(line, "panic:") || strings.HasPrefix(line, "fatal error:") {
			found = line
		}
	}
	return found
}

// startInstances starts n instances and waits until they are ready.
func (f *fleet) startInstances(n int) error {
	for range n {
		f.addInstance()
	}
	for _, p := range f.instances {
		if err := f.startInstance(p); err != nil {
			return err
		}
	}
	for _, p := range f.instances {
		if !waitFor(15*time.Second, func() bool { return answers(p.ready, "/readiness") }) {
			return fmt.Errorf("instance %s is not ready", p.name)
		}
	}
	// Traffic starts eight seconds after the machines do.
	time.Sleep(4 * time.Second)
	return nil
}

// close ends all processes.
func (f *fleet) close() {
	f.mu.Lock()
	close(f.done)
	f.mu.Unlock()
	for _, p := range f.instances {
		if p.cmd != nil && p.cmd.Process != nil {
			_ = p.cmd.Process.Signal(syscall.SIGCONT)
			_ = p.cmd.Process.Kill()
		}
	}
	for _, s := range f.servers {
		_ = s.cmd.Process.Kill()
		_ = s.cmd.Wait()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.dir)
	}
}

// waitFor calls ready until it returns true, for at most limit.
func waitFor(limit time.Duration, ready func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if ready() {
			return true
		}
	}
	return false
}

var questions = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// answers reports whether a GET request is answered with status 200.
func answers(address, path string) bool {
	response, err := questions.Get("http://" + address + path)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}
