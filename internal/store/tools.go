package store

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"slices"
	"strings"
	"unicode/utf8"
)

// OpenReadOnly opens the store in a folder without locking or changing the folder, also while another process has it
// open. The returned store rejects appends.
func OpenReadOnly(fsys FS) (*Store, error) {
	// Compaction by another process may remove a segment after it was listed. Its live records are then in a newer
	// segment, which the next attempt reads.
	var err error
	for range maxReadAttempts {
		s := newStore(Options{FS: fsys})
		var list []segmentContent
		if list, err = s.readAll(); err == nil {
			s.sealTails(list)
			s.rebuildIndex(list)
			s.broken = errReadOnly
			return s, nil
		}
		for _, g := range s.segments {
			g.file.Close()
		}
		if !errors.Is(err, fs.ErrNotExist) {
			return nil, err
		}
	}
	return nil, fmt.Errorf("store: folder changed during each of several attempts to read it: %w", err)
}

// maxReadAttempts is the maximum number of attempts to read a folder that is being changed.
const maxReadAttempts = 5

var errReadOnly = errors.New("store: opened read-only")

// Summary describes the content of a store for operators.
type Summary struct {
	Segments []SegmentSummary `json:"segments"`
	Entities int              `json:"entities"`
	Doubtful int              `json:"doubtful"` // entities that may have lost a record to damage
	Live     int64            `json:"live_bytes"`
	Disk     int64            `json:"disk_bytes"`
	Damages  []Damage         `json:"damages,omitempty"`
}

// SegmentSummary describes one segment file.
type SegmentSummary struct {
	File string `json:"file"`
	Size int64  `json:"size"`
	Live int64  `json:"live_bytes"`
}

// Summary returns a description of the store's content.
func (s *Store) Summary() Summary {
	s.mu.Lock()
	defer s.mu.Unlock()
	sum := Summary{Entities: len(s.entities), Live: s.liveBytes, Disk: s.diskBytes, Damages: s.damages}
	for _, g := range s.segments {
		sum.Segments = append(sum.Segments, SegmentSummary{g.name, g.size, g.live})
	}
	for _, e := range s.entities {
		if e.doubtful {
			sum.Doubtful++
		}
	}
	return sum
}

// maxVerifyErrors is the maximum number of errors that Verify returns.
const maxVerifyErrors = 100

// Verify reads every live record and returns the errors of up to 100 entities that can't be read.
func (s *Store) Verify() error {
	var errs []error
	s.Entities(func(e Entity) bool {
		if _, err := s.Load(e.ID); err != nil {
			errs = append(errs, fmt.Errorf("entity %d: %w", e.ID, err))
		}
		return len(errs) < maxVerifyErrors
	})
	return errors.Join(errs...)
}

// dumpLine is a line in the output of Dump, which describes one record.
type dumpLine struct {
	Entity uint64 `json:"entity"`
	LSN    uint64 `json:"lsn"`
	Time   int64  `json:"time_us,omitempty"`
	Dest   int64  `json:"dest,omitempty"`
	Key    string `json:"key,omitempty"`
	Text   string `json:"text,omitempty"`
	Data   []byte `json:"data,omitempty"` // base64; used instead of Text if the data is not valid UTF-8
}

// Dump writes the live records as JSON lines, ordered by entity.
func (s *Store) Dump(out io.Writer) error {
	enc := json.NewEncoder(out)
	var failed error
	s.Entities(func(e Entity) bool {
		list, err := s.Load(e.ID)
		for _, r := range list {
			l := dumpLine{Entity: r.Entity, LSN: r.LSN, Time: r.Time, Dest: r.Destination, Key: r.Key}
			if utf8.Valid(r.Data) {
				l.Text = string(r.Data)
			} else {
				l.Data = r.Data
			}
			err = errors.Join(err, enc.Encode(l))
		}
		failed = err
		return err == nil
	})
	return failed
}

// listSegments returns the names of the segment files in a folder, from oldest to newest.
func listSegments(fsys FS) ([]string, error) {
	names, err := fsys.List()
	if err != nil {
		return nil, fmt.Errorf("store: %w", err)
	}
	names = slices.DeleteFunc(names, func(n string) bool { return !strings.HasSuffix(n, ".log") })
	slices.Sort(names) // the numbers in the names have a fixed length
	return names, nil
}

// Repair copies the readable entities of a store to a new store in another folder, ordered by their first records. If
// intactOnly is set, it skips entities that may lack a record. It returns the numbers of entities written and skipped.
func Repair(from FS, to Options, intactOnly bool) (written, skipped int, err error) {
	s, err := OpenReadOnly(from)
	if err != nil {
		return 0, 0, err
	}
	defer s.Close()
	repaired, err := Open(to)
	if err != nil {
		return 0, 0, err
	}
	defer func() { err = errors.Join(err, repaired.Sync(), repaired.Close()) }()
	if repaired.Stats().Entities > 0 {
		return 0, 0, errors.New("store: target folder of a repair must not contain a store")
	}
	// Order entities by the LSN of their first record to preserve their order in the new store.
	type orderedID struct {
		firstLSN uint64
		id       uint64
	}
	var order []orderedID
	s.mu.Lock()
	for id, e := range s.entities {
		order = append(order, orderedID{e.locations[0].lsn, id})
	}
	s.mu.Unlock()
	slices.SortFunc(order, func(a, b orderedID) int { return cmp.Compare(a.firstLSN, b.firstLSN) })
	for _, x := range order {
		e, _ := s.Get(x.id)
		list, err := s.Load(x.id)
		if err != nil || intactOnly && e.MayLackRecords {
			skipped++
			continue
		}
		if err := repaired.Append(list...); err != nil {
			return written, skipped, err
		}
		written++
	}
	return written, skipped, nil
}
