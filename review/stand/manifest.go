//go:build review

package main

// routeOf returns a route of the manifest.
func routeOf(name, host, prefix, kind, service string, attempts, timeoutMS int) map[string]any {
	return map[string]any{
		"name": name, "host": host, "path_prefix": prefix, "kind": kind, "timeout_ms": timeoutMS, "target_latency_ms": 400,
		"priority": 2, "service": service, "max_attempts": attempts, "sticky_sessions": false, "resumable": false,
	}
}

// manifestOf returns a manifest of plain services.
func manifestOf(version int, services []string, routes ...map[string]any) map[string]any {
	var described []map[string]any
	for _, s := range services {
		described = append(described, map[string]any{
			"name": s, "health_path": "/health", "max_connections": 4000, "protocol": "h1", "tls": false,
		})
	}
	return map[string]any{
		"version": version, "routes": routes, "services": described,
		"limits": map[string]any{
			"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
		},
	}
}
