package loader

import (
	"encoding/json"
	"testing"

	"monsoonswitch/asserter"
)

// TestKeys guards the names of the fields of a result in JSON.
func TestKeys(t *testing.T) {
	asserter.Keys(t, "testdata/keys.golden", map[string]any{
		"result": Result{},
	}, json.Marshal, json.Unmarshal)
}
