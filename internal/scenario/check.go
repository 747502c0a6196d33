package scenario

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// check looks at what only the whole script shows.
func (s *Scenario) check() error {
	kinds, zones := map[string]bool{}, map[string]bool{"": true}
	for _, k := range s.Kinds {
		if kinds[k.Name] {
			return fmt.Errorf("two kinds of name %q", k.Name)
		}
		kinds[k.Name] = true
	}
	for _, z := range s.Zones {
		zones[z] = true
	}
	switch {
	case s.Name == "":
		return errors.New("call scenario(name = ..., seconds = ...)")
	case s.Length <= 0:
		return errors.New("scenario: seconds above 0 are needed")
	case s.Senders < 1 || s.Senders > 10_000:
		return errors.New("scenario: senders: 1 to 10,000")
	case len(s.Zones) == 0 || len(s.Zones) > 255:
		return errors.New("scenario: zones = [...] is needed")
	case len(s.Fleets) == 0:
		return errors.New("no fleet(kind = ..., destinations = ...)")
	case len(s.Traffic.Classes) == 0:
		return errors.New("no message_class(...)")
	case len(s.Traffic.Tenants) == 0:
		return errors.New("no tenant(...)")
	case !(s.Traffic.Rate.From > 0):
		return errors.New("traffic: a rate above 0 is needed")
	}
	for _, f := range s.Fleets {
		if !kinds[f.Kind] {
			return fmt.Errorf("fleet: no kind %q", f.Kind)
		}
	}
	for _, t := range s.Faults {
		if !zones[t.Zone] || t.Kind != "" && !kinds[t.Kind] {
			return fmt.Errorf("trouble: no zone %q or no kind %q", t.Zone, t.Kind)
		}
	}
	for _, d := range s.Actions {
		if d.Sender >= s.Senders {
			return fmt.Errorf("sender: no number %d", d.Sender)
		}
	}
	for _, d := range s.AgentActions {
		if d.Agent < 0 || d.Agent >= s.Agents.Number {
			return fmt.Errorf("agent: no number %d", d.Agent)
		}
	}
	for _, o := range s.Orders {
		if o.Agent < 0 || o.Agent >= s.Agents.Number {
			return fmt.Errorf("order: no agent %d", o.Agent)
		}
		for _, name := range o.Of {
			if !s.knowsParty(name) || !strings.HasPrefix(name, "n") && !slices.Contains(s.Zones, name) {
				return fmt.Errorf("order: no sender and no zone %q", name)
			}
		}
	}
	for _, d := range s.Actions {
		if s.Agents.Number > 0 && (d.What == "drain" || d.What == "activate") {
			return fmt.Errorf("sender: %s: with agents, order() does that", d.What)
		}
	}
	for _, l := range s.Links {
		for _, name := range slices.Concat(l.Of, l.To) {
			if !s.knowsParty(name) {
				return fmt.Errorf("link: no party %q: n0 to n%d, a zone, senders, agents, a0 and so on, discovery, clients, partners, partners/ZONE, destination/NUMBER or endpoint/ID", name, s.Senders-1)
			}
		}
	}
	for _, p := range s.Partitions {
		if p.Sides > s.Senders {
			return fmt.Errorf("parts: %d of %d senders", p.Sides, s.Senders)
		}
	}
	return nil
}

// knowsParty tells whether a script may name a party so. Which endpoints there are is drawn later.
func (s *Scenario) knowsParty(name string) bool {
	if num, is := strings.CutPrefix(name, "n"); is {
		if i, err := strconv.Atoi(num); err == nil {
			return i >= 0 && i < s.Senders && name == Sender(i)
		}
	}
	if num, is := strings.CutPrefix(name, "a"); is {
		if i, err := strconv.Atoi(num); err == nil {
			return i >= 0 && i < s.Agents.Number && name == Agent(i)
		}
	}
	if zone, is := strings.CutPrefix(name, inZone); is {
		return slices.Contains(s.Zones, zone)
	}
	if num, is := strings.CutPrefix(name, ofDest); is {
		i, err := strconv.Atoi(num)
		return err == nil && i > 0
	}
	return slices.Contains([]string{Discovery, Clients, allSenders, allAgents, allPartners}, name) || slices.Contains(s.Zones, name) || strings.HasPrefix(name, oneEndpoint)
}
