package deadletter

import (
	"encoding/binary"
	"errors"
	"time"
)

// Bounds are the bounds of a store. Bytes are of records and bodies; Age is that of a record, EndedRetention the time
// since its end.
type Bounds struct {
	Bytes          int64
	Records        int
	Age            time.Duration
	EndedRetention time.Duration
}

// Evicted counts evicted records: ended ones, open ones over the bounds, and those that were too old.
type Evicted struct{ Ended, Open, Aged int }

// evict keeps the bounds. Records that are too old go first, then ended ones after their retention. As long as the
// store is over its bounds the ended ones go in the order of their ends, then the held ones, the longest held first.
// Records in redelivery, and those whose report is pending, stay. It removes a limited number at a time.
func (t *Tx) evict(b Bounds, now time.Time) (Evicted, error) {
	var evicted Evicted
	withinBounds := func(time.Time) bool {
		return int64(t.counter(metaBytes)) <= b.Bytes && t.counter(metaCount) <= uint64(b.Records)
	}
	err := errors.Join(
		t.evictUntil(bucketTimes, func(at time.Time) bool { return now.Sub(at) < b.Age }, &evicted.Aged),
		t.evictUntil(bucketEnded, func(at time.Time) bool { return now.Sub(at) < b.EndedRetention }, &evicted.Ended),
		t.evictUntil(bucketEnded, withinBounds, &evicted.Ended),
		t.evictUntil(bucketTimes, withinBounds, &evicted.Open),
	)
	if err == nil && evicted.Open > 0 {
		err = t.addToCounter(metaEvicted, int64(evicted.Open))
	}
	if err == nil && evicted.Aged > 0 {
		err = t.addToCounter(metaAged, int64(evicted.Aged))
	}
	return evicted, err
}

// evictUntil removes records in the order of an index by time until stop holds, and counts them.
func (t *Tx) evictUntil(bucket []byte, stop func(at time.Time) bool, count *int) error {
	type candidate struct {
		at       time.Time
		sequence uint64
	}
	var list []candidate
	c := t.Bucket(bucket).Cursor()
	for k, _ := c.First(); len(k) == 16 && len(list) < maxEvictions/4; k, _ = c.Next() {
		x := candidate{time.UnixMicro(int64(binary.BigEndian.Uint64(k))), binary.BigEndian.Uint64(k[8:])}
		if stop(x.at) {
			break
		}
		list = append(list, x)
	}
	for _, x := range list {
		r, err := t.Get(x.sequence)
		if err != nil {
			return err
		}
		if stop(x.at) { // the removals so far may have been enough
			break
		}
		if r.State == InFlight || t.ReportPending(r.ID) {
			continue
		}
		if err := t.remove(&r); err != nil {
			return err
		}
		*count++
	}
	return nil
}
