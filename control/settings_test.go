package control

import (
	"strings"
	"testing"
	"time"
)

// The error of New starts with the key of the invalid setting.
func TestNewErrorNamesSetting(t *testing.T) {
	for key, invalidate := range map[string]func(*Settings){
		"Classes":      func(s *Settings) { s.Classes = nil },
		"Classes[1]":   func(s *Settings) { s.Classes[1].Deadline = -1 },
		"Kinds[0]":     func(s *Settings) { s.Kinds[0].MaxBatch = 0 },
		"Slots":        func(s *Settings) { s.MaxInFlight = 0 },
		"ColdFrom":     func(s *Settings) { s.ColdCapacity = -0.1 },
		"FallWindow":   func(s *Settings) { s.OverloadWindow = -1 },
		"Tenants[0]":   func(s *Settings) { s.Tenants = []Tenant{{Quota: -1}} },
		"FallMultiple": func(s *Settings) { s.OverloadFactor = -2 },
	} {
		cfg := testSettings()
		invalidate(&cfg)
		if _, err := New(cfg, nil); err == nil || !strings.HasPrefix(err.Error(), key) {
			t.Errorf("%s: error %v does not start with the key", key, err)
		}
	}
}

// When settings change, a message keeps the class with which it was submitted, a message with more attempts than are
// now allowed ends at once, and a Retry-After stays in force. Invalid settings change nothing.
func TestUpdateSettings(t *testing.T) {
	for _, c := range []struct {
		name    string
		change  func(*Settings)
		wantErr bool
		outcome string // of a waiting message that is not idempotent and was rejected once
	}{
		{"no change", func(*Settings) {}, false, ""},
		{"fewer classes", func(s *Settings) { s.Classes = s.Classes[:1] }, false, ""},
		{"class becomes idempotent", func(s *Settings) { s.Classes[2].Idempotency = Idempotent }, false, ""},
		{"fewer attempts", func(s *Settings) { s.MaxAttempts = 1 }, false, "rejected"},
		{"no deadline", func(s *Settings) { s.MaxAttempts, s.Classes[1].Deadline = 1, 0 }, true, ""},
		{"no classes", func(s *Settings) { s.MaxAttempts, s.Classes = 1, nil }, true, ""},
	} {
		r := newRecorder(t, testSettings())
		r.addReady(0, 1)
		inFlight, waiting := r.submit(1, 2, 0), r.submit(2, 2, 0)
		r.answer(2, Rejected, 500*ms)
		cfg := testSettings()
		cfg.FleetSize, cfg.Kinds = 99, nil // settings that cannot change at run time
		c.change(&cfg)
		if err := r.c.UpdateSettings(r.now, cfg); (err != nil) != c.wantErr {
			t.Errorf("%s: %v", c.name, err)
		}
		if r.c.settings.FleetSize != 2 || len(r.c.settings.Kinds) != 1 {
			t.Errorf("%s: fleetSize %d, kinds %d", c.name, r.c.settings.FleetSize, len(r.c.settings.Kinds))
		}
		if waiting.outcome != c.outcome {
			t.Errorf("%s: outcome of the waiting message %q, want %q", c.name, waiting.outcome, c.outcome)
		}
		r.answer(1, ConnectionLost, 0)
		r.advance(time.Second)
		if inFlight.attempts > 1 || inFlight.outcome != "failed" {
			t.Errorf("%s: message with a lost connection was sent %d times, outcome %q", c.name, inFlight.attempts,
				inFlight.outcome)
		}
	}
}
