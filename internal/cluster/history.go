package cluster

import (
	"cmp"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"time"

	"cleathold/internal/netfault"
	"cleathold/internal/rollout"
	"cleathold/internal/scenario"
)

// An ActionKind is the kind of an Action.
type ActionKind string

// The kinds of actions. Their values are stored in history files. For an action on an agent or a sender in a scenario's
// plan, FromPlan forms the value from the scenario's name of the action followed by " agent" or " sender".
const (
	DrainOrder    ActionKind = "drain"
	ReleaseOrder  ActionKind = "release"
	HaltOrder     ActionKind = "halt"
	RollBackOrder ActionKind = "back"
	ResumeOrder   ActionKind = "resume"

	KillAgent ActionKind = "kill agent"
	WipeAgent ActionKind = "wipe agent"
	StopAgent ActionKind = "stop agent"

	KillSender        ActionKind = "kill sender"
	TermSender        ActionKind = "term sender"
	HupSender         ActionKind = "hup sender"
	WipeSender        ActionKind = "wipe sender"
	ReconfigureSender ActionKind = "retune sender"
	StopSender        ActionKind = "stop sender"

	PartitionAgent ActionKind = "part agent"      // links between an agent and all other agents
	AgentLink      ActionKind = "one way"         // link from one agent to another
	SenderToAgent  ActionKind = "agent's way"     // a sender's links to and from its agent
	ClientsLink    ActionKind = "clients' way"    // a sender's links to and from clients
	DiscoveryLink  ActionKind = "discovery's way" // a sender's links to and from discovery
)

// Action is a fault or an operator's order in a history.
type Action struct {
	At                time.Duration  `json:"at"` // since the start
	Kind              ActionKind     `json:"what"`
	Agent             int            `json:"agent,omitempty"`
	Other             int            `json:"other,omitempty"` // the other agent of an AgentLink
	Sender            int            `json:"sender,omitempty"`
	Senders           []string       `json:"of,omitempty"`  // senders of a drain or release
	Duration          time.Duration  `json:"for,omitempty"` // duration of a fault, or how long a drain holds a sender
	State             netfault.State `json:"state,omitzero"`
	Works             bool           `json:"good,omitempty"` // of a release: the program works
	RollBackOnFailure bool           `json:"back,omitempty"` // of a release: it is rolled back when it fails

	planned scenario.PlannedAction // the planned action from which FromPlan created this one
}

// History contains the actions of a campaign for one seed, and its results. A saved history can be played again.
type History struct {
	Seed    uint64         `json:"seed"`
	Senders int            `json:"senders"`
	Agents  int            `json:"agents"`
	Length  time.Duration  `json:"length"`
	Budget  rollout.Budget `json:"Budget"`
	Lease   time.Duration  `json:"lease,omitempty"` // 0 = 3 s
	Actions []Action       `json:"deeds"`
	Faults  []string       `json:"faults,omitempty"` // violations of rules and budgets
	Orders  int            `json:"orders"`           // see Report.Orders
	MaxOut  int            `json:"most"`             // see Report.MaxOut
	Plans   []string       `json:"plans,omitempty"`
	Served  float64        `json:"served"`
}

// Draw generates a random history with operators' orders and simultaneous faults over the given length. The same
// arguments must give the same history in every version, so the order of the random draws must not change.
func Draw(seed uint64, senders, agents int, length time.Duration) *History {
	g := &generator{
		rng:     rand.New(rand.NewPCG(seed, 77)),
		history: &History{Seed: seed, Senders: senders, Agents: agents, Length: length},
	}
	g.history.Budget.Fleet = 1 + g.rng.IntN(3)
	if g.rng.IntN(2) == 0 {
		g.history.Budget.Building = max(1, g.history.Budget.Fleet-1)
	}
	g.generateOrders()
	g.generateFaults()
	sortActions(g.history.Actions)
	return g.history
}

func sortActions(actions []Action) {
	slices.SortStableFunc(actions, func(a, b Action) int { return cmp.Compare(a.At, b.At) })
}

// A generator generates the random actions of a history.
type generator struct {
	rng     *rand.Rand
	history *History
}

func (g *generator) randomBetween(from, to time.Duration) time.Duration {
	return from + time.Duration(g.rng.Int64N(int64(to-from)))
}

func (g *generator) add(a Action) {
	a.At = min(a.At, g.history.Length)
	g.history.Actions = append(g.history.Actions, a)
}

