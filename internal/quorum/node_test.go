package quorum

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
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

// tape is a machine that keeps what it is given.
type tape struct {
	mu   sync.Mutex
	List []string
	news chan struct{}
}

func newTape() *tape { return &tape{news: make(chan struct{})} }

func (t *tape) Apply(_ uint64, data []byte) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.List = append(t.List, string(data))
	close(t.news)
	t.news = make(chan struct{})
}

func (t *tape) Snapshot() ([]byte, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return json.Marshal(t.List)
}

func (t *tape) Restore(_ uint64, data []byte) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.List = nil
	return json.Unmarshal(data, &t.List)
}

func (t *tape) all() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Clone(t.List)
}

// has waits until something was applied; false: not in time.
func (t *tape) has(text string, span time.Duration) bool {
	timer := time.NewTimer(span)
	defer timer.Stop()
	for {
		t.mu.Lock()
		in, news := slices.Contains(t.List, text), t.news
		t.mu.Unlock()
		if in {
			return true
		}
		select {
		case <-news:
		case <-timer.C:
			return false
		}
	}
}

// A seatHolder is one agent under test, with its folder and its address.
type seatHolder struct {
	name, dir string
	peers     map[string]string
	sock      net.Listener
	tape      *tape
	node      *Node
	server    *http.Server
	stop      context.CancelFunc
	done      chan error
}

// table is some agents, and the links between them.
type table struct {
	t       *testing.T
	net     *netfault.Net
	holders []*seatHolder
	names   []string
}

func newTable(t *testing.T, n int) *table {
	t.Helper()
	x := &table{t: t, net: netfault.New(1)}
	t.Cleanup(func() {
		for _, h := range x.holders {
			h.halt()
			h.sock.Close()
		}
		x.net.Close()
	})
	for i := range n {
		sock, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		x.names = append(x.names, fmt.Sprint("a", i))
		x.holders = append(x.holders, &seatHolder{name: x.names[i], dir: t.TempDir(), sock: sock, peers: map[string]string{}})
	}
	for _, a := range x.holders {
		for _, b := range x.holders {
			addr := b.sock.Addr().String()
			if a != b {
				var err error
				if addr, err = x.net.TCP(a.name, b.name, "127.0.0.1", addr); err != nil {
					t.Fatal(err)
				}
			}
			a.peers[b.name] = addr
		}
		if err := Bootstrap(store.Dir(a.dir), a.name, x.names); err != nil {
			t.Fatal(err)
		}
	}
	for _, h := range x.holders {
		x.begin(h)
	}
	return x
}

func (x *table) begin(h *seatHolder) {
	x.t.Helper()
	h.tape = newTape()
	node, err := Open(Config{Name: h.name, FS: store.Dir(h.dir), Peers: h.peers, Machine: h.tape, Log: slog.New(slog.DiscardHandler)})
	if err != nil {
		x.t.Fatal(err)
	}
	var ctx context.Context
	ctx, h.stop = context.WithCancel(context.Background())
	h.node, h.done = node, make(chan error, 1)
	go func() { h.done <- node.Run(ctx) }()
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+Path, node.Receive)
	h.server = &http.Server{Handler: mux}
	sock, err := h.sock.(*net.TCPListener).File()
	if err != nil {
		x.t.Fatal(err)
	}
	defer sock.Close()
	l, err := net.FileListener(sock)
	if err != nil {
		x.t.Fatal(err)
	}
	go h.server.Serve(l)
}

func (h *seatHolder) halt() error {
	if h.stop == nil {
		return nil
	}
	h.stop()
	h.stop = nil
	h.server.Close()
	return <-h.done
}

// put proposes until it is applied at its proposer, or until a time.
func (x *table) put(h *seatHolder, text string, span time.Duration) bool {
	for until := time.Now().Add(span); time.Now().Before(until); {
		if h.node.Propose(x.t.Context(), []byte(text)) == nil && h.tape.has(text, time.Second) {
			return true
		}
		time.Sleep(10 * time.Millisecond)
	}
	return false
}

