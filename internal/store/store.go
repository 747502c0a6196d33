// Package store is a log of records in segments, which is the truth, with an index
// in memory that is rebuilt from it. Records belong to entities; when an entity has
// ended its records are dead, and the space of dead records comes back as the oldest
// segment is copied forward, in bounded steps beside the appends. All files together
// stay within a budget at every instant.
//
// The order of segments is what makes an end safe to forget: an entity's end lies in
// a segment at least as young as any of its other records, and only the oldest
// segment is ever removed, so that no removal can bring back what has ended.
package store

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/tidwall/btree"
)

// Durability says what an append has promised when it returns.
type Durability uint8

// The durabilities.
const (
	Process Durability = iota // outlasts the process, SIGKILL included
	Group                     // and a power cut, once Sync has returned or GroupWait has passed
	Each                      // and a power cut, at once
)

// Options are what a store is opened with.
type Options struct {
	FS         FS
	Budget     int64 // bytes of all files in the folder, each in whole units of 512; 0 = no bound
	Segment    int64 // bytes at which a new segment begins; 0 = a sixteenth of the budget
	Durability Durability
	GroupWait  time.Duration // Group: a sync follows an append at the latest so long after it
	Log        *slog.Logger  // nil: none
}

// The errors of a store, besides those of its files.
var (
	ErrFull   = errors.New("store: no room left within the budget")
	ErrBroken = errors.New("store: a sync failed, nothing more can be promised")
	ErrClosed = errors.New("store: closed")
)

const (
	unit        = 512 // the platform counts files in whole units of this
	segmentMin  = 16 << 10
	segmentMost = 64 << 20
	reserve     = 2 // segments of the budget that only compaction and ends may use
	// stepFactor times the bytes of an append is what compaction may read beside it, once
	// the budget is used by more than stepFrom. Half dead is then enough to keep up.
	stepFactor = 4
	stepFrom   = 0.6
)

// A ref is where a record lies.
type ref struct {
	segment uint64
	offset  int64 // of its frame
	lsn     uint64
	size    int32
}

// An entity is live.
type entity struct {
	id    uint64
	refs  []ref // by LSN
	time  int64
	dest  int64
	key   string
	doubt bool // a damage may hide a record of it
}

type segment struct {
	number uint64
	name   string
	file   File
	size   int64
	live   int64 // bytes of records that are needed
}

// Entity is what the index tells of a live entity.
type Entity struct {
	ID       uint64
	Time     int64
	Dest     int64
	Key      string
	Records  int
	Doubtful bool // a damaged part of the log may hide a record of it
}

type indexed struct {
	time, dest int64
	key        string
	id         uint64
}

// Store is safe for concurrent use.
type Store struct {
	opt  Options
	lock io.Closer

	mu       sync.Mutex
	segments []*segment // the oldest first; the last is appended to
	entities map[uint64]*entity
	byKey    *btree.BTreeG[indexed]
	byTime   *btree.BTreeG[indexed]
	byDest   *btree.BTreeG[indexed]
	lsn      uint64 // of the next record
	highest  uint64 // id of an entity that the log knows, live or not
	number   uint64 // of the next segment
	disk     int64  // bytes of all files, in whole units
	live     int64
	scan     int64 // how far the oldest segment was copied forward
	buf      []byte
	dirty    bool // something is not synced
	timer    *time.Timer
	broken   error
	closed   bool
	damages  []Damage
	stats    Stats
}

// Stats are counts since the store was opened.
type Stats struct {
	Segments   int   `json:"segments"`
	Entities   int   `json:"entities"`
	LiveBytes  int64 `json:"live_bytes"`
	DiskBytes  int64 `json:"disk_bytes"`
	Budget     int64 `json:"budget"`
	Appended   int64 `json:"appended_bytes"`
	Copied     int64 `json:"copied_bytes"`
	Removed    int   `json:"segments_removed"`
	Syncs      int   `json:"syncs"`
	LargestGap int64 `json:"largest_step_bytes"` // read by compaction beside one append
}

func whole(size int64) int64 { return (size + unit - 1) / unit * unit }

