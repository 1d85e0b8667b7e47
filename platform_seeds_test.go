package main

import (
	"os"
	"strings"
	"testing"
	"time"

	"monsoonswitch/asserter"
)

// TestPlatformSeedsReplaced guards against instances that never find each other after a loss of all power, since
// their seeds are gone and the settings file that names others came without a signal.
func TestPlatformSeedsReplaced(t *testing.T) {
	f := newPlatformFleet(t, 2, 2)
	f.killAll()
	gone := freeAddress(t)
	for _, p := range f.instances {
		f.setSeeds(p, gone)
		f.start(p)
	}
	f.waitServed()
	known := func() int {
		_, body := f.get(f.instances[0], "/resolve?name=x&zone=a")
		count := 0
		for _, p := range f.instances {
			if strings.Contains(body, p.front) {
				count++
			}
		}
		return count
	}
	asserter.Equal(t, "instances that know each other without seeds", known(), 1)
	// The time of the file tells it from the one before, in steps of the file system.
	time.Sleep(20 * time.Millisecond)
	for _, p := range f.instances {
		f.setSeeds(p, strings.Join(f.seeds, ","))
	}
	asserter.Eventually(t, "instances know each other", waitLimit, func() bool { return known() == len(f.instances) })
}

// setSeeds replaces the seeds in the settings file of an instance.
func (f *platformFleet) setSeeds(p *platformInstance, seeds string) {
	data, err := os.ReadFile(p.settings)
	asserter.NoError(f.t, "read settings", err)
	lines := strings.Split(string(data), "\n")
	for i, line := range lines {
		if strings.HasPrefix(line, "seeds =") {
			lines[i] = "seeds = " + seeds
		}
	}
	asserter.NoError(f.t, "write settings", os.WriteFile(p.settings, []byte(strings.Join(lines, "\n")), 0o600))
}
