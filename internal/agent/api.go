package agent

import (
	"time"

	"cleathold/internal/quorum"
	"cleathold/internal/rollout"
)

const (
	maxConnections = 128
	serverTimeout  = 15 * time.Second // a call that asks all agents to look at a program takes a while
	maxBodySize    = 8 << 20
	versionTimeout = 5 * time.Second // a program must tell its version within this
)

// View is how the fleet stands, as one agent knows it.
type View struct {
	Agent        string                         `json:"agent"`
	At           time.Time                      `json:"at"`
	Quorum       *quorum.Status                 `json:"quorum,omitempty"` // nil: it takes no part
	Why          string                         `json:"why,omitempty"`    // then
	State        *rollout.State                 `json:"state"`
	Observations map[string]rollout.Observation `json:"sights"` // whole at the leader; elsewhere of its own senders alone
	Listed       []rollout.Endpoint             `json:"listed"`
	Traffic      Traffic                        `json:"spent"` // by this agent
}

// Result answers a command.
type Result struct {
	Index uint64        `json:"index,omitempty"`
	Plan  *rollout.Plan `json:"plan,omitempty"` // of a dry run, or as it began
	Text  string        `json:"error,omitempty"`
	Kind  string        `json:"kind,omitempty"` // of the error
}

// Kinds of errors, for exit codes.
const (
	KindRejected   = "refused"     // nothing was changed, and won't be until something else has
	KindNoMajority = "no-majority" // nothing was changed
	KindUnknown    = "unknown"     // it may have been
)

// Call is a command as the tool sends it.
type Call struct {
	Command rollout.Command `json:"command"`
	DryRun  bool            `json:"dry_run,omitempty"`
}

// Paths of an agent.
const (
	viewPath          = "/v1/fleet"
	commandPath       = "/v1/command"
	compatibilityPath = "/v1/probe"
	observationsPath  = "/v1/sights"
	joinPath          = "/v1/join"
)
