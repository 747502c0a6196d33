package store

import "fmt"

// minDeadFraction is the minimum dead fraction of the log at which compaction runs before space is actually needed.
const minDeadFraction = 0.25

// freeSpace runs the compaction steps that are due during an append of size bytes, and any further steps needed for the
// append to leave spare bytes of the budget free. It returns the number of bytes read, and ErrFull if the append does
// not fit.
func (s *Store) freeSpace(size, spare int64) (int64, error) {
	if s.options.Budget <= 0 {
		return 0, nil
	}
	read := int64(0)
	if float64(s.diskBytes) > compactionThreshold*float64(s.options.Budget) {
		for read < compactionFactor*size && s.worthCompacting() {
			n, err := s.compactStep(compactionFactor*size - read)
			if read += n; err != nil {
				return read, err
			}
		}
	}
	// One pass over the whole log reclaims all space that can be reclaimed, so reading twice the log's size suffices.
	for limit := 2 * s.diskBytes; !s.fits(size, spare) && read < limit && len(s.segments) > 1; {
		n, err := s.compactStep(s.options.Segment)
		if read += n; err != nil {
			return read, err
		}
	}
	if !s.fits(size, spare) {
		return read, ErrFull
	}
	return read, nil
}

// worthCompacting reports whether the dead fraction of the log is large enough for compaction ahead of need.
func (s *Store) worthCompacting() bool {
	return len(s.segments) > 1 && float64(s.diskBytes-s.liveBytes) > minDeadFraction*float64(s.diskBytes)
}

// compactStep copies live records of the oldest segment to the end of the log. It stops after reading limit bytes,
// which the last frame may exceed. When the segment has no live records left, it is removed. It returns the number of
// bytes read, and the size of a frame header for a segment that is removed without reading.
func (s *Store) compactStep(limit int64) (int64, error) {
	g := s.segments[0]
	read := int64(0)
	for g.live > 0 && s.compactionOffset < g.size && read < max(limit, 1) {
		batch, length, err := readFrameAt(g.file, s.compactionOffset, g.size)
		if err != nil {
			// This part is damaged, which recovery has reported: continue after it.
			next := s.nextLiveOffset(g, s.compactionOffset)
			if next < 0 {
				return read, fmt.Errorf("store: %s at %d: %w", g.name, s.compactionOffset, err)
			}
			s.compactionOffset = next
			continue
		}
		if err := s.copyLive(g, batch); err != nil {
			return read, err
		}
		s.compactionOffset += int64(length)
		read += int64(length)
	}
	if g.live > 0 {
		if s.compactionOffset >= g.size {
			return read, fmt.Errorf("store: %s: %d live bytes not found", g.name, g.live)
		}
		return read, nil
	}
	return max(read, frameHeaderSize), s.removeOldestSegment(g)
}

// nextLiveOffset returns the lowest offset greater than after of a frame with a live record, or -1 if there is none. It
// searches all entities, which is slow but needed only in damaged segments.
func (s *Store) nextLiveOffset(g *segment, after int64) int64 {
	next := int64(-1)
	for _, e := range s.entities {
		for _, r := range e.locations {
			if r.segment == g.number && r.offset > after && (next < 0 || r.offset < next) {
				next = r.offset
			}
		}
	}
	return next
}

// copyLive copies the live records of a frame to the end of the log.
func (s *Store) copyLive(g *segment, batch []Record) error {
	var live []Record
	for _, r := range batch {
		if e := s.entities[r.Entity]; e != nil && e.findRecord(g.number, r.LSN) >= 0 {
			live = append(live, r)
		}
	}
	if len(live) == 0 {
		return nil
	}
	s.buffer = appendFrame(s.buffer[:0], live)
	if !s.fits(int64(len(s.buffer)), 0) {
		return ErrFull
	}
	offset, err := s.writeFrame(s.buffer)
	if err != nil {
		return err
	}
	s.dirty = true
	s.stats.Copied += int64(len(s.buffer))
	to := s.activeSegment()
	for i := range live {
		e := s.entities[live[i].Entity]
		at := &e.locations[e.findRecord(g.number, live[i].LSN)]
		g.live -= int64(at.size)
		to.live += int64(at.size)
		at.segment, at.offset = to.number, offset
	}
	return nil
}

// findRecord returns the index of the entity's record with an LSN in a segment, or -1 if there is none.
func (e *entity) findRecord(segment, lsn uint64) int {
	for i := range e.locations {
		if e.locations[i].lsn == lsn && e.locations[i].segment == segment {
			return i
		}
	}
	return -1
}

// removeOldestSegment deletes the oldest segment, which has no live records. The copies of its records are synced
// first, as the originals were.
func (s *Store) removeOldestSegment(g *segment) error {
	if s.options.Durability != ProcessExit {
		if err := s.sync(); err != nil {
			return err
		}
	}
	if err := s.options.FS.Remove(g.name); err != nil {
		return fmt.Errorf("store: %w", err)
	}
	g.file.Close() // the file is not read any more
	s.segments = s.segments[1:]
	s.diskBytes -= roundToBlocks(g.size)
	s.compactionOffset = segmentHeaderSize
	s.stats.Removed++
	return nil
}