func (x *table) leader(among ...int) *seatHolder {
	x.t.Helper()
	for until := time.Now().Add(20 * time.Second); time.Now().Before(until); time.Sleep(5 * time.Millisecond) {
		for _, i := range among {
			if s := x.holders[i].node.Status(); s.Leads {
				return x.holders[i]
			}
		}
	}
	x.t.Fatal("nobody leads")
	return nil
}

// The smaller side of a split agrees on nothing, the larger goes on, and all have the same log once it is over. Three to
// two, two to one, and ways that are silent in one direction only.
func TestSplits(t *testing.T) {
	for _, c := range []struct {
		agents int
		small  []string
		oneWay bool
	}{{3, []string{"a0"}, false}, {5, []string{"a0", "a3"}, false}, {3, []string{"a0"}, true}} {
		t.Run(fmt.Sprintf("%d agents, %v, one way %t", c.agents, c.small, c.oneWay), func(t *testing.T) {
			t.Parallel()
			x := newTable(t, c.agents)
			if !x.put(x.holders[0], "before", 20*time.Second) {
				t.Fatal("nothing can be agreed on")
			}
			if c.oneWay { // it hears the others, and nobody hears it
				for _, other := range x.names[1:] {
					x.net.Set("a0", other, netfault.State{Silent: true})
				}
			} else {
				x.net.Partition(c.small, x.names, netfault.State{Cut: true})
			}
			if !x.put(x.holders[1], "larger", 20*time.Second) {
				t.Errorf("%v: the larger side agrees on nothing", c)
			}
			if x.put(x.holders[0], "smaller", 3*time.Second) {
				t.Errorf("%v: the smaller side agrees on something", c)
			}
			if !c.oneWay {
				if err := x.holders[0].node.Propose(t.Context(), []byte("x")); !errors.Is(err, ErrNoMajority) {
					t.Errorf("%v: asked on the smaller side: %v", c, err)
				}
			}
			x.net.Heal()
			if !x.put(x.holders[0], "after", 20*time.Second) {
				t.Errorf("%v: nothing is agreed on after it", c)
			}
			for _, h := range x.holders {
				if !h.tape.has("after", 20*time.Second) {
					t.Errorf("%v: %s lacks the end", c, h.name)
				}
			}
			// What was proposed again, as its answer was late, may still be on its way to some.
			same := func(h *seatHolder) bool { return slices.Equal(h.tape.all(), x.holders[0].tape.all()) }
			for _, h := range x.holders[1:] {
				for until := time.Now().Add(20 * time.Second); !same(h) && time.Now().Before(until); {
					time.Sleep(5 * time.Millisecond)
				}
				if !same(h) {
					t.Errorf("%v: %v, %v", c, h.tape.all(), x.holders[0].tape.all())
				}
			}
		})
	}
}

// A folder is lost: the agent is taken in anew in its old place, by a snapshot, and the old seat's vote is gone. A
// majority holds even while another one is down.
func TestReplaced(t *testing.T) {
	t.Parallel()
	x := newTable(t, 3)
	lost := x.holders[2]
	for i := range snapshotEvery + 100 {
		if i%100 == 0 && !x.put(x.holders[0], fmt.Sprint("e", i), 20*time.Second) {
			t.Fatal("nothing can be agreed on")
		}
		x.holders[0].node.Propose(t.Context(), []byte(fmt.Sprint("f", i)))
	}
	old := lost.node.Status().Member
	lost.halt()
	lost.dir = t.TempDir()
	x.begin(lost)
	seat := lost.node.Status().Member
	if seat.Number == old.Number || lost.node.Status().Voter {
		t.Fatalf("%+v, %+v", seat, old)
	}
	for until := time.Now().Add(20 * time.Second); !lost.node.Status().Voter && time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		x.leader(0, 1).node.AddMember(t.Context(), seat)
	}
	if s := lost.node.Status(); !s.Voter || len(s.Members) != 3 || s.Members[old.Number] != "" {
		t.Fatalf("%+v", s)
	}
	x.holders[0].halt()
	if !x.put(x.holders[1], "two of three", 20*time.Second) || !lost.tape.has("two of three", 20*time.Second) {
		t.Error("nothing can be agreed on with the new seat")
	}
	if got := lost.tape.all(); !slices.Contains(got, "e0") || len(got) < snapshotEvery {
		t.Errorf("%d entries came with the snapshot", len(got))
	}
	lost.halt()
	if err := Bootstrap(store.Dir(lost.dir), lost.name, x.names); !errors.Is(err, ErrAlreadyBootstrapped) {
		t.Errorf("founded again: %v", err)
	}
}

