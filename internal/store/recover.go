package store

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"io"
	"math"
	"runtime"
	"slices"
	"sync"
)

// Damage is a part of a segment that could not be read. The records in it are lost; all others were read.
type Damage struct {
	File   string `json:"file"`
	Offset int64  `json:"offset"`
	Length int64  `json:"length"`
	// Tail means that the part is at the end of the log, as after a process was killed during an append, which was then
	// not acknowledged.
	Tail bool `json:"tail,omitempty"`
	// Missing means that one or more segments before this file are missing.
	Missing bool `json:"missing,omitempty"`
}

// segmentContent is the result of reading one segment.
type segmentContent struct {
	segment    *segment
	records    []locatedRecord
	damages    []Damage
	highestLSN uint64
	nameNumber uint64 // segment number in the file name
	missing    bool   // one or more segments before it are missing
	err        error
}

// locatedRecord is a record without its data, and its location.
type locatedRecord struct {
	Record
	location location
}

// Open opens the store in a folder, or creates one. Damaged parts of the log are logged and returned by Damages; all
// other parts are read. It returns ErrLocked if another process has the folder open. For a newer format it returns
// ErrNewer and does not modify the folder.
func Open(o Options) (*Store, error) {
	if o.Segment <= 0 {
		o.Segment = maxSegment
		if o.Budget > 0 {
			o.Segment = min(max(o.Budget/16, minSegment), maxSegment)
		}
	}
	if o.Budget > 0 && o.Budget < (reservedSegments+2)*o.Segment {
		return nil, fmt.Errorf("store: budget of %d bytes is too small for segments of %d bytes", o.Budget, o.Segment)
	}
	if o.Durability == GroupSync && o.GroupWait <= 0 {
		return nil, errors.New("store: group durability requires a positive GroupWait")
	}
	lock, err := o.FS.Lock()
	if err != nil {
		return nil, err
	}
	s := newStore(o)
	s.lock = lock
	if err := s.rebuildFromDisk(); err != nil {
		for _, g := range s.segments {
			g.file.Close()
		}
		lock.Close()
		return nil, err
	}
	return s, nil
}

// newStore returns an empty store without segments.
func newStore(o Options) *Store {
	return &Store{
		options: o, entities: map[uint64]*entity{}, nextLSN: 1, nextSegment: 1, compactionOffset: segmentHeaderSize,
		diskBytes: blockSize, // the lock file
		byKey:     newOrderedIndex(func(a, b indexKey) int { return cmp.Compare(a.key, b.key) }),
		byTime:    newOrderedIndex(func(a, b indexKey) int { return cmp.Compare(a.time, b.time) }),
		byDest:    newOrderedIndex(func(a, b indexKey) int { return cmp.Compare(a.dest, b.dest) }),
	}
}

// readAll reads all segments, several of them concurrently, and returns them in ascending order of number.
func (s *Store) readAll() ([]segmentContent, error) {
	names, err := listSegments(s.options.FS)
	if err != nil {
		return nil, err
	}
	list := make([]segmentContent, len(names))
	var wg sync.WaitGroup
	slots := make(chan struct{}, max(1, min(runtime.GOMAXPROCS(0), 4)))
	for i, name := range names {
		slots <- struct{}{}
		wg.Go(func() {
			list[i] = s.readSegment(name)
			<-slots
		})
	}
	wg.Wait()
	slices.SortStableFunc(list, func(a, b segmentContent) int { return cmp.Compare(a.segment.number, b.segment.number) })
	for i := range list {
		if g := list[i].segment; g != nil && g.file != nil {
			s.segments = append(s.segments, g)
		}
	}
	for i := range list {
		if list[i].err != nil {
			return nil, list[i].err
		}
	}
	for i := 1; i < len(list); i++ {
		a, b := list[i-1].segment, list[i].segment
		if a.number == b.number {
			return nil, fmt.Errorf("store: %s and %s are the same segment: move the older copy elsewhere", a.name, b.name)
		}
		list[i].missing = b.number != a.number+1
	}
	return list, nil
}

// rebuildFromDisk reads the folder and rebuilds the index.
func (s *Store) rebuildFromDisk() error {
	list, err := s.readAll()
	if err != nil {
		return err
	}
	seals := s.sealTails(list)
	s.rebuildIndex(list)
	if n := len(list); n > 0 && len(list[n-1].damages) == 0 && len(seals) == 0 {
		return nil
	}
	// Appends never follow a damaged part in the same segment. A truncated tail is not modified; a seal record tells later
	// readers that it was not acknowledged.
	if err := s.startSegment(); err != nil || len(seals) == 0 {
		return err
	}
	for i := range seals {
		seals[i].LSN = s.nextLSN
		s.nextLSN++
	}
	_, err = s.writeFrame(appendFrame(nil, seals))
	return err
}

