package operator

import (
	"encoding/json"
	"testing"

	"monsoonswitch/asserter"
)

// TestKeys compares the encoded field names of status and dump with a golden file.
func TestKeys(t *testing.T) {
	asserter.Keys(t, "testdata/keys.golden", map[string]any{
		"status": Status{},
		"dump":   FullDump{},
	}, json.Marshal, json.Unmarshal)
}
