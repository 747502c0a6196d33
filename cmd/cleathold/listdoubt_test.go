package main

import (
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"
)

// TestListDoubtEnds guards against endpoints that get no calls for good: an answer of discovery breaks off, sends are
// suspended, and the next process took the doubt for knowledge that only a change of each endpoint ended. Whatever ends
// the process, calls resume once discovery has answered, and an endpoint that left in the broken answer gets none, also
// if the process ends before it suspends its sends.
func TestListDoubtEnds(t *testing.T) {
	t.Parallel()
	kill := func(env *drainEnvironment) { env.kill(env.process); env.process = env.start() }
	for _, test := range []struct {
		name string
		next func(env *drainEnvironment) // ends the process and starts the next one
	}{
		{"no restart", func(*drainEnvironment) {}},
		{"SIGKILL", kill},
		{"SIGKILL before the suspension", kill},
		{"SIGKILL within the answer", kill},
		{"SIGTERM", (*drainEnvironment).restart},
		{"two restarts", func(env *drainEnvironment) { env.restart(); env.restart() }},
		{"upgrade", (*drainEnvironment).upgrade},
		{"two upgrades and a restart", func(env *drainEnvironment) { env.upgrade(); env.upgrade(); env.restart() }},
		{"folder of an earlier version", func(env *drainEnvironment) {
			env.kill(env.process)
			os.Remove(filepath.Join(env.stateFolder, "departures-doubt"))
			env.process = env.start()
		}},
	} {
		for i, variant := range []string{"endpoint stays", "endpoint has left", "stays, lists pushed", "has left, lists pushed"} {
			t.Run(test.name+", "+variant, func(t *testing.T) {
				t.Parallel()
				left, discovery := i%2 == 1, map[bool]string{false: "ask", true: "push"}[i >= 2]
				env := startDrainEnvironment(t, nil, map[string]any{"siblings": 1, "discovery": discovery}, time.Second)
				env.kill(env.process)
				env.process = env.startForUpgrade()
				env.stalls = test.name == "SIGKILL within the answer"
				env.breakAnswer(left)
				if !strings.HasPrefix(test.name, "SIGKILL ") {
					time.Sleep(1500 * time.Millisecond)
				}
				test.next(env)
				time.Sleep(time.Second) // the grace of a drain is over
				_, before := env.callStats()
				env.submitUntil("a", time.Now().Add(time.Second))
				env.requireDeparted(t, true)
				env.silent.Store(false)
				if left {
					env.submitUntil("b", time.Now().Add(3*time.Second))
					if _, count := env.callStats(); count != before {
						t.Errorf("%d calls reached the target after it left", count-before)
					}
					env.setState("up", 0, 0)
				}
				env.awaitCalls(t, before)
				env.requireDeparted(t, false)
			})
		}
	}
}

// TestListDoubtExpires guards against a stored doubt without a deadline: if discovery stays down, the list that was known
// before counts again once the settings no longer ask for a newer one, in the next process, too.
func TestListDoubtExpires(t *testing.T) {
	t.Parallel()
	const pollInterval = 4 * time.Second
	env := startDrainEnvironment(t, nil, map[string]any{"guarantees": map[string]any{
		"must-ask-in-ms": pollInterval.Milliseconds(), "fall-ms": 2000, "fall-multiple": 2, "cold-ms": 10000, "cold-from": 0.2,
	}}, time.Second)
	env.breakAnswer(false)
	broken := time.Now()
	time.Sleep(1500 * time.Millisecond)
	env.restart()
	_, before := env.callStats()
	env.submitUntil("a", broken.Add(pollInterval-300*time.Millisecond))
	if _, count := env.callStats(); count != before {
		t.Errorf("%d calls reached the target while the list was uncertain", count-before)
	}
	env.awaitCalls(t, before)
}

// TestDepartureEndsWithAnswer guards against a stored departure that only a change of its endpoint ends: the endpoint
// came back while no process of the sender ran, and the list of the next configuration has it already.
func TestDepartureEndsWithAnswer(t *testing.T) {
	t.Parallel()
	env := newDrainEnvironment(t, nil, time.Second, 1)
	env.kill(env.process)
	must(t, os.WriteFile(filepath.Join(env.stateFolder, "departures"), []byte(`["gone","s"]`), 0o600))
	env.process = env.start()
	_, before := env.callStats()
	env.awaitCalls(t, before)
}

// breakAnswer has discovery break off an answer and then be silent. In that answer the target leaves, or nothing changes.
func (env *drainEnvironment) breakAnswer(leaves bool) {
	env.t.Helper()
	truncated := env.truncateNext()
	if leaves {
		env.setState("draining", 0, 0)
	}
	select {
	case <-truncated:
		time.Sleep(100 * time.Millisecond) // the sender notices
	case <-time.After(20 * time.Second):
		env.t.Fatal("discovery was not polled")
	}
}

// restart ends the process with SIGTERM and starts the next one.
func (env *drainEnvironment) restart() {
	env.t.Helper()
	env.process.Process.Signal(syscall.SIGTERM)
	awaitExit(env.t, env.process)
	env.process = env.startForUpgrade()
}

// upgrade has another process take over.
func (env *drainEnvironment) upgrade() {
	env.t.Helper()
	predecessor := env.process
	env.process = env.startForUpgrade()
	predecessor.Process.Signal(syscall.SIGTERM)
	awaitExit(env.t, predecessor)
}

// startForUpgrade starts a process with an admin address and a folder for the hand-over socket of its own.
func (env *drainEnvironment) startForUpgrade() *exec.Cmd {
	env.t.Helper()
	if env.temp == "" {
		temp, err := os.MkdirTemp("", "ct")
		must(env.t, err)
		env.t.Cleanup(func() { os.RemoveAll(temp) })
		env.temp = temp
	}
	admin := freeAddr(env.t)
	process := env.launch("LB_ADMIN="+admin, "TMPDIR="+env.temp)
	awaitReady(env.t, admin)
	return process
}

// requireDeparted checks whether the file that earlier versions read has the target as one that has left.
func (env *drainEnvironment) requireDeparted(t *testing.T, want bool) {
	t.Helper()
	data, err := os.ReadFile(filepath.Join(env.stateFolder, "departures"))
	var ids []string
	if err != nil || json.Unmarshal(data, &ids) != nil || slices.Contains(ids, "s") != want {
		t.Errorf("departures: %s, %v; want the target: %t", data, err, want)
	}
}
