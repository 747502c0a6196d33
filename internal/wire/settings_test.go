package wire

import (
	"strings"
	"testing"
	"time"

	"cleathold/control"
)

func TestParseSettings(t *testing.T) {
	s, err := ParseSettings([]byte(`{"siblings": 3, "me": 1, "zone": 1, "over-share-worth": 0.2, "worth-by": "work",
		"discovery": "ask", "weights": "rough", "tick-ms": 2.5, "made-up": {"x": 1}, "kinds": ["a", "b"],
		"profiles": [
			{"aim-ms": 100, "deadline-ms": 900, "effect": "safe", "worth": 2, "late-worth": 0.25, "by-arrival": true},
			{"aim-ms": 100, "deadline-ms": 900, "effect": "keyed", "key-scope": "zone", "memory-span-ms": 700},
			{"aim-ms": 100, "deadline-ms": 900, "effect": "unsafe", "streamed": true, "aim-stretch": 1.5}],
		"specifics": {"fades": "by_half", "kind-batch": [4, 1], "max-calls": 6, "separate-routes": [false, true],
			"toll": [0.5], "turned-away-price": 0.25},
		"tenants": [{"allowance-per-s": 9, "portion": 0.5}],
		"reporting": {"fields": ["depth", "x1", "x0"], "how": "inline"},
		"limits": {"probes": true, "cancel": true, "retry-after": true, "send-cap": 5, "open-cap": 40,
			"max-retry-after-ms": 2000, "second-copies": true},
		"guarantees": {"turn-gap-ms": 300, "must-ask-in-ms": 8000, "cold-from": 0.25, "fall-multiple": 2}}`), 9)
	if err != nil {
		t.Fatal(err)
	}
	checks := map[string]bool{
		"seed, index, siblings": s.Seed == 9 && s.Index == 1 && s.FleetSize == 3 && s.Zone == 1,
		"safe class":            s.Classes[0].PriorityWeight == 2 && s.Classes[0].Ordered && s.Classes[0].LateWeight == 0.25,
		"keyed class": s.Classes[1].Idempotency == control.IdempotentByKey && s.Classes[1].KeyZoneScoped &&
			s.Classes[1].PriorityWeight == 1,
		"unsafe class": s.Classes[2].Idempotency == control.NotIdempotent && s.Classes[2].Streaming &&
			s.Classes[2].ObjectiveStretch == 1.5,
		"kinds": len(s.Kinds) == 2 && s.Kinds[0].MaxBatch == 4 && !s.Kinds[0].SeparateRoutes &&
			s.Kinds[1].SeparateRoutes,
		"reports": s.HeadroomIndex == 2 && s.LimitIndex == 1,
		"list": s.PollEndpointList && s.WeightKind == control.WeightsApproximate &&
			s.MaxPollInterval == 8*time.Second,
		"worth": s.ExponentialWeightDecay && s.WeightByWork && s.OverQuotaFactor == 0.2,
		"limits": s.MaxAttempts == 5 && s.MaxOpenMessages == 40 && s.MaxInFlight == 6 && s.AllowHedging &&
			s.StreamsPerConn == 1,
		"figures": s.OrderedPause == 300*time.Millisecond && s.ColdCapacity == 0.25 &&
			s.Tick == 2500*time.Microsecond,
		"prices": s.RejectionCost == 0.25 && len(s.ZoneCosts) == 1 && s.Tenants[0].Quota == 9,
	}
	for name, ok := range checks {
		if !ok {
			t.Errorf("%s: %+v", name, s)
		}
	}
	off, err := ParseSettings([]byte(`{"profiles": [], "reporting": {"fields": ["x0"], "how": "off"}}`), 0)
	if err != nil || off.HeadroomIndex != -1 || off.FleetSize != 1 {
		t.Errorf("absent keys: %+v, %v", off, err)
	}
}

func TestParseSettingsErrors(t *testing.T) {
	for text, want := range map[string]string{
		"{":                   "profile-data",
		`{"siblings": "two"}`: "siblings",
		`{"profiles": [{"effect": "sometimes"}]}`: "profiles[0].effect",
	} {
		if _, err := ParseSettings([]byte(text), 0); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v does not name %s", text, err, want)
		}
	}
}
