package main

import (
	"flag"
	"fmt"
	"net/http"
	"net/url"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"cleathold/internal/agent"
	"cleathold/internal/cluster"
	"cleathold/internal/netfault"
	"cleathold/internal/rollout"
)

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

// A release of configurations: taken over by SIGHUP without another process; one that a sender turns down halts it and
// leaves the old one in force; going back puts all back.
func TestConfigurationRelease(t *testing.T) {
	t.Parallel()
	fleet := newCluster(t, cluster.Setup{Senders: 4, Agents: 3, Rate: 80, Terms: quickTerms(rollout.Budget{Fleet: 2})})
	folder := func(change func(text string) string) string {
		dir := t.TempDir()
		for i, name := range fleet.Names {
			text, err := os.ReadFile(fleet.Config(i))
			must(t, err)
			must(t, os.WriteFile(filepath.Join(dir, name+".json"), []byte(change(string(text))), 0o600))
		}
		return dir
	}
	old, err := os.ReadFile(fleet.Config(1))
	must(t, err)
	pid := fleet.Pid(1)
	args := func(name, config string, more ...string) []string {
		return append([]string{"release", "--name", name, "--config", config, "--reason", "r", "--least", "25", "--soak", "1s", "--wait", "15s", "--watch"}, more...)
	}
	invalid := folder(func(text string) string { return strings.Replace(text, `"send-cap": 12`, `"send-cap": 0`, 1) })
	if out := fleetCommand(t, fleet, exitPlanStopped, args("c0", invalid, "--go-back")...); !strings.Contains(out, "not in force") {
		t.Error(out)
	}
	valid := folder(func(text string) string { return strings.Replace(text, `"send-cap": 12`, `"send-cap": 11`, 1) })
	out := fleetCommand(t, fleet, 0, args("c1", valid)...)
	id := planNumber(t, out)
	if text, _ := os.ReadFile(fleet.Config(1)); !strings.Contains(string(text), `"send-cap": 11`) || fleet.Pid(1) != pid {
		t.Error("the new configuration is not in place, or another process is")
	}
	if out := fleetCommand(t, fleet, exitRejected, "back", fmt.Sprint(id), "--reason", "r"); !strings.Contains(out, "is done") {
		t.Error(out)
	}
	back := folder(func(string) string { return string(old) })
	for i, name := range fleet.Names { // each has its own
		text, err := os.ReadFile(fleet.Config(i))
		must(t, err)
		must(t, os.WriteFile(filepath.Join(back, name+".json"), []byte(strings.Replace(string(text), `"send-cap": 11`, `"send-cap": 12`, 1)), 0o600))
	}
	fleetCommand(t, fleet, 0, args("c2", back)...)
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

// A release while all partners of a building are down for some seconds, while somebody sends SIGHUP to every sender again and
// again, and while calls of a drained sender hang: none of it is the new version's fault, and nothing is lost.
func TestReleaseDuringFaults(t *testing.T) {
	for name, c := range map[string]struct {
		script  string
		hup     bool
		restart bool
	}{
		"a building's partners are down": {script: `trouble(what = "DOWN", zone = "bldg-b", at = 1, seconds = 5)`},
		"SIGHUP by somebody else":        {hup: true},
		"calls hang":                     {script: `trouble(what = "SILENT", zone = "bldg-a", at = 1, seconds = 4)`},
		"calls hang, by restart":         {script: `trouble(what = "SILENT", zone = "bldg-a", at = 1, seconds = 4)`, restart: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			fleet := newCluster(t, cluster.Setup{Senders: 4, Agents: 3, Rate: 80, Terms: quickTerms(rollout.Budget{Fleet: 1}), Script: c.script + "\n", Restart: c.restart})
			program, ran := writeVersion(t, "v2", "")
			id := planNumber(t, fleetCommand(t, fleet, 0, gatedRelease("v2", program)...))
			over := make(chan struct{})
			var wg sync.WaitGroup
			if c.hup {
				wg.Go(func() {
					for i := 0; ; i++ {
						select {
						case <-over:
							return
						case <-time.After(100 * time.Millisecond):
							if pid := fleet.Pid(i % 4); pid > 0 { // one that starts has not caught the signal yet
								syscall.Kill(pid, syscall.SIGHUP)
							}
						}
					}
				})
			}
			p, err := fleet.AwaitPlan(60*time.Second, id, rollout.Done, rollout.Halted)
			close(over)
			wg.Wait()
			must(t, err)
			if p.Phase != rollout.Done || ran() != 4 {
				t.Errorf("%s: %s; %d senders ran it", p.Phase, p.Why, ran())
			}
			checkRules(t, fleet)
		})
	}
}
