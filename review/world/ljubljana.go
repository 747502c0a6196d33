package world

// LjubljanaCampus returns the settings of a small deployment of the site ljubljana-campus with one sender, with the
// figures of its site file.
func LjubljanaCampus() map[string]any {
	return map[string]any{
		"clients": map[string]any{"marks-retry": true}, "discovery": "push", "kind-of-service": "deliver",
		"goal":  map[string]any{"whole": 0.4, "worst-class": 0.35, "worst-tenant": 0.0, "worst-window": 0.25},
		"kinds": []any{"bulk-partner", "customer"}, "layers": []any{"receivers"},
		"guarantees": map[string]any{
			"answer-slack-ms": 20.0, "cold-from": 0.23, "cold-ms": 13000.0, "drain-grace-ms": 500.0, "fall-ms": 3000.0,
			"fall-multiple": 1.5, "must-ask-in-ms": 10000.0,
		},
		"limits": map[string]any{
			"cancel": true, "conn-idle-ms": 10000.0, "connect-timeout-ms": 1500.0, "cpu-us-per-request": 0.0,
			"cpu-us-per-s": 825000, "max-retry-after-ms": 2000.0, "open-cap": 120, "peers": false, "probes": true,
			"retry-after": true, "second-copies": false, "send-cap": 8, "streams-per-conn": 1,
		},
		"me": 0, "over-share-worth": 1.0,
		"prices": map[string]any{
			"connection": 0.0, "cross-zone": 0.0, "discovery": 0.0, "handshake": 0.06, "late-fail": 0.028, "moves": 0.0,
			"origin": 0.0, "peer": 0.0, "probe": 0.013, "waste": 0.044,
		},
		"profiles": []any{
			map[string]any{
				"aim-ms": 3000.0, "deadline-ms": 28000.0, "effect": "keyed", "key-scope": "zone", "late-worth": 0.5,
				"memory-span-ms": 7500.0, "name": "tile-ready", "streamed": false, "worth": 1.0,
			},
			map[string]any{
				"aim-ms": 2500.0, "deadline-ms": 20000.0, "effect": "safe", "key-scope": "all", "late-worth": 0.4,
				"memory-span-ms": 5000.0, "name": "order-status", "streamed": false, "worth": 3.0,
			},
		},
		"reporting": map[string]any{"fields": []any{"x0", "x1"}, "how": "inline"}, "siblings": 1,
		"specifics": map[string]any{
			"fades": "even", "kind-batch": []any{20, 1}, "max-calls": 16, "separate-routes": []any{true, true},
			"toll": []any{0.0, 0.05, 0.02}, "turned-away-price": 0.05,
			"notes":     "full: milliseconds to wait, 0 if none is told; moot: 1 no slot was free",
			"report-x0": "share of the allowance that is left", "report-x1": "calls a second that the limit allows",
		},
		"tenants": []any{}, "tick-ms": 5.0, "tier": 0, "weights": "rough", "worth-by": "request", "zone": 0,
		"zones": []any{"hall-a", "hall-b", "hall-c"},
	}
}
