package agent

import (
	"time"

	"cleathold/internal/quorum"
	"cleathold/internal/rollout"
)

// The paths of an agent's HTTP API.
const (
	viewPath          = "/v1/fleet"
	commandPath       = "/v1/command"
	compatibilityPath = "/v1/probe"
	observationsPath  = "/v1/sights"
	joinPath          = "/v1/join"
)

// forwardedHeader marks a request that another agent has forwarded. Such a request is not forwarded again.
const forwardedHeader = "X-Passed-By"

// FleetView is the state of the fleet as known to one agent.
type FleetView struct {
	Agent          string         `json:"agent"`
	At             time.Time      `json:"at"`
	Quorum         *quorum.Status `json:"quorum,omitempty"` // nil: the agent's quorum node does not run
	NoQuorumReason string         `json:"why,omitempty"`    // why Quorum is nil
	State          *rollout.State `json:"state"`

	// Observations are the latest ones by sender. The leader has those of all senders, other agents only those of
	// their own senders.
	Observations map[string]rollout.Observation `json:"sights"`
	Endpoints    []rollout.Endpoint             `json:"listed"` // endpoints of discovery, as reported to this agent
	Traffic      Traffic                        `json:"spent"`  // this agent's own
}

// CommandRequest is a request from the command line to execute a command.
type CommandRequest struct {
	Command rollout.Command `json:"command"`
	DryRun  bool            `json:"dry_run,omitempty"` // for rollout.Start: only draft and check the plan
}

// CommandResult is the response to a CommandRequest or a CompatibilityCheck.
type CommandResult struct {
	Index uint64        `json:"index,omitempty"` // index of the command's entry in the log
	Plan  *rollout.Plan `json:"plan,omitempty"`  // the draft of a dry run, or the plan that was started
	Text  string        `json:"error,omitempty"` // empty: no error
	Kind  string        `json:"kind,omitempty"`  // kind of the error: one of the Kind constants
}

// The kinds of errors in a CommandResult, from which the command line takes its exit code.
const (
	KindRejected   = "refused"     // nothing was changed; a repeat is rejected, too, unless the state changes first
	KindNoMajority = "no-majority" // nothing was changed
	KindUnknown    = "unknown"     // something may have been changed
)

// CompatibilityCheck requests an agent to check whether its senders can run a version and roll back from it.
type CompatibilityCheck struct {
	To      rollout.Version `json:"to"`
	Senders []string        `json:"senders"`
}

// ProgramInfo is the output of a sender's program for `version --json`.
type ProgramInfo struct {
	Version string `json:"version"`
	Reads   []int  `json:"journal_reads"`  // formats of the write-ahead log that it can read
	Writes  int    `json:"journal_writes"` // format of the write-ahead log that it writes
}
