package quorum

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	pb "go.etcd.io/raft/v3/raftpb"
	"go.uber.org/goleak"

	"cleathold/internal/golden"
	"cleathold/internal/netfault"
	"cleathold/internal/store"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// TestNetworkPartitions checks that during a network partition the minority commits nothing and the majority makes
// progress, and that all agents have the same log afterwards. The cases are two agents to one, three to two, and
// messages lost in one direction only.
func TestNetworkPartitions(t *testing.T) {
	for _, c := range []struct {
		agents   int
		minority []string
		oneWay   bool
	}{{3, []string{"a0"}, false}, {5, []string{"a0", "a3"}, false}, {3, []string{"a0"}, true}} {
		t.Run(fmt.Sprintf("%d agents, %v, one way %t", c.agents, c.minority, c.oneWay), func(t *testing.T) {
			t.Parallel()
			x := newTestCluster(t, c.agents)
			if !x.propose(x.agents[0], "before", 20*time.Second) {
				t.Fatal("nothing can be committed")
			}
			if c.oneWay { // a0 receives messages of the others, but its own are lost
				for _, other := range x.names[1:] {
					x.net.Set("a0", other, netfault.State{Silent: true})
				}
			} else {
				x.net.Partition(c.minority, x.names, netfault.State{Cut: true})
			}
			if !x.propose(x.agents[1], "larger", 20*time.Second) {
				t.Errorf("%v: the majority commits nothing", c)
			}
			if x.propose(x.agents[0], "smaller", 3*time.Second) {
				t.Errorf("%v: the minority commits an entry", c)
			}
			if !c.oneWay {
				if err := x.agents[0].node.Propose(t.Context(), []byte("x")); !errors.Is(err, ErrNoMajority) {
					t.Errorf("%v: proposal at the minority: %v", c, err)
				}
			}
			x.net.Heal()
			if !x.propose(x.agents[0], "after", 20*time.Second) {
				t.Errorf("%v: nothing is committed after the partition", c)
			}
			for _, h := range x.agents {
				if !h.log.waitFor("after", 20*time.Second) {
					t.Errorf("%v: %s lacks the last entry", c, h.name)
				}
			}
			// Entries that were proposed again after a timeout may not have reached all agents yet.
			same := func(h *testAgent) bool { return slices.Equal(h.log.all(), x.agents[0].log.all()) }
			for _, h := range x.agents[1:] {
				for until := time.Now().Add(20 * time.Second); !same(h) && time.Now().Before(until); {
					time.Sleep(5 * time.Millisecond)
				}
				if !same(h) {
					t.Errorf("%v: %v, %v", c, h.log.all(), x.agents[0].log.all())
				}
			}
		})
	}
}

// TestMemberReplacement loses an agent's folder. The agent must be added again as a new member that receives a
// snapshot, and the old member must lose its vote, so that there is still a majority while another agent is down.
func TestMemberReplacement(t *testing.T) {
	t.Parallel()
	cluster := newTestCluster(t, 3)
	lost := cluster.agents[2]
	for i := range snapshotInterval + 100 {
		if i%100 == 0 && !cluster.propose(cluster.agents[0], fmt.Sprint("e", i), 20*time.Second) {
			t.Fatal("nothing can be committed")
		}
		cluster.agents[0].node.Propose(t.Context(), []byte(fmt.Sprint("f", i)))
	}
	old := lost.node.Status().Member
	lost.stop()
	lost.dir = t.TempDir()
	cluster.start(lost)
	member := lost.node.Status().Member
	if member.Number == old.Number || lost.node.Status().Voter {
		t.Fatalf("%+v, %+v", member, old)
	}
	until := time.Now().Add(20 * time.Second)
	for ; !lost.node.Status().Voter && time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		cluster.leader(0, 1).node.AddMember(t.Context(), member)
	}
	if s := lost.node.Status(); !s.Voter || len(s.Members) != 3 || s.Members[old.Number] != "" {
		t.Fatalf("%+v", s)
	}
	cluster.agents[0].stop()
	if !cluster.propose(cluster.agents[1], "two of three", 20*time.Second) ||
		!lost.log.waitFor("two of three", 20*time.Second) {
		t.Error("nothing can be committed with the new member")
	}
	if got := lost.log.all(); !slices.Contains(got, "e0") || len(got) < snapshotInterval {
		t.Errorf("%d entries came with the snapshot", len(got))
	}
	lost.stop()
	if err := Bootstrap(store.Dir(lost.dir), lost.name, cluster.names); !errors.Is(err, ErrAlreadyBootstrapped) {
		t.Errorf("second bootstrap: %v", err)
	}
}

