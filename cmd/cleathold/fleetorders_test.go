package main

import (
	"fmt"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"cleathold/internal/agent"
	"cleathold/internal/cluster"
	"cleathold/internal/rollout"
)

// TestTwoOperators starts plans of several operators at the same time, for the same senders and for others. The plans
// share one budget, and of two plans for the same sender one is rejected. If one operator halts a plan while another
// resumes it, the halt takes precedence.
func TestTwoOperators(t *testing.T) {
	t.Parallel()
	fleet := newCluster(t, cluster.Setup{
		Senders: 6, Agents: 3, Rate: 20, Terms: shortLeaseTerms(rollout.Budget{Fleet: 1}),
	})
	var wg sync.WaitGroup
	codes := make([]int, 4)
	for i, senders := range [][]string{{"n0", "n1"}, {"n1", "n0"}, {"n2", "n3"}, {"n3", "n2"}} {
		wg.Go(func() {
			args := append([]string{"drain", "--for", "500ms", "--reason", "r"}, senders...)
			_, codes[i] = fleet.RunCommand([]int{i % 3}, args...)
		})
	}
	wg.Wait()
	if codes[0]+codes[1] != exitRejected || codes[2]+codes[3] != exitRejected {
		t.Errorf("exit codes %v: want one of two plans for the same senders to be rejected", codes)
	}
	awaitView(t, fleet, 30*time.Second, "both are done", func(v agent.FleetView) bool {
		done := 0
		for _, p := range v.State.Plans {
			if p.Phase == rollout.Done {
				done++
			}
		}
		return done == 2
	})
	id := planNumber(t, fleetCommand(t, fleet, 0, "drain", "n4", "n5", "--reason", "r"))
	plan := fmt.Sprint(id)
	fleetCommand(t, fleet, 0, "halt", plan, "--reason", "one sees something")
	v, err := fleet.View(awaitLeader(t, fleet), true)
	must(t, err)
	revision := fmt.Sprint(v.State.Plan(id).Revision)
	fleetCommand(t, fleet, 0, "halt", plan, "--reason", "another, too")
	requireRejected(t, fleet, "another, too", "resume", plan, "--revision", revision, "--reason", "it was nothing")
	awaitView(t, fleet, 5*time.Second, "it is halted", func(v agent.FleetView) bool {
		return v.State.Plan(id).Phase == rollout.Halted
	})
	fleetCommand(t, fleet, 0, "activate", plan, "--reason", "r")
	_, err = fleet.AwaitPlan(20*time.Second, id, rollout.Done)
	must(t, err)
	checkRules(t, fleet)
}

// drainOrder is an agent's order to a sender to drain. It has the intended process, the epoch of the grant, the time
// until which the order may be accepted, and the end of the lease.
type drainOrder struct {
	process            string
	epoch              uint64
	acceptBy, leaseEnd time.Time
}

// send sends the order to a sender and returns the status of the response.
func (o drainOrder) send(fleet *cluster.Cluster, sender int) int {
	milliseconds := func(t time.Time) []string { return []string{strconv.FormatInt(t.UnixMilli(), 10)} }
	return putAdmin(fleet, sender, "/v1/sender/drain", url.Values{
		"process": {o.process}, "epoch": {fmt.Sprint(o.epoch)},
		"by": milliseconds(o.acceptBy), "until": milliseconds(o.leaseEnd),
	})
}

