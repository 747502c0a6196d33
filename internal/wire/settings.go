package wire

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"cleathold/control"
)

// settingsJSON is the JSON form of the settings in a Start or Retune event. The keys are those of the protocol; times
// are in milliseconds.
type settingsJSON struct {
	FleetSize *int `json:"siblings"`
	Index     int  `json:"me"`
	Zone      int  `json:"zone"`
	Profiles  []struct {
		LatencyObjectiveMs float64  `json:"aim-ms"`
		ObjectiveStretch   float64  `json:"aim-stretch"`
		Ordered            bool     `json:"by-arrival"`
		DeadlineMs         float64  `json:"deadline-ms"`
		Idempotency        string   `json:"effect"`
		KeyScope           string   `json:"key-scope"`
		LateWeight         float64  `json:"late-worth"`
		KeyRetentionMs     float64  `json:"memory-span-ms"`
		Streamed           bool     `json:"streamed"`
		PriorityWeight     *float64 `json:"worth"`
	} `json:"profiles"`
	Kinds           []string `json:"kinds"`
	OverQuotaFactor *float64 `json:"over-share-worth"`
	WeightBy        string   `json:"worth-by"`
	Weights         string   `json:"weights"`
	Discovery       string   `json:"discovery"`
	TickMs          float64  `json:"tick-ms"`
	Specifics       struct {
		WeightDecay    string    `json:"fades"`
		Batch          []int     `json:"kind-batch"`
		MaxInFlight    int       `json:"max-calls"`
		SeparateRoutes []bool    `json:"separate-routes"`
		ZoneCosts      []float64 `json:"toll"`
		RejectionCost  float64   `json:"turned-away-price"`
	} `json:"specifics"`
	Tenants []struct {
		QuotaPerSecond float64 `json:"allowance-per-s"`
		Fraction       float64 `json:"portion"`
	} `json:"tenants"`
	Reporting struct {
		Fields []string `json:"fields"`
		How    string   `json:"how"`
	} `json:"reporting"`
	Limits struct {
		Cancel          bool    `json:"cancel"`
		IdleMs          float64 `json:"conn-idle-ms"`
		ConnectMs       float64 `json:"connect-timeout-ms"`
		MaxRetryAfterMs float64 `json:"max-retry-after-ms"`
		MaxOpenMessages int     `json:"open-cap"`
		Gossip          bool    `json:"peers"`
		HealthChecks    bool    `json:"probes"`
		RetryAfter      bool    `json:"retry-after"`
		Hedging         bool    `json:"second-copies"`
		MaxAttempts     int     `json:"send-cap"`
		Streams         *int    `json:"streams-per-conn"`
	} `json:"limits"`
	Guarantees struct {
		ResponseGraceMs   float64 `json:"answer-slack-ms"`
		ColdCapacity      float64 `json:"cold-from"`
		WarmUpMs          float64 `json:"cold-ms"`
		DrainMs           float64 `json:"drain-grace-ms"`
		OverloadWindowMs  float64 `json:"fall-ms"`
		OverloadFactor    float64 `json:"fall-multiple"`
		MaxPollIntervalMs float64 `json:"must-ask-in-ms"`
		OrderedPauseMs    float64 `json:"turn-gap-ms"`
	} `json:"guarantees"`
	Prices struct {
		Connection  float64 `json:"handshake"`
		HealthCheck float64 `json:"probe"`
		WastedWork  float64 `json:"waste"`
	} `json:"prices"`
}

