package harness

import (
	"encoding/json"
	"fmt"
	"os"

	"cleathold/internal/scenario"
	"cleathold/internal/simulation"
)

// A ProcessSpec is where a sender runs, and what it has there. Without a PeerListen it exchanges no notes.
type ProcessSpec struct {
	Listen, Discovery, State string
	MemoryMB                 float64
	Sockets                  int // descriptors; 0 = 1,024
	PeerListen, PeersAll     string
	Peers                    []string
	Admin                    string // its second address; empty: it has none
}

// Configure writes the configuration of a plan's sender.
func Configure(path string, p *scenario.Plan, num int, at ProcessSpec) error {
	if at.Sockets <= 0 {
		at.Sockets = defaultSockets
	}
	config := map[string]any{
		"name": fmt.Sprint("n", num), "listen": at.Listen, "discovery": at.Discovery, "state": at.State,
		"limits":   map[string]any{"cores": 1, "memory_mb": at.MemoryMB, "sockets": at.Sockets, "disk_mb": 3},
		"known":    map[string]any{"version": 0, "full": true, "servers": []any{}},
		"settings": simulation.Profile(p, num),
	}
	if at.Admin != "" {
		config["admin"] = at.Admin
	}
	if at.PeerListen != "" {
		config["peer_listen"], config["peers_all"], config["peers"] = at.PeerListen, at.PeersAll, at.Peers
	}
	return writeConfig(path, config)
}

func writeConfig(path string, config map[string]any) error {
	text, err := json.MarshalIndent(config, "", " ")
	if err == nil { // whole or not at all: a sender may read it now
		err = os.WriteFile(path+".new", text, 0o600)
	}
	if err == nil {
		err = os.Rename(path+".new", path)
	}
	if err != nil {
		return fmt.Errorf("rig: %w", err)
	}
	return nil
}

// Reconfigure puts other settings into the configuration of a plan's sender. Where it listens and what it may have
// stays.
func Reconfigure(path string, d scenario.PlannedAction, p *scenario.Plan) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("rig: %w", err)
	}
	config := map[string]any{}
	if err := json.Unmarshal(text, &config); err != nil {
		return fmt.Errorf("rig: %s: %w", path, err)
	}
	config["settings"] = simulation.UpdatedSettings(p, d)
	return writeConfig(path, config)
}
