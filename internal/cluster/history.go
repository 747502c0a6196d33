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

// Action is one thing that befalls a fleet, or that staff order, in a campaign.
type Action struct {
	At     time.Duration  `json:"at"`
	Kind   string         `json:"what"` // see do
	Agent  int            `json:"agent,omitempty"`
	Other  int            `json:"other,omitempty"`
	Sender int            `json:"sender,omitempty"`
	Of     []string       `json:"of,omitempty"`
	For    time.Duration  `json:"for,omitempty"`
	State  netfault.State `json:"state,omitzero"`
	Good   bool           `json:"good,omitempty"`
	Back   bool           `json:"back,omitempty"`

	planned scenario.PlannedAction // of a scenario
}

// History is a campaign's script for one seed, and what came of it. As a file it plays again.
type History struct {
	Seed    uint64         `json:"seed"`
	Senders int            `json:"senders"`
	Agents  int            `json:"agents"`
	Length  time.Duration  `json:"length"`
	Budget  rollout.Budget `json:"Budget"`
	Lease   time.Duration  `json:"lease,omitempty"` // 0 = 3 s
	Actions []Action       `json:"deeds"`
	Faults  []string       `json:"faults,omitempty"` // what was broken
	Orders  int            `json:"orders"`           // times that a sender went out by order, as seen from outside
	MaxOut  int            `json:"most"`             // out by order at once
	Plans   []string       `json:"plans,omitempty"`
	Served  float64        `json:"served"`
}

// Draw draws a history: drains and releases, and faults beside them until its length is over.
func Draw(seed uint64, senders, agents int, length time.Duration) *History {
	rng := rand.New(rand.NewPCG(seed, 77))
	h := &History{Seed: seed, Senders: senders, Agents: agents, Length: length, Budget: rollout.Budget{Fleet: 1 + rng.IntN(3)}}
	if rng.IntN(2) == 0 {
		h.Budget.Building = max(1, h.Budget.Fleet-1)
	}
	span := func(from, to time.Duration) time.Duration { return from + time.Duration(rng.Int64N(int64(to-from))) }
	add := func(d Action) {
		d.At = min(d.At, length)
		h.Actions = append(h.Actions, d)
	}
	for at := span(0, time.Second); at < length; at += span(length/15, length/6) {
		d := Action{At: at, Kind: "drain", Agent: rng.IntN(agents), For: span(100*time.Millisecond, 900*time.Millisecond)}
		for _, i := range rng.Perm(senders)[:1+rng.IntN(max(1, senders/3))] {
			d.Of = append(d.Of, fmt.Sprint("n", i))
		}
		if rng.IntN(3) == 0 {
			d.Kind, d.Good, d.Back = "release", rng.IntN(3) > 0, rng.IntN(2) == 0
		}
		add(d)
		if rng.IntN(4) == 0 {
			add(Action{At: at + span(0, 2*time.Second), Kind: []string{"halt", "back", "resume"}[rng.IntN(3)], Agent: rng.IntN(agents)})
		}
	}
	for at := span(500*time.Millisecond, 2*time.Second); at < length; at += span(300*time.Millisecond, 1500*time.Millisecond) {
		d := Action{At: at, Agent: rng.IntN(agents), Other: rng.IntN(agents), Sender: rng.IntN(senders), For: span(300*time.Millisecond, 5*time.Second)}
		switch n := rng.IntN(13); {
		case n < 2:
			d.Kind = "kill agent"
		case n < 4:
			d.Kind = "stop agent"
		case n < 5:
			d.Kind = "kill sender"
		case n < 6:
			d.Kind = "stop sender"
		case n < 8:
			d.Kind = "part agent"
			d.State = []netfault.State{{Cut: true}, {Silent: true}}[rng.IntN(2)]
		case n < 10:
			d.Kind = "one way"
			d.State = []netfault.State{{Silent: true}, {Delay: 300 * time.Millisecond, Jitter: 400 * time.Millisecond, Loss: 0.3}}[rng.IntN(2)]
		default: // a sender's ways to its agent, to clients or to discovery
			d.Kind = []string{"agent's way", "clients' way", "discovery's way"}[n-10]
			d.State = []netfault.State{{Cut: true}, {Silent: true}, {Delay: 300 * time.Millisecond, Jitter: 400 * time.Millisecond}}[rng.IntN(3)]
		}
		add(d)
	}
	slices.SortStableFunc(h.Actions, func(a, b Action) int { return cmp.Compare(a.At, b.At) })
	return h
}

// FromPlan is the history of a scenario's plan: its agents, and what befalls processes. What fails of ways is the plan's own.
func FromPlan(p *scenario.Plan) *History {
	a := p.Scenario.Agents
	h := &History{
		Seed: p.Seed, Senders: p.Scenario.Senders, Agents: a.Number, Length: p.Scenario.Length,
		Budget: rollout.Budget{Fleet: a.Fleet, Building: a.Building, Serving: a.Serving}, Lease: a.Lease,
	}
	for _, d := range p.AgentActions {
		h.Actions = append(h.Actions, Action{At: d.At, Kind: d.What + " agent", Agent: d.Agent, For: d.Until - d.At})
	}
	for _, o := range p.Orders {
		h.Actions = append(h.Actions, Action{At: o.At, Kind: o.What, Agent: o.Agent, Of: o.Of, For: o.Hold, Good: !o.Bad, Back: o.GoBack})
	}
	for _, d := range p.Actions {
		h.Actions = append(h.Actions, Action{At: d.At, Kind: d.What + " sender", Sender: d.Sender, For: max(0, d.Until-d.At), planned: d})
	}
	slices.SortStableFunc(h.Actions, func(a, b Action) int { return cmp.Compare(a.At, b.At) })
	return h
}

// Save writes a history as a file that plays again.
func (h *History) Save(path string) error {
	text, err := json.MarshalIndent(h, "", " ")
	if err == nil {
		err = os.WriteFile(path, text, 0o600)
	}
	return err
}

// LoadHistory reads one.
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
		return nil, fmt.Errorf("%s: no history", path)
	}
	return h, nil
}
