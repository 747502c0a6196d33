package agent

import (
	"log/slog"

	"cleathold/internal/rollout"
)

// Sender is the configuration of one sender that the agent runs.
type Sender struct {
	Name     string
	Building string
	Config   string    // path of its configuration file
	Admin    [2]string // admin addresses (host:port): one for the serving process, the other for its successor
	Reach    [2]string // addresses (host:port) at which this agent can reach the Admin addresses
	Restart  bool      // a new program is started after the old process has ended, without a hand-over
}

// Config is the configuration of an agent.
type Config struct {
	Name         string
	Listen       string            // address (host:port) for the other agents and the command line
	Folder       string            // holds the quorum's log, and the record and the log file of each sender
	Peers        map[string]string // addresses of all agents by name, this one included
	Senders      []Sender
	FirstVersion rollout.Version // version that senders run before the first release
	Terms        rollout.Terms   // proposed by the leader while the fleet has no terms
	Log          *slog.Logger
}
