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

// Recovery of a damaged store. Records that are reachable through the B+ tree are recovered unchanged. A record that is
// found only by scanning the raw file may be outdated or deleted. It is recovered with an incomplete history, which
// means that it may have run.

const (
	newSuffix       = ".new"
	damagedSuffix   = ".damaged-"
	maxDamagedFiles = 4       // number of damaged files kept
	scanChunk       = 1 << 20 // bytes read from the raw file at a time
	recoveryBatch   = 500     // records restored in one transaction
)

// checkMetaPages returns ErrDamaged if one of bbolt's two meta pages is damaged. bbolt itself would fall back to the
// other one, which refers to an older state in which a record that was sent may still be held. A missing or empty file
// is not an error.
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
		const headerSize, metaSize = 16, 64 // sizes of the page header and of the meta that follows it
		buf := make([]byte, headerSize+metaSize)
		if _, err := f.ReadAt(buf, i*page); err != nil {
			return fmt.Errorf("%w: meta page %d: %w", ErrDamaged, i, err)
		}
		meta := buf[headerSize:]
		if p := int64(binary.NativeEndian.Uint32(meta[8:])); i == 0 && p >= 512 && p <= 1<<16 {
			page = p // the file was written on a machine with another page size
		}
		sum := fnv.New64a()
		sum.Write(meta[:metaSize-8])
		if binary.NativeEndian.Uint64(meta[metaSize-8:]) != sum.Sum64() {
			return fmt.Errorf("%w: meta page %d", ErrDamaged, i)
		}
	}
	return nil
}

// frameLocation is the location of a frame in the raw file.
type frameLocation struct {
	revision uint64
	offset   int64
	size     int
}

// recoveredData describes the content that was found in a damaged file.
type recoveredData struct {
	treeRevisions map[uint64]uint64 // revisions of the records reachable through the tree, by sequence number
	treeIntact    bool              // the tree was read completely
	records       map[uint64]frameLocation
	bodies        map[uint64]frameLocation
	auditEntries  [][]byte
}

// recoverStore copies the readable content of a damaged store to a new one, and renames the damaged file. After a crash
// at any point, either the damaged file or the new store is complete.
func recoverStore(path string, cause error, log *slog.Logger) (*Store, error) {
	newPath := path + newSuffix
	log.Error("dead-letter store is damaged; recovering readable records", "file", path, "err", cause)
	found, err := readDamaged(path)
	if err != nil {
		return nil, err
	}
	s, err := open(newPath, false)
	if err != nil {
		return nil, err
	}
	s.db.NoSync = true // the complete file is synced below
	result, err := s.fillFrom(path, found)
	if err == nil {
		err = s.db.Sync()
	}
	if err2 := s.db.Close(); err == nil {
		err = err2
	}
	if err != nil {
		os.Remove(newPath)
		return nil, fmt.Errorf("held: recovery: %w", err)
	}
	damagedPath := fmt.Sprintf("%s%s%d", path, damagedSuffix, time.Now().UnixMilli())
	if err := os.Rename(path, damagedPath); err != nil {
		return nil, fmt.Errorf("held: %w", err)
	}
	if err := os.Rename(newPath, path); err != nil {
		return nil, fmt.Errorf("held: %w", err)
	}
	log.Error("damaged dead-letter store replaced", "file", damagedPath, "records", result.intact,
		"history_incomplete", result.incomplete, "bodies_lost", result.bodiesLost, "audit_entries", len(found.auditEntries))
	removeOldDamagedFiles(path, log)
	return open(path, false)
}

// finishRecovery handles the new file of an interrupted recovery. If the damaged file was already renamed, the new file
// is complete and takes its place; otherwise the new file is removed.
func finishRecovery(path string) error {
	newPath := path + newSuffix
	if _, err := os.Stat(newPath); errors.Is(err, os.ErrNotExist) {
		return nil
	}
	_, err := os.Stat(path)
	if errors.Is(err, os.ErrNotExist) {
		err = os.Rename(newPath, path)
	} else if err == nil {
		err = os.Remove(newPath)
	}
	if err != nil {
		return fmt.Errorf("held: %w", err)
	}
	return nil
}

// removeOldDamagedFiles removes all but the latest maxDamagedFiles damaged files.
func removeOldDamagedFiles(path string, log *slog.Logger) {
	list, _ := filepath.Glob(path + damagedSuffix + "*")
	slices.Sort(list)
	for ; len(list) > maxDamagedFiles; list = list[1:] {
		log.Warn("old damaged dead-letter store removed", "file", list[0], "err", os.Remove(list[0]))
	}
}

// readDamaged locates the records of a damaged file through its tree and by scanning the raw file.
func readDamaged(path string) (*recoveredData, error) {
	found := &recoveredData{
		treeRevisions: map[uint64]uint64{}, records: map[uint64]frameLocation{}, bodies: map[uint64]frameLocation{},
	}
	err := recoverPanics(func() error {
		db, err := bolt.Open(path, 0o600, &bolt.Options{Timeout: lockTimeout, ReadOnly: true})
		if err != nil {
			return err
		}
		defer db.Close()
		return db.View(found.readTree)
	})
	found.treeIntact = err == nil
	raw, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("held: %w", err)
	}
	defer raw.Close()
	return found, found.scanFrames(raw)
}