// TestSendersCrashStallAndRestart makes senders fail while they are drained or about to be. One crashes in the middle
// of a stage, one is stopped while it is drained and continued after its lease, and one is restarted independently of
// its agent. Orders are also repeated, late, outdated, or meant for a process that has exited.
func TestSendersCrashStallAndRestart(t *testing.T) {
	t.Parallel()
	fleet := newCluster(t, cluster.Setup{
		Senders: 6, Agents: 3, Rate: 20, Terms: shortLeaseTerms(rollout.Budget{Fleet: 2}),
	})
	id := planNumber(t, fleetCommand(t, fleet, 0, "drain", "n0", "n2", "n4", "--reason", "r")) // all in one building
	var v agent.FleetView
	awaitView(t, fleet, 20*time.Second, "two are out", func(now agent.FleetView) bool {
		v = now
		return fleet.Poll.DrainingCount() == 2 && len(now.State.Grants) == 2
	})
	grant := v.State.Grants["n0"]
	if grant == nil {
		t.Fatalf("%v", v.State.Grants)
	}
	requireStaleOrdersRejected(t, fleet, v, grant)
	// n0 crashes, and counts as out of service until it serves again. Its grant ends then, because it was for another
	// process, and n0 is drained again, because the plan still requires it.
	if !fleet.SignalSender(0, syscall.SIGKILL) {
		t.Fatal("n0 does not answer")
	}
	awaitView(t, fleet, 20*time.Second, "n0 is another process, and out again", func(now agent.FleetView) bool {
		regranted := now.State.Grants["n0"]
		return now.State.Plan(id).Tasks["n0"].Step == rollout.Out &&
			regranted.Epoch > grant.Epoch && regranted.Process != grant.Process
	})
	now := time.Now()
	endedProcess := drainOrder{grant.Process, grant.Epoch + 1<<30, now.Add(time.Second), now.Add(2 * time.Second)}
	if got := endedProcess.send(fleet, 0); got != http.StatusConflict {
		t.Errorf("an order for a process that has exited: status %d", got)
	}
	requireStoppedSenderKeepsGrant(t, fleet, id)
	// n5 is restarted independently of its agent. The agent must supervise the new process, which can be drained.
	fleet.ReplaceProcess(5)
	awaitView(t, fleet, 30*time.Second, "n5 serves", func(now agent.FleetView) bool {
		return now.Observations["n5"].Serving && fleet.Poll.Now(5) == "serves"
	})
	fleetCommand(t, fleet, 0, "drain", "n5", "--for", "100ms", "--watch", "--reason", "r")
	checkRules(t, fleet)
}

// requireStaleOrdersRejected repeats the current order to n0, which must be accepted, and sends a late and an outdated
// order, which must be rejected.
func requireStaleOrdersRejected(t *testing.T, fleet *cluster.Cluster, v agent.FleetView, grant *rollout.Grant) {
	t.Helper()
	repeated := drainOrder{grant.Process, grant.Epoch, time.UnixMilli(1), time.UnixMilli(2)}
	if got := repeated.send(fleet, 0); got != http.StatusOK {
		t.Errorf("the current order, repeated: status %d", got)
	}
	now := time.Now()
	late := drainOrder{v.Observations["n4"].Process, grant.Epoch + 1000, now.Add(-time.Second), now.Add(3 * time.Second)}
	if got := late.send(fleet, 4); got != http.StatusConflict {
		t.Errorf("a late order: status %d", got)
	}
	older := drainOrder{v.Observations["n0"].Process, grant.Epoch - 1, now.Add(time.Second), now.Add(3 * time.Second)}
	if got := older.send(fleet, 0); got != http.StatusConflict {
		t.Errorf("an outdated order: status %d", got)
	}
}

// requireStoppedSenderKeepsGrant stops n2 past its lease while a plan drains it. No other sender may use its grant.
// When it is continued, it must return to service.
func requireStoppedSenderKeepsGrant(t *testing.T, fleet *cluster.Cluster, id uint64) {
	t.Helper()
	if !fleet.SignalSender(2, syscall.SIGSTOP) {
		t.Fatal("n2 does not answer")
	}
	pid := fleet.AnyPid(2)
	fleetCommand(t, fleet, 0, "activate", fmt.Sprint(id), "--reason", "r")
	awaitView(t, fleet, 20*time.Second, "n0 is back", func(now agent.FleetView) bool {
		return now.State.Grants["n0"] == nil && now.Observations["n0"].Serving
	})
	other := planNumber(t, fleetCommand(t, fleet, 0, "drain", "n1", "n3", "--for", "300ms", "--reason", "r"))
	_, err := fleet.AwaitPlan(30*time.Second, other, rollout.Done)
	must(t, err)
	time.Sleep(fleet.Terms.Timing.Lease)
	v, err := fleet.View(awaitLeader(t, fleet), true)
	must(t, err)
	if v.State.Grants["n2"] == nil {
		t.Error("the grant of a stopped sender has ended")
	}
	syscall.Kill(pid, syscall.SIGCONT)
	_, err = fleet.AwaitPlan(20*time.Second, id, rollout.Done)
	must(t, err)
}

