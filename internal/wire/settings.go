package wire

import (
	"encoding/json"
	"fmt"
	"time"

	"cleathold/control"
)

// profileData is the settings text, in the words of the wire.
type profileData struct {
	Siblings *int `json:"siblings"`
	Me       int  `json:"me"`
	Zone     int  `json:"zone"`
	Profiles []struct {
		AimMs      float64  `json:"aim-ms"`
		AimStretch float64  `json:"aim-stretch"`
		ByArrival  bool     `json:"by-arrival"`
		DeadlineMs float64  `json:"deadline-ms"`
		Effect     string   `json:"effect"`
		KeyScope   string   `json:"key-scope"`
		LateWorth  float64  `json:"late-worth"`
		MemoryMs   float64  `json:"memory-span-ms"`
		Streamed   bool     `json:"streamed"`
		Worth      *float64 `json:"worth"`
	} `json:"profiles"`
	Kinds          []string `json:"kinds"`
	OverShareWorth *float64 `json:"over-share-worth"`
	WorthBy        string   `json:"worth-by"`
	Weights        string   `json:"weights"`
	Discovery      string   `json:"discovery"`
	TickMs         float64  `json:"tick-ms"`
	Specifics      struct {
		Fades    string    `json:"fades"`
		Batch    []int     `json:"kind-batch"`
		MaxCalls int       `json:"max-calls"`
		Separate []bool    `json:"separate-routes"`
		Toll     []float64 `json:"toll"`
		Refused  float64   `json:"turned-away-price"`
	} `json:"specifics"`
	Tenants []struct {
		Allowance float64 `json:"allowance-per-s"`
		Portion   float64 `json:"portion"`
	} `json:"tenants"`
	Reporting struct {
		Fields []string `json:"fields"`
		How    string   `json:"how"`
	} `json:"reporting"`
	Limits struct {
		Cancel       bool    `json:"cancel"`
		IdleMs       float64 `json:"conn-idle-ms"`
		ConnectMs    float64 `json:"connect-timeout-ms"`
		MaxAdviceMs  float64 `json:"max-retry-after-ms"`
		OpenCap      int     `json:"open-cap"`
		Peers        bool    `json:"peers"`
		Probes       bool    `json:"probes"`
		RetryAfter   bool    `json:"retry-after"`
		SecondCopies bool    `json:"second-copies"`
		SendCap      int     `json:"send-cap"`
		Streams      *int    `json:"streams-per-conn"`
	} `json:"limits"`
	Guarantees struct {
		SlackMs      float64 `json:"answer-slack-ms"`
		ColdFrom     float64 `json:"cold-from"`
		ColdMs       float64 `json:"cold-ms"`
		DrainMs      float64 `json:"drain-grace-ms"`
		FallMs       float64 `json:"fall-ms"`
		FallMultiple float64 `json:"fall-multiple"`
		MustAskMs    float64 `json:"must-ask-in-ms"`
		TurnGapMs    float64 `json:"turn-gap-ms"`
	} `json:"guarantees"`
	Prices struct {
		Handshake float64 `json:"handshake"`
		Probe     float64 `json:"probe"`
		Waste     float64 `json:"waste"`
	} `json:"prices"`
}

