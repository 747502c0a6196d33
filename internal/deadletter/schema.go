package deadletter

import (
	"bytes"
	"encoding/binary"
	"fmt"

	bolt "go.etcd.io/bbolt"
)

// The buckets. Records and bodies contain framed values. The buckets in indexedBuckets are indexes, whose keys are
// derived from the records alone.
var (
	bucketMeta           = []byte("meta")
	bucketRecords        = []byte("records") // seq -> record
	bucketBodies         = []byte("bodies")  // seq -> body
	bucketIDs            = []byte("ids")     // id -> seq
	bucketKeys           = []byte("keys")    // class, key, seq of held and ordered records
	bucketPendingReports = []byte("owed")    // ids of messages whose delivery report is not acknowledged
	bucketReady          = []byte("ready")   // destination, tenant, seq of ordered records that are due
	bucketDue            = []byte("due")     // time, seq: when a record is due for review
	bucketEnded          = []byte("ended")   // time, seq: when a record ended
	bucketTimes          = []byte("times")   // time, seq: when a record was added
	bucketDestinations   = []byte("destinations")
	bucketTenants        = []byte("tenants")
	bucketClasses        = []byte("classes")
	bucketReasons        = []byte("reasons")
	bucketStates         = []byte("states")
	bucketAudit          = []byte("audit")
	allBuckets           = [][]byte{
		bucketMeta, bucketRecords, bucketBodies, bucketIDs, bucketKeys, bucketPendingReports, bucketReady, bucketDue,
		bucketEnded, bucketTimes, bucketDestinations, bucketTenants, bucketClasses, bucketReasons, bucketStates, bucketAudit,
	}
	indexedBuckets = [][]byte{
		bucketIDs, bucketKeys, bucketReady, bucketDue, bucketEnded, bucketTimes, bucketDestinations, bucketTenants,
		bucketClasses, bucketReasons, bucketStates,
	}
)

// The values in the meta bucket.
const (
	metaFormat  = "format"
	metaBytes   = "bytes"
	metaCount   = "records"
	metaEvicted = "evicted" // open records evicted because of the bounds
	metaAged    = "aged"    // records evicted because of their age
	metaLatest  = "latest"  // the latest time of the queue's clock, in Unix microseconds
)

// requireBuckets returns an error if a bucket is missing.
func requireBuckets(tx *bolt.Tx) error {
	for _, name := range allBuckets {
		if tx.Bucket(name) == nil {
			return ErrNotFound
		}
	}
	return nil
}

// createBuckets creates missing buckets and checks the format version.
func createBuckets(tx *bolt.Tx) error {
	for _, name := range allBuckets {
		if _, err := tx.CreateBucketIfNotExists(name); err != nil {
			return err
		}
	}
	meta := tx.Bucket(bucketMeta)
	if v := meta.Get([]byte(metaFormat)); v == nil {
		return meta.Put([]byte(metaFormat), encodeUint(formatVersion))
	} else if len(v) != 8 || binary.BigEndian.Uint64(v) > formatVersion {
		return ErrNewer
	}
	return nil
}

// verify checks the buckets, the format version and the frames of the records. It also counts the open records by
// destination and the held and ordered records by key.
func (s *Store) verify(tx *bolt.Tx) error {
	for _, name := range allBuckets {
		if tx.Bucket(name) == nil {
			return fmt.Errorf("%w: missing bucket %q", ErrDamaged, name)
		}
	}
	meta := tx.Bucket(bucketMeta)
	if v := meta.Get([]byte(metaFormat)); len(v) == 8 && binary.BigEndian.Uint64(v) > formatVersion {
		return ErrNewer
	}
	n := uint64(0)
	err := tx.Bucket(bucketRecords).ForEach(func(k, v []byte) error {
		n++
		if p, intact := unframe(v); !intact || len(k) != 8 || p.kind != kindRecord || p.seq != binary.BigEndian.Uint64(k) {
			return fmt.Errorf("%w: record %x", ErrDamaged, k)
		}
		return nil
	})
	if err != nil {
		return err
	}
	if v := meta.Get([]byte(metaCount)); n > 0 && (len(v) != 8 || binary.BigEndian.Uint64(v) != n) {
		return fmt.Errorf("%w: found %d records, but the stored count differs", ErrDamaged, n)
	}
	for _, state := range []State{Held, Ordered, InFlight} {
		c, prefix := tx.Bucket(bucketStates).Cursor(), encodeName(string(state))
		for k, v := c.Seek(prefix); bytes.HasPrefix(k, prefix); k, v = c.Next() {
			if len(v) != 8 {
				return fmt.Errorf("%w: invalid entry in the state index", ErrDamaged)
			}
			s.openCounts[decodeInt(v)]++
		}
	}
	return tx.Bucket(bucketKeys).ForEach(func(k, _ []byte) error {
		class, rest, ok := bytes.Cut(k, []byte{0})
		if !ok || len(rest) < 9 {
			return fmt.Errorf("%w: invalid entry in the key index", ErrDamaged)
		}
		s.keyCounts[keyHash(string(class), string(rest[:len(rest)-9]))]++
		return nil
	})
}
