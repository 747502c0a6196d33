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
	action := Action{Sender: -1, InFlight: 1, OpenMessages: 1}
	a.period(&action.At, &action.Length)
	a.integer("number", &action.Sender)
	a.number("share", &action.Share)
	a.numberRange("spread", &action.Spread)
	a.text("what", &action.Kind)
	a.number("slots", &action.InFlight)
	a.number("hold", &action.OpenMessages)
	if !slices.Contains(senderActions, action.Kind) {
		return a.withError("what: %q is none of %s", action.Kind, strings.Join(senderActions, ", "))
	}
	switch {
	case (action.Sender < 0) == (action.Share == 0) || action.Share < 0 || action.Share > 1:
		return a.withError("either a number, or a share above 0 up to 1, is needed")
	case action.Kind == "stop" && action.Length.From <= 0:
		return a.withError("a stop requires seconds")
	case action.Length.To > 0 && action.Kind != "stop" && action.Kind != "drain":
		return a.withError("seconds: a %s takes none", action.Kind)
	case !(action.InFlight > 0 && action.InFlight <= 100 && action.OpenMessages > 0 && action.OpenMessages <= 100):
		return a.withError("slots and hold: multiples above 0, 100 at most")
	case action.Kind != "retune" && (action.InFlight != 1 || action.OpenMessages != 1):
		return a.withError("slots and hold: a %s takes none", action.Kind)
	}
	s.Actions = append(s.Actions, action)
	return a.err
}

// setAgents implements the script function agents(...).
func (s *Scenario) setAgents(a *args) error {
	agents := Agents{Fleet: 1, Lease: 10 * time.Second}
	a.integer("number", &agents.Number)
	a.integer("fleet", &agents.Fleet)
	a.integer("building", &agents.Building)
	a.integer("serving", &agents.Serving)
	a.duration("lease", &agents.Lease)
	switch {
	case s.Agents.Number > 0:
		return errors.New("called twice")
	case agents.Number < 1 || agents.Number > 9 || agents.Fleet < 1 || agents.Building < 0 || agents.Serving < 0 ||
		agents.Lease < time.Second:
		return a.withError("number: 1 to 9; fleet: 1 at the least; building and serving: 0 or more; lease: a second at least")
	}
	s.Agents = agents
	return a.err
}

// addAgentAction implements the script function agent(...).
func (s *Scenario) addAgentAction(a *args) error {
	var action AgentAction
	a.period(&action.At, &action.Length)
	a.integer("number", &action.Agent)
	a.text("what", &action.Kind)
	switch {
	case action.Kind != "kill" && action.Kind != "wipe" && action.Kind != "stop":
		return a.withError("what: %q is none of kill, stop, wipe", action.Kind)
	case action.Length.From <= 0:
		return a.withError("seconds above 0 are needed: the time after which the agent is restarted or resumed")
	}
	s.AgentActions = append(s.AgentActions, action)
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