// A node that replaces another counts as a voter only once raft needs no majority of the members before the change: until then
// a further failure would leave nobody who can agree on anything.
func TestVoterOnceReplacementIsComplete(t *testing.T) {
	node, err := Open(goldenConfig(store.Dir(golden.Folder(t, "folder")), newTape()))
	if err != nil {
		t.Fatal(err)
	}
	defer node.disk.close()
	self := node.disk.seat.Number
	for _, c := range []struct {
		conf *pb.ConfState
		want bool
	}{
		{&pb.ConfState{Voters: []uint64{1, 3, self}}, true},
		{&pb.ConfState{Voters: []uint64{1, 3, self}, VotersOutgoing: []uint64{1, 3, 5}}, false},
		{&pb.ConfState{Voters: []uint64{1, 3, 5}}, false},
	} {
		node.conf = c.conf
		node.publish()
		if got := node.Status().Voter; got != c.want {
			t.Errorf("%v: voter %t, want %t", c.conf, got, c.want)
		}
	}
}

// broken fails writes once told to.
type brokenDisk struct {
	store.FS
	full *bool
}

type brokenFile struct {
	store.File
	full *bool
}

var errFull = errors.New("no space left on device")

func (d brokenDisk) Create(name string) (store.File, error) {
	f, err := d.FS.Create(name)
	return brokenFile{f, d.full}, err
}

func (d brokenDisk) Open(name string) (store.File, error) {
	f, err := d.FS.Open(name)
	return brokenFile{f, d.full}, err
}

func (f brokenFile) WriteAt(b []byte, at int64) (int, error) {
	if *f.full {
		return 0, errFull
	}
	return f.File.WriteAt(b, at)
}

// A folder that can't be written ends the node before anything is promised, and what it has promised is there when it
// is opened again. A damaged one is not opened at all.
func TestFolder(t *testing.T) {
	dir := t.TempDir()
	if err := Bootstrap(store.Dir(dir), "a", []string{"a"}); err != nil {
		t.Fatal(err)
	}
	full := false
	open := func() (*Node, *tape, func() error) {
		m := newTape()
		n, err := Open(Config{Name: "a", FS: brokenDisk{store.Dir(dir), &full}, Peers: map[string]string{"a": ""}, Machine: m, Log: slog.New(slog.DiscardHandler)})
		if err != nil {
			t.Fatal(err)
		}
		ctx, stop := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- n.Run(ctx) }()
		return n, m, func() error { stop(); return <-done }
	}
	put := func(n *Node, m *tape, text string) bool {
		for until := time.Now().Add(20 * time.Second); time.Now().Before(until); time.Sleep(5 * time.Millisecond) {
			err := n.Propose(t.Context(), []byte(text))
			if err == nil {
				return m.has(text, 300*time.Millisecond)
			}
			if errors.Is(err, ErrStopped) {
				return false
			}
		}
		return false
	}
	n, m, stop := open()
	if !put(n, m, "one") {
		t.Fatal("one agent agrees with itself on nothing")
	}
	full = true
	if put(n, m, "two") {
		t.Error("agreed on what could not be written")
	}
	if err := stop(); !errors.Is(err, errFull) {
		t.Errorf("ended by %v", err)
	}
	full = false
	n, m, stop = open()
	if !put(n, m, "three") || slices.Contains(m.all(), "two") || !slices.Contains(m.all(), "one") {
		t.Errorf("%v", m.all())
	}
	if err := stop(); err != nil {
		t.Error(err)
	}
	if err := Bootstrap(store.Dir(dir), "a", []string{"a"}); !errors.Is(err, ErrAlreadyBootstrapped) {
		t.Errorf("founded twice: %v", err)
	}
	if _, err := Open(Config{Name: "b", FS: store.Dir(dir), Machine: newTape(), Log: slog.New(slog.DiscardHandler)}); err == nil {
		t.Error("another agent's folder was opened")
	}
	names, _ := store.Dir(dir).List()
	for _, name := range names {
		if f, err := store.Dir(dir).Open(name); err == nil && name != "lock" {
			f.WriteAt([]byte("xxxxxxxx"), 60)
			f.Close()
		}
	}
	if _, err := Open(Config{Name: "a", FS: store.Dir(dir), Machine: newTape(), Log: slog.New(slog.DiscardHandler)}); !errors.Is(err, ErrDamaged) {
		t.Errorf("a damaged folder: %v", err)
	}
}

