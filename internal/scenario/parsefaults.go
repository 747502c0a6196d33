package scenario

import (
	"errors"
	"fmt"
	"time"

	"cleathold/internal/partner"
)

// faultModes maps the constants of scripts to the fault modes of partners.
var faultModes = map[string]partner.Mode{
	"DOWN": partner.Down, "SHUT": partner.Shut, "SILENT": partner.Unresponsive,
	"FAILING": partner.ReturningErrors, "SLOW": partner.Slow, "PAUSED": partner.Paused,
	"BREAKING": partner.BreakingConnections, "SPOILING": partner.GarblingAnswers, "CUT": partner.LimitReduced,
}

// addFault implements the script function trouble(...).
func (s *Scenario) addFault(a *args) error {
	f := Fault{Dest: -1, Share: Range{1, 1}, Factor: Range{2, 2}, TrafficShare: Range{1, 1}}
	var modeName string
	a.text("what", &modeName)
	a.period(&f.At, &f.Length)
	a.numberRange("share", &f.Share)
	a.numberRange("factor", &f.Factor)
	a.numberRange("part", &f.TrafficShare)
	a.text("zone", &f.Zone)
	a.number("endpoints", &f.Endpoints)
	a.text("kind", &f.Kind)
	a.integer("destination", &f.Dest)
	a.boolean("knows_end", &f.EndKnown)
	mode, known := faultModes[modeName]
	switch {
	case !known:
		return fmt.Errorf("what: %q is not a known fault", modeName)
	case f.Share.To > 1 || f.TrafficShare.To > 1 || f.Endpoints < 0 || f.Endpoints > 1 || f.Length.From <= 0 ||
		f.Factor.From <= 0:
		return a.withError("share, part and endpoints: 0 to 1; seconds and factor: above 0")
	case mode == partner.LimitReduced && f.Factor.To >= 1:
		return a.withError("factor: a cut limit is less than 1 times the usual")
	}
	f.Mode = mode
	s.Faults = append(s.Faults, f)
	return a.err
}

// addDiscoveryOutage implements the script function discovery_out(...).
func (s *Scenario) addDiscoveryOutage(a *args) error {
	var outage DiscoveryOutage
	a.period(&outage.At, &outage.Length)
	if outage.Length.From <= 0 {
		return a.withError("seconds above 0 are needed")
	}
	s.DiscoveryOutages = append(s.DiscoveryOutages, outage)
	return a.err
}

// addChurn implements the script function churn(...).
func (s *Scenario) addChurn(a *args) error {
	c := Churn{Drain: 3 * time.Second}
	a.numberRange("at", &c.At)
	a.duration("every", &c.Every)
	a.duration("drain", &c.Drain)
	a.boolean("reuse_address", &c.ReuseAddress)
	a.boolean("move_address", &c.MoveAddress)
	if c.Every > 0 && c.Every < 100*time.Millisecond {
		return a.withError("every: 0.1 s at the least")
	}
	s.Churns = append(s.Churns, c)
	return a.err
}

// maxLinkDelay is the maximum delay of a link. A delay above the timeout of every call would be a silent link.
const maxLinkDelay = time.Minute

// linkState takes the arguments that describe the state of a link.
func (a *args) linkState(l *LinkState) error {
	fault := ""
	a.text("what", &fault)
	a.duration("delay", &l.Delay)
	a.duration("jitter", &l.Jitter)
	for _, share := range []struct {
		name  string
		value *float64
	}{{"loss", &l.Loss}, {"double", &l.Duplicate}, {"reorder", &l.Reorder}} {
		if a.number(share.name, share.value); *share.value < 0 || *share.value > 1 {
			return fmt.Errorf("%s: a part from 0 to 1", share.name)
		}
	}
	switch fault {
	case "CUT":
		l.Cut = true
	case "SILENT":
		l.Silent = true
	case "":
		if *l == (LinkState{}) {
			return errors.New("no fault given: what (CUT or SILENT), delay, jitter, loss, double or reorder is needed")
		}
	default:
		return fmt.Errorf("what: %q is neither CUT nor SILENT", fault)
	}
	if l.Delay+l.Jitter > maxLinkDelay {
		return fmt.Errorf("delay and jitter: %v together at most", maxLinkDelay)
	}
	return nil
}

// addLink implements the script function link(...).
func (s *Scenario) addLink(a *args) error {
	var l Link
	a.period(&l.At, &l.Length)
	a.names("of", &l.From)
	a.names("to", &l.To)
	a.number("share", &l.Share)
	a.boolean("one_way", &l.OneWay)
	if err := a.linkState(&l.LinkState); err != nil {
		return errors.Join(a.err, err)
	}
	switch {
	case l.Length.From <= 0:
		return a.withError("seconds above 0 are needed")
	case (len(l.From) == 0) == (l.Share == 0) || l.Share < 0 || l.Share > 1:
		return a.withError("either of, or a share of the senders above 0 up to 1, is needed")
	}
	s.Links = append(s.Links, l)
	return a.err
}

// addPartition implements the script function parts(...).
func (s *Scenario) addPartition(a *args) error {
	p := Partition{Sides: 2}
	a.period(&p.At, &p.Length)
	a.integer("parts", &p.Sides)
	if err := a.linkState(&p.LinkState); err != nil {
		return errors.Join(a.err, err)
	}
	if p.Length.From <= 0 || p.Sides < 2 {
		return a.withError("seconds above 0, and two parts at least, are needed")
	}
	s.Partitions = append(s.Partitions, p)
	return a.err
}