// sealTails sets Tail for the damages that are truncated appends at the end of the log, and drops damages for which a
// seal record exists. It returns new seal records for the truncated appends.
func (s *Store) sealTails(list []segmentContent) (seals []Record) {
	sealed := map[uint64]int64{}
	last := 0 // index of the last segment with records
	for i := range list {
		for _, r := range list[i].records {
			if r.Kind == seal {
				sealed[r.Entity] = r.Time
			}
		}
		if len(list[i].records) > 0 {
			last = i
		}
	}
	for i := range list {
		content := &list[i]
		from, known := sealed[content.segment.number]
		content.damages = slices.DeleteFunc(content.damages, func(d Damage) bool { return known && d.Offset >= from })
		for j := range content.damages {
			d := &content.damages[j]
			if d.Tail = i >= last && d.Offset+d.Length >= content.segment.size; d.Tail {
				seals = append(seals, Record{Entity: content.segment.number, Kind: seal, Time: d.Offset})
			}
		}
	}
	return seals
}

// readSegment reads one segment file. Only file system errors and a newer format are reported as errors; damage is part
// of the returned content.
func (s *Store) readSegment(name string) segmentContent {
	f := segmentContent{segment: &segment{name: name}}
	f.err = s.openSegment(&f)
	if f.err == nil {
		f.err = f.readFrames()
	}
	return f
}

// openSegment opens the file of a segment and parses the segment's number from the file name.
func (s *Store) openSegment(f *segmentContent) error {
	g := f.segment
	var err error
	if g.size, err = s.options.FS.Size(g.name); err == nil {
		g.file, err = s.options.FS.Open(g.name)
	}
	if err != nil {
		return fmt.Errorf("store: %w", err)
	}
	if _, err := fmt.Sscanf(g.name, "%016x.log", &g.number); err != nil {
		return fmt.Errorf("store: %s is not a valid segment file name: move the file elsewhere", g.name)
	}
	f.nameNumber = g.number
	return nil
}

// readFrames reads the header and the frames of an open segment, and records damaged parts.
func (f *segmentContent) readFrames() error {
	g := f.segment
	w := &fileWindow{file: g.file, size: g.size}
	at, err := f.readHeader(w)
	if err != nil {
		return err
	}
	for at < g.size {
		b, err := w.bytesFrom(at, frameHeaderSize+maxFrame)
		if err != nil {
			return fmt.Errorf("store: %s: %w", g.name, err)
		}
		batch, n, err := decodeFrame(b)
		if err != nil {
			next, err := w.nextFrame(at + 1)
			if err != nil {
				return fmt.Errorf("store: %s: %w", g.name, err)
			}
			f.damages = append(f.damages, Damage{File: g.name, Offset: at, Length: next - at})
			at = next
			continue
		}
		for _, r := range batch {
			f.highestLSN = max(f.highestLSN, r.LSN)
			x := locatedRecord{r, location{g.number, at, r.LSN, int32(r.size())}}
			x.Data = nil // Load reads the data again from the file
			f.records = append(f.records, x)
		}
		at += int64(n)
	}
	if g.size == 0 { // the process was killed between creating the file and writing its header
		f.damages = append(f.damages, Damage{File: g.name})
	}
	return nil
}

// readHeader sets the number of the segment from its header and returns the offset of the first frame. For a damaged
// header it returns 0, so that the header is read as a damaged frame.
func (f *segmentContent) readHeader(w *fileWindow) (int64, error) {
	g := f.segment
	header, err := w.bytesFrom(0, segmentHeaderSize)
	if err != nil {
		return 0, fmt.Errorf("store: %s: %w", g.name, err)
	}
	number, err := decodeSegmentHeader(header)
	switch {
	case errors.Is(err, ErrNewer):
		return 0, fmt.Errorf("%s: %w", g.name, err)
	case err != nil:
		return 0, nil
	}
	g.number = number // takes precedence over the file name, as the file may have been renamed
	return segmentHeaderSize, nil
}

// fileWindow reads a file from start to end in bounded memory.
type fileWindow struct {
	file  File
	size  int64
	start int64 // file offset of data
	data  []byte
}

// bytesFrom returns at least minBytes bytes from an offset on, or all bytes up to the end of the file if there are
// fewer.
func (w *fileWindow) bytesFrom(offset, minBytes int64) ([]byte, error) {
	minBytes = min(minBytes, w.size-offset)
	if offset < w.start || offset+minBytes > w.start+int64(len(w.data)) {
		if w.data == nil {
			w.data = make([]byte, 0, min(w.size, 2*maxFrame))
		}
		n := min(int64(cap(w.data)), w.size-offset)
		w.start, w.data = offset, w.data[:n]
		if read, err := w.file.ReadAt(w.data, offset); err != nil && !(errors.Is(err, io.EOF) && int64(read) == n) {
			return nil, err
		}
	}
	return w.data[offset-w.start:], nil
}

