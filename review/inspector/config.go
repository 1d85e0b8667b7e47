package main

import "fmt"

// route is a route of the operator's configuration.
type route struct {
	name, host, path, kind, service string
	timeout                         float64
	attempts                        int
}

// limits are the limits of a configuration as the pages show them.
var limits = map[string]any{"max_header_bytes": 16384, "max_body_bytes": 64 << 20, "header_timeout_s": 3, "idle_timeout_s": 15}

// configuration returns what the operator writes to op/config.
func configuration(version int, routes []route, services ...string) map[string]any {
	var rows, list [][]any
	for _, r := range routes {
		rows = append(rows, []any{r.name, r.host, r.path, r.kind, r.timeout, 1, 1, r.service, r.attempts, nil})
	}
	for _, s := range services {
		list = append(list, []any{s, "/health", 330, "h1", false})
	}
	return map[string]any{
		"version": fmt.Sprintf("r%d", version),
		"routes": map[string]any{
			"columns": []string{"name", "hostname", "path_prefix", "kind", "timeout_s", "target_latency_s", "priority", "service", "max_attempts", "traffic_split"},
			"rows":    rows,
		},
		"services": map[string]any{"columns": []string{"name", "health_path", "max_connections", "protocol", "tls"}, "rows": list},
		"limits":   limits,
	}
}
