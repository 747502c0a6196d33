package harness

import (
	"encoding/json"
	"fmt"
	"os"

	"cleathold/internal/scenario"
	"cleathold/internal/simulation"
)

// A ProcessSpec contains the addresses, state folder and limits of a sender. Without PeerListen the sender does not
// exchange gossip.
type ProcessSpec struct {
	Listen, Discovery string // addresses
	State             string // folder
	MemoryMB          float64
	Sockets           int      // file descriptors; 0 = 1,024
	PeerListen        string   // address for gossip
	PeersAll          string   // address for messages to all peers
	Peers             []string // gossip addresses of all senders, by sender number
	Admin             string   // address of the admin API; empty = none
	Known             []any    // entries of the endpoint list in the configuration
}

// A senderConfig is the content of a sender's configuration file. The keys are written in alphabetical order.
type senderConfig struct {
	Admin       string         `json:"admin,omitempty"`
	Discovery   string         `json:"discovery"`
	Known       knownList      `json:"known"`
	Limits      processLimits  `json:"limits"`
	Listen      string         `json:"listen"`
	Name        string         `json:"name"`
	*peerConfig                // nil: no peers
	Settings    map[string]any `json:"settings"`
	State       string         `json:"state"`
}

// A peerConfig is the part of a sender's configuration that enables gossip.
type peerConfig struct {
	Listen string   `json:"peer_listen"`
	Peers  []string `json:"peers"`
	All    string   `json:"peers_all"`
}

// A knownList is the endpoint list that a sender uses before its first poll.
type knownList struct {
	Full    bool  `json:"full"`
	Servers []any `json:"servers"`
	Version int64 `json:"version"`
}

// processLimits are the limits of a sender's process.
type processLimits struct {
	Cores    int     `json:"cores"`
	DiskMB   int     `json:"disk_mb"`
	MemoryMB float64 `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// Configure writes the configuration file of a sender of the plan.
func Configure(path string, p *scenario.Plan, sender int, spec ProcessSpec) error {
	if spec.Sockets <= 0 {
		spec.Sockets = defaultSockets
	}
	config := senderConfig{
		Admin: spec.Admin, Discovery: spec.Discovery, Listen: spec.Listen, State: spec.State,
		Name:     fmt.Sprint("n", sender),
		Known:    knownList{Full: true, Servers: append([]any{}, spec.Known...)},
		Limits:   processLimits{Cores: 1, DiskMB: 3, MemoryMB: spec.MemoryMB, Sockets: spec.Sockets},
		Settings: simulation.Profile(p, sender),
	}
	if spec.PeerListen != "" {
		config.peerConfig = &peerConfig{Listen: spec.PeerListen, Peers: spec.Peers, All: spec.PeersAll}
	}
	return writeConfig(path, config)
}

// Reconfigure replaces the settings in an existing configuration file by those of a planned action. All other keys stay
// unchanged, including keys that Configure did not write.
func Reconfigure(path string, a scenario.PlannedAction, p *scenario.Plan) error {
	return editConfig(path, func(config map[string]any) { config["settings"] = simulation.UpdatedSettings(p, a) })
}

// editConfig replaces an existing configuration file by one with changes.
func editConfig(path string, edit func(config map[string]any)) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("harness: %w", err)
	}
	config := map[string]any{}
	if err := json.Unmarshal(text, &config); err != nil {
		return fmt.Errorf("harness: %s: %w", path, err)
	}
	edit(config)
	return writeConfig(path, config)
}

// writeConfig replaces a file atomically, since a sender may read it at any time.
func writeConfig(path string, config any) error {
	text, err := json.MarshalIndent(config, "", " ")
	if err == nil {
		err = os.WriteFile(path+".new", text, 0o600)
	}
	if err == nil {
		err = os.Rename(path+".new", path)
	}
	if err != nil {
		return fmt.Errorf("harness: %w", err)
	}
	return nil
}
