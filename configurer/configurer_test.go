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
		{"memory in another unit", "memory = 0", "memory = 184", "[limits] memory"},
		{"memory that is no number", "memory = 0", "memory = 184 MB", "[limits] memory"},
		{"too few descriptors", "descriptors = 0", "descriptors = 12", "[limits] descriptors"},
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

// TestMachine guards against placeholders of the platform, filled in or empty, that keep an instance
// from starting or are taken for another number.
func TestMachine(t *testing.T) {
	for _, c := range []struct {
		memory, descriptors         string
		wantMemory, wantDescriptors int
	}{
		{"000000", "", 0, 0},
		{"", "0", 0, 0},
		{"184000000", "4096", 184_000_000, 4096},
		{"184.5000000", "8192", 184_500_000, 8192},
	} {
		t.Run(c.memory+" and "+c.descriptors, func(t *testing.T) {
			text := strings.Replace(example(t), "memory = 0", "memory = "+c.memory, 1)
			s, err := Parse("s.ini", []byte(strings.Replace(text, "descriptors = 0", "descriptors = "+c.descriptors, 1)))
			asserter.NoError(t, "parse", err)
			asserter.Equal(t, "memory", s.Limits.Memory, c.wantMemory)
			asserter.Equal(t, "descriptors", s.Limits.Descriptors, c.wantDescriptors)
		})
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte("[instance]\nname=a"))
	f.Fuzz(func(_ *testing.T, data []byte) {
		_, _ = Parse("f", data)
	})
}
