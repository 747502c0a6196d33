package control

import (
	"testing"
	"time"
)

// Messages of one key take turns, and the key rests after a time-out.
func TestOrderedByKey(t *testing.T) {
	set := settings()
	set.Classes[2].Ordered = true
	r := newRecorder(t, set)
	r.ready(0, 2)
	hand := func(id MessageID) *tracked {
		return r.hand(Message{ID: id, Class: 2, Destination: 0, TimeLeft: 8000 * ms, Key: 5})
	}
	first, second := hand(1), hand(2)
	if !first.out || second.out {
		t.Fatal("the second message of a key must wait for the first")
	}
	r.pass(20 * ms)
	r.answer(1, ConnectionLost, 0)
	r.pass(set.OrderedPause - 100*ms)
	if second.out {
		t.Fatal("the key must rest after an attempt that may still run")
	}
	r.pass(time.Second)
	if second.sends == 0 {
		t.Fatal("the second message never got its turn")
	}
}
