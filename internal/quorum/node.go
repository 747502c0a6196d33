// Package quorum replicates a log among a small number of agents. It runs raft (go.etcd.io/raft), stores raft's log and
// votes by means of package store, and sends raft's messages over HTTP. It manages the members and the snapshots. It
// does not interpret the entries: the Machine does.
package quorum

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"sync/atomic"
	"time"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"

	"cleathold/internal/store"
)

// Tick is the unit of raft's timers.
const Tick = 100 * time.Millisecond

const (
	heartbeatTicks   = 1
	electionTicks    = 10   // a follower without messages from a leader starts an election after one to two times this
	snapshotInterval = 1000 // number of entries after which a new snapshot is taken
	keptEntries      = 200  // entries before the snapshot that are kept, for members that are slightly behind
	maxLearnedNames  = 64

	// The capacities of the channels to the node's goroutine.
	incomingQueue = 512
	proposalQueue = 64
	deliveryQueue = 64

	maxMessageSize     = 1 << 20  // bytes
	maxInflight        = 64       // append messages in flight to one member
	maxUncommittedSize = 16 << 20 // bytes
)

// Machine is the state machine to which the entries of the log are applied in order. Only the node's goroutine calls
// it.
type Machine interface {
	// Apply applies a committed entry.
	Apply(index uint64, data []byte)
	// Snapshot returns the encoded state after all entries applied so far.
	Snapshot() ([]byte, error)
	// Restore replaces the state with that of a snapshot whose last entry has the given index.
	Restore(index uint64, image []byte) error
}

// Config is the configuration of a node.
type Config struct {
	Name    string
	FS      store.FS
	Peers   map[string]string // addresses (host:port) of all agents by name, this one included
	Machine Machine
	Log     *slog.Logger
}

// snapshot is the data of a raft snapshot.
type snapshot struct {
	Members map[uint64]string `json:"seats"`
	Machine json.RawMessage   `json:"machine,omitempty"`
}

// Status is the state of a node as of the last iteration of its loop.
type Status struct {
	Member    Member            `json:"seat"`
	Leader    string            `json:"leader"` // empty: no leader is known, so that nothing can be committed
	Leads     bool              `json:"leads"`
	Term      uint64            `json:"term"`
	Applied   uint64            `json:"applied"`
	Voter     bool              `json:"voter"` // it is a voter, and no replaced member still is
	Members   map[uint64]string `json:"seats"`
	DiskBytes int64             `json:"disk_bytes"`
	SentBytes int64             `json:"sent_bytes"` // bytes sent to other members since the start
	Calls     int64             `json:"calls"`      // calls to other members since the start
}

// Node is one member of the quorum. Run owns its state; the other exported methods are safe for concurrent use.
type Node struct {
	cfg       Config
	storage   *storage
	raft      *raft.RawNode
	confState *pb.ConfState
	members   map[uint64]string
	incoming  chan incomingMessage
	// names of the members that have sent messages; needed as long as the node does not know the quorum's members
	learnedNames map[uint64]string
	proposals    chan proposal
	deliveries   chan delivery
	transports   map[string]*transport

	applied        uint64
	snapshotIndex  uint64
	membersChanged bool // the members have changed since the latest snapshot
	status         atomic.Pointer[Status]
	ended          chan struct{}
}

// incomingMessage is a raft message with the name of the agent that sent it.
type incomingMessage struct {
	*pb.Message
	from string
}

// Errors of a node. ErrNoMajority means that nothing was changed. After ErrStopped and ErrReplaced the node no longer
// takes part in the quorum.
var (
	ErrNoMajority = errors.New("no majority of agents can be reached: nothing new can be agreed on")
	ErrStopped    = errors.New("quorum: stopped")
	ErrReplaced   = errors.New("quorum: another agent has taken this one's place; " +
		"give it an empty folder to be added anew")
)

// Open opens the folder of a member and restores the machine from the latest snapshot. The caller must call Run next.
func Open(c Config) (*Node, error) {
	storage, err := openStorage(c.FS, c.Name, c.Log)
	if err != nil {
		return nil, err
	}
	n := &Node{
		cfg: c, storage: storage, members: map[uint64]string{}, learnedNames: map[uint64]string{},
		incoming: make(chan incomingMessage, incomingQueue), proposals: make(chan proposal, proposalQueue),
		deliveries: make(chan delivery, deliveryQueue), transports: map[string]*transport{},
		ended: make(chan struct{}), confState: &pb.ConfState{},
	}
	if err := n.start(); err != nil {
		storage.close()
		return nil, err
	}
	for name, addr := range c.Peers {
		if name != c.Name {
			n.transports[name] = newTransport(c.Name, addr)
		}
	}
	n.publish()
	return n, nil
}

