package scenario

import (
	"errors"
	"fmt"
	"maps"
	"math"
	"os"
	"slices"
	"strings"
	"time"

	"go.starlark.net/starlark"

	"cleathold/internal/partner"
	"cleathold/internal/settings"
)

// Load reads a script. Figures go in the place of those that it names by param.
func Load(path string, figures map[string]float64) (*Scenario, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("scenario: %w", err)
	}
	return Parse(path, text, figures)
}

// Parse reads a script's text and checks it. Errors name file, line and column.
func Parse(path string, text []byte, figures map[string]float64) (*Scenario, error) {
	s := &Scenario{
		Path: path, Script: text, Figures: figures, Senders: 1, InFlight: Range{1.8, 2.4}, OpenMessages: Range{7, 11},
		Traffic: Traffic{
			Zipf: Range{0.8, 1.15}, Clump: Range{1, 3}, RetryDelay: Range{0.3, 2}, ResubmitDelay: Range{0.8, 2}, Body: Range{100, 400},
			Patience: 400 * time.Millisecond,
		},
	}
	names := starlark.StringDict{}
	for word := range faultModes {
		names[word] = starlark.String(word)
	}
	for name, f := range map[string]func(*args) error{
		"scenario": s.setScenario, "kind": s.addKind, "fleet": s.addFleet, "traffic": s.setTraffic, "message_class": s.addClass,
		"tenant": s.addTenant, "trouble": s.addFault, "burst": s.addBurst, "hot": s.addHotKeys, "sender": s.addAction, "churn": s.addChurn,
		"ramp": s.addRatePoint, "discovery_out": s.addDiscoveryOutage, "agents": s.setAgents, "agent": s.addAgentAction, "order": s.addOrder, "link": s.addLink, "parts": s.addPartition,
	} {
		names[name] = starlark.NewBuiltin(name, func(_ *starlark.Thread, b *starlark.Builtin, given starlark.Tuple, named []starlark.Tuple) (starlark.Value, error) {
			if len(given) > 0 {
				return nil, fmt.Errorf("%s: arguments go by name", b.Name())
			}
			a := &args{name: b.Name(), given: map[string]starlark.Value{}}
			for _, pair := range named {
				a.given[string(pair[0].(starlark.String))] = pair[1]
			}
			if err := f(a); err != nil {
				return nil, fmt.Errorf("%s: %w", b.Name(), err)
			}
			return starlark.None, a.done()
		})
	}
	unused := maps.Clone(figures)
	names["param"] = starlark.NewBuiltin("param", func(_ *starlark.Thread, b *starlark.Builtin, given starlark.Tuple, named []starlark.Tuple) (starlark.Value, error) {
		var name string
		var usual starlark.Value
		if err := starlark.UnpackArgs(b.Name(), given, named, "name", &name, "usual", &usual); err != nil {
			return nil, err
		}
		if _, isNumber := starlark.AsFloat(usual); !isNumber {
			return nil, fmt.Errorf("param: usual: got %s, want a number", usual.Type())
		}
		v, set := figures[name]
		delete(unused, name)
		if _, isInt := usual.(starlark.Int); set && isInt && v == math.Trunc(v) {
			return starlark.MakeInt64(int64(v)), nil
		} else if set {
			return starlark.Float(v), nil
		}
		return usual, nil
	})
	if _, err := settings.Exec(path, text, names); err != nil {
		return nil, err
	}
	if len(unused) > 0 {
		return nil, &settings.Error{File: path, Text: fmt.Sprintf("no param(%q) in it", slices.Min(slices.Collect(maps.Keys(unused))))}
	}
	if err := s.check(); err != nil {
		return nil, &settings.Error{File: path, Text: err.Error()}
	}
	return s, nil
}

// faultModes are the words for what may ail a partner.
var faultModes = map[string]partner.Mode{
	"DOWN": partner.Down, "SHUT": partner.Shut, "SILENT": partner.Unresponsive, "FAILING": partner.ReturningErrors, "SLOW": partner.Slow,
	"PAUSED": partner.Paused, "BREAKING": partner.BreakingConnections, "SPOILING": partner.GarblingAnswers, "CUT": partner.LimitReduced,
}

// args are the arguments of a call, taken by name.
type args struct {
	name  string
	given map[string]starlark.Value
	err   error
}

