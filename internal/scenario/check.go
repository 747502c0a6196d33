package scenario

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// check runs the checks that need the whole script, and returns the first error.
func (s *Scenario) check() error {
	for _, check := range []func() error{
		s.checkKinds, s.checkComplete, s.checkFaults, s.checkActions, s.checkOrders, s.checkDrains, s.checkLinks,
	} {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

func (s *Scenario) checkKinds() error {
	seen := map[string]bool{}
	for _, k := range s.Kinds {
		if seen[k.Name] {
			return fmt.Errorf("duplicate kind %q", k.Name)
		}
		seen[k.Name] = true
	}
	return nil
}

// checkComplete checks for the calls and values that every script needs.
func (s *Scenario) checkComplete() error {
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
	return nil
}

// checkFaults checks that fleets and faults refer to existing kinds and zones.
func (s *Scenario) checkFaults() error {
	hasKind := func(name string) bool {
		return slices.ContainsFunc(s.Kinds, func(k Kind) bool { return k.Name == name })
	}
	for _, f := range s.Fleets {
		if !hasKind(f.Kind) {
			return fmt.Errorf("fleet: no kind %q", f.Kind)
		}
	}
	for _, f := range s.Faults {
		hasZone := f.Zone == "" || slices.Contains(s.Zones, f.Zone)
		if !hasZone || f.Kind != "" && !hasKind(f.Kind) {
			return fmt.Errorf("trouble: no zone %q or no kind %q", f.Zone, f.Kind)
		}
	}
	return nil
}

// checkActions checks that actions refer to existing senders and agents.
func (s *Scenario) checkActions() error {
	for _, action := range s.Actions {
		if action.Sender >= s.Senders {
			return fmt.Errorf("sender: no number %d", action.Sender)
		}
	}
	for _, action := range s.AgentActions {
		if action.Agent < 0 || action.Agent >= s.Agents.Number {
			return fmt.Errorf("agent: no number %d", action.Agent)
		}
	}
	return nil
}

// checkOrders checks that orders refer to existing agents, senders and zones.
func (s *Scenario) checkOrders() error {
	for _, o := range s.Orders {
		if o.Agent < 0 || o.Agent >= s.Agents.Number {
			return fmt.Errorf("order: no agent %d", o.Agent)
		}
		for _, name := range o.Targets {
			if !s.isParty(name) || !strings.HasPrefix(name, "n") && !slices.Contains(s.Zones, name) {
				return fmt.Errorf("order: no sender and no zone %q", name)
			}
		}
	}
	return nil
}

// checkDrains checks that a scenario with agents drains senders by orders only.
func (s *Scenario) checkDrains() error {
	for _, x := range s.Actions {
		if s.Agents.Number > 0 && (x.Kind == "drain" || x.Kind == "activate") {
			return fmt.Errorf("sender: %s: with agents, order() does that", x.Kind)
		}
	}
	return nil
}

// checkLinks checks that links refer to existing parties, and that no partition has more sides than there are senders.
func (s *Scenario) checkLinks() error {
	const parties = "a zone, senders, agents, a0 and so on, discovery, clients, partners, partners/ZONE, " +
		"destination/NUMBER or endpoint/ID"
	for _, l := range s.Links {
		for _, name := range slices.Concat(l.From, l.To) {
			if !s.isParty(name) {
				return fmt.Errorf("link: no party %q: n0 to n%d, %s", name, s.Senders-1, parties)
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

// isParty reports whether a name refers to a party. Any endpoint name is accepted, since endpoints are drawn later.
func (s *Scenario) isParty(name string) bool {
	if num, ok := strings.CutPrefix(name, "n"); ok {
		if i, err := strconv.Atoi(num); err == nil {
			return i >= 0 && i < s.Senders && name == Sender(i)
		}
	}
	if num, ok := strings.CutPrefix(name, "a"); ok {
		if i, err := strconv.Atoi(num); err == nil {
			return i >= 0 && i < s.Agents.Number && name == Agent(i)
		}
	}
	if zone, ok := strings.CutPrefix(name, zonePrefix); ok {
		return slices.Contains(s.Zones, zone)
	}
	if num, ok := strings.CutPrefix(name, destPrefix); ok {
		i, err := strconv.Atoi(num)
		return err == nil && i > 0
	}
	if strings.HasPrefix(name, endpointPrefix) || slices.Contains(s.Zones, name) {
		return true
	}
	return slices.Contains([]string{Discovery, Clients, allSenders, allAgents, allPartners}, name)
}
