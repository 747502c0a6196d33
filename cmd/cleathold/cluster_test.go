package main

import (
	"fmt"
	"net/http"
	"net/url"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/tidwall/gjson"

	"cleathold/internal/agent"
	"cleathold/internal/cluster"
	"cleathold/internal/rollout"
)

// shortLeaseTerms returns terms with a short lease, so that tests take less time.
func shortLeaseTerms(budget rollout.Budget) rollout.Terms {
	t := rollout.DefaultTerms
	t.Budget, t.Timing.Lease = budget, 4*time.Second
	return t
}

// threeSenders returns the setup of three senders, of which one may be out of service, and three agents.
func threeSenders() cluster.Setup {
	return cluster.Setup{Senders: 3, Agents: 3, Rate: 20, Terms: shortLeaseTerms(rollout.Budget{Fleet: 1})}
}

// fourSenders returns the setup of four senders, of which maxOut may be out of service, and three agents. Its traffic
// is high enough for the gates of releases.
func fourSenders(maxOut int) cluster.Setup {
	return cluster.Setup{Senders: 4, Agents: 3, Rate: 80, Terms: shortLeaseTerms(rollout.Budget{Fleet: maxOut})}
}

// newCluster starts a cluster whose processes run the test binary.
func newCluster(t *testing.T, s cluster.Setup) *cluster.Cluster {
	t.Helper()
	s.Program, s.Folder = os.Args[0], t.TempDir()
	s.Env = append(s.Env, "CLEATHOLD_CHILD=1")
	fleet, err := cluster.New(t.Context(), s)
	must(t, err)
	t.Cleanup(func() {
		if t.Failed() {
			fleet.WriteLogs(os.Stderr)
		}
		fleet.Close()
	})
	must(t, fleet.Begin())
	return fleet
}

// fleetCommand runs a fleet command as operators do, and checks its exit code.
func fleetCommand(t *testing.T, fleet *cluster.Cluster, code int, args ...string) string {
	t.Helper()
	out, got := fleet.RunCommand(nil, args...)
	if got != code {
		t.Fatalf("fleet %s: exit code %d, want %d: %s", strings.Join(args, " "), got, code, out)
	}
	return out
}

// requireRejected runs a fleet command that must be rejected with an error that contains want.
func requireRejected(t *testing.T, fleet *cluster.Cluster, want string, args ...string) {
	t.Helper()
	if out := fleetCommand(t, fleet, exitRejected, args...); !strings.Contains(out, want) {
		t.Errorf("fleet %s: %s, want %q", strings.Join(args, " "), out, want)
	}
}

// awaitView waits until the view of the leader meets a condition.
func awaitView(
	t *testing.T, fleet *cluster.Cluster, within time.Duration, description string, condition func(v agent.FleetView) bool,
) {
	t.Helper()
	must(t, fleet.Await(within, description, condition))
}

// awaitOtherLeader waits until an agent other than the excluded one leads.
func awaitOtherLeader(t *testing.T, fleet *cluster.Cluster, within time.Duration, excluded int) {
	t.Helper()
	awaitView(t, fleet, within, "another agent leads", func(v agent.FleetView) bool {
		return v.Agent != fleet.AgentNames()[excluded]
	})
}

// checkRules ends the traffic. It checks that plans never exceeded the budget, and that no rule for messages was
// violated.
func checkRules(t *testing.T, fleet *cluster.Cluster) cluster.Report {
	t.Helper()
	r := fleet.Finish()
	for _, v := range r.OverBudget {
		t.Errorf("over the budget at %v: %s", v.At, v.Text)
	}
	for _, v := range r.Violations {
		t.Errorf("rule violated at %v by sender %d: %s: %s", v.At, v.Sender, v.Rule, v.Text)
	}
	return r
}

// shortGateFlags are the flags of gates with short waiting times.
var shortGateFlags = []string{"--reason", "r", "--least", "25", "--soak", "1s", "--wait", "15s"}

// gatedRelease returns the arguments of a release of a program with shortGateFlags.
func gatedRelease(name, program string, extra ...string) []string {
	return slices.Concat([]string{"release", "--name", name, "--program", program}, shortGateFlags, extra)
}

