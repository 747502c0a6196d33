package deadletter

import (
	"encoding/binary"
	"errors"
	"time"
)

// Bounds are what a store may hold.
type Bounds struct {
	Bytes          int64
	Records        int
	Age            time.Duration
	EndedRetention time.Duration
}

// Evicted tells what a bound has cost.
type Evicted struct{ Ended, Open, Aged int }

// evict keeps the bounds: what is too old goes first; then, as long as the store
// is over, the ended ones in the order of their ends, and last the held ones,
// longest held first. One that is out, or that the journal may bring again, stays.
func (t *Tx) evict(b Bounds, now time.Time) (Evicted, error) {
	var gone Evicted
	sweep := func(bucket []byte, stop func(at time.Time) bool, tally *int) error {
		type aged struct {
			at  time.Time
			seq uint64
		}
		var list []aged
		c := t.Bucket(bucket).Cursor()
		for k, _ := c.First(); len(k) == 16 && len(list) < maxEvictions/4; k, _ = c.Next() {
			x := aged{time.UnixMicro(int64(binary.BigEndian.Uint64(k))), binary.BigEndian.Uint64(k[8:])}
			if stop(x.at) {
				break
			}
			list = append(list, x)
		}
		for _, x := range list {
			r, err := t.Get(x.seq)
			if err != nil {
				return err
			}
			if stop(x.at) { // what went before it may have been enough
				break
			}
			if r.State == Out || t.ReportPending(r.ID) {
				continue
			}
			if err := t.remove(&r); err != nil {
				return err
			}
			*tally++
		}
		return nil
	}
	over := func(time.Time) bool {
		return int64(t.counter(metaBytes)) <= b.Bytes && t.counter(metaCount) <= uint64(b.Records)
	}
	err := errors.Join(
		sweep(bucketTimes, func(at time.Time) bool { return now.Sub(at) < b.Age }, &gone.Aged),
		sweep(bucketEnded, func(at time.Time) bool { return now.Sub(at) < b.EndedRetention }, &gone.Ended),
		sweep(bucketEnded, over, &gone.Ended),
		sweep(bucketTimes, over, &gone.Open),
	)
	if err == nil && gone.Open > 0 {
		err = t.addToCounter(metaEvicted, int64(gone.Open))
	}
	if err == nil && gone.Aged > 0 {
		err = t.addToCounter(metaAged, int64(gone.Aged))
	}
	return gone, err
}
