package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	// replacedRoutes is the number of routes that each new version of the configuration replaces.
	replacedRoutes = 1400
	// versions is the number of versions, and versionPause the time between two of them.
	versions, versionPause = 56, 1600 * time.Millisecond
)

// namedConfiguration returns a version of the configuration. Its routes beside the first one have names
// that start with prefix.
func namedConfiguration(version int, prefix string) map[string]any {
	split := []any{map[string]any{"service": "huvo", "weight": 50}, map[string]any{"service": "kafi", "weight": 30}, map[string]any{"service": "wuno", "weight": 20}}
	c := configuration(version, []route{
		{"jepu9.example", "/lepu270/", "safe", "huvo", 3, 1, 2},
		{"hulo84.example", "/xapu221/", "unsafe", "kafi", 4, 2, 2},
		{"hulo84.example", "/cubo38/", "unsafe", "wuno", 4, 2, 2},
	})
	routes := c["routes"].(map[string]any)
	rows := routes["rows"].([]any)
	timeout := 2 + float64(version%5)/10
	for n := range replacedRoutes {
		rows = append(rows, []any{fmt.Sprintf("%s-%d", prefix, n), "fiti9.example", fmt.Sprintf("/%s/%d/", prefix, n), "unsafe", timeout, 1, 1, split, 2, nil})
	}
	routes["rows"] = rows
	return c
}

// playNames replaces routes by others again and again. Without trouble the routes stay, and only their
// time-outs change.
func playNames(rec *record, trouble bool) (bool, error) {
	f, err := newFleet(rec, 1, leastMachine, nil)
	if f != nil {
		defer f.close()
	}
	if err != nil {
		return false, err
	}
	f.store.put("op/config", namedConfiguration(2, "a2"))
	for n := range 9 {
		service := []string{"huvo", "kafi", "wuno"}[n%3]
		if _, err := newBackend(f.store, rec, service, n+1, 3, func(*http.Request) time.Duration { return 100 * time.Millisecond }); err != nil {
			return false, err
		}
	}
	if err := f.wait(); err != nil {
		return false, err
	}
	p := f.instances[0]
	limit, largest := int64(leastMachine.memory)*1e6, int64(0)
	prefix := "a2"
	for v := 3; v < 3+versions; v++ {
		if trouble {
			prefix = fmt.Sprintf("a%d", v)
		}
		f.store.put("op/config", namedConfiguration(v, prefix))
		rec.write("version r%d with %d routes named %s-*", v, replacedRoutes, prefix)
		time.Sleep(versionPause)
		at := time.Now()
		ordinaryClient(rec, p.front, v)
		used := p.memory()
		largest = max(largest, used)
		rec.write("answered after %d ms; memory of %s: %d bytes, %d allowed", time.Since(at).Milliseconds(), p.name, used, limit)
		if used == 0 {
			rec.write("the process has ended")
			return true, nil
		}
	}
	return largest > limit, nil
}