// ParseSettings reads the settings of a Start. Unknown keys are ignored.
func ParseSettings(text []byte, seed uint64) (control.Settings, error) {
	var p profileData
	if err := json.Unmarshal(text, &p); err != nil {
		return control.Settings{}, fmt.Errorf("profile-data: %w", err)
	}
	s := control.Settings{
		Seed: seed, Index: p.Me, FleetSize: orElse(p.Siblings, 1), Zone: p.Zone,
		OverQuotaFactor: orElse(p.OverShareWorth, 1), WeightHalves: p.Specifics.Fades == "by_half",
		WeightByWork: p.WorthBy == "work", MaxInFlight: p.Specifics.MaxCalls, MaxOpenMessages: p.Limits.OpenCap,
		MaxAttempts: p.Limits.SendCap, AllowHedging: p.Limits.SecondCopies, CanCancel: p.Limits.Cancel,
		CanHealthCheck: p.Limits.Probes, CanGossip: p.Limits.Peers, CanSendRetryAfter: p.Limits.RetryAfter, MaxRetryAfter: Duration(p.Limits.MaxAdviceMs),
		StreamsPerConn: orElse(p.Limits.Streams, 1), ConnIdleTimeout: Duration(p.Limits.IdleMs),
		ConnectTimeout: Duration(p.Limits.ConnectMs), PollsList: p.Discovery == "ask", Tick: Duration(p.TickMs),
		ResponseGrace: Duration(p.Guarantees.SlackMs), MaxPollInterval: Duration(p.Guarantees.MustAskMs),
		DrainGrace: Duration(p.Guarantees.DrainMs), ColdCapacity: p.Guarantees.ColdFrom,
		WarmUp: Duration(p.Guarantees.ColdMs), OverloadFactor: p.Guarantees.FallMultiple,
		OverloadWindow: Duration(p.Guarantees.FallMs), OrderedPause: Duration(p.Guarantees.TurnGapMs),
		RejectionCost: p.Specifics.Refused, ConnectionCost: p.Prices.Handshake, HealthCheckCost: p.Prices.Probe,
		WastedWorkCost: p.Prices.Waste, ZoneCosts: p.Specifics.Toll, HeadroomIndex: -1, LimitIndex: -1,
	}
	var err error
	if s.Classes, err = classes(&p); err != nil {
		return s, err
	}
	for _, t := range p.Tenants {
		s.Tenants = append(s.Tenants, control.Tenant{Quota: t.Allowance, Fraction: t.Portion})
	}
	s.Kinds = kinds(&p)
	switch p.Weights {
	case "nominal":
		s.WeightKind = control.WeightsNominal
	case "rough":
		s.WeightKind = control.WeightsApproximate
	}
	if p.Reporting.How != "off" {
		for i, name := range p.Reporting.Fields {
			switch name {
			case "x0":
				s.HeadroomIndex = i
			case "x1":
				s.LimitIndex = i
			}
		}
	}
	return s, nil
}

// classes reads the profiles.
func classes(p *profileData) ([]control.Class, error) {
	var out []control.Class
	for i, c := range p.Profiles {
		k := control.Class{
			LatencyObjective: Duration(c.AimMs), ObjectiveStretch: c.AimStretch, Deadline: Duration(c.DeadlineMs),
			PriorityWeight: orElse(c.Worth, 1), LateWeight: c.LateWorth, KeyZoneScoped: c.KeyScope == "zone" || c.KeyScope == "cell",
			KeyRetention: Duration(c.MemoryMs), Ordered: c.ByArrival, Streaming: c.Streamed,
		}
		switch c.Effect {
		case "safe":
			k.Idempotency = control.Idempotent
		case "keyed":
			k.Idempotency = control.IdempotentByKey
		case "unsafe":
			k.Idempotency = control.NotIdempotent
		default:
			return nil, fmt.Errorf("profiles[%d].effect: %q", i, c.Effect)
		}
		out = append(out, k)
	}
	return out, nil
}

// kinds joins the figures that the settings give for each kind.
func kinds(p *profileData) []control.Kind {
	n := max(len(p.Kinds), len(p.Specifics.Batch), len(p.Specifics.Separate))
	out := make([]control.Kind, n)
	for i := range out {
		out[i].MaxBatch = 1
		if i < len(p.Specifics.Batch) {
			out[i].MaxBatch = p.Specifics.Batch[i]
		}
		out[i].SeparateRoutes = i < len(p.Specifics.Separate) && p.Specifics.Separate[i]
	}
	return out
}

// orElse returns what an optional key holds, or its meaning when absent.
func orElse[T any](v *T, absent T) T {
	if v == nil {
		return absent
	}
	return *v
}

// Duration turns the wire's milliseconds into a duration.
func Duration(ms float64) time.Duration {
	return time.Duration(ms * float64(time.Millisecond))
}

// Millis turns a duration into the wire's milliseconds.
func Millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