// TestVoterOnceReplacementIsComplete checks that a node that replaces another counts as a voter only once raft no
// longer needs a majority of the former members as well: until then the failure of one more agent would leave no
// majority.
func TestVoterOnceReplacementIsComplete(t *testing.T) {
	node, err := Open(goldenConfig(store.Dir(golden.Folder(t, "folder")), newRecordingMachine()))
	if err != nil {
		t.Fatal(err)
	}
	defer node.storage.close()
	self := node.storage.member.Number
	for _, c := range []struct {
		conf *pb.ConfState
		want bool
	}{
		{&pb.ConfState{Voters: []uint64{1, 3, self}}, true},
		{&pb.ConfState{Voters: []uint64{1, 3, self}, VotersOutgoing: []uint64{1, 3, 5}}, false},
		{&pb.ConfState{Voters: []uint64{1, 3, 5}}, false},
	} {
		node.confState = c.conf
		node.publish()
		if got := node.Status().Voter; got != c.want {
			t.Errorf("%v: voter %t, want %t", c.conf, got, c.want)
		}
	}
}

// TestLinearizable has three agents concurrently acquire and release permits, of which at most two may be held at once,
// while links fail and recover. The results that each agent observes must be linearizable.
func TestLinearizable(t *testing.T) {
	t.Parallel()
	x := newTestCluster(t, 3)
	type input struct {
		take   bool
		sender string
	}
	const capacity = 2
	// The machine only records the entries. Whether an entry acquired a permit follows from the entries before it.
	granted := func(list []string, id string) (ok, found bool) {
		holders := map[string]bool{}
		for _, e := range list {
			var take bool
			var sender, operation string
			fmt.Sscan(e, &take, &sender, &operation)
			held := holders[sender]
			acquired := take && !held && len(holders) < capacity
			if acquired {
				holders[sender] = true
			}
			if !take {
				delete(holders, sender)
			}
			if operation == id {
				return acquired || !take && held, true
			}
		}
		return false, false
	}
	var mu sync.Mutex
	var history []porcupine.Operation
	started := time.Now()
	ctx, stop := context.WithTimeout(t.Context(), 6*time.Second)
	defer stop()
	var wg sync.WaitGroup
	for i, h := range x.agents {
		wg.Go(func() {
			rng := rand.New(rand.NewPCG(1, uint64(i)))
			for k := 0; ctx.Err() == nil; k++ {
				in := input{rng.IntN(2) == 0, fmt.Sprint("n", rng.IntN(4))}
				id := fmt.Sprintf("%d-%d", i, k)
				text := fmt.Sprint(in.take, " ", in.sender, " ", id)
				call := time.Since(started)
				if h.node.Propose(ctx, []byte(text)) != nil {
					time.Sleep(5 * time.Millisecond)
					continue
				}
				op := porcupine.Operation{ClientId: i, Input: in, Call: int64(call), Output: nil, Return: int64(time.Hour)}
				if h.log.waitFor(text, 500*time.Millisecond) { // else the result is unknown: it may take effect later
					ok, _ := granted(h.log.all(), id)
					op.Output, op.Return = ok, int64(time.Since(started))
				} else {
					op.ClientId = 1000 + len(history)
				}
				mu.Lock()
				history = append(history, op)
				mu.Unlock()
				time.Sleep(time.Duration(rng.IntN(20)) * time.Millisecond)
			}
		})
	}
	wg.Go(func() {
		rng := rand.New(rand.NewPCG(2, 2))
		for ctx.Err() == nil {
			a, b := rng.IntN(3), rng.IntN(3)
			x.net.Set(x.names[a], x.names[b], []netfault.State{{Cut: true}, {Silent: true},
				{Delay: 20 * time.Millisecond, Jitter: 50 * time.Millisecond, Loss: 0.2}}[rng.IntN(3)])
			time.Sleep(time.Duration(100+rng.IntN(600)) * time.Millisecond)
			x.net.Heal()
			time.Sleep(time.Duration(rng.IntN(600)) * time.Millisecond)
		}
	})
	wg.Wait()
	model := porcupine.Model{
		Init: func() any { return "" },
		Step: func(state, in, out any) (bool, any) {
			list := []string{}
			for _, sender := range []string{"n0", "n1", "n2", "n3"} {
				if slices.Contains(strings.Fields(state.(string)), sender) {
					list = append(list, sender)
				}
			}
			i := in.(input)
			held := slices.Contains(list, i.sender)
			ok := held
			if i.take {
				if ok = !held && len(list) < capacity; ok {
					list = append(list, i.sender)
				}
			} else if held {
				list = slices.DeleteFunc(list, func(s string) bool { return s == i.sender })
			}
			slices.Sort(list)
			next := fmt.Sprint(list)
			return out == nil || out.(bool) == ok, next[1 : len(next)-1]
		},
	}
	known := 0
	for _, op := range history {
		if op.Output != nil {
			known++
		}
	}
	if got := porcupine.CheckOperationsTimeout(model, history, 30*time.Second); got == porcupine.Illegal || known < 20 {
		t.Errorf("%v: %d operations, %d with a known result", got, len(history), known)
	}
}
