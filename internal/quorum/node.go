// Package quorum is how a few agents agree on one log: raft (go.etcd.io/raft), its log and votes in a store of the
// project's, its messages over HTTP. What the log says is nobody's business here.
package quorum

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"cleathold/internal/store"
)

// Times of raft in ticks: an agent that hears no leader for one to two seconds asks for votes.
const (
	Tick          = 100 * time.Millisecond
	heartbeat     = 1
	election      = 10
	snapshotEvery = 1000 // entries
	keepEntries   = 200
	bodyMost      = 8 << 20
)

// Machine is what the log is applied to, in order, by the node's goroutine alone.
type Machine interface {
	Apply(index uint64, data []byte)
	Snapshot() ([]byte, error) // all that was applied
	Restore(index uint64, image []byte) error
}

// Config of a node.
type Config struct {
	Name    string
	FS      store.FS
	Peers   map[string]string // addresses of the agents by name, this one's too
	Machine Machine
	Log     *slog.Logger
}

// image is what a snapshot holds.
type image struct {
	Seats   map[uint64]string `json:"seats"`
	Machine json.RawMessage   `json:"machine,omitempty"`
}

// Status of a node, as of its last round.
type Status struct {
	Member  Member            `json:"seat"`
	Leader  string            `json:"leader"` // empty: none is known, and nothing new can be agreed on
	Leads   bool              `json:"leads"`
	Term    uint64            `json:"term"`
	Applied uint64            `json:"applied"`
	Voter   bool              `json:"voter"`
	Members map[uint64]string `json:"seats"`
	Disk    int64             `json:"disk_bytes"`
	Sent    int64             `json:"sent_bytes"`
	Calls   int64             `json:"calls"`
}

// Node is one agent's part in the agreement.
type Node struct {
	cfg   Config
	disk  *disk
	raw   *raft.RawNode
	conf  *pb.ConfState
	seats map[uint64]string
	in    chan letter
	met   map[uint64]string // names of seats that have written, for one that has not been told of the seats yet
	asks  chan ask
	gone  chan report
	posts map[string]*post

	applied uint64
	snapped uint64
	moved   bool // the seats have changed since the latest snapshot
	status  atomic.Pointer[Status]
	ended   chan struct{}
}

type ask struct {
	data []byte
	seat *Member // to be taken in
	done chan error
}

// letter is a message, and the name of the agent that sent it.
type letter struct {
	*pb.Message
	by string
}

const metMost = 64

// report tells raft that messages to a seat did not arrive.
type report struct {
	to   uint64
	snap bool
	ok   bool
}

// Errors of a node.
var (
	ErrNoMajority = errors.New("no majority of agents can be reached: nothing new can be agreed on")
	ErrStopped    = errors.New("quorum: stopped")
	ErrReplaced   = errors.New("quorum: another agent has taken this one's seat; give it an empty folder to be taken in anew")
)

// Open reads the folder, and the state that it holds into the machine.
func Open(c Config) (*Node, error) {
	d, err := openDisk(c.FS, c.Name, c.Log)
	if err != nil {
		return nil, err
	}
	n := &Node{
		cfg: c, disk: d, seats: map[uint64]string{}, in: make(chan letter, 512), met: map[uint64]string{}, asks: make(chan ask, 64), gone: make(chan report, 64),
		posts: map[string]*post{}, ended: make(chan struct{}), conf: &pb.ConfState{},
	}
	if err := n.boot(); err != nil {
		d.close()
		return nil, err
	}
	for name, addr := range c.Peers {
		if name != c.Name {
			n.posts[name] = newPost(c.Name, addr)
		}
	}
	n.publish()
	return n, nil
}

func (n *Node) boot() error {
	snap, err := n.disk.mem.Snapshot()
	if err != nil {
		return err
	}
	if !raft.IsEmptySnap(snap) {
		if err := n.restore(snap); err != nil {
			return err
		}
	}
	n.raw, err = raft.NewRawNode(&raft.Config{
		ID: n.disk.seat.Number, ElectionTick: election, HeartbeatTick: heartbeat, Storage: n.disk.mem, Applied: n.applied,
		MaxSizePerMsg: 1 << 20, MaxInflightMsgs: 64, MaxUncommittedEntriesSize: 16 << 20, CheckQuorum: true, PreVote: true, StepDownOnRemoval: true,
		Logger: quiet{n.cfg.Log},
	})
	return err
}

// restore takes a snapshot over.
func (n *Node) restore(snap *pb.Snapshot) error {
	var m image
	if err := json.Unmarshal(snap.GetData(), &m); err != nil {
		return fmt.Errorf("quorum: snapshot: %w", err)
	}
	if len(m.Machine) > 0 {
		if err := n.cfg.Machine.Restore(snap.GetMetadata().GetIndex(), m.Machine); err != nil {
			return fmt.Errorf("quorum: snapshot: %w", err)
		}
	}
	n.seats = m.Seats
	n.conf = snap.GetMetadata().GetConfState()
	n.applied, n.snapped = snap.GetMetadata().GetIndex(), snap.GetMetadata().GetIndex()
	return nil
}

