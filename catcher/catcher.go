// Package catcher recovers from panics in goroutines that handle one request, one link or one
// call, so that they end that alone. The control goroutine must not use it: a decision that
// panicked leaves a state that nothing may be decided from.
package catcher

import (
	"errors"
	"fmt"
	"net/http"
	"runtime/debug"
)

// Report is called with the place of a panic, and its value and stack as text.
type Report func(place, detail string)

// Catcher recovers from panics and reports them. It is safe for use by many goroutines. A nil
// Catcher recovers without a report.
type Catcher struct{ report Report }

// New returns a catcher that reports to r.
func New(r Report) *Catcher { return &Catcher{report: r} }

// Run calls f and returns the value with which it panicked, or nil. It does not report
// http.ErrAbortHandler, by which a handler breaks its connection.
func (c *Catcher) Run(place string, f func()) (value any) {
	defer func() {
		value = recover()
		if value == nil || c == nil || IsAbort(value) {
			return
		}
		c.report(place, fmt.Sprintf("%v\n%s", value, debug.Stack()))
	}()
	f()
	return nil
}

// IsAbort reports whether a panic with this value only breaks the connection of a handler.
func IsAbort(value any) bool {
	err, ok := value.(error)
	return ok && errors.Is(err, http.ErrAbortHandler)
}

// Handler returns a handler whose panics are reported. They break the connection of their
// request, as net/http does by itself.
func (c *Catcher) Handler(place string, h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c.Run(place, func() { h.ServeHTTP(w, r) }) != nil {
			panic(http.ErrAbortHandler)
		}
	})
}
