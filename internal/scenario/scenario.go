// Package scenario reads rehearsals: a script in the project's Starlark that says
// which partners there are, what traffic comes and what goes wrong, in ranges. A
// scenario and a seed make a Plan, in which everything is drawn: the same seed, the
// same plan. It does no I/O but to read the script.
package scenario

import (
	"time"

	"cleathold/internal/partner"
)

// Range is a figure that is drawn evenly between two ends.
type Range struct{ From, To float64 }

// Scenario is what a script says.
type Scenario struct {
	Path             string
	Script           []byte
	Figures          map[string]float64 // that the script was given
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
	InFlight         Range // a sender's slots, as a multiple of what its part of the load keeps busy
	OpenMessages     Range // seconds of its load that a sender may hold

	GossipLoss float64 // part of the notes between senders that never arrive
}

// Kind describes a kind of destination. Ranges are drawn for each destination.
type Kind struct {
	Name            string
	Form            partner.LimitForm
	Headroom        Range // the limit, as a multiple of the calls at full load
	MinLimit        Range // and so many calls a second at least
	Span            time.Duration
	CountRejected   bool  // refused calls use up the limit
	RetryAfterShare Range // part of the refusals
	RetryAfter      Range // seconds
	SpareCapacity   Range // capacity over the limit
	QueueLength     Range // of the queue, in seconds of the capacity
	CV              Range
	Batch           int
	ItemCost        Range
	SeparateRoutes  bool
	Connections     Range // connections, as a multiple of the calls served at once; 0 = any number
	MinConnections  Range
	Endpoints       Range // in the mean; those with more traffic have more
}

// Fleet is a number of destinations of a kind.
type Fleet struct {
	Kind         string
	Destinations Range
	Weight       float64 // of its traffic among the fleets
	Endpoints    int     // of each destination; 0 = drawn, as the kind has it
}

// Class describes a class of messages.
type Class struct {
	Name             string
	Share            float64
	Service          Range // seconds at a partner of usual pace
	LatencyObjective time.Duration
	Deadline         time.Duration
	Effect           string // safe, keyed, unsafe
	KeyRetention     time.Duration
	LateWeight       float64 // part of the worth left at the deadline
	PriorityWeight   float64
}

// Tenant is a program and its share.
type Tenant struct {
	Name  string
	Share float64
}

// Traffic is what comes.
type Traffic struct {
	Rate          Range // messages a second, over all
	Zipf          Range // how unevenly over the destinations
	Clumps        Range // part of the messages that come in clumps
	Clump         Range // seconds of the limit that a clump holds
	Classes       []Class
	Tenants       []Tenant
	Retries       int           // times that a client hands in again after a refusal
	RetryDelay    Range         // seconds
	ResubmitDelay Range         // seconds after which what a dead sender held comes again
	RateCurve     []RatePoint   // the rate over time, as a multiple; empty = even
	Body          Range         // bytes
	Patience      time.Duration // that a client waits for its answer
}

// RatePoint is a point of a ramp: from there the rate goes evenly to the next.
type RatePoint struct {
	At     time.Duration
	Factor float64
}

// Fault ails some of the fleet for a time.
type Fault struct {
	At, Length   Range // seconds
	Mode         partner.Mode
	Share        Range // of the calls, where the mode has one
	Factor       Range
	TrafficShare Range   // of the traffic that is struck, at most
	Zone         string  // only endpoints there; empty = any
	Endpoints    float64 // so much of each destination's endpoints, drawn; 0 = all of them
	Kind         string
	Dest         int  // only this destination; below 0 = any
	EndKnown     bool // a told wait tells its end
}

// Burst is more traffic for a time.
type Burst struct {
	At, Length, Factor Range
}

// HotKeys draws a share of all messages to a few large destinations.
type HotKeys struct {
	At, Length, Share Range
	Keys              int
}

// Action is something done to senders.
type Action struct {
	At           Range
	Length       Range   // of a stop, and of a drain; 0 = until it is told otherwise
	Sender       int     // its number; below 0 = a share of them
	Share        float64 // of the senders, drawn
	Spread       Range   // seconds over which they are struck, one after the other
	What         string  // see senderActions
	InFlight     float64 // of a retune: calls out at once, as a multiple of what the scenario told...
	OpenMessages float64 // ...and messages held
}

// Agents are those that agree on who may be out. Each runs the senders whose numbers leave its own as a rest.
type Agents struct {
	Number                   int // 0 = none
	Fleet, Building, Serving int // the budget
	Lease                    time.Duration
}

// AgentAction is something done to an agent.
type AgentAction struct {
	At, Length Range
	Agent      int
	What       string // kill, wipe (its folder is lost, too), stop
}

// Order is what staff want of agents.
type Order struct {
	At     Range
	Agent  int      // asked first
	What   string   // drain, release; of the latest plan: halt, resume, back
	Of     []string // senders, zones; empty = all
	Hold   Range    // seconds that each is drained
	Bad    bool     // a release whose program ends at its start
	GoBack bool     // a release that fails goes back
}

// Link is a fault of the ways between parties: senders (n0 and so on, a zone, senders), discovery, clients, and
// endpoints (partners, partners/ZONE, destination/NUMBER, endpoint/ID).
type Link struct {
	At, Length Range
	Of, To     []string // To empty: all that are not in Of
	Share      float64  // of the senders, drawn, where Of names none
	OneWay     bool     // from Of to To alone
	LinkState  LinkState
}

// Partition cuts the senders into parts, among which nothing passes as it should.
type Partition struct {
	At, Length Range
	Sides      int
	LinkState  LinkState
}

// LinkState is what ails one way between two parties. The zero value is a sound one.
type LinkState struct {
	Cut       bool          // connections break and none comes up; datagrams are lost
	Silent    bool          // connections stay open and nothing passes; datagrams are lost
	Delay     time.Duration // each piece, each datagram
	Jitter    time.Duration // up to so much more
	Loss      float64       // part of the datagrams
	Duplicate float64       // part of the datagrams that come twice
	Reorder   float64       // part of the datagrams that come later by ten times the jitter
}

// Passes tells whether anything passes.
func (w LinkState) Passes() bool { return !w.Cut && !w.Silent }

// Churn replaces an endpoint: the old one drains, then goes, and a new one comes.
type Churn struct {
	At    Range
	Every time.Duration // again and again; 0 = once
	Drain time.Duration
	Reuse bool // the new one has the address of the old one
}

// DiscoveryOutage is a time in which discovery answers nobody.
type DiscoveryOutage struct {
	At, Length Range
}
