package state

import (
	"testing"
	"time"
)

// Of several waits for a route the one that ends last holds; what has passed is forgotten once many are remembered,
// and beyond twice as many no more are taken.
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
		t.Errorf("%d remembered, want 1: there is room", len(table))
	}
	for i := range 3 * maxRetryAfters {
		table.record(routeKey{destination: i}, retryAfter{now, now.Add(time.Duration(i))})
	}
	if len(table) != 2*maxRetryAfters {
		t.Errorf("%d remembered, want %d", len(table), 2*maxRetryAfters)
	}
	table.prune(now.Add(maxRetryAfters))
	for key, w := range table {
		if w.until.Sub(now) <= maxRetryAfters {
			t.Errorf("%+v has passed and is remembered", key)
		}
	}
}