// ParseSettings parses the settings of a Start or Retune event. The seed is for the controller's random number
// generator. Unknown keys are ignored. An error names the key whose value is invalid.
func ParseSettings(text []byte, seed uint64) (control.Settings, error) {
	var p settingsJSON
	if err := json.Unmarshal(text, &p); err != nil {
		return control.Settings{}, fmt.Errorf("profile-data: %w", err)
	}
	s := control.Settings{
		Seed: seed, Index: p.Index, FleetSize: valueOr(p.FleetSize, 1), Zone: p.Zone,
		OverQuotaFactor: valueOr(p.OverQuotaFactor, 1), ExponentialWeightDecay: p.Specifics.WeightDecay == "by_half",
		WeightByWork: p.WeightBy == "work", MaxInFlight: p.Specifics.MaxInFlight, MaxOpenMessages: p.Limits.MaxOpenMessages,
		MaxAttempts: p.Limits.MaxAttempts, AllowHedging: p.Limits.Hedging, CanCancel: p.Limits.Cancel,
		CanHealthCheck: p.Limits.HealthChecks, CanGossip: p.Limits.Gossip, CanSendRetryAfter: p.Limits.RetryAfter,
		MaxRetryAfter:  Duration(p.Limits.MaxRetryAfterMs),
		StreamsPerConn: valueOr(p.Limits.Streams, 1), ConnIdleTimeout: Duration(p.Limits.IdleMs),
		ConnectTimeout: Duration(p.Limits.ConnectMs), PollEndpointList: p.Discovery == "ask", Tick: Duration(p.TickMs),
		ResponseGrace: Duration(p.Guarantees.ResponseGraceMs), MaxPollInterval: Duration(p.Guarantees.MaxPollIntervalMs),
		DrainGrace: Duration(p.Guarantees.DrainMs), ColdCapacity: p.Guarantees.ColdCapacity,
		WarmUp: Duration(p.Guarantees.WarmUpMs), OverloadFactor: p.Guarantees.OverloadFactor,
		OverloadWindow: Duration(p.Guarantees.OverloadWindowMs), OrderedPause: Duration(p.Guarantees.OrderedPauseMs),
		RejectionCost: p.Specifics.RejectionCost, ConnectionCost: p.Prices.Connection, HealthCheckCost: p.Prices.HealthCheck,
		WastedWorkCost: p.Prices.WastedWork, ZoneCosts: p.Specifics.ZoneCosts, HeadroomIndex: -1, LimitIndex: -1,
	}
	var err error
	if s.Classes, err = classes(&p); err != nil {
		return s, err
	}
	for _, t := range p.Tenants {
		s.Tenants = append(s.Tenants, control.Tenant{Quota: t.QuotaPerSecond, Fraction: t.Fraction})
	}
	s.Kinds = kinds(&p)
	s.WeightKind = weightKinds[p.Weights]
	if p.Reporting.How != "off" {
		s.HeadroomIndex = slices.Index(p.Reporting.Fields, headroomField)
		s.LimitIndex = slices.Index(p.Reporting.Fields, limitField)
	}
	return s, nil
}

// The fields of a load report that the controller uses.
const (
	headroomField = "x0"
	limitField    = "x1"
)

// weightKinds maps the values of the key "weights" to kinds of weights. For any other value the weights are ignored.
var weightKinds = map[string]control.WeightKind{"nominal": control.WeightsNominal, "rough": control.WeightsApproximate}

// idempotencies maps the values of the key "effect" to kinds of idempotency.
var idempotencies = map[string]control.Idempotency{
	"safe": control.Idempotent, "keyed": control.IdempotentByKey, "unsafe": control.NotIdempotent,
}

// classes converts the message classes, which the protocol calls profiles.
func classes(p *settingsJSON) ([]control.Class, error) {
	var out []control.Class
	for i, c := range p.Profiles {
		k := control.Class{
			LatencyObjective: Duration(c.LatencyObjectiveMs), ObjectiveStretch: c.ObjectiveStretch,
			Deadline:       Duration(c.DeadlineMs),
			PriorityWeight: valueOr(c.PriorityWeight, 1), LateWeight: c.LateWeight,
			KeyZoneScoped: c.KeyScope == "zone" || c.KeyScope == "cell",
			KeyRetention:  Duration(c.KeyRetentionMs), Ordered: c.Ordered, Streaming: c.Streamed,
		}
		var known bool
		if k.Idempotency, known = idempotencies[c.Idempotency]; !known {
			return nil, fmt.Errorf("profiles[%d].effect: %q", i, c.Idempotency)
		}
		out = append(out, k)
	}
	return out, nil
}

// kinds combines the properties of each kind of destination, which the settings hold in separate lists.
func kinds(p *settingsJSON) []control.Kind {
	n := max(len(p.Kinds), len(p.Specifics.Batch), len(p.Specifics.SeparateRoutes))
	out := make([]control.Kind, n)
	for i := range out {
		out[i].MaxBatch = 1
		if i < len(p.Specifics.Batch) {
			out[i].MaxBatch = p.Specifics.Batch[i]
		}
		out[i].SeparateRoutes = i < len(p.Specifics.SeparateRoutes) && p.Specifics.SeparateRoutes[i]
	}
	return out
}

// valueOr returns the value of an optional key, or absent if the key is missing.
func valueOr[T any](v *T, absent T) T {
	if v == nil {
		return absent
	}
	return *v
}

// Duration converts the protocol's milliseconds to a duration.
func Duration(ms float64) time.Duration {
	return time.Duration(ms * float64(time.Millisecond))
}

// Millis converts a duration to the protocol's milliseconds.
func Millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