// take returns an argument, which is then known.
func (a *args) take(name string) (starlark.Value, bool) {
	v, ok := a.given[name]
	delete(a.given, name)
	return v, ok
}

func (a *args) fail(name, want string, v starlark.Value) {
	if a.err == nil {
		a.err = fmt.Errorf("%s: got %s, want %s", name, v.Type(), want)
	}
}

// done tells what was wrong, or an argument that is not known.
func (a *args) done() error {
	if a.err != nil {
		return fmt.Errorf("%s: %w", a.name, a.err)
	}
	if len(a.given) > 0 {
		return fmt.Errorf("%s: unexpected argument %q", a.name, slices.Min(slices.Collect(maps.Keys(a.given))))
	}
	return nil
}

func (a *args) number(name string, to *float64) {
	if v, ok := a.take(name); ok {
		f, isNumber := starlark.AsFloat(v)
		if !isNumber {
			a.fail(name, "a number", v)
		}
		*to = f
	}
}

func (a *args) integer(name string, to *int) {
	if v, ok := a.take(name); ok {
		i, err := starlark.AsInt32(v)
		if err != nil {
			a.fail(name, "a whole number", v)
		}
		*to = i
	}
}

func (a *args) duration(name string, to *time.Duration) {
	f := to.Seconds()
	a.number(name, &f)
	if f < 0 || f > 1e7 || f != f {
		a.err = errors.Join(a.err, fmt.Errorf("%s: seconds from 0 to 10,000,000", name))
		return
	}
	*to = time.Duration(f * float64(time.Second))
}

// numberRange takes a number, or two as a range.
func (a *args) numberRange(name string, to *Range) {
	v, ok := a.take(name)
	if !ok {
		return
	}
	if f, isNumber := starlark.AsFloat(v); isNumber {
		*to = Range{f, f}
	} else if pair, isPair := v.(starlark.Tuple); isPair && len(pair) == 2 {
		from, ok1 := starlark.AsFloat(pair[0])
		top, ok2 := starlark.AsFloat(pair[1])
		if !ok1 || !ok2 {
			a.fail(name, "two numbers", v)
		}
		*to = Range{from, top}
	} else {
		a.fail(name, "a number or (from, to)", v)
	}
	if a.err == nil && !(to.From >= 0 && to.To >= to.From && to.To < 1e12) {
		a.err = fmt.Errorf("%s: a range from 0 up, its ends in order", name)
	}
}

func (a *args) text(name string, to *string) {
	if v, ok := a.take(name); ok {
		s, isText := starlark.AsString(v)
		if !isText {
			a.fail(name, "a string", v)
		}
		*to = s
	}
}

func (a *args) boolean(name string, to *bool) {
	if v, ok := a.take(name); ok {
		b, isBool := v.(starlark.Bool)
		if !isBool {
			a.fail(name, "True or False", v)
		}
		*to = bool(b)
	}
}

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
		a.fail("notes_lost", "a part from 0 to 1", starlark.Float(s.GossipLoss))
	}
	if v, ok := a.take("zones"); ok {
		list, isList := v.(*starlark.List)
		if !isList {
			a.fail("zones", "a list", v)
			return a.err
		}
		for i := range list.Len() {
			z, _ := starlark.AsString(list.Index(i))
			s.Zones = append(s.Zones, z)
		}
	}
	return a.err
}

func (s *Scenario) addKind(a *args) error {
	k := Kind{
		Headroom: Range{1.3, 2}, MinLimit: Range{2, 4}, Span: time.Second, SpareCapacity: Range{1.15, 1.6}, QueueLength: Range{0.3, 1}, CV: Range{0.3, 0.8},
		Batch: 1, ItemCost: Range{0.05, 0.25}, MinConnections: Range{6, 16}, Endpoints: Range{2, 2.3}, RetryAfter: Range{0.3, 1},
	}
	form := "rate"
	a.text("name", &k.Name)
	a.text("limit", &form)
	a.numberRange("headroom", &k.Headroom)
	a.numberRange("least", &k.MinLimit)
	a.duration("span", &k.Span)
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
	if k.Name == "" || k.Batch < 1 || k.Span <= 0 || k.RetryAfterShare.To > 1 || k.Endpoints.From < 1 || k.SpareCapacity.From < 1 {
		return errors.Join(a.err, errors.New("name, batch, span, tells_wait (0 to 1), endpoints (1 up) or spare (1 up) out of range"))
	}
	s.Kinds = append(s.Kinds, k)
	return a.err
}

