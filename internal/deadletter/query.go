package deadletter

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"sort"
	"strconv"
	"strings"
	"time"
)

// Filter selects records. An empty field matches all records.
type Filter struct {
	Destination *int      `json:"destination,omitempty"`
	Class       string    `json:"class,omitempty"`
	Tenant      string    `json:"tenant,omitempty"`
	Reason      string    `json:"reason,omitempty"`
	State       State     `json:"state,omitempty"`
	Since       time.Time `json:"since,omitzero"`  // added at this time or later
	Before      time.Time `json:"before,omitzero"` // added before this time
}

// Empty reports whether the filter matches all records.
func (f *Filter) Empty() bool { return *f == Filter{} }

// matches reports whether a record matches the filter.
func (f *Filter) matches(r *Record) bool {
	return (f.Destination == nil || *f.Destination == r.Destination) &&
		(f.Class == "" || f.Class == r.Class) && (f.Tenant == "" || f.Tenant == r.Tenant) &&
		(f.Reason == "" || f.Reason == r.Reason) && (f.State == "" || f.State == r.State) &&
		(f.Since.IsZero() || !r.HeldAt.Before(f.Since)) && (f.Before.IsZero() || r.HeldAt.Before(f.Before))
}

// index returns the bucket and key prefix of the index to search. Sequence numbers increase with the time at which
// records were added, so each index is ordered by both.
func (f *Filter) index() (bucket, prefix []byte) {
	switch {
	case f.Destination != nil:
		return bucketDestinations, encodeInt(*f.Destination)
	case f.State != "":
		return bucketStates, encodeName(string(f.State))
	case f.Tenant != "":
		return bucketTenants, encodeName(f.Tenant)
	case f.Reason != "":
		return bucketReasons, encodeName(f.Reason)
	case f.Class != "":
		return bucketClasses, encodeName(f.Class)
	}
	return bucketRecords, nil
}

// maxScanned limits the records that are read for one page.
const maxScanned = 20_000

// List returns up to limit matching records after a position, and the position for the next page; 0: there are no more.
// A page may be short or empty without being the last, since the number of records read for it is limited.
func (t *Tx) List(f Filter, after uint64, limit int) (list []Record, next uint64, err error) {
	if after == 0 && !f.Since.IsZero() {
		after = t.positionBefore(f.Since)
	}
	bucket, prefix := f.index()
	c := t.Bucket(bucket).Cursor()
	scanned := 0
	isEntry := func(k []byte) bool { return bytes.HasPrefix(k, prefix) && len(k) == len(prefix)+8 }
	for k, _ := c.Seek(joinKey(prefix, encodeUint(after+1))); isEntry(k); k, _ = c.Next() {
		seq := binary.BigEndian.Uint64(k[len(prefix):])
		if len(list) >= limit || scanned >= maxScanned {
			return list, after, nil
		}
		scanned++
		r, err := t.Get(seq)
		if errors.Is(err, ErrNotFound) {
			err = fmt.Errorf("%w: index entry refers to missing record %d", ErrDamaged, seq)
		}
		if err != nil {
			return list, 0, err
		}
		after = seq
		if f.matches(&r) {
			list = append(list, r)
		} else if !f.Before.IsZero() && !r.HeldAt.Before(f.Before) {
			break // all following records were added later
		}
	}
	return list, 0, nil
}

// positionBefore returns the position before the first record that was added at or after a time.
func (t *Tx) positionBefore(since time.Time) uint64 {
	k, _ := t.Bucket(bucketTimes).Cursor().Seek(encodeUint(uint64(max(0, since.UnixMicro()))))
	if len(k) != 16 {
		return t.Bucket(bucketRecords).Sequence()
	}
	return binary.BigEndian.Uint64(k[8:]) - 1
}

// Group is the number of records with the same value of a field.
type Group struct {
	Name    string `json:"name"`
	Records int    `json:"records"`
}

// Stats summarizes the content of a store.
type Stats struct {
	Records        int       `json:"records"`
	Bytes          int64     `json:"bytes"`
	FileBytes      int64     `json:"file_bytes"`
	PendingReports int       `json:"not_yet_told"` // records whose delivery report the client has not acknowledged
	EvictedOpen    uint64    `json:"evicted_open"`
	EvictedByAge   uint64    `json:"evicted_by_age"`
	Oldest         time.Time `json:"oldest,omitzero"` // when the oldest open record was added
	States         []Group   `json:"states"`
	Reasons        []Group   `json:"reasons"`
	Classes        []Group   `json:"classes"`
	Tenants        []Group   `json:"tenants"`      // only the largest groups
	Destinations   []Group   `json:"destinations"` // only the largest groups
}

