// The program inspector plays the cases of the third review: it starts the system's processes as the deploy
// file says, stands in for their platform, backend servers and clients, and checks one rule in each case.
package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Times of a small deployment.
const (
	heartbeatTime = 1500 * time.Millisecond
	stableWindow  = 3 * time.Second
	startWait     = 20 * time.Second
	// siteInstances is the number of instances of the site kbpf-switch.
	siteInstances = 36
	// slotsEach is the number of slots of a backend server, and workTime the work of a request.
	slotsEach = 6
	workTime  = 50 * time.Millisecond
)

// fleet is the instances of the system with the stand-ins around them.
type fleet struct {
	*record
	folder    string
	store     *store
	instances []*instance
	backends  []*backend

	mu   sync.Mutex
	runs []run
	ids  int
}

// instance is one process of the system.
type instance struct {
	fleet    *fleet
	name, ip string
	settings string
	links    *proxy
	entrance *entrance
	cmd      *exec.Cmd
	done     chan struct{}
	// pid is the identifier of the running process.
	pid atomic.Int64
}

// Ports of an instance.
const (
	frontPort     = 8381
	controlPort   = 8382
	directoryPort = 8383
	readyPort     = 8388
	// linkPort is where the proxy before the control port listens, one of the internal ports.
	linkPort = 7201
)

func (p *instance) at(port int) string { return fmt.Sprintf("%s:%d", p.ip, port) }

// newFleet starts the store.
func newFleet(r *record) (*fleet, error) {
	folder, err := os.MkdirTemp("", "inspector")
	if err != nil {
		return nil, err
	}
	return &fleet{record: r, folder: folder, store: newStore()}, nil
}

// setUp starts backend servers of one service and instances, and waits until all are in touch.
func (f *fleet) setUp(service string, backends, instances int) error {
	if err := f.addBackends(service, backends, slotsEach, workTime); err != nil {
		return err
	}
	if err := f.addInstances(instances); err != nil {
		return err
	}
	if err := f.waitReady(); err != nil {
		return err
	}
	time.Sleep(2 * stableWindow)
	return nil
}

// addBackends starts backend servers of a service.
func (f *fleet) addBackends(service string, n, slots int, work time.Duration) error {
	for range n {
		b := &backend{fleet: f, service: service, slots: slots, address: "127.0.0.1:0", work: work}
		b.name = fmt.Sprintf("i-%08x", 0x51a0c000+len(f.backends)*7919)
		if err := b.start(); err != nil {
			return err
		}
		f.backends = append(f.backends, b)
	}
	return nil
}

// addInstances starts n instances, on loopback addresses of their own.
func (f *fleet) addInstances(n int) error {
	block, err := freeBlock(n)
	if err != nil {
		return err
	}
	var seeds []string
	for i := range n {
		p := &instance{fleet: f, name: fmt.Sprintf("edge-a-%d", i+1), ip: fmt.Sprintf("%s.%d", block, i+1)}
		f.instances = append(f.instances, p)
		if i < 3 {
			seeds = append(seeds, p.at(linkPort))
		}
	}
	for _, p := range f.instances {
		if p.links, err = newProxy(p.at(linkPort), p.at(controlPort)); err != nil {
			return err
		}
		if p.entrance, err = f.store.open(); err != nil {
			return err
		}
		if err := p.configure(strings.Join(seeds, ",")); err != nil {
			return err
		}
		if err := p.start(); err != nil {
			return err
		}
	}
	return nil
}

// freeBlock returns the first three numbers of loopback addresses whose ports are free.
func freeBlock(n int) (string, error) {
	for k := range 200 {
		block := fmt.Sprintf("127.%d.%d", 20+os.Getpid()%200, (os.Getpid()/200+k)%250)
		free := true
		for i := range n {
			for _, port := range []int{frontPort, controlPort, directoryPort, readyPort, 7200, linkPort} {
				l, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%d", block, i+1, port))
				if err != nil {
					free = false
					continue
				}
				_ = l.Close()
			}
		}
		if free {
			return block, nil
		}
	}
	return "", fmt.Errorf("no free loopback addresses")
}