// planNumber returns the number of the plan that a command has started. It parses the output of the command.
func planNumber(t *testing.T, out string) (id uint64) {
	t.Helper()
	if _, text, ok := strings.Cut(out, "\nplan "); ok {
		fmt.Sscan(text, &id)
	}
	if id == 0 {
		t.Fatalf("no plan number in %q", out)
	}
	return id
}

// leakedMemory holds the memory of a version with a memory leak.
var leakedMemory []byte

// injectFault simulates a fault in this process, which runs a version that a test releases.
func injectFault(fault string) {
	switch fault {
	case "leaks":
		leakedMemory = make([]byte, 80<<20)
		for i := range leakedMemory {
			leakedMemory[i] = 1
		}
	case "mute":
		go func() {
			for !supervised(os.Getenv("LB_CONFIG"), os.Getpid()) { // until its agent has detected that it is ready
				time.Sleep(time.Millisecond)
			}
			syscall.Kill(os.Getpid(), syscall.SIGSTOP)
		}()
	}
}

// supervised reports whether an agent's record names a process as the current process of its sender, rather than as the
// successor that is to take over. The agents' folders are located relative to the sender's configuration.
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

// writeVersion writes a program that executes the test binary and runs shell commands before it serves. startedBy
// returns the number of senders that have started the program.
func writeVersion(t *testing.T, name, serveCommands string) (path string, startedBy func() int) {
	t.Helper()
	dir := t.TempDir()
	path = filepath.Join(dir, name)
	startLog := filepath.Join(dir, "ran")
	text := fmt.Sprintf("#!/bin/sh\nif [ \"$1\" = serve ]; then\necho $LB_ADMIN >> %s\n%s\nfi\nexec %s \"$@\"\n",
		startLog, serveCommands, os.Args[0])
	must(t, os.WriteFile(path, []byte(text), 0o700))
	return path, func() int {
		text, _ := os.ReadFile(startLog)
		seen := map[string]bool{}
		for line := range strings.Lines(string(text)) {
			host, _, _ := strings.Cut(line, ":")
			seen[host] = true
		}
		return len(seen)
	}
}

// otherAgents returns the numbers of all agents except the excluded one.
func otherAgents(fleet *cluster.Cluster, excluded int) (list []int) {
	for i := range fleet.AgentNames() {
		if i != excluded {
			list = append(list, i)
		}
	}
	return list
}

// awaitLeader waits until an agent leads, and returns its number.
func awaitLeader(t *testing.T, fleet *cluster.Cluster) int {
	t.Helper()
	for until := time.Now().Add(20 * time.Second); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		if i := fleet.Leader(); i >= 0 {
			return i
		}
	}
	t.Fatal("no agent leads")
	return -1
}

// resumePlan resumes a plan if it is halted, as an operator would do.
func resumePlan(t *testing.T, fleet *cluster.Cluster, id uint64) {
	t.Helper()
	must(t, fleet.Await(20*time.Second, "the plan", func(v agent.FleetView) bool { return v.State.Plan(id) != nil }))
	v, err := fleet.View(awaitLeader(t, fleet), true)
	must(t, err)
	if p := v.State.Plan(id); p != nil && p.Phase == rollout.Halted {
		t.Logf("resumed: %s", p.PhaseReason)
		// An error is ignored, because the plan may have changed meanwhile.
		fleet.SendCommand(awaitLeader(t, fleet), rollout.Command{Verb: rollout.Resume, Plan: id, Revision: p.Revision})
	}
}

// putAdmin sends a PUT request to the admin address of a sender and returns the status of the response, or 0.
func putAdmin(fleet *cluster.Cluster, sender int, path string, parameters url.Values) int {
	for _, addr := range fleet.Admin(sender) {
		r, err := http.NewRequest(http.MethodPut, "http://"+addr+path+"?"+parameters.Encode(), nil)
		if err != nil {
			return 0
		}
		if a, err := http.DefaultClient.Do(r); err == nil {
			a.Body.Close()
			return a.StatusCode
		}
	}
	return 0
}
