package declarer

import (
	"testing"
	"time"

	"monsoonswitch/asserter"
)

func sampleRouting() Routing {
	class := func(name string) Class { return Class{Name: name, Target: time.Second} }
	return Routing{
		Version:  7,
		Services: []Upstream{{Name: "ledger", Connections: 390}, {Name: "idle"}},
		Routes: []HostRoute{
			{Host: "a.example", Path: "/x/", Class: class("short"), Parts: []Part{{"ledger", 1}}},
			{Host: "a.example", Path: "/x/y/", Class: class("long"), Parts: []Part{{"billing", 1}}},
			{Host: "b.example", Path: "/", Class: class("split"), Parts: []Part{{"ledger", 90}, {"billing", 10}}},
		},
	}
}

func TestMatch(t *testing.T) {
	m := NewRouteIndex(sampleRouting())
	cases := map[string]struct{ host, path, want string }{
		"prefix":              {"a.example", "/x/1", "short"},
		"longest prefix":      {"a.example", "/x/y/1", "long"},
		"the prefix itself":   {"a.example", "/x/y/", "long"},
		"no trailing slash":   {"a.example", "/x", ""},
		"port and upper case": {"A.Example:8080", "/x/1", "short"},
		"another host":        {"c.example", "/x/1", ""},
		"root":                {"b.example", "/deep/down", "split"},
		"empty path":          {"b.example", "", ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			route, ok := m.Match(c.host, c.path)
			asserter.Equal(t, "found", ok, c.want != "")
			asserter.Equal(t, "route", route.Class.Name, c.want)
		})
	}
}

func TestChooseService(t *testing.T) {
	route := sampleRouting().Routes[2]
	const requests = 300
	smaller := 0
	for n := range uint64(requests) {
		if route.ChooseService(n) == "billing" {
			smaller++
		}
	}
	asserter.AtLeast(t, "requests of the smaller part", smaller, requests/10-2)
	asserter.AtMost(t, "requests of the smaller part", smaller, requests/10+2)
}

func TestDerive(t *testing.T) {
	services := make(map[string]Service)
	for _, s := range sampleRouting().Derive() {
		services[s.Name] = s
	}
	asserter.Equal(t, "services", len(services), 3)
	asserter.Equal(t, "classes of ledger", len(services["ledger"].Classes), 2)
	asserter.Equal(t, "classes of idle", len(services["idle"].Classes), 0)
	asserter.Equal(t, "connections", services["ledger"].Connections, 390)
	asserter.Equal(t, "backend servers that ejection must leave", services["billing"].MinRemaining(7), 7)
}
