package logger

import (
	"bytes"
	"log"
	"strings"
	"testing"
	"time"

	"monsoonswitch/asserter"
)

func TestLibraryBudget(t *testing.T) {
	var b libraryBudget
	start := time.Unix(1000, 0)
	logged := 0
	for i := range 1000 {
		var ok bool
		if b, ok = b.WithMessage(start.Add(time.Duration(i) * 10 * time.Millisecond)); ok {
			logged++
		}
	}
	asserter.Equal(t, "logged in 10 s", logged, 3+9)
	asserter.AtLeast(t, "omitted", b.omitted, 900)
}

func TestPanics(t *testing.T) {
	var out bytes.Buffer
	l, err := New(&out, "info", "json", "entry-1", RequestLimits{})
	asserter.NoError(t, "new", err)
	for range 10 {
		l.Panic("request", strings.Repeat("x", 2*maxPanicBytes))
	}
	l.Close()
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	asserter.Equal(t, "lines", len(lines), 3)
	for _, line := range lines {
		asserter.True(t, "numbered", strings.Contains(line, `"event":1013`))
		asserter.AtMost(t, "bytes", len(line), maxPanicBytes+500)
	}
}

func TestLibraries(t *testing.T) {
	var out bytes.Buffer
	l, err := New(&out, "info", "json", "entry-1", RequestLimits{})
	asserter.NoError(t, "new", err)
	library := log.New(l.Libraries(), "", 0)
	for range 10 {
		library.Print("connection to ", strings.Repeat("x", 2*maxLibraryBytes))
	}
	l.Close()
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	asserter.Equal(t, "lines", len(lines), 3)
	for _, line := range lines {
		asserter.True(t, "numbered: "+line, strings.Contains(line, `"event":1009`))
		asserter.AtMost(t, "bytes", len(line), 2*maxLibraryBytes)
	}
}
