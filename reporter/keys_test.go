package reporter

import (
	"encoding/json"
	"testing"

	"monsoonswitch/asserter"
)

// TestKeys checks the JSON keys of a report, which other tools read.
func TestKeys(t *testing.T) {
	asserter.Keys(t, "testdata/keys.golden", map[string]any{
		"report": Report{},
	}, json.Marshal, json.Unmarshal)
}
