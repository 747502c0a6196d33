// Package rollout decides which sender may go out now, which is next, and whether to go on: the roster of a fleet,
// its budgets, plans and their gates. A State is what all agents agree on; it changes by commands alone, in the
// order of a log, and all that apply the same log come to the same state. Next says what the leading agent
// should propose from what it sees. The package does no I/O, takes the time as a parameter and draws nothing.
// Its design is docs/design/agreed-drains.md.
package rollout

import "time"

// Budget is how many senders may be out at once, as package documentation of the design has it.
type Budget struct {
	Fleet    int `json:"fleet"`    // of all; 1 at the least
	Building int `json:"building"` // of one building; 0 = as many as of the fleet
	Serving  int `json:"serving"`  // so many must serve

	Endpoints int `json:"endpoints"` // of one destination's endpoints, how many may be out; 0 = none by order
	Kind      int `json:"kind"`      // of one kind's; 0 = any number
}

// Timing is what the promises rest on.
type Timing struct {
	Fresh  time.Duration `json:"fresh"`  // a sight that is older shows nothing
	Accept time.Duration `json:"accept"` // a grant is taken up within this, or never
	Lease  time.Duration `json:"lease"`  // a sender that hears nothing comes back after this
	Error  time.Duration `json:"error"`  // no clock is further from the true time
}

// Terms are what a fleet is run by.
type Terms struct {
	Budget Budget `json:"budget"`
	Timing Timing `json:"timing"`
}

// DefaultTerms are the terms where settings say nothing else.
var DefaultTerms = Terms{
	Budget: Budget{Fleet: 1},
	Timing: Timing{Fresh: time.Second, Accept: 2 * time.Second, Lease: 10 * time.Second, Error: 250 * time.Millisecond},
}

// Version is what a sender runs.
type Version struct {
	Name    string `json:"name"`
	Program string `json:"program"`          // a file on the sender's machine
	Config  string `json:"config,omitempty"` // a folder there with a NAME.json for each sender; empty = its own file
}

// Member is a sender of the roster.
type Member struct {
	Name     string   `json:"name"`
	Building string   `json:"building,omitempty"`
	Agent    string   `json:"agent"`           // beside it
	Reach    []string `json:"reach,omitempty"` // its second addresses
	Version  Version  `json:"version"`
}

// Observation is what the agent beside a sender saw of it. Sights of a sender are ordered by At.
type Observation struct {
	Sender  string    `json:"sender"`
	At      time.Time `json:"at"` // when it was asked, by the agent's clock
	Serving bool      `json:"serving,omitempty"`
	Process string    `json:"process,omitempty"`
	Version string    `json:"version,omitempty"` // the name of what it runs
	Epoch   uint64    `json:"epoch,omitempty"`   // the highest that it has seen...
	Ended   bool      `json:"ended,omitempty"`   // ...of which nothing stands
	Drained bool      `json:"drained,omitempty"`
	Open    int       `json:"open,omitempty"` // messages that it still owes an end
	Facts   Counters  `json:"facts,omitzero"`
	Phase   string    `json:"phase,omitempty"` // in its own word, or why there is none
	Far     bool      `json:"far,omitempty"`   // the leader asked it itself, as the agent beside it is silent

	// What its agent has to say of the grant of an epoch: it came to nothing.
	FaultEpoch uint64 `json:"fault_epoch,omitempty"`
	Fault      string `json:"fault,omitempty"`
}

// Counters are counts of a process since its start, but for Restarts.
type Counters struct {
	Accepted  int64         `json:"taken,omitempty"`     // messages taken on
	Rejected  int64         `json:"refused,omitempty"`   // turned away at the door
	Delivered int64         `json:"delivered,omitempty"` // ends, by kind
	Deferred  int64         `json:"deferred,omitempty"`
	Failed    int64         `json:"failed,omitempty"`
	Called    int64         `json:"called,omitempty"`     // messages that had a first call
	Late      int64         `json:"late,omitempty"`       // of them, those that waited for it longer than a sender's LateSpan
	FirstCall time.Duration `json:"first_call,omitempty"` // sum of their times from the taking on to it
	MemoryMB  float64       `json:"memory_mb,omitempty"`
	Restarts  int           `json:"restarts,omitempty"` // crashes that its agent saw, since the agent's start
}

// Kind of plan.
type Kind string

// The kinds.
const (
	Drain   Kind = "drain"
	Release Kind = "release"
)

// Phase of a plan.
type Phase string

// The phases.
const (
	Running     Phase = "running"
	Halted      Phase = "halted"
	RollingBack Phase = "going back"
	Done        Phase = "done"
	Ended       Phase = "ended" // after going back
)

// Open tells whether anything of a plan is still to come.
func (p Phase) Open() bool { return p == Running || p == Halted || p == RollingBack }

// Step of one sender within a plan.
type Step string

// The steps.
const (
	Waiting   Step = "waiting"
	Granted   Step = "granted"
	Out       Step = "out"       // drained, and held so
	Returning Step = "returning" // told to come back
	Finished  Step = "finished"
	Failed    Step = "failed"
	Kept      Step = "kept" // never touched, or as it was before
)

// Task is one sender's part of a plan.
type Task struct {
	Step  Step      `json:"step"`
	Epoch uint64    `json:"epoch,omitempty"` // of its latest grant
	Tries int       `json:"tries,omitempty"` // grants that were not taken up
	Since time.Time `json:"since,omitzero"`  // of the step
	From  Version   `json:"from,omitzero"`   // what it ran before the plan
	Why   string    `json:"why,omitempty"`
}

