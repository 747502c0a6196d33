package main

import (
	"fmt"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"cleathold/internal/agent"
	"cleathold/internal/cluster"
	"cleathold/internal/rollout"
)

// Two operators: both start plans at once, for the same senders and for others; budgets do not add up. One halts while the
// other resumes: the halt wins.
func TestTwoOperators(t *testing.T) {
	t.Parallel()
	fleet := newCluster(t, cluster.Setup{Senders: 6, Agents: 3, Rate: 20, Terms: quickTerms(rollout.Budget{Fleet: 1})})
	var wg sync.WaitGroup
	codes := make([]int, 4)
	for i, args := range [][]string{{"n0", "n1"}, {"n1", "n0"}, {"n2", "n3"}, {"n3", "n2"}} {
		wg.Go(func() {
			_, codes[i] = fleet.RunCommand([]int{i % 3}, append([]string{"drain", "--for", "500ms", "--reason", "r"}, args...)...)
		})
	}
	wg.Wait()
	if codes[0]+codes[1] != exitRejected || codes[2]+codes[3] != exitRejected {
		t.Errorf("exit codes %v: of two plans for one sender one is refused", codes)
	}
	must(t, fleet.Await(30*time.Second, "both are done", func(v agent.View) bool {
		done := 0
		for _, p := range v.State.Plans {
			if p.Phase == rollout.Done {
				done++
			}
		}
		return done == 2
	}))
	id := planNumber(t, fleetCommand(t, fleet, 0, "drain", "n4", "n5", "--reason", "r"))
	fleetCommand(t, fleet, 0, "halt", fmt.Sprint(id), "--reason", "one sees something")
	v, err := fleet.View(awaitLeader(t, fleet), true)
	must(t, err)
	saw := fmt.Sprint(v.State.Plan(id).Revision)
	fleetCommand(t, fleet, 0, "halt", fmt.Sprint(id), "--reason", "another, too")
	if out := fleetCommand(t, fleet, exitRejected, "resume", fmt.Sprint(id), "--revision", saw, "--reason", "it was nothing"); !strings.Contains(out, "another, too") {
		t.Error(out)
	}
	must(t, fleet.Await(5*time.Second, "it is halted", func(v agent.View) bool { return v.State.Plan(id).Phase == rollout.Halted }))
	fleetCommand(t, fleet, 0, "activate", fmt.Sprint(id), "--reason", "r")
	_, err = fleet.AwaitPlan(20*time.Second, id, rollout.Done)
	must(t, err)
	checkRules(t, fleet)
}

// Senders that go their own way while they are out or about to: one crashes in the middle of a stage, one is stopped while
// it is drained and wakes after its lease, one is restarted by somebody else. And orders that come twice, late, after a
// newer one, or for a process that is no more.
func TestSendersCrashStallAndRestart(t *testing.T) {
	t.Parallel()
	fleet := newCluster(t, cluster.Setup{Senders: 6, Agents: 3, Rate: 20, Terms: quickTerms(rollout.Budget{Fleet: 2})})
	order := func(v agent.View, name string, epoch uint64, by time.Duration) url.Values {
		ms := func(t time.Time) string { return strconv.FormatInt(t.UnixMilli(), 10) }
		return url.Values{"process": {v.Observations[name].Process}, "epoch": {fmt.Sprint(epoch)}, "by": {ms(time.Now().Add(by))}, "until": {ms(time.Now().Add(3 * time.Second))}}
	}
	id := planNumber(t, fleetCommand(t, fleet, 0, "drain", "n0", "n2", "n4", "--reason", "r")) // all of one building
	var v agent.View
	must(t, fleet.Await(20*time.Second, "two are out", func(now agent.View) bool { v = now; return fleet.Poll.OutByOrder() == 2 && len(now.State.Grants) == 2 }))
	g := v.State.Grants["n0"]
	if g == nil {
		t.Fatalf("%v", v.State.Grants)
	}
	if got := putAdmin(fleet, 0, "/v1/sender/drain", url.Values{"process": {g.Process}, "epoch": {fmt.Sprint(g.Epoch)}, "by": {"1"}, "until": {"2"}}); got != http.StatusOK {
		t.Errorf("the order that stands, again: %d", got)
	}
	if got := putAdmin(fleet, 4, "/v1/sender/drain", order(v, "n4", g.Epoch+1000, -time.Second)); got != http.StatusConflict {
		t.Errorf("a late order: %d", got)
	}
	if got := putAdmin(fleet, 0, "/v1/sender/drain", order(v, "n0", g.Epoch-1, time.Second)); got != http.StatusConflict {
		t.Errorf("an order from before: %d", got)
	}
	// n0 crashes: it counts as out until it serves again. Its grant is over then, as the order was for another process, and
	// it goes out anew, as it is still wanted out.
	if !fleet.SignalSender(0, syscall.SIGKILL) {
		t.Fatal("n0 does not answer")
	}
	must(t, fleet.Await(20*time.Second, "n0 is another process, and out again", func(now agent.View) bool {
		p := now.State.Plan(id)
		return p.Tasks["n0"].Step == rollout.Out && now.State.Grants["n0"].Epoch > g.Epoch && now.State.Grants["n0"].Process != g.Process
	}))
	old := url.Values{"process": {g.Process}, "epoch": {fmt.Sprint(g.Epoch + 1<<30)}, "by": {strconv.FormatInt(time.Now().Add(time.Second).UnixMilli(), 10)},
		"until": {strconv.FormatInt(time.Now().Add(2*time.Second).UnixMilli(), 10)}}
	if got := putAdmin(fleet, 0, "/v1/sender/drain", old); got != http.StatusConflict {
		t.Errorf("an order for a process that is no more: %d", got)
	}
	// n2 is stopped while it is drained, past its lease: nobody takes its place, and when it wakes it serves.
	if !fleet.SignalSender(2, syscall.SIGSTOP) {
		t.Fatal("n2 does not answer")
	}
	pid := fleet.LastPid(2)
	fleetCommand(t, fleet, 0, "activate", fmt.Sprint(id), "--reason", "r")
	must(t, fleet.Await(20*time.Second, "n0 is back", func(now agent.View) bool { return now.State.Grants["n0"] == nil && now.Observations["n0"].Serving }))
	more := planNumber(t, fleetCommand(t, fleet, 0, "drain", "n1", "n3", "--for", "300ms", "--reason", "r"))
	_, err := fleet.AwaitPlan(30*time.Second, more, rollout.Done)
	must(t, err)
	time.Sleep(fleet.Terms.Timing.Lease)
	v, err = fleet.View(awaitLeader(t, fleet), true)
	must(t, err)
	if v.State.Grants["n2"] == nil {
		t.Error("the grant of a stopped sender was closed")
	}
	syscall.Kill(pid, syscall.SIGCONT)
	_, err = fleet.AwaitPlan(20*time.Second, id, rollout.Done)
	must(t, err)
	// Somebody else restarts n5: its agent takes the new process over, and it can be drained.
	fleet.Replace(5)
	must(t, fleet.Await(30*time.Second, "n5 serves", func(now agent.View) bool { return now.Observations["n5"].Serving && fleet.Poll.Now(5) == "serves" }))
	fleetCommand(t, fleet, 0, "drain", "n5", "--for", "100ms", "--watch", "--reason", "r")
	checkRules(t, fleet)
}

