package declarer

import (
	"strings"
	"testing"
	"time"

	"monsoonswitch/asserter"
)

const validDeclaration = `
[service]
name = ledger
floor = 60%
[class lookup]
target = 300ms
idempotent = true
[class note]
target = 1s
[route lines]
method = GET, head
path = /lines/
class = lookup
[route special]
path = /lines/special/
class = lookup
[route notes]
method = POST
path = /notes
class = note
`

func TestParse(t *testing.T) {
	s, err := Parse("ledger.ini", []byte(validDeclaration))
	asserter.NoError(t, "parse", err)
	asserter.Equal(t, "name", s.Name, "ledger")
	asserter.Equal(t, "target", s.Classes[0].Target, 300*time.Millisecond)
	asserter.Equal(t, "methods", s.Routes[0].Methods, []string{"GET", "HEAD"})
	t.Run("floor", func(t *testing.T) {
		for n, want := range map[int]int{0: 0, 1: 1, 5: 3, 11: 7, 21: 13} {
			asserter.Equal(t, "backend servers to leave", s.MinRemaining(n), want)
		}
	})
	t.Run("match", func(t *testing.T) {
		for _, c := range []struct {
			method, path, class string
			ok                  bool
		}{
			{"GET", "/lines/7", "lookup", true},
			{"POST", "/lines/7", "", false},
			{"POST", "/lines/special/7", "lookup", true},
			{"POST", "/notes", "note", true},
			{"GET", "/", "", false},
		} {
			got, ok := s.Match(c.method, c.path)
			asserter.Equal(t, c.method+" "+c.path, ok, c.ok)
			asserter.Equal(t, c.method+" "+c.path, got.Name, c.class)
		}
	})
}

func TestParseErrors(t *testing.T) {
	for _, c := range []struct{ name, from, to, mentions string }{
		{"unknown key", "floor = 60%", "floor = 60%\nweight = 3", "[service] weight"},
		{"key twice", "target = 300ms", "target = 300ms\ntarget = 1s", "[class lookup] target"},
		{"unknown section", "[class note]", "[server x]", "[server x]"},
		{"bad target", "target = 300ms", "target = soon", "[class lookup] target"},
		{"missing target", "target = 300ms", "", "[class lookup] target"},
		{"negative target", "target = 300ms", "target = -1s", "[class lookup] target"},
		{"bad flag", "idempotent = true", "idempotent = perhaps", "[class lookup] idempotent"},
		{"missing floor", "floor = 60%", "", "[service] floor"},
		{"floor too large", "floor = 60%", "floor = 160%", "[service] floor"},
		{"bad name", "name = ledger", "name = Ledger One", "[service] name"},
		{"unknown class", "class = note", "class = other", "[route notes] class"},
		{"bad path", "path = /notes", "path = notes", "[route notes] path"},
		{"reserved path", "path = /notes", "path = /-/notes", "[route notes] path"},
		{"bad state", "floor = 60%", "floor = 60%\nstate = ajar", "[service] state"},
		{"safe method for non-idempotent work", "method = POST", "method = GET", "[route notes] method"},
		{"any method for non-idempotent work", "method = POST", "", "[route notes] method"},
		{"second service", "[class note]", "[service]\nname = b\nfloor = 1\n[class note]", "[service]"},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := Parse("ledger.ini", []byte(strings.Replace(validDeclaration, c.from, c.to, 1)))
			asserter.ErrorIs(t, "parse", err, ErrInvalid)
			asserter.True(t, "names file and key: "+err.Error(), strings.Contains(err.Error(), "ledger.ini: "+c.mentions))
		})
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(validDeclaration))
	f.Add([]byte("[service]\nname=a\nfloor=nan%"))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := Parse("f", data)
		if err != nil {
			return
		}
		asserter.NoError(t, "check again", s.Check("f"))
		asserter.AtLeast(t, "backend servers to leave of ten", s.MinRemaining(10), 1)
	})
}
