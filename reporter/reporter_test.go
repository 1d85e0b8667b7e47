package reporter

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"monsoonswitch/asserter"
	"monsoonswitch/counter"
	"monsoonswitch/declarer"
	"monsoonswitch/descriptor"
)

var began = time.Date(2026, 5, 1, 0, 0, 0, 0, time.UTC)

// counterWith returns the counter of one incarnation with the given numbers of ended
// requests.
func counterWith(instance string, served, refused int) *counter.Counter {
	c := counter.New(descriptor.Member{ID: instance, Incarnation: 5})
	for range served {
		c.Receive(began, "billing")
		c.End(began, "billing", "read", descriptor.Served, descriptor.Ran, 100, 20*time.Millisecond)
	}
	for range refused {
		c.Receive(began, "billing")
		c.End(began, "billing", "read", descriptor.Overloaded, descriptor.NotRun, 0, 0)
	}
	return c
}

// tallyAt returns the tally of a counter at a time after began.
func tallyAt(c *counter.Counter, at time.Duration) descriptor.Tally {
	t, _ := c.Tally(began.Add(at), "billing")
	return t
}

func TestBuild(t *testing.T) {
	service := declarer.Service{Name: "billing", State: declarer.Closed}
	t.Run("repeated or unordered tallies do not change the report", func(t *testing.T) {
		a := counterWith("a", 10, 2)
		old := tallyAt(a, 0)
		a.Receive(began, "billing")
		a.End(began, "billing", "read", descriptor.Served, descriptor.Ran, 100, time.Millisecond)
		a.Finish()
		newest := tallyAt(a, time.Minute)
		r := Build(service, 9, []descriptor.Tally{newest, old, newest, old}, began.Add(time.Hour))
		asserter.Equal(t, "received", r.Received, uint64(13))
		asserter.Equal(t, "served", r.Served, uint64(11))
		asserter.Equal(t, "refused", r.Refused, uint64(2))
		asserter.Equal(t, "sealed", r.Sealed, true)
	})
	t.Run("a vanished incarnation is listed with an estimate of its missing requests", func(t *testing.T) {
		b := counterWith("b", 100, 0)
		b.Receive(began, "billing")
		r := Build(service, 9, []descriptor.Tally{tallyAt(b, 50*time.Second)}, began.Add(time.Hour))
		asserter.Equal(t, "vanished", r.Vanished, 1)
		asserter.Equal(t, "name", r.Instances[0].Instance, "b")
		asserter.AtLeast(t, "unaccounted", r.Unaccounted, 1+2*2*3)
		asserter.Equal(t, "sealed", r.Sealed, false)
	})
	t.Run("an incarnation that still reports has not vanished", func(t *testing.T) {
		b := counterWith("b", 100, 0)
		r := Build(service, 9, []descriptor.Tally{tallyAt(b, time.Minute)}, began.Add(time.Minute+time.Second))
		asserter.Equal(t, "vanished", r.Vanished, 0)
	})
}

func TestFormats(t *testing.T) {
	r := Build(declarer.Service{Name: "billing"}, 9, []descriptor.Tally{tallyAt(counterWith("a", 10, 2), 0)}, began)
	for _, f := range []struct {
		name  string
		write func(*bytes.Buffer) error
		want  string
	}{
		{"text", func(b *bytes.Buffer) error { return r.Text(b) }, "served whole"},
		{"json", func(b *bytes.Buffer) error { return r.JSON(b) }, `"received": 12`},
		{"html", func(b *bytes.Buffer) error { return r.HTML(b) }, "<svg"},
	} {
		t.Run(f.name, func(t *testing.T) {
			var b bytes.Buffer
			asserter.NoError(t, "write", f.write(&b))
			asserter.True(t, "has "+f.want, strings.Contains(b.String(), f.want))
		})
	}
}
