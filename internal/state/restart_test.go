package state

import (
	"bytes"
	"errors"
	"os"
	"testing"
	"time"

	"cleathold/control"
	"cleathold/internal/store"
	"cleathold/internal/wal"
)

// TestReportsWhileLogFails checks that while the log can't be written, a report is delayed at most until the deadline
// of its message, after which a next process would not send the message any more. The report of a message with time
// left must wait until its record is written.
func TestReportsWhileLogFails(t *testing.T) {
	dir := t.TempDir()
	l, o := newTestLoop(t, dir, 1e6)
	l.wal.Close()
	disk := &fullableDisk{FS: store.Dir(dir)}
	var err error
	if l.wal, _, err = wal.Open(wal.Options{Dir: dir, Limit: 1e6, Log: discardLog, FS: disk}); err != nil {
		t.Fatal(err)
	}
	start(t, l)
	submit := func(id string, class int, within time.Duration) {
		v := make(chan Response, 1)
		l.Post(Submitted{Message: newMessage(id, class, within), Response: v})
		if !receive(t, v).Accepted {
			t.Fatalf("%s is not accepted", id)
		}
		l.Post(ResponseWritten{id, true})
	}
	submit("unsafe", 2, time.Minute)
	call := receive(t, o.calls)
	const within = 400 * time.Millisecond
	submittedAt := time.Now()
	submit("short", 2, within)
	short := receive(t, o.calls)
	time.AfterFunc(within, func() {
		l.Post(endedWith(short, AttemptResult{Result: control.TimedOut}))
	})
	l.Post(inspect(func() { disk.full.Store(true) }))
	l.Post(endedWith(call, AttemptResult{Result: control.ConnectionLost})) // ends undeliverable immediately
	if n := receive(t, o.reports); n.ID != "short" {
		t.Errorf("%s is reported although the log lacks its outcome", n.ID)
	}
	if took := time.Since(submittedAt); took > within+200*time.Millisecond {
		t.Errorf("reported %v after the submission, deadline after %v", took, within)
	}
	l.Post(inspect(func() { disk.full.Store(false) }))
	if n := receive(t, o.reports); n.ID != "unsafe" { // without any event from outside the loop
		t.Errorf("%s is reported after the log was written, want unsafe", n.ID)
	}
}

// writeAttempted writes a log with one message and an attempt of the given age; 0 = no attempt.
func writeAttempted(t *testing.T, dir string, m *Message, now time.Time, ago time.Duration, mayHaveRun bool) {
	t.Helper()
	l, _ := openTestLog(t, dir)
	logAccepted(l, &entry{num: 9, Message: m})
	if ago != 0 {
		l.AddAttempt(9, wal.Attempt{At: now.Add(-ago)})
		if !mayHaveRun {
			l.AddNotRun(9, 0)
		}
	}
	if err := errors.Join(l.Flush(), l.Close()); err != nil {
		t.Fatal(err)
	}
}

// TestRestart checks that after a restart each message gets its outcome, within the limits of its class.
func TestRestart(t *testing.T) {
	now := time.Now()
	for _, c := range []struct {
		name        string
		class       int
		timeLeft    time.Duration
		attemptAge  time.Duration // age of the attempt; 0 = none
		mayHaveRun  bool          // the attempt may have run
		wantAttempt int           // index of the expected attempt; -1 = none
		wantOwed    string
	}{
		{"idempotent, fresh", 0, time.Minute, 0, false, 0, ""},
		{"idempotent, may have run", 0, time.Minute, time.Hour, true, 1, ""},
		{"by key, key retained", 1, time.Minute, time.Second, true, 1, ""},
		{"by key, key expired", 1, time.Minute, 20 * time.Second, true, -1, "deferred"},
		{"by key, clock set back since", 1, time.Minute, -time.Second, true, -1, "deferred"},
		{"by key, never ran, clock set back", 1, time.Minute, -time.Second, false, 1, ""},
		{"not idempotent, fresh", 2, time.Minute, 0, false, 0, ""},
		{"not idempotent, never ran", 2, time.Minute, time.Second, false, 1, ""},
		{"not idempotent, may have run", 2, time.Minute, time.Second, true, -1, "undeliverable"},
		{"idempotent, overdue", 0, -time.Second, 0, false, -1, "deferred"},
		{"not idempotent, overdue", 2, -time.Second, time.Second, true, -1, "undeliverable"},
	} {
		dir := t.TempDir()
		writeAttempted(t, dir, newMessage("a", c.class, c.timeLeft), now, c.attemptAge, c.mayHaveRun)
		l, o := newTestLoop(t, dir, 1e6)
		start(t, l)
		if c.wantOwed != "" {
			if n := receive(t, o.reports); n.outcome() != c.wantOwed || n.ID != "a" {
				t.Errorf("%s: %+v", c.name, n)
			}
			if l.Idle(); len(o.calls) > 0 {
				t.Errorf("%s: the message was sent", c.name)
			}
			continue
		}
		f := receive(t, o.calls).Attempts[0]
		want := time.Time{}
		if c.class == 1 && c.mayHaveRun { // a repeat must not be sent after the key retention
			want = now.Add(-c.attemptAge).Add(12 * time.Second)
		}
		if off := f.NotAfter.Sub(want).Abs(); off > time.Millisecond { // the log rounds times to microseconds
			t.Errorf("%s: may leave until %v, want %v", c.name, f.NotAfter, want)
		}
		if f.attempt != c.wantAttempt || !bytes.Equal(f.Message.Body, []byte("body")) || len(o.reports) > 0 {
			t.Errorf("%s: attempt %d of %+v", c.name, f.attempt, f.Message)
		}
	}
}

