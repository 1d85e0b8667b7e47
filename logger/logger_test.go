package logger

import (
	"bytes"
	"os"
	"regexp"
	"strconv"
	"testing"

	"monsoonswitch/asserter"
)

var row = regexp.MustCompile(`(?m)^\| (\d+) \| (\w+) \| ([^|]+) \|`)

// TestCatalogue compares the events of the code with docs/EVENTS.md.
func TestCatalogue(t *testing.T) {
	data, err := os.ReadFile("../docs/EVENTS.md")
	asserter.NoError(t, "read catalogue", err)
	documented := make(map[int]bool)
	for _, m := range row.FindAllStringSubmatch(string(data), -1) {
		number, err := strconv.Atoi(m[1])
		asserter.NoError(t, "number", err)
		documented[number] = true
		asserter.Equal(t, "level of "+m[1], m[2], Catalogue[number].Level.String())
		asserter.Equal(t, "text of "+m[1], m[3], Catalogue[number].Text)
	}
	for number := range Catalogue {
		asserter.True(t, "documented: "+strconv.Itoa(number), documented[number])
	}
	asserter.Equal(t, "events", len(documented), len(Catalogue))
}

func TestNew(t *testing.T) {
	var out bytes.Buffer
	l, err := New(&out, "info", "json", "entry-1", Volume{})
	asserter.NoError(t, "new", err)
	l.Event(1001, "", "entry-1", "")
	l.Close()
	asserter.True(t, "numbered", bytes.Contains(out.Bytes(), []byte(`"event":1001`)))
	_, err = New(&out, "loud", "json", "entry-1", Volume{})
	asserter.ErrorIs(t, "level", err, ErrSetting)
	_, err = New(&out, "info", "xml", "entry-1", Volume{})
	asserter.ErrorIs(t, "format", err, ErrSetting)
}
