package deadletter

import (
	"bytes"
	"encoding/binary"
	"hash/maphash"
	"time"
)

// indexEntry is a key and value in an index bucket.
type indexEntry struct{ bucket, key, value []byte }

// indexEntries returns the index entries of a record.
func indexEntries(r *Record) []indexEntry {
	seq := encodeUint(r.Sequence)
	list := []indexEntry{
		{bucketIDs, encodeName(r.ID), seq},
		{bucketTimes, joinKey(encodeUint(uint64(r.HeldAt.UnixMicro())), seq), nil},
		{bucketDestinations, joinKey(encodeInt(r.Destination), seq), nil},
		{bucketTenants, joinKey(encodeName(r.Tenant), seq), nil},
		{bucketClasses, joinKey(encodeName(r.Class), seq), nil},
		{bucketReasons, joinKey(encodeName(r.Reason), seq), nil},
		{bucketStates, joinKey(encodeName(string(r.State)), seq), encodeInt(r.Destination)},
	}
	timeKey := func(t time.Time) []byte { return joinKey(encodeUint(uint64(max(0, t.UnixMicro()))), seq) }
	switch {
	case r.State.Ended():
		list = append(list, indexEntry{bucketEnded, timeKey(r.EndedAt), nil})
	case r.State == Ordered && r.Ready:
		list = append(list, indexEntry{bucketReady, joinKey(encodeInt(r.Destination), encodeName(r.Tenant), seq), nil})
	case r.State == Ordered:
		list = append(list, indexEntry{bucketDue, timeKey(r.NotBefore), nil})
	case r.State == Held && !r.ReviewAt.IsZero():
		list = append(list, indexEntry{bucketDue, timeKey(r.ReviewAt), nil})
	}
	if r.Key != "" && (r.State == Held || r.State == Ordered) {
		list = append(list, indexEntry{bucketKeys, joinKey(encodeName(r.Class), encodeName(r.Key), seq), nil})
	}
	return list
}

// countKey adds delta to the count of the record's key if the record is held or ordered.
func (t *Tx) countKey(r *Record, delta int32) {
	if r.Key != "" && (r.State == Held || r.State == Ordered) {
		t.keyCounts[keyHash(r.Class, r.Key)] += delta
	}
}

// sequencesByKey returns the sequence numbers of the held and ordered records with a key.
func (t *Tx) sequencesByKey(class, key string) (seqs []uint64) {
	prefix := joinKey(encodeName(class), encodeName(key))
	c := t.Bucket(bucketKeys).Cursor()
	for k, _ := c.Seek(prefix); bytes.HasPrefix(k, prefix) && len(k) == len(prefix)+8; k, _ = c.Next() {
		seqs = append(seqs, binary.BigEndian.Uint64(k[len(prefix):]))
	}
	return seqs
}

// removeFromIndexes removes the index entries of a record. Entries whose value refers to another record are kept, since
// the id may have been reused.
func (t *Tx) removeFromIndexes(r *Record) error {
	for _, s := range indexEntries(r) {
		b := t.Bucket(s.bucket)
		if s.value != nil && !bytes.Equal(b.Get(s.key), s.value) {
			continue
		}
		if err := b.Delete(s.key); err != nil {
			return err
		}
	}
	return nil
}

var keySeed = maphash.MakeSeed()

// keyHash returns the hash of a class and key. A collision only causes an unnecessary read of the store.
func keyHash(class, key string) uint64 { return maphash.String(keySeed, class+"\x00"+key) }