// start restores the latest snapshot and starts raft with the log that follows it.
func (n *Node) start() error {
	snap, err := n.storage.memory.Snapshot()
	if err != nil {
		return err
	}
	if !raft.IsEmptySnap(snap) {
		if err := n.restore(snap); err != nil {
			return err
		}
	}
	n.raft, err = raft.NewRawNode(&raft.Config{
		ID: n.storage.member.Number, ElectionTick: electionTicks, HeartbeatTick: heartbeatTicks,
		Storage: n.storage.memory, Applied: n.applied,
		MaxSizePerMsg: maxMessageSize, MaxInflightMsgs: maxInflight, MaxUncommittedEntriesSize: maxUncommittedSize,
		CheckQuorum: true, PreVote: true, StepDownOnRemoval: true, Logger: raftLogger{n.cfg.Log},
	})
	return err
}

// restore replaces the members and the machine's state with those of a snapshot.
func (n *Node) restore(snap *pb.Snapshot) error {
	var content snapshot
	if err := json.Unmarshal(snap.GetData(), &content); err != nil {
		return fmt.Errorf("quorum: snapshot: %w", err)
	}
	if len(content.Machine) > 0 {
		if err := n.cfg.Machine.Restore(snap.GetMetadata().GetIndex(), content.Machine); err != nil {
			return fmt.Errorf("quorum: snapshot: %w", err)
		}
	}
	n.members = content.Members
	n.confState = snap.GetMetadata().GetConfState()
	n.applied, n.snapshotIndex = snap.GetMetadata().GetIndex(), snap.GetMetadata().GetIndex()
	return nil
}

// Run takes part in the quorum until the context ends, and then returns nil. It returns an error if the folder can't be
// written, since raft must not cast a vote that is not stored. It returns ErrReplaced if another agent has replaced
// this one. After an error the caller must open the node again.
func (n *Node) Run(ctx context.Context) error {
	ctx, stop := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		runTransports(ctx, n.transports, n.deliveries)
	}()
	defer func() {
		close(n.ended)
		stop()
		<-done
		n.storage.close()
	}()
	tick := time.NewTicker(Tick)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			n.raft.Tick()
		case m := <-n.incoming:
			n.step(m)
		case p := <-n.proposals:
			p.done <- n.propose(p)
		case d := <-n.deliveries:
			n.reportDelivery(d)
		}
		if err := n.advance(); err != nil {
			n.publishStopped()
			return err
		}
	}
}

// step passes a message of another member to raft, which drops messages that it can't use.
func (n *Node) step(m incomingMessage) {
	if len(n.learnedNames) < maxLearnedNames || n.learnedNames[m.GetFrom()] != "" {
		n.learnedNames[m.GetFrom()] = m.from
	}
	n.raft.Step(m.Message)
}

// reportDelivery reports the delivery of messages to a member to raft.
func (n *Node) reportDelivery(d delivery) {
	if !d.snapshot {
		n.raft.ReportUnreachable(d.to)
		return
	}
	status := raft.SnapshotFailure
	if d.delivered {
		status = raft.SnapshotFinish
	}
	n.raft.ReportSnapshot(d.to, status)
}

// advance handles everything that raft has ready, takes a snapshot if one is due, and publishes the status.
func (n *Node) advance() error {
	for n.raft.HasReady() {
		if err := n.handleReady(); err != nil {
			return err
		}
	}
	if err := n.takeSnapshot(); err != nil {
		return err
	}
	n.publish()
	if n.replaced() {
		return ErrReplaced
	}
	return nil
}

// publishStopped publishes a status without a leader, for a node that no longer takes part in the quorum.
func (n *Node) publishStopped() {
	s := *n.status.Load()
	s.Leader, s.Leads = "", false
	n.status.Store(&s)
}

// Status returns the latest status.
func (n *Node) Status() Status { return *n.status.Load() }

// publish stores the current status for Status.
func (n *Node) publish() {
	b := n.raft.BasicStatus()
	s := &Status{
		Member: n.storage.member, Leads: b.RaftState == raft.StateLeader, Term: b.HardState.GetTerm(),
		Applied: n.applied, Members: n.members, Voter: n.votes(), DiskBytes: n.storage.store.Stats().DiskBytes,
	}
	if b.Lead != raft.None {
		if s.Leader = n.members[b.Lead]; s.Leader == "" {
			s.Leader = fmt.Sprint(b.Lead)
		}
	}
	for _, t := range n.transports {
		s.SentBytes += t.bytes.Load()
		s.Calls += t.calls.Load()
	}
	n.status.Store(s)
}

// votes reports whether this node is a voter and no replaced member still is one. While raft is in a joint
// configuration it needs a majority of the former members as well, so that the failure of one more member could leave
// no majority.
func (n *Node) votes() bool {
	return slices.Contains(n.confState.GetVoters(), n.storage.member.Number) && len(n.confState.GetVotersOutgoing()) == 0
}