// newIndex is ordered by a field, then by id.
func newIndex(compare func(a, b indexed) int) *btree.BTreeG[indexed] {
	return btree.NewBTreeGOptions(func(a, b indexed) bool {
		if c := compare(a, b); c != 0 {
			return c < 0
		}
		return a.id < b.id
	}, btree.Options{NoLocks: true})
}

// tell writes to the log, if there is one.
func (s *Store) tell(text string, args ...any) {
	if s.opt.Log != nil {
		s.opt.Log.Warn("store: "+text, args...)
	}
}

// head is the segment that is appended to.
func (s *Store) head() *segment { return s.segments[len(s.segments)-1] }

// roll begins a new segment.
func (s *Store) roll() error {
	g := &segment{number: s.number, name: segmentName(s.number), size: headLen}
	file, err := s.opt.FS.Create(g.name)
	if err != nil {
		return fmt.Errorf("store: %w", err)
	}
	g.file = file
	err = writeAll(file, segmentHead(g.number), 0)
	if err == nil && s.opt.Durability != Process {
		if err = file.Sync(); err == nil {
			err = s.opt.FS.SyncDir()
		}
	}
	if err != nil {
		file.Close()
		if s.opt.FS.Remove(g.name) != nil {
			s.number++ // it stays, as a segment with nothing in it
		}
		return fmt.Errorf("store: %s: %w", g.name, err)
	}
	s.number++
	s.segments = append(s.segments, g)
	s.disk += whole(g.size)
	return nil
}

func segmentName(number uint64) string { return fmt.Sprintf("%016x.log", number) }

func writeAll(f File, b []byte, at int64) error {
	n, err := f.WriteAt(b, at)
	if err == nil && n < len(b) {
		err = io.ErrShortWrite
	}
	return err
}

// room tells whether so many bytes more fit, with so many kept free besides.
func (s *Store) room(more, spare int64) bool {
	if s.opt.Budget <= 0 {
		return true
	}
	g := s.head()
	grown := s.disk - whole(g.size) + whole(g.size+more)
	if g.size+more > s.opt.Segment && g.size > headLen {
		grown = s.disk + whole(headLen+more)
	}
	return grown+spare <= s.opt.Budget
}

// Room tells whether entities that take so many bytes more can be promised room for
// all that comes of them: whoever admits asks it in time, so that the disk need not
// say no. Live bytes may be three fifths of what compaction can work in.
func (s *Store) Room(more int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.opt.Budget <= 0 || s.live+more <= (s.opt.Budget-reserve*s.opt.Segment)*3/5
}

// Append writes a batch, as a whole or not at all. Records of entities that are not
// live begin them; an End of one that is not live is written and means nothing. LSNs
// are given here. After an error nothing of the batch counts.
func (s *Store) Append(batch ...Record) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.ready(); err != nil {
		return err
	}
	if len(batch) == 0 {
		return nil
	}
	ends := true
	for i := range batch {
		batch[i].LSN = s.lsn + uint64(i)
		ends = ends && batch[i].Kind == End
	}
	s.buf = frame(s.buf[:0], batch)
	size := int64(len(s.buf))
	if size > frameMost {
		return fmt.Errorf("store: a batch of %d bytes, %d at most", size, frameMost)
	}
	spare := reserve * s.opt.Segment
	if ends { // what ends something makes room
		spare = s.opt.Segment
	}
	step, err := s.makeRoom(size, spare)
	if err != nil {
		return err
	}
	s.buf = frame(s.buf[:0], batch) // compaction used the buffer
	offset, err := s.write(s.buf)
	if err != nil {
		return err
	}
	s.lsn += uint64(len(batch))
	s.stats.Appended += size
	g := s.head()
	for i := range batch {
		s.enter(&batch[i], g, offset)
	}
	s.stats.LargestGap = max(s.stats.LargestGap, step)
	return s.settle()
}

func (s *Store) ready() error {
	switch {
	case s.closed:
		return ErrClosed
	case s.broken != nil:
		return s.broken
	}
	return nil
}

