package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"time"
)

// healthPath is the health path of all services.
const healthPath = "/health"

// bounds are the bounds of the small deployments, with which the template of the deploy file is filled.
var bounds = map[string]string{
	"bounds.grace_s": "6", "bounds.budget_ratio": "0.2", "bounds.budget_extra": "64", "bounds.budget_window_s": "10",
	"limits.cpu_share": "0.32", "limits.cpu_cores": "1", "zone": "a", "ip": "127.0.0.1",
}

// machine is the memory in megabytes and the descriptors of a machine.
type machine struct{ memory, descriptors int }

// smallMachine is a machine of the small deployments.
var smallMachine = machine{284, 4100}

// instance is one process of the project.
type instance struct {
	name, front, ready, inner string
	// settings is the path of the settings file.
	settings string
	cmd      *exec.Cmd
	log      *os.File
}

// command returns the command of the deploy file.
func (p *instance) command() *exec.Cmd {
	cmd := exec.Command("target/monsoonswitch", "serve", "--settings", p.settings)
	cmd.Stdout, cmd.Stderr = p.log, p.log
	return cmd
}

// fleet is the store and the instances of a case.
type fleet struct {
	record    *record
	store     *store
	folder    string
	instances []*instance
	// gate returns the way of an instance to the store; nil means the same for all.
	gate func(*store, int) http.Handler
}

// newFleet starts a store with a configuration, and the instances.
func newFleet(rec *record, count int, m machine, routes []route) (*fleet, error) {
	return newGatedFleet(rec, count, m, routes, nil)
}

// newGatedFleet starts a store with a configuration, and the instances. Each instance has a way of its own to
// the store, which gate returns; nil means the same for all.
func newGatedFleet(rec *record, count int, m machine, routes []route, gate func(*store, int) http.Handler) (*fleet, error) {
	s, err := newStore()
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "examiner")
	if err != nil {
		return nil, err
	}
	f := &fleet{record: rec, store: s, folder: folder, gate: gate}
	s.put("op/config", configuration(1, routes))
	ports, err := freePorts(5 * count)
	if err != nil {
		return f, err
	}
	for i := range count {
		if err := f.start(i, m, ports); err != nil {
			return f, err
		}
	}
	return f, nil
}

// firstPort and lastPort bound the ports of the instances. They lie below those that the system gives to
// outgoing connections, which could take one between its choice and its use.
const firstPort, lastPort = 12000, 30000

// freePorts returns free ports of the loopback interface.
func freePorts(n int) ([]string, error) {
	var ports []string
	for port := firstPort + rand.N(lastPort-firstPort)/2; port < lastPort && len(ports) < n; port++ {
		l, err := net.Listen("tcp", "127.0.0.1:"+strconv.Itoa(port))
		if err != nil {
			continue
		}
		closeQuietly(l)
		ports = append(ports, strconv.Itoa(port))
	}
	if len(ports) < n {
		return nil, errNoPorts
	}
	return ports, nil
}

// start starts an instance as the deploy file does.
func (f *fleet) start(i int, m machine, ports []string) error {
	own := ports[5*i : 5*i+5]
	at := func(k int) string { return "127.0.0.1:" + own[k] }
	values := map[string]string{
		"node_name": fmt.Sprintf("edge-a-%d", i+1), "listen.front": at(0), "listen.ready": at(1), "listen.directory": at(2),
		"listen.control": at(3), "seeds": seedsOf(ports), "platform.address": f.store.address(),
		"limits.memory_mb": strconv.Itoa(m.memory), "limits.max_fds": strconv.Itoa(m.descriptors),
	}
	for k, v := range bounds {
		values[k] = v
	}
	if f.gate != nil {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		go func() { _ = http.Serve(l, f.gate(f.store, i)) }()
		values["platform.address"] = l.Addr().String()
	}
	settings, err := render("deploy/entry.ini", values)
	if err != nil {
		return err
	}
	// One machine has all instances of a case, so that the port for operators differs.
	settings = strings.Replace(settings, "127.0.0.1:7200", at(4), 1)
	path := filepath.Join(f.folder, values["node_name"]+".conf")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(f.folder, values["node_name"]+".log"))
	if err != nil {
		return err
	}
	p := &instance{name: values["node_name"], front: at(0), ready: at(1), inner: at(3), settings: path, log: log}
	p.cmd = p.command()
	if err := p.cmd.Start(); err != nil {
		return err
	}
	f.record.write("instance %s starts: callers %s, process %d", p.name, p.front, p.cmd.Process.Pid)
	f.instances = append(f.instances, p)
	return nil
}

