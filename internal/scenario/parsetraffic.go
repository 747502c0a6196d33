package scenario

import (
	"errors"
	"fmt"
)

// setTraffic implements the script function traffic(...).
func (s *Scenario) setTraffic(a *args) error {
	t := &s.Traffic
	a.numberRange("rate", &t.Rate)
	a.numberRange("zipf", &t.Zipf)
	a.numberRange("clumps", &t.ClumpShare)
	a.numberRange("clump", &t.ClumpSeconds)
	a.integer("retries", &t.Retries)
	a.numberRange("retry_in", &t.RetryDelay)
	a.numberRange("again_in", &t.ResubmitDelay)
	a.numberRange("body", &t.Body)
	a.duration("patience", &t.Patience)
	if t.ClumpShare.To > 1 || t.Retries < 0 || t.Retries > 100 || t.Body.To > 64<<10 {
		return a.withError("clumps: 0 to 1; retries: 0 to 100; body: 65,536 bytes at most")
	}
	return a.err
}

// addClass implements the script function message_class(...).
func (s *Scenario) addClass(a *args) error {
	c := Class{PriorityWeight: 1, Effect: "safe"}
	keyScope := "all"
	a.text("key_scope", &keyScope)
	c.KeyZoneScoped = keyScope == "zone"
	a.text("name", &c.Name)
	a.number("share", &c.Share)
	a.numberRange("service", &c.Service)
	a.duration("aim", &c.LatencyObjective)
	a.duration("deadline", &c.Deadline)
	a.text("effect", &c.Effect)
	a.duration("memory", &c.KeyRetention)
	a.number("late", &c.LateWeight)
	a.number("worth", &c.PriorityWeight)
	switch {
	case c.Effect != "safe" && c.Effect != "keyed" && c.Effect != "unsafe":
		return fmt.Errorf("effect: %q is none of safe, keyed and unsafe", c.Effect)
	case keyScope != "all" && keyScope != "zone":
		return fmt.Errorf("key_scope: %q is neither all nor zone", keyScope)
	case c.Effect == "keyed" && c.KeyRetention <= 0:
		return errors.New("a keyed class requires memory")
	case c.Name == "" || !(c.Share > 0) || c.Service.From <= 0 || c.LatencyObjective <= 0 ||
		c.Deadline <= c.LatencyObjective:
		return a.withError("name, share, service, aim and a deadline after it are needed")
	}
	s.Traffic.Classes = append(s.Traffic.Classes, c)
	return a.err
}

// addTenant implements the script function tenant(...).
func (s *Scenario) addTenant(a *args) error {
	var t Tenant
	a.text("name", &t.Name)
	a.number("share", &t.Share)
	if t.Name == "" || !(t.Share > 0) {
		return a.withError("name and a share above 0 are needed")
	}
	s.Traffic.Tenants = append(s.Traffic.Tenants, t)
	return a.err
}

// addRatePoint implements the script function ramp(...).
func (s *Scenario) addRatePoint(a *args) error {
	var p RatePoint
	a.duration("at", &p.At)
	a.number("factor", &p.Factor)
	if n := len(s.Traffic.RateCurve); p.Factor < 0 || n > 0 && p.At <= s.Traffic.RateCurve[n-1].At {
		return a.withError("points must be in ascending order of time, with factors of at least 0")
	}
	s.Traffic.RateCurve = append(s.Traffic.RateCurve, p)
	return a.err
}

// addBurst implements the script function burst(...).
func (s *Scenario) addBurst(a *args) error {
	var b Burst
	a.period(&b.At, &b.Length)
	a.numberRange("factor", &b.Factor)
	if b.Length.From <= 0 || b.Factor.From < 1 {
		return a.withError("seconds above 0 and a factor from 1 up are needed")
	}
	s.Bursts = append(s.Bursts, b)
	return a.err
}

// addHotKeys implements the script function hot(...).
func (s *Scenario) addHotKeys(a *args) error {
	h := HotKeys{Destinations: 1}
	a.period(&h.At, &h.Length)
	a.numberRange("share", &h.Share)
	a.integer("destinations", &h.Destinations)
	if h.Length.From <= 0 || h.Share.From <= 0 || h.Share.To >= 1 || h.Destinations < 1 {
		return a.withError("seconds above 0, a share between 0 and 1, and destinations from 1 up are needed")
	}
	s.HotKeys = append(s.HotKeys, h)
	return a.err
}