// maxGroups limits the groups of each field in Stats.
const maxGroups = 20

// Stats computes the statistics from the counters and indexes; it does not read all records.
func (t *Tx) Stats() (Stats, error) {
	s := Stats{
		Records: int(t.counter(metaCount)), Bytes: int64(t.counter(metaBytes)), FileBytes: t.Size(),
		EvictedOpen: t.counter(metaEvicted), EvictedByAge: t.counter(metaAged),
		States: t.groups(bucketStates, decodeName), Reasons: t.groups(bucketReasons, decodeName),
		Classes: t.groups(bucketClasses, decodeName),
		Tenants: t.groups(bucketTenants, decodeName), Destinations: t.groups(bucketDestinations, decodeNumber),
	}
	c := t.Bucket(bucketPendingReports).Cursor()
	for k, _ := c.First(); k != nil; k, _ = c.Next() {
		s.PendingReports++
	}
	for _, state := range []State{Held, Ordered, InFlight} {
		list, _, err := t.List(Filter{State: state}, 0, 1)
		if err != nil {
			return s, err
		}
		if len(list) > 0 && (s.Oldest.IsZero() || list[0].HeldAt.Before(s.Oldest)) {
			s.Oldest = list[0].HeldAt
		}
	}
	return s, nil
}

// decodeName decodes a name encoded by encodeName.
func decodeName(k []byte) string { return strings.TrimSuffix(string(k), "\x00") }

// decodeNumber decodes a number encoded by encodeInt and formats it.
func decodeNumber(k []byte) string { return strconv.Itoa(decodeInt(k)) }

// groups counts the keys of an index by the value that precedes the sequence number. It returns up to maxGroups groups,
// the largest first.
func (t *Tx) groups(bucket []byte, decode func([]byte) string) []Group {
	var list []Group
	var last []byte
	c := t.Bucket(bucket).Cursor()
	for k, _ := c.First(); len(k) > 8; k, _ = c.Next() {
		if p := k[:len(k)-8]; list == nil || !bytes.Equal(p, last) {
			list = append(list, Group{Name: decode(p)})
			last = bytes.Clone(p)
		}
		list[len(list)-1].Records++
	}
	sort.SliceStable(list, func(i, j int) bool { return list[i].Records > list[j].Records })
	return list[:min(len(list), maxGroups)]
}

// readyDestinations returns the destinations of records that are ready to be redelivered.
func (t *Tx) readyDestinations() []int {
	var list []int
	c := t.Bucket(bucketReady).Cursor()
	for k, _ := c.First(); len(k) >= 8; {
		list = append(list, decodeInt(k[:8]))
		next := binary.BigEndian.Uint64(k[:8]) + 1
		if next == 0 {
			break
		}
		k, _ = c.Seek(encodeUint(next))
	}
	return list
}

// readyTenants returns the tenants of records that are ready to be redelivered to a destination.
func (t *Tx) readyTenants(dest int) []string {
	var list []string
	prefix := encodeInt(dest)
	c := t.Bucket(bucketReady).Cursor()
	for k, _ := c.Seek(prefix); bytes.HasPrefix(k, prefix) && len(k) > 16; {
		tenant := k[8 : len(k)-8]
		list = append(list, decodeName(tenant))
		k, _ = c.Seek(joinKey(prefix, tenant, encodeUint(1<<64-1), []byte{0}))
	}
	return list
}

// firstReady returns the first record of a tenant that is ready to be redelivered to a destination.
func (t *Tx) firstReady(dest int, tenant string) (uint64, bool) {
	prefix := joinKey(encodeInt(dest), encodeName(tenant))
	k, _ := t.Bucket(bucketReady).Cursor().Seek(prefix)
	if !bytes.HasPrefix(k, prefix) || len(k) != len(prefix)+8 {
		return 0, false
	}
	return binary.BigEndian.Uint64(k[len(prefix):]), true
}

// dueRecords returns up to limit records that are due for review, and the time at which the next one becomes due. A
// zero time means that there is none.
func (t *Tx) dueRecords(now time.Time, limit int) (seqs []uint64, next time.Time) {
	c := t.Bucket(bucketDue).Cursor()
	for k, _ := c.First(); len(k) == 16; k, _ = c.Next() {
		at := time.UnixMicro(int64(binary.BigEndian.Uint64(k)))
		if at.After(now) || len(seqs) >= limit {
			return seqs, at
		}
		seqs = append(seqs, binary.BigEndian.Uint64(k[8:]))
	}
	return seqs, time.Time{}
}