// nextFrame returns the offset of the first intact frame at or after an offset, or the size of the file if there is
// none.
func (w *fileWindow) nextFrame(from int64) (int64, error) {
	for from < w.size {
		b, err := w.bytesFrom(from, frameHeaderSize+maxFrame)
		if err != nil {
			return 0, err
		}
		i := bytes.Index(b, frameMagic)
		if i < 0 { // a magic number may extend beyond the window
			from += max(1, int64(len(b)-len(frameMagic)+1))
			continue
		}
		b, err = w.bytesFrom(from+int64(i), frameHeaderSize+maxFrame)
		if err != nil {
			return 0, err
		}
		if _, _, err := decodeFrame(b); err == nil {
			return from + int64(i), nil
		}
		from += int64(i) + 1
	}
	return w.size, nil
}

// rebuildIndex builds the index from the content of the segments.
func (s *Store) rebuildIndex(list []segmentContent) {
	ended, bases := map[uint64]bool{}, map[uint64]uint64{}
	total := 0
	for i := range list {
		total += len(list[i].records)
		s.nextLSN = max(s.nextLSN, list[i].highestLSN+1)
		if list[i].segment.file != nil {
			s.nextSegment = max(s.nextSegment, list[i].segment.number+1, list[i].nameNumber+1)
			s.diskBytes += roundToBlocks(list[i].segment.size)
		}
		for _, r := range list[i].records {
			if r.Kind != seal {
				s.highestEntity = max(s.highestEntity, r.Entity)
			}
			switch r.Kind {
			case End:
				ended[r.Entity] = true
			case Replace:
				bases[r.Entity] = max(bases[r.Entity], r.LSN)
			}
		}
	}
	all := make([]locatedRecord, 0, total)
	for i := range list {
		for _, r := range list[i].records {
			if (r.Kind == Put || r.Kind == Replace) && !ended[r.Entity] && r.LSN >= bases[r.Entity] {
				all = append(all, r)
			}
		}
	}
	// If the process was killed after compaction copied a record and before it removed the old segment, the record
	// exists twice. Only the copy is used.
	slices.SortStableFunc(all, func(a, b locatedRecord) int {
		return cmp.Or(cmp.Compare(a.LSN, b.LSN), cmp.Compare(b.location.segment, a.location.segment),
			cmp.Compare(b.location.offset, a.location.offset))
	})
	doubtfulLimit := s.doubtfulLSNLimit(list)
	for i, r := range all {
		if i > 0 && all[i-1].LSN == r.LSN {
			continue
		}
		g := s.segment(r.location.segment)
		s.indexRecord(&r.Record, g, r.location.offset)
		e := s.entities[r.Entity]
		e.locations[len(e.locations)-1].size = r.location.size
		if size := r.Record.size(); size != int64(r.location.size) { // correct the size, which was computed without the data
			g.live += int64(r.location.size) - size
			s.liveBytes += int64(r.location.size) - size
		}
		if len(e.locations) == 1 {
			e.doubtful = r.LSN < doubtfulLimit
		}
	}
}

// doubtfulLSNLimit logs the damages and returns an LSN limit: an entity whose first record has a lower LSN may have
// lost a record to damage. For damage within a segment the limit is the highest LSN in that segment. If the damage
// reaches the end of the segment, any entity may be affected, and the limit is the maximum value.
func (s *Store) doubtfulLSNLimit(list []segmentContent) uint64 {
	limit := uint64(0)
	for i := range list {
		if list[i].missing { // they may have contained an End or other records of any older entity
			s.damages = append(s.damages, Damage{File: list[i].segment.name, Missing: true})
			s.warn("segments are missing; live entities may lack records or may have ended", "before_file", list[i].segment.name)
			limit = max(limit, list[i].highestLSN+1)
		}
		for _, d := range list[i].damages {
			s.damages = append(s.damages, d)
			if d.Tail {
				s.warn("truncated append at the end of the log; it was not acknowledged",
					"file", d.File, "offset", d.Offset, "bytes", d.Length)
				continue
			}
			s.warn("part of the log is damaged; live entities may lack records",
				"file", d.File, "offset", d.Offset, "bytes", d.Length)
			if d.Offset+d.Length >= list[i].segment.size {
				limit = math.MaxUint64
			}
			limit = max(limit, list[i].highestLSN)
		}
	}
	return limit
}
