package deadletter

import (
	"encoding/binary"
	"errors"
	"time"
)

// Bounds contains the limits of a store. Bytes limits the total size of records and bodies, Age the time since a record
// was added, and EndedRetention the time since it ended.
type Bounds struct {
	Bytes          int64
	Records        int
	Age            time.Duration
	EndedRetention time.Duration
}

// Evicted counts evicted records: ended ones, open ones that exceeded the bounds, and those that were too old.
type Evicted struct{ Ended, Open, Aged int }

// evict enforces the bounds. It removes records that are too old, then ended records after their retention. While the
// store still exceeds its bounds, it removes ended records in the order of their ends, and then other records, the
// oldest first. It never removes records in redelivery or records whose delivery report is pending. The number of
// records removed in one call is limited.
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

// evictUntil removes records in the order of a time index until stop returns true, and adds their number to count.
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
		if stop(x.at) { // the previous removals may have been sufficient
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