// settle makes an append last as long as it was promised to.
func (s *Store) settle() error {
	s.dirty = true
	switch s.opt.Durability {
	case Each:
		return s.sync()
	case Group:
		if s.timer == nil {
			s.timer = time.AfterFunc(s.opt.GroupWait, func() {
				s.mu.Lock()
				defer s.mu.Unlock()
				s.timer = nil
				if !s.closed && s.broken == nil {
					s.sync() // its error stays, and the next append returns it
				}
			})
		}
	}
	return nil
}

// Sync makes all that was appended last over a power cut, whatever the durability.
func (s *Store) Sync() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.ready(); err != nil {
		return err
	}
	return s.sync()
}

// sync syncs the head; older segments were synced as they were left.
func (s *Store) sync() error {
	if !s.dirty {
		return nil
	}
	// After a sync that failed nobody knows which pages the disk has: the same call may
	// succeed the next time and prove nothing.
	if err := s.head().file.Sync(); err != nil {
		s.broken = fmt.Errorf("%w: %w", ErrBroken, err)
		return s.broken
	}
	s.dirty = false
	s.stats.Syncs++
	return nil
}

// write puts a frame at the end of the log and returns where it lies.
func (s *Store) write(b []byte) (int64, error) {
	g := s.head()
	if g.size+int64(len(b)) > s.opt.Segment && g.size > headLen {
		if s.opt.Durability != Process {
			if err := s.sync(); err != nil {
				return 0, err
			}
		}
		if err := s.roll(); err != nil {
			return 0, err
		}
		g = s.head()
	}
	offset := g.size
	if err := writeAll(g.file, b, offset); err != nil {
		// What of it was written must not be taken for a frame, nor hide the next one.
		if cut := g.file.Truncate(offset); cut != nil {
			s.tell("a failed append can't be cut off, a new segment follows", "file", g.name, "offset", offset, "err", cut)
			if roll := s.roll(); roll != nil {
				s.broken = fmt.Errorf("%w: %w", ErrBroken, errors.Join(err, roll))
			}
		}
		return 0, fmt.Errorf("store: %s: %w", g.name, err)
	}
	s.disk += whole(g.size+int64(len(b))) - whole(g.size)
	g.size += int64(len(b))
	return offset, nil
}

// enter puts a record into the index.
func (s *Store) enter(r *Record, g *segment, offset int64) {
	s.highest = max(s.highest, r.Entity)
	e := s.entities[r.Entity]
	if r.Kind == End {
		if e != nil {
			s.drop(e)
		}
		return
	}
	if e == nil {
		e = &entity{id: r.Entity, time: r.Time, dest: r.Dest, key: r.Key}
		s.entities[e.id] = e
		s.index(e, true)
	}
	if r.Kind == Base {
		s.clear(e)
	}
	size := r.size()
	e.refs = append(e.refs, ref{g.number, offset, r.LSN, int32(size)})
	g.live += size
	s.live += size
}

// index enters an entity, or takes it out.
func (s *Store) index(e *entity, in bool) {
	x := indexed{e.time, e.dest, e.key, e.id}
	for _, t := range []*btree.BTreeG[indexed]{s.byKey, s.byTime, s.byDest} {
		if in {
			t.Set(x)
		} else {
			t.Delete(x)
		}
	}
}

// clear lets the records of an entity die.
func (s *Store) clear(e *entity) {
	for _, r := range e.refs {
		if g := s.segment(r.segment); g != nil {
			g.live -= int64(r.size)
		}
		s.live -= int64(r.size)
	}
	e.refs = nil
}

// drop forgets an entity.
func (s *Store) drop(e *entity) {
	s.clear(e)
	s.index(e, false)
	delete(s.entities, e.id)
}

// segment finds one by its number.
func (s *Store) segment(number uint64) *segment {
	i, found := slices.BinarySearchFunc(s.segments, number, func(g *segment, n uint64) int {
		switch {
		case g.number < n:
			return -1
		case g.number > n:
			return 1
		}
		return 0
	})
	if !found {
		return nil
	}
	return s.segments[i]
}

