package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"monsoonswitch/asserter"
)

// TestPlatformWorkOnOwnPaths guards against work being answered by the instance itself: on the
// listener for callers each path belongs to the routes, also those that the instance serves on
// its listener for questions.
func TestPlatformWorkOnOwnPaths(t *testing.T) {
	f := newPlatformFleet(t, 1, 2)
	p := f.instances[0]
	all := routing(2, "ledger")
	routes := all["routes"].(map[string]any)
	routes["rows"] = append(routes["rows"].([][]any), []any{"all", "all.example", "/", "unsafe", 2, 1, 1, nil, 1, "ledger"})
	f.store.set("op/config", all)
	asserter.Eventually(t, "the route is in force", waitLimit, func() bool {
		status, _ := f.send(p, "POST", "all.example", "/booking", "work")
		return status == 200
	})
	for _, path := range []string{"/readiness", "/resolve", "/-/ready", "/-/addresses", "/-/"} {
		for _, method := range []string{"POST", "GET", "PUT", "OPTIONS"} {
			t.Run(method+" "+path+" is run", func(t *testing.T) {
				status, body := f.send(p, method, "all.example", path+"?zone=a", "")
				asserter.Equal(t, "status", status, 200)
				asserter.Equal(t, "body", body, fmt.Sprintf("%s %s by ledger", method, path))
			})
		}
	}
	for _, path := range []string{"/readiness", "/resolve"} {
		t.Run(path+" without a route is not served", func(t *testing.T) {
			asserter.Eventually(t, "status 404", waitLimit, func() bool {
				status, _ := f.send(p, "GET", "ledger.example", path, "")
				return status == 404
			})
		})
		t.Run(path+" answers questions on its own listener", func(t *testing.T) {
			status, _ := f.get(p, path)
			asserter.Equal(t, "status", status, 200)
			status, _ = f.do(p.questions, "POST", "all.example", path, "work", 2000)
			asserter.Equal(t, "status of a POST", status, 405)
		})
	}
	t.Run("a request for all paths is no success of the instance", func(t *testing.T) {
		conn, err := net.Dial("tcp", p.front)
		asserter.NoError(t, "dial", err)
		defer func() { _ = conn.Close() }()
		asserter.NoError(t, "deadline", conn.SetDeadline(time.Now().Add(waitLimit)))
		_, err = io.WriteString(conn, "OPTIONS * HTTP/1.1\r\nHost: all.example\r\nRequest-Id: asterisk\r\n\r\n")
		asserter.NoError(t, "write", err)
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		asserter.NoError(t, "read", err)
		asserter.Equal(t, "status", response.StatusCode, 404)
	})
}
