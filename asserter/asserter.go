// Package asserter provides the assertions shared by all tests. The parameter what
// names the checked value in failure messages.
package asserter

import (
	"errors"
	"reflect"
	"testing"
	"time"
)

// Equal fails unless got and want are deeply equal.
func Equal[T any](t testing.TB, what string, got, want T) {
	t.Helper()
	if !reflect.DeepEqual(got, want) {
		t.Errorf("%s: got %+v, want %+v", what, got, want)
	}
}

// True fails unless got is true.
func True(t testing.TB, what string, got bool) {
	t.Helper()
	if !got {
		t.Errorf("%s: got false, want true", what)
	}
}

// NoError fails and stops the test if got is not nil.
func NoError(t testing.TB, what string, got error) {
	t.Helper()
	if got != nil {
		t.Fatalf("%s: got error %v, want none", what, got)
	}
}

// ErrorIs fails unless got wraps want.
func ErrorIs(t testing.TB, what string, got, want error) {
	t.Helper()
	if !errors.Is(got, want) {
		t.Errorf("%s: got error %v, want %v", what, got, want)
	}
}

// AtMost fails if got is larger than want.
func AtMost[T int | int64 | uint64 | float64 | time.Duration](t testing.TB, what string, got, want T) {
	t.Helper()
	if got > want {
		t.Errorf("%s: got %v, want at most %v", what, got, want)
	}
}

// AtLeast fails if got is smaller than want.
func AtLeast[T int | int64 | uint64 | float64 | time.Duration](t testing.TB, what string, got, want T) {
	t.Helper()
	if got < want {
		t.Errorf("%s: got %v, want at least %v", what, got, want)
	}
}

// pollInterval is the time between two checks by Eventually.
const pollInterval = 20 * time.Millisecond

// Eventually calls ready until it returns true, and fails and stops the test if that
// does not happen within limit. The limit should be generous: it ends tests that hang
// and is no check of speed.
func Eventually(t testing.TB, what string, limit time.Duration, ready func() bool) {
	t.Helper()
	deadline := time.Now().Add(limit)
	for !ready() {
		if time.Now().After(deadline) {
			t.Fatalf("%s: condition not met within %v", what, limit)
		}
		time.Sleep(pollInterval)
	}
}
