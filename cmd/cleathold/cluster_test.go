package main

import (
	"fmt"
	"net/http"
	"net/url"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/tidwall/gjson"

	"cleathold/internal/agent"
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

// otherAgents are the agents but for one, by number.
func otherAgents(fleet *cluster.Cluster, not int) (list []int) {
	for i := range fleet.AgentNames() {
		if i != not {
			list = append(list, i)
		}
	}
	return list
}

// awaitLeader waits for the number of the agent that leads.
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

// resumePlan has a halted plan go on, as staff would after looking.
func resumePlan(t *testing.T, fleet *cluster.Cluster, id uint64) {
	t.Helper()
	must(t, fleet.Await(20*time.Second, "the plan", func(v agent.View) bool { return v.State.Plan(id) != nil }))
	v, err := fleet.View(awaitLeader(t, fleet), true)
	must(t, err)
	if p := v.State.Plan(id); p != nil && p.Phase == rollout.Halted {
		t.Logf("resumed: %s", p.Why)
		fleet.Order(awaitLeader(t, fleet), rollout.Command{Verb: rollout.Resume, Plan: id, Revision: p.Revision}) // somebody else may have
	}
}

// putAdmin makes one call at the second address of a sender, and returns the status.
func putAdmin(fleet *cluster.Cluster, sender int, path string, q url.Values) int {
	for _, addr := range fleet.Admin(sender) {
		r, err := http.NewRequest(http.MethodPut, "http://"+addr+path+"?"+q.Encode(), nil)
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
