package settings

import (
	"errors"
	"fmt"
	"maps"
	"net"
	"slices"
	"time"

	"go.starlark.net/starlark"
)

// Agent is the configuration of an agent. An agent runs the senders of one machine.
type Agent struct {
	Name    string
	Listen  string            // address for other agents and the command line
	Folder  string            // folder of the quorum data and the records of senders
	Agents  map[string]string // addresses of all agents by name
	Version string            // name of the version that senders run before the first release
	Program string            // program file of that version
	Senders []AgentSender
	Budget  AgentBudget
	Timing  AgentTiming
}

// AgentSender is the configuration of a sender that an agent runs.
type AgentSender struct {
	Name, Building string
	Config         string    // path of its configuration file
	Admin          [2]string // admin addresses of the serving process and its successor
	Reach          [2]string // addresses by which the agent connects to them
	Restart        bool      // true: versions change by a restart; false: by a hand-over
}

// AgentBudget limits how many senders and endpoints may be out of service at once; see rollout.Budget.
type AgentBudget struct{ Fleet, Building, Serving, Endpoints, Kind int }

// AgentTiming is the timing of grants; see rollout.Timing.
type AgentTiming struct{ Fresh, Accept, Lease, ClockError time.Duration }

const (
	maxAgents  = 9
	maxSenders = 1000
)

// defaultAgent returns an agent with the default values of optional arguments.
func defaultAgent() *Agent {
	return &Agent{
		Agents: map[string]string{}, Budget: AgentBudget{Fleet: 1},
		Timing: AgentTiming{time.Second, 2 * time.Second, 10 * time.Second, 250 * time.Millisecond},
	}
}

// agentBuiltin implements agent(name, ...), which makes the settings those of an agent.
func (s *Settings) agentBuiltin(
	t *starlark.Thread, b *starlark.Builtin, args starlark.Tuple, kwargs []starlark.Tuple,
) (starlark.Value, error) {
	a := s.draftAgent()
	var agents *starlark.Dict
	if err := starlark.UnpackArgs(b.Name(), nil, kwargs, "name", &a.Name, "listen", &a.Listen, "folder", &a.Folder,
		"agents", &agents,
		"version", &a.Version, "program", &a.Program); err != nil {
		return nil, err
	}
	for _, pair := range agents.Items() {
		name, ok1 := starlark.AsString(pair[0])
		addr, ok2 := starlark.AsString(pair[1])
		if !ok1 || !ok2 {
			return nil, errors.New("agent: agents: names and addresses must be strings")
		}
		a.Agents[name] = addr
	}
	switch {
	case checkTopLevel(t, "agent") != nil:
		return nil, checkTopLevel(t, "agent")
	case len(args) > 0:
		return nil, errors.New("agent: arguments must be passed by name")
	case s.Agent != nil:
		return nil, errors.New("agent: called twice")
	case a.Name == "" || a.Listen == "" || a.Folder == "" || a.Version == "" || a.Program == "":
		return nil, errors.New("agent: name, listen, folder, version and program must not be empty")
	case a.Agents[a.Name] == "":
		return nil, fmt.Errorf("agent: agents: the agent itself, %s, is missing", a.Name)
	case len(a.Agents) > maxAgents:
		return nil, fmt.Errorf("agent: agents: at most %d are allowed", maxAgents)
	}
	for _, name := range slices.Sorted(maps.Keys(a.Agents)) {
		if _, _, err := net.SplitHostPort(a.Agents[name]); err != nil {
			return nil, fmt.Errorf("agent: agents: %s: %w", name, err)
		}
	}
	a.Folder, a.Program = s.resolvePath(a.Folder), s.resolvePath(a.Program)
	s.Agent = a
	return starlark.None, nil
}

// draftAgent returns the agent as configured by the calls so far. It takes effect only if the script calls agent().
func (s *Settings) draftAgent() *Agent {
	if s.Agent != nil {
		return s.Agent
	}
	if s.agentDraft == nil {
		s.agentDraft = defaultAgent()
	}
	return s.agentDraft
}