// generateOrders generates drains and releases, and orders that halt, roll back or resume them.
func (g *generator) generateOrders() {
	h, rng := g.history, g.rng
	for at := g.randomBetween(0, time.Second); at < h.Length; at += g.randomBetween(h.Length/15, h.Length/6) {
		a := Action{
			At: at, Kind: DrainOrder, Agent: rng.IntN(h.Agents),
			Duration: g.randomBetween(100*time.Millisecond, 900*time.Millisecond),
		}
		for _, i := range rng.Perm(h.Senders)[:1+rng.IntN(max(1, h.Senders/3))] {
			a.Senders = append(a.Senders, fmt.Sprint("n", i))
		}
		if rng.IntN(3) == 0 {
			a.Kind, a.Works, a.RollBackOnFailure = ReleaseOrder, rng.IntN(3) > 0, rng.IntN(2) == 0
		}
		g.add(a)
		if rng.IntN(4) == 0 {
			g.add(Action{
				At:    at + g.randomBetween(0, 2*time.Second),
				Kind:  []ActionKind{HaltOrder, RollBackOrder, ResumeOrder}[rng.IntN(3)],
				Agent: rng.IntN(h.Agents),
			})
		}
	}
}

// generateFaults generates faults of processes and links.
func (g *generator) generateFaults() {
	const minGap, maxGap = 300 * time.Millisecond, 1500 * time.Millisecond
	h, rng := g.history, g.rng
	cut, silent := netfault.State{Cut: true}, netfault.State{Silent: true}
	slow := netfault.State{Delay: 300 * time.Millisecond, Jitter: 400 * time.Millisecond}
	lossy := slow
	lossy.Loss = 0.3
	for at := g.randomBetween(500*time.Millisecond, 2*time.Second); at < h.Length; at += g.randomBetween(minGap, maxGap) {
		a := Action{
			At: at, Agent: rng.IntN(h.Agents), Other: rng.IntN(h.Agents), Sender: rng.IntN(h.Senders),
			Duration: g.randomBetween(300*time.Millisecond, 5*time.Second),
		}
		switch n := rng.IntN(13); {
		case n < 2:
			a.Kind = KillAgent
		case n < 4:
			a.Kind = StopAgent
		case n < 5:
			a.Kind = KillSender
		case n < 6:
			a.Kind = StopSender
		case n < 8:
			a.Kind, a.State = PartitionAgent, []netfault.State{cut, silent}[rng.IntN(2)]
		case n < 10:
			a.Kind, a.State = AgentLink, []netfault.State{silent, lossy}[rng.IntN(2)]
		default:
			a.Kind = []ActionKind{SenderToAgent, ClientsLink, DiscoveryLink}[n-10]
			a.State = []netfault.State{cut, silent, slow}[rng.IntN(3)]
		}
		g.add(a)
	}
}

// FromPlan converts a scenario's plan to a history with its agents, its orders and the faults of processes. Faults of
// links are not included, since the links follow the plan directly.
func FromPlan(p *scenario.Plan) *History {
	agents := p.Scenario.Agents
	h := &History{
		Seed: p.Seed, Senders: p.Scenario.Senders, Agents: agents.Number, Length: p.Scenario.Length, Lease: agents.Lease,
		Budget: rollout.Budget{Fleet: agents.Fleet, Building: agents.Building, Serving: agents.Serving},
	}
	for _, a := range p.AgentActions {
		h.Actions = append(h.Actions, Action{
			At: a.At, Kind: ActionKind(a.Kind + " agent"), Agent: a.Agent, Duration: a.Until - a.At,
		})
	}
	for _, o := range p.Orders {
		h.Actions = append(h.Actions, Action{
			At: o.At, Kind: ActionKind(o.Kind), Agent: o.Agent, Senders: o.Senders, Duration: o.Hold, Works: !o.FailsAtStart,
			RollBackOnFailure: o.RollBackOnFailure,
		})
	}
	for _, a := range p.Actions {
		h.Actions = append(h.Actions, Action{
			At: a.At, Kind: ActionKind(a.Kind + " sender"), Sender: a.Sender, Duration: max(0, a.Until-a.At), planned: a,
		})
	}
	sortActions(h.Actions)
	return h
}

// Save writes a history to a file that LoadHistory can read.
func (h *History) Save(path string) error {
	text, err := json.MarshalIndent(h, "", " ")
	if err == nil {
		err = os.WriteFile(path, text, 0o600)
	}
	return err
}

// LoadHistory reads a history from a file written by Save.
func LoadHistory(path string) (*History, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	h := &History{}
	if err := json.Unmarshal(text, h); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if h.Senders < 1 || h.Agents < 1 || h.Length <= 0 {
		return nil, fmt.Errorf("%s: not a valid history", path)
	}
	return h, nil
}
