package scenario

import (
	"errors"
	"fmt"
	"time"

	"cleathold/internal/partner"
)

// faultModes are the words for what may ail a partner.
var faultModes = map[string]partner.Mode{
	"DOWN": partner.Down, "SHUT": partner.Shut, "SILENT": partner.Unresponsive, "FAILING": partner.ReturningErrors, "SLOW": partner.Slow,
	"PAUSED": partner.Paused, "BREAKING": partner.BreakingConnections, "SPOILING": partner.GarblingAnswers, "CUT": partner.LimitReduced,
}

func (s *Scenario) addFault(a *args) error {
	t := Fault{Dest: -1, Share: Range{1, 1}, Factor: Range{2, 2}, TrafficShare: Range{1, 1}}
	var what string
	a.text("what", &what)
	a.numberRange("at", &t.At)
	a.numberRange("seconds", &t.Length)
	a.numberRange("share", &t.Share)
	a.numberRange("factor", &t.Factor)
	a.numberRange("part", &t.TrafficShare)
	a.text("zone", &t.Zone)
	a.number("endpoints", &t.Endpoints)
	a.text("kind", &t.Kind)
	a.integer("destination", &t.Dest)
	a.boolean("knows_end", &t.EndKnown)
	mode, known := faultModes[what]
	switch {
	case !known:
		return fmt.Errorf("what: %q is no trouble", what)
	case t.Share.To > 1 || t.TrafficShare.To > 1 || t.Endpoints < 0 || t.Endpoints > 1 || t.Length.From <= 0 || t.Factor.From <= 0:
		return errors.Join(a.err, errors.New("share, part and endpoints: 0 to 1; seconds and factor: above 0"))
	case mode == partner.LimitReduced && t.Factor.To >= 1:
		return errors.Join(a.err, errors.New("factor: a cut limit is less than 1 times the usual"))
	}
	t.Mode = mode
	s.Faults = append(s.Faults, t)
	return a.err
}

func (s *Scenario) addDiscoveryOutage(a *args) error {
	var b DiscoveryOutage
	a.numberRange("at", &b.At)
	a.numberRange("seconds", &b.Length)
	if b.Length.From <= 0 {
		return errors.Join(a.err, errors.New("seconds above 0 are needed"))
	}
	s.DiscoveryOutages = append(s.DiscoveryOutages, b)
	return a.err
}

func (s *Scenario) addChurn(a *args) error {
	c := Churn{Drain: 3 * time.Second}
	a.numberRange("at", &c.At)
	a.duration("every", &c.Every)
	a.duration("drain", &c.Drain)
	a.boolean("reuse_address", &c.Reuse)
	if c.Every > 0 && c.Every < 100*time.Millisecond {
		return errors.Join(a.err, errors.New("every: 0.1 s at the least"))
	}
	s.Churns = append(s.Churns, c)
	return a.err
}

// linkState reads what ails a way.
func (a *args) linkState(w *LinkState) error {
	what := ""
	a.text("what", &what)
	a.duration("delay", &w.Delay)
	a.duration("jitter", &w.Jitter)
	for name, to := range map[string]*float64{"loss": &w.Loss, "double": &w.Duplicate, "reorder": &w.Reorder} {
		if a.number(name, to); *to < 0 || *to > 1 {
			return fmt.Errorf("%s: a part from 0 to 1", name)
		}
	}
	switch what {
	case "CUT":
		w.Cut = true
	case "SILENT":
		w.Silent = true
	case "":
		if *w == (LinkState{}) {
			return errors.New("nothing ails it: what (CUT or SILENT), delay, jitter, loss, double or reorder is needed")
		}
	default:
		return fmt.Errorf("what: %q is neither CUT nor SILENT", what)
	}
	if w.Delay+w.Jitter > maxLinkDelay {
		return fmt.Errorf("delay and jitter: %v together at most", maxLinkDelay)
	}
	return nil
}

// maxLinkDelay is how long a way may delay what passes: longer than any call's time it would be a silent one.
const maxLinkDelay = time.Minute

func (s *Scenario) addLink(a *args) error {
	var l Link
	a.numberRange("at", &l.At)
	a.numberRange("seconds", &l.Length)
	a.names("of", &l.Of)
	a.names("to", &l.To)
	a.number("share", &l.Share)
	a.boolean("one_way", &l.OneWay)
	if err := a.linkState(&l.LinkState); err != nil {
		return errors.Join(a.err, err)
	}
	switch {
	case l.Length.From <= 0:
		return errors.Join(a.err, errors.New("seconds above 0 are needed"))
	case (len(l.Of) == 0) == (l.Share == 0) || l.Share < 0 || l.Share > 1:
		return errors.Join(a.err, errors.New("either of, or a share of the senders above 0 up to 1, is needed"))
	}
	s.Links = append(s.Links, l)
	return a.err
}

func (s *Scenario) addPartition(a *args) error {
	p := Partition{Sides: 2}
	a.numberRange("at", &p.At)
	a.numberRange("seconds", &p.Length)
	a.integer("parts", &p.Sides)
	if err := a.linkState(&p.LinkState); err != nil {
		return errors.Join(a.err, err)
	}
	if p.Length.From <= 0 || p.Sides < 2 {
		return errors.Join(a.err, errors.New("seconds above 0, and two parts at least, are needed"))
	}
	s.Partitions = append(s.Partitions, p)
	return a.err
}
