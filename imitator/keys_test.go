package imitator

import (
	"encoding/json"
	"testing"

	"monsoonswitch/asserter"
)

// TestKeys guards the names of the fields that faults are set and counts are read with.
func TestKeys(t *testing.T) {
	asserter.Keys(t, "testdata/keys.golden", map[string]any{
		"backendfault":  BackendFault{},
		"backendcounts": BackendCounts{},
		"storefault":    StoreFault{},
		"storecalls":    StoreCalls{},
	}, json.Marshal, json.Unmarshal)
}
