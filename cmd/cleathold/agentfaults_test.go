package main

import (
	"flag"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"cleathold/internal/agent"
	"cleathold/internal/cluster"
	"cleathold/internal/netfault"
	"cleathold/internal/rollout"
)

// agentFault is a fault of one agent, which is given by its number, and the recovery from it.
type agentFault struct {
	name    string
	inject  func(t *testing.T, fleet *cluster.Cluster, i int)
	recover func(t *testing.T, fleet *cluster.Cluster, i int)
}

var agentFaults = []agentFault{
	{
		"killed",
		func(_ *testing.T, fleet *cluster.Cluster, i int) { fleet.SignalAgent(i, syscall.SIGKILL) },
		func(t *testing.T, fleet *cluster.Cluster, i int) { must(t, fleet.StartAgent(i)) },
	},
	{
		"isolated",
		func(_ *testing.T, fleet *cluster.Cluster, i int) { isolateAgents(fleet, fleet.AgentNames()[i:i+1]) },
		healNetwork,
	},
	{
		"stopped",
		func(_ *testing.T, fleet *cluster.Cluster, i int) { fleet.SignalAgent(i, syscall.SIGSTOP) },
		func(_ *testing.T, fleet *cluster.Cluster, i int) { fleet.SignalAgent(i, syscall.SIGCONT) },
	},
	{
		"outgoing messages lost",
		func(_ *testing.T, fleet *cluster.Cluster, i int) { dropOneWay(fleet, i, true) },
		healNetwork,
	},
	{
		"incoming messages lost",
		func(_ *testing.T, fleet *cluster.Cluster, i int) { dropOneWay(fleet, i, false) },
		healNetwork,
	},
}

func healNetwork(_ *testing.T, fleet *cluster.Cluster, _ int) { fleet.Net.Heal() }

// isolateAgents drops all traffic between these agents and all others, without closing connections.
func isolateAgents(fleet *cluster.Cluster, agents []string) {
	fleet.Net.Partition(agents, fleet.AgentNames(), netfault.State{Silent: true})
}

// dropOneWay drops all messages of an agent to the others, or all messages of the others to it.
func dropOneWay(fleet *cluster.Cluster, i int, outgoing bool) {
	agents := fleet.AgentNames()
	for _, k := range otherAgents(fleet, i) {
		if outgoing {
			fleet.Net.Set(agents[i], agents[k], netfault.State{Silent: true})
		} else {
			fleet.Net.Set(agents[k], agents[i], netfault.State{Silent: true})
		}
	}
}

// agentFaultDuration is how long the fault of an agent lasts. It is longer than a lease, and longer than the other
// agents need to elect a new leader.
var agentFaultDuration = flag.Duration("strike", 4500*time.Millisecond, "how long an agent is struck")

// TestLeaderFaultDuringDrain makes the leader fail at each step of a drain. Each drain must be completed, and the
// number of senders out of service must never exceed the budget.
func TestLeaderFaultDuringDrain(t *testing.T) {
	for _, fault := range agentFaults {
		t.Run(fault.name, func(t *testing.T) {
			t.Parallel()
			fleet := newCluster(t, threeSenders())
			for _, step := range []rollout.Step{rollout.Waiting, rollout.Granted, rollout.Out, rollout.Returning} {
				drainWithLeaderFault(t, fleet, fault, step)
			}
			if r := checkRules(t, fleet); r.Orders < 10 {
				t.Errorf("%d senders were drained, want 12", r.Orders)
			}
		})
	}
}

// drainWithLeaderFault drains all senders, and makes the leader fail when a sender has reached a step.
func drainWithLeaderFault(t *testing.T, fleet *cluster.Cluster, fault agentFault, step rollout.Step) {
	t.Helper()
	leader := awaitLeader(t, fleet)
	plan := &rollout.Plan{Kind: rollout.Drain, Stages: [][]string{fleet.Names}, Hold: 200 * time.Millisecond}
	id, err := fleet.SendCommand(leader, rollout.Command{Verb: rollout.Start, New: plan})
	must(t, err)
	awaitView(t, fleet, 20*time.Second, fmt.Sprintf("a sender is %s", step), func(v agent.FleetView) bool {
		p := v.State.Plan(id)
		if p == nil {
			return false
		}
		for _, task := range p.Tasks {
			if task.Step == step {
				return true
			}
		}
		return p.Phase == rollout.Done // the step was over before it was observed
	})
	fault.inject(t, fleet, leader)
	injectedAt := time.Now()
	awaitOtherLeader(t, fleet, 20*time.Second, leader) // the others continue without its senders
	time.Sleep(time.Until(injectedAt.Add(*agentFaultDuration)))
	fault.recover(t, fleet, leader)
	p, err := fleet.AwaitPlan(60*time.Second, id, rollout.Done, rollout.Halted)
	must(t, err)
	if p.Phase == rollout.Halted { // a sender without an agent did not use its grant in time
		command := rollout.Command{Verb: rollout.Resume, Plan: id, Revision: p.Revision}
		_, err := fleet.SendCommand(awaitLeader(t, fleet), command)
		must(t, err)
		_, err = fleet.AwaitPlan(60*time.Second, id, rollout.Done)
		must(t, err)
	}
}

