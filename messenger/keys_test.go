package messenger

import (
	"fmt"
	"testing"

	"monsoonswitch/asserter"
)

// TestKeys compares the encoded field names of all messages with a golden file. A peer
// silently drops a field under an unknown name and reads zero under the old one.
func TestKeys(t *testing.T) {
	documents := make(map[string]any)
	for _, m := range samples() {
		documents[fmt.Sprintf("message-%02d", m.Type())] = m
	}
	asserter.Equal(t, "documents", len(documents), len(decoders))
	asserter.Keys(t, "testdata/keys.golden", documents, encMode.Marshal, decMode.Unmarshal)
}
