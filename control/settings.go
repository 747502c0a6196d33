package control

import (
	"fmt"
	"time"
)

// Idempotency says what repeating a message may do at its destination.
type Idempotency uint8

// What repeating a message may do.
const (
	Idempotent      Idempotency = iota // nothing: it may be repeated at will
	IdempotentByKey                    // nothing within Class.KeyRetention, as repeats are dropped by their key
	NotIdempotent                      // harm: it must never run twice
)

// Class describes one class of message.
type Class struct {
	LatencyObjective time.Duration // full weight when served by this age
	ObjectiveStretch float64       // the objective grows by this multiple of the expected work
	Deadline         time.Duration // age at which the message expires
	PriorityWeight   float64       // weight of one message in scheduling
	LateWeight       float64       // fraction of the weight that is left at the deadline
	Idempotency      Idempotency
	KeyZoneScoped    bool          // by key: repeats are dropped only within one zone
	KeyRetention     time.Duration // by key: how long repeats are dropped
	Ordered          bool          // messages with one key go one at a time, in order of submission
	Streaming        bool          // the answer starts before it ends
}

// Kind describes one kind of destination.
type Kind struct {
	MaxBatch       int  // messages that may share one call; at least 1
	SeparateRoutes bool // each endpoint has its own limit, waits and outages
}

// Tenant describes one customer that shares the service.
type Tenant struct {
	Quota    float64 // messages a second, over the whole fleet
	Fraction float64 // of the service
}

// WeightKind says what Endpoint.Weight holds.
type WeightKind uint8

// The forms that weights take.
const (
	WeightsUnset       WeightKind = iota // nothing
	WeightsNominal                       // calls a second that the endpoint takes from the whole fleet
	WeightsApproximate                   // the same, far from exact
)

// Settings is all that a controller is told at its start. New and Controller.UpdateSettings reject those that no
// decision could be based on.
type Settings struct {
	Seed              uint64 // of all random draws
	Index             int    // of this sender in the fleet
	FleetSize         int    // senders that share the traffic, this one included
	Zone              int    // of this sender
	Classes           []Class
	Kinds             []Kind
	Tenants           []Tenant
	OverQuotaFactor   float64 // weight of traffic beyond a tenant's quota, as a fraction
	WeightHalves      bool    // weight halves with each further latency objective; else it falls evenly
	WeightByWork      bool    // a message counts by its expected work, not as one
	MaxInFlight       int     // calls in flight at once
	MaxOpenMessages   int     // open messages at once; 0 = no limit
	MaxAttempts       int     // attempts for one message; 0 = no limit
	AllowHedging      bool    // two attempts for one message may be in flight at once
	CanCancel         bool
	CanHealthCheck    bool
	CanGossip         bool          // peers may be told what was seen
	CanSendRetryAfter bool          // clients receive a Retry-After
	MaxRetryAfter     time.Duration // the longest Retry-After that clients heed
	StreamsPerConn    int           // calls that one connection carries at once
	ConnIdleTimeout   time.Duration // an idle connection closes after this
	ConnectTimeout    time.Duration
	HeadroomIndex     int        // place in Outcome.LoadReport of the fraction of the limit that is left; -1 = none
	LimitIndex        int        // place in Outcome.LoadReport of the limit in calls a second; -1 = none
	WeightKind        WeightKind // what Endpoint.Weight holds
	PollsList         bool       // the endpoint list answers only when polled
	Tick              time.Duration
	ResponseGrace     time.Duration // an answer to a client this late still counts
	MaxPollInterval   time.Duration // after this long without a poll the list counts as notified; 0 = no such rule
	DrainGrace        time.Duration // calls to a draining endpoint are allowed for so long
	ColdCapacity      float64       // fraction of its capacity that a destination has after an outage
	WarmUp            time.Duration // time after which it has all of it
	OverloadFactor    float64       // times its present capacity that overloads a destination that is warming up...
	OverloadWindow    time.Duration // ...when sent for so long
	OrderedPause      time.Duration // pause of a key after an attempt that may still run
	RejectionCost     float64       // price of a call that is rejected above a limit
	ConnectionCost    float64       // price of an opened connection
	HealthCheckCost   float64       // price of a health check
	WastedWorkCost    float64       // price of work that served nothing
	ZoneCosts         []float64     // by zone: price of a message that an endpoint with a separate route there takes
}

// kind returns what is known of a kind of destination.
func (s *Settings) kind(i int) Kind {
	if i < 0 || i >= len(s.Kinds) {
		return Kind{MaxBatch: 1}
	}
	return s.Kinds[i]
}

// validate rejects settings that no decision could be based on. Its errors begin with the key that the setting has in
// settings files, which may differ from the name of the field.
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
	ranges := []struct {
		name    string
		invalid bool
	}{
		{"Slots", s.MaxInFlight < 1}, {"Siblings", s.FleetSize < 1}, {"HoldCap", s.MaxOpenMessages < 0},
		{"SendCap", s.MaxAttempts < 0}, {"StreamsPerConn", s.StreamsPerConn < 0}, {"Tick", s.Tick < 0},
		{"AnswerSlack", s.ResponseGrace < 0}, {"MustAsk", s.MaxPollInterval < 0}, {"DrainGrace", s.DrainGrace < 0},
		{"ColdFrom", s.ColdCapacity < 0 || s.ColdCapacity > 1}, {"Cold", s.WarmUp < 0}, {"TurnGap", s.OrderedPause < 0},
		{"FallMultiple", s.OverloadFactor < 0}, {"FallWindow", s.OverloadWindow < 0}, {"MaxAdvice", s.MaxRetryAfter < 0},
		{"ConnIdle", s.ConnIdleTimeout < 0}, {"ConnectTimeout", s.ConnectTimeout < 0},
	}
	for _, f := range ranges {
		if f.invalid {
			return fmt.Errorf("%s: out of range", f.name)
		}
	}
	return nil
}
