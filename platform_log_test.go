package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	"monsoonswitch/asserter"
	"monsoonswitch/descriptor"
)

// TestPlatformLogOfSecondAnswers guards against log lines of libraries, which have no number and
// no bound, one for each answer that a backend server writes twice.
func TestPlatformLogOfSecondAnswers(t *testing.T) {
	f := newPlatformFleet(t, 1, 1)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	asserter.NoError(t, "listen", err)
	t.Cleanup(func() { _ = l.Close() })
	acceptAll(l, answerTwice)
	f.store.set("op/config", routing(2, "ledger", "moving"))
	f.store.set("servers/twice", map[string]any{
		"service": "moving", "address": l.Addr().String(), "zone": "a", "version": "v1",
		"slots": 3, "state": "ready", "cold_remaining_s": 0, "sequence": 1, "born": 1,
	})
	p := f.instances[0]
	asserter.Eventually(t, "serves", waitLimit, func() bool {
		status, _ := f.send(p, "GET", "moving.example", "/safe/a", "")
		return status == http.StatusOK
	})
	const requests = 100
	started := time.Now()
	for i := range requests {
		f.send(p, "GET", "moving.example", fmt.Sprint("/safe/", i), "")
		time.Sleep(5 * time.Millisecond)
	}
	limit := 3 + int(time.Since(started).Seconds())
	time.Sleep(500 * time.Millisecond)
	data, err := os.ReadFile(p.settings + ".log")
	asserter.NoError(t, "read log", err)
	messages := 0
	for _, line := range bytes.Split(bytes.TrimSpace(data), []byte("\n")) {
		var e struct{ Event int }
		if err := json.Unmarshal(line, &e); err != nil || e.Event == 0 {
			t.Errorf("line without an event: %s", line)
		}
		if e.Event == descriptor.NoteLibrary {
			messages++
		}
	}
	asserter.AtLeast(t, "messages of libraries", messages, 1)
	asserter.AtMost(t, "messages of libraries", messages, limit)
}

// answerTwice writes each answer twice, the second one a moment later.
func answerTwice(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		text := fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Signature: %s\r\nContent-Length: 3\r\n\r\nran", r.Header.Get("Request-Id"), signature)
		for range 2 {
			if _, err := io.WriteString(conn, text); err != nil {
				return
			}
			time.Sleep(2 * time.Millisecond)
		}
	}
}