// Run takes part until the context ends, or until the folder fails: what can't be kept must not be promised, and the
// node has to be opened anew.
func (n *Node) Run(ctx context.Context) error {
	ctx, stop := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		runPosts(ctx, n.posts, n.gone)
	}()
	defer func() {
		close(n.ended)
		stop()
		<-done
		n.disk.close()
	}()
	tick := time.NewTicker(Tick)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			n.raw.Tick()
		case l := <-n.in:
			if len(n.met) < metMost || n.met[l.GetFrom()] != "" {
				n.met[l.GetFrom()] = l.by
			}
			n.raw.Step(l.Message) // one that can't be used is dropped
		case a := <-n.asks:
			a.done <- n.ask(a)
		case r := <-n.gone:
			if r.snap {
				status := raft.SnapshotFailure
				if r.ok {
					status = raft.SnapshotFinish
				}
				n.raw.ReportSnapshot(r.to, status)
			} else {
				n.raw.ReportUnreachable(r.to)
			}
		}
		for n.raw.HasReady() {
			if err := n.round(); err != nil {
				n.lost()
				return err
			}
		}
		if err := n.shorten(); err != nil {
			n.lost()
			return err
		}
		n.publish()
		if n.replaced() {
			n.lost()
			return ErrReplaced
		}
	}
}

// lost publishes that this node agrees on nothing any more.
func (n *Node) lost() {
	s := *n.status.Load()
	s.Leader, s.Leads = "", false
	n.status.Store(&s)
}

// replaced tells whether somebody else has this agent's name among the seats.
func (n *Node) replaced() bool {
	if _, mine := n.seats[n.disk.seat.Number]; mine || len(n.seats) == 0 {
		return false
	}
	for _, name := range n.seats {
		if name == n.cfg.Name {
			return n.snapped > 1 || n.applied > 1
		}
	}
	return false
}

// round does what raft wants done: first what must last, then messages, then what is agreed on.
func (n *Node) round() error {
	r := n.raw.Ready()
	if err := n.disk.save(r.HardState, r.Entries, r.Snapshot); err != nil {
		return fmt.Errorf("quorum: %w", err)
	}
	if !raft.IsEmptySnap(r.Snapshot) {
		if err := n.restore(r.Snapshot); err != nil {
			return err
		}
	}
	n.send(r.Messages)
	for _, e := range r.CommittedEntries {
		if err := n.apply(e); err != nil {
			return err
		}
	}
	n.raw.Advance(r)
	return nil
}

func (n *Node) apply(e *pb.Entry) error {
	n.applied = e.GetIndex()
	switch e.GetType() {
	case pb.EntryNormal:
		if len(e.GetData()) > 0 {
			n.cfg.Machine.Apply(e.GetIndex(), e.GetData())
		}
		return nil
	case pb.EntryConfChange:
		c := &pb.ConfChange{}
		if err := proto.Unmarshal(e.GetData(), c); err != nil {
			return fmt.Errorf("quorum: entry %d: %w", e.GetIndex(), err)
		}
		n.conf = n.raw.ApplyConfChange(c)
		return nil
	}
	c := &pb.ConfChangeV2{}
	if err := proto.Unmarshal(e.GetData(), c); err != nil {
		return fmt.Errorf("quorum: entry %d: %w", e.GetIndex(), err)
	}
	var in Member
	if len(c.GetContext()) > 0 && json.Unmarshal(c.GetContext(), &in) == nil {
		n.seats = maps.Clone(n.seats)
		maps.DeleteFunc(n.seats, func(_ uint64, name string) bool { return name == in.Name })
		n.seats[in.Number] = in.Name
	}
	n.conf = n.raw.ApplyConfChange(c)
	n.moved = true
	return nil
}

// shorten makes a snapshot of what has been applied once the log is long, or the seats have changed: a new seat takes
// over no snapshot that does not know of it.
func (n *Node) shorten() error {
	if n.applied-n.snapped < snapshotEvery && !n.moved {
		return nil
	}
	n.moved = false
	data, err := n.cfg.Machine.Snapshot()
	if err == nil {
		data, err = json.Marshal(image{Seats: n.seats, Machine: data})
	}
	if err == nil {
		err = n.disk.compact(n.applied, n.conf, data, keepEntries)
	}
	if err != nil {
		return fmt.Errorf("quorum: snapshot: %w", err)
	}
	n.snapped = n.applied
	return nil
}

