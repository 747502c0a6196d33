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

// The entities of the store in an agent's folder: the member, raft's hard state (its vote), the latest snapshot, and
// one for each entry of the log. An append is synced before a message that depends on it is sent.
const (
	memberEntity    = 1
	hardStateEntity = 2
	snapshotEntity  = 3
	entryBase       = 16       // the entity of entry i is entryBase + i
	maxFolderSize   = 64 << 20 // bytes
	segmentSize     = 4 << 20  // bytes
)

// Member is an agent's identity in the quorum. The number stays the same as long as its folder is kept.
type Member struct {
	Name   string `json:"name"`
	Number uint64 `json:"number"`
}

// Errors of a folder.
var (
	ErrAlreadyBootstrapped = errors.New("quorum: the folder holds a member already")
	ErrDamaged             = errors.New("quorum: the folder is damaged and may lack a vote; " +
		"give the agent an empty one, and it is added anew")
)

// initialMemberNumber returns the number of a member that was there from the start, by its name.
func initialMemberNumber(name string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(name))
	return h.Sum64() | 1
}

// storage is an agent's folder and the part of it that raft reads from memory.
type storage struct {
	store      *store.Store
	memory     *raft.MemoryStorage
	member     Member
	firstEntry uint64 // index of the first entry in the folder...
	lastEntry  uint64 // ...and of the last one
}

// openStore opens the store of a folder. A damaged one is not opened: it may lack a vote.
func openStore(fs store.FS, log *slog.Logger) (*store.Store, error) {
	s, err := store.Open(store.Options{FS: fs, Budget: maxFolderSize, Segment: segmentSize, Durability: store.Each,
		Log: log})
	if err != nil {
		return nil, err
	}
	if d := s.Damages(); len(d) > 0 {
		s.Close()
		return nil, fmt.Errorf("%w (%+v)", ErrDamaged, d[0])
	}
	return s, nil
}

// Bootstrap creates the folder of one of the first agents. All of them must be given the same names. It returns
// ErrAlreadyBootstrapped where the folder holds a member.
func Bootstrap(fs store.FS, name string, all []string) error {
	if !slices.Contains(all, name) {
		return fmt.Errorf("quorum: %s is not among %v", name, all)
	}
	s, err := openStore(fs, nil)
	if err != nil {
		return err
	}
	defer s.Close()
	if _, exists := s.Get(memberEntity); exists {
		return ErrAlreadyBootstrapped
	}
	names := map[uint64]string{}
	var voters []uint64
	for _, other := range all {
		names[initialMemberNumber(other)] = other
		voters = append(voters, initialMemberNumber(other))
	}
	if len(names) != len(all) {
		return errors.New("quorum: two agents of one name")
	}
	slices.Sort(voters)
	data, err := json.Marshal(snapshot{Members: names})
	if err != nil {
		return err
	}
	snap := &pb.Snapshot{Data: data, Metadata: &pb.SnapshotMetadata{
		Index: new(uint64(1)), Term: new(uint64(1)), ConfState: &pb.ConfState{Voters: voters},
	}}
	hardState := &pb.HardState{Term: new(uint64(1)), Vote: new(uint64(0)), Commit: new(uint64(1))}
	return writeMember(s, Member{name, initialMemberNumber(name)}, hardState, snap)
}

// writeNewMember creates the folder of an agent that is to be added: it has a number of its own, and no vote yet.
func writeNewMember(s *store.Store, name string) error {
	return writeMember(s, Member{name, rand.Uint64()&^1 | 1<<63}, nil, nil)
}

// writeMember writes the member and, of one that was there from the start, its hard state and snapshot.
func writeMember(s *store.Store, member Member, hardState *pb.HardState, snap *pb.Snapshot) error {
	text, err := json.Marshal(member)
	if err != nil {
		return err
	}
	batch := []store.Record{{Entity: memberEntity, Kind: store.Base, Data: text}}
	if hardState != nil {
		if batch, err = appendProto(batch, hardStateEntity, hardState); err == nil {
			batch, err = appendProto(batch, snapshotEntity, snap)
		}
	}
	if err != nil {
		return err
	}
	return s.Append(batch...)
}

// appendProto adds a message to a batch in the place of what the entity held.
func appendProto(batch []store.Record, entity uint64, m proto.Message) ([]store.Record, error) {
	data, err := proto.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("quorum: %w", err)
	}
	return append(batch, store.Record{Entity: entity, Kind: store.Base, Time: int64(entity), Data: data}), nil
}

// openStorage opens a folder. One without a member gets a new one of that name, which is to be added to the quorum.
func openStorage(fs store.FS, name string, log *slog.Logger) (*storage, error) {
	s, err := openStore(fs, log)
	if err != nil {
		return nil, err
	}
	st := &storage{store: s, memory: raft.NewMemoryStorage(), firstEntry: 1}
	if err := st.read(name); err != nil {
		s.Close()
		return nil, err
	}
	return st, nil
}

// read loads the folder into memory. A gap in the log means damage.
func (st *storage) read(name string) error {
	if _, exists := st.store.Get(memberEntity); !exists {
		if err := writeNewMember(st.store, name); err != nil {
			return err
		}
	}
	entries, err := st.readRecords()
	if err != nil {
		return err
	}
	if st.member.Name != name {
		return fmt.Errorf("quorum: the folder is the one of agent %s, this is %s", st.member.Name, name)
	}
	return st.appendToMemory(entries)
}

