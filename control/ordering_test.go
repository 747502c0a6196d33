package control

import (
	"testing"
	"time"
)

// Messages with the same key are sent one at a time, and the key pauses after an attempt that may still be running.
func TestOrderedByKey(t *testing.T) {
	cfg := testSettings()
	cfg.Classes[2].Ordered = true
	r := newRecorder(t, cfg)
	r.addReady(0, 2)
	submitKeyed := func(id MessageID) *trackedMessage {
		return r.submitMessage(Message{ID: id, Class: 2, Destination: 0, TimeLeft: 8000 * ms, Key: 5})
	}
	first, second := submitKeyed(1), submitKeyed(2)
	if !first.inFlight || second.inFlight {
		t.Fatal("the first message of a key should be in flight and the second should wait")
	}
	r.advance(20 * ms)
	r.answer(1, ConnectionLost, 0)
	r.advance(cfg.OrderedPause - 100*ms)
	if second.inFlight {
		t.Fatal("sent during the pause after an attempt that may still be running")
	}
	r.advance(time.Second)
	if second.attempts == 0 {
		t.Fatal("the second message was never sent")
	}
}

func TestKeySequence(t *testing.T) {
	sequences := keySequences{byKey: map[uint64]*keySequence{}}
	first, second := &message{}, &message{}
	s := sequences.forKey(5)
	s.add(first)
	s.add(second)
	for _, c := range []struct {
		name          string
		now           time.Duration
		change        func()
		first, second bool // is next
	}{
		{"nothing sent", 0, func() {}, true, false},
		{"first in flight", 0, func() { s.attemptsInFlight++ }, false, false},
		{"may still run", 0, func() { s.attemptDone(first, TimedOut, time.Second) }, true, false},
		{"first finished", time.Second - 1, func() { s.remove(first) }, false, false},
		{"pause over", time.Second, func() {}, false, true},
	} {
		c.change()
		if a, b := s.isNext(first, c.now), s.isNext(second, c.now); a != c.first || b != c.second {
			t.Errorf("%s: first is next %v, second is next %v", c.name, a, b)
		}
	}
	s.remove(second)
	if sequences.release(s, 999*ms); sequences.forKey(5) != s {
		t.Error("sequence deleted during its pause")
	}
	if sequences.release(nil, time.Second); len(sequences.byKey) > 0 {
		t.Error("sequence kept after its pause")
	}
}
