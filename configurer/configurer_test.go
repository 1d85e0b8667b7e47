package configurer

import (
	"os"
	"strings"
	"testing"

	"monsoonswitch/asserter"
)

func example(t testing.TB) string {
	data, err := os.ReadFile("example.ini")
	asserter.NoError(t, "read example", err)
	return string(data)
}

func TestExample(t *testing.T) {
	s, err := Parse("example.ini", []byte(example(t)))
	asserter.NoError(t, "parse", err)
	asserter.Equal(t, "name", s.Instance.Name, "entry-1")
	t.Run("holds the default of every key", func(t *testing.T) {
		least := "[instance]\nname=entry-1\ndomain=worcester\n[callers]\nlisten=127.0.0.1:9100\n" +
			"[inner]\nlisten=127.0.0.1:9200\nkey=change-this-shared-key\n[platform]\naddress=127.0.0.1:9400\n"
		defaults, err := Parse("least.ini", []byte(least))
		asserter.NoError(t, "parse", err)
		asserter.Equal(t, "settings", s, defaults)
	})
}

func TestErrors(t *testing.T) {
	for _, c := range []struct{ name, from, to, mentions string }{
		{"unknown key", "domain = worcester", "domain = worcester\ncolour = red", "[instance] colour"},
		{"key twice", "domain = worcester", "domain = worcester\ndomain = moshi", "[instance] domain"},
		{"section twice", "[log]", "[log]\n[log]", "[log]"},
		{"unknown section", "[log]", "[logs]", "[logs]"},
		{"missing name", "name = entry-1", "", "[instance] name"},
		{"bad name", "name = entry-1", "name = Entry 1", "[instance] name"},
		{"host name", "listen = 127.0.0.1:9100", "listen = localhost:9100", "[callers] listen"},
		{"bad port", "listen = 127.0.0.1:9100", "listen = 127.0.0.1:99999", "[callers] listen"},
		{"short key", "key = change-this-shared-key", "key = short", "[inner] key"},
		{"bad seed", "seeds =", "seeds = 127.0.0.1:1, here", "[inner] seeds"},
		{"bad duration", "keep = 30s", "keep = 30", "[callers] keep"},
		{"duration out of range", "keep = 30s", "keep = 30h", "[callers] keep"},
		{"bad number", "headbytes = 65536", "headbytes = many", "[limits] headbytes"},
		{"number out of range", "headbytes = 65536", "headbytes = 1", "[limits] headbytes"},
		{"no listener for questions under a routing", "source = declarations", "source = routing", "[callers] questions"},
		{"bad choice", "level = info", "level = loud", "[log] level"},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := Parse("s.ini", []byte(strings.Replace(example(t), c.from, c.to, 1)))
			asserter.ErrorIs(t, "parse", err, ErrInvalid)
			asserter.True(t, "names file, section and key: "+err.Error(), strings.Contains(err.Error(), "s.ini: "+c.mentions))
		})
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte("[instance]\nname=a"))
	f.Fuzz(func(_ *testing.T, data []byte) {
		_, _ = Parse("f", data)
	})
}
