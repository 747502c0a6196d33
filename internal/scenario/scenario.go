// Package scenario reads scenarios: scripts in the project's Starlark that describe, in ranges, which partners there
// are, what traffic comes and what faults there are. From a scenario and a seed it draws a Plan; the same seed gives
// the same plan. The names in scripts keep the words of the platform's pages. It does no I/O but to read the script,
// and plays nothing.
package scenario

import (
	"time"

	"cleathold/internal/partner"
)

// Range is a number that is drawn evenly between two ends.
type Range struct{ From, To float64 }

// Scenario is what a script describes.
type Scenario struct {
	Path             string
	Script           []byte
	Figures          map[string]float64 // given to the script, in place of the defaults of its params
	Name             string
	Length           time.Duration
	Senders          int
	Zones            []string
	Kinds            []Kind
	Fleets           []Fleet
	Traffic          Traffic
	Faults           []Fault
	Bursts           []Burst
	HotKeys          []HotKeys
	Actions          []Action
	Agents           Agents
	AgentActions     []AgentAction
	Orders           []Order
	Links            []Link
	Partitions       []Partition
	Churns           []Churn
	DiscoveryOutages []DiscoveryOutage
	InFlight         Range // a sender's calls in flight at once, as a multiple of those that its part of the load needs
	OpenMessages     Range // messages that a sender may have open, in seconds of its load

	GossipLoss float64 // part of the gossip between senders that is lost
}

// Kind describes a kind of destinations. Ranges are drawn for each destination.
type Kind struct {
	Name            string
	Form            partner.LimitForm
	LimitHeadroom   Range         // of the limit, as a multiple of the calls at full load
	MinLimit        Range         // calls a second
	Window          time.Duration // of a partner.Window
	CountRejected   bool          // rejected calls use up the limit
	RetryAfterShare Range         // part of the rejections
	RetryAfter      Range         // seconds
	SpareCapacity   Range         // capacity, as a multiple of the limit
	QueueLength     Range         // in seconds of the capacity
	CV              Range
	Batch           int
	ItemCost        Range
	SeparateRoutes  bool
	Connections     Range // as a multiple of the calls served at once; 0: any number
	MinConnections  Range
	Endpoints       Range // on average; destinations with more traffic have more
}

// Fleet is a number of destinations of a kind.
type Fleet struct {
	Kind         string
	Destinations Range
	Weight       float64 // of its traffic among the fleets'
	Endpoints    int     // of each destination; 0: drawn, as the kind has it
}

// Class describes a class of messages.
type Class struct {
	Name             string
	Share            float64
	Service          Range // seconds at a partner of average speed
	LatencyObjective time.Duration
	Deadline         time.Duration
	Effect           string // safe, keyed, unsafe
	KeyRetention     time.Duration
	LateWeight       float64 // part of the weight that is left at the deadline
	PriorityWeight   float64
}

// Tenant is a client program with its share of the messages.
type Tenant struct {
	Name  string
	Share float64
}

// Traffic describes the messages.
type Traffic struct {
	Rate          Range // messages a second, over all senders
	Zipf          Range // how unevenly destinations get messages: the exponent
	ClumpShare    Range // part of the messages that come close after one another
	ClumpSeconds  Range // messages of a clump, in seconds of the limit
	Classes       []Class
	Tenants       []Tenant
	Retries       int           // submissions of a client after a rejection
	RetryDelay    Range         // seconds
	ResubmitDelay Range         // seconds until a client resubmits what was not answered
	RateCurve     []RatePoint   // the rate over time, as a multiple; empty: even
	Body          Range         // bytes
	Patience      time.Duration // how long a client waits for a response
}

// RatePoint is a point of the rate's curve. Between points the rate changes evenly.
type RatePoint struct {
	At     time.Duration
	Factor float64
}

// Fault is a fault of some partners for a time.
type Fault struct {
	At, Length   Range // seconds
	Mode         partner.Mode
	Share        Range // of the calls, where the mode has a share
	Factor       Range
	TrafficShare Range   // of the traffic that it affects, at most
	Zone         string  // only endpoints there; empty: any
	Endpoints    float64 // this share of each destination's endpoints, drawn; 0: all of them
	Kind         string
	Dest         int  // only this destination; below 0: any
	EndKnown     bool // rejections tell its end
}

// Burst is more traffic for a time.
type Burst struct {
	At, Length, Factor Range
}

// HotKeys sends a share of all messages to a few large destinations for a time.
type HotKeys struct {
	At, Length, Share Range
	Keys              int // destinations
}

// Action is a planned fault of senders, or something that operators do to them.
type Action struct {
	At           Range
	Length       Range   // of a stop and of a drain; 0: a drain without an end
	Sender       int     // its number; below 0: a share of them
	Share        float64 // of the senders, drawn
	Spread       Range   // seconds over which the senders are affected, one after the other
	Kind         string  // see senderActions
	InFlight     float64 // of a retune: calls in flight at once, as a multiple of the scenario's...
	OpenMessages float64 // ...and open messages
}

// Agents are the agents of the senders. Each runs the senders whose numbers, divided by the number of agents, leave
// its own as the remainder.
type Agents struct {
	Number                   int // 0: none
	Fleet, Building, Serving int // of senders out of service
	Lease                    time.Duration
}

// AgentAction is a planned fault of an agent.
type AgentAction struct {
	At, Length Range
	Agent      int
	Kind       string // kill, wipe (its folder is lost, too) or stop
}

// Order is an order of the staff to the agents.
type Order struct {
	At                Range
	Agent             int      // that gets it; the next one where it does not run
	Kind              string   // drain or release; for the latest plan: halt, resume or back
	Targets           []string // senders and zones; empty: all
	Hold              Range    // seconds for which each is drained
	FailsAtStart      bool     // the program of the release ends at its start
	RollBackOnFailure bool     // a release that fails is rolled back
}

// Link is a fault of the links between parties: senders (n0 and so on, a zone, senders), agents (a0 and so on, agents),
// discovery, clients, and endpoints (partners, partners/ZONE, destination/NUMBER, endpoint/ID).
type Link struct {
	At, Length Range
	From, To   []string // To empty: all parties that are not in Of
	Share      float64  // of the senders, drawn, where Of is empty
	OneWay     bool     // only from Of to To
	LinkState  LinkState
}

// Partition puts the senders on several sides, with a fault of the links between them.
type Partition struct {
	At, Length Range
	Sides      int
	LinkState  LinkState
}

// LinkState is the state of the link from one party to another. The zero value is a healthy one.
type LinkState struct {
	Cut       bool          // connections break and none is opened; datagrams are lost
	Silent    bool          // connections stay open and nothing passes; datagrams are lost
	Delay     time.Duration // of everything that passes
	Jitter    time.Duration // up to this much more, drawn
	Loss      float64       // part of the datagrams
	Duplicate float64       // part of the datagrams that arrive twice
	Reorder   float64       // part of the datagrams that arrive later by ten times the jitter
}

// Passes reports whether anything passes.
func (l LinkState) Passes() bool { return !l.Cut && !l.Silent }

// Churn replaces an endpoint: the old one drains and is removed, and a new one is added.
type Churn struct {
	At           Range
	Every        time.Duration // between replacements; 0: only one
	Drain        time.Duration
	ReuseAddress bool // the new one has the address of the old one
}

// DiscoveryOutage is a time, in seconds, in which discovery answers nobody.
type DiscoveryOutage struct {
	At, Length Range
}
