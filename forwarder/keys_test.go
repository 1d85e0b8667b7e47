package forwarder

import (
	"encoding/json"
	"testing"

	"monsoonswitch/asserter"
)

// TestKeys compares the encoded field names of the answers to callers with a golden
// file.
func TestKeys(t *testing.T) {
	asserter.Keys(t, "testdata/keys.golden", map[string]any{
		"addresses": AddressAnswer{},
		"problem":   problem{},
		"refusal":   refusal{},
	}, json.Marshal, json.Unmarshal)
}