func (s *Scenario) addFleet(a *args) error {
	f := Fleet{Weight: 1, Destinations: Range{10, 10}}
	a.text("kind", &f.Kind)
	a.numberRange("destinations", &f.Destinations)
	a.number("weight", &f.Weight)
	a.integer("endpoints", &f.Endpoints)
	if f.Destinations.From < 1 || f.Destinations.To > 100_000 || !(f.Weight > 0) || f.Endpoints < 0 || f.Endpoints > 1000 {
		return errors.Join(a.err, errors.New("destinations: 1 to 100,000; weight: above 0; endpoints of each: 1,000 at most"))
	}
	s.Fleets = append(s.Fleets, f)
	return a.err
}

func (s *Scenario) setTraffic(a *args) error {
	t := &s.Traffic
	a.numberRange("rate", &t.Rate)
	a.numberRange("zipf", &t.Zipf)
	a.numberRange("clumps", &t.Clumps)
	a.numberRange("clump", &t.Clump)
	a.integer("retries", &t.Retries)
	a.numberRange("retry_in", &t.RetryDelay)
	a.numberRange("again_in", &t.ResubmitDelay)
	a.numberRange("body", &t.Body)
	a.duration("patience", &t.Patience)
	if t.Clumps.To > 1 || t.Retries < 0 || t.Retries > 100 || t.Body.To > 64<<10 {
		return errors.Join(a.err, errors.New("clumps: 0 to 1; retries: 0 to 100; body: 65,536 bytes at most"))
	}
	return a.err
}

func (s *Scenario) addClass(a *args) error {
	c := Class{PriorityWeight: 1, Effect: "safe"}
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
	case c.Effect == "keyed" && c.KeyRetention <= 0:
		return errors.New("a keyed class needs its memory")
	case c.Name == "" || !(c.Share > 0) || c.Service.From <= 0 || c.LatencyObjective <= 0 || c.Deadline <= c.LatencyObjective:
		return errors.Join(a.err, errors.New("name, share, service, aim and a deadline after it are needed"))
	}
	s.Traffic.Classes = append(s.Traffic.Classes, c)
	return a.err
}

func (s *Scenario) addTenant(a *args) error {
	var t Tenant
	a.text("name", &t.Name)
	a.number("share", &t.Share)
	if t.Name == "" || !(t.Share > 0) {
		return errors.Join(a.err, errors.New("name and a share above 0 are needed"))
	}
	s.Traffic.Tenants = append(s.Traffic.Tenants, t)
	return a.err
}

