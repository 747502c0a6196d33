package harness

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"cleathold/internal/scenario"
)

// TestConfigure checks that a configuration file contains exactly the keys of a sender's configuration, and that
// Reconfigure changes only the settings.
func TestConfigure(t *testing.T) {
	s, err := scenario.Load("../../examples/scenarios/building-refuses.star", nil)
	if err != nil {
		t.Fatal(err)
	}
	p := s.Plan(1)
	const head = `{
 "admin": "h:9001",
 "discovery": "d:1",
 "known": {
  "full": true,
  "servers": [],
  "version": 0
 },
 "limits": {
  "cores": 1,
  "disk_mb": 3,
  "memory_mb": 192.5,
  "sockets": 1024
 },
 "listen": "l:1",
 "name": "n1",
 "settings": {`
	const peers = ` "name": "n1",
 "peer_listen": "h:7946",
 "peers": [
  "a:1",
  "b:1"
 ],
 "peers_all": "all:1",
 "settings": {`
	withPeers := ProcessSpec{PeerListen: "h:7946", PeersAll: "all:1", Peers: []string{"a:1", "b:1"}}
	for name, c := range map[string]struct {
		spec ProcessSpec
		want string
	}{
		"alone":      {ProcessSpec{Admin: "h:9001", Discovery: "d:1", Listen: "l:1", State: "/s", MemoryMB: 192.5}, head},
		"with peers": {withPeers, peers},
	} {
		path := filepath.Join(t.TempDir(), "config.json")
		if err := Configure(path, p, 1, c.spec); err != nil {
			t.Fatal(err)
		}
		before, _ := os.ReadFile(path)
		if !strings.Contains(string(before), c.want) {
			t.Errorf("%s: %s", name, before)
		}
		if err := Reconfigure(path, scenario.PlannedAction{Sender: 1}, p); err != nil {
			t.Fatal(err)
		}
		after, _ := os.ReadFile(path)
		tail := "\"state\": \"" + c.spec.State + "\"\n}"
		if !strings.Contains(string(after), c.want) || !strings.HasSuffix(string(after), tail) {
			t.Errorf("%s, reconfigured: %s", name, after)
		}
	}
}
