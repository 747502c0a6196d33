package deadletter

import (
	"encoding/binary"
	"fmt"

	bolt "go.etcd.io/bbolt"
)

// Tx is a transaction on the store. In a write transaction it also collects the changes of the counts in memory.
type Tx struct {
	*bolt.Tx
	openCounts map[int]int
	keyCounts  map[uint64]int32
}

// counter returns a counter of the meta bucket.
func (t *Tx) counter(name string) uint64 {
	if v := t.Bucket(bucketMeta).Get([]byte(name)); len(v) == 8 {
		return binary.BigEndian.Uint64(v)
	}
	return 0
}

// addToCounter adds delta to a counter of the meta bucket.
func (t *Tx) addToCounter(name string, delta int64) error {
	return t.Bucket(bucketMeta).Put([]byte(name), encodeUint(uint64(int64(t.counter(name))+delta)))
}

// Get returns a record. It fails with ErrNotFound or ErrDamaged.
func (t *Tx) Get(seq uint64) (Record, error) {
	v := t.Bucket(bucketRecords).Get(encodeUint(seq))
	if v == nil {
		return Record{}, fmt.Errorf("%w: %d", ErrNotFound, seq)
	}
	p, intact := unframe(v)
	if r, ok := decode(p); intact && ok && p.seq == seq {
		return r, nil
	}
	return Record{}, fmt.Errorf("%w: record %d", ErrDamaged, seq)
}

// Body returns the body of a record, which is valid until the transaction ends. It fails with ErrNotFound or
// ErrDamaged.
func (t *Tx) Body(seq uint64) ([]byte, error) {
	v := t.Bucket(bucketBodies).Get(encodeUint(seq))
	if v == nil {
		return nil, fmt.Errorf("%w: body of %d", ErrNotFound, seq)
	}
	p, intact := unframe(v)
	if !intact || p.kind != kindBody || p.seq != seq {
		return nil, fmt.Errorf("%w: body of %d", ErrDamaged, seq)
	}
	return p.payload, nil
}

// storedSize returns the size of a record and its body in bytes, as counted toward the size bound.
func (t *Tx) storedSize(seq uint64) int64 {
	return int64(len(t.Bucket(bucketRecords).Get(encodeUint(seq))) + len(t.Bucket(bucketBodies).Get(encodeUint(seq))))
}

// put writes a record and its index entries. Former is the record that it replaces, or nil for a new record. The body
// of an ended record is deleted.
func (t *Tx) put(r, former *Record) error {
	before := t.storedSize(r.Sequence)
	if former != nil {
		if err := t.removeFromIndexes(former); err != nil {
			return err
		}
		t.countKey(former, -1)
		if !former.State.Ended() {
			t.openCounts[former.Destination]--
		}
	}
	t.countKey(r, 1)
	r.Revision++
	payload, err := encode(r)
	if err != nil {
		return fmt.Errorf("held: %w", err)
	}
	if err := t.Bucket(bucketRecords).Put(encodeUint(r.Sequence),
		frame(kindRecord, r.Sequence, r.Revision, payload)); err != nil {
		return err
	}
	for _, s := range indexEntries(r) {
		if err := t.Bucket(s.bucket).Put(s.key, s.value); err != nil {
			return err
		}
	}
	if r.State.Ended() {
		if err := t.Bucket(bucketBodies).Delete(encodeUint(r.Sequence)); err != nil {
			return err
		}
	} else {
		t.openCounts[r.Destination]++
	}
	return t.addToCounter(metaBytes, t.storedSize(r.Sequence)-before)
}

// change applies f to a record and stores the result. If f returns an error, the record is not changed.
func (t *Tx) change(seq uint64, f func(*Record) error) error {
	former, err := t.Get(seq)
	if err != nil {
		return err
	}
	r := former
	if err := f(&r); err != nil {
		return err
	}
	return t.put(&r, &former)
}

// sequenceByID returns the sequence number of the record with a message id.
func (t *Tx) sequenceByID(id string) (uint64, bool) {
	v := t.Bucket(bucketIDs).Get(encodeName(id))
	if len(v) != 8 {
		return 0, false
	}
	return binary.BigEndian.Uint64(v), true
}

// Add adds a record with its body. If the id is already known it changes nothing and returns false, since a dead letter
// may be reported again after a restart.
func (t *Tx) Add(r *Record, body []byte) (added bool, err error) {
	if _, known := t.sequenceByID(r.ID); known || t.Bucket(bucketPendingReports).Get(encodeName(r.ID)) != nil {
		return false, nil
	}
	if r.Sequence, err = t.Bucket(bucketRecords).NextSequence(); err != nil {
		return false, err
	}
	if err := t.put(r, nil); err != nil {
		return false, err
	}
	framed := frame(kindBody, r.Sequence, 0, body)
	if err := t.Bucket(bucketBodies).Put(encodeUint(r.Sequence), framed); err != nil {
		return false, err
	}
	if err := t.addToCounter(metaBytes, int64(len(framed))); err != nil {
		return false, err
	}
	return true, t.addToCounter(metaCount, 1)
}

// remove deletes a record with its body and index entries.
func (t *Tx) remove(r *Record) error {
	before := t.storedSize(r.Sequence)
	if err := t.removeFromIndexes(r); err != nil {
		return err
	}
	t.countKey(r, -1)
	if !r.State.Ended() {
		t.openCounts[r.Destination]--
	}
	for _, b := range [][]byte{bucketRecords, bucketBodies} {
		if err := t.Bucket(b).Delete(encodeUint(r.Sequence)); err != nil {
			return err
		}
	}
	if err := t.addToCounter(metaBytes, -before); err != nil {
		return err
	}
	return t.addToCounter(metaCount, -1)
}

// markReportPending records that the write-ahead log still contains a message, so that it may be reported again.
func (t *Tx) markReportPending(id string) error {
	return t.Bucket(bucketPendingReports).Put(encodeName(id), []byte{1})
}

// clearReportPending records that the write-ahead log no longer contains a message.
func (t *Tx) clearReportPending(id string) error {
	return t.Bucket(bucketPendingReports).Delete(encodeName(id))
}

// ReportPending reports whether the write-ahead log still contains a message. Such a message must not be redelivered,
// since its client may not have received the delivery report yet.
func (t *Tx) ReportPending(id string) bool {
	return t.Bucket(bucketPendingReports).Get(encodeName(id)) != nil
}