// TestEndpointExcluded excludes an endpoint. Within two seconds no sender may call it, not even one that is restarted.
// The exclusion of a second endpoint of the same destination must be rejected. After its inclusion the endpoint must be
// called again. If no agent renews the exclusion, it must end by itself.
func TestEndpointExcluded(t *testing.T) {
	t.Parallel()
	fleet := newCluster(t, cluster.Setup{
		Senders: 4, Agents: 3, Rate: 300, Terms: shortLeaseTerms(rollout.Budget{Fleet: 1, Endpoints: 1}),
	})
	var list []rollout.Endpoint
	awaitView(t, fleet, 20*time.Second, "endpoints are listed", func(v agent.FleetView) bool {
		list = v.Endpoints
		return len(list) > 2
	})
	id := list[0].ID
	if !awaitEndpointCall(fleet, id, 10*time.Second) {
		t.Fatalf("%s is not called", id)
	}
	fleetCommand(t, fleet, 0, "endpoint", "out", id, "--reason", "r")
	excludedAt := time.Now()
	for _, e := range list[1:] {
		if e.Dest == list[0].Dest {
			requireRejected(t, fleet, "may be", "endpoint", "out", e.ID, "--reason", "r")
		}
	}
	time.Sleep(time.Until(excludedAt.Add(2 * time.Second)))
	if awaitEndpointCall(fleet, id, 3*time.Second) {
		t.Errorf("%s is called %v after it was excluded", id, fleet.LastCall(id).Sub(excludedAt))
	}
	fleet.SignalSender(1, syscall.SIGKILL)
	awaitView(t, fleet, 20*time.Second, "n1 serves", func(v agent.FleetView) bool {
		return fleet.Poll.Now(1) == "serves" && v.Observations["n1"].Serving
	})
	time.Sleep(time.Second)
	if awaitEndpointCall(fleet, id, time.Second) {
		t.Errorf("%s is called by a sender that was restarted", id)
	}
	fleetCommand(t, fleet, 0, "endpoint", "in", id, "--reason", "r")
	if !awaitEndpointCall(fleet, id, 10*time.Second) {
		t.Errorf("%s is not called again", id)
	}
	time.Sleep(fleet.Terms.Timing.Lease + 2*time.Second) // until then the endpoint counts as excluded
	fleetCommand(t, fleet, 0, "endpoint", "out", id, "--reason", "r")
	for i := range fleet.AgentNames() {
		fleet.SignalAgent(i, syscall.SIGKILL)
	}
	if !awaitEndpointCall(fleet, id, fleet.Terms.Timing.Lease+10*time.Second) {
		t.Errorf("%s stays excluded although no agent renews the exclusion", id)
	}
	checkRules(t, fleet)
}

// awaitEndpointCall waits for a call of an endpoint, and reports whether one was made in time.
func awaitEndpointCall(fleet *cluster.Cluster, id string, within time.Duration) bool {
	from := time.Now()
	for time.Since(from) < within {
		if fleet.LastCall(id).After(from) {
			return true
		}
		time.Sleep(20 * time.Millisecond)
	}
	return false
}

// TestCampaign plays three histories of a campaign. The command 'cleathold lab fleet campaign' plays more of them.
func TestCampaign(t *testing.T) {
	for seed := range uint64(3) {
		t.Run(fmt.Sprint("seed ", seed+1), func(t *testing.T) {
			t.Parallel()
			history := cluster.Draw(seed+1, 12, 3, 5*time.Second)
			must(t, history.Play(t.Context(), cluster.Setup{
				Program: os.Args[0], Env: []string{"CLEATHOLD_CHILD=1"}, Folder: t.TempDir(), Rate: 40,
			}))
			for _, fault := range history.Faults {
				t.Error(fault)
			}
		})
	}
}
