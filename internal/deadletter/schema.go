package deadletter

import (
	"bytes"
	"encoding/binary"
	"fmt"

	bolt "go.etcd.io/bbolt"
)

// The buckets. Records and bodies are framed values; the others are indexes, whose keys follow from the record alone.
var (
	bucketMeta           = []byte("meta")
	bucketRecords        = []byte("records") // seq -> record
	bucketBodies         = []byte("bodies")  // seq -> body
	bucketIDs            = []byte("ids")     // id -> seq
	bucketKeys           = []byte("keys")    // class, key, seq; held and ordered ones
	bucketPendingReports = []byte("owed")    // ids of messages whose delivery report is not acknowledged
	bucketReady          = []byte("ready")   // destination, tenant, seq: ordered, and its time has come
	bucketDue            = []byte("due")     // time, seq: due for review then
	bucketEnded          = []byte("ended")   // time, seq
	bucketTimes          = []byte("times")   // time held, seq
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

// The counters in the meta bucket.
const (
	metaFormat  = "format"
	metaBytes   = "bytes"
	metaCount   = "records"
	metaEvicted = "evicted"
	metaAged    = "aged"
	metaLatest  = "latest" // the latest time seen, Unix microseconds
)

// requireBuckets returns an error unless all buckets exist.
func requireBuckets(tx *bolt.Tx) error {
	for _, name := range allBuckets {
		if tx.Bucket(name) == nil {
			return ErrNotFound
		}
	}
	return nil
}

// createBuckets creates missing buckets and checks the version of the format.
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

// verify checks the frame of each record, and counts open records by destination and held keys.
func (s *Store) verify(tx *bolt.Tx) error {
	for _, name := range allBuckets {
		if tx.Bucket(name) == nil {
			return fmt.Errorf("%w: no bucket %q", ErrDamaged, name)
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
		return fmt.Errorf("%w: %d records found, another count written", ErrDamaged, n)
	}
	for _, state := range []State{Held, Ordered, InFlight} {
		c, prefix := tx.Bucket(bucketStates).Cursor(), encodeName(string(state))
		for k, v := c.Seek(prefix); bytes.HasPrefix(k, prefix); k, v = c.Next() {
			if len(v) != 8 {
				return fmt.Errorf("%w: index of states", ErrDamaged)
			}
			s.openCounts[decodeInt(v)]++
		}
	}
	return tx.Bucket(bucketKeys).ForEach(func(k, _ []byte) error {
		class, rest, ok := bytes.Cut(k, []byte{0})
		if !ok || len(rest) < 9 {
			return fmt.Errorf("%w: index of keys", ErrDamaged)
		}
		s.keyCounts[keyHash(string(class), string(rest[:len(rest)-9]))]++
		return nil
	})
}
