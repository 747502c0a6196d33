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

// agentFault is a fault of one agent, by its number, and how it ends.
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
		"cut off",
		func(_ *testing.T, fleet *cluster.Cluster, i int) { isolateAgents(fleet, fleet.AgentNames()[i:i+1]) },
		healNetwork,
	},
	{
		"stopped",
		func(_ *testing.T, fleet *cluster.Cluster, i int) { fleet.SignalAgent(i, syscall.SIGSTOP) },
		func(_ *testing.T, fleet *cluster.Cluster, i int) { fleet.SignalAgent(i, syscall.SIGCONT) },
	},
	{
		"heard by nobody",
		func(_ *testing.T, fleet *cluster.Cluster, i int) { dropOneWay(fleet, i, true) },
		healNetwork,
	},
	{
		"hears nobody",
		func(_ *testing.T, fleet *cluster.Cluster, i int) { dropOneWay(fleet, i, false) },
		healNetwork,
	},
}

func healNetwork(_ *testing.T, fleet *cluster.Cluster, _ int) { fleet.Net.Heal() }

// isolateAgents cuts some agents off from all others, silently.
func isolateAgents(fleet *cluster.Cluster, agents []string) {
	fleet.Net.Partition(agents, fleet.AgentNames(), netfault.State{Silent: true})
}

// dropOneWay drops what an agent says to the others, or what they say to it.
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

// agentFaultDuration is how long an agent's fault lasts: longer than a lease and than the others take to agree on a new
// leader.
var agentFaultDuration = flag.Duration("strike", 4500*time.Millisecond, "how long an agent is struck")

// TestLeaderFaultDuringDrain has the leader fail at each step of a drain: each drain ends all the same, and never is
// one sender too many out.
func TestLeaderFaultDuringDrain(t *testing.T) {
	for _, fault := range agentFaults {
		t.Run(fault.name, func(t *testing.T) {
			t.Parallel()
			fleet := newCluster(t, threeSenders())
			for _, step := range []rollout.Step{rollout.Waiting, rollout.Granted, rollout.Out, rollout.Returning} {
				drainWithLeaderFault(t, fleet, fault, step)
			}
			if r := checkRules(t, fleet); r.Orders < 10 {
				t.Errorf("%d senders went out by order, 12 should have", r.Orders)
			}
		})
	}
}

// drainWithLeaderFault drains all senders, and has the leader fail once a sender is at a step.
func drainWithLeaderFault(t *testing.T, fleet *cluster.Cluster, fault agentFault, step rollout.Step) {
	t.Helper()
	leader := awaitLeader(t, fleet)
	plan := &rollout.Plan{Kind: rollout.Drain, Stages: [][]string{fleet.Names}, Hold: 200 * time.Millisecond}
	id, err := fleet.Order(leader, rollout.Command{Verb: rollout.Start, New: plan})
	must(t, err)
	awaitView(t, fleet, 20*time.Second, fmt.Sprintf("a sender is %s", step), func(v agent.View) bool {
		p := v.State.Plan(id)
		if p == nil {
			return false
		}
		for _, task := range p.Tasks {
			if task.Step == step {
				return true
			}
		}
		return p.Phase == rollout.Done // the step was passed between two views
	})
	fault.inject(t, fleet, leader)
	injectedAt := time.Now()
	awaitOtherLeader(t, fleet, 20*time.Second, leader) // the others go on with what does not need its senders
	time.Sleep(time.Until(injectedAt.Add(*agentFaultDuration)))
	fault.recover(t, fleet, leader)
	p, err := fleet.AwaitPlan(60*time.Second, id, rollout.Done, rollout.Halted)
	must(t, err)
	if p.Phase == rollout.Halted { // a sender that no agent watched did not use its grants in time
		command := rollout.Command{Verb: rollout.Resume, Plan: id, Revision: p.Revision}
		_, err := fleet.Order(awaitLeader(t, fleet), command)
		must(t, err)
		_, err = fleet.AwaitPlan(60*time.Second, id, rollout.Done)
		must(t, err)
	}
}

