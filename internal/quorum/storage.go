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

// The entities of the store in an agent's folder: the member, raft's hard state (with its vote), the latest snapshot,
// and one entity for each entry of the log. An append is synced before a message that depends on it is sent.
const (
	memberEntity    = 1
	hardStateEntity = 2
	snapshotEntity  = 3
	entryBase       = 16       // the entity of entry i is entryBase + i
	maxFolderSize   = 64 << 20 // bytes
	segmentSize     = 4 << 20  // bytes
)

// Member is an agent's identity in the quorum. The number does not change unless the agent's folder is lost.
type Member struct {
	Name   string `json:"name"`
	Number uint64 `json:"number"`
}

// Errors of a member's folder.
var (
	ErrAlreadyBootstrapped = errors.New("quorum: the folder already holds a member")
	ErrDamaged             = errors.New("quorum: the folder is damaged and may lack a vote; " +
		"give the agent an empty one, and it is added anew")
)

// initialMemberNumber returns the number of an initial member, which is derived from its name.
func initialMemberNumber(name string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(name))
	return h.Sum64() | 1
}

// storage is an agent's folder with an in-memory copy of the data that raft reads.
type storage struct {
	store      *store.Store
	memory     *raft.MemoryStorage
	member     Member
	firstEntry uint64 // index of the first entry in the folder
	lastEntry  uint64 // index of the last entry in the folder
}

// openStore opens the store in a folder. It returns ErrDamaged for a damaged one, which may lack a vote.
func openStore(fs store.FS, log *slog.Logger) (*store.Store, error) {
	s, err := store.Open(store.Options{FS: fs, Budget: maxFolderSize, Segment: segmentSize, Durability: store.EachAppend,
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

// Bootstrap creates the folder of one of the initial agents. The list of all names must be the same for all of them. It
// returns ErrAlreadyBootstrapped if the folder already holds a member.
func Bootstrap(fs store.FS, name string, initialAgents []string) error {
	if !slices.Contains(initialAgents, name) {
		return fmt.Errorf("quorum: agent %s is not in the list of initial agents %v", name, initialAgents)
	}
	s, err := openStore(fs, nil)
	if err != nil {
		return err
	}
	defer s.Close()
	if _, exists := s.Get(memberEntity); exists {
		return ErrAlreadyBootstrapped
	}
	memberNames := map[uint64]string{}
	var voters []uint64
	for _, other := range initialAgents {
		memberNames[initialMemberNumber(other)] = other
		voters = append(voters, initialMemberNumber(other))
	}
	if len(memberNames) != len(initialAgents) {
		return errors.New("quorum: duplicate agent name")
	}
	slices.Sort(voters)
	data, err := json.Marshal(snapshot{Members: memberNames})
	if err != nil {
		return err
	}
	snap := &pb.Snapshot{Data: data, Metadata: &pb.SnapshotMetadata{
		Index: new(uint64(1)), Term: new(uint64(1)), ConfState: &pb.ConfState{Voters: voters},
	}}
	hardState := &pb.HardState{Term: new(uint64(1)), Vote: new(uint64(0)), Commit: new(uint64(1))}
	return writeMember(s, Member{name, initialMemberNumber(name)}, hardState, snap)
}

// writeNewMember writes the member of an agent that is to be added to the quorum. It has a random number and no vote
// yet.
func writeNewMember(s *store.Store, name string) error {
	return writeMember(s, Member{name, rand.Uint64()&^1 | 1<<63}, nil, nil)
}

// writeMember writes the member and, unless hardState is nil, its hard state and snapshot. Only an initial member has
// these.
func writeMember(s *store.Store, member Member, hardState *pb.HardState, snap *pb.Snapshot) error {
	text, err := json.Marshal(member)
	if err != nil {
		return err
	}
	batch := []store.Record{{Entity: memberEntity, Kind: store.Replace, Data: text}}
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

// appendProto appends a record to a batch that replaces the content of an entity with a message.
func appendProto(batch []store.Record, entity uint64, m proto.Message) ([]store.Record, error) {
	data, err := proto.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("quorum: %w", err)
	}
	return append(batch, store.Record{Entity: entity, Kind: store.Replace, Time: int64(entity), Data: data}), nil
}

// openStorage opens a folder. If the folder holds no member openStorage writes a new one with the given name, which is
// then to be added to the quorum.
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

// read loads the folder into memory. It returns ErrDamaged if an entry of the log is missing.
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

// readRecords reads the member, the hard state and the snapshot, and returns the entries of the log in order.
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

// decode decodes the latest record of an entity. It returns a log entry, and stores any other content in st.
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
	case len(data) > 0: // an empty record marks an entry that was truncated from the log
		entry := &pb.Entry{}
		return entry, proto.Unmarshal(data, entry)
	}
	return nil, nil
}

// appendToMemory appends the entries after the snapshot to the log in memory. It returns ErrDamaged if one is missing.
func (st *storage) appendToMemory(entries []*pb.Entry) error {
	next, _ := st.memory.FirstIndex()
	for _, e := range entries {
		if e.GetIndex() < next {
			continue // covered by the snapshot
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

// save stores the data of a raft Ready. After an error the folder holds either all or none of it, and must be opened
// again.
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
				kind = store.Replace // the index will be used again
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
			batch = append(batch, store.Record{Entity: entryBase + i, Kind: store.Replace, Time: int64(entryBase + i)})
		}
		st.lastEntry = max(st.lastEntry, next-1) // the emptied entities are ended by a later snapshot
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

// compact replaces the entries up to an index with a snapshot. It keeps the latest of them, up to the number keep, for
// other members that still lack them.
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

// close closes the store. Nothing can be saved afterwards.
func (st *storage) close() error { return st.store.Close() }
