// Package scenario reads scenarios: Starlark scripts that describe the partners, the traffic and the faults of a run,
// mostly as ranges. From a scenario and a seed it draws a Plan; the same seed results in the same plan. The names in
// scripts are the terms of the platform's documentation. The package does no I/O except reading the script, and does
// not run scenarios.
package scenario

import (
	"time"

	"cleathold/internal/partner"
)

// Range is the range from which a number is drawn, uniformly distributed.
type Range struct{ From, To float64 }

// Scenario is the content of a script.
type Scenario struct {
	Path             string
	Script           []byte
	Figures          map[string]float64 // values that replace the defaults of the script's params
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
	InFlight         Range // limit of a sender's calls in flight, as a multiple of those that its part of the load needs
	OpenMessages     Range // limit of a sender's open messages, in seconds of its part of the load

	GossipLoss float64 // share of the gossip between senders that is lost

	Settings SenderSettings
}

// SenderSettings are those settings of the senders that differ between deployments besides the kinds and the classes.
type SenderSettings struct {
	PushedLists bool          // lists are pushed to an agent on the machine of each sender
	DrainGrace  time.Duration // time for which calls to a draining endpoint are allowed
	Hedging     bool          // a message may have two attempts in flight
	Gossip      bool          // senders exchange observations
	MaxAttempts int           // for each message
}

// defaultSenderSettings are the settings of a script that doesn't call settings.
var defaultSenderSettings = SenderSettings{DrainGrace: 2 * time.Second, Hedging: true, Gossip: true, MaxAttempts: 12}

// Kind describes a kind of destinations. A value is drawn from each range for each destination.
type Kind struct {
	Name            string
	Form            partner.LimitForm
	LimitHeadroom   Range         // the limit, as a multiple of the calls at full load
	MinLimit        Range         // calls per second
	Window          time.Duration // length of the window of a partner.Window limit
	CountRejected   bool          // rejected calls count against the limit
	RetryAfterShare Range         // share of the rejections with a Retry-After
	RetryAfter      Range         // seconds
	SpareCapacity   Range         // capacity, as a multiple of the limit
	QueueLength     Range         // in seconds of the capacity
	CV              Range
	Batch           int
	ItemCost        Range
	SeparateRoutes  bool
	Connections     Range // limit, as a multiple of the calls served at the same time; 0: no limit
	MinConnections  Range
	Endpoints       Range // average per destination; destinations with more traffic have more
}

// Fleet is a number of destinations of a kind.
type Fleet struct {
	Kind         string
	Destinations Range
	Weight       float64 // relative share of the traffic among the fleets
	Endpoints    int     // of each destination; 0: drawn by the kind's range
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
	KeyZoneScoped    bool    // keyed: repeats are dropped only within one zone
	LateWeight       float64 // fraction of the weight that remains at the deadline
	PriorityWeight   float64
}

// Tenant is a client program with its share of the messages.
type Tenant struct {
	Name  string
	Share float64
}

// Traffic describes the messages.
type Traffic struct {
	Rate          Range // messages per second, over all senders
	Zipf          Range // exponent of the Zipf distribution of messages over destinations
	ClumpShare    Range // share of the messages that arrive in clumps
	ClumpSeconds  Range // size of a clump, in seconds of the destination's limit
	Classes       []Class
	Tenants       []Tenant
	Retries       int           // maximum number of a client's submissions after a rejection
	RetryDelay    Range         // seconds
	ResubmitDelay Range         // seconds until a client resubmits an unanswered message
	RateCurve     []RatePoint   // the rate over time, as a multiple of Rate; empty: constant
	Body          Range         // bytes
	Patience      time.Duration // how long a client waits for a response
}

// RatePoint is a point of the rate curve. Between points the rate is interpolated linearly.
type RatePoint struct {
	At     time.Duration
	Factor float64
}

