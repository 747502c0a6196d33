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

// writeConfigs writes a copy of each sender's configuration in which old is replaced, and returns the folder.
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

// TestConfigurationRelease releases configurations. A valid one must be loaded by SIGHUP without a new process. One
// that a sender rejects must halt the release and leave the previous configuration in force. A release of the original
// configurations must restore them.
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
		t.Error("the new configuration is not in place, or the process was replaced")
	}
	requireRejected(t, fleet, "is done", "back", fmt.Sprint(id), "--reason", "r")
	restored := writeConfigs(t, fleet, `"send-cap": 11`, `"send-cap": 12`)
	fleetCommand(t, fleet, 0, release("c2", restored)...)
	checkRules(t, fleet)
}

// TestReleaseDuringFaults releases a version while all partners of a zone are down for some seconds, while every
// sender gets SIGHUP repeatedly, or while calls of a drained sender hang. The gate must not attribute these faults to
// the new version, and no message may be lost.
func TestReleaseDuringFaults(t *testing.T) {
	const hangingCalls = `trouble(what = "SILENT", zone = "bldg-a", at = 1, seconds = 4)`
	for name, c := range map[string]struct {
		script  string
		sendHUP bool
		restart bool
	}{
		"partners of a zone are down": {script: `trouble(what = "DOWN", zone = "bldg-b", at = 1, seconds = 5)`},
		"SIGHUP by another process":   {sendHUP: true},
		"calls hang":                  {script: hangingCalls},
		"calls hang, by restart":      {script: hangingCalls, restart: true},
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
				t.Errorf("%s: %s; %d senders ran it", p.Phase, p.PhaseReason, ran())
			}
			checkRules(t, fleet)
		})
	}
}

// repeatHUP sends SIGHUP to the senders in turn, ten times per second, until stop is called.
func repeatHUP(fleet *cluster.Cluster) (stop func()) {
	stopped := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-stopped:
				return
			case <-time.After(100 * time.Millisecond):
				if pid := fleet.Pid(i % 4); pid > 0 { // a starting process does not handle the signal yet
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

// TestFaultyVersions releases versions with faults. The release must halt at the first sender, and the output must name
// the observation of the gate. A version without a fault must be released to all senders. The versions themselves count
// how many senders started them.
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
		"ends at start":    {"echo no such library; exit 3", 1, "exit status 3"},
		"never gets ready": {"exec sleep 100", 1, "not in time"},
		"refuses many":     {tune("open-cap", "1"), 1, "messages refused"},
		"is slow":          {tune("max-calls", "1"), 1, "time to the first call"},
		"leaks":            {"export CLEATHOLD_FAULT=leaks", 1, "memory"},
		"answers nothing":  {"export CLEATHOLD_FAULT=mute", 1, "not seen any more"},
		"no fault":         {"", 4, ""},
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

// TestIncompatibleReleaseRejected releases versions that can't read the write-ahead log of the previous version, or
// whose write-ahead log the previous version can't read. They must be rejected before the first stage.
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