// configure fills in the template of the deploy file as the platform does.
func (p *instance) configure(seeds string) error {
	text, err := os.ReadFile("deploy/entry.ini")
	if err != nil {
		return err
	}
	values := map[string]string{
		"node_name": p.name, "zone": "a", "ip": p.ip, "seeds": seeds,
		"limits.cpu_share": "0.32", "limits.cpu_cores": "1", "limits.memory_mb": "284", "limits.max_fds": "4100",
		"listen.front": p.at(frontPort), "listen.ready": p.at(readyPort), "listen.directory": p.at(directoryPort),
		"listen.control": p.at(controlPort), "platform.address": p.entrance.address, "bounds.grace_s": "6",
		"bounds.quota_window_s": "5", "bounds.quota_excess": "0.1", "bounds.quota_slack": "20", "bounds.budget_ratio": "0.2", "bounds.budget_extra": "58", "bounds.budget_window_s": "10",
	}
	filled := string(text)
	for name, value := range values {
		filled = strings.ReplaceAll(filled, "{{"+name+"}}", value)
	}
	for strings.Contains(filled, "{{") {
		before, rest, _ := strings.Cut(filled, "{{")
		_, after, _ := strings.Cut(rest, "}}")
		filled = before + after
	}
	filled = strings.Replace(filled, "[inner]\n", "[inner]\nadvertise = "+p.at(linkPort)+"\n", 1)
	p.settings = filepath.Join(p.fleet.folder, p.name+".conf")
	return os.WriteFile(p.settings, []byte(filled), 0o600)
}

// start starts the process.
func (p *instance) start() error {
	log, err := os.OpenFile(p.settings+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	p.cmd = exec.Command("target/monsoonswitch", "serve", "--settings", p.settings)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	if err := p.cmd.Start(); err != nil {
		return err
	}
	p.pid.Store(int64(p.cmd.Process.Pid))
	p.done = make(chan struct{})
	go func(cmd *exec.Cmd, done chan struct{}) {
		_ = cmd.Wait()
		close(done)
	}(p.cmd, p.done)
	return nil
}

// signal sends a signal to the process.
func (p *instance) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// kill kills the process and waits for its end.
func (p *instance) kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

// close ends all processes and removes the folder.
func (f *fleet) close() {
	for _, p := range f.instances {
		if p.cmd != nil && p.cmd.Process != nil {
			p.kill()
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.folder)
	}
}

// ran records that a backend server began to work on a request.
func (f *fleet) ran(b *backend, r *http.Request, bytes int64) {
	id := r.Header.Get("Request-Id")
	f.mu.Lock()
	f.runs = append(f.runs, run{id: id, path: r.URL.Path, backend: b.name, service: b.service, at: time.Now(), bytes: bytes})
	f.mu.Unlock()
	f.add("%s of %s runs %s %s %s, %d bytes", b.name, b.service, id, r.Method, r.URL.Path, bytes)
}

// silenceLinks silences the open connections between the instances. New ones work.
func (f *fleet) silenceLinks() {
	n := 0
	for _, p := range f.instances {
		n += p.links.silence()
	}
	f.note("%d connections between instances are silent", n)
}

// hasRun reports whether a backend server began to work on an attempt.
func (f *fleet) hasRun(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.ContainsFunc(f.runs, func(r run) bool { return r.id == id })
}

// nextID returns the identifier of a new attempt of a client.
func (f *fleet) nextID() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ids++
	return fmt.Sprintf("%016x", 0x1c41d07be2a30000+f.ids)
}

// waitReady waits until all instances are ready.
func (f *fleet) waitReady() error {
	end := time.Now().Add(startWait)
	for _, p := range f.instances {
		for {
			response, err := http.Get("http://" + p.at(readyPort) + "/readiness")
			if err == nil {
				_ = response.Body.Close()
			}
			if err == nil && response.StatusCode == http.StatusOK {
				break
			}
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready", p.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}
