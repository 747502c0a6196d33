package scenario

import (
	"errors"
	"fmt"
	"time"

	"go.starlark.net/starlark"

	"cleathold/internal/partner"
)

// setScenario implements the script function scenario(...).
func (s *Scenario) setScenario(a *args) error {
	if s.Name != "" {
		return errors.New("called twice")
	}
	a.text("name", &s.Name)
	a.duration("seconds", &s.Length)
	a.integer("senders", &s.Senders)
	a.numberRange("slots", &s.InFlight)
	a.numberRange("hold", &s.OpenMessages)
	if a.number("notes_lost", &s.GossipLoss); s.GossipLoss < 0 || s.GossipLoss > 1 {
		a.typeError("notes_lost", "a part from 0 to 1", starlark.Float(s.GossipLoss))
	}
	if v, ok := a.take("zones"); ok {
		list, isList := v.(*starlark.List)
		if !isList {
			a.typeError("zones", "a list", v)
			return a.err
		}
		for i := range list.Len() {
			z, _ := starlark.AsString(list.Index(i))
			s.Zones = append(s.Zones, z)
		}
	}
	return a.err
}

// setSettings implements the script function settings(...).
func (s *Scenario) setSettings(a *args) error {
	lists := "ask"
	a.text("lists", &lists)
	a.duration("drain_grace", &s.Settings.DrainGrace)
	a.boolean("second_copies", &s.Settings.Hedging)
	a.boolean("peers", &s.Settings.Gossip)
	a.integer("send_cap", &s.Settings.MaxAttempts)
	if lists != "ask" && lists != "push" || s.Settings.MaxAttempts < 1 || s.Settings.DrainGrace <= 0 {
		return a.withError("lists: ask or push; send_cap: 1 up; drain_grace: above 0")
	}
	s.Settings.PushedLists = lists == "push"
	return a.err
}

// addKind implements the script function kind(...).
func (s *Scenario) addKind(a *args) error {
	k := Kind{
		LimitHeadroom: Range{1.3, 2}, MinLimit: Range{2, 4}, Window: time.Second, SpareCapacity: Range{1.15, 1.6},
		QueueLength: Range{0.3, 1}, CV: Range{0.3, 0.8}, Batch: 1, ItemCost: Range{0.05, 0.25}, MinConnections: Range{6, 16},
		Endpoints: Range{2, 2.3}, RetryAfter: Range{0.3, 1},
	}
	form := "rate"
	a.text("name", &k.Name)
	a.text("limit", &form)
	a.numberRange("headroom", &k.LimitHeadroom)
	a.numberRange("least", &k.MinLimit)
	a.duration("span", &k.Window)
	a.boolean("refused_count", &k.CountRejected)
	a.numberRange("tells_wait", &k.RetryAfterShare)
	a.numberRange("wait", &k.RetryAfter)
	a.numberRange("spare", &k.SpareCapacity)
	a.numberRange("depth", &k.QueueLength)
	a.numberRange("cv", &k.CV)
	a.integer("batch", &k.Batch)
	a.numberRange("item_cost", &k.ItemCost)
	a.boolean("apart", &k.SeparateRoutes)
	a.numberRange("conns", &k.Connections)
	a.numberRange("least_conns", &k.MinConnections)
	a.numberRange("endpoints", &k.Endpoints)
	switch form {
	case "rate":
		k.Form = partner.Rate
	case "window":
		k.Form = partner.Window
	case "none":
		k.Form = partner.NoLimit
	default:
		return fmt.Errorf("limit: %q is none of rate, window and none", form)
	}
	if k.Name == "" || k.Batch < 1 || k.Window <= 0 || k.RetryAfterShare.To > 1 || k.Endpoints.From < 1 ||
		k.SpareCapacity.From < 1 {
		return a.withError("name, batch, span, tells_wait (0 to 1), endpoints (1 up) or spare (1 up) out of range")
	}
	s.Kinds = append(s.Kinds, k)
	return a.err
}

// addFleet implements the script function fleet(...).
func (s *Scenario) addFleet(a *args) error {
	f := Fleet{Weight: 1, Destinations: Range{10, 10}}
	a.text("kind", &f.Kind)
	a.numberRange("destinations", &f.Destinations)
	a.number("weight", &f.Weight)
	a.integer("endpoints", &f.Endpoints)
	if f.Destinations.From < 1 || f.Destinations.To > 100_000 || !(f.Weight > 0) || f.Endpoints < 0 || f.Endpoints > 1000 {
		return a.withError("destinations: 1 to 100,000; weight: above 0; endpoints of each: 1,000 at most")
	}
	s.Fleets = append(s.Fleets, f)
	return a.err
}
