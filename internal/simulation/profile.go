package simulation

import (
	"encoding/json"
	"math"
	"math/rand/v2"

	"cleathold/control"
	"cleathold/internal/scenario"
	"cleathold/internal/wire"
)

// Profile returns the "settings" object of the configuration that the platform provides to a sender of a plan.
func Profile(p *scenario.Plan, sender int) map[string]any {
	s := p.Scenario
	rng := rand.New(rand.NewPCG(p.Seed, 98))
	type object = map[string]any
	var profiles, tenants []object
	for _, c := range s.Traffic.Classes {
		profiles = append(profiles, object{
			"name": c.Name, "aim-ms": wire.Millis(c.LatencyObjective), "deadline-ms": wire.Millis(c.Deadline),
			"effect": c.Effect, "key-scope": keyScope(c), "late-worth": c.LateWeight, "memory-span-ms": wire.Millis(c.KeyRetention),
			"worth": c.PriorityWeight, "streamed": false,
		})
	}
	shareSum := 0.0
	for _, t := range s.Traffic.Tenants {
		shareSum += t.Share
	}
	for _, t := range s.Traffic.Tenants {
		tenants = append(tenants, object{
			"name": t.Name, "allowance-per-s": p.Rate * t.Share / shareSum, "portion": t.Share / shareSum,
		})
	}
	var kinds []string
	var batch []int
	var separateRoutes []bool
	for _, k := range s.Kinds {
		kinds, batch, separateRoutes = append(kinds, k.Name), append(batch, k.Batch), append(separateRoutes, k.SeparateRoutes)
	}
	meanInFlight := 0.0 // calls that are in flight on average, over all senders
	for _, d := range p.Destinations {
		meanInFlight += p.Rate * d.Share * (d.Mean.Seconds() + 2*crossZoneDelay.Seconds()/2)
	}
	fraction := 1 / float64(s.Senders)
	draw := func(r scenario.Range) float64 { return r.From + (r.To-r.From)*rng.Float64() }
	maxInFlight := max(3, int(math.Ceil(draw(s.InFlight)*meanInFlight*fraction)))
	maxOpen := max(16, int(math.Ceil(draw(s.OpenMessages)*p.Rate*fraction)))
	return object{
		"clients": object{"marks-retry": true}, "discovery": discoveryMode(s), "kind-of-service": "deliver", "weights": "rough",
		"worth-by": "request", "tick-ms": 5.0, "tier": 0, "me": sender, "siblings": s.Senders,
		"zone": sender % len(s.Zones), "zones": s.Zones,
		"kinds": kinds, "profiles": profiles, "tenants": tenants, "over-share-worth": 1.0,
		"goal":      object{"whole": 0.4, "worst-class": 0.2, "worst-tenant": 0.1, "worst-window": 0.3},
		"reporting": object{"fields": []string{}, "how": "off"},
		"specifics": object{
			"fades": "even", "kind-batch": batch, "separate-routes": separateRoutes, "max-calls": maxInFlight,
		},
		"limits": object{
			"cancel": true, "conn-idle-ms": wire.Millis(idleConnTimeout), "connect-timeout-ms": 1500.0,
			"max-retry-after-ms": 3000.0, "open-cap": maxOpen, "peers": s.Settings.Gossip, "probes": true, "retry-after": true,
			"second-copies": s.Settings.Hedging, "send-cap": s.Settings.MaxAttempts, "streams-per-conn": 1,
		},
		"guarantees": object{
			"answer-slack-ms": 20.0, "cold-from": 0.22, "cold-ms": 13000.0,
			"drain-grace-ms": wire.Millis(s.Settings.DrainGrace), "fall-ms": 2000.0,
			"fall-multiple": 2.0, "must-ask-in-ms": 10000.0,
		},
	}
}

func keyScope(c scenario.Class) string {
	if c.KeyZoneScoped {
		return "zone"
	}
	return "all"
}

func discoveryMode(s *scenario.Scenario) string {
	if s.Settings.PushedLists {
		return "push"
	}
	return "ask"
}

// UpdatedSettings returns the "settings" object after a "retune" action: that of Profile with scaled limits.
func UpdatedSettings(p *scenario.Plan, action scenario.PlannedAction) map[string]any {
	profile := Profile(p, action.Sender)
	scale := func(section, key string, by float64, minimum int) {
		object := profile[section].(map[string]any)
		object[key] = max(minimum, int(math.Ceil(float64(object[key].(int))*by)))
	}
	scale("specifics", "max-calls", action.InFlight, 1)
	scale("limits", "open-cap", action.OpenMessages, 1)
	return profile
}

// Settings returns a sender's profile, parsed as the sender does.
func Settings(p *scenario.Plan, sender int, seed uint64) (control.Settings, error) {
	return readProfile(Profile(p, sender), seed)
}

// readProfile parses a profile. The seed initializes the sender's random source.
func readProfile(profile map[string]any, seed uint64) (control.Settings, error) {
	text, err := json.Marshal(profile)
	if err != nil {
		return control.Settings{}, err
	}
	return wire.ParseSettings(text, seed)
}
