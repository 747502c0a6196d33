package state

import (
	"errors"
	"os"
	"testing"
	"time"

	"cleathold/control"
)

// queueStub is a dead-letter queue that accepts every message or none, and records the calls of its methods.
type queueStub struct {
	accepts   bool
	began     chan [2]int
	added     chan DeadLetter
	forgotten chan string
}

func newQueueStub(wants bool) *queueStub {
	return &queueStub{wants, make(chan [2]int, 4), make(chan DeadLetter, 64), make(chan string, 64)}
}

func (q *queueStub) Begin(owed []string, redelivered []uint64) {
	q.began <- [2]int{len(owed), len(redelivered)}
}

func (q *queueStub) Accepts(*DeadLetter) bool                                  { return q.accepts }
func (q *queueStub) Add(d DeadLetter)                                          { q.added <- d }
func (q *queueStub) CallEnded(int, control.Result, time.Duration, bool)        {}
func (q *queueStub) CapacityChanged(map[int]DestinationCapacity)               {}
func (q *queueStub) ClassesChanged([]string, map[string]int, control.Settings) {}
func (q *queueStub) LoadChanged(LoopLoad)                                      {}
func (q *queueStub) Forget(ids []string) {
	for _, id := range ids {
		q.forgotten <- id
	}
}

// loopWithQueue returns a loop with a dead-letter queue.
func loopWithQueue(t *testing.T, dir string, queue *queueStub) (*Loop, *environment) {
	l, o := newTestLoop(t, dir, 1e6)
	l.deadLetterQueue = queue
	return l, o
}

// copyFolder returns a copy of a folder, as a kill of the process would leave the folder at this moment.
func copyFolder(t *testing.T, dir string) string {
	t.Helper()
	to := t.TempDir()
	if err := os.CopyFS(to, os.DirFS(dir)); err != nil {
		t.Fatal(err)
	}
	return to
}

// failMessage submits a message and ends its only attempt with a result after which the class of the message allows no
// other.
func failMessage(t *testing.T, l *Loop, o *environment, id string, r control.Result) {
	t.Helper()
	v := make(chan Response, 1)
	l.Post(Submitted{Message: newMessage(id, 2, time.Minute), Response: v})
	receive(t, v)
	l.Post(ResponseWritten{id, true})
	c := receive(t, o.calls)
	<-o.pending
	l.Post(endedWith(c, AttemptResult{Result: r}))
}

// TestDeadLetterOwnership checks that a message never belongs to both its client and the queue: one that goes to the
// queue is reported to the platform as undeliverable. The log keeps it until both the platform and the queue have
// acknowledged it, including over a restart at any point before that.
func TestDeadLetterOwnership(t *testing.T) {
	for _, c := range []struct {
		name         string
		acked, store bool // acknowledged by the platform and by the queue before the kill
	}{{"neither", false, false}, {"platform only", true, false}, {"store only", false, true}, {"both", true, true}} {
		dir := t.TempDir()
		k := newQueueStub(true)
		l, o := loopWithQueue(t, dir, k)
		start(t, l)
		receive(t, k.began)
		failMessage(t, l, o, "a", control.ConnectionLost)
		n, p := receive(t, o.reports), receive(t, k.added)
		if n.Deferred || n.ID != "a" || p.Message.ID != "a" || string(p.Message.Body) != "body" ||
			p.Reason != ReasonMayHaveRun ||
			len(p.Attempts) != 1 || p.Attempts[0].Target != "s" || p.Attempts[0].Result != control.ConnectionLost {
			t.Fatalf("%s: %+v, %+v", c.name, n, p)
		}
		if list, _ := ReadPending(dir, discardLog); len(list) != 1 || list[0].Owed != "undeliverable" {
			t.Fatalf("%s: the log has %+v", c.name, list)
		}
		if c.acked {
			l.Post(ReportsAcknowledged{[]control.MessageID{n.Number}})
		}
		if c.store {
			l.Post(DeadLettersStored{[]control.MessageID{p.Number}})
		}
		l.Idle()
		l.Idle()
		restarted := newQueueStub(true)
		dir = copyFolder(t, dir)
		l2, o2 := loopWithQueue(t, dir, restarted)
		start(t, l2)
		owed := receive(t, restarted.began)[0]
		if c.acked && c.store {
			if id := receive(t, k.forgotten); id != "a" || owed != 0 {
				t.Errorf("%s: %s forgotten, %d owed", c.name, id, owed)
			}
			continue
		}
		n, p = receive(t, o2.reports), receive(t, restarted.added)
		if owed != 1 || n.Deferred || n.ID != "a" || string(p.Message.Body) != "body" || p.Reason != ReasonMayHaveRun ||
			!p.Attempts[0].Open {
			t.Errorf("%s: after the kill: owed %d, %+v, %+v", c.name, owed, n, p)
		}
		l2.Post(ReportsAcknowledged{[]control.MessageID{n.Number}})
		l2.Post(DeadLettersStored{[]control.MessageID{p.Number}})
		receive(t, restarted.forgotten)
		if list, _ := ReadPending(dir, discardLog); len(list) != 0 {
			t.Errorf("%s: still owed: %+v", c.name, list)
		}
	}
}