// TestHaltWhileLeaderPartitioned isolates the leader, silently, as an operator asks another agent for a halt: it does
// not wait for the one that can't answer, but asks whoever leads next.
func TestHaltWhileLeaderPartitioned(t *testing.T) {
	t.Parallel()
	fleet := newCluster(t, threeSenders())
	leader := awaitLeader(t, fleet)
	plan := &rollout.Plan{Kind: rollout.Drain, Stages: [][]string{fleet.Names}}
	id, err := fleet.Order(leader, rollout.Command{Verb: rollout.Start, New: plan})
	must(t, err)
	awaitView(t, fleet, 20*time.Second, "one is out", func(v agent.View) bool { return len(v.State.Grants) == 1 })
	isolateAgents(fleet, fleet.AgentNames()[leader:leader+1])
	orderedAt := time.Now()
	_, err = fleet.Order(otherAgents(fleet, leader)[0], rollout.Command{Verb: rollout.Halt, Plan: id})
	if took := time.Since(orderedAt); err != nil || took > 10*time.Second {
		t.Errorf("halted after %v: %v", took, err)
	}
	fleet.Net.Heal()
	p, err := fleet.AwaitPlan(20*time.Second, id, rollout.Halted)
	must(t, err)
	_, err = fleet.Order(awaitLeader(t, fleet), rollout.Command{Verb: rollout.Activate, Plan: p.ID})
	must(t, err)
	_, err = fleet.AwaitPlan(30*time.Second, id, rollout.Done)
	must(t, err)
	checkRules(t, fleet)
}

// TestLeaderFaultDuringRelease has the leader fail in a release: as the first sender changes, while the gate waits, and
// as the last ones change. All senders run the new version in the end, whatever half-done change an agent left.
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
				awaitView(t, fleet, 60*time.Second, "the next step", func(v agent.View) bool {
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

// resumeUntilDone resumes a plan each time that it halts, three times at most.
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

// TestMinorityPartition splits the agents two to one and three to two: asked in the minority for a drain, nothing is
// changed and the answer says so; in the majority it is done, for senders that it reaches. Drained senders of the
// minority come back by themselves.
func TestMinorityPartition(t *testing.T) {
	for _, c := range []struct{ agents, minority int }{{3, 1}, {5, 2}} {
		t.Run(fmt.Sprintf("%d of %d", c.minority, c.agents), func(t *testing.T) {
			t.Parallel()
			fleet := newCluster(t, cluster.Setup{
				Senders: 10, Agents: c.agents, Rate: 20, Terms: shortLeaseTerms(rollout.Budget{Fleet: 6}),
			})
			id := planNumber(t, fleetCommand(t, fleet, 0, "drain", "n0", "--reason", "r")) // of agent 0
			awaitView(t, fleet, 20*time.Second, "n0 is out", func(v agent.View) bool {
				p := v.State.Plan(id)
				return p != nil && p.Tasks["n0"].Step == rollout.Out
			})
			minority := fleet.AgentNames()[:c.minority]
			isolateAgents(fleet, minority)
			isolatedAt := time.Now()
			awaitView(t, fleet, 20*time.Second, "a leader in the majority", func(v agent.View) bool {
				return !slices.Contains(minority, v.Agent)
			})
			requireMinorityRejects(t, fleet)
			sender := "n" + strconv.Itoa(c.minority) // of the first agent in the majority
			out, code := fleet.RunCommand([]int{c.minority}, "drain", sender, "--for", "100ms", "--watch", "--reason", "r")
			if code != 0 {
				t.Errorf("in the majority: code %d: %s", code, out)
			}
			// Nobody renews n0's lease in the minority: it comes back within the lease and the clocks' error.
			for fleet.Poll.Now(0) == "away" && time.Since(isolatedAt) < 20*time.Second {
				time.Sleep(10 * time.Millisecond)
			}
			if d := time.Since(isolatedAt); d > 2*time.Second+fleet.Terms.Timing.Lease+fleet.Terms.Timing.Error+time.Second {
				t.Errorf("n0 was out for %v after its agent was isolated", d)
			}
			fleet.Net.Heal()
			awaitView(t, fleet, 20*time.Second, "n0 is seen serving", func(v agent.View) bool {
				return v.Observations["n0"].Serving
			})
			checkRules(t, fleet)
		})
	}
}

// requireMinorityRejects checks that agent 0 soon knows of no majority, and says so.
func requireMinorityRejects(t *testing.T, fleet *cluster.Cluster) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		out, code := fleet.RunCommand([]int{0}, "drain", "n5", "--reason", "r")
		if code == exitNoMajority && strings.Contains(out, "majority") {
			break
		}
		if time.Now().After(deadline) {
			t.Fatalf("asked in the minority: code %d: %s", code, out)
		}
	}
	if out, code := fleet.RunCommand([]int{0}, "list"); code != 0 || !strings.Contains(out, "reaches no majority") {
		t.Errorf("list in the minority: code %d: %s", code, out)
	}
}

