package deadletter

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"slices"
	"time"

	bolt "go.etcd.io/bbolt"
)

// Recovery of a damaged store. What its tree still leads to, whole, stands as it
// is. What is found in the raw file alone may be an older state of its record, or
// one that was removed: it comes back in doubt, which counts as may have run.

const (
	newSuffix       = ".new"
	damagedSuffix   = ".damaged-"
	maxDamagedFiles = 4       // files set aside that are kept
	scanChunk       = 1 << 20 // read at a time
	recoveryBatch   = 500     // records in a transaction
)

// checkMetaPages checks bbolt's two meta pages. With one of them damaged bbolt would
// go on from the other, an older state, in which a record that was sent may
// still stand as held. A file that is missing or empty is whole.
func checkMetaPages(path string) error {
	f, err := os.Open(path)
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	if err != nil {
		return fmt.Errorf("held: %w", err)
	}
	defer f.Close()
	info, err := f.Stat()
	if err != nil || info.Size() == 0 {
		return err
	}
	page := int64(os.Getpagesize())
	for i := range int64(2) {
		const head, size = 16, 64 // bytes of a page's head, and of the meta behind it
		buf := make([]byte, head+size)
		if _, err := f.ReadAt(buf, i*page); err != nil {
			return fmt.Errorf("%w: meta page %d: %w", ErrDamaged, i, err)
		}
		meta := buf[head:]
		if p := int64(binary.NativeEndian.Uint32(meta[8:])); i == 0 && p >= 512 && p <= 1<<16 {
			page = p // a file from a machine with other pages
		}
		sum := fnv.New64a()
		sum.Write(meta[:size-8])
		if binary.NativeEndian.Uint64(meta[size-8:]) != sum.Sum64() {
			return fmt.Errorf("%w: meta page %d", ErrDamaged, i)
		}
	}
	return nil
}

// A fileRange is where a frame stands in the raw file.
type fileRange struct {
	revision uint64
	offset   int64
	size     int
}

// A recovered is what was found in a damaged file.
type recovered struct {
	treeRevisions map[uint64]uint64 // revision of each record that the tree leads to
	treeIntact    bool              // the tree was read to its end without a fault
	records       map[uint64]fileRange
	bodies        map[uint64]fileRange
	auditEntries  [][]byte
}

// recoverStore makes a new store of what a damaged one still tells, and puts the
// old file aside. A crash at any point of it leaves one of the two complete.
func recoverStore(path string, cause error, log *slog.Logger) (*Store, error) {
	fresh := path + newSuffix
	log.Error("held: the store is damaged; what can be read of it is taken over", "file", path, "err", cause)
	found, err := readDamaged(path)
	if err != nil {
		return nil, err
	}
	s, err := open(fresh, false)
	if err != nil {
		return nil, err
	}
	s.db.NoSync = true // until it is complete nobody relies on it
	sure, doubtful, lost, err := s.fillFrom(path, found)
	if err == nil {
		err = s.db.Sync()
	}
	if err2 := s.db.Close(); err == nil {
		err = err2
	}
	if err != nil {
		os.Remove(fresh)
		return nil, fmt.Errorf("held: recovery: %w", err)
	}
	aside := fmt.Sprintf("%s%s%d", path, damagedSuffix, time.Now().UnixMilli())
	if err := os.Rename(path, aside); err != nil {
		return nil, fmt.Errorf("held: %w", err)
	}
	if err := os.Rename(fresh, path); err != nil {
		return nil, fmt.Errorf("held: %w", err)
	}
	log.Error("held: the damaged store is set aside", "file", aside, "records", sure, "in_doubt", doubtful, "bodies_lost", lost, "audit_entries", len(found.auditEntries))
	removeOldDamagedFiles(path, log)
	return open(path, false)
}

// finishRecovery goes on with a recovery that was cut short. Where the old file
// had been put aside the new one was complete; else it was not, and goes.
func finishRecovery(path string) error {
	fresh := path + newSuffix
	if _, err := os.Stat(fresh); errors.Is(err, os.ErrNotExist) {
		return nil
	}
	_, err := os.Stat(path)
	if errors.Is(err, os.ErrNotExist) {
		err = os.Rename(fresh, path)
	} else if err == nil {
		err = os.Remove(fresh)
	}
	if err != nil {
		return fmt.Errorf("held: %w", err)
	}
	return nil
}

// removeOldDamagedFiles keeps the latest of the files that were set aside.
func removeOldDamagedFiles(path string, log *slog.Logger) {
	list, _ := filepath.Glob(path + damagedSuffix + "*")
	slices.Sort(list)
	for ; len(list) > maxDamagedFiles; list = list[1:] {
		log.Warn("held: removed a damaged store set aside long ago", "file", list[0], "err", os.Remove(list[0]))
	}
}