// An endpoint is taken out: within two seconds no sender calls it, also one that is started anew. One more of its destination
// is refused. Put back, it is called again. When nobody tells senders any more, it comes back by itself.
func TestEndpointExcluded(t *testing.T) {
	t.Parallel()
	fleet := newCluster(t, cluster.Setup{Senders: 4, Agents: 3, Rate: 300, Terms: quickTerms(rollout.Budget{Fleet: 1, Endpoints: 1})})
	var list []rollout.Endpoint
	must(t, fleet.Await(20*time.Second, "endpoints are listed", func(v agent.View) bool { list = v.Listed; return len(list) > 2 }))
	id := list[0].ID
	called := func(within time.Duration) bool {
		from := time.Now()
		for time.Since(from) < within {
			if fleet.LastCall(id).After(from) {
				return true
			}
			time.Sleep(20 * time.Millisecond)
		}
		return false
	}
	if !called(10 * time.Second) {
		t.Fatalf("%s gets no calls at all", id)
	}
	fleetCommand(t, fleet, 0, "endpoint", "out", id, "--reason", "r")
	ordered := time.Now()
	for _, e := range list[1:] {
		if e.Dest == list[0].Dest {
			if out := fleetCommand(t, fleet, exitRejected, "endpoint", "out", e.ID, "--reason", "r"); !strings.Contains(out, "may be") {
				t.Error(out)
			}
		}
	}
	time.Sleep(time.Until(ordered.Add(2 * time.Second)))
	if called(3 * time.Second) {
		t.Errorf("%s is called %v after it was ordered out", id, fleet.LastCall(id).Sub(ordered))
	}
	fleet.SignalSender(1, syscall.SIGKILL)
	must(t, fleet.Await(20*time.Second, "n1 serves", func(v agent.View) bool { return fleet.Poll.Now(1) == "serves" && v.Observations["n1"].Serving }))
	time.Sleep(time.Second)
	if called(time.Second) {
		t.Errorf("%s is called by a sender that was started anew", id)
	}
	fleetCommand(t, fleet, 0, "endpoint", "in", id, "--reason", "r")
	if !called(10 * time.Second) {
		t.Errorf("%s is not called again", id)
	}
	time.Sleep(fleet.Terms.Timing.Lease + 2*time.Second) // until then it counts as out
	fleetCommand(t, fleet, 0, "endpoint", "out", id, "--reason", "r")
	for i := range fleet.AgentNames() {
		fleet.SignalAgent(i, syscall.SIGKILL)
	}
	if !called(fleet.Terms.Timing.Lease + 10*time.Second) {
		t.Errorf("%s stays out although nobody says so any more", id)
	}
	checkRules(t, fleet)
}

// Three histories of a campaign; many more by 'cleathold lab fleet campaign'.
func TestCampaign(t *testing.T) {
	for seed := range uint64(3) {
		t.Run(fmt.Sprint("seed ", seed+1), func(t *testing.T) {
			t.Parallel()
			h := cluster.Draw(seed+1, 12, 3, 5*time.Second)
			must(t, h.Play(t.Context(), cluster.Setup{Program: os.Args[0], Env: []string{"CLEATHOLD_CHILD=1"}, Folder: t.TempDir(), Rate: 40}))
			for _, f := range h.Faults {
				t.Error(f)
			}
		})
	}
}
