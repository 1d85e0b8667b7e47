package loader

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"monsoonswitch/caller"
	"monsoonswitch/forwarder"
)

// linkBuffer is the receive buffer of a slow link in bytes. What it doesn't hold waits at the
// instance.
const linkBuffer = 16 << 10

// slowLink reads from a connection at a rate in bytes a second; rate 0 means without a limit.
type slowLink struct {
	conn net.Conn
	rate int
}

// Read implements io.Reader.
func (l slowLink) Read(p []byte) (int, error) {
	if l.rate == 0 {
		return l.conn.Read(p)
	}
	n, err := l.conn.Read(p[:min(len(p), maxBodyChunk)])
	time.Sleep(time.Duration(float64(n) / float64(l.rate) * float64(time.Second)))
	return n, err
}

// pipeline sends safe requests one behind the other until ctx ends. Each caller keeps its
// connection until the instance closes it.
func (r *Runner) pipeline(ctx context.Context, index int, inFlight *sync.WaitGroup) {
	w := r.scenario.Work[index]
	for i := range w.Callers {
		inFlight.Add(1)
		go func() {
			defer inFlight.Done()
			p := &pipeline{runner: r, index: index, work: w, name: w.Name + "-" + strconv.Itoa(i)}
			from := r.callers[i%len(r.callers)]
			for ctx.Err() == nil {
				if !p.connect(ctx, from) {
					sleepUntil(ctx, time.Now().Add(reconnectPause))
				}
			}
		}()
	}
	<-ctx.Done()
}

// reconnectPause is the time between two tries to connect, and after a refusal.
const reconnectPause = 100 * time.Millisecond

// pipeline is a caller that sends requests one behind the other.
type pipeline struct {
	runner *Runner
	index  int
	work   Work
	name   string
	sent   int
	// refused reports whether an answer of the last batch was a refusal.
	refused bool
	// redirect is the address that an instance named in a refusal, or empty.
	redirect string
}

// connect opens a connection and uses it until it is closed, or until an instance names another
// address. It reports false if there is
// none.
func (p *pipeline) connect(ctx context.Context, from *caller.Caller) bool {
	address := p.redirect
	p.redirect = ""
	if address == "" {
		list, err := from.Addresses(ctx, p.work.Service, p.name)
		if err != nil {
			return false
		}
		address = list[0].Address
	}
	dialer := net.Dialer{Timeout: time.Second}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return false
	}
	defer func() { _ = conn.Close() }()
	if t, ok := conn.(*net.TCPConn); ok {
		_ = t.SetReadBuffer(linkBuffer)
	}
	reader := bufio.NewReader(slowLink{conn, p.work.ReadRate})
	for ctx.Err() == nil {
		if !p.batch(conn, reader) {
			return true
		}
		if p.refused && (!sleepUntil(ctx, time.Now().Add(reconnectPause)) || p.redirect != "") {
			return true
		}
	}
	return true
}

// batch sends a request with others behind it and reads the answers. It reports whether the
// connection can be used again. Requests that the instance did not take before it announced
// the close of the connection are not counted.
func (p *pipeline) batch(conn net.Conn, reader *bufio.Reader) bool {
	p.refused = false
	tokens := make([]string, p.work.Behind+1)
	at := time.Now()
	_ = conn.SetDeadline(at.Add(p.work.Timeout))
	for i := range tokens {
		p.sent++
		tokens[i] = fmt.Sprintf("%s-%d-%d", p.name, p.runner.scenario.Seed, p.sent)
		_, err := fmt.Fprintf(conn, "%s %s?token=%s&size=%d&weight=%g HTTP/1.1\r\nHost: fleet\r\nService: %s\r\nCaller: %s\r\n\r\n",
			p.work.Method, p.work.Path, tokens[i], p.work.Size, p.work.Weight, p.work.Service, p.name)
		if err != nil {
			// What was written before may have been taken, and its answers are read.
			tokens = tokens[:i]
			break
		}
	}
	for _, token := range tokens {
		if !p.read(reader, token, at) {
			return false
		}
	}
	return len(tokens) > p.work.Behind
}

// read reads one answer and records it. It reports whether further answers follow.
func (p *pipeline) read(reader *bufio.Reader, token string, at time.Time) bool {
	begun := false
	result, last, err := caller.Result{Tries: 1}, true, error(nil)
	if _, err = reader.Peek(1); err == nil {
		begun = true
		last, err = readAnswer(reader, p.work.Method, &result)
	}
	result.Latency = time.Since(at)
	p.refused = p.refused || result.Refused()
	if result.Reason == "misdirected" {
		var body forwarder.AddressAnswer
		if json.Unmarshal(result.Body, &body) == nil && len(body.Addresses) > 0 {
			p.redirect = body.Addresses[0].Address
		}
	}
	p.runner.record.start(p.index)
	p.runner.record.add(p.index, at.Sub(p.runner.started), token, p.work, result, err, false)
	if err != nil && result.Latency < p.work.Timeout {
		p.runner.record.addBroken(token, begun)
	}
	return err == nil && !last
}

// readAnswer reads an answer and reports whether it is the last one of its connection.
func readAnswer(reader *bufio.Reader, method string, result *caller.Result) (bool, error) {
	response, err := http.ReadResponse(reader, &http.Request{Method: method})
	if err != nil {
		return true, err
	}
	defer response.Body.Close()
	result.Status = response.StatusCode
	result.Reason = response.Header.Get("Monsoon-Reason")
	result.Outcome = response.Header.Get("Monsoon-Outcome")
	result.Body, err = io.ReadAll(io.LimitReader(response.Body, maxPipelined))
	return response.Close, err
}

// maxPipelined bounds the body of an answer in bytes.
const maxPipelined = 64 << 20