// seedsOf returns the addresses of the first instances, up to three.
func seedsOf(ports []string) string {
	var list []string
	for i := 3; i < len(ports) && len(list) < seedCount; i += 5 {
		list = append(list, "127.0.0.1:"+ports[i])
	}
	return strings.Join(list, ",")
}

// render fills a template of the deploy file.
func render(path string, values map[string]string) (string, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return "", err
	}
	text := string(data)
	for k, v := range values {
		text = strings.ReplaceAll(text, "{{"+k+"}}", v)
	}
	for {
		before, rest, ok := strings.Cut(text, "{{")
		if !ok {
			return text, nil
		}
		_, after, _ := strings.Cut(rest, "}}")
		text = before + after
	}
}

// errNoPorts reports that there are too few free ports.
var errNoPorts = errors.New("too few free ports")

// errNotReady reports instances that did not become ready.
var errNotReady = errors.New("instances are not ready")

// wait waits until all instances are ready and have been so for settleTime.
func (f *fleet) wait() error {
	end := time.Now().Add(20 * time.Second)
	for _, p := range f.instances {
		for !p.isReady() {
			if time.Now().After(end) {
				return errNotReady
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	time.Sleep(settleTime)
	return nil
}

// settleTime is the time between the readiness of the instances and the first request: traffic starts 8 s
// after the machines do, and a machine is in touch after 3 s.
const settleTime = 5 * time.Second

func (p *instance) isReady() bool {
	response, err := http.Get("http://" + p.ready + "/readiness")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// memory returns the anonymous memory of the process that is resident, in bytes, or 0 if it has ended. The
// pages of the program's file are left out.
func (p *instance) memory() int64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	_, rest, ok := strings.Cut(string(data), "RssAnon:")
	if !ok {
		return 0
	}
	fields := strings.Fields(rest)
	n, _ := strconv.ParseInt(fields[0], 10, 64)
	return n << 10
}

// close ends all processes of the fleet and removes its folder.
func (f *fleet) close() {
	for _, p := range f.instances {
		_ = p.cmd.Process.Kill()
		_ = p.cmd.Wait()
		_ = p.log.Close()
	}
	_ = f.store.listener.Close()
	_ = os.RemoveAll(f.folder)
}

// route is a route of the configuration.
type route struct {
	host, prefix, kind, service string
	timeout, target             float64
	attempts                    int
}

// configuration returns the value of op/config.
func configuration(version int, routes []route) map[string]any {
	rows, services := []any{}, []any{}
	named := make(map[string]bool)
	for i, r := range routes {
		rows = append(rows, []any{fmt.Sprintf("r-%d", i+1), r.host, r.prefix, r.kind, r.timeout, r.target, 1, nil, r.attempts, r.service})
		if !named[r.service] {
			named[r.service] = true
			services = append(services, []any{r.service, healthPath, 390, "h1", false})
		}
	}
	return map[string]any{
		"version": fmt.Sprintf("r%d", version),
		"routes": map[string]any{
			"columns": []string{"name", "hostname", "path_prefix", "kind", "timeout_s", "target_latency_s", "priority", "traffic_split", "max_attempts", "service"},
			"rows":    rows,
		},
		"services": map[string]any{"columns": []string{"name", "health_path", "max_connections", "protocol", "tls"}, "rows": services},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_s": 3, "idle_timeout_s": 15},
	}
}
