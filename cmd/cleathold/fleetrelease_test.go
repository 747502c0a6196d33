package main

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"cleathold/internal/cluster"
	"cleathold/internal/rollout"
)

// writeConfigs writes a configuration for each sender, its present one changed, and returns the folder.
func writeConfigs(t *testing.T, fleet *cluster.Cluster, old, replacement string) string {
	t.Helper()
	dir := t.TempDir()
	for i, name := range fleet.Names {
		text, err := os.ReadFile(fleet.Config(i))
		must(t, err)
		config := strings.Replace(string(text), old, replacement, 1)
		must(t, os.WriteFile(filepath.Join(dir, name+".json"), []byte(config), 0o600))
	}
	return dir
}

// TestConfigurationRelease releases configurations: they are taken over by SIGHUP without another process; one that a
// sender rejects halts the release and leaves the old one in force; a release of the old ones puts them back.
func TestConfigurationRelease(t *testing.T) {
	t.Parallel()
	fleet := newCluster(t, fourSenders(2))
	pid := fleet.Pid(1)
	release := func(name, config string, extra ...string) []string {
		return slices.Concat([]string{"release", "--name", name, "--config", config, "--watch"}, shortGateFlags, extra)
	}
	invalid := writeConfigs(t, fleet, `"send-cap": 12`, `"send-cap": 0`)
	rejected := fleetCommand(t, fleet, exitPlanStopped, release("c0", invalid, "--go-back")...)
	if !strings.Contains(rejected, "not in force") {
		t.Error(rejected)
	}
	valid := writeConfigs(t, fleet, `"send-cap": 12`, `"send-cap": 11`)
	id := planNumber(t, fleetCommand(t, fleet, 0, release("c1", valid)...))
	if text, _ := os.ReadFile(fleet.Config(1)); !strings.Contains(string(text), `"send-cap": 11`) || fleet.Pid(1) != pid {
		t.Error("the new configuration is not in place, or another process is")
	}
	requireRejected(t, fleet, "is done", "back", fmt.Sprint(id), "--reason", "r")
	restored := writeConfigs(t, fleet, `"send-cap": 11`, `"send-cap": 12`)
	fleetCommand(t, fleet, 0, release("c2", restored)...)
	checkRules(t, fleet)
}

// TestReleaseDuringFaults releases a version while all partners of a building are down for some seconds, while somebody
// else sends SIGHUP to every sender again and again, and while calls of a drained sender hang: none of it is the new
// version's fault, and nothing is lost.
func TestReleaseDuringFaults(t *testing.T) {
	const hangingCalls = `trouble(what = "SILENT", zone = "bldg-a", at = 1, seconds = 4)`
	for name, c := range map[string]struct {
		script  string
		sendHUP bool
		restart bool
	}{
		"a building's partners are down": {script: `trouble(what = "DOWN", zone = "bldg-b", at = 1, seconds = 5)`},
		"SIGHUP by somebody else":        {sendHUP: true},
		"calls hang":                     {script: hangingCalls},
		"calls hang, by restart":         {script: hangingCalls, restart: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			setup := fourSenders(1)
			setup.Script, setup.Restart = c.script+"\n", c.restart
			fleet := newCluster(t, setup)
			program, ran := writeVersion(t, "v2", "")
			id := planNumber(t, fleetCommand(t, fleet, 0, gatedRelease("v2", program)...))
			stopSignals := func() {}
			if c.sendHUP {
				stopSignals = repeatHUP(fleet)
			}
			p, err := fleet.AwaitPlan(60*time.Second, id, rollout.Done, rollout.Halted)
			stopSignals()
			must(t, err)
			if p.Phase != rollout.Done || ran() != 4 {
				t.Errorf("%s: %s; %d senders ran it", p.Phase, p.Why, ran())
			}
			checkRules(t, fleet)
		})
	}
}

// repeatHUP sends SIGHUP to one sender after the other, ten times a second, until stop is called.
func repeatHUP(fleet *cluster.Cluster) (stop func()) {
	stopped := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-stopped:
				return
			case <-time.After(100 * time.Millisecond):
				if pid := fleet.Pid(i % 4); pid > 0 { // one that starts does not catch the signal yet
					syscall.Kill(pid, syscall.SIGHUP)
				}
			}
		}
	})
	return func() {
		close(stopped)
		wg.Wait()
	}
}

// TestFaultyVersions releases versions with faults: each is halted at its first sender, with what the gate saw. How
// many senders ever ran one is counted by the versions themselves.
func TestFaultyVersions(t *testing.T) {
	tune := func(key, value string) string {
		return fmt.Sprintf("sed 's/\"%s\": *[0-9]*/\"%s\": %s/' $LB_CONFIG > $LB_CONFIG.bad; "+
			"export LB_CONFIG=$LB_CONFIG.bad", key, key, value)
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
			setup := fourSenders(2)
			setup.Rate = 160
			fleet := newCluster(t, setup)
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

// TestIncompatibleReleaseRejected releases versions whose write-ahead log can't be read by the one before, or that
// can't read that one's: they are rejected before the first stage.
func TestIncompatibleReleaseRejected(t *testing.T) {
	t.Parallel()
	fleet := newCluster(t, cluster.Setup{Senders: 2, Agents: 3, Terms: shortLeaseTerms(rollout.Budget{Fleet: 1})})
	for versionOutput, want := range map[string]string{
		`{"version":"v2","journal_reads":[1,2,3],"journal_writes":3}`: "no way back: " +
			"v1 can't read the journal that v2 writes (form 3)",
		`{"version":"v2","journal_reads":[3],"journal_writes":2}`: "v2 can't read the journal that v1 writes (form 2)",
		`hello`: "no version that agents can manage",
	} {
		path := filepath.Join(t.TempDir(), "v2")
		must(t, os.WriteFile(path, []byte("#!/bin/sh\necho '"+versionOutput+"'\n"), 0o700))
		requireRejected(t, fleet, want, gatedRelease("v2", path)...)
	}
}