func (s *Scenario) addRatePoint(a *args) error {
	var p RatePoint
	a.duration("at", &p.At)
	a.number("factor", &p.Factor)
	if n := len(s.Traffic.RateCurve); p.Factor < 0 || n > 0 && p.At <= s.Traffic.RateCurve[n-1].At {
		return errors.Join(a.err, errors.New("points in the order of their times, factors from 0 up"))
	}
	s.Traffic.RateCurve = append(s.Traffic.RateCurve, p)
	return a.err
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

func (s *Scenario) addBurst(a *args) error {
	var b Burst
	a.numberRange("at", &b.At)
	a.numberRange("seconds", &b.Length)
	a.numberRange("factor", &b.Factor)
	if b.Length.From <= 0 || b.Factor.From < 1 {
		return errors.Join(a.err, errors.New("seconds above 0 and a factor from 1 up are needed"))
	}
	s.Bursts = append(s.Bursts, b)
	return a.err
}

func (s *Scenario) addHotKeys(a *args) error {
	h := HotKeys{Keys: 1}
	a.numberRange("at", &h.At)
	a.numberRange("seconds", &h.Length)
	a.numberRange("share", &h.Share)
	a.integer("destinations", &h.Keys)
	if h.Length.From <= 0 || h.Share.From <= 0 || h.Share.To >= 1 || h.Keys < 1 {
		return errors.Join(a.err, errors.New("seconds above 0, a share between 0 and 1, and destinations from 1 up are needed"))
	}
	s.HotKeys = append(s.HotKeys, h)
	return a.err
}

func (s *Scenario) addAction(a *args) error {
	d := Action{Sender: -1, InFlight: 1, OpenMessages: 1}
	a.numberRange("at", &d.At)
	a.numberRange("seconds", &d.Length)
	a.integer("number", &d.Sender)
	a.number("share", &d.Share)
	a.numberRange("spread", &d.Spread)
	a.text("what", &d.What)
	a.number("slots", &d.InFlight)
	a.number("hold", &d.OpenMessages)
	if _, known := senderActions[d.What]; !known {
		return errors.Join(a.err, fmt.Errorf("what: %q is none of %s", d.What, strings.Join(slices.Sorted(maps.Keys(senderActions)), ", ")))
	}
	switch {
	case (d.Sender < 0) == (d.Share == 0) || d.Share < 0 || d.Share > 1:
		return errors.Join(a.err, errors.New("either a number, or a share above 0 up to 1, is needed"))
	case d.What == "stop" && d.Length.From <= 0:
		return errors.Join(a.err, errors.New("a stop needs its seconds"))
	case d.Length.To > 0 && d.What != "stop" && d.What != "drain":
		return errors.Join(a.err, fmt.Errorf("seconds: a %s takes none", d.What))
	case !(d.InFlight > 0 && d.InFlight <= 100 && d.OpenMessages > 0 && d.OpenMessages <= 100):
		return errors.Join(a.err, errors.New("slots and hold: multiples above 0, 100 at most"))
	case d.What != "retune" && (d.InFlight != 1 || d.OpenMessages != 1):
		return errors.Join(a.err, fmt.Errorf("slots and hold: a %s takes none", d.What))
	}
	s.Actions = append(s.Actions, d)
	return a.err
}

func (s *Scenario) setAgents(a *args) error {
	x := Agents{Fleet: 1, Lease: 10 * time.Second}
	a.integer("number", &x.Number)
	a.integer("fleet", &x.Fleet)
	a.integer("building", &x.Building)
	a.integer("serving", &x.Serving)
	a.duration("lease", &x.Lease)
	switch {
	case s.Agents.Number > 0:
		return errors.New("called twice")
	case x.Number < 1 || x.Number > 9 || x.Fleet < 1 || x.Building < 0 || x.Serving < 0 || x.Lease < time.Second:
		return errors.Join(a.err, errors.New("number: 1 to 9; fleet: 1 at the least; building and serving: 0 or more; lease: a second at least"))
	}
	s.Agents = x
	return a.err
}

func (s *Scenario) addAgentAction(a *args) error {
	var d AgentAction
	a.numberRange("at", &d.At)
	a.numberRange("seconds", &d.Length)
	a.integer("number", &d.Agent)
	a.text("what", &d.What)
	switch {
	case d.What != "kill" && d.What != "wipe" && d.What != "stop":
		return errors.Join(a.err, fmt.Errorf("what: %q is none of kill, stop, wipe", d.What))
	case d.Length.From <= 0:
		return errors.Join(a.err, errors.New("seconds above 0 are needed: it is back after them"))
	}
	s.AgentActions = append(s.AgentActions, d)
	return a.err
}

func (s *Scenario) addOrder(a *args) error {
	o := Order{Hold: Range{1, 1}}
	a.numberRange("at", &o.At)
	a.integer("agent", &o.Agent)
	a.text("what", &o.What)
	a.names("of", &o.Of)
	a.numberRange("hold", &o.Hold)
	a.boolean("bad", &o.Bad)
	a.boolean("go_back", &o.GoBack)
	if !slices.Contains([]string{"drain", "release", "halt", "resume", "back"}, o.What) {
		return errors.Join(a.err, fmt.Errorf("what: %q is none of drain, release, halt, resume, back", o.What))
	}
	s.Orders = append(s.Orders, o)
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

// names reads one name, or a list of them.
func (a *args) names(name string, to *[]string) {
	v, ok := a.take(name)
	if !ok {
		return
	}
	if one, is := starlark.AsString(v); is {
		*to = []string{one}
		return
	}
	list, is := v.(*starlark.List)
	if !is {
		a.fail(name, "a name or a list of them", v)
		return
	}
	for i := range list.Len() {
		one, is := starlark.AsString(list.Index(i))
		if !is {
			a.fail(name, "a list of names", v)
			return
		}
		*to = append(*to, one)
	}
}

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