// TestDeferredToClient checks that a message that is returned to its client does not go to the queue, also when its
// outcome is determined at a restart.
func TestDeferredToClient(t *testing.T) {
	k := newQueueStub(false)
	dir := t.TempDir()
	j, tb := openTestLog(t, dir)
	e := &entry{num: 9, Message: newMessage("a", 2, -time.Second)}
	tb.add(e)
	logAccepted(j, e)
	if err := errors.Join(j.Flush(), j.Close()); err != nil {
		t.Fatal(err)
	}
	l, o := loopWithQueue(t, dir, k)
	start(t, l)
	if n := receive(t, o.reports); !n.Deferred || n.ID != "a" {
		t.Errorf("report %+v", n)
	}
	if l.Idle(); len(k.added) > 0 {
		t.Errorf("the queue got the message, too: %+v", <-k.added)
	}
}

// TestRedeliveries checks that a redelivery is logged before it is sent and is sent under its own ID. Its result goes
// to the queue alone, as does a redelivery that was in flight when the process was killed.
func TestRedeliveries(t *testing.T) {
	dir := t.TempDir()
	k := newQueueStub(true)
	l, o := loopWithQueue(t, dir, k)
	start(t, l)
	receive(t, k.began)
	resend := func(l *Loop, seq uint64, id string, class int, ran bool, ago time.Duration) {
		l.Post(Redelivery{Seq: seq, Attempts: 2, MayHaveRun: ran, FirstRunAgo: ago,
			Message: newMessage(id, class, time.Minute)})
	}
	resend(l, 5, "a", 2, false, 0)
	c := receive(t, o.calls)
	if list := <-o.pending; len(list) != 1 || list[0].ID != "a" || list[0].Attempts != 3 {
		t.Fatalf("log as it leaves: %+v", list)
	}
	restarted := newQueueStub(true)
	l2, o2 := loopWithQueue(t, copyFolder(t, dir), restarted)
	start(t, l2)
	if got := receive(t, restarted.began); got != [2]int{0, 1} {
		t.Errorf("after the kill: Begin got %v", got)
	}
	p := receive(t, restarted.added)
	if p.Seq != 5 || p.Delivered || p.Reason != ReasonMayHaveRun || len(p.Attempts) != 1 || !p.Attempts[0].Open ||
		p.AttemptCount != 3 {
		t.Errorf("after the kill: %+v", p)
	}
	if l2.Idle(); len(o2.reports)+len(o2.calls) > 0 {
		t.Error("got a report or a second call")
	}
	l.Post(endedWith(c, AttemptResult{Result: control.Served, Final: true}))
	if p := receive(t, k.added); p.Seq != 5 || !p.Delivered {
		t.Errorf("delivered: %+v", p)
	} else {
		l.Post(DeadLettersStored{[]control.MessageID{p.Number}})
	}
	// A message that must not be sent again is not sent, even if the queue requests it.
	resend(l, 6, "b", 2, true, time.Second)
	if p := receive(t, k.added); p.Seq != 6 || p.Delivered || p.NotAdmitted || p.AttemptCount != 2 {
		t.Errorf("not idempotent, may have run: %+v", p)
	}
	resend(l, 7, "c", 1, true, time.Hour)
	if p := receive(t, k.added); p.Seq != 7 || p.Delivered {
		t.Errorf("idempotent by key, retention expired: %+v", p)
	}
	// Only one redelivery per ID is admitted at a time, and none while live messages are waiting.
	resend(l, 8, "d", 0, false, 0)
	receive(t, o.calls)
	resend(l, 9, "d", 0, false, 0)
	if p := receive(t, k.added); p.Seq != 9 || !p.NotAdmitted {
		t.Errorf("second redelivery with the same ID: %+v", p)
	}
	if l.Idle(); len(o.reports) > 0 {
		t.Errorf("report %+v", <-o.reports)
	}
}

