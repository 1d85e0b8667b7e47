package loader

import (
	"encoding/json"
	"testing"

	"monsoonswitch/asserter"
)

// TestKeys checks the JSON keys of a result, which other tools read.
func TestKeys(t *testing.T) {
	asserter.Keys(t, "testdata/keys.golden", map[string]any{
		"result": Result{},
	}, json.Marshal, json.Unmarshal)
}