// readTree collects the revisions of the records, and the audit entries, that are reachable through the tree.
func (d *recoveredData) readTree(tx *bolt.Tx) error {
	records := tx.Bucket(bucketRecords)
	if records == nil {
		return ErrDamaged
	}
	damaged := false
	err := records.ForEach(func(k, v []byte) error {
		if p, intact := unframe(v); intact && p.kind == kindRecord && len(k) == 8 && p.seq == binary.BigEndian.Uint64(k) {
			d.treeRevisions[p.seq] = p.revision
		} else {
			damaged = true
		}
		return nil
	})
	if audit := tx.Bucket(bucketAudit); audit != nil {
		audit.ForEach(func(_, v []byte) error {
			if json.Valid(v) {
				d.auditEntries = append(d.auditEntries, bytes.Clone(v))
			}
			return nil
		})
	}
	if damaged {
		return ErrDamaged
	}
	return err
}

// scanFrames searches the raw file for frames, using bounded memory. If a record has several frames, the one with the
// highest revision is used.
func (d *recoveredData) scanFrames(r io.ReaderAt) error {
	const overlap = frameHeaderSize + maxPayload
	buf := make([]byte, scanChunk+overlap)
	for base := int64(0); ; base += scanChunk {
		n, err := r.ReadAt(buf, base)
		if err != nil && err != io.EOF {
			return fmt.Errorf("held: %w", err)
		}
		data := buf[:n]
		for i := 0; i < min(n, scanChunk); {
			j := bytes.Index(data[i:], frameMagic)
			if j < 0 || i+j >= scanChunk {
				break
			}
			i += j
			p, intact := unframe(data[i:])
			if !intact {
				i++
				continue
			}
			locations := d.records
			if p.kind == kindBody {
				locations = d.bodies
			}
			if old, known := locations[p.seq]; !known || p.revision >= old.revision {
				locations[p.seq] = frameLocation{p.revision, base + int64(i), p.size}
			}
			i += p.size
		}
		if err == io.EOF {
			return nil
		}
	}
}

// recoveryResult counts the recovered records.
type recoveryResult struct {
	intact     int // recovered unchanged
	incomplete int // recovered with an incomplete history
	bodiesLost int
}

// fillFrom restores the content that was found in a damaged file into a new store.
func (s *Store) fillFrom(path string, found *recoveredData) (recoveryResult, error) {
	var result recoveryResult
	raw, err := os.Open(path)
	if err != nil {
		return result, err
	}
	defer raw.Close()
	var sequences []uint64
	for sequence := range found.records {
		if _, inTree := found.treeRevisions[sequence]; inTree || !found.treeIntact {
			sequences = append(sequences, sequence)
		}
	}
	slices.Sort(sequences)
	for batch := range slices.Chunk(sequences, recoveryBatch) {
		err := s.Update(func(t *Tx) error {
			for _, sequence := range batch {
				if err := t.recoverRecord(raw, found, sequence, &result); err != nil {
					return err
				}
			}
			return nil
		})
		if err != nil {
			return result, err
		}
	}
	return result, s.Update(func(t *Tx) error { return t.restoreAudit(found.auditEntries) })
}

// recoverRecord restores a record from the raw file. It skips a record that cannot be read.
func (t *Tx) recoverRecord(raw io.ReaderAt, found *recoveredData, sequence uint64, result *recoveryResult) error {
	p, intact := readFrame(raw, found.records[sequence])
	r, ok := decode(p)
	if !intact || !ok {
		return nil
	}
	if revision, inTree := found.treeRevisions[sequence]; inTree && revision == r.Revision {
		result.intact++
	} else {
		result.incomplete++
		r.HistoryIncomplete = true
		if !r.State.Ended() {
			r.unschedule(time.Time{})
		}
		r.addEvent(time.Now(), "recovered from a damaged store, in doubt", "sender")
	}
	var body []byte
	if !r.State.Ended() {
		b, intact := readFrame(raw, found.bodies[sequence])
		if !intact || b.kind != kindBody {
			result.bodiesLost++
			r.BodyMissing = true
		}
		body = b.payload
	}
	return t.restore(&r, body)
}

// readFrame reads a frame at a location found by the scan.
func readFrame(raw io.ReaderAt, location frameLocation) (decodedFrame, bool) {
	buf := make([]byte, location.size)
	if _, err := raw.ReadAt(buf, location.offset); err != nil {
		return decodedFrame{}, false
	}
	return unframe(buf)
}

// restoreAudit appends entries to the audit trail.
func (t *Tx) restoreAudit(entries [][]byte) error {
	b := t.Bucket(bucketAudit)
	for _, entry := range entries {
		n, err := b.NextSequence()
		if err == nil {
			err = b.Put(encodeUint(n), entry)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// restore adds a record with its original sequence number.
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
