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

// agentFault is what befalls an agent, and how it ends.
type agentFault struct {
	name    string
	inject  func(t *testing.T, y *cluster.Cluster, i int)
	recover func(t *testing.T, y *cluster.Cluster, i int)
}

var agentFaults = []agentFault{
	{"killed", func(_ *testing.T, y *cluster.Cluster, i int) { y.SignalAgent(i, syscall.SIGKILL) },
		func(t *testing.T, y *cluster.Cluster, i int) { must(t, y.StartAgent(i)) }},
	{"cut off", func(_ *testing.T, y *cluster.Cluster, i int) {
		y.Net.Partition([]string{y.AgentNames()[i]}, y.AgentNames(), netfault.State{Silent: true})
	}, func(_ *testing.T, y *cluster.Cluster, _ int) { y.Net.Heal() }},
	{"stopped", func(_ *testing.T, y *cluster.Cluster, i int) { y.SignalAgent(i, syscall.SIGSTOP) },
		func(_ *testing.T, y *cluster.Cluster, i int) { y.SignalAgent(i, syscall.SIGCONT) }},
	{"heard by nobody", func(_ *testing.T, y *cluster.Cluster, i int) { muteOneWay(y, i, true) }, func(_ *testing.T, y *cluster.Cluster, _ int) { y.Net.Heal() }},
	{"hears nobody", func(_ *testing.T, y *cluster.Cluster, i int) { muteOneWay(y, i, false) }, func(_ *testing.T, y *cluster.Cluster, _ int) { y.Net.Heal() }},
}

// muteOneWay silences what an agent says to the others, or what they say to it.
func muteOneWay(fleet *cluster.Cluster, i int, out bool) {
	names := fleet.AgentNames()
	for _, k := range otherAgents(fleet, i) {
		if out {
			fleet.Net.Set(names[i], names[k], netfault.State{Silent: true})
		} else {
			fleet.Net.Set(names[k], names[i], netfault.State{Silent: true})
		}
	}
}

// agentFaultTime is how long an agent is struck: longer than a lease and than the others take to agree on a new leader.
var agentFaultTime = flag.Duration("strike", 4500*time.Millisecond, "how long an agent is struck")

// The leader is killed, cut off, stopped, deaf or mute at each step of a drain. Each drain comes to its end all the same, and never is
// one sender too many out.
func TestLeaderFaultDuringDrain(t *testing.T) {
	for _, k := range agentFaults {
		t.Run(k.name, func(t *testing.T) {
			t.Parallel()
			fleet := newCluster(t, cluster.Setup{Senders: 3, Agents: 3, Rate: 20, Terms: quickTerms(rollout.Budget{Fleet: 1})})
			for _, step := range []rollout.Step{rollout.Waiting, rollout.Granted, rollout.Out, rollout.Returning} {
				first := awaitLeader(t, fleet)
				id, err := fleet.Order(first, rollout.Command{Verb: rollout.Start, New: &rollout.Plan{
					Kind: rollout.Drain, Stages: [][]string{fleet.Names}, Hold: 200 * time.Millisecond,
				}})
				must(t, err)
				must(t, fleet.Await(20*time.Second, fmt.Sprintf("a sender is %s", step), func(v agent.View) bool {
					p := v.State.Plan(id)
					if p == nil {
						return false
					}
					for _, x := range p.Tasks {
						if x.Step == step {
							return true
						}
					}
					return p.Phase == rollout.Done // the step was passed between two looks
				}))
				k.inject(t, fleet, first)
				faultAt := time.Now()
				// The others go on with what does not need its senders.
				must(t, fleet.Await(20*time.Second, "another agent leads", func(v agent.View) bool { return v.Agent != fleet.AgentNames()[first] }))
				time.Sleep(time.Until(faultAt.Add(*agentFaultTime)))
				k.recover(t, fleet, first)
				if p, err := fleet.AwaitPlan(60*time.Second, id, rollout.Done, rollout.Halted); err != nil {
					t.Fatal(err)
				} else if p.Phase == rollout.Halted { // a sender that nobody minded did not take its grants up in time
					_, err := fleet.Order(awaitLeader(t, fleet), rollout.Command{Verb: rollout.Resume, Plan: id, Revision: p.Revision})
					must(t, err)
					_, err = fleet.AwaitPlan(60*time.Second, id, rollout.Done)
					must(t, err)
				}
			}
			if r := checkRules(t, fleet); r.Orders < 10 {
				t.Errorf("%d senders went out by order, 12 should have", r.Orders)
			}
		})
	}
}

