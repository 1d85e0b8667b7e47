package operator

import (
	"encoding/json"
	"testing"

	"monsoonswitch/asserter"
)

// TestKeys guards the names of the fields that operators see.
func TestKeys(t *testing.T) {
	asserter.Keys(t, "testdata/keys.golden", map[string]any{
		"status": Status{},
		"dump":   FullDump{},
	}, json.Marshal, json.Unmarshal)
}
