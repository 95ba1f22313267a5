//go:build review

package main

const (
	host        = "ficu95.example"
	deskService = "booking"
)

// route returns a route of the manifest.
func route(name, prefix, kind, service string, more map[string]any) map[string]any {
	r := map[string]any{
		"name": name, "host": host, "path_prefix": prefix, "kind": kind, "timeout_ms": 1500, "target_latency_ms": 250, "priority": 2,
		"service": service, "max_attempts": 2, "sticky_sessions": false, "resumable": false,
	}
	for key, value := range more {
		r[key] = value
	}
	return r
}

// manifest returns a manifest with the routes of the desk.
func manifest(version int, routes ...map[string]any) map[string]any {
	return map[string]any{
		"version": version, "routes": routes,
		"services": []any{map[string]any{"name": deskService, "health_path": "/health", "max_connections": 100, "protocol": "h1", "tls": false}},
		"limits": map[string]any{
			"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
		},
	}
}

// deskRoutes are an unsafe and a safe route, as in a small deployment.
func deskRoutes() []map[string]any {
	return []map[string]any{
		route("deposit", "/deposit/", "unsafe", deskService, map[string]any{"max_attempts": 1}),
		route("avail", "/avail/", "safe", deskService, nil),
	}
}

// modelServiceOf returns the service of the model engines, as in the site.
func modelServiceOf() map[string]any {
	return map[string]any{
		"name": modelService, "health_path": "/health", "max_connections": 360, "protocol": "h1", "tls": false,
		"engine": map[string]any{
			"slots": modelSlots, "kv_tokens": 469027, "kv_token_bytes": 163840, "link_mbps": 1200000.0, "stride": 9, "most": 12,
			"handle_ttl_s": 5.0, "role_switch_s": 3.0, "pin_ms": 4000.0, "hold_ms": 2000.0, "models": []any{map[string]any{"name": "m"}},
		},
	}
}
