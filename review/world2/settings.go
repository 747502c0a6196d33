package main

// hollow returns settings like those of a small deployment: the example of WIRE, with three senders, of which one is played.
func hollow() map[string]any {
	class := func(name, effect string, aim, deadline, memory, late, worth float64) map[string]any {
		return map[string]any{"name": name, "aim-ms": aim, "deadline-ms": deadline, "effect": effect, "key-scope": "all",
			"memory-span-ms": memory, "late-worth": late, "worth": worth, "streamed": false}
	}
	return map[string]any{
		"siblings": 3, "me": 0, "zone": 0, "tier": 0, "layers": []string{"partners"}, "kind-of-service": "deliver",
		"zones": []string{"bldg-a", "bldg-b"}, "kinds": []string{"large-partners", "small-partners"},
		"discovery": "ask", "weights": "rough", "tick-ms": 5.0, "worth-by": "request", "over-share-worth": 0.2,
		"profiles": []any{
			class("status", "safe", 800, 8000, 5000, 0.1, 1), class("print-order", "keyed", 2000, 20000, 12000, 0.5, 1),
			class("fee-payment", "unsafe", 2000, 16000, 5000, 0.5, 3),
		},
		"clients":   map[string]any{"marks-retry": true},
		"reporting": map[string]any{"fields": []string{}, "how": "off"},
		"tenants":   []any{map[string]any{"name": "school-bands", "allowance-per-s": 40.0, "portion": 1.0}},
		"specifics": map[string]any{"fades": "even", "kind-batch": []int{5, 1}, "max-calls": 24,
			"separate-routes": []bool{true, false}, "toll": []float64{0.01, 0.04}, "turned-away-price": 0.03},
		"limits": map[string]any{"cancel": true, "conn-idle-ms": 15000.0, "connect-timeout-ms": 1500.0, "open-cap": 219,
			"max-retry-after-ms": 3000.0, "peers": false, "probes": true, "retry-after": true, "second-copies": true,
			"send-cap": 12, "streams-per-conn": 1, "cpu-us-per-request": 0.0, "cpu-us-per-s": 825000},
		"guarantees": map[string]any{"answer-slack-ms": 20.0, "cold-from": 0.22, "cold-ms": 13000.0,
			"drain-grace-ms": 2000.0, "fall-ms": 2000.0, "fall-multiple": 2.0, "must-ask-in-ms": 10000.0},
		"prices": map[string]any{"handshake": 0.06, "probe": 0.01, "waste": 0.03, "peer": 0.014, "late-fail": 0.02},
	}
}
