package control

import "fmt"

// validate rejects settings that no decision could be based on.
func validate(s *Settings) error {
	if len(s.Classes) == 0 {
		//lint:ignore ST1005 it begins with the name of the field
		return fmt.Errorf("Classes: none given")
	}
	for i, k := range s.Classes {
		if k.Deadline <= 0 || k.Aim < 0 || k.Memory < 0 || k.AimStretch < 0 {
			//lint:ignore ST1005 it begins with the name of the field
			return fmt.Errorf("Classes[%d]: Deadline must be positive; Aim, Memory, AimStretch not negative", i)
		}
		if k.Worth < 0 || k.LateWorth < 0 || k.LateWorth > 1 || k.Effect > Unsafe {
			//lint:ignore ST1005 it begins with the name of the field
			return fmt.Errorf("Classes[%d]: Worth, LateWorth or Effect out of range", i)
		}
	}
	for i, k := range s.Kinds {
		if k.Batch < 1 {
			return fmt.Errorf("Kinds[%d].Batch: %d", i, k.Batch)
		}
	}
	for i, t := range s.Tenants {
		if t.Rate < 0 || t.Portion < 0 {
			//lint:ignore ST1005 it begins with the name of the field
			return fmt.Errorf("Tenants[%d]: negative Rate or Portion", i)
		}
	}
	figures := []struct {
		name string
		bad  bool
	}{
		{"Slots", s.Slots < 1}, {"Siblings", s.Siblings < 1}, {"HoldCap", s.HoldCap < 0},
		{"SendCap", s.SendCap < 0}, {"StreamsPerConn", s.StreamsPerConn < 0}, {"Tick", s.Tick < 0},
		{"AnswerSlack", s.AnswerSlack < 0}, {"MustAsk", s.MustAsk < 0}, {"DrainGrace", s.DrainGrace < 0},
		{"ColdFrom", s.ColdFrom < 0 || s.ColdFrom > 1}, {"Cold", s.Cold < 0}, {"TurnGap", s.TurnGap < 0},
		{"FallMultiple", s.FallMultiple < 0}, {"FallWindow", s.FallWindow < 0}, {"MaxAdvice", s.MaxAdvice < 0},
		{"ConnIdle", s.ConnIdle < 0}, {"ConnectTimeout", s.ConnectTimeout < 0},
	}
	for _, f := range figures {
		if f.bad {
			return fmt.Errorf("%s: out of range", f.name)
		}
	}
	return nil
}