// Gate is what a plan wants to see before it goes on to its next stage.
type Gate struct {
	MinMessages int           `json:"least"` // messages that the changed senders have ended, and those beside them
	Soak        time.Duration `json:"soak"`  // at the least so long
	Wait        time.Duration `json:"wait"`  // halted if it is not known by then
	Slack       float64       `json:"slack"` // a share may be worse by so much, besides chance
}

// DefaultGate is a plan's gate where its author says nothing else.
var DefaultGate = Gate{MinMessages: 30, Soak: 5 * time.Second, Wait: 10 * time.Minute, Slack: 0.02}

// Plan is what staff asked for.
type Plan struct {
	ID                uint64           `json:"id"`
	Kind              Kind             `json:"kind"`
	By                string           `json:"by"`
	Reason            string           `json:"reason"`
	At                time.Time        `json:"at"`
	To                Version          `json:"to,omitzero"`
	AtOnce            int              `json:"at_once,omitempty"` // of its senders out at once; 0 = what the budget allows
	Hold              time.Duration    `json:"hold,omitempty"`    // drains: for so long; 0 = until they are activated
	Gate              Gate             `json:"gate,omitzero"`
	RollBackOnFailure bool             `json:"go_back,omitempty"` // a gate that fails goes back, not only halts
	Stages            [][]string       `json:"stages"`
	Stage             int              `json:"stage"`
	Phase             Phase            `json:"phase"`
	RolledBack        bool             `json:"back,omitempty"` // it has turned, for good
	Why               string           `json:"why,omitempty"`
	Revision          uint64           `json:"revision"` // of its phase
	Tasks             map[string]*Task `json:"tasks"`
	Others            *Sums            `json:"others,omitempty"` // what changed senders were compared with last
}

// Grant is the leave for one sender to go out. It is open until a sight shows that no copy of it can have effect.
type Grant struct {
	Epoch      uint64    `json:"epoch"`
	Plan       uint64    `json:"plan"`
	Sender     string    `json:"sender"`
	Process    string    `json:"process"`
	ObservedAt time.Time `json:"saw"` // of the sight that it rests on
	At         time.Time `json:"at"`
	By         time.Time `json:"by"`
	Until      time.Time `json:"until"`
	Drain      bool      `json:"drain,omitempty"`
	To         Version   `json:"to,omitzero"`
}

// Event is a line of the log that staff read.
type Event struct {
	Index  uint64    `json:"index"`
	At     time.Time `json:"at"`
	By     string    `json:"by"`
	Reason string    `json:"reason,omitempty"`
	Text   string    `json:"text"`
}

// Endpoint is one that discovery lists, as the fleet sees it.
type Endpoint struct {
	ID   string `json:"id"`
	Dest int    `json:"dest"`
	Kind int    `json:"kind"`
	Up   bool   `json:"up"` // else discovery drains it
}

// EndpointOut is one that operators have taken out, or are putting back: senders hear of it within a lease.
type EndpointOut struct {
	Endpoint
	By     string    `json:"by"`
	Reason string    `json:"reason"`
	At     time.Time `json:"at"`
	Back   time.Time `json:"back,omitzero"` // when it was ordered in
}

// Verb of a command.
type Verb string

// The verbs. Those of staff need an author and a reason.
const (
	SetTerms        Verb = "terms"        // Terms
	SetRoster       Verb = "roster"       // Author, Roster: the senders of one agent
	Start           Verb = "plan"         // New, Seen
	Halt            Verb = "halt"         // Plan
	Resume          Verb = "resume"       // Plan, Revision
	RollBack        Verb = "back"         // Plan
	Activate        Verb = "activate"     // Plan, Senders
	GrantThese      Verb = "grant"        // Plan, Asks, Seen
	Close           Verb = "close"        // Sender, Epoch, Sight
	MarkOut         Verb = "out"          // Sender, Epoch
	JudgeGate       Verb = "verdict"      // Plan, Stage, Good, Text
	ExcludeEndpoint Verb = "endpoint out" // Endpoint, Listed
	IncludeEndpoint Verb = "endpoint in"  // Endpoint
)

// GrantRequest is for leave for one sender.
type GrantRequest struct {
	Sender     string    `json:"sender"`
	Process    string    `json:"process"`
	ObservedAt time.Time `json:"saw"`
}

// Command is an entry of the log.
type Command struct {
	Verb        Verb           `json:"verb"`
	ID          string         `json:"id,omitempty"` // the proposer's, by which it knows its own again
	At          time.Time      `json:"at"`
	By          string         `json:"by"`
	Reason      string         `json:"reason,omitempty"`
	Terms       *Terms         `json:"terms,omitempty"`
	Roster      []Member       `json:"roster,omitempty"`
	New         *Plan          `json:"new,omitempty"`
	Plan        uint64         `json:"plan,omitempty"`
	Revision    uint64         `json:"revision,omitempty"`
	Senders     []string       `json:"senders,omitempty"`
	Requests    []GrantRequest `json:"asks,omitempty"`
	Seen        []string       `json:"seen,omitempty"` // senders seen serving by the proposer, none earlier than Fresh before At
	Sender      string         `json:"sender,omitempty"`
	Epoch       uint64         `json:"epoch,omitempty"`
	Observation *Observation   `json:"sight,omitempty"`
	Stage       int            `json:"stage,omitempty"`
	Good        bool           `json:"good,omitempty"`
	Text        string         `json:"text,omitempty"`
	Others      *Sums          `json:"others,omitempty"` // of a stage that is left
	Endpoint    string         `json:"endpoint,omitempty"`
	Listed      []Endpoint     `json:"listed,omitempty"` // all that the proposer knows of
}
