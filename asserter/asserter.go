// Package asserter holds the assertions that the tests share.
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

// True fails unless got holds.
func True(t testing.TB, what string, got bool) {
	t.Helper()
	if !got {
		t.Errorf("%s: got false, want true", what)
	}
}

// NoError stops the test on an error.
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

// pollTime is the time between looks of Eventually.
const pollTime = 20 * time.Millisecond

// Eventually stops the test unless ready returns true within limit. The limit
// is generous: it ends a test that hangs and judges no speed.
func Eventually(t testing.TB, what string, limit time.Duration, ready func() bool) {
	t.Helper()
	deadline := time.Now().Add(limit)
	for !ready() {
		if time.Now().After(deadline) {
			t.Fatalf("%s: got nothing in %v", what, limit)
		}
		time.Sleep(pollTime)
	}
}