// TestHaltWhileLeaderPartitioned isolates the leader and then asks another agent to halt a plan. That agent must not
// wait for the unreachable leader, but forward the command to the next one.
func TestHaltWhileLeaderPartitioned(t *testing.T) {
	t.Parallel()
	fleet := newCluster(t, threeSenders())
	leader := awaitLeader(t, fleet)
	plan := &rollout.Plan{Kind: rollout.Drain, Stages: [][]string{fleet.Names}}
	id, err := fleet.SendCommand(leader, rollout.Command{Verb: rollout.Start, New: plan})
	must(t, err)
	awaitView(t, fleet, 20*time.Second, "one is out", func(v agent.FleetView) bool { return len(v.State.Grants) == 1 })
	isolateAgents(fleet, fleet.AgentNames()[leader:leader+1])
	orderedAt := time.Now()
	_, err = fleet.SendCommand(otherAgents(fleet, leader)[0], rollout.Command{Verb: rollout.Halt, Plan: id})
	if took := time.Since(orderedAt); err != nil || took > 10*time.Second {
		t.Errorf("halted after %v: %v", took, err)
	}
	fleet.Net.Heal()
	p, err := fleet.AwaitPlan(20*time.Second, id, rollout.Halted)
	must(t, err)
	_, err = fleet.SendCommand(awaitLeader(t, fleet), rollout.Command{Verb: rollout.Activate, Plan: p.ID})
	must(t, err)
	_, err = fleet.AwaitPlan(30*time.Second, id, rollout.Done)
	must(t, err)
	checkRules(t, fleet)
}

// TestLeaderFaultDuringRelease makes the leader fail during a release: while the first sender changes, while the gate
// waits, and while the last senders change. All senders must run the new version in the end, even if an agent was
// interrupted in the middle of a change.
func TestLeaderFaultDuringRelease(t *testing.T) {
	for _, fault := range agentFaults {
		t.Run(fault.name, func(t *testing.T) {
			t.Parallel()
			fleet := newCluster(t, fourSenders(2))
			program, ran := writeVersion(t, "v2", "")
			id := planNumber(t, fleetCommand(t, fleet, 0, gatedRelease("v2", program)...))
			for _, reached := range []func(p *rollout.Plan) bool{
				func(p *rollout.Plan) bool { return p.Tasks[p.Stages[0][0]].Step != rollout.Waiting },
				func(p *rollout.Plan) bool { return p.Tasks[p.Stages[0][0]].Step == rollout.Finished },
				func(p *rollout.Plan) bool { return p.Stage >= 1 },
			} {
				awaitView(t, fleet, 60*time.Second, "the next step", func(v agent.FleetView) bool {
					p := v.State.Plan(id)
					return p != nil && (reached(p) || !p.Phase.Open() || p.Phase == rollout.Halted)
				})
				leader := awaitLeader(t, fleet)
				fault.inject(t, fleet, leader)
				time.Sleep(*agentFaultDuration)
				fault.recover(t, fleet, leader)
				resumePlan(t, fleet, id)
			}
			resumeUntilDone(t, fleet, id)
			if ran() != 4 {
				t.Errorf("%d senders ran it", ran())
			}
			checkRules(t, fleet)
		})
	}
}

// resumeUntilDone resumes a plan each time that it halts. It fails the test if the plan is not done after three
// resumes.
func resumeUntilDone(t *testing.T, fleet *cluster.Cluster, id uint64) {
	t.Helper()
	for attempts := 0; ; attempts++ {
		p, err := fleet.AwaitPlan(60*time.Second, id, rollout.Done, rollout.Halted)
		if attempts > 3 {
			out, _ := fleet.RunCommand(nil, "events")
			t.Fatal(out)
		}
		must(t, err)
		if p.Phase == rollout.Done {
			return
		}
		resumePlan(t, fleet, id)
	}
}

