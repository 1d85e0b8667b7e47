package imitator

import (
	"encoding/json"
	"testing"

	"monsoonswitch/asserter"
)

// TestKeys checks the JSON keys by which faults are set and counts are read.
func TestKeys(t *testing.T) {
	asserter.Keys(t, "testdata/keys.golden", map[string]any{
		"backendfault":  BackendFault{},
		"backendcounts": BackendCounts{},
		"storefault":    StoreFault{},
		"storecalls":    StoreCalls{},
	}, json.Marshal, json.Unmarshal)
}
