package control

import (
	"fmt"
	"time"
)

// Idempotency describes the effect of delivering a message more than once.
type Idempotency uint8

// The levels of idempotency.
const (
	Idempotent      Idempotency = iota // repeats have no effect
	IdempotentByKey                    // repeats within Class.KeyRetention are dropped by their key
	NotIdempotent                      // repeats do harm: the message must never run twice
)

// Class describes a class of messages.
type Class struct {
	LatencyObjective time.Duration // age up to which a served message has its full weight
	ObjectiveStretch float64       // LatencyObjective grows by this multiple of the expected work
	Deadline         time.Duration // age at which the message expires
	PriorityWeight   float64       // weight of a message in scheduling
	LateWeight       float64       // fraction of PriorityWeight that is left at the deadline
	Idempotency      Idempotency
	KeyZoneScoped    bool          // IdempotentByKey: repeats are dropped only within one zone
	KeyRetention     time.Duration // IdempotentByKey: time for which repeats are dropped
	Ordered          bool          // messages with the same key are sent one at a time, in order of submission
	Streaming        bool          // the response is streamed to the client
}

// Kind describes a kind of partner.
type Kind struct {
	MaxBatch       int  // maximum number of messages in one call; at least 1
	SeparateRoutes bool // limits, Retry-After and outages apply per endpoint
}

// Tenant describes a customer that shares the service.
type Tenant struct {
	Quota    float64 // messages per second over the whole fleet
	Fraction float64 // share of the service
}

// WeightKind defines the meaning of Endpoint.Weight.
type WeightKind uint8

// The meanings of endpoint weights.
const (
	WeightsUnset       WeightKind = iota // no meaning
	WeightsNominal                       // capacity in calls per second for the whole fleet
	WeightsApproximate                   // the same as a rough estimate
)

// Settings holds the configuration of a controller. New and Controller.UpdateSettings reject invalid settings.
type Settings struct {
	Seed                   uint64 // seed of the random number generator
	Index                  int    // index of this sender in the fleet
	FleetSize              int    // number of senders that share the traffic, including this one
	Zone                   int    // zone of this sender
	Classes                []Class
	Kinds                  []Kind
	Tenants                []Tenant
	OverQuotaFactor        float64 // fraction of the weight that counts for traffic above a tenant's quota
	ExponentialWeightDecay bool    // weight halves with each further latency objective; otherwise it falls linearly
	WeightByWork           bool    // a message counts by its expected work instead of as one
	MaxInFlight            int     // maximum number of calls in flight
	MaxCallBytes           int     // maximum size of the body of a call with several messages; 0 = no limit
	MaxOpenMessages        int     // maximum number of open messages; 0 = no limit
	MaxAttempts            int     // maximum number of attempts per message; 0 = no limit
	AllowHedging           bool    // a message may have two attempts in flight
	CanCancel              bool
	CanHealthCheck         bool
	CanGossip              bool          // the host can send observations to peers
	CanSendRetryAfter      bool          // rejections to clients carry a Retry-After
	MaxRetryAfter          time.Duration // longest Retry-After that clients honor
	StreamsPerConn         int           // maximum number of concurrent calls on a connection
	ConnIdleTimeout        time.Duration // an idle connection is closed after this
	ConnectTimeout         time.Duration
	HeadroomIndex          int        // index in Outcome.LoadReport of the unused fraction of the limit; -1 = none
	LimitIndex             int        // index in Outcome.LoadReport of the limit in calls per second; -1 = none
	WeightKind             WeightKind // meaning of Endpoint.Weight
	PollEndpointList       bool       // the endpoint list has to be polled
	Tick                   time.Duration
	ResponseGrace          time.Duration // an answer to a client still counts if it is this late
	MaxPollInterval        time.Duration // list updates count as notified after this long without a poll; 0 = no such rule
	DrainGrace             time.Duration // time for which calls to a draining endpoint are allowed
	ColdCapacity           float64       // fraction of a destination's capacity that is available right after an outage
	WarmUp                 time.Duration // time after an outage until the full capacity is available
	OverloadFactor         float64       // multiple of its current capacity that overloads a warming destination...
	OverloadWindow         time.Duration // ...if it lasts this long
	OrderedPause           time.Duration // pause of a key after an attempt that may still be running
	RejectionCost          float64       // cost of a call that is rejected above a limit
	ConnectionCost         float64       // cost of opening a connection
	HealthCheckCost        float64       // cost of a health check
	WastedWorkCost         float64       // cost of work that served no message
	ZoneCosts              []float64     // by zone: cost of a message sent to an endpoint with a separate route there
}

// kind returns the settings of a kind of partner, or defaults for an unknown kind.
func (s *Settings) kind(i int) Kind {
	if i < 0 || i >= len(s.Kinds) {
		return Kind{MaxBatch: 1}
	}
	return s.Kinds[i]
}

// validate returns an error for settings that are missing or out of range. The error begins with the key of the setting
// in settings files, which may differ from the name of its field.
func validate(s *Settings) error {
	if len(s.Classes) == 0 {
		//lint:ignore ST1005 the error begins with the key of the setting
		return fmt.Errorf("Classes: none given")
	}
	for i, k := range s.Classes {
		if k.Deadline <= 0 || k.LatencyObjective < 0 || k.KeyRetention < 0 || k.ObjectiveStretch < 0 {
			//lint:ignore ST1005 the error begins with the key of the setting
			return fmt.Errorf("Classes[%d]: Deadline must be positive; Aim, Memory, AimStretch not negative", i)
		}
		if k.PriorityWeight < 0 || k.LateWeight < 0 || k.LateWeight > 1 || k.Idempotency > NotIdempotent {
			//lint:ignore ST1005 the error begins with the key of the setting
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
			//lint:ignore ST1005 the error begins with the key of the setting
			return fmt.Errorf("Tenants[%d]: negative Rate or Portion", i)
		}
	}
	ranges := []struct {
		name    string
		invalid bool
	}{
		{"Slots", s.MaxInFlight < 1}, {"Siblings", s.FleetSize < 1}, {"HoldCap", s.MaxOpenMessages < 0},
		{"SendCap", s.MaxAttempts < 0}, {"StreamsPerConn", s.StreamsPerConn < 0}, {"Tick", s.Tick < 0},
		{"MaxCallBytes", s.MaxCallBytes < 0},
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