// TestMinorityPartition partitions the agents, two to one and three to two. An agent in the minority must reject a
// drain and report that there is no majority. An agent in the majority must execute it for the senders that it reaches.
// A drained sender in the minority must return to service when its lease ends.
func TestMinorityPartition(t *testing.T) {
	for _, c := range []struct{ agents, minority int }{{3, 1}, {5, 2}} {
		t.Run(fmt.Sprintf("%d of %d", c.minority, c.agents), func(t *testing.T) {
			t.Parallel()
			fleet := newCluster(t, cluster.Setup{
				Senders: 10, Agents: c.agents, Rate: 20, Terms: shortLeaseTerms(rollout.Budget{Fleet: 6}),
			})
			id := planNumber(t, fleetCommand(t, fleet, 0, "drain", "n0", "--reason", "r")) // supervised by agent 0
			awaitView(t, fleet, 20*time.Second, "n0 is out", func(v agent.FleetView) bool {
				p := v.State.Plan(id)
				return p != nil && p.Tasks["n0"].Step == rollout.Out
			})
			minority := fleet.AgentNames()[:c.minority]
			isolateAgents(fleet, minority)
			isolatedAt := time.Now()
			awaitView(t, fleet, 20*time.Second, "a leader in the majority", func(v agent.FleetView) bool {
				return !slices.Contains(minority, v.Agent)
			})
			requireMinorityRejects(t, fleet)
			sender := "n" + strconv.Itoa(c.minority) // supervised by the first agent in the majority
			out, code := fleet.RunCommand([]int{c.minority}, "drain", sender, "--for", "100ms", "--watch", "--reason", "r")
			if code != 0 {
				t.Errorf("drain in the majority: exit code %d: %s", code, out)
			}
			// No agent renews n0's lease in the minority, so n0 returns to service within the lease and the clock error.
			for fleet.Poll.Now(0) == "away" && time.Since(isolatedAt) < 20*time.Second {
				time.Sleep(10 * time.Millisecond)
			}
			if d := time.Since(isolatedAt); d > 2*time.Second+fleet.Terms.Timing.Lease+
				fleet.Terms.Timing.MaxClockError+time.Second {
				t.Errorf("n0 was out of service for %v after its agent was isolated", d)
			}
			fleet.Net.Heal()
			awaitView(t, fleet, 20*time.Second, "n0 is seen serving", func(v agent.FleetView) bool {
				return v.Observations["n0"].Serving
			})
			checkRules(t, fleet)
		})
	}
}

// requireMinorityRejects waits until agent 0 rejects commands because it has no majority, and checks that its list has
// a warning about that.
func requireMinorityRejects(t *testing.T, fleet *cluster.Cluster) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		out, code := fleet.RunCommand([]int{0}, "drain", "n5", "--reason", "r")
		if code == exitNoMajority && strings.Contains(out, "majority") {
			break
		}
		if time.Now().After(deadline) {
			t.Fatalf("drain in the minority: exit code %d: %s", code, out)
		}
	}
	if out, code := fleet.RunCommand([]int{0}, "list"); code != 0 || !strings.Contains(out, "reaches no majority") {
		t.Errorf("list in the minority: exit code %d: %s", code, out)
	}
}

// TestAgentFolderLost deletes the folder of an agent and restarts it. The agent must join as a new member, so that the
// lost member can't vote twice. Its senders must not be restarted, and drains of them must work again.
func TestAgentFolderLost(t *testing.T) {
	t.Parallel()
	fleet := newCluster(t, threeSenders())
	v, err := fleet.View(2, true)
	must(t, err)
	lostMember := v.Quorum.Member.Number
	pids := []int{fleet.Pid(0), fleet.Pid(1), fleet.Pid(2)}
	fleet.SignalAgent(2, syscall.SIGKILL)
	must(t, fleet.WipeAgent(2))
	must(t, fleet.StartAgent(2))
	awaitView(t, fleet, 30*time.Second, "the agent is a new member", func(v agent.FleetView) bool {
		_, is := v.Quorum.Members[lostMember]
		return !is && len(v.Quorum.Members) == 3 && v.Observations["n2"].Serving
	})
	fleetCommand(t, fleet, 0, "drain", "n2", "--for", "100ms", "--watch", "--reason", "r")
	for i, pid := range pids {
		if now := fleet.Pid(i); now != pid {
			t.Errorf("n%d was restarted: process %d, was %d", i, now, pid)
		}
	}
	checkRules(t, fleet)
}