// readDamaged looks for all that a damaged file holds: by its tree, and in the raw.
func readDamaged(path string) (*recovered, error) {
	f := &recovered{treeRevisions: map[uint64]uint64{}, records: map[uint64]fileRange{}, bodies: map[uint64]fileRange{}}
	err := recoverPanics(func() error {
		db, err := bolt.Open(path, 0o600, &bolt.Options{Timeout: lockTimeout, ReadOnly: true})
		if err != nil {
			return err
		}
		defer db.Close()
		return db.View(f.readTree)
	})
	f.treeIntact = err == nil
	raw, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("held: %w", err)
	}
	defer raw.Close()
	return f, f.scanFrames(raw)
}

// readTree follows the tree as far as it leads.
func (f *recovered) readTree(tx *bolt.Tx) error {
	records := tx.Bucket(bucketRecords)
	if records == nil {
		return ErrDamaged
	}
	spoilt := false
	err := records.ForEach(func(k, v []byte) error {
		if p, whole := unframe(v); whole && p.kind == kindRecord && len(k) == 8 && p.seq == binary.BigEndian.Uint64(k) {
			f.treeRevisions[p.seq] = p.rev
		} else {
			spoilt = true
		}
		return nil
	})
	if audit := tx.Bucket(bucketAudit); audit != nil {
		audit.ForEach(func(_, v []byte) error {
			if json.Valid(v) {
				f.auditEntries = append(f.auditEntries, bytes.Clone(v))
			}
			return nil
		})
	}
	if spoilt {
		return ErrDamaged
	}
	return err
}

// scanFrames looks for frames in the raw file, a chunk at a time. Of a record the
// highest revision counts.
func (f *recovered) scanFrames(r io.ReaderAt) error {
	const overlap = frameHeaderSize + maxPayload
	buf := make([]byte, scanChunk+overlap)
	for base := int64(0); ; base += scanChunk {
		n, err := r.ReadAt(buf, base)
		if err != nil && err != io.EOF {
			return fmt.Errorf("held: %w", err)
		}
		data := buf[:n]
		for i := 0; i < min(n, scanChunk); {
			j := bytes.Index(data[i:], frameMark)
			if j < 0 || i+j >= scanChunk {
				break
			}
			i += j
			p, whole := unframe(data[i:])
			if !whole {
				i++
				continue
			}
			to := f.records
			if p.kind == kindBody {
				to = f.bodies
			}
			if old, known := to[p.seq]; !known || p.rev >= old.revision {
				to[p.seq] = fileRange{p.rev, base + int64(i), p.size}
			}
			i += p.size
		}
		if err == io.EOF {
			return nil
		}
	}
}

// fillFrom fills a new store with what was found.
func (s *Store) fillFrom(path string, f *recovered) (sure, doubtful, lost int, err error) {
	raw, err := os.Open(path)
	if err != nil {
		return 0, 0, 0, err
	}
	defer raw.Close()
	read := func(at fileRange) (framed, bool) {
		buf := make([]byte, at.size)
		if _, err := raw.ReadAt(buf, at.offset); err != nil {
			return framed{}, false
		}
		return unframe(buf)
	}
	var seqs []uint64
	for seq := range f.records {
		if _, led := f.treeRevisions[seq]; led || !f.treeIntact {
			seqs = append(seqs, seq)
		}
	}
	slices.Sort(seqs)
	now := time.Now()
	for len(seqs) > 0 {
		batch := seqs[:min(len(seqs), recoveryBatch)]
		seqs = seqs[len(batch):]
		err = s.Update(func(t *Tx) error {
			for _, seq := range batch {
				p, whole := read(f.records[seq])
				r, ok := decode(p)
				if !whole || !ok {
					continue
				}
				rev, led := f.treeRevisions[seq]
				if led && rev == r.Revision {
					sure++
				} else {
					doubtful++
					r.HistoryIncomplete = true
					if !r.State.Ended() {
						r.unschedule(time.Time{})
					}
					r.addEvent(now, "recovered from a damaged store, in doubt", "sender")
				}
				var body []byte
				if !r.State.Ended() {
					b, whole := read(f.bodies[seq])
					if !whole || b.kind != kindBody {
						lost++
						r.BodyMissing = true
					}
					body = b.payload
				}
				if err := t.restore(&r, body); err != nil {
					return err
				}
			}
			return nil
		})
		if err != nil {
			return
		}
	}
	err = s.Update(func(t *Tx) error {
		b := t.Bucket(bucketAudit)
		for _, a := range f.auditEntries {
			n, err := b.NextSequence()
			if err == nil {
				err = b.Put(encodeUint(n), a)
			}
			if err != nil {
				return err
			}
		}
		return nil
	})
	return
}

// restore enters a record under the number that it had.
func (t *Tx) restore(r *Record, body []byte) error {
	b := t.Bucket(bucketRecords)
	if b.Sequence() < r.Sequence {
		if err := b.SetSequence(r.Sequence); err != nil {
			return err
		}
	}
	if err := t.put(r, nil); err != nil {
		return err
	}
	if body != nil {
		framed := frame(kindBody, r.Sequence, 0, body)
		if err := t.Bucket(bucketBodies).Put(encodeUint(r.Sequence), framed); err != nil {
			return err
		}
		if err := t.addToCounter(metaBytes, int64(len(framed))); err != nil {
			return err
		}
	}
	return t.addToCounter(metaCount, 1)
}