// TestDeadLetterQueueSlow checks that if the queue stores nothing, the messages that wait for it take at most a tenth
// of the log: messages that end after that are not kept, and new messages are still accepted.
func TestDeadLetterQueueSlow(t *testing.T) {
	k := newQueueStub(true)
	l, o := loopWithQueue(t, t.TempDir(), k) // 1 MB
	start(t, l)
	accepted := 0
	for i := range 20 {
		v := make(chan Response, 1)
		id := string(rune('a' + i))
		m := newMessage(id, 2, time.Minute)
		m.Body = make([]byte, 20_000)
		l.Post(Submitted{Message: m, Response: v})
		if got := receive(t, v); !got.Accepted {
			t.Fatalf("message %d: %+v", i, got)
		}
		l.Post(ResponseWritten{id, true})
		c := receive(t, o.calls)
		<-o.pending
		l.Post(endedWith(c, AttemptResult{Result: control.Unprocessable}))
		n := receive(t, o.reports)
		if n.DeadLetter != nil {
			accepted++
		} else {
			l.Post(ReportsAcknowledged{[]control.MessageID{n.Number}})
		}
	}
	if accepted < 3 || accepted > 4 {
		t.Errorf("the queue accepted %d of 20 messages, want 3 or 4", accepted)
	}
}

// TestRedeliveryNeedsLog checks that no redelivery is sent while the log can't be written.
func TestRedeliveryNeedsLog(t *testing.T) {
	k := newQueueStub(true)
	l, o := loopWithQueue(t, t.TempDir(), k)
	l.wal.Close()
	start(t, l)
	l.Post(Redelivery{Seq: 5, Message: newMessage("a", 0, time.Minute)})
	if p := receive(t, k.added); p.Seq != 5 || !p.NotAdmitted {
		t.Errorf("%+v", p)
	}
	if l.Idle(); len(o.calls) > 0 {
		t.Error("the message was sent")
	}
}

// TestRedeliveryHandedOver checks that the result of a redelivery that is in flight at a hand-over, which the
// predecessor forwards, goes to the successor's queue only.
func TestRedeliveryHandedOver(t *testing.T) {
	for _, c := range []struct {
		name   string
		result control.Result
		resent bool // the message is sent again
		valid  func(p DeadLetter) bool
	}{
		{"served", control.Served, false, func(p DeadLetter) bool {
			return p.Delivered && p.Attempts[0].Result == control.Served
		}},
		{"rejected", control.Unprocessable, false, func(p DeadLetter) bool {
			return !p.Delivered && p.Reason == ReasonUnprocessable && !p.Attempts[0].Open
		}},
		{"connection lost", control.ConnectionLost, false, func(p DeadLetter) bool {
			return !p.Delivered && p.Reason == ReasonMayHaveRun && p.Attempts[0].Result == control.ConnectionLost
		}},
		{"connection refused", control.ConnectFailed, true, nil},
		{"predecessor lost", control.Unknown, false, func(p DeadLetter) bool {
			return !p.Delivered && p.Reason == ReasonMayHaveRun && p.Attempts[0].Open
		}},
	} {
		dir := t.TempDir()
		k := newQueueStub(true)
		l, o := loopWithQueue(t, dir, k)
		start(t, l)
		receive(t, k.began)
		l.Post(Redelivery{Seq: 5, Message: newMessage("a", 2, time.Minute)})
		call := receive(t, o.calls)
		<-o.pending
		handedOver, successor := performHandover(t, l)
		next := newQueueStub(true)
		l2, o2 := newTestLoop(t, dir, 1e6)
		l2.deadLetterQueue = next
		l2.restoreHandover(&handedOver)
		start(t, l2)
		if got := receive(t, next.began); got != [2]int{0, 1} {
			t.Errorf("%s: Begin of the successor's queue got %v", c.name, got)
		}
		if c.result == control.Unknown {
			l2.Post(PredecessorLost{})
		} else {
			l.Post(endedWith(call, AttemptResult{Result: c.result, Final: !c.resent && c.result != control.ConnectionLost}))
			l2.Post(receive(t, successor))
		}
		if c.resent {
			if retry := receive(t, o2.calls); retry.Attempts[0].Message.ID != "a" {
				t.Errorf("%s: %+v", c.name, retry)
			}
			continue
		}
		if p := receive(t, next.added); p.Seq != 5 || len(p.Attempts) != 1 || !c.valid(p) {
			t.Errorf("%s: %+v", c.name, p)
		}
		if l2.Idle(); len(o2.calls)+len(o2.reports)+len(k.added) > 0 {
			t.Errorf("%s: got a second call, a report or a dead letter in the predecessor's queue", c.name)
		}
	}
}
