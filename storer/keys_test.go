package storer

import (
	"encoding/json"
	"testing"

	"monsoonswitch/asserter"
	"monsoonswitch/declarer"
	"monsoonswitch/descriptor"
)

// TestKeys compares the encoded field names of values in the platform's store with a
// golden file.
func TestKeys(t *testing.T) {
	asserter.Keys(t, "testdata/keys.golden", map[string]any{
		"item":      Item{},
		"page":      Page{},
		"listing":   Listing{},
		"claim":     claim{},
		"service":   declarer.Service{},
		"ejections": []descriptor.Ejection{},
		"tallies":   []descriptor.Tally{},
		"backend":   descriptor.Backend{},
	}, json.Marshal, json.Unmarshal)
}