// TestAgentFolderLost wipes the folder of an agent: it becomes a new member, its senders go on, and drains of them go
// on once it is back. The member that was lost can't vote twice.
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
	awaitView(t, fleet, 30*time.Second, "it is a new member", func(v agent.View) bool {
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

// TestAgentDiskFull fills the disk of an agent: first of a follower, then of the leader. The others go on, none of the
// faulty one's senders goes out while it can't write what was agreed on, and once there is space it has all that it
// missed.
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
		for _, i := range healthy { // agent i watches sender i
			drainUntilLed(t, fleet, healthy, fmt.Sprint("n", i))
		}
		if fleet.AgentPid(faulty) == 0 {
			t.Errorf("leads %t: the agent has ended", leaderFails)
		}
		out, _ := fleet.RunCommand(healthy, "drain", fmt.Sprint("n", faulty), "--for", "100ms", "--reason", "r")
		id := planNumber(t, out)
		time.Sleep(2 * time.Second)
		if now := fleet.Poll.Now(faulty); now != "serves" {
			t.Errorf("leads %t: the faulty one's sender %s", leaderFails, now)
		}
		setDiskSpace(t, fleet, faulty, true)
		p, err := fleet.AwaitPlan(40*time.Second, id, rollout.Done, rollout.Halted)
		must(t, err)
		if p.Phase == rollout.Halted { // a grant that was not used in time
			resumePlan(t, fleet, id)
			_, err = fleet.AwaitPlan(40*time.Second, id, rollout.Done)
			must(t, err)
		}
		// It has opened its folder again and again: it has applied nothing twice.
		v, err := fleet.View(faulty, true)
		must(t, err)
		for i, e := range v.State.Events[1:] {
			if e.Index <= v.State.Events[i].Index {
				t.Fatalf("leads %t: entry %d comes after %d in its events", leaderFails, e.Index, v.State.Events[i].Index)
			}
		}
	}
	checkRules(t, fleet)
}

// setDiskSpace bounds the size of the files that an agent writes, so that writes fail as on a full disk, or ends that.
func setDiskSpace(t *testing.T, fleet *cluster.Cluster, i int, available bool) {
	t.Helper()
	limit := unix.Rlimit{Cur: 1, Max: unix.RLIM_INFINITY}
	if available {
		limit.Cur = unix.RLIM_INFINITY
	}
	must(t, unix.Prlimit(fleet.AgentPid(i), unix.RLIMIT_FSIZE, &limit, nil))
}

// failLeaderOnWrite has a leader without disk space write an entry, with which it fails, and ends what came of the
// entry.
func failLeaderOnWrite(t *testing.T, fleet *cluster.Cluster, leader int) {
	t.Helper()
	fleet.RunCommand([]int{leader}, "drain", "n0", "--reason", "whether this is done is not known")
	awaitOtherLeader(t, fleet, 30*time.Second, leader)
	if v, err := fleet.View(awaitLeader(t, fleet), true); err == nil {
		for _, p := range v.State.Plans {
			if p.Phase.Open() {
				command := rollout.Command{Verb: rollout.Activate, Plan: p.ID, Senders: []string{"n0"}}
				fleet.Order(awaitLeader(t, fleet), command)
			}
		}
	}
	awaitView(t, fleet, 30*time.Second, "no plan is open", func(v agent.View) bool {
		return !slices.ContainsFunc(v.State.Plans, func(p *rollout.Plan) bool { return p.Phase.Open() })
	})
}

// drainUntilLed drains a sender by some agents, and waits while none of them leads.
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
			t.Fatalf("%s: code %d: %s\n%s\n%s", sender, code, out, list, events)
		}
	}
}
