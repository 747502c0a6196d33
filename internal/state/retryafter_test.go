package state

import (
	"testing"
	"time"
)

// TestRetryAfterTable checks that of several waits for a route, the one that ends last applies. Expired waits are
// removed once many are recorded, and no more are recorded once there are twice as many.
func TestRetryAfterTable(t *testing.T) {
	now := time.Unix(1000, 0)
	key := routeKey{destination: 7}
	table := retryAfterTable{}
	for i, c := range []struct{ until, want time.Duration }{{5, 5}, {3, 5}, {8, 8}} {
		table.record(key, retryAfter{now, now.Add(c.until)})
		if got := table[key].until.Sub(now); got != c.want {
			t.Errorf("step %d: until %v, want %v", i, got, c.want)
		}
	}
	table.prune(now.Add(time.Hour))
	if len(table) != 1 {
		t.Errorf("%d waits recorded, want 1: the table is not full", len(table))
	}
	for i := range 3 * maxRetryAfters {
		table.record(routeKey{destination: i}, retryAfter{now, now.Add(time.Duration(i))})
	}
	if len(table) != 2*maxRetryAfters {
		t.Errorf("%d waits recorded, want %d", len(table), 2*maxRetryAfters)
	}
	table.prune(now.Add(maxRetryAfters))
	for key, w := range table {
		if w.until.Sub(now) <= maxRetryAfters {
			t.Errorf("the expired wait of %+v is still recorded", key)
		}
	}
}
