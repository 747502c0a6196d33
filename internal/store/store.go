// Package store implements an append-only log of records in segment files, with an in-memory index that is rebuilt from
// the log when it is opened. Records belong to entities. When an entity ends, its records become dead. Compaction
// reclaims their space by copying the live records of the oldest segment to the end of the log, in bounded steps during
// appends. The total size of all files never exceeds a budget. The package does not interpret the data of records.
//
// Compaction may drop End records: the End of an entity is in the same segment as its other records or a newer one, and
// only the oldest segment is ever removed.
//
// The format is described in docs/design/durable-store.md.
package store

import (
	"errors"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/tidwall/btree"
)

// Errors of a store, besides those of the file system. After ErrFull nothing was written and later appends may succeed.
// After ErrBroken and ErrClosed all later appends fail.
var (
	ErrFull   = errors.New("store: size budget exhausted")
	ErrBroken = errors.New("store: sync failed, no further writes are accepted")
	ErrClosed = errors.New("store: closed")
)

const (
	blockSize        = 512      // file sizes are rounded up to multiples of this many bytes for the budget
	minSegment       = 16 << 10 // bytes
	maxSegment       = 64 << 20 // bytes
	reservedSegments = 2        // number of segments of the budget reserved for compaction and End records

	// Once more than compactionThreshold of the budget is used, each append runs compaction, which reads up to
	// compactionFactor times the bytes of the append. It keeps up with appends as long as half of the log is dead.
	compactionFactor    = 4
	compactionThreshold = 0.6
)

// Store is an open store. It is safe for concurrent use.
type Store struct {
	options Options
	lock    io.Closer

	mu               sync.Mutex
	segments         []*segment // from oldest to newest; appends go to the last one
	entities         map[uint64]*entity
	byKey            *btree.BTreeG[indexKey]
	byTime           *btree.BTreeG[indexKey]
	byDest           *btree.BTreeG[indexKey]
	nextLSN          uint64 // LSN of the next record
	highestEntity    uint64 // highest entity ID in the log, live or ended
	nextSegment      uint64 // number of the next segment
	diskBytes        int64  // size of all files, each rounded up to whole blocks
	liveBytes        int64
	compactionOffset int64 // offset in the oldest segment up to which it has been compacted
	buffer           []byte
	dirty            bool // there are writes since the last sync
	timer            *time.Timer
	broken           error
	closed           bool
	damages          []Damage
	stats            Stats
}

// Stats are the current size of a store and counters since it was opened.
type Stats struct {
	Segments    int   `json:"segments"`
	Entities    int   `json:"entities"`
	LiveBytes   int64 `json:"live_bytes"`
	DiskBytes   int64 `json:"disk_bytes"`
	Budget      int64 `json:"budget"`
	Appended    int64 `json:"appended_bytes"`
	Copied      int64 `json:"copied_bytes"`
	Removed     int   `json:"segments_removed"`
	Syncs       int   `json:"syncs"`
	LargestStep int64 `json:"largest_step_bytes"` // most bytes that compaction read during one append
}

// roundToBlocks returns the bytes of the budget that a file of the given size takes.
func roundToBlocks(size int64) int64 { return (size + blockSize - 1) / blockSize * blockSize }

// warn logs a warning if a logger is set.
func (s *Store) warn(text string, args ...any) {
	if s.options.Log != nil {
		s.options.Log.Warn("store: "+text, args...)
	}
}

// fits reports whether an append of more bytes leaves at least spare bytes of the budget free.
func (s *Store) fits(more, spare int64) bool {
	if s.options.Budget <= 0 {
		return true
	}
	g := s.activeSegment()
	grown := s.diskBytes - roundToBlocks(g.size) + roundToBlocks(g.size+more)
	if g.size+more > s.options.Segment && g.size > segmentHeaderSize {
		grown = s.diskBytes + roundToBlocks(segmentHeaderSize+more)
	}
	return grown+spare <= s.options.Budget
}

// CanAdmit reports whether new entities with more bytes in total can be admitted while space remains for their later
// records. Live records may take three fifths of the space that is available to compaction.
func (s *Store) CanAdmit(more int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.options.Budget <= 0 || s.liveBytes+more <= (s.options.Budget-reservedSegments*s.options.Segment)*3/5
}

