package logger

import (
	"bytes"
	"os"
	"regexp"
	"strconv"
	"testing"
	"time"

	"monsoonswitch/asserter"
	"monsoonswitch/descriptor"
)

var row = regexp.MustCompile(`(?m)^\| (\d+) \| (\w+) \| ([^|]+) \|`)

// TestCatalogue compares the events in the code with docs/EVENTS.md.
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
	l, err := New(&out, "info", "json", "entry-1", RequestLimits{})
	asserter.NoError(t, "new", err)
	l.Event(1001, "", "entry-1", "")
	l.Close()
	asserter.True(t, "numbered", bytes.Contains(out.Bytes(), []byte(`"event":1001`)))
	_, err = New(&out, "loud", "json", "entry-1", RequestLimits{})
	asserter.ErrorIs(t, "level", err, ErrSetting)
	_, err = New(&out, "info", "xml", "entry-1", RequestLimits{})
	asserter.ErrorIs(t, "format", err, ErrSetting)
}

// blockedOutput is an output whose writes block until release is closed.
type blockedOutput struct{ release chan struct{} }

// Write implements io.Writer.
func (b blockedOutput) Write(p []byte) (int, error) {
	<-b.release
	return len(p), nil
}

// newRequestTrace returns the trace of a request that ended with reason.
func newRequestTrace(reason descriptor.Reason) descriptor.RequestTrace {
	return descriptor.RequestTrace{Label: "id", Reason: reason, Target: time.Second, Entries: []descriptor.TraceEntry{
		{Number: descriptor.NoteAdmitted}, {Number: descriptor.NoteDispatched, Backend: "b", Attempt: 1},
	}}
}

// TestBlockedOutput guards against a log output that blocks the caller of the logger.
// Lines must be dropped instead, and counted.
func TestBlockedOutput(t *testing.T) {
	out := blockedOutput{make(chan struct{})}
	l, err := New(out, "info", "json", "entry-1", RequestLimits{Notable: 1e5, Sampled: 1e5})
	asserter.NoError(t, "new", err)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 2 * queueLength {
			l.LogRequest(time.Now(), newRequestTrace(descriptor.BackendFailed))
		}
	}()
	select {
	case <-done:
	case <-time.After(time.Minute):
		t.Fatal("the logger blocks, want lines dropped")
	}
	asserter.AtLeast(t, "lines dropped", l.Dropped(), uint64(queueLength))
	close(out.release)
	l.Close()
}

func TestRequestLimits(t *testing.T) {
	var out bytes.Buffer
	l, err := New(&out, "info", "json", "entry-1", RequestLimits{Notable: 2, Sampled: 1})
	asserter.NoError(t, "new", err)
	now := time.Unix(1000, 0)
	// For ten seconds, one request fails and one succeeds every millisecond.
	for i := range 10000 {
		at := now.Add(time.Duration(i) * time.Millisecond)
		l.LogRequest(at, newRequestTrace(descriptor.BackendFailed))
		l.LogRequest(at, newRequestTrace(descriptor.Served))
	}
	l.LogRequest(now.Add(time.Minute), newRequestTrace(descriptor.BackendFailed))
	l.Close()
	count := func(text string) int { return bytes.Count(out.Bytes(), []byte(text)) }
	t.Run("the numbers of logged requests stay within the budget", func(t *testing.T) {
		asserter.AtMost(t, "failed requests logged", count(`"reason":"backend-failed"`), 2*10+2*3+1)
		asserter.AtMost(t, "other requests logged", count(`"reason":"served"`), 1*10+1*3)
	})
	t.Run("logged requests have all their events", func(t *testing.T) {
		asserter.Equal(t, "requests sent to a backend server", count(`"event":6003`), count(`"event":6008`))
	})
	t.Run("omitted requests are counted", func(t *testing.T) {
		asserter.AtLeast(t, "counts", count(`"event":6009`), 1)
	})
}