// Leave for at most two at once, taken and given back by three agents at a time while links come and go: what each saw
// of its own orders must be explained by one order of all of them.
func TestLinearizable(t *testing.T) {
	t.Parallel()
	x := newTable(t, 3)
	type input struct {
		take bool
		who  string
	}
	const room = 2
	// The machine is the tape; whether an entry had room follows from all before it.
	granted := func(list []string, id string) (ok, found bool) {
		out := map[string]bool{}
		for _, e := range list {
			var take bool
			var who, by string
			fmt.Sscan(e, &take, &who, &by)
			had := out[who]
			fits := take && !had && len(out) < room
			if fits {
				out[who] = true
			}
			if !take {
				delete(out, who)
			}
			if by == id {
				return fits || !take && had, true
			}
		}
		return false, false
	}
	var mu sync.Mutex
	var history []porcupine.Operation
	begun := time.Now()
	ctx, stop := context.WithTimeout(t.Context(), 6*time.Second)
	defer stop()
	var wg sync.WaitGroup
	for i, h := range x.holders {
		wg.Go(func() {
			rng := rand.New(rand.NewPCG(1, uint64(i)))
			for k := 0; ctx.Err() == nil; k++ {
				in := input{rng.IntN(2) == 0, fmt.Sprint("n", rng.IntN(4))}
				id := fmt.Sprintf("%d-%d", i, k)
				text := fmt.Sprint(in.take, " ", in.who, " ", id)
				call := time.Since(begun)
				if h.node.Propose(ctx, []byte(text)) != nil {
					time.Sleep(5 * time.Millisecond)
					continue
				}
				op := porcupine.Operation{ClientId: i, Input: in, Call: int64(call), Output: nil, Return: int64(time.Hour)}
				if h.tape.has(text, 500*time.Millisecond) { // else nobody knows: it may take effect at any time later
					ok, _ := granted(h.tape.all(), id)
					op.Output, op.Return = ok, int64(time.Since(begun))
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
			x.net.Set(x.names[a], x.names[b], []netfault.State{{Cut: true}, {Silent: true}, {Delay: 20 * time.Millisecond, Jitter: 50 * time.Millisecond, Loss: 0.2}}[rng.IntN(3)])
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
			for _, who := range []string{"n0", "n1", "n2", "n3"} {
				if slices.Contains(strings.Fields(state.(string)), who) {
					list = append(list, who)
				}
			}
			i := in.(input)
			had := slices.Contains(list, i.who)
			ok := had
			if i.take {
				if ok = !had && len(list) < room; ok {
					list = append(list, i.who)
				}
			} else if had {
				list = slices.DeleteFunc(list, func(s string) bool { return s == i.who })
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
		t.Errorf("%v: %d orders, %d with a known end", got, len(history), known)
	}
}
