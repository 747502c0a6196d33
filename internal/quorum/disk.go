package quorum

import (
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"log/slog"
	"math"
	"math/rand/v2"
	"slices"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"cleathold/internal/store"
)

// What an agent's folder holds, as entities of a store: who this seat is, its vote, the latest snapshot, and an
// entity for each entry of the log. Each append is synced before anything that rests on it is sent.
const (
	seatEntity  = 1
	hardEntity  = 2
	snapEntity  = 3
	firstEntry  = 16 // the entity of entry i is firstEntry + i
	budgetBytes = 64 << 20
)

// Member is who an agent is among the others. The number outlasts its process, and goes with its folder.
type Member struct {
	Name   string `json:"name"`
	Number uint64 `json:"number"`
}

// Errors of a folder.
var (
	ErrNoMember            = errors.New("quorum: the folder holds no seat")
	ErrAlreadyBootstrapped = errors.New("quorum: the folder holds a seat already")
	ErrDamaged             = errors.New("quorum: the folder is damaged, and a vote may be missing from it; give the agent an empty one, and it is taken in anew")
)

// founder is the number of a seat that was there from the start.
func founder(name string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(name))
	return h.Sum64() | 1
}

// disk is the folder, and what of it raft works on in memory.
type disk struct {
	store *store.Store
	mem   *raft.MemoryStorage
	seat  Member
	last  uint64 // of the entries that the folder holds
	first uint64 // below it there are none
}

func open(fs store.FS, log *slog.Logger) (*store.Store, error) {
	s, err := store.Open(store.Options{FS: fs, Budget: budgetBytes, Segment: 4 << 20, Durability: store.Each, Log: log})
	if err != nil {
		return nil, err
	}
	if d := s.Damages(); len(d) > 0 {
		s.Close()
		return nil, fmt.Errorf("%w (%+v)", ErrDamaged, d[0])
	}
	return s, nil
}

// Bootstrap makes the folder of one of the first agents. All of them must name the same others.
func Bootstrap(fs store.FS, name string, all []string) error {
	if !slices.Contains(all, name) {
		return fmt.Errorf("quorum: %s is not among %v", name, all)
	}
	s, err := open(fs, nil)
	if err != nil {
		return err
	}
	defer s.Close()
	if _, has := s.Get(seatEntity); has {
		return ErrAlreadyBootstrapped
	}
	names := map[uint64]string{}
	var voters []uint64
	for _, other := range all {
		names[founder(other)] = other
		voters = append(voters, founder(other))
	}
	if len(names) != len(all) {
		return errors.New("quorum: two agents of one name")
	}
	slices.Sort(voters)
	data, err := json.Marshal(image{Seats: names})
	if err != nil {
		return err
	}
	snap := &pb.Snapshot{Data: data, Metadata: &pb.SnapshotMetadata{
		Index: new(uint64(1)), Term: new(uint64(1)), ConfState: &pb.ConfState{Voters: voters},
	}}
	hard := &pb.HardState{Term: new(uint64(1)), Vote: new(uint64(0)), Commit: new(uint64(1))}
	return write(s, Member{name, founder(name)}, hard, snap)
}

// join makes the folder of an agent that is to be taken in: with a number of its own, and nothing to vote on.
func join(s *store.Store, name string) error {
	return write(s, Member{name, rand.Uint64()&^1 | 1<<63}, nil, nil)
}

func write(s *store.Store, seat Member, hard *pb.HardState, snap *pb.Snapshot) error {
	text, err := json.Marshal(seat)
	if err != nil {
		return err
	}
	batch := []store.Record{{Entity: seatEntity, Kind: store.Base, Data: text}}
	if hard != nil {
		if batch, err = addProto(batch, hardEntity, hard); err == nil {
			batch, err = addProto(batch, snapEntity, snap)
		}
	}
	if err != nil {
		return err
	}
	return s.Append(batch...)
}

func addProto(batch []store.Record, entity uint64, m proto.Message) ([]store.Record, error) {
	data, err := proto.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("quorum: %w", err)
	}
	return append(batch, store.Record{Entity: entity, Kind: store.Base, Time: int64(entity), Data: data}), nil
}

// openDisk reads a folder. One without a seat gets one under that name, to be taken in.
func openDisk(fs store.FS, name string, log *slog.Logger) (*disk, error) {
	s, err := open(fs, log)
	if err != nil {
		return nil, err
	}
	d := &disk{store: s, mem: raft.NewMemoryStorage(), first: 1}
	if err := d.read(name); err != nil {
		s.Close()
		return nil, err
	}
	return d, nil
}

