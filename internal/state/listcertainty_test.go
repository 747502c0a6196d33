package state

import (
	"testing"
	"time"
)

// TestListCertainty checks that sends are suspended from a margin before the end of the drain grace, counted from the
// first unreadable answer, until the timeout after the latest one.
func TestListCertainty(t *testing.T) {
	const grace, timeout = 2 * time.Second, 10 * time.Second
	zero := time.Now()
	at := func(seconds float64) time.Time { return zero.Add(time.Duration(seconds * float64(time.Second))) }
	var c listCertainty
	c.markUncertain(at(0))
	c.markUncertain(at(1))
	for _, x := range []struct {
		now       float64
		suspended bool
		next      float64
	}{{1, false, 1.75}, {1.75, true, 11}, {10.9, true, 11}} {
		if held, next := c.suspended(at(x.now), grace, timeout); held != x.suspended || !next.Equal(at(x.next)) {
			t.Errorf("at %v: %t, next %v", x.now, held, next.Sub(zero))
		}
	}
	if held, next := c.suspended(at(5), 0, timeout); held || !next.IsZero() {
		t.Errorf("without a grace: %t, next %v", held, next)
	}
	if held, next := c.suspended(at(11), grace, timeout); held || !next.IsZero() {
		t.Errorf("at the end: %t, next %v", held, next)
	}
	c.markUncertain(at(20))
	if held, _ := c.suspended(at(21), 300*time.Millisecond, timeout); !held {
		t.Error("drain grace of 300 ms: sends are not suspended after 1 s")
	}
}