// Load reads the records of a live entity, in the order in which they were appended.
// None, and no error, for one that is not live.
func (s *Store) Load(id uint64) ([]Record, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return nil, ErrClosed
	}
	e := s.entities[id]
	if e == nil {
		return nil, nil
	}
	list := make([]Record, 0, len(e.refs))
	for _, at := range e.refs {
		r, err := s.read(id, at)
		if err != nil {
			return nil, err
		}
		list = append(list, r)
	}
	return list, nil
}

// read finds one record in its frame.
func (s *Store) read(id uint64, at ref) (Record, error) {
	g := s.segment(at.segment)
	if g == nil {
		return Record{}, fmt.Errorf("store: no segment %d", at.segment)
	}
	batch, _, err := frameAt(g.file, at.offset, g.size)
	if err != nil {
		return Record{}, fmt.Errorf("store: %s at %d: %w", g.name, at.offset, err)
	}
	for _, r := range batch {
		if r.LSN == at.lsn && r.Entity == id {
			return r, nil
		}
	}
	return Record{}, fmt.Errorf("store: %s at %d: record %d is not there", g.name, at.offset, at.lsn)
}

// frameAt reads the frame at an offset.
func frameAt(f io.ReaderAt, offset, size int64) ([]Record, int, error) {
	head := make([]byte, frameHead)
	if _, err := f.ReadAt(head, offset); err != nil {
		return nil, 0, err
	}
	n := int64(frameLength(head))
	if n > size-offset {
		return nil, 0, errShort
	}
	b := make([]byte, n)
	if _, err := f.ReadAt(b, offset); err != nil {
		return nil, 0, err
	}
	return readFrame(b)
}

func frameLength(head []byte) int {
	return frameHead + min(int(binary.LittleEndian.Uint32(head[4:])), frameMost)
}

func (e *entity) public() Entity {
	return Entity{e.id, e.time, e.dest, e.key, len(e.refs), e.doubt}
}

// Get tells of one live entity.
func (s *Store) Get(id uint64) (Entity, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entities[id]
	if e == nil {
		return Entity{}, false
	}
	return e.public(), true
}

// ByKey gives the live entities with a key to a function, which ends it by false.
func (s *Store) ByKey(key string, do func(Entity) bool) {
	s.walk(s.byKey, indexed{key: key}, do, func(x indexed) bool { return x.key == key })
}

// ByDest gives those of a destination, the oldest id first.
func (s *Store) ByDest(dest int64, do func(Entity) bool) {
	s.walk(s.byDest, indexed{dest: dest}, do, func(x indexed) bool { return x.dest == dest })
}

// ByTime gives those from a time on, the earliest first.
func (s *Store) ByTime(from int64, do func(Entity) bool) {
	s.walk(s.byTime, indexed{time: from}, do, func(indexed) bool { return true })
}

// walk must not be called back into: the function holds the store.
func (s *Store) walk(t *btree.BTreeG[indexed], from indexed, do func(Entity) bool, in func(indexed) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t.Ascend(from, func(x indexed) bool {
		return in(x) && do(s.entities[x.id].public())
	})
}

// Highest is the highest id of an entity that the log knows of, live or ended. An id
// that has ended must not be used again while the log knows of it.
func (s *Store) Highest() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.highest
}

// Stats are counts, as of now.
func (s *Store) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.stats
	t.Segments, t.Entities, t.LiveBytes, t.DiskBytes, t.Budget = len(s.segments), len(s.entities), s.live, s.disk, s.opt.Budget
	return t
}

// Damages are what could not be read as the store was opened.
func (s *Store) Damages() []Damage { return s.damages }

// Close syncs, unless the durability is Process, and lets go of the folder.
func (s *Store) Close() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return nil
	}
	var err error
	if s.timer != nil {
		s.timer.Stop()
	}
	if s.opt.Durability != Process && s.broken == nil {
		err = s.sync()
	}
	s.closed = true
	for _, g := range s.segments {
		err = errors.Join(err, g.file.Close())
	}
	if s.lock != nil {
		err = errors.Join(err, s.lock.Close())
	}
	return err
}
