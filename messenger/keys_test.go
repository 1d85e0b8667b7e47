package messenger

import (
	"fmt"
	"testing"

	"monsoonswitch/asserter"
)

// TestKeys guards the names of the fields on a link: the other end drops a field
// that it does not know, and reads zero.
func TestKeys(t *testing.T) {
	documents := make(map[string]any)
	for _, m := range samples() {
		documents[fmt.Sprintf("message-%02d", m.Type())] = m
	}
	asserter.Equal(t, "documents", len(documents), len(decoders))
	asserter.Keys(t, "testdata/keys.golden", documents, encoding.Marshal, decoding.Unmarshal)
}
