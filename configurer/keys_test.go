package configurer

import (
	"encoding/json"
	"testing"

	"monsoonswitch/asserter"
)

// TestKeys guards the names of the settings in a dump.
func TestKeys(t *testing.T) {
	asserter.Keys(t, "testdata/keys.golden", map[string]any{
		"settings": Settings{},
	}, json.Marshal, json.Unmarshal)
}
