package lifecycle

import (
	"os"
	"strings"
	"testing"
)

// Parse accepts valid configurations, names the wrong key of invalid ones, and applies environment variables. An
// address of discovery in the file takes precedence over LB_DISCOVERY.
func TestParse(t *testing.T) {
	text, err := os.ReadFile("../../examples/config.json")
	if err != nil {
		t.Fatal(err)
	}
	valid := string(text)
	for _, c := range []struct{ name, old, new, want string }{
		{"unchanged", "", "", ""},
		{"seed", `"name": "n0"`, `"name": "n0", "seed": "8c1f30d27a5be964"`, ""},
		{"bad seed", `"name": "n0"`, `"name": "n0", "seed": "what"`, "seed"},
		{"not JSON", `"name"`, `name`, "not JSON"},
		{"no listen", `"listen"`, `"x"`, "listen"},
		{"no state", `"state"`, `"x"`, "state"},
		{"negative limit", `"disk_mb": 3`, `"disk_mb": -3`, "negative"},
		{"no settings", `"settings"`, `"x"`, "no settings"},
		{"bad effect", `"effect": "safe"`, `"effect": "odd"`, "effect"},
		{"invalid settings", `"max-calls": 16`, `"max-calls": 0`, "max-calls"},
		{"duplicate class name", `"name": "print-order"`, `"name": "status"`, "profiles[1].name"},
		{"a class without a name", `"name": "print-order", `, ``, "profiles[1].name"},
		{"a class without a deadline", `"deadline-ms": 20000, `, ``, "profiles[1].deadline-ms"},
		{"a deadline of 0", `"deadline-ms": 20000`, `"deadline-ms": 0`, "profiles[1].deadline-ms"},
		{"a window of 0", `"memory-span-ms": 12000`, `"memory-span-ms": 0`, "profiles[1].memory-span-ms"},
		{"no window", `"memory-span-ms": 12000`, `"x": 0`, "profiles[1].memory-span-ms"},
		{"too few sockets for the calls", `"sockets": 1024`, `"sockets": 40`, "limits.sockets"},
		{"duplicate tenant name", `"portion": 1}]`,
			`"portion": 0.5}, {"name": "school-bands", "allowance-per-s": 9, "portion": 0.5}]`, "tenants[1].name"},
		{"invalid endpoint list", `"servers": []`, `"servers": 1`, "known"},
	} {
		got, err := Parse([]byte(strings.Replace(valid, c.old, c.new, 1)), func(string) string { return "" })
		if c.want == "" && err != nil || c.want != "" && (err == nil || !strings.Contains(err.Error(), c.want)) {
			t.Errorf("%s: %v, want %q", c.name, err, c.want)
		}
		if c.want == "" && (got.Listen != "127.0.0.1:8080" || got.Limits.DiskBytes != 3e6 || got.Settings.MaxInFlight != 16 ||
			got.Names.Classes["fee-payment"] != 2 || got.Names.Kinds["plain"] != 1) {
			t.Errorf("%s: parsed as %+v", c.name, got)
		}
	}
	env := func(name string) string {
		return map[string]string{"LB_LISTEN": "127.0.0.9:1", "LB_DISCOVERY": "127.0.0.9:2"}[name]
	}
	if got, err := Parse(text, env); err != nil || got.Listen != "127.0.0.9:1" || got.Discovery != "127.0.0.1:8500" {
		t.Errorf("environment: %v, %q, %q", err, got.Listen, got.Discovery)
	}
	if got, err := Parse([]byte(strings.Replace(valid, `"discovery": "127.0.0.1:8500"`, `"x": 1`, 1)), env); err != nil ||
		got.Discovery != "127.0.0.9:2" {
		t.Errorf("discovery from the environment: %v, %q", err, got.Discovery)
	}
}

// checkReload accepts a complete configuration with changed values, and rejects one that is truncated or lacks keys.
func TestReload(t *testing.T) {
	text, err := os.ReadFile("../../examples/config.json")
	if err != nil {
		t.Fatal(err)
	}
	valid := strings.Replace(string(text), `"name": "n0",`, `"name": "n0", "seed": "7", "admin": "127.0.0.1:1", `, 1)
	none := func(string) string { return "" }
	old, err := Parse([]byte(valid), none)
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ name, old, new, want string }{
		{"unchanged", "", "", ""},
		{"a class added", `{"name": "fee-payment"`,
			`{"name": "proof", "aim-ms": 1, "deadline-ms": 9, "effect": "safe", "late-worth": 0.5, "worth": 2}, ` +
				`{"name": "fee-payment"`, ""},
		{"classes unchanged", `"effect": "unsafe", "late-worth": 0.5, "worth": 3}`,
			`"effect": "unsafe", "late-worth": 0.5, "worth": 3}`, ""},
		{"stricter", `"effect": "safe"`, `"effect": "unsafe"`, ""},
		{"fewer attempts", `"send-cap": 12`, `"send-cap": 3`, ""},
		{"without keys that are used only at start", `"seed": "7", "admin": "127.0.0.1:1", `, ``, ""},
		{"empty", valid, "", "not JSON"},
		{"truncated", valid, valid[:len(valid)/2], "not JSON"},
		{"no settings", `"settings"`, `"x"`, "settings"},
		{"no deadline", `"deadline-ms": 20000, `, ``, "profiles[1].deadline-ms"},
		{"no attempts", `"send-cap": 12, `, ``, "limits.send-cap"},
		{"attempts: zero", `"send-cap": 12`, `"send-cap": 0`, "limits.send-cap"},
		{"attempts: negative", `"send-cap": 12`, `"send-cap": -1`, "SendCap"},
		{"attempts: a string", `"send-cap": 12`, `"send-cap": "12"`, "send-cap"},
		{"attempts: null", `"send-cap": 12`, `"send-cap": null`, "limits.send-cap"},
		{"attempts: a fraction", `"send-cap": 12`, `"send-cap": 1.5`, "settings"},
		{"deadline: zero", `"deadline-ms": 8000`, `"deadline-ms": 0`, "profiles[0].deadline-ms"},
		{"deadline: negative", `"deadline-ms": 8000`, `"deadline-ms": -8`, "profiles[0].deadline-ms"},
		{"deadline: a string", `"deadline-ms": 8000`, `"deadline-ms": "soon"`, "profiles[0].deadline-ms"},
		{"deadline: null", `"deadline-ms": 8000`, `"deadline-ms": null`, "profiles[0].deadline-ms"},
		{"no limit of calls", `"max-calls": 16, `, ``, "max-calls"},
		{"a number instead of a list", `"tenants": [`, `"tenants": 1, "x": [`, "tenants"},
		{"no discovery", `"discovery": "127.0.0.1:8500"`, `"y": 1`, "discovery"},
	} {
		c2, err := Parse([]byte(strings.Replace(valid, c.old, c.new, 1)), none)
		if err == nil {
			err = checkReload(old, c2)
		}
		if c.want == "" && err != nil || c.want != "" && (err == nil || !strings.Contains(err.Error(), c.want)) {
			t.Errorf("%s: %v, want %q", c.name, err, c.want)
		}
	}
}
