package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// Figures of the case with a planned stop.
const (
	readers = 30
	// behind is the number of safe requests that a client sends before the first is answered.
	behind = 2
	// behindGap is the time between these requests.
	behindGap    = 10 * time.Millisecond
	readDeadline = 3 * time.Second
	readPause    = 100 * time.Millisecond
	stopAfter    = 3 * time.Second
	runAfter     = 8 * time.Second
	answerBytes  = 30_000
	// windowBytes is the receive buffer of a client's connection.
	windowBytes = 8 << 10
	// addressTime is how long clients keep an address after the list lacks it.
	addressTime = 2 * time.Second
)

// stopping is the instance that is stopped in the case, and when that began.
type stopping struct {
	mu    sync.Mutex
	entry *instance
	at    time.Time
}

func (s *stopping) begin(p *instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entry, s.at = p, time.Now()
}

// usable reports whether clients still connect to an instance.
func (s *stopping) usable(p *instance) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.entry != p || time.Since(s.at) < addressTime
}

// planned reports whether the stop of an instance may cut no request now.
func (s *stopping) planned(p *instance) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.entry == p && time.Since(s.at) < (graceSeconds+1)*time.Second
}

// plannedStop stops one of three instances while clients send safe requests one behind the
// other.
func plannedStop(f *fleet, trouble bool) error {
	f.configure(3, []route{
		{name: "history-read", prefix: "/history/", kind: "safe", service: "ledger", timeout: 2, target: 1, attempts: 2},
	}, "ledger")
	for i := range 11 {
		if _, err := f.addServer("ledger", fmt.Sprintf("i-%d", i), "", 100*time.Millisecond, "--answer", strconv.Itoa(answerBytes)); err != nil {
			return err
		}
	}
	if err := f.startInstances(3); err != nil {
		return err
	}
	var stop stopping
	var clients sync.WaitGroup
	end := time.Now().Add(stopAfter + runAfter)
	for range readers {
		clients.Go(func() {
			for time.Now().Before(end) {
				f.readOn(&stop, end)
			}
		})
	}
	time.Sleep(stopAfter)
	if trouble {
		p := f.instances[0]
		stop.begin(p)
		f.record.line("TROUBLE SIGTERM to %s", p.name)
		if err := p.cmd.Process.Signal(syscall.SIGTERM); err != nil {
			return fmt.Errorf("signal: %w", err)
		}
	}
	clients.Wait()
	return nil
}

// readOn sends requests on one connection until it ends.
func (f *fleet) readOn(stop *stopping, end time.Time) {
	p := f.instances[rand.IntN(len(f.instances))]
	if !stop.usable(p) {
		return
	}
	conn, err := dialSmall(p.front)
	if err != nil {
		time.Sleep(readPause)
		return
	}
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(pacedReader{conn})
	for time.Now().Before(end) && stop.usable(p) {
		if !f.readBatch(stop, p, conn, reader) {
			return
		}
		time.Sleep(readPause)
	}
}

// pacedReader reads packets at the rate of a client's link.
type pacedReader struct{ source io.Reader }

// Read implements io.Reader.
func (p pacedReader) Read(data []byte) (int, error) {
	n, err := p.source.Read(data[:min(len(data), segmentBytes)])
	time.Sleep(segmentTime)
	return n, err
}

// dialSmall opens a connection with a small window.
func dialSmall(address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: time.Second, Control: func(_, _ string, c syscall.RawConn) error {
		var failed error
		err := c.Control(func(fd uintptr) {
			failed = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, windowBytes)
		})
		return errors.Join(err, failed)
	}}
	conn, err := dialer.DialContext(context.Background(), "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("dial: %w", err)
	}
	return conn, nil
}

// readBatch sends a few safe requests one behind the other and reads the answers. It reports
// whether the connection can be used further.
func (f *fleet) readBatch(stop *stopping, p *instance, conn net.Conn, reader *bufio.Reader) bool {
	var batch []request
	_ = conn.SetDeadline(time.Now().Add(readDeadline))
	for range 1 + behind {
		r := newRequest(http.MethodGet, fmt.Sprintf("/history/%d", rand.IntN(1e6)), nil, false)
		batch = append(batch, r)
		f.record.line("client sends %s GET %s to %s", r.id, r.path, p.name)
		text := fmt.Sprintf("GET %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n\r\n",
			r.path, host, r.id, readDeadline.Milliseconds())
		if _, err := io.WriteString(conn, text); err != nil {
			return false
		}
		time.Sleep(behindGap)
	}
	for _, r := range batch {
		response, err := http.ReadResponse(reader, nil)
		var data []byte
		if err == nil {
			data, err = io.ReadAll(response.Body)
			_ = response.Body.Close()
		}
		if err != nil {
			f.judgeCut(stop, p, r, len(data), err)
			return false
		}
		f.record.line("client has for %s: status %d, %d bytes", r.id, response.StatusCode, len(data))
		if response.Close {
			return false
		}
	}
	return true
}

// judgeCut applies the rule LOST to a request whose connection ended without a whole answer.
func (f *fleet) judgeCut(stop *stopping, p *instance, r request, got int, err error) {
	planned := stop.planned(p)
	time.Sleep(200 * time.Millisecond)
	passedOn := len(f.runsOf(r.id)) > 0
	f.record.line("client has for %s: %d bytes and no whole answer, passed on: %v: %v", r.id, got, passedOn, err)
	if passedOn && planned {
		f.record.breach("LOST: %s was passed on by %s, which was being stopped, and the connection ended after %d bytes of the answer: %v",
			r.id, p.name, got, err)
	}
}