// readRecords reads the member, the hard state and the snapshot, and returns the entries of the log in their order.
func (st *storage) readRecords() ([]*pb.Entry, error) {
	var ids []uint64
	st.store.ByTime(math.MinInt64, func(e store.Entity) bool { ids = append(ids, e.ID); return true })
	slices.Sort(ids)
	var entries []*pb.Entry
	for _, id := range ids {
		records, err := st.store.Load(id)
		if err != nil {
			return nil, fmt.Errorf("%w: %w", ErrDamaged, err)
		}
		if len(records) == 0 {
			continue
		}
		entry, err := st.decode(id, records[len(records)-1].Data)
		if err != nil {
			return nil, fmt.Errorf("%w: %w", ErrDamaged, err)
		}
		if entry != nil {
			entries = append(entries, entry)
		}
	}
	return entries, nil
}

// decode takes the latest record of an entity. It returns the entry of the log if it is one.
func (st *storage) decode(id uint64, data []byte) (*pb.Entry, error) {
	switch {
	case id == memberEntity:
		return nil, json.Unmarshal(data, &st.member)
	case id == hardStateEntity:
		hardState := &pb.HardState{}
		if err := proto.Unmarshal(data, hardState); err != nil {
			return nil, err
		}
		return nil, st.memory.SetHardState(hardState)
	case id == snapshotEntity:
		snap := &pb.Snapshot{}
		if err := proto.Unmarshal(data, snap); err != nil {
			return nil, err
		}
		return nil, st.memory.ApplySnapshot(snap)
	case len(data) > 0: // else it was overwritten by a shorter log
		entry := &pb.Entry{}
		return entry, proto.Unmarshal(data, entry)
	}
	return nil, nil
}

// appendToMemory gives raft the entries behind the snapshot. One that is missing is a damage.
func (st *storage) appendToMemory(entries []*pb.Entry) error {
	next, _ := st.memory.FirstIndex()
	for _, e := range entries {
		if e.GetIndex() < next {
			continue // in the snapshot
		}
		if e.GetIndex() != next {
			return fmt.Errorf("%w: entry %d is missing", ErrDamaged, next)
		}
		next++
		if err := st.memory.Append([]*pb.Entry{e}); err != nil {
			return err
		}
	}
	st.lastEntry = next - 1
	if len(entries) > 0 {
		st.firstEntry = entries[0].GetIndex()
	} else {
		st.firstEntry = next
	}
	return nil
}

// save stores what raft has ready. After an error the folder has all of it or nothing, and must be opened anew.
func (st *storage) save(hardState *pb.HardState, entries []*pb.Entry, snap *pb.Snapshot) error {
	var batch []store.Record
	var err error
	if !raft.IsEmptySnap(snap) {
		if batch, err = appendProto(batch, snapshotEntity, snap); err != nil {
			return err
		}
		for i := st.firstEntry; i <= st.lastEntry; i++ {
			kind := store.End
			if i > snap.GetMetadata().GetIndex() {
				kind = store.Base // its number comes again
			}
			batch = append(batch, store.Record{Entity: entryBase + i, Kind: kind, Time: int64(entryBase + i)})
		}
		st.lastEntry = max(st.lastEntry, snap.GetMetadata().GetIndex())
		st.firstEntry = snap.GetMetadata().GetIndex() + 1
	}
	if len(entries) > 0 {
		next := entries[len(entries)-1].GetIndex() + 1
		for _, e := range entries {
			if batch, err = appendProto(batch, entryBase+e.GetIndex(), e); err != nil {
				return err
			}
		}
		for i := next; i <= st.lastEntry; i++ {
			batch = append(batch, store.Record{Entity: entryBase + i, Kind: store.Base, Time: int64(entryBase + i)})
		}
		st.lastEntry = max(st.lastEntry, next-1) // the emptied ones end with a later snapshot
	}
	if !raft.IsEmptyHardState(hardState) {
		if batch, err = appendProto(batch, hardStateEntity, hardState); err != nil {
			return err
		}
	}
	if err = st.store.Append(batch...); err != nil {
		return err
	}
	if !raft.IsEmptySnap(snap) {
		if err = st.memory.ApplySnapshot(snap); err != nil {
			return err
		}
	}
	if err = st.memory.Append(entries); err != nil {
		return err
	}
	if !raft.IsEmptyHardState(hardState) {
		return st.memory.SetHardState(hardState)
	}
	return nil
}

// compact replaces the entries up to an index by a snapshot, but for the latest ones, which other members may lack.
func (st *storage) compact(index uint64, conf *pb.ConfState, data []byte, keep uint64) error {
	snap, err := st.memory.CreateSnapshot(index, conf, data)
	if err != nil {
		return err
	}
	batch, err := appendProto(nil, snapshotEntity, snap)
	if err != nil {
		return err
	}
	from := st.firstEntry
	until := max(from, index-min(keep, index))
	for i := from; i < until; i++ {
		batch = append(batch, store.Record{Entity: entryBase + i, Kind: store.End})
	}
	if err := st.store.Append(batch...); err != nil {
		return err
	}
	if until > from {
		st.firstEntry = until
		return st.memory.Compact(until - 1)
	}
	return nil
}

// close closes the store; nothing can be saved after it.
func (st *storage) close() error { return st.store.Close() }
