package store

import "fmt"

// makeRoom lets compaction take its steps beside an append of so many bytes, and
// more of them where it would not fit otherwise. It returns what was read.
func (s *Store) makeRoom(size, spare int64) (int64, error) {
	if s.opt.Budget <= 0 {
		return 0, nil
	}
	read := int64(0)
	if float64(s.disk) > stepFrom*float64(s.opt.Budget) {
		for read < stepFactor*size && s.worth() {
			n, err := s.step(stepFactor*size - read)
			if read += n; err != nil {
				return read, err
			}
		}
	}
	// Once through all of it frees whatever there is to free.
	for most := 2 * s.disk; !s.room(size, spare) && read < most && len(s.segments) > 1; {
		n, err := s.step(s.opt.Segment)
		if read += n; err != nil {
			return read, err
		}
	}
	if !s.room(size, spare) {
		return read, ErrFull
	}
	return read, nil
}

// worth tells whether there is enough dead space for compaction to win any: a
// quarter of what is used.
func (s *Store) worth() bool {
	return len(s.segments) > 1 && float64(s.disk-s.live) > 0.25*float64(s.disk)
}

// step copies what is live in the oldest segment forward, reading so many bytes at
// most besides a last frame. Once all of it is copied, or none is live, the segment
// goes. It returns what it read; a segment that goes unread counts as one frame.
func (s *Store) step(most int64) (int64, error) {
	g := s.segments[0]
	read := int64(0)
	for g.live > 0 && s.scan < g.size && read < max(most, 1) {
		batch, n, err := frameAt(g.file, s.scan, g.size)
		if err != nil {
			// A damaged part, which recovery told of: what is live lies behind it.
			next := s.nextLive(g, s.scan)
			if next < 0 {
				return read, fmt.Errorf("store: %s at %d: %w", g.name, s.scan, err)
			}
			s.scan = next
			continue
		}
		if err := s.forward(g, batch); err != nil {
			return read, err
		}
		s.scan += int64(n)
		read += int64(n)
	}
	if g.live > 0 {
		if s.scan >= g.size {
			return read, fmt.Errorf("store: %s: %d live bytes were not found in it", g.name, g.live)
		}
		return read, nil
	}
	return max(read, frameHead), s.remove(g)
}

// nextLive is the first offset after another at which a live record lies; below 0 =
// none. It looks at all entities, which only a damage makes necessary.
func (s *Store) nextLive(g *segment, after int64) int64 {
	next := int64(-1)
	for _, e := range s.entities {
		for _, r := range e.refs {
			if r.segment == g.number && r.offset > after && (next < 0 || r.offset < next) {
				next = r.offset
			}
		}
	}
	return next
}

// forward copies the live records of a frame to the end of the log.
func (s *Store) forward(g *segment, batch []Record) error {
	var live []Record
	for _, r := range batch {
		if e := s.entities[r.Entity]; e != nil && e.find(g.number, r.LSN) >= 0 {
			live = append(live, r)
		}
	}
	if len(live) == 0 {
		return nil
	}
	s.buf = frame(s.buf[:0], live)
	if !s.room(int64(len(s.buf)), 0) {
		return ErrFull
	}
	offset, err := s.write(s.buf)
	if err != nil {
		return err
	}
	s.dirty = true
	s.stats.Copied += int64(len(s.buf))
	to := s.head()
	for i := range live {
		e := s.entities[live[i].Entity]
		at := &e.refs[e.find(g.number, live[i].LSN)]
		g.live -= int64(at.size)
		to.live += int64(at.size)
		at.segment, at.offset = to.number, offset
	}
	return nil
}

// find is the place of a record among an entity's, if it lies in that segment.
func (e *entity) find(segment, lsn uint64) int {
	for i := range e.refs {
		if e.refs[i].lsn == lsn && e.refs[i].segment == segment {
			return i
		}
	}
	return -1
}

// remove deletes the oldest segment, of which nothing is needed. What was copied from
// it must last at least as long as it would have.
func (s *Store) remove(g *segment) error {
	if s.opt.Durability != Process {
		if err := s.sync(); err != nil {
			return err
		}
	}
	if err := s.opt.FS.Remove(g.name); err != nil {
		return fmt.Errorf("store: %w", err)
	}
	g.file.Close() // nothing more is read from it
	s.segments = s.segments[1:]
	s.disk -= whole(g.size)
	s.scan = headLen
	s.stats.Removed++
	return nil
}