// TestRestartAcrossClockStep checks that a step of the wall clock between two processes changes no time span: a message
// that was sent 5 s ago and has 20 s left has the same spans in the next process, whether the clock was set forward or
// back by an hour meanwhile.
func TestRestartAcrossClockStep(t *testing.T) {
	for _, step := range []time.Duration{-time.Hour, -3 * time.Second, 3 * time.Second, time.Hour} {
		dir := t.TempDir()
		before, err := wal.AnchorNow()
		if err != nil {
			t.Fatal(err)
		}
		before.Stamp -= step.Microseconds() // what the wall clock showed when the first process started
		if err := wal.WriteAnchor(dir, before); err != nil {
			t.Fatal(err)
		}
		now := time.Now()
		steppedClock := wal.NewTimeBase(now, now.Add(-step).UnixMicro())
		j, tb := openTestLog(t, dir)
		e := &entry{num: 9, Message: &Message{ID: "a", Class: 1, Destination: 7, Deadline: now.Add(20 * time.Second)}}
		tb.add(e)
		// written returns the time that the log records with the stamp of the stepped wall clock.
		written := func(at time.Time) time.Time { return j.TimeBase().Time(steppedClock.Stamp(at)) }
		e.Deadline = written(e.Deadline)
		logAccepted(j, e)
		j.AddAttempt(9, wal.Attempt{At: written(now.Add(-5 * time.Second))})
		if err := errors.Join(j.Flush(), j.Close()); err != nil {
			t.Fatal(err)
		}
		l, o := newTestLoop(t, dir, 1e6)
		start(t, l)
		f := receive(t, o.calls).Attempts[0]
		if off := f.NotAfter.Sub(now.Add(7 * time.Second)).Abs(); off > 50*time.Millisecond {
			t.Errorf("step %v: NotAfter in %v, want 7s", step, f.NotAfter.Sub(now))
		}
		if off := f.Message.Deadline.Sub(now.Add(20 * time.Second)).Abs(); off > 50*time.Millisecond {
			t.Errorf("step %v: deadline in %v, want 20s", step, f.Message.Deadline.Sub(now))
		}
		pending, err := ReadPending(dir, discardLog)
		if err != nil || len(pending) != 1 || pending[0].Deadline.Sub(now.Add(20*time.Second)).Abs() > 50*time.Millisecond {
			t.Errorf("step %v: pending %+v, %v", step, pending, err)
		}
	}
}

// TestAttemptInDamage checks messages whose record of an attempt is in a damaged part of the log: a message that is not
// idempotent ends as one that may have run, and one with a key near the end of its retention is not sent again.
func TestAttemptInDamage(t *testing.T) {
	for _, c := range []struct {
		name  string
		class int
		owed  string
	}{{"unsafe", 2, "undeliverable"}, {"keyed", 1, "deferred"}, {"safe", 0, ""}} {
		dir := t.TempDir()
		j, tb := openTestLog(t, dir)
		e := &entry{num: 9, Message: newMessage("a", c.class, time.Minute)}
		e.Key = "k"
		tb.add(e)
		logAccepted(j, e)
		err := j.Flush()
		j.AddAttempt(9, wal.Attempt{At: time.Now().Add(-11 * time.Second), Endpoint: "target-in-the-damage"})
		err = errors.Join(err, j.Flush())
		// Another record follows, so that the damage is not a torn write at the end of the log.
		logAccepted(j, &entry{num: 10, Message: newMessage("later", 1, time.Hour)})
		if err = errors.Join(err, j.Flush(), j.Close()); err != nil {
			t.Fatal(err)
		}
		name := logFile(t, dir)
		content, _ := os.ReadFile(name)
		content[bytes.Index(content, []byte("in-the-damage"))] ^= 1
		if err := os.WriteFile(name, content, 0o600); err != nil {
			t.Fatal(err)
		}
		l, o := newTestLoop(t, dir, 1e6)
		start(t, l)
		if c.owed == "" {
			if f := receive(t, o.calls).Attempts[0]; f.Message.ID != "a" {
				t.Errorf("%s: %s was sent", c.name, f.Message.ID)
			}
			continue
		}
		for n := receive(t, o.reports); n.ID != "a"; n = receive(t, o.reports) {
		}
		list, _ := ReadPending(dir, discardLog)
		for _, p := range list {
			if p.ID == "a" && p.Owed != c.owed {
				t.Errorf("%s: owed %s", c.name, p.Owed)
			}
		}
		for len(o.calls) > 0 {
			if f := (<-o.calls).Attempts[0]; f.Message.ID == "a" {
				t.Errorf("%s: sent again", c.name)
			}
		}
	}
}
