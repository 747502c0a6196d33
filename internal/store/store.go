// Package store is an append-only log of records in segment files, with an index in memory that is rebuilt from the
// log at start. Records belong to entities. Once an entity has ended its records are dead; compaction reclaims their
// space by copying the live records of the oldest segment to the end of the log, in bounded steps beside the appends.
// All files together stay within a budget at any time. The package knows nothing of what the records mean.
//
// It is safe to forget the end of an entity: its End lies in a segment at least as young as those of its other
// records, and only the oldest segment is ever removed.
//
// docs/design/durable-store.md has the format.
package store

import (
	"errors"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/tidwall/btree"
)

// The errors of a store, besides those of its files. After ErrFull nothing was written and later appends may succeed;
// after ErrBroken and ErrClosed none do.
var (
	ErrFull   = errors.New("store: no room left within the budget")
	ErrBroken = errors.New("store: a sync failed, nothing more can be promised")
	ErrClosed = errors.New("store: closed")
)

const (
	blockSize        = 512      // the budget counts files in whole blocks of this many bytes
	minSegment       = 16 << 10 // bytes
	maxSegment       = 64 << 20 // bytes
	reservedSegments = 2        // segments of the budget that only compaction and ends may use

	// Once more than compactionThreshold of the budget is used, compaction reads up to compactionFactor times the bytes
	// of an append beside it. It keeps up as long as half of the log is dead.
	compactionFactor    = 4
	compactionThreshold = 0.6
)

// Store is an open store. It is safe for concurrent use.
type Store struct {
	options Options
	lock    io.Closer

	mu               sync.Mutex
	segments         []*segment // the oldest first; the last one is appended to
	entities         map[uint64]*entity
	byKey            *btree.BTreeG[indexKey]
	byTime           *btree.BTreeG[indexKey]
	byDest           *btree.BTreeG[indexKey]
	nextLSN          uint64 // of the next record
	highest          uint64 // the highest id of an entity in the log, live or ended
	nextSegment      uint64 // its number
	diskBytes        int64  // of all files, in whole blocks
	liveBytes        int64
	compactionOffset int64 // offset in the oldest segment up to which compaction has come
	buffer           []byte
	dirty            bool // something was written since the last sync
	timer            *time.Timer
	broken           error
	closed           bool
	damages          []Damage
	stats            Stats
}

// Stats are counts since the store was opened.
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
	LargestStep int64 `json:"largest_step_bytes"` // read by compaction beside one append
}

// roundToBlocks returns the bytes that a file of a size takes of the budget.
func roundToBlocks(size int64) int64 { return (size + blockSize - 1) / blockSize * blockSize }

// warn logs a warning, if there is a logger.
func (s *Store) warn(text string, args ...any) {
	if s.options.Log != nil {
		s.options.Log.Warn("store: "+text, args...)
	}
}

// fits reports whether more bytes fit into the budget with spare bytes left over.
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

// CanAdmit reports whether entities of more bytes in all can be admitted with room for everything that follows of
// them. Live records may take three fifths of the space in which compaction works.
func (s *Store) CanAdmit(more int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.options.Budget <= 0 || s.liveBytes+more <= (s.options.Budget-reservedSegments*s.options.Segment)*3/5
}

// Append writes a batch atomically and sets the LSNs of its records. A record of an entity that is not live begins
// it; an End of such an entity has no effect. After an error nothing of the batch is in the store.
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
		return fmt.Errorf("store: a batch of %d bytes, %d at most", size, maxFrame)
	}
	spare := reservedSegments * s.options.Segment
	if onlyEnds { // they free space
		spare = s.options.Segment
	}
	step, err := s.freeSpace(size, spare)
	if err != nil {
		return err
	}
	s.buffer = appendFrame(s.buffer[:0], batch) // compaction used the buffer
	offset, err := s.writeFrame(s.buffer)
	if err != nil {
		return err
	}
	s.nextLSN += uint64(len(batch))
	s.stats.Appended += size
	g := s.activeSegment()
	for i := range batch {
		s.addToIndex(&batch[i], g, offset)
	}
	s.stats.LargestStep = max(s.stats.LargestStep, step)
	return s.syncIfRequired()
}

// checkWritable returns why nothing can be appended, if that is so.
func (s *Store) checkWritable() error {
	switch {
	case s.closed:
		return ErrClosed
	case s.broken != nil:
		return s.broken
	}
	return nil
}

// syncIfRequired syncs an append as the durability asks for it.
func (s *Store) syncIfRequired() error {
	s.dirty = true
	switch s.options.Durability {
	case Each:
		return s.sync()
	case Group:
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

// Sync syncs the log, whatever the durability: all that was appended outlasts a power cut.
func (s *Store) Sync() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.checkWritable(); err != nil {
		return err
	}
	return s.sync()
}

// sync syncs the newest segment; older ones were synced when they were left.
func (s *Store) sync() error {
	if !s.dirty {
		return nil
	}
	// After a failed sync it is unknown which pages the disk has: a second one may succeed and prove nothing.
	if err := s.activeSegment().file.Sync(); err != nil {
		s.broken = fmt.Errorf("%w: %w", ErrBroken, err)
		return s.broken
	}
	s.dirty = false
	s.stats.Syncs++
	return nil
}

// writeFrame appends a frame to the log and returns its offset in the newest segment.
func (s *Store) writeFrame(b []byte) (int64, error) {
	g := s.activeSegment()
	if g.size+int64(len(b)) > s.options.Segment && g.size > segmentHeaderSize {
		if s.options.Durability != Process {
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
		// The part that was written must neither be read as a frame nor hide the next one.
		if truncateErr := g.file.Truncate(offset); truncateErr != nil {
			s.warn("failed append not truncated, starting a new segment", "file", g.name, "offset", offset, "err", truncateErr)
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

// Highest returns the highest id of an entity in the log, live or ended. The id of an ended entity must not be used
// again while the log holds it.
func (s *Store) Highest() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.highest
}

// Stats returns the current counts.
func (s *Store) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.stats
	t.Segments, t.Entities, t.LiveBytes, t.DiskBytes, t.Budget = len(s.segments), len(s.entities), s.liveBytes,
		s.diskBytes, s.options.Budget
	return t
}

// Damages returns what could not be read when the store was opened.
func (s *Store) Damages() []Damage { return s.damages }

// Close syncs the log, unless the durability is Process, and unlocks the folder. A second call does nothing.
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
	if s.options.Durability != Process && s.broken == nil {
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