// The leader is cut off, silently, as staff ask another agent for a halt: it does not wait for the one that can't answer, but asks
// whoever leads next.
func TestHaltWhileLeaderPartitioned(t *testing.T) {
	t.Parallel()
	fleet := newCluster(t, cluster.Setup{Senders: 3, Agents: 3, Rate: 20, Terms: quickTerms(rollout.Budget{Fleet: 1})})
	first := awaitLeader(t, fleet)
	id, err := fleet.Order(first, rollout.Command{Verb: rollout.Start, New: &rollout.Plan{Kind: rollout.Drain, Stages: [][]string{fleet.Names}}})
	must(t, err)
	must(t, fleet.Await(20*time.Second, "one is out", func(v agent.View) bool { return len(v.State.Grants) == 1 }))
	fleet.Net.Partition(fleet.AgentNames()[first:first+1], fleet.AgentNames(), netfault.State{Silent: true})
	began := time.Now()
	_, err = fleet.Order(otherAgents(fleet, first)[0], rollout.Command{Verb: rollout.Halt, Plan: id})
	if took := time.Since(began); err != nil || took > 10*time.Second {
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

// The leader is struck in a release: as the first sender changes, while the gate looks, and as the last ones change. All
// senders run the new version in the end, whatever half-done change an agent left.
func TestLeaderFaultDuringRelease(t *testing.T) {
	for _, k := range agentFaults {
		t.Run(k.name, func(t *testing.T) {
			t.Parallel()
			fleet := newCluster(t, cluster.Setup{Senders: 4, Agents: 3, Rate: 80, Terms: quickTerms(rollout.Budget{Fleet: 2})})
			program, ran := writeVersion(t, "v2", "")
			out := fleetCommand(t, fleet, 0, gatedRelease("v2", program)...)
			id := planNumber(t, out)
			for _, at := range []func(p *rollout.Plan) bool{
				func(p *rollout.Plan) bool { return p.Tasks[p.Stages[0][0]].Step != rollout.Waiting },
				func(p *rollout.Plan) bool { return p.Tasks[p.Stages[0][0]].Step == rollout.Finished },
				func(p *rollout.Plan) bool { return p.Stage >= 1 },
			} {
				must(t, fleet.Await(60*time.Second, "the next step", func(v agent.View) bool {
					p := v.State.Plan(id)
					return p != nil && (at(p) || !p.Phase.Open() || p.Phase == rollout.Halted)
				}))
				first := awaitLeader(t, fleet)
				k.inject(t, fleet, first)
				time.Sleep(*agentFaultTime)
				k.recover(t, fleet, first)
				resumePlan(t, fleet, id)
			}
			for attempts := 0; ; attempts++ {
				p, err := fleet.AwaitPlan(60*time.Second, id, rollout.Done, rollout.Halted)
				if attempts > 3 {
					out, _ := fleet.RunCommand(nil, "events")
					t.Fatal(out)
				}
				must(t, err)
				if p.Phase == rollout.Done {
					break
				}
				resumePlan(t, fleet, id)
			}
			if ran() != 4 {
				t.Errorf("%d senders ran it", ran())
			}
			checkRules(t, fleet)
		})
	}
}

// Agents split two to one and three to two: asked on the smaller side for a drain, nothing is changed and it says so; on
// the larger it is done, for senders that it reaches. Drained senders of the smaller side come back by themselves.
func TestMinorityPartition(t *testing.T) {
	for _, c := range []struct{ agents, small int }{{3, 1}, {5, 2}} {
		t.Run(fmt.Sprintf("%d of %d", c.small, c.agents), func(t *testing.T) {
			t.Parallel()
			fleet := newCluster(t, cluster.Setup{Senders: 10, Agents: c.agents, Rate: 20, Terms: quickTerms(rollout.Budget{Fleet: 6})})
			id := planNumber(t, fleetCommand(t, fleet, 0, "drain", "n0", "--reason", "r")) // of agent 0
			must(t, fleet.Await(20*time.Second, "n0 is out", func(v agent.View) bool {
				p := v.State.Plan(id)
				return p != nil && p.Tasks["n0"].Step == rollout.Out
			}))
			small := fleet.AgentNames()[:c.small]
			fleet.Net.Partition(small, fleet.AgentNames(), netfault.State{Silent: true})
			cut := time.Now()
			rest := c.small
			must(t, fleet.Await(20*time.Second, "a leader on the larger side", func(v agent.View) bool { return !slices.Contains(small, v.Agent) }))
			for deadline := time.Now().Add(10 * time.Second); ; time.Sleep(50 * time.Millisecond) {
				out, code := fleet.RunCommand([]int{0}, "drain", "n5", "--reason", "r")
				if code == exitNoMajority && strings.Contains(out, "majority") {
					break
				}
				if time.Now().After(deadline) {
					t.Fatalf("asked on the smaller side: code %d: %s", code, out)
				}
			}
			if out, code := fleet.RunCommand([]int{0}, "list"); code != 0 || !strings.Contains(out, "reaches no majority") {
				t.Errorf("list on the smaller side: code %d: %s", code, out)
			}
			out, code := fleet.RunCommand([]int{rest}, "drain", "n"+strconv.Itoa(rest), "--for", "100ms", "--watch", "--reason", "r")
			if code != 0 {
				t.Errorf("on the larger side: code %d: %s", code, out)
			}
			// Nobody renews n0's lease on the smaller side: it comes back within the lease and the clocks' error.
			for fleet.Poll.Now(0) == "away" && time.Since(cut) < 20*time.Second {
				time.Sleep(10 * time.Millisecond)
			}
			if d := time.Since(cut); d > 2*time.Second+fleet.Terms.Timing.Lease+fleet.Terms.Timing.Error+time.Second {
				t.Errorf("n0 was out for %v after its agent was cut off", d)
			}
			fleet.Net.Heal()
			must(t, fleet.Await(20*time.Second, "n0 is seen serving", func(v agent.View) bool { return v.Observations["n0"].Serving }))
			checkRules(t, fleet)
		})
	}
}

// An agent's folder is lost, and then its disk is full: it is taken in anew, its senders go on, and drains of them go on
// once it is back. The agent that was lost can't vote twice.
func TestAgentFolderLost(t *testing.T) {
	t.Parallel()
	fleet := newCluster(t, cluster.Setup{Senders: 3, Agents: 3, Rate: 20, Terms: quickTerms(rollout.Budget{Fleet: 1})})
	v, err := fleet.View(2, true)
	must(t, err)
	old := v.Quorum.Member.Number
	pids := []int{fleet.Pid(0), fleet.Pid(1), fleet.Pid(2)}
	fleet.SignalAgent(2, syscall.SIGKILL)
	must(t, fleet.WipeAgent(2))
	must(t, fleet.StartAgent(2))
	must(t, fleet.Await(30*time.Second, "it has a seat of its own", func(v agent.View) bool {
		_, is := v.Quorum.Members[old]
		return !is && len(v.Quorum.Members) == 3 && v.Observations["n2"].Serving
	}))
	fleetCommand(t, fleet, 0, "drain", "n2", "--for", "100ms", "--watch", "--reason", "r")
	for i, pid := range pids {
		if now := fleet.Pid(i); now != pid {
			t.Errorf("n%d was restarted: process %d, was %d", i, now, pid)
		}
	}
	checkRules(t, fleet)
}

// The disk of an agent is full: first of one that follows, then of the leader. The others go on, nobody of the struck one's
// goes out while it can't write down what was agreed on, and once there is room it has all that it missed.
func TestAgentDiskFull(t *testing.T) {
	t.Parallel()
	fleet := newCluster(t, cluster.Setup{Senders: 3, Agents: 3, Rate: 20, Terms: quickTerms(rollout.Budget{Fleet: 1})})
	setDiskSpace := func(i int, some bool) { // the files of its process can't grow: writes fail as on a full disk
		limit := unix.Rlimit{Cur: 1, Max: unix.RLIM_INFINITY}
		if some {
			limit.Cur = unix.RLIM_INFINITY
		}
		must(t, unix.Prlimit(fleet.AgentPid(i), unix.RLIMIT_FSIZE, &limit, nil))
	}
	for _, leads := range []bool{false, true} {
		first := awaitLeader(t, fleet)
		faulty := first
		if !leads {
			faulty = otherAgents(fleet, first)[0]
		}
		rest := otherAgents(fleet, faulty)
		setDiskSpace(faulty, false)
		if leads { // it fails with the first entry that it can't write
			fleet.RunCommand([]int{faulty}, "drain", "n0", "--reason", "whether this is done is not known")
			must(t, fleet.Await(30*time.Second, "another agent leads", func(v agent.View) bool { return v.Agent != fleet.AgentNames()[faulty] }))
			if v, err := fleet.View(awaitLeader(t, fleet), true); err == nil {
				for _, p := range v.State.Plans {
					if p.Phase.Open() {
						fleet.Order(awaitLeader(t, fleet), rollout.Command{Verb: rollout.Activate, Plan: p.ID, Senders: []string{"n0"}})
					}
				}
			}
			must(t, fleet.Await(30*time.Second, "nothing is left of it", func(v agent.View) bool {
				return !slices.ContainsFunc(v.State.Plans, func(p *rollout.Plan) bool { return p.Phase.Open() })
			}))
		}
		for _, i := range rest { // sender i is minded by agent i
			var out string
			for until := time.Now().Add(30 * time.Second); ; time.Sleep(100 * time.Millisecond) {
				var code int
				if out, code = fleet.RunCommand(rest, "drain", fmt.Sprint("n", i), "--for", "100ms", "--watch", "--reason", "r"); code == 0 {
					break
				}
				if code != exitNoMajority || time.Now().After(until) { // until another one leads
					a, _ := fleet.RunCommand(rest, "list")
					b, _ := fleet.RunCommand(rest, "events")
					t.Fatalf("leads %t: n%d: code %d: %s\n%s\n%s", leads, i, code, out, a, b)
				}
			}
		}
		if fleet.AgentPid(faulty) == 0 {
			t.Errorf("leads %t: the agent has ended", leads)
		}
		out, _ := fleet.RunCommand(rest, "drain", fmt.Sprint("n", faulty), "--for", "100ms", "--reason", "r")
		id := planNumber(t, out)
		time.Sleep(2 * time.Second)
		if now := fleet.Poll.Now(faulty); now != "serves" {
			t.Errorf("leads %t: the struck one's sender %s", leads, now)
		}
		setDiskSpace(faulty, true)
		p, err := fleet.AwaitPlan(40*time.Second, id, rollout.Done, rollout.Halted)
		must(t, err)
		if p.Phase == rollout.Halted { // a grant that nobody took up in time
			resumePlan(t, fleet, id)
			_, err = fleet.AwaitPlan(40*time.Second, id, rollout.Done)
			must(t, err)
		}
		// It has opened its folder again and again: nothing was applied twice by it.
		v, err := fleet.View(faulty, true)
		must(t, err)
		for i, e := range v.State.Events[1:] {
			if e.Index <= v.State.Events[i].Index {
				t.Fatalf("leads %t: entry %d comes after %d in its events", leads, e.Index, v.State.Events[i].Index)
			}
		}
	}
	checkRules(t, fleet)
}