// senderBuiltin implements sender(name, config, admin, ...), which adds a sender that the agent runs.
func (s *Settings) senderBuiltin(
	t *starlark.Thread, b *starlark.Builtin, args starlark.Tuple, kwargs []starlark.Tuple,
) (starlark.Value, error) {
	var sender AgentSender
	var addresses, reach *starlark.List
	change := "handover"
	if err := starlark.UnpackArgs(b.Name(), nil, kwargs, "name", &sender.Name, "config", &sender.Config,
		"admin", &addresses, "building?", &sender.Building, "change?", &change, "reach?", &reach); err != nil {
		return nil, err
	}
	if checkTopLevel(t, "sender") != nil {
		return nil, checkTopLevel(t, "sender")
	}
	if reach == nil {
		reach = addresses
	}
	if len(args) > 0 || sender.Name == "" || sender.Config == "" || addresses.Len() != 2 || reach.Len() != 2 {
		return nil, errors.New("sender: name, config and two admin addresses are required by name; reach must have two, too")
	}
	if change != "handover" && change != "restart" {
		return nil, fmt.Errorf("sender: change: %q is not handover or restart", change)
	}
	a := s.draftAgent()
	taken := map[string]bool{}
	for _, other := range a.Senders {
		if other.Name == sender.Name {
			return nil, fmt.Errorf("sender: duplicate name %s", sender.Name)
		}
		taken[other.Admin[0]], taken[other.Admin[1]] = true, true
	}
	for i := range sender.Admin {
		addr, ok := starlark.AsString(addresses.Index(i))
		if _, _, err := net.SplitHostPort(addr); !ok || err != nil {
			return nil, fmt.Errorf("sender: admin: %s is not a host:port address", addresses.Index(i))
		}
		if taken[addr] {
			return nil, fmt.Errorf("sender: admin: %s is already in use", addr)
		}
		sender.Admin[i], taken[addr] = addr, true
		if sender.Reach[i], ok = starlark.AsString(reach.Index(i)); ok {
			_, _, err := net.SplitHostPort(sender.Reach[i])
			ok = err == nil
		}
		if !ok {
			return nil, fmt.Errorf("sender: reach: %s is not a host:port address", reach.Index(i))
		}
	}
	if len(a.Senders) >= maxSenders {
		return nil, fmt.Errorf("sender: at most %d are allowed per agent", maxSenders)
	}
	sender.Config, sender.Restart = s.resolvePath(sender.Config), change == "restart"
	a.Senders = append(a.Senders, sender)
	return starlark.None, nil
}

// budgetBuiltin implements budget(fleet, ...), which limits how many senders may be out of service at once.
func (s *Settings) budgetBuiltin(
	t *starlark.Thread, b *starlark.Builtin, args starlark.Tuple, kwargs []starlark.Tuple,
) (starlark.Value, error) {
	budget := &s.draftAgent().Budget
	if err := starlark.UnpackArgs(b.Name(), nil, kwargs, "fleet", &budget.Fleet,
		"building?", &budget.Building, "serving?", &budget.Serving, "endpoints?", &budget.Endpoints,
		"kind?", &budget.Kind); err != nil {
		return nil, err
	}
	switch {
	case checkTopLevel(t, "budget") != nil:
		return nil, checkTopLevel(t, "budget")
	case len(args) > 0:
		return nil, errors.New("budget: arguments must be passed by name")
	case budget.Fleet < 1 || budget.Building < 0 || budget.Serving < 0 || budget.Endpoints < 0 || budget.Kind < 0:
		return nil, errors.New("budget: fleet must be at least 1; building, serving, endpoints and kind must not be negative")
	}
	return starlark.None, nil
}

// timingBuiltin implements timing(fresh, accept, lease, clock_error), which sets the timing of grants.
func (s *Settings) timingBuiltin(
	t *starlark.Thread, b *starlark.Builtin, args starlark.Tuple, kwargs []starlark.Tuple,
) (starlark.Value, error) {
	timing := &s.draftAgent().Timing
	fresh, accept := number(timing.Fresh.Seconds()), number(timing.Accept.Seconds())
	lease, clockError := number(timing.Lease.Seconds()), number(timing.ClockError.Seconds())
	if err := starlark.UnpackArgs(b.Name(), nil, kwargs, "fresh?", &fresh, "accept?", &accept, "lease?", &lease,
		"clock_error?", &clockError); err != nil {
		return nil, err
	}
	if checkTopLevel(t, "timing") != nil {
		return nil, checkTopLevel(t, "timing")
	}
	for _, f := range []struct {
		name    string
		given   number
		setting *time.Duration
		max     time.Duration
	}{
		{"fresh", fresh, &timing.Fresh, time.Minute}, {"accept", accept, &timing.Accept, time.Minute},
		{"lease", lease, &timing.Lease, 10 * time.Minute},
		{"clock_error", clockError, &timing.ClockError, 10 * time.Second},
	} {
		d, err := duration(f.name, f.given)
		if err != nil {
			return nil, fmt.Errorf("timing: %w", err)
		}
		if d > f.max {
			return nil, fmt.Errorf("timing: %s: must be at most %v", f.name, f.max)
		}
		*f.setting = d
	}
	if len(args) > 0 {
		return nil, errors.New("timing: arguments must be passed by name")
	}
	return starlark.None, nil
}
