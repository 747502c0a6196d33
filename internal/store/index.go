package store

import (
	"cmp"
	"slices"

	"github.com/tidwall/btree"
)

// location is the position of a record in the log.
type location struct {
	segment uint64
	offset  int64 // offset of its frame
	lsn     uint64
	size    int32
}

// entity is a live entity in the index.
type entity struct {
	id        uint64
	locations []location // in ascending order of LSN
	time      int64
	dest      int64
	key       string
	doubtful  bool // a record of it may be lost in a damaged part of the log
}

// Entity is the index entry of a live entity.
type Entity struct {
	ID             uint64
	Time           int64
	Dest           int64
	Key            string
	Records        int
	MayLackRecords bool // a record of it may be lost in a damaged part of the log
}

// indexKey is the key of an entity in the ordered indexes.
type indexKey struct {
	time, dest int64
	key        string
	id         uint64
}

// newOrderedIndex returns an index ordered by compare and then by ID.
func newOrderedIndex(compare func(a, b indexKey) int) *btree.BTreeG[indexKey] {
	return btree.NewBTreeGOptions(func(a, b indexKey) bool {
		if c := compare(a, b); c != 0 {
			return c < 0
		}
		return a.id < b.id
	}, btree.Options{NoLocks: true})
}

// indexRecord updates the index for a record at an offset in a segment.
func (s *Store) indexRecord(r *Record, g *segment, offset int64) {
	s.highestEntity = max(s.highestEntity, r.Entity)
	e := s.entities[r.Entity]
	if r.Kind == End {
		if e != nil {
			s.dropEntity(e)
		}
		return
	}
	if e == nil {
		e = &entity{id: r.Entity, time: r.Time, dest: r.Destination, key: r.Key}
		s.entities[e.id] = e
		s.updateIndexes(e, true)
	}
	if r.Kind == Replace {
		s.dropRecords(e)
	}
	size := r.size()
	e.locations = append(e.locations, location{g.number, offset, r.LSN, int32(size)})
	g.live += size
	s.liveBytes += size
}

// updateIndexes adds an entity to the ordered indexes, or removes it from them.
func (s *Store) updateIndexes(e *entity, add bool) {
	x := indexKey{e.time, e.dest, e.key, e.id}
	for _, t := range []*btree.BTreeG[indexKey]{s.byKey, s.byTime, s.byDest} {
		if add {
			t.Set(x)
		} else {
			t.Delete(x)
		}
	}
}

// dropRecords marks the records of an entity as dead.
func (s *Store) dropRecords(e *entity) {
	for _, r := range e.locations {
		if g := s.segment(r.segment); g != nil {
			g.live -= int64(r.size)
		}
		s.liveBytes -= int64(r.size)
	}
	e.locations = nil
}

// dropEntity removes an entity from the index.
func (s *Store) dropEntity(e *entity) {
	s.dropRecords(e)
	s.updateIndexes(e, false)
	delete(s.entities, e.id)
}

// snapshot returns a copy of the entity's data for callers.
func (e *entity) snapshot() Entity {
	return Entity{e.id, e.time, e.dest, e.key, len(e.locations), e.doubtful}
}

// Get returns the live entity with an ID.
func (s *Store) Get(id uint64) (Entity, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entities[id]
	if e == nil {
		return Entity{}, false
	}
	return e.snapshot(), true
}

// ByKey calls do for each live entity with a key, until do returns false. As for ByDestination and ByTime, do must not
// call the store, whose lock is held.
func (s *Store) ByKey(key string, do func(Entity) bool) {
	s.ascend(s.byKey, indexKey{key: key}, do, func(x indexKey) bool { return x.key == key })
}

// ByDestination calls do for each live entity of a destination in ascending order of ID, until do returns false.
func (s *Store) ByDestination(dest int64, do func(Entity) bool) {
	s.ascend(s.byDest, indexKey{dest: dest}, do, func(x indexKey) bool { return x.dest == dest })
}

// ByTime calls do for each live entity with the given time or a later one in ascending order of time, until do returns
// false.
func (s *Store) ByTime(from int64, do func(Entity) bool) {
	s.ascend(s.byTime, indexKey{time: from}, do, func(indexKey) bool { return true })
}

// ascend calls do for the entities of an index in ascending order, starting at a key, as long as match and do return
// true. It holds the store's lock.
func (s *Store) ascend(
	t *btree.BTreeG[indexKey], from indexKey, do func(Entity) bool, match func(indexKey) bool,
) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t.Ascend(from, func(x indexKey) bool {
		return match(x) && do(s.entities[x.id].snapshot())
	})
}

// Entities calls do for each live entity in ascending order of ID, until do returns false. It iterates over a copy, so
// do may call the store.
func (s *Store) Entities(do func(Entity) bool) {
	s.mu.Lock()
	list := make([]Entity, 0, len(s.entities))
	for _, e := range s.entities {
		list = append(list, e.snapshot())
	}
	s.mu.Unlock()
	slices.SortFunc(list, func(a, b Entity) int { return cmp.Compare(a.ID, b.ID) })
	for _, e := range list {
		if !do(e) {
			return
		}
	}
}