// Fault is a temporary fault of some partners.
type Fault struct {
	At, Length   Range // seconds
	Mode         partner.Mode
	Share        Range // of the calls, where the mode has a share
	Factor       Range
	TrafficShare Range   // maximum share of the traffic that the fault affects
	Zone         string  // only endpoints in this zone; empty: any
	Endpoints    float64 // this share of each destination's endpoints, drawn; 0: all of them
	Kind         string
	Dest         int  // only this destination; below 0: any
	EndKnown     bool // the Retry-After of rejections is the time to the fault's end
}

// Burst is a temporary increase of the traffic by a factor.
type Burst struct {
	At, Length, Factor Range
}

// HotKeys is a time in which a share of all messages goes to a few large destinations.
type HotKeys struct {
	At, Length, Share Range
	Destinations      int // destinations
}

// Action is a fault of senders or an operator's action on them.
type Action struct {
	At           Range
	Length       Range   // of a stop or a drain; 0: a drain without an end
	Sender       int     // number of the sender; below 0: Share of the senders
	Share        float64 // share of the senders that is drawn
	Spread       Range   // seconds over which the senders are affected, one after the other
	Kind         string  // see senderActions
	InFlight     float64 // of a retune: limit of calls in flight, as a multiple of the scenario's
	OpenMessages float64 // of a retune: limit of open messages, as a multiple of the scenario's
}

// Agents describes the agents that supervise the senders. Each agent supervises the senders whose number modulo the
// number of agents equals the agent's number.
type Agents struct {
	Number                   int // 0: none
	Fleet, Building, Serving int // budget of senders out of service
	Lease                    time.Duration
}

// AgentAction is a fault of an agent.
type AgentAction struct {
	At, Length Range
	Agent      int
	Kind       string // kill, wipe (a kill that also deletes the agent's folder) or stop
}

// Order is an operator's order to the agents.
type Order struct {
	At                Range
	Agent             int      // agent that receives the order; if it does not run, the next one does
	Kind              string   // drain or release; for the latest plan: halt, resume or back
	Targets           []string // senders and zones; empty: all
	Hold              Range    // seconds for which each is drained
	FailsAtStart      bool     // the program of the release exits at its start
	RollBackOnFailure bool     // a release that fails is rolled back
}

// Link is a fault of the links between parties: senders (n0 and so on, a zone, senders), agents (a0 and so on, agents),
// discovery, clients, and endpoints (partners, partners/ZONE, destination/NUMBER, endpoint/ID).
type Link struct {
	At, Length Range
	From, To   []string // To empty: all parties that are not in From
	Share      float64  // share of the senders that is drawn as From if From is empty
	OneWay     bool     // only from From to To
	LinkState  LinkState
}

// Partition divides the senders into several sides, with a fault of the links between the sides.
type Partition struct {
	At, Length Range
	Sides      int
	LinkState  LinkState
}

// LinkState is the state of the link from one party to another. The zero value is a healthy link.
type LinkState struct {
	Cut       bool          // connections break and cannot be opened; datagrams are lost
	Silent    bool          // connections stay open but pass no data; datagrams are lost
	Delay     time.Duration // additional delay of all data
	Jitter    time.Duration // maximum of a drawn delay in addition to Delay
	Loss      float64       // share of the datagrams that is lost
	Duplicate float64       // share of the datagrams that arrives twice
	Reorder   float64       // share of the datagrams that arrives later by ten times the jitter
}

// Passes reports whether the link passes data.
func (l LinkState) Passes() bool { return !l.Cut && !l.Silent }

// Churn replaces an endpoint: the old one drains and is removed, and a new one is added.
type Churn struct {
	At           Range
	Every        time.Duration // interval between replacements; 0: only one replacement
	Drain        time.Duration
	ReuseAddress bool // the new endpoint has the address of the old one
	MoveAddress  bool // the address goes to a new endpoint of any destination
}

// DiscoveryOutage is a time, in seconds, in which discovery does not answer.
type DiscoveryOutage struct {
	At, Length Range
}
