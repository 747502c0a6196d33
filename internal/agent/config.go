package agent

import (
	"log/slog"

	"cleathold/internal/rollout"
)

// Sender is one that the agent runs.
type Sender struct {
	Name     string
	Building string
	Config   string    // its configuration file
	Admin    [2]string // second addresses, for its process and for the one that takes over
	Reach    [2]string // where this agent reaches them
	Restart  bool      // a new version takes its place by a restart, not by a hand-over
}

// Config of an agent.
type Config struct {
	Name    string
	Listen  string // its address for the other agents and the tool
	Folder  string
	Peers   map[string]string // addresses of all agents by name, this one's too
	Senders []Sender
	First   rollout.Version // that senders run before the first release
	Terms   rollout.Terms   // proposed where none are agreed on yet
	Log     *slog.Logger
}
