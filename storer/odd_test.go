package storer

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"

	"monsoonswitch/asserter"
	"monsoonswitch/descriptor"
)

// odd holds values that another writer may leave among the backend servers.
var odd = map[string]string{
	"nested 10,000 levels":   strings.Repeat("[", 10_000) + strings.Repeat("]", 10_000),
	"nested 200,000 objects": strings.Repeat(`{"a":`, 200_000) + "1" + strings.Repeat("}", 200_000),
	"number too large":       `{"ID":"x","Address":"10.0.0.9:1","Slots":1e400}`,
	"slots beyond integers":  `{"ID":"x","Address":"10.0.0.9:1","Slots":99999999999999999999}`,
	"port out of range":      `{"ID":"x","Address":"10.0.0.9:99999","Slots":3}`,
	"port zero":              `{"ID":"x","Address":"10.0.0.9:0","Slots":3}`,
	"no port":                `{"ID":"x","Address":"10.0.0.9","Slots":3}`,
	"text instead of number": `{"ID":"x","Address":"10.0.0.9:1","Slots":"3"}`,
	"a list":                 `[1,2,3]`,
	"null":                   `null`,
	"spaces":                 strings.Repeat(" ", 1<<20) + `1`,
	"brackets in text":       `{"ID":"x","Address":"` + strings.Repeat("[", 10_000) + `","Slots":3}`,
}

// decodeText decodes the body of an answer.
func decodeText(text string, result any) error {
	return DecodeBody(&http.Response{Body: io.NopCloser(strings.NewReader(text))}, result)
}

// TestOddEntry guards against one odd entry among those of the backend servers that makes
// the whole list malformed, so that instances stop following it.
func TestOddEntry(t *testing.T) {
	good := `{"ID":"b1","Address":"10.0.0.1:80","Slots":3}`
	for name, entry := range odd {
		t.Run(name, func(t *testing.T) {
			var l Listing
			err := decodeText(`{"version":7,"services":[{"name":"ledger","version":3,"backends":[`+good+`,`+entry+`]}]}`, &l)
			asserter.NoError(t, "listing", err)
			asserter.Equal(t, "backend servers", backendsDocument(l.Services[0], 0).Backends, []descriptor.Backend{{ID: "b1", Address: "10.0.0.1:80", Slots: 3}})
			var p Page
			err = decodeText(`{"revision":7,"items":[{"key":"a","revision":1,"value":1},{"key":"b","revision":2,"value":`+entry+`},{"key":"c","revision":3,"value":2}]}`, &p)
			asserter.NoError(t, "page", err)
			asserter.Equal(t, "items", len(p.Items), 3)
			asserter.Equal(t, "the value after it", string(p.Items[2].Value), "2")
		})
	}
}

func FuzzCutNesting(f *testing.F) {
	f.Add([]byte(`{"a":"[\\\"[","b":[1]}`))
	for _, text := range odd {
		f.Add([]byte(text[:min(len(text), 1000)]))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var want, got any
		if json.Unmarshal(data, &want) != nil {
			return
		}
		asserter.NoError(t, "decode", json.Unmarshal(cutNesting(data), &got))
		if !nestedTooDeeply(data) {
			asserter.Equal(t, "value", got, want)
		}
	})
}
