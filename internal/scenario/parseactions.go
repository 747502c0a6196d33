package scenario

import (
	"errors"
	"slices"
	"strings"
	"time"
)

// senderActions are the actions on a sender, in alphabetical order.
var senderActions = []string{
	"activate", // ends a drain
	"drain",    // drain through the sender's admin address
	"hup",      // SIGHUP with an unchanged configuration
	"kill",     // SIGKILL, then a restart
	"retune",   // changed settings and SIGHUP
	"signals",  // SIGHUP, SIGTERM and SIGINT one after the other, then a restart
	"stop",     // SIGSTOP, and SIGCONT after the given time
	"term",     // SIGTERM, then a restart
	"wipe",     // SIGKILL and deletion of the sender's folder, then a restart
}

// addAction implements the script function sender(...).
func (s *Scenario) addAction(a *args) error {
	x := Action{Sender: -1, InFlight: 1, OpenMessages: 1}
	a.period(&x.At, &x.Length)
	a.integer("number", &x.Sender)
	a.number("share", &x.Share)
	a.numberRange("spread", &x.Spread)
	a.text("what", &x.Kind)
	a.number("slots", &x.InFlight)
	a.number("hold", &x.OpenMessages)
	if !slices.Contains(senderActions, x.Kind) {
		return a.withError("what: %q is none of %s", x.Kind, strings.Join(senderActions, ", "))
	}
	switch {
	case (x.Sender < 0) == (x.Share == 0) || x.Share < 0 || x.Share > 1:
		return a.withError("either a number, or a share above 0 up to 1, is needed")
	case x.Kind == "stop" && x.Length.From <= 0:
		return a.withError("a stop requires seconds")
	case x.Length.To > 0 && x.Kind != "stop" && x.Kind != "drain":
		return a.withError("seconds: a %s takes none", x.Kind)
	case !(x.InFlight > 0 && x.InFlight <= 100 && x.OpenMessages > 0 && x.OpenMessages <= 100):
		return a.withError("slots and hold: multiples above 0, 100 at most")
	case x.Kind != "retune" && (x.InFlight != 1 || x.OpenMessages != 1):
		return a.withError("slots and hold: a %s takes none", x.Kind)
	}
	s.Actions = append(s.Actions, x)
	return a.err
}

// setAgents implements the script function agents(...).
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
		return a.withError("number: 1 to 9; fleet: 1 at the least; building and serving: 0 or more; lease: a second at least")
	}
	s.Agents = x
	return a.err
}

// addAgentAction implements the script function agent(...).
func (s *Scenario) addAgentAction(a *args) error {
	var x AgentAction
	a.period(&x.At, &x.Length)
	a.integer("number", &x.Agent)
	a.text("what", &x.Kind)
	switch {
	case x.Kind != "kill" && x.Kind != "wipe" && x.Kind != "stop":
		return a.withError("what: %q is none of kill, stop, wipe", x.Kind)
	case x.Length.From <= 0:
		return a.withError("seconds above 0 are needed: the time after which the agent is restarted or resumed")
	}
	s.AgentActions = append(s.AgentActions, x)
	return a.err
}

// addOrder implements the script function order(...).
func (s *Scenario) addOrder(a *args) error {
	o := Order{Hold: Range{1, 1}}
	a.numberRange("at", &o.At)
	a.integer("agent", &o.Agent)
	a.text("what", &o.Kind)
	a.names("of", &o.Targets)
	a.numberRange("hold", &o.Hold)
	a.boolean("bad", &o.FailsAtStart)
	a.boolean("go_back", &o.RollBackOnFailure)
	if !slices.Contains([]string{"drain", "release", "halt", "resume", "back"}, o.Kind) {
		return a.withError("what: %q is none of drain, release, halt, resume, back", o.Kind)
	}
	s.Orders = append(s.Orders, o)
	return a.err
}
