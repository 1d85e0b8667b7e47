package catcher

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"monsoonswitch/asserter"
)

func TestRun(t *testing.T) {
	var places, details []string
	c := New(func(place, detail string) {
		places, details = append(places, place), append(details, detail)
	})
	t.Run("without a panic", func(t *testing.T) {
		asserter.True(t, "nothing is returned", c.Run("call", func() {}) == nil)
		asserter.Equal(t, "reports", len(places), 0)
	})
	t.Run("with a panic", func(t *testing.T) {
		asserter.Equal(t, "value", c.Run("call", func() { panic("broken") }), any("broken"))
		asserter.Equal(t, "places", places, []string{"call"})
		asserter.True(t, "the detail holds the value and the stack", strings.HasPrefix(details[0], "broken\n") && strings.Contains(details[0], "catcher_test.go"))
	})
	t.Run("an aborted handler is not reported", func(t *testing.T) {
		asserter.Equal(t, "value", c.Run("call", func() { panic(http.ErrAbortHandler) }), any(http.ErrAbortHandler))
		asserter.Equal(t, "reports", len(places), 1)
	})
	t.Run("without a catcher", func(t *testing.T) {
		asserter.Equal(t, "value", (*Catcher)(nil).Run("call", func() { panic("broken") }), any("broken"))
	})
}

func TestHandler(t *testing.T) {
	var reports atomic.Int32
	c := New(func(string, string) { reports.Add(1) })
	server := httptest.NewServer(c.Handler("handler", http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic("broken") })))
	defer server.Close()
	_, err := http.Get(server.URL)
	asserter.True(t, "the connection breaks", err != nil)
	asserter.Equal(t, "reports", reports.Load(), int32(1))
}
