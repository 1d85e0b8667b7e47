package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// Figures of the case with a burst.
const (
	invoiceService = "billing"
	// usualClients is the number of clients before the burst, and burstFactor how many times
	// as many there are for burstTime.
	usualClients = 20
	burstFactor  = 1.7
	burstTime    = 3 * time.Second
	quietTime    = 4 * time.Second
	// jobPause is the mean pause of a client between two jobs.
	jobPause = 400 * time.Millisecond
	// photoBytes and invoiceBytes are within the sizes of the sheet of the site.
	photoBytes   = 120_000
	invoiceBytes = 5_000
	// The link of a client has 10 Mbit/s and packets of segmentBytes.
	segmentBytes = 1460
	segmentTime  = segmentBytes * 8 * time.Second / 10_000_000
	// lostLimit is how many requests of kept connections may be cut.
	lostLimit = 3
)

// crew is one client with a kept connection. What it writes waits in a buffer for its link.
type crew struct {
	fleet  *fleet
	entry  *instance
	conn   net.Conn
	reader *bufio.Reader
	buffer chan []byte
	// carried counts the requests that were answered on the connection.
	carried int
}

// connect opens a connection to a random instance.
func (k *crew) connect() error {
	k.entry = k.fleet.instances[rand.IntN(len(k.fleet.instances))]
	dialer := net.Dialer{Timeout: time.Second}
	conn, err := dialer.DialContext(context.Background(), "tcp", k.entry.front)
	if err != nil {
		return fmt.Errorf("dial: %w", err)
	}
	k.conn, k.reader, k.buffer, k.carried = conn, bufio.NewReader(conn), make(chan []byte, 64), 0
	go sendPaced(conn, k.buffer)
	return nil
}

// sendPaced sends what is written to a buffer in packets at the rate of the link.
func sendPaced(conn net.Conn, buffer <-chan []byte) {
	var waiting []byte
	ticker := time.NewTicker(segmentTime)
	defer ticker.Stop()
	for {
		if len(waiting) == 0 {
			data, ok := <-buffer
			if !ok {
				return
			}
			waiting = data
		}
		for more := true; more && len(waiting) < segmentBytes; {
			select {
			case data, ok := <-buffer:
				waiting = append(waiting, data...)
				more = ok
			default:
				more = false
			}
		}
		n := min(len(waiting), segmentBytes)
		if _, err := conn.Write(waiting[:n]); err != nil {
			return
		}
		waiting = waiting[n:]
		<-ticker.C
	}
}

// close closes the connection.
func (k *crew) close() {
	if k.conn != nil {
		_ = k.conn.Close()
		close(k.buffer)
	}
	k.conn = nil
}

// do sends a request on the kept connection and returns the answer and whether the connection
// had carried others.
func (k *crew) do(r request) (answer, bool) {
	if k.conn == nil {
		if err := k.connect(); err != nil {
			return answer{err: err}, false
		}
	}
	f, kept := k.fleet, k.carried > 0
	f.record.line("client sends %s %s %s to %s, %d bytes, kept connection %v", r.id, r.method, r.path, k.entry.name, len(r.body), kept)
	_ = k.conn.SetDeadline(time.Now().Add(r.deadline))
	k.buffer <- []byte(fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %s\r\nContent-Length: %d\r\n\r\n",
		r.method, r.path, host, r.id, strconv.FormatInt(r.deadline.Milliseconds(), 10), len(r.body)))
	k.buffer <- append([]byte(nil), r.body...)
	a := k.read(r)
	f.record.line("client has for %s: status %d%s", r.id, a.status, errorText(a.err))
	if a.status == 0 || a.err != nil {
		k.close()
		return a, kept
	}
	k.carried++
	return a, kept
}

// read reads one answer. It closes the connection if the answer says so.
func (k *crew) read(r request) answer {
	response, err := http.ReadResponse(k.reader, &http.Request{Method: r.method})
	if err != nil {
		return answer{err: err}
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if response.Close {
		defer k.close()
	}
	return answer{status: response.StatusCode, signature: response.Header.Get("Server-Signature"), body: string(data), err: err}
}

// burst has crews that upload photos and send invoices on kept connections. In the burst there
// are more of them, and the service of the uploads has too few slots.
func burst(f *fleet, trouble bool) error {
	if err := startBurst(f); err != nil {
		return err
	}
	var lost atomic.Int64
	var crews sync.WaitGroup
	work := func(until time.Time) {
		k := &crew{fleet: f}
		defer k.close()
		time.Sleep(rand.N(2 * jobPause))
		for time.Now().Before(until) {
			lost.Add(k.job())
			time.Sleep(jobPause/2 + rand.N(jobPause))
		}
	}
	end := time.Now().Add(quietTime + burstTime + quietTime)
	for range usualClients {
		crews.Go(func() { work(end) })
	}
	if trouble {
		time.Sleep(quietTime)
		more := int((burstFactor - 1) * usualClients)
		f.record.line("TROUBLE burst: %d more clients for %v", more, burstTime)
		burstEnd := time.Now().Add(burstTime)
		for range more {
			crews.Go(func() { work(burstEnd) })
		}
	}
	crews.Wait()
	time.Sleep(time.Second)
	f.record.line("%d requests of kept connections were passed on and cut without an answer", lost.Load())
	if n := lost.Load(); n > lostLimit {
		f.record.breach("LOST: %d requests of kept connections were passed on to sound backend servers, and their connections closed without an answer", n)
	}
	return nil
}

// startBurst starts the servers of two services and two instances.
func startBurst(f *fleet) error {
	f.configure(3, []route{
		{name: "photo-upload", prefix: "/photos/", kind: "upload", service: serviceName, timeout: 4, target: 1, attempts: 2},
		{name: "close-invoice", prefix: "/invoices/", kind: "unsafe", service: invoiceService, timeout: 2.5, target: 1, attempts: 2},
	}, serviceName, invoiceService)
	for i := range 2 {
		if _, err := f.addServer(serviceName, fmt.Sprintf("i-photo-%d", i), "", 240*time.Millisecond); err != nil {
			return err
		}
	}
	for i := range 10 {
		if _, err := f.addServer(invoiceService, fmt.Sprintf("i-invoice-%d", i), "", 200*time.Millisecond); err != nil {
			return err
		}
	}
	return f.startInstances(2)
}

// job uploads a photo and sends an invoice. It returns how many requests were passed on from a
// kept connection and not answered.
func (k *crew) job() int64 {
	var lost int64
	for _, r := range []request{
		newRequest(http.MethodPost, fmt.Sprintf("/photos/%d", rand.IntN(1e6)), randomBytes(photoBytes), false),
		newRequest(http.MethodPost, fmt.Sprintf("/invoices/%d", rand.IntN(1e6)), randomBytes(invoiceBytes), false),
	} {
		a, kept := k.do(r)
		if a.status != 0 || !kept {
			continue
		}
		time.Sleep(200 * time.Millisecond)
		if len(k.fleet.runsOf(r.id)) > 0 {
			k.fleet.record.line("%s was passed on from a kept connection and not answered", r.id)
			lost++
		}
	}
	return lost
}
