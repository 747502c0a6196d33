package store

import (
	"encoding/binary"
	"fmt"
	"io"
	"slices"
)

// segment is one file of the log.
type segment struct {
	number uint64
	name   string
	file   File
	size   int64
	live   int64 // estimated bytes of its live records
}

// activeSegment returns the segment to which frames are appended.
func (s *Store) activeSegment() *segment { return s.segments[len(s.segments)-1] }

// startSegment creates the next segment and makes it the active one.
func (s *Store) startSegment() error {
	g := &segment{number: s.nextSegment, name: segmentName(s.nextSegment), size: segmentHeaderSize}
	file, err := s.options.FS.Create(g.name)
	if err != nil {
		return fmt.Errorf("store: %w", err)
	}
	g.file = file
	err = writeAll(file, encodeSegmentHeader(g.number), 0)
	if err == nil && s.options.Durability != ProcessExit {
		if err = file.Sync(); err == nil {
			err = s.options.FS.SyncDir()
		}
	}
	if err != nil {
		file.Close()
		if s.options.FS.Remove(g.name) != nil {
			s.nextSegment++ // the file remains as an empty segment, so its number is used
		}
		return fmt.Errorf("store: %s: %w", g.name, err)
	}
	s.nextSegment++
	s.segments = append(s.segments, g)
	s.diskBytes += roundToBlocks(g.size)
	return nil
}

// segmentName returns the file name of a segment.
func segmentName(number uint64) string { return fmt.Sprintf("%016x.log", number) }

// writeAll writes b at an offset. It returns an error for a short write.
func writeAll(f File, b []byte, at int64) error {
	n, err := f.WriteAt(b, at)
	if err == nil && n < len(b) {
		err = io.ErrShortWrite
	}
	return err
}

// segment returns the segment with a number, or nil if there is none.
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

// Load reads the records of a live entity in the order in which they were appended. For an unknown or ended entity it
// returns no records and no error.
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
	list := make([]Record, 0, len(e.locations))
	for _, at := range e.locations {
		r, err := s.readRecord(id, at)
		if err != nil {
			return nil, err
		}
		list = append(list, r)
	}
	return list, nil
}

// readRecord reads the record of an entity at a location.
func (s *Store) readRecord(id uint64, at location) (Record, error) {
	g := s.segment(at.segment)
	if g == nil {
		return Record{}, fmt.Errorf("store: segment %d does not exist", at.segment)
	}
	batch, _, err := readFrameAt(g.file, at.offset, g.size)
	if err != nil {
		return Record{}, fmt.Errorf("store: %s at %d: %w", g.name, at.offset, err)
	}
	for _, r := range batch {
		if r.LSN == at.lsn && r.Entity == id {
			return r, nil
		}
	}
	return Record{}, fmt.Errorf("store: %s at %d: record %d not found", g.name, at.offset, at.lsn)
}

// readFrameAt reads the frame at an offset of a file with the given size. It returns its records and its length.
func readFrameAt(f io.ReaderAt, offset, size int64) ([]Record, int, error) {
	header := make([]byte, frameHeaderSize)
	if _, err := f.ReadAt(header, offset); err != nil {
		return nil, 0, err
	}
	n := int64(frameLength(header))
	if n > size-offset {
		return nil, 0, errTruncated
	}
	b := make([]byte, n)
	if _, err := f.ReadAt(b, offset); err != nil {
		return nil, 0, err
	}
	return decodeFrame(b)
}

// frameLength returns the length of a frame, taken from its header and limited to the maximum.
func frameLength(header []byte) int {
	return frameHeaderSize + min(int(binary.LittleEndian.Uint32(header[4:])), maxFrame)
}
