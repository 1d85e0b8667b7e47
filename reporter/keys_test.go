package reporter

import (
	"encoding/json"
	"testing"

	"monsoonswitch/asserter"
)

// TestKeys guards the names of the fields of a report in JSON.
func TestKeys(t *testing.T) {
	asserter.Keys(t, "testdata/keys.golden", map[string]any{
		"report": Report{},
	}, json.Marshal, json.Unmarshal)
}
