package control

import (
	"fmt"
	"time"
)

// Idempotency says what repeating a message does at its destination.
type Idempotency uint8

// The effects a class of message can have.
const (
	Idempotent      Idempotency = iota // may be repeated at will
	IdempotentByKey                    // repeats are dropped for a while
	NotIdempotent                      // must never run twice
)

// Class describes one class of message.
type Class struct {
	LatencyObjective time.Duration // full worth when served by this age
	ObjectiveStretch float64       // the aim grows by this multiple of the expected work
	Deadline         time.Duration // age at which the message is given up
	PriorityWeight   float64       // worth of one message
	LateWeight       float64       // share of the worth left at the deadline
	Idempotency      Idempotency
	KeyZoneScoped    bool          // keyed: repeats are dropped only within one zone
	KeyRetention     time.Duration // keyed: how long repeats are dropped
	Ordered          bool          // messages with one key take turns by arrival
	Streaming        bool          // the answer starts before it ends
}

// Kind describes one kind of destination.
type Kind struct {
	MaxBatch       int  // messages that may share one call; at least 1
	SeparateRoutes bool // endpoints are routes apart: own limit, waits and outages
}

// Tenant describes one customer sharing the service.
type Tenant struct {
	Quota    float64 // messages a second within its share, over all instances
	Fraction float64 // fraction of the service
}

// WeightKind says what Endpoint.Weight holds.
type WeightKind uint8

// The forms that weights take.
const (
	WeightsUnset       WeightKind = iota // Weight says nothing
	WeightsNominal                       // calls a second the destination takes from all instances together
	WeightsApproximate                   // the same, far from exact
)

// Settings is all that a controller is told at its start.
type Settings struct {
	Seed              uint64
	Index             int // this instance among its siblings
	FleetSize         int // instances that share the traffic, this one included
	Zone              int
	Classes           []Class
	Kinds             []Kind
	Tenants           []Tenant
	OverQuotaFactor   float64 // worth of traffic beyond a tenant's share, as a fraction
	WeightHalves      bool    // worth halves with each further aim; else it falls evenly
	WeightByWork      bool    // a message counts by its expected work, not as one
	MaxInFlight       int     // calls out at once
	MaxOpenMessages   int     // messages held, sent or not; 0 = no limit
	MaxAttempts       int     // attempts for one message; 0 = no limit
	AllowHedging      bool    // two attempts for one message may be out at once
	CanCancel         bool
	CanHealthCheck    bool
	CanGossip         bool          // siblings may be told what was seen
	CanSendRetryAfter bool          // clients receive retry advice
	MaxRetryAfter     time.Duration // the longest advice that clients heed
	StreamsPerConn    int           // calls one connection carries at once
	ConnIdleTimeout   time.Duration // an idle connection closes after this
	ConnectTimeout    time.Duration
	HeadroomIndex     int        // place in Outcome.Load of the share of the limit left; -1 = none
	LimitIndex        int        // place in Outcome.Load of the limit in calls a second; -1 = none
	WeightKind        WeightKind // what Endpoint.Weight holds
	PollsList         bool       // the endpoint list answers only when asked
	Tick              time.Duration
	ResponseGrace     time.Duration // a final answer this late still counts
	MaxPollInterval   time.Duration // unasked for this long, the list counts as told; 0 = no such rule
	DrainGrace        time.Duration
	ColdCapacity      float64       // share of its capacity that a destination has after an outage
	WarmUp            time.Duration // the time by which it has all of it
	OverloadFactor    float64       // times its present capacity that pushes a cold destination over...
	OverloadWindow    time.Duration // ...when sent for so long
	OrderedPause      time.Duration // rest of a key after an attempt that may still run
	RejectionCost     float64       // price of calls turned away above a limit
	ConnectionCost    float64       // price of opened connections
	HealthCheckCost   float64       // price of probes
	WastedWorkCost    float64       // price of work that served nothing
	ZoneCosts         []float64     // per zone: price of messages taken on by a route apart there
}

// validate rejects settings that no decision could be based on.
func validate(s *Settings) error {
	if len(s.Classes) == 0 {
		//lint:ignore ST1005 it begins with the name of the field
		return fmt.Errorf("Classes: none given")
	}
	for i, k := range s.Classes {
		if k.Deadline <= 0 || k.LatencyObjective < 0 || k.KeyRetention < 0 || k.ObjectiveStretch < 0 {
			//lint:ignore ST1005 it begins with the name of the field
			return fmt.Errorf("Classes[%d]: Deadline must be positive; Aim, Memory, AimStretch not negative", i)
		}
		if k.PriorityWeight < 0 || k.LateWeight < 0 || k.LateWeight > 1 || k.Idempotency > NotIdempotent {
			//lint:ignore ST1005 it begins with the name of the field
			return fmt.Errorf("Classes[%d]: Worth, LateWorth or Effect out of range", i)
		}
	}
	for i, k := range s.Kinds {
		if k.MaxBatch < 1 {
			return fmt.Errorf("Kinds[%d].Batch: %d", i, k.MaxBatch)
		}
	}
	for i, t := range s.Tenants {
		if t.Quota < 0 || t.Fraction < 0 {
			//lint:ignore ST1005 it begins with the name of the field
			return fmt.Errorf("Tenants[%d]: negative Rate or Portion", i)
		}
	}
	figures := []struct {
		name string
		bad  bool
	}{
		{"Slots", s.MaxInFlight < 1}, {"Siblings", s.FleetSize < 1}, {"HoldCap", s.MaxOpenMessages < 0},
		{"SendCap", s.MaxAttempts < 0}, {"StreamsPerConn", s.StreamsPerConn < 0}, {"Tick", s.Tick < 0},
		{"AnswerSlack", s.ResponseGrace < 0}, {"MustAsk", s.MaxPollInterval < 0}, {"DrainGrace", s.DrainGrace < 0},
		{"ColdFrom", s.ColdCapacity < 0 || s.ColdCapacity > 1}, {"Cold", s.WarmUp < 0}, {"TurnGap", s.OrderedPause < 0},
		{"FallMultiple", s.OverloadFactor < 0}, {"FallWindow", s.OverloadWindow < 0}, {"MaxAdvice", s.MaxRetryAfter < 0},
		{"ConnIdle", s.ConnIdleTimeout < 0}, {"ConnectTimeout", s.ConnectTimeout < 0},
	}
	for _, f := range figures {
		if f.bad {
			return fmt.Errorf("%s: out of range", f.name)
		}
	}
	return nil
}