// ask proposes an entry, or a change of seats.
func (n *Node) ask(a ask) error {
	if n.raw.BasicStatus().Lead == raft.None {
		return ErrNoMajority
	}
	if a.seat == nil {
		if err := n.raw.Propose(a.data); err != nil {
			return fmt.Errorf("%w (%v)", ErrNoMajority, err)
		}
		return nil
	}
	if n.raw.BasicStatus().RaftState != raft.StateLeader {
		return errNotLeading
	}
	if _, has := n.seats[a.seat.Number]; has {
		return nil
	}
	context, err := json.Marshal(a.seat)
	if err != nil {
		return err
	}
	c := &pb.ConfChangeV2{Context: context}
	for number, name := range n.seats {
		if name == a.seat.Name {
			c.Changes = append(c.Changes, &pb.ConfChangeSingle{Type: pb.ConfChangeRemoveNode.Enum(), NodeId: new(number)})
		}
	}
	c.Changes = append(c.Changes, &pb.ConfChangeSingle{Type: pb.ConfChangeAddNode.Enum(), NodeId: new(a.seat.Number)})
	if err := n.raw.ProposeConfChange(c); err != nil {
		return fmt.Errorf("%w (%v)", ErrNoMajority, err)
	}
	return nil
}

var errNotLeading = errors.New("quorum: this agent does not lead")

// Propose has an entry put into the log, if there is a leader; it does not wait until it is there. An entry without
// an error may still be lost.
func (n *Node) Propose(ctx context.Context, data []byte) error {
	return n.hand(ctx, ask{data: data, done: make(chan error, 1)})
}

// AddMember has an agent take a seat, in the place of the one of its name. Only the leader does it.
func (n *Node) AddMember(ctx context.Context, s Member) error {
	return n.hand(ctx, ask{seat: &s, done: make(chan error, 1)})
}

func (n *Node) hand(ctx context.Context, a ask) error {
	select {
	case n.asks <- a:
	case <-n.ended:
		return ErrStopped
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case err := <-a.done:
		return err
	case <-n.ended:
		return ErrStopped
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Status tells how the node stands.
func (n *Node) Status() Status { return *n.status.Load() }

func (n *Node) publish() {
	b := n.raw.BasicStatus()
	s := &Status{
		Member: n.disk.seat, Leads: b.RaftState == raft.StateLeader, Term: b.HardState.GetTerm(), Applied: n.applied, Members: n.seats,
		Voter: n.votes(), Disk: n.disk.store.Stats().DiskBytes,
	}
	if b.Lead != raft.None {
		if s.Leader = n.seats[b.Lead]; s.Leader == "" {
			s.Leader = fmt.Sprint(b.Lead)
		}
	}
	for _, p := range n.posts {
		s.Sent += p.bytes.Load()
		s.Calls += p.calls.Load()
	}
	n.status.Store(s)
}

// votes reports whether this node is a voter and no member that it replaced is one any more. While raft still needs a majority of the
// members before a change as well (its joint configuration), the replacement does not yet stand in for the one that is gone.
func (n *Node) votes() bool {
	return slices.Contains(n.conf.GetVoters(), n.disk.seat.Number) && len(n.conf.GetVotersOutgoing()) == 0
}

// Receive takes messages from another agent. A body is a message after its length in four bytes, again and again.
func (n *Node) Receive(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, bodyMost))
	if err != nil {
		http.Error(w, "messages: "+err.Error(), http.StatusBadRequest)
		return
	}
	list, err := unpack(body)
	if err != nil {
		http.Error(w, "messages: "+err.Error(), http.StatusBadRequest)
		return
	}
	for _, m := range list {
		if m.GetTo() != n.disk.seat.Number {
			http.Error(w, "another seat is meant", http.StatusGone)
			return
		}
		select {
		case n.in <- letter{m, r.Header.Get(nameHeader)}:
		case <-n.ended:
			http.Error(w, "stopped", http.StatusServiceUnavailable)
			return
		default: // raft sends again what it misses
		}
	}
}

// quiet is raft's log: what it says in order is of no use to staff.
type quiet struct{ log *slog.Logger }

func (quiet) Debug(...any)                    {}
func (quiet) Debugf(string, ...any)           {}
func (quiet) Info(...any)                     {}
func (quiet) Infof(string, ...any)            {}
func (q quiet) Warning(v ...any)              { q.say(slog.LevelDebug, fmt.Sprint(v...)) }
func (q quiet) Warningf(f string, v ...any)   { q.say(slog.LevelDebug, fmt.Sprintf(f, v...)) }
func (q quiet) Error(v ...any)                { q.say(slog.LevelWarn, fmt.Sprint(v...)) }
func (q quiet) Errorf(f string, v ...any)     { q.say(slog.LevelWarn, fmt.Sprintf(f, v...)) }
func (q quiet) Fatal(v ...any)                { panic(fmt.Sprint(v...)) }
func (q quiet) Fatalf(f string, v ...any)     { panic(fmt.Sprintf(f, v...)) }
func (q quiet) Panic(v ...any)                { panic(fmt.Sprint(v...)) }
func (q quiet) Panicf(f string, v ...any)     { panic(fmt.Sprintf(f, v...)) }
func (q quiet) say(l slog.Level, text string) { q.log.Log(context.Background(), l, "raft: "+text) }
