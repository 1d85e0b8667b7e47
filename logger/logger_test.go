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

// blocked is an output that takes nothing until it is released.
type blocked struct{ release chan struct{} }

// Write implements io.Writer.
func (b blocked) Write(p []byte) (int, error) {
	<-b.release
	return len(p), nil
}

// trail returns what was decided about a request.
func trail(reason descriptor.Reason) descriptor.Trail {
	return descriptor.Trail{Label: "id", Reason: reason, Target: time.Second, Lines: []descriptor.Trace{
		{Number: descriptor.NoteAdmitted}, {Number: descriptor.NotePlaced, Backend: "b", Attempt: 1},
	}}
}

func TestBlockedOutput(t *testing.T) {
	out := blocked{make(chan struct{})}
	l, err := New(out, "info", "json", "entry-1", Volume{Notable: 1e5, Sampled: 1e5})
	asserter.NoError(t, "new", err)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 2 * queueLines {
			l.Trail(time.Now(), trail(descriptor.BackendFailed))
		}
	}()
	select {
	case <-done:
	case <-time.After(time.Minute):
		t.Fatal("got a logger that blocks, want lines dropped")
	}
	asserter.AtLeast(t, "lines dropped", l.Dropped(), uint64(queueLines))
	close(out.release)
	l.Close()
}

func TestVolume(t *testing.T) {
	var out bytes.Buffer
	l, err := New(&out, "info", "json", "entry-1", Volume{Notable: 2, Sampled: 1})
	asserter.NoError(t, "new", err)
	now := time.Unix(1000, 0)
	// In a storm of ten seconds each millisecond brings a failed request and one
	// that went well.
	for i := range 10000 {
		at := now.Add(time.Duration(i) * time.Millisecond)
		l.Trail(at, trail(descriptor.BackendFailed))
		l.Trail(at, trail(descriptor.Served))
	}
	l.Trail(now.Add(time.Minute), trail(descriptor.BackendFailed))
	l.Close()
	count := func(text string) int { return bytes.Count(out.Bytes(), []byte(text)) }
	t.Run("the budget holds", func(t *testing.T) {
		asserter.AtMost(t, "failed requests told", count(`"reason":"backend-failed"`), 2*10+2*3+1)
		asserter.AtMost(t, "others told", count(`"reason":"served"`), 1*10+1*3)
	})
	t.Run("what is told is told in full", func(t *testing.T) {
		asserter.Equal(t, "placements", count(`"event":6003`), count(`"event":6008`))
	})
	t.Run("what is left out is counted", func(t *testing.T) {
		asserter.AtLeast(t, "counts", count(`"event":6009`), 1)
	})
}
