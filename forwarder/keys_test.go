package forwarder

import (
	"encoding/json"
	"testing"

	"monsoonswitch/asserter"
)

// TestKeys guards the names of the fields that callers read.
func TestKeys(t *testing.T) {
	asserter.Keys(t, "testdata/keys.golden", map[string]any{
		"addresses": AddressAnswer{},
		"problem":   problem{},
		"refusal":   refusal{},
	}, json.Marshal, json.Unmarshal)
}
