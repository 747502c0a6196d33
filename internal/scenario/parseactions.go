package scenario

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

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

// senderActions are what can be done to a sender.
var senderActions = map[string]string{
	"kill":     "SIGKILL; it is started again",
	"wipe":     "SIGKILL, and its folder is lost",
	"term":     "SIGTERM; it is started again",
	"signals":  "SIGHUP, SIGTERM and SIGINT one behind the other; it is started again",
	"hup":      "SIGHUP with nothing new",
	"stop":     "SIGSTOP, and SIGCONT after a while",
	"drain":    "clients are sent away by its second address",
	"activate": "they are taken back",
	"retune":   "other settings, and SIGHUP",
}
