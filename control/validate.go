package control

import "fmt"

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
