package loader

import (
	"context"
	"io"
	"testing"
	"time"

	"monsoonswitch/asserter"
)

func TestEmbeddedScenarios(t *testing.T) {
	for _, name := range Names() {
		t.Run(name, func(t *testing.T) {
			s, err := Load(name)
			asserter.NoError(t, "load", err)
			asserter.Equal(t, "name", s.Name, name)
			asserter.AtMost(t, "duration", s.Duration, time.Minute)
		})
	}
}

// TestDemo runs a shortened demo scenario: every guarantee must hold.
func TestDemo(t *testing.T) {
	s, err := Load("demo")
	asserter.NoError(t, "load", err)
	s.Duration = 3 * time.Second
	s.Faults[0].From = time.Second
	result, err := Run(context.Background(), s, io.Discard)
	asserter.NoError(t, "run", err)
	asserter.Equal(t, "violations", result.Violations, nil)
	for _, w := range result.Work {
		asserter.True(t, w.Name+" was served", w.Served > 0)
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte("[scenario]\nname=a\nduration=1s\n[work w]\nservice=ledger\nclass=lookup\npath=/lines/1\n"))
	f.Fuzz(func(_ *testing.T, data []byte) {
		_, _ = Parse("f", data)
	})
}
