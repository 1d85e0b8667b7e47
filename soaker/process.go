package soaker

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	toxiproxy "github.com/Shopify/toxiproxy/v2"
	"github.com/rotisserie/eris"

	"monsoonswitch/assembler"
)

// ErrSoak reports a soak that could not be started or continued.
var ErrSoak = eris.New("soak")

// startTimeout bounds the time until a process prints that it listens.
const startTimeout = 20 * time.Second

// loopback is an address with a free port.
const loopback = "127.0.0.1:0"

// child is a process that the soak started.
type child struct {
	cmd  *exec.Cmd
	done chan struct{}
}

// spawn starts the program and returns the child and the first line of its output that
// contains mark. All output is written to a log file.
func (s *soak) spawn(name, mark string, args ...string) (*child, string, error) {
	log, err := os.OpenFile(filepath.Join(s.options.Directory, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, "", eris.Wrap(err, "open log")
	}
	cmd := exec.Command(s.options.Program, args...)
	out, err := cmd.StdoutPipe()
	if err != nil {
		return nil, "", eris.Wrap(err, "open output")
	}
	cmd.Stderr = log
	if err := cmd.Start(); err != nil {
		return nil, "", eris.Wrap(err, "start "+name)
	}
	c := &child{cmd: cmd, done: make(chan struct{})}
	found := make(chan string, 1)
	go func() {
		lines := bufio.NewScanner(out)
		lines.Buffer(nil, 1<<20)
		for lines.Scan() {
			fmt.Fprintln(log, lines.Text())
			if strings.Contains(lines.Text(), mark) {
				select {
				case found <- lines.Text():
				default:
				}
			}
		}
		// The exit status of a killed process is of no interest.
		_ = cmd.Wait()
		_ = log.Close()
		close(c.done)
	}()
	select {
	case line := <-found:
		return c, line, nil
	case <-c.done:
		return nil, "", eris.Wrapf(ErrSoak, "%s ended at its start: %s", name, lastLine(log.Name()))
	case <-time.After(startTimeout):
		c.end(syscall.SIGKILL)
		return nil, "", eris.Wrapf(ErrSoak, "%s did not start within %v", name, startTimeout)
	}
}

// lastLine returns the last line of a log file.
func lastLine(path string) string {
	data, err := os.ReadFile(path)
	if err != nil {
		return err.Error()
	}
	lines := strings.Split(strings.TrimSpace(string(data)), "\n")
	return lines[len(lines)-1]
}

// signal sends a signal to the process unless it has ended.
func (c *child) signal(sig syscall.Signal) {
	select {
	case <-c.done:
	default:
		_ = c.cmd.Process.Signal(sig)
	}
}

// end sends a signal to the process, and SIGKILL if it has not ended after graceTime.
func (c *child) end(sig syscall.Signal) {
	c.signal(syscall.SIGCONT)
	c.signal(sig)
	select {
	case <-c.done:
	case <-time.After(graceTime):
		c.signal(syscall.SIGKILL)
		<-c.done
	}
}

// graceTime is the time that a process has to end after SIGTERM.
const graceTime = 20 * time.Second

// instance is an entry instance with proxies in front of its inner listener and of the
// store. It keeps its addresses when it starts again.
type instance struct {
	name                     string
	public, inner, operators string
	links, store             *toxiproxy.Proxy

	// mu serializes the faults of one instance that replace its process.
	mu    sync.Mutex
	child *child
}

// Ports of instances. They are below those that systems choose for outgoing connections and
// for listeners without a port, so that an instance finds its ports free when it starts again.
const (
	firstPort = 12000
	lastPort  = 32000
	// portBlock is the distance between the first ports of two soaks.
	portBlock = 100
)

// Ports hands out the ports of one soak, each of them once.
type Ports struct{ next int }

// NewPorts returns the ports of the soak of a seed in this process. Soaks that run beside
// each other begin at different ones.
func NewPorts(seed uint64) *Ports {
	block := (uint64(os.Getpid()) + seed) % ((lastPort - firstPort) / portBlock)
	return &Ports{next: firstPort + int(block)*portBlock}
}

// FreeAddress returns a loopback address on which nothing listens.
func (p *Ports) FreeAddress() (string, error) {
	for ; p.next < lastPort; p.next++ {
		address := net.JoinHostPort("127.0.0.1", strconv.Itoa(p.next))
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		p.next++
		return address, eris.Wrap(l.Close(), "find a free port")
	}
	return "", eris.Wrapf(ErrSoak, "no free port below %d", lastPort)
}

// newInstance chooses the addresses of an instance and starts its proxies.
func newInstance(name, store string, free *Ports) (*instance, error) {
	i := &instance{name: name}
	var err error
	for _, address := range []*string{&i.public, &i.inner, &i.operators} {
		if *address, err = free.FreeAddress(); err != nil {
			return nil, err
		}
	}
	if i.links, err = assembler.NewProxy(name, i.inner); err != nil {
		return nil, err
	}
	i.store, err = assembler.NewProxy(name+"-store", store)
	return i, err
}

// settings returns the settings file of the instance.
func (i *instance) settings(domain string, seeds []string) string {
	return fmt.Sprintf(`[instance]
name = %s
domain = %s
[callers]
listen = %s
header = Caller
keep = 2s
[inner]
listen = %s
advertise = %s
key = the-key-of-this-soak
seeds = %s
[operators]
listen = %s
[platform]
address = %s
patience = 1s
`, i.name, domain, i.public, i.inner, i.links.Listen, strings.Join(seeds, ", "), i.operators, i.store.Listen)
}
