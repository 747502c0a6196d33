package quorum

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
)

// errNotLeading is returned to a proposal of a member at an agent that does not lead.
var errNotLeading = errors.New("quorum: this agent does not lead")

// proposal requests the node's goroutine to propose an entry or a new member.
type proposal struct {
	data   []byte
	member *Member // the member to add; nil: data is an entry
	done   chan error
}

// propose passes a proposal to raft.
func (n *Node) propose(p proposal) error {
	if n.raft.BasicStatus().Lead == raft.None {
		return ErrNoMajority
	}
	if p.member != nil {
		return n.proposeMember(*p.member)
	}
	if err := n.raft.Propose(p.data); err != nil {
		return fmt.Errorf("%w (%v)", ErrNoMajority, err)
	}
	return nil
}

// proposeMember proposes a member, which replaces any member with the same name. It does nothing if the member has
// already been added.
func (n *Node) proposeMember(member Member) error {
	if n.raft.BasicStatus().RaftState != raft.StateLeader {
		return errNotLeading
	}
	if _, exists := n.members[member.Number]; exists {
		return nil
	}
	context, err := json.Marshal(member)
	if err != nil {
		return err
	}
	c := &pb.ConfChangeV2{Context: context}
	for number, name := range n.members {
		if name == member.Name {
			c.Changes = append(c.Changes, &pb.ConfChangeSingle{Type: pb.ConfChangeRemoveNode.Enum(), NodeId: new(number)})
		}
	}
	c.Changes = append(c.Changes, &pb.ConfChangeSingle{Type: pb.ConfChangeAddNode.Enum(), NodeId: new(member.Number)})
	if err := n.raft.ProposeConfChange(c); err != nil {
		return fmt.Errorf("%w (%v)", ErrNoMajority, err)
	}
	return nil
}

// Propose proposes an entry. It returns ErrNoMajority if there is no leader and ErrStopped after Run has returned. It
// does not wait until the entry is committed: even if it returns no error the entry may be lost.
func (n *Node) Propose(ctx context.Context, data []byte) error {
	return n.submit(ctx, proposal{data: data, done: make(chan error, 1)})
}

// AddMember proposes a member, which replaces any member with the same name. It returns an error unless this node
// leads.
func (n *Node) AddMember(ctx context.Context, m Member) error {
	return n.submit(ctx, proposal{member: &m, done: make(chan error, 1)})
}

// submit passes a proposal to the node's goroutine and waits for the result.
func (n *Node) submit(ctx context.Context, p proposal) error {
	select {
	case n.proposals <- p:
	case <-n.ended:
		return ErrStopped
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case err := <-p.done:
		return err
	case <-n.ended:
		return ErrStopped
	case <-ctx.Done():
		return ctx.Err()
	}
}
