package quorum

import (
	"encoding/json"
	"fmt"
	"maps"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// handleReady handles raft's next Ready in the order that raft requires: store, send, apply.
func (n *Node) handleReady() error {
	r := n.raft.Ready()
	if err := n.storage.save(r.HardState, r.Entries, r.Snapshot); err != nil {
		return fmt.Errorf("quorum: %w", err)
	}
	if !raft.IsEmptySnap(r.Snapshot) {
		if err := n.restore(r.Snapshot); err != nil {
			return err
		}
	}
	n.sendMessages(r.Messages)
	for _, e := range r.CommittedEntries {
		if err := n.apply(e); err != nil {
			return err
		}
	}
	n.raft.Advance(r)
	return nil
}

// apply applies a committed entry.
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
		n.confState = n.raft.ApplyConfChange(c)
		return nil
	}
	return n.applyMembers(e)
}

// applyMembers applies a change of the members. The change's context has the new member. It is empty in the change that
// leaves a joint configuration.
func (n *Node) applyMembers(e *pb.Entry) error {
	c := &pb.ConfChangeV2{}
	if err := proto.Unmarshal(e.GetData(), c); err != nil {
		return fmt.Errorf("quorum: entry %d: %w", e.GetIndex(), err)
	}
	var added Member
	if len(c.GetContext()) > 0 && json.Unmarshal(c.GetContext(), &added) == nil {
		n.members = maps.Clone(n.members)
		maps.DeleteFunc(n.members, func(_ uint64, name string) bool { return name == added.Name })
		n.members[added.Number] = added.Name
	}
	n.confState = n.raft.ApplyConfChange(c)
	n.membersChanged = true
	return nil
}

// takeSnapshot replaces the log with a snapshot once snapshotInterval entries were applied since the last one, or the
// members have changed: raft does not send a new member a snapshot that does not list it as a member.
func (n *Node) takeSnapshot() error {
	if n.applied-n.snapshotIndex < snapshotInterval && !n.membersChanged {
		return nil
	}
	n.membersChanged = false
	data, err := n.cfg.Machine.Snapshot()
	if err == nil {
		data, err = json.Marshal(snapshot{Members: n.members, Machine: data})
	}
	if err == nil {
		err = n.storage.compact(n.applied, n.confState, data, keptEntries)
	}
	if err != nil {
		return fmt.Errorf("quorum: snapshot: %w", err)
	}
	n.snapshotIndex = n.applied
	return nil
}

// replaced reports whether this node is no longer a member and another member has its agent's name.
func (n *Node) replaced() bool {
	if _, isMember := n.members[n.storage.member.Number]; isMember || len(n.members) == 0 {
		return false
	}
	for _, name := range n.members {
		if name == n.cfg.Name {
			return n.snapshotIndex > 1 || n.applied > 1
		}
	}
	return false
}