// Append writes a batch atomically and sets the LSNs of its records. A record of an entity that is not live creates the
// entity; an End of such an entity has no effect. After an error none of the batch is in the store.
func (s *Store) Append(batch ...Record) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.checkWritable(); err != nil {
		return err
	}
	if len(batch) == 0 {
		return nil
	}
	onlyEnds := true
	for i := range batch {
		batch[i].LSN = s.nextLSN + uint64(i)
		onlyEnds = onlyEnds && batch[i].Kind == End
	}
	s.buffer = appendFrame(s.buffer[:0], batch)
	size := int64(len(s.buffer))
	if size > maxFrame {
		return fmt.Errorf("store: batch of %d bytes exceeds the maximum of %d", size, maxFrame)
	}
	spare := reservedSegments * s.options.Segment
	if onlyEnds { // End records make space reclaimable
		spare = s.options.Segment
	}
	step, err := s.freeSpace(size, spare)
	if err != nil {
		return err
	}
	s.buffer = appendFrame(s.buffer[:0], batch) // compaction has overwritten the buffer
	offset, err := s.writeFrame(s.buffer)
	if err != nil {
		return err
	}
	s.nextLSN += uint64(len(batch))
	s.stats.Appended += size
	g := s.activeSegment()
	for i := range batch {
		s.indexRecord(&batch[i], g, offset)
	}
	s.stats.LargestStep = max(s.stats.LargestStep, step)
	return s.syncIfRequired()
}

// checkWritable returns an error if the store does not accept appends.
func (s *Store) checkWritable() error {
	switch {
	case s.closed:
		return ErrClosed
	case s.broken != nil:
		return s.broken
	}
	return nil
}

// syncIfRequired syncs an append, or schedules a sync, according to the durability.
func (s *Store) syncIfRequired() error {
	s.dirty = true
	switch s.options.Durability {
	case EachAppend:
		return s.sync()
	case GroupSync:
		if s.timer == nil {
			s.timer = time.AfterFunc(s.options.GroupWait, func() {
				s.mu.Lock()
				defer s.mu.Unlock()
				s.timer = nil
				if !s.closed && s.broken == nil {
					s.sync() // the next append returns its error
				}
			})
		}
	}
	return nil
}

// Sync syncs the log regardless of the durability. Afterwards all appended records survive a power failure.
func (s *Store) Sync() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.checkWritable(); err != nil {
		return err
	}
	return s.sync()
}

// sync syncs the newest segment. Older ones were synced before the next segment was started.
func (s *Store) sync() error {
	if !s.dirty {
		return nil
	}
	// After a failed sync it is unknown which pages are on disk. A retry may succeed without having written them.
	if err := s.activeSegment().file.Sync(); err != nil {
		s.broken = fmt.Errorf("%w: %w", ErrBroken, err)
		return s.broken
	}
	s.dirty = false
	s.stats.Syncs++
	return nil
}

// writeFrame appends an encoded frame to the log, starting a new segment if necessary, and returns the frame's offset
// in the newest segment.
func (s *Store) writeFrame(b []byte) (int64, error) {
	g := s.activeSegment()
	if g.size+int64(len(b)) > s.options.Segment && g.size > segmentHeaderSize {
		if s.options.Durability != ProcessExit {
			if err := s.sync(); err != nil {
				return 0, err
			}
		}
		if err := s.startSegment(); err != nil {
			return 0, err
		}
		g = s.activeSegment()
	}
	offset := g.size
	if err := writeAll(g.file, b, offset); err != nil {
		// The partial write must neither be read as a frame nor make the next frame unreadable.
		if truncateErr := g.file.Truncate(offset); truncateErr != nil {
			s.warn("failed to truncate after a failed append; starting a new segment",
				"file", g.name, "offset", offset, "err", truncateErr)
			if startErr := s.startSegment(); startErr != nil {
				s.broken = fmt.Errorf("%w: %w", ErrBroken, errors.Join(err, startErr))
			}
		}
		return 0, fmt.Errorf("store: %s: %w", g.name, err)
	}
	s.diskBytes += roundToBlocks(g.size+int64(len(b))) - roundToBlocks(g.size)
	g.size += int64(len(b))
	return offset, nil
}

// HighestEntityID returns the highest entity ID in the log, live or ended. The ID of an ended entity must not be reused
// while the log contains its records.
func (s *Store) HighestEntityID() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.highestEntity
}

// Stats returns the current statistics.
func (s *Store) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.stats
	t.Segments, t.Entities, t.LiveBytes, t.DiskBytes, t.Budget = len(s.segments), len(s.entities), s.liveBytes,
		s.diskBytes, s.options.Budget
	return t
}

// Damages returns the parts of the log that could not be read when the store was opened.
func (s *Store) Damages() []Damage { return s.damages }

// Close syncs the log, unless the durability is ProcessExit, and unlocks the folder. A second call does nothing.
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
	if s.options.Durability != ProcessExit && s.broken == nil {
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
