package allocator

import (
	"testing"
	"time"

	"monsoonswitch/asserter"
)

func TestCensus(t *testing.T) {
	now := time.Date(2026, 3, 1, 0, 0, 0, 0, time.UTC)
	c := NewCensus()
	asserter.Equal(t, "share of a whole fleet", c.Heard(4, now), 1)
	asserter.Equal(t, "share without members", c.Heard(0, now), 1)
	c.Lose("a", now)
	c.Lose("b", now.Add(time.Minute))
	asserter.Equal(t, "share with two absent ones", c.Heard(2, now.Add(time.Minute)), 0.5)
	c.Return("b")
	asserter.Equal(t, "share after one returned", c.Heard(3, now.Add(time.Minute)), 0.75)
	asserter.Equal(t, "share once the other is forgotten", c.Heard(3, now.Add(absenceMemory)), 1)
}
