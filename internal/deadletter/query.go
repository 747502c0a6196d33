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

// Filter says which records are meant. Empty fields mean any.
type Filter struct {
	Destination *int      `json:"destination,omitempty"`
	Class       string    `json:"class,omitempty"`
	Tenant      string    `json:"tenant,omitempty"`
	Reason      string    `json:"reason,omitempty"`
	State       State     `json:"state,omitempty"`
	Since       time.Time `json:"since,omitzero"` // held then or later
	Before      time.Time `json:"before,omitzero"`
}

// Empty tells whether all records are meant.
func (f *Filter) Empty() bool { return *f == Filter{} }

// matches tells whether a record is meant.
func (f *Filter) matches(r *Record) bool {
	return (f.Destination == nil || *f.Destination == r.Destination) &&
		(f.Class == "" || f.Class == r.Class) && (f.Tenant == "" || f.Tenant == r.Tenant) &&
		(f.Reason == "" || f.Reason == r.Reason) && (f.State == "" || f.State == r.State) &&
		(f.Since.IsZero() || !r.HeldAt.Before(f.Since)) && (f.Before.IsZero() || r.HeldAt.Before(f.Before))
}

// index chooses the index to go by: bucket and the prefix of its keys. Numbers
// grow with the time of holding, so each index is in the order of both.
func (f *Filter) index() (bucket, prefix []byte) {
	switch {
	case f.Destination != nil:
		return bucketDests, encodeInt(*f.Destination)
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

// maxScanned bounds the records that one page may look at.
const maxScanned = 20_000

// List returns the records that fit, from the first number after one on, and
// the number to go on after; 0 when there are no more. A page looks at so many
// records at most: it may be short, or empty, and still not be the last.
func (t *Tx) List(f Filter, after uint64, most int) (list []Record, next uint64, err error) {
	if after == 0 && !f.Since.IsZero() {
		after = t.firstSince(f.Since)
	}
	bucket, prefix := f.index()
	c := t.Bucket(bucket).Cursor()
	looks := 0
	for k, _ := c.Seek(join(prefix, encodeUint(after+1))); bytes.HasPrefix(k, prefix) && len(k) == len(prefix)+8; k, _ = c.Next() {
		seq := binary.BigEndian.Uint64(k[len(prefix):])
		if len(list) >= most || looks >= maxScanned {
			return list, after, nil
		}
		looks++
		r, err := t.Get(seq)
		if errors.Is(err, ErrNotFound) {
			err = fmt.Errorf("%w: an index leads to number %d, which is not there", ErrDamaged, seq)
		}
		if err != nil {
			return list, 0, err
		}
		after = seq
		if f.matches(&r) {
			list = append(list, r)
		} else if !f.Before.IsZero() && !r.HeldAt.Before(f.Before) {
			break // all that follow were held later
		}
	}
	return list, 0, nil
}

// firstSince returns the number before the first record held since a time.
func (t *Tx) firstSince(since time.Time) uint64 {
	k, _ := t.Bucket(bucketTimes).Cursor().Seek(encodeUint(uint64(max(0, since.UnixMicro()))))
	if len(k) != 16 {
		return t.Bucket(bucketRecords).Sequence()
	}
	return binary.BigEndian.Uint64(k[8:]) - 1
}

// Group counts records that have a thing in common.
type Group struct {
	Name    string `json:"name"`
	Records int    `json:"records"`
}

// Stats tells what a store holds.
type Stats struct {
	Records int       `json:"records"`
	Bytes   int64     `json:"bytes"`
	File    int64     `json:"file_bytes"`
	Owed    int       `json:"not_yet_told"` // the platform has not yet taken their notices
	Evicted uint64    `json:"evicted_open"`
	Aged    uint64    `json:"evicted_by_age"`
	Oldest  time.Time `json:"oldest,omitzero"` // of the open ones
	States  []Group   `json:"states"`
	Reasons []Group   `json:"reasons"`
	Classes []Group   `json:"classes"`
	Tenants []Group   `json:"tenants"`      // the largest
	Dests   []Group   `json:"destinations"` // the largest
}

const maxGroups = 20 // groups of a kind that Stats names

// Stats counts, by the indexes alone.
func (t *Tx) Stats() (Stats, error) {
	s := Stats{
		Records: int(t.counter(metaCount)), Bytes: int64(t.counter(metaBytes)), File: t.Size(),
		Evicted: t.counter(metaEvicted), Aged: t.counter(metaAged),
		States: t.groups(bucketStates, nameOf), Reasons: t.groups(bucketReasons, nameOf), Classes: t.groups(bucketClasses, nameOf),
		Tenants: t.groups(bucketTenants, nameOf), Dests: t.groups(bucketDests, numberOf),
	}
	c := t.Bucket(bucketOwed).Cursor()
	for k, _ := c.First(); k != nil; k, _ = c.Next() {
		s.Owed++
	}
	for _, state := range []State{Held, Ordered, Out} {
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

func nameOf(k []byte) string { return strings.TrimSuffix(string(k), "\x00") }

func numberOf(k []byte) string { return strconv.Itoa(decodeInt(k)) }

// groups counts the keys of an index by what stands before the number.
func (t *Tx) groups(bucket []byte, word func([]byte) string) []Group {
	var list []Group
	var last []byte
	c := t.Bucket(bucket).Cursor()
	for k, _ := c.First(); len(k) > 8; k, _ = c.Next() {
		if p := k[:len(k)-8]; list == nil || !bytes.Equal(p, last) {
			list = append(list, Group{Name: word(p)})
			last = bytes.Clone(p)
		}
		list[len(list)-1].Records++
	}
	sort.SliceStable(list, func(i, j int) bool { return list[i].Records > list[j].Records })
	return list[:min(len(list), maxGroups)]
}

// readyDestinations lists the destinations that have records ready to be sent.
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

// readyTenants lists the tenants that have records ready for a destination.
func (t *Tx) readyTenants(dest int) []string {
	var list []string
	prefix := encodeInt(dest)
	c := t.Bucket(bucketReady).Cursor()
	for k, _ := c.Seek(prefix); bytes.HasPrefix(k, prefix) && len(k) > 16; {
		tenant := k[8 : len(k)-8]
		list = append(list, nameOf(tenant))
		k, _ = c.Seek(join(prefix, tenant, encodeUint(1<<64-1), []byte{0}))
	}
	return list
}

// readyFirst is the record of a tenant that was held first, of those ready for a destination.
func (t *Tx) readyFirst(dest int, tenant string) (uint64, bool) {
	prefix := join(encodeInt(dest), encodeName(tenant))
	k, _ := t.Bucket(bucketReady).Cursor().Seek(prefix)
	if !bytes.HasPrefix(k, prefix) || len(k) != len(prefix)+8 {
		return 0, false
	}
	return binary.BigEndian.Uint64(k[len(prefix):]), true
}

// due lists the records whose time has come, and when the next one's will.
func (t *Tx) due(now time.Time, most int) (seqs []uint64, next time.Time) {
	c := t.Bucket(bucketDue).Cursor()
	for k, _ := c.First(); len(k) == 16; k, _ = c.Next() {
		at := time.UnixMicro(int64(binary.BigEndian.Uint64(k)))
		if at.After(now) || len(seqs) >= most {
			return seqs, at
		}
		seqs = append(seqs, binary.BigEndian.Uint64(k[8:]))
	}
	return seqs, time.Time{}
}
