package configurer

import (
	"encoding/json"
	"testing"

	"monsoonswitch/asserter"
)

// TestKeys compares the encoded names of the settings in a dump with a golden file.
func TestKeys(t *testing.T) {
	asserter.Keys(t, "testdata/keys.golden", map[string]any{
		"settings": Settings{},
	}, json.Marshal, json.Unmarshal)
}
