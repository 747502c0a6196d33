package rollout

import "time"

// Verb is the kind of a command. Its values are stored in the log.
type Verb string

// The verbs, each with the Command fields that it uses. Operators' commands also require By and Reason.
const (
	SetTerms        Verb = "terms"        // Terms
	SetRoster       Verb = "roster"       // By, Roster: replaces the senders of one agent
	Start           Verb = "plan"         // New, ServingSenders
	Halt            Verb = "halt"         // Plan
	Resume          Verb = "resume"       // Plan, Revision
	RollBack        Verb = "back"         // Plan
	Activate        Verb = "activate"     // Plan, Senders
	GrantSenders    Verb = "grant"        // Plan, Requests, ServingSenders
	CloseGrant      Verb = "close"        // Sender, Epoch, Observation
	MarkDrained     Verb = "out"          // Sender, Epoch
	RecordVerdict   Verb = "verdict"      // Plan, Stage, Good, Text, Baseline
	ExcludeEndpoint Verb = "endpoint out" // Endpoint, Listed
	IncludeEndpoint Verb = "endpoint in"  // Endpoint
)

// GrantRequest requests a grant for one sender.
type GrantRequest struct {
	Sender     string    `json:"sender"`
	Process    string    `json:"process"`
	ObservedAt time.Time `json:"saw"`
}

// Command is an entry of the replicated log.
type Command struct {
	Verb     Verb           `json:"verb"`
	ID       string         `json:"id,omitempty"` // lets the proposer recognize its own command
	At       time.Time      `json:"at"`
	By       string         `json:"by"`
	Reason   string         `json:"reason,omitempty"`
	Terms    *Terms         `json:"terms,omitempty"`
	Roster   []Member       `json:"roster,omitempty"`
	New      *Plan          `json:"new,omitempty"`
	Plan     uint64         `json:"plan,omitempty"`
	Revision uint64         `json:"revision,omitempty"`
	Senders  []string       `json:"senders,omitempty"`
	Requests []GrantRequest `json:"asks,omitempty"`
	// senders that the proposer observed to serve, at most Timing.MaxObservationAge before At
	ServingSenders []string     `json:"seen,omitempty"`
	Sender         string       `json:"sender,omitempty"`
	Epoch          uint64       `json:"epoch,omitempty"`
	Observation    *Observation `json:"sight,omitempty"`
	Stage          int          `json:"stage,omitempty"`
	Good           bool         `json:"good,omitempty"`
	Text           string       `json:"text,omitempty"`
	Baseline       *Sums        `json:"others,omitempty"` // sums of the unchanged senders in the completed stage
	Endpoint       string       `json:"endpoint,omitempty"`
	Listed         []Endpoint   `json:"listed,omitempty"` // all endpoints that the proposer knows
}

// Event is an entry of the event history that operators read.
type Event struct {
	Index  uint64    `json:"index"`
	At     time.Time `json:"at"`
	By     string    `json:"by"`
	Reason string    `json:"reason,omitempty"`
	Text   string    `json:"text"`
}
