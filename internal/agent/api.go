package agent

import (
	"time"

	"cleathold/internal/quorum"
	"cleathold/internal/rollout"
)

// The paths of an agent's API.
const (
	viewPath          = "/v1/fleet"
	commandPath       = "/v1/command"
	compatibilityPath = "/v1/probe"
	observationsPath  = "/v1/sights"
	joinPath          = "/v1/join"
)

// forwardedHeader marks a request that another agent has forwarded. It is not forwarded again.
const forwardedHeader = "X-Passed-By"

// View is the state of the fleet as one agent knows it.
type View struct {
	Agent  string         `json:"agent"`
	At     time.Time      `json:"at"`
	Quorum *quorum.Status `json:"quorum,omitempty"` // nil: the agent takes no part in the quorum
	Why    string         `json:"why,omitempty"`    // why Quorum is nil
	State  *rollout.State `json:"state"`

	// Observations are the latest by sender: of all senders at the leader, elsewhere of the agent's own alone.
	Observations map[string]rollout.Observation `json:"sights"`
	Listed       []rollout.Endpoint             `json:"listed"` // what discovery lists, as this agent has heard
	Traffic      Traffic                        `json:"spent"`  // by this agent
}

// Call is a command as the command line sends it.
type Call struct {
	Command rollout.Command `json:"command"`
	DryRun  bool            `json:"dry_run,omitempty"` // of a rollout.Start: only draft and check the plan
}

// Result is the response to a Call or a CompatibilityCheck.
type Result struct {
	Index uint64        `json:"index,omitempty"` // of the command's entry in the log
	Plan  *rollout.Plan `json:"plan,omitempty"`  // the draft of a dry run, or the plan as it began
	Text  string        `json:"error,omitempty"` // empty: no error
	Kind  string        `json:"kind,omitempty"`  // of the error: one of the Kind constants
}

// The kinds of errors in a Result, from which the command line takes its exit code.
const (
	KindRejected   = "refused"     // nothing was changed, and a repeat is rejected, too, until something else changes
	KindNoMajority = "no-majority" // nothing was changed
	KindUnknown    = "unknown"     // something may have been changed
)

// CompatibilityCheck asks an agent whether its senders can run a version, and roll back from it.
type CompatibilityCheck struct {
	To      rollout.Version `json:"to"`
	Senders []string        `json:"senders"`
}

// ProgramInfo is what a sender's program tells of itself with `version --json`.
type ProgramInfo struct {
	Version string `json:"version"`
	Reads   []int  `json:"journal_reads"`  // formats of the write-ahead log that it can read
	Writes  int    `json:"journal_writes"` // the format that it writes
}