func (d *disk) read(name string) error {
	if _, has := d.store.Get(seatEntity); !has {
		if err := join(d.store, name); err != nil {
			return err
		}
	}
	var ids []uint64
	d.store.ByTime(math.MinInt64, func(e store.Entity) bool { ids = append(ids, e.ID); return true })
	slices.Sort(ids)
	var entries []*pb.Entry
	for _, id := range ids {
		records, err := d.store.Load(id)
		if err != nil {
			return fmt.Errorf("%w: %w", ErrDamaged, err)
		}
		if len(records) == 0 {
			continue
		}
		data := records[len(records)-1].Data
		switch {
		case id == seatEntity:
			err = json.Unmarshal(data, &d.seat)
		case id == hardEntity:
			hard := &pb.HardState{}
			if err = proto.Unmarshal(data, hard); err == nil {
				err = d.mem.SetHardState(hard)
			}
		case id == snapEntity:
			snap := &pb.Snapshot{}
			if err = proto.Unmarshal(data, snap); err == nil {
				err = d.mem.ApplySnapshot(snap)
			}
		case len(data) > 0: // else it was overwritten by a shorter log
			e := &pb.Entry{}
			if err = proto.Unmarshal(data, e); err == nil {
				entries = append(entries, e)
			}
		}
		if err != nil {
			return fmt.Errorf("%w: %w", ErrDamaged, err)
		}
	}
	if d.seat.Name != name {
		return fmt.Errorf("quorum: the folder is the one of agent %s, this is %s", d.seat.Name, name)
	}
	at, _ := d.mem.FirstIndex()
	for _, e := range entries {
		if e.GetIndex() < at {
			continue // in the snapshot
		}
		if e.GetIndex() != at {
			return fmt.Errorf("%w: entry %d is missing", ErrDamaged, at)
		}
		at++
		if err := d.mem.Append([]*pb.Entry{e}); err != nil {
			return err
		}
	}
	d.last = at - 1
	if len(entries) > 0 {
		d.first = entries[0].GetIndex()
	} else {
		d.first = at
	}
	return nil
}

// save makes what a round of raft brought last. After an error the folder has all of it or nothing, and the
// memory must be read from it anew.
func (d *disk) save(hard *pb.HardState, entries []*pb.Entry, snap *pb.Snapshot) error {
	var batch []store.Record
	var err error
	if !raft.IsEmptySnap(snap) {
		if batch, err = addProto(batch, snapEntity, snap); err != nil {
			return err
		}
		for i := d.first; i <= d.last; i++ {
			kind := store.End
			if i > snap.GetMetadata().GetIndex() {
				kind = store.Base // its number comes again
			}
			batch = append(batch, store.Record{Entity: firstEntry + i, Kind: kind, Time: int64(firstEntry + i)})
		}
		d.last = max(d.last, snap.GetMetadata().GetIndex())
		d.first = snap.GetMetadata().GetIndex() + 1
	}
	if len(entries) > 0 {
		next := entries[len(entries)-1].GetIndex() + 1
		for _, e := range entries {
			if batch, err = addProto(batch, firstEntry+e.GetIndex(), e); err != nil {
				return err
			}
		}
		for i := next; i <= d.last; i++ {
			batch = append(batch, store.Record{Entity: firstEntry + i, Kind: store.Base, Time: int64(firstEntry + i)})
		}
		d.last = max(d.last, next-1) // voids are kept in mind: they end with a later snapshot
	}
	if !raft.IsEmptyHardState(hard) {
		if batch, err = addProto(batch, hardEntity, hard); err != nil {
			return err
		}
	}
	if err = d.store.Append(batch...); err != nil {
		return err
	}
	if !raft.IsEmptySnap(snap) {
		if err = d.mem.ApplySnapshot(snap); err != nil {
			return err
		}
	}
	if err = d.mem.Append(entries); err != nil {
		return err
	}
	if !raft.IsEmptyHardState(hard) {
		return d.mem.SetHardState(hard)
	}
	return nil
}

// compact puts a snapshot in the place of the entries up to an index, but for the latest, which others may lack.
func (d *disk) compact(index uint64, conf *pb.ConfState, data []byte, keep uint64) error {
	snap, err := d.mem.CreateSnapshot(index, conf, data)
	if err != nil {
		return err
	}
	batch, err := addProto(nil, snapEntity, snap)
	if err != nil {
		return err
	}
	from := d.first
	until := max(from, index-min(keep, index))
	for i := from; i < until; i++ {
		batch = append(batch, store.Record{Entity: firstEntry + i, Kind: store.End})
	}
	if err := d.store.Append(batch...); err != nil {
		return err
	}
	if until > from {
		d.first = until
		return d.mem.Compact(until - 1)
	}
	return nil
}

func (d *disk) close() error { return d.store.Close() }