// TestAgentDiskFull fills the disk of a follower and then of the leader. The other agents must continue. The senders of
// the faulty agent must not be drained while it can't write log entries. When space is available again, the agent must
// catch up and apply no entry twice.
func TestAgentDiskFull(t *testing.T) {
	t.Parallel()
	fleet := newCluster(t, threeSenders())
	for _, leaderFails := range []bool{false, true} {
		faulty := awaitLeader(t, fleet)
		if !leaderFails {
			faulty = otherAgents(fleet, faulty)[0]
		}
		healthy := otherAgents(fleet, faulty)
		setDiskSpace(t, fleet, faulty, false)
		if leaderFails {
			failLeaderOnWrite(t, fleet, faulty)
		}
		for _, i := range healthy { // agent i supervises sender i
			drainUntilLed(t, fleet, healthy, fmt.Sprint("n", i))
		}
		if fleet.AgentPid(faulty) == 0 {
			t.Errorf("leader %t: the agent has exited", leaderFails)
		}
		out, _ := fleet.RunCommand(healthy, "drain", fmt.Sprint("n", faulty), "--for", "100ms", "--reason", "r")
		id := planNumber(t, out)
		time.Sleep(2 * time.Second)
		if now := fleet.Poll.Now(faulty); now != "serves" {
			t.Errorf("leader %t: the sender of the faulty agent %s", leaderFails, now)
		}
		setDiskSpace(t, fleet, faulty, true)
		p, err := fleet.AwaitPlan(40*time.Second, id, rollout.Done, rollout.Halted)
		must(t, err)
		if p.Phase == rollout.Halted { // a grant was not used in time
			resumePlan(t, fleet, id)
			_, err = fleet.AwaitPlan(40*time.Second, id, rollout.Done)
			must(t, err)
		}
		// The agent has reopened its folder several times, but must not have applied an entry twice.
		v, err := fleet.View(faulty, true)
		must(t, err)
		for i, e := range v.State.Events[1:] {
			if e.Index <= v.State.Events[i].Index {
				t.Fatalf("leader %t: entry %d follows entry %d in the events", leaderFails, e.Index, v.State.Events[i].Index)
			}
		}
	}
	checkRules(t, fleet)
}

// setDiskSpace limits the size of the files that an agent may write, so that writes fail as on a full disk, or removes
// the limit.
func setDiskSpace(t *testing.T, fleet *cluster.Cluster, i int, available bool) {
	t.Helper()
	limit := unix.Rlimit{Cur: 1, Max: unix.RLIM_INFINITY}
	if available {
		limit.Cur = unix.RLIM_INFINITY
	}
	must(t, unix.Prlimit(fleet.AgentPid(i), unix.RLIMIT_FSIZE, &limit, nil))
}

// failLeaderOnWrite makes a leader without disk space write an entry, so that it loses the leadership. It then ends any
// plan that the entry has started.
func failLeaderOnWrite(t *testing.T, fleet *cluster.Cluster, leader int) {
	t.Helper()
	fleet.RunCommand([]int{leader}, "drain", "n0", "--reason", "whether this is done is not known")
	awaitOtherLeader(t, fleet, 30*time.Second, leader)
	if v, err := fleet.View(awaitLeader(t, fleet), true); err == nil {
		for _, p := range v.State.Plans {
			if p.Phase.Open() {
				command := rollout.Command{Verb: rollout.Activate, Plan: p.ID, Senders: []string{"n0"}}
				fleet.SendCommand(awaitLeader(t, fleet), command)
			}
		}
	}
	awaitView(t, fleet, 30*time.Second, "no plan is open", func(v agent.FleetView) bool {
		return !slices.ContainsFunc(v.State.Plans, func(p *rollout.Plan) bool { return p.Phase.Open() })
	})
}

// drainUntilLed drains a sender by one of these agents, and retries while none of them leads.
func drainUntilLed(t *testing.T, fleet *cluster.Cluster, agents []int, sender string) {
	t.Helper()
	for until := time.Now().Add(30 * time.Second); ; time.Sleep(100 * time.Millisecond) {
		out, code := fleet.RunCommand(agents, "drain", sender, "--for", "100ms", "--watch", "--reason", "r")
		if code == 0 {
			return
		}
		if code != exitNoMajority || time.Now().After(until) {
			list, _ := fleet.RunCommand(agents, "list")
			events, _ := fleet.RunCommand(agents, "events")
			t.Fatalf("drain of %s: exit code %d: %s\n%s\n%s", sender, code, out, list, events)
		}
	}
}
