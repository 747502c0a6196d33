package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"cleathold/internal/cluster"
	"cleathold/internal/rollout"
)

// A release of configurations: taken over by SIGHUP without another process; one that a sender turns down halts it and
// leaves the old one in force; going back puts all back.
func TestConfigurationRelease(t *testing.T) {
	t.Parallel()
	fleet := newCluster(t, cluster.Setup{Senders: 4, Agents: 3, Rate: 80, Terms: quickTerms(rollout.Budget{Fleet: 2})})
	folder := func(change func(text string) string) string {
		dir := t.TempDir()
		for i, name := range fleet.Names {
			text, err := os.ReadFile(fleet.Config(i))
			must(t, err)
			must(t, os.WriteFile(filepath.Join(dir, name+".json"), []byte(change(string(text))), 0o600))
		}
		return dir
	}
	old, err := os.ReadFile(fleet.Config(1))
	must(t, err)
	pid := fleet.Pid(1)
	args := func(name, config string, more ...string) []string {
		return append([]string{"release", "--name", name, "--config", config, "--reason", "r", "--least", "25", "--soak", "1s", "--wait", "15s", "--watch"}, more...)
	}
	invalid := folder(func(text string) string { return strings.Replace(text, `"send-cap": 12`, `"send-cap": 0`, 1) })
	if out := fleetCommand(t, fleet, exitPlanStopped, args("c0", invalid, "--go-back")...); !strings.Contains(out, "not in force") {
		t.Error(out)
	}
	valid := folder(func(text string) string { return strings.Replace(text, `"send-cap": 12`, `"send-cap": 11`, 1) })
	out := fleetCommand(t, fleet, 0, args("c1", valid)...)
	id := planNumber(t, out)
	if text, _ := os.ReadFile(fleet.Config(1)); !strings.Contains(string(text), `"send-cap": 11`) || fleet.Pid(1) != pid {
		t.Error("the new configuration is not in place, or another process is")
	}
	if out := fleetCommand(t, fleet, exitRejected, "back", fmt.Sprint(id), "--reason", "r"); !strings.Contains(out, "is done") {
		t.Error(out)
	}
	back := folder(func(string) string { return string(old) })
	for i, name := range fleet.Names { // each has its own
		text, err := os.ReadFile(fleet.Config(i))
		must(t, err)
		must(t, os.WriteFile(filepath.Join(back, name+".json"), []byte(strings.Replace(string(text), `"send-cap": 11`, `"send-cap": 12`, 1)), 0o600))
	}
	fleetCommand(t, fleet, 0, args("c2", back)...)
	checkRules(t, fleet)
}

// A release while all partners of a building are down for some seconds, while somebody sends SIGHUP to every sender again and
// again, and while calls of a drained sender hang: none of it is the new version's fault, and nothing is lost.
func TestReleaseDuringFaults(t *testing.T) {
	for name, c := range map[string]struct {
		script  string
		hup     bool
		restart bool
	}{
		"a building's partners are down": {script: `trouble(what = "DOWN", zone = "bldg-b", at = 1, seconds = 5)`},
		"SIGHUP by somebody else":        {hup: true},
		"calls hang":                     {script: `trouble(what = "SILENT", zone = "bldg-a", at = 1, seconds = 4)`},
		"calls hang, by restart":         {script: `trouble(what = "SILENT", zone = "bldg-a", at = 1, seconds = 4)`, restart: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			fleet := newCluster(t, cluster.Setup{Senders: 4, Agents: 3, Rate: 80, Terms: quickTerms(rollout.Budget{Fleet: 1}), Script: c.script + "\n", Restart: c.restart})
			program, ran := writeVersion(t, "v2", "")
			id := planNumber(t, fleetCommand(t, fleet, 0, gatedRelease("v2", program)...))
			over := make(chan struct{})
			var wg sync.WaitGroup
			if c.hup {
				wg.Go(func() {
					for i := 0; ; i++ {
						select {
						case <-over:
							return
						case <-time.After(100 * time.Millisecond):
							if pid := fleet.Pid(i % 4); pid > 0 { // one that starts has not caught the signal yet
								syscall.Kill(pid, syscall.SIGHUP)
							}
						}
					}
				})
			}
			p, err := fleet.AwaitPlan(60*time.Second, id, rollout.Done, rollout.Halted)
			close(over)
			wg.Wait()
			must(t, err)
			if p.Phase != rollout.Done || ran() != 4 {
				t.Errorf("%s: %s; %d senders ran it", p.Phase, p.Why, ran())
			}
			checkRules(t, fleet)
		})
	}
}

// Versions that are no good, each halted at its first sender, with what the gate saw. How many senders ever ran one is
// counted by the versions themselves.
func TestBadVersions(t *testing.T) {
	tune := func(key, value string) string {
		return fmt.Sprintf("sed 's/\"%s\": *[0-9]*/\"%s\": %s/' $LB_CONFIG > $LB_CONFIG.bad; export LB_CONFIG=$LB_CONFIG.bad", key, key, value)
	}
	for name, c := range map[string]struct {
		serve string
		ran   int
		want  string
	}{
		"ends at start":       {"echo no such library; exit 3", 1, "exit status 3"},
		"never gets ready":    {"exec sleep 100", 1, "not in time"},
		"refuses many":        {tune("open-cap", "1"), 1, "messages refused"},
		"is slow":             {tune("max-calls", "1"), 1, "time to the first call"},
		"leaks":               {"export CLEATHOLD_FAULT=leaks", 1, "memory"},
		"answers nothing":     {"export CLEATHOLD_FAULT=mute", 1, "not seen any more"},
		"serves as it should": {"", 4, ""},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			fleet := newCluster(t, cluster.Setup{Senders: 4, Agents: 3, Rate: 160, Terms: quickTerms(rollout.Budget{Fleet: 2})})
			program, ran := writeVersion(t, "v2", c.serve)
			code := exitPlanStopped
			if c.want == "" {
				code = 0
			}
			out := fleetCommand(t, fleet, code, gatedRelease("v2", program, "--watch")...)
			if !strings.Contains(out, c.want) || ran() != c.ran {
				t.Errorf("%d senders ran it, want %d; %s", ran(), c.ran, out)
			}
			if c.want == "" {
				checkRules(t, fleet)
			}
		})
	}
}

// A version whose journal can't be read by the one before it, or that can't read that one's, is refused before the first stage.
func TestReleaseWithoutRollbackRefused(t *testing.T) {
	t.Parallel()
	fleet := newCluster(t, cluster.Setup{Senders: 2, Agents: 3, Terms: quickTerms(rollout.Budget{Fleet: 1})})
	for about, want := range map[string]string{
		`{"version":"v2","journal_reads":[1,2,3],"journal_writes":3}`: "no way back: v1 can't read the journal that v2 writes (form 3)",
		`{"version":"v2","journal_reads":[3],"journal_writes":2}`:     "v2 can't read the journal that v1 writes (form 2)",
		`hello`: "no version that agents can manage",
	} {
		path := filepath.Join(t.TempDir(), "v2")
		must(t, os.WriteFile(path, []byte("#!/bin/sh\necho '"+about+"'\n"), 0o700))
		if out := fleetCommand(t, fleet, exitRejected, gatedRelease("v2", path)...); !strings.Contains(out, want) {
			t.Errorf("%s: %s", about, out)
		}
	}
}
