package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/tidwall/gjson"

	"cleathold/internal/cluster"
	"cleathold/internal/rollout"
)

// quickTerms are terms under which tests need not wait long.
func quickTerms(budget rollout.Budget) rollout.Terms {
	t := rollout.DefaultTerms
	t.Budget, t.Timing.Lease = budget, 4*time.Second
	return t
}

// newCluster is a fleet of processes of this test's own program.
func newCluster(t *testing.T, s cluster.Setup) *cluster.Cluster {
	t.Helper()
	s.Program, s.Folder = os.Args[0], t.TempDir()
	s.Env = append(s.Env, "CLEATHOLD_CHILD=1")
	fleet, err := cluster.New(t.Context(), s)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if t.Failed() {
			fleet.Logs(os.Stderr)
		}
		fleet.Close()
	})
	if err := fleet.Begin(); err != nil {
		t.Fatal(err)
	}
	return fleet
}

// fleetCommand runs a command of the fleet's as staff do, and wants it to end with a code.
func fleetCommand(t *testing.T, fleet *cluster.Cluster, code int, args ...string) string {
	t.Helper()
	out, got := fleet.RunCommand(nil, args...)
	if got != code {
		t.Fatalf("fleet %s: exit code %d, want %d: %s", strings.Join(args, " "), got, code, out)
	}
	return out
}

func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// A drain by staff: one sender after the other goes out and comes back, what is asked in error is refused, and the log
// says who did what.
func TestFleetDrain(t *testing.T) {
	t.Parallel()
	fleet := newCluster(t, cluster.Setup{Senders: 4, Agents: 3, Rate: 20, Terms: quickTerms(rollout.Budget{Fleet: 1})})
	for args, want := range map[string]string{
		"drain n9 --reason r":                                `no sender "n9"`,
		"drain n0 --at-once 2 --reason r":                    "the budget has 1 to 1",
		"release --name v2 --program /none --reason r":       "/none can't be run",
		"release --name v1 --program /none --reason r":       "all of them run v1 already",
		"halt 99 --reason r":                                 "no plan 99",
		"release --name v2 --config /none --reason r --plan": "no configuration for n",
	} {
		if out := fleetCommand(t, fleet, exitRejected, strings.Fields(args)...); !strings.Contains(out, want) {
			t.Errorf("%s: %s", args, out)
		}
	}
	if out := fleetCommand(t, fleet, 0, "drain", "n0", "n1", "--reason", "r", "--plan"); !strings.Contains(out, "nothing is changed") {
		t.Error(out)
	}
	fleetCommand(t, fleet, 0, "drain", "n0", "n2", "--reason", "new disks", "--by", "ann", "--for", "1s", "--watch")
	out := fleetCommand(t, fleet, 0, "events")
	for _, want := range []string{"ann", "new disks", "n0 is drained", "n2 is drained", "n2 serves again"} {
		if !strings.Contains(out, want) {
			t.Errorf("%q is missing from the events:\n%s", want, out)
		}
	}
	r := fleet.Finish()
	if len(r.OverBudget) > 0 || len(r.Violations) > 0 || r.Orders != 2 || r.MaxOut != 1 {
		t.Errorf("over %v, breaks %v, %d orders, %d at once", r.OverBudget, r.Violations, r.Orders, r.MaxOut)
	}
}

// leakedMemory is what a version that leaks holds on to.
var leakedMemory []byte

// injectFault is what some versions of tests do besides their work.
func injectFault(fault string) {
	switch fault {
	case "leaks":
		leakedMemory = make([]byte, 80<<20)
		for i := range leakedMemory {
			leakedMemory[i] = 1
		}
	case "mute":
		go func() {
			for !supervised(os.Getenv("LB_CONFIG"), os.Getpid()) { // its agent has found it ready
				time.Sleep(time.Millisecond)
			}
			syscall.Kill(os.Getpid(), syscall.SIGSTOP)
		}()
	}
}

// supervised tells whether an agent's record has a process as its sender's, rather than as one that is to take over.
func supervised(config string, pid int) bool {
	name := filepath.Dir(config)
	list, _ := filepath.Glob(filepath.Join(filepath.Dir(name), "a*", "state", filepath.Base(name)+".json"))
	for _, path := range list {
		text, _ := os.ReadFile(path)
		if gjson.GetBytes(text, "pid").Int() == int64(pid) {
			return true
		}
	}
	return false
}

// writeVersion writes a program: this one, with something else before it serves. Each start leaves a line in a file.
func writeVersion(t *testing.T, name, serve string) (path string, ran func() int) {
	t.Helper()
	dir := t.TempDir()
	path = filepath.Join(dir, name)
	marks := filepath.Join(dir, "ran")
	text := fmt.Sprintf("#!/bin/sh\nif [ \"$1\" = serve ]; then\necho $LB_ADMIN >> %s\n%s\nfi\nexec %s \"$@\"\n", marks, serve, os.Args[0])
	must(t, os.WriteFile(path, []byte(text), 0o700))
	return path, func() int {
		text, _ := os.ReadFile(marks)
		seen := map[string]bool{}
		for line := range strings.Lines(string(text)) {
			host, _, _ := strings.Cut(line, ":")
			seen[host] = true
		}
		return len(seen)
	}
}

// checkRules wants that no order took one out too many, and that no rule for messages was broken.
func checkRules(t *testing.T, fleet *cluster.Cluster) cluster.Report {
	t.Helper()
	r := fleet.Finish()
	for _, b := range r.OverBudget {
		t.Errorf("over the budget at %v: %s", b.At, b.Text)
	}
	for _, b := range r.Violations {
		t.Errorf("rule broken at %v by %d: %s: %s", b.At, b.Sender, b.Rule, b.Text)
	}
	return r
}

// gatedRelease are the flags of a release whose gates tests need not wait long for.
func gatedRelease(name, program string, extra ...string) []string {
	return append([]string{"release", "--name", name, "--program", program, "--reason", "r", "--least", "25", "--soak", "1s", "--wait", "15s"}, extra...)
}

// planNumber reads the number of the plan that a command has started.
func planNumber(t *testing.T, out string) (id uint64) {
	t.Helper()
	if _, text, ok := strings.Cut(out, "\nplan "); ok {
		fmt.Sscan(text, &id)
	}
	if id == 0 {
		t.Fatalf("no plan in %q", out)
	}
	return id
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
