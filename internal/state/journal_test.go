package state

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"cleathold/internal/store"
)

var discardLog = slog.New(slog.NewTextHandler(io.Discard, nil))

// openTestWAL opens the journal of a folder.
func openTestWAL(t *testing.T, dir string, limit int64) (*writeAheadLog, *table) {
	t.Helper()
	j, table, err := openWAL(walOptions{dir: dir, limit: limit, durability: store.Process, classes: &classRegistry{}, log: discardLog})
	if err != nil {
		t.Fatal(err)
	}
	return j, table
}

// addTestMessage enters a message into the table and the journal.
func addTestMessage(j *writeAheadLog, table *table, id string, size int) *entry {
	m := &Message{ID: id, Key: "k-" + id, Class: 1, Tenant: 2, Destination: 3, Resubmitted: true,
		Deadline: time.UnixMicro(1e15), Body: bytes.Repeat([]byte("x"), size)}
	e := &entry{Message: m, num: table.next, responded: true}
	table.add(e)
	j.addAccepted(e)
	return e
}

// describe says what a table owes.
func describe(t *table) string {
	var b strings.Builder
	for _, e := range t.ordered() {
		b.WriteString(e.ID + ":")
		for _, s := range e.mayHaveRun {
			b.WriteString("r" + string(rune('0'+s.attempt)))
		}
		b.WriteString("/" + string(rune('0'+e.attempts)))
		if e.report != nil {
			b.WriteString(e.report.outcome())
		}
		b.WriteString(" ")
	}
	return b.String()
}

// history writes one message of each fate.
func history(t *testing.T, dir string) {
	j, tb := openTestWAL(t, dir, 1e6)
	for _, id := range []string{"new", "out", "spared", "over", "deferred"} {
		e := addTestMessage(j, tb, id, 10)
		if id != "new" {
			j.add(attemptRecord(nil, e.num, sentAttempt{attempt: 0, at: time.UnixMicro(7), zone: 1}))
		}
		if id == "spared" || id == "deferred" {
			j.add(notRunRecord(e.num, 0))
		}
		if id == "over" {
			j.add(endedRecord(e.num))
		}
		if id == "deferred" {
			j.add(outcomeRecord(nil, &DeliveryReport{Num: e.num, Deferred: true, RetryAfter: 500 * time.Millisecond}))
		}
	}
	if err := errors.Join(j.flush(), j.close()); err != nil {
		t.Fatal(err)
	}
}

const historyOwes = "new:/0 out:r0/1 spared:/1 deferred:/1deferred "

// What was written is read again, at each start.
func TestJournalKeeps(t *testing.T) {
	dir := t.TempDir()
	history(t, dir)
	for range 2 {
		j, tb := openTestWAL(t, dir, 1e6)
		if got := describe(tb); got != historyOwes {
			t.Fatalf("owes %q, want %q", got, historyOwes)
		}
		e := tb.byID["out"]
		if e.Key != "k-out" || e.Destination != 3 || e.Tenant != 2 || e.Class != 1 || !e.Resubmitted || len(e.Body) != 10 ||
			e.Deadline.Sub(time.UnixMicro(1e15)).Abs() > time.Millisecond || e.mayHaveRun[0].zone != 1 || tb.times.stampOf(e.mayHaveRun[0].at) != 7 {
			t.Fatalf("read as %+v %+v", e.Message, e.mayHaveRun)
		}
		if n := tb.byID["deferred"].report; n.RetryAfter != 500*time.Millisecond || n.ID != "deferred" {
			t.Fatalf("notice %+v", n)
		}
		if tb.next != 6 { // of "over", which has ended, no number may come again
			t.Fatalf("the next number is %d", tb.next)
		}
		j.close()
	}
}

// logFile is the one segment of a small journal.
func logFile(t *testing.T, dir string) string {
	t.Helper()
	list, _ := filepath.Glob(filepath.Join(dir, "*.log"))
	if len(list) != 1 {
		t.Fatalf("segments: %v", list)
	}
	return list[0]
}

// A process killed at any byte leaves a folder from which all that was promised is
// read, and the next process goes on with it.
func TestJournalTornAnywhere(t *testing.T) {
	base := t.TempDir()
	history(t, base)
	name := logFile(t, base)
	whole, err := os.ReadFile(name)
	if err != nil {
		t.Fatal(err)
	}
	for n := range whole {
		dir := t.TempDir()
		if err := os.WriteFile(filepath.Join(dir, filepath.Base(name)), whole[:n], 0o600); err != nil {
			t.Fatal(err)
		}
		j, tb := openTestWAL(t, dir, 1e6) // one batch: all of it or nothing
		if len(tb.entries) > 0 {
			t.Fatalf("cut at %d: owes %q", n, describe(tb))
		}
		addTestMessage(j, tb, "next", 10)
		if err := errors.Join(j.flush(), j.close()); err != nil {
			t.Fatal(err)
		}
		if list, err := ReadPending(dir, discardLog); len(list) != 1 || err != nil {
			t.Fatalf("cut at %d: then %+v, %v", n, list, err)
		}
	}
}

// Damage costs what it touches alone. As that may have told of a forward, each message
// that was open before it counts as one that may have run.
func TestJournalDamaged(t *testing.T) {
	dir := t.TempDir()
	j, tb := openTestWAL(t, dir, 1e6)
	for _, id := range []string{"first", "second", "third"} {
		addTestMessage(j, tb, id, 10)
		if err := j.flush(); err != nil {
			t.Fatal(err)
		}
	}
	j.close()
	name := logFile(t, dir)
	whole, _ := os.ReadFile(name)
	at := bytes.Index(whole, []byte("second"))
	whole[at] ^= 0xff
	os.WriteFile(name, whole, 0o600)
	_, tb = openTestWAL(t, dir, 1e6)
	if got, want := describe(tb), "first:r0/1 third:/0 "; got != want {
		t.Errorf("owes %q, want %q", got, want)
	}
}

// The folder never holds more than its limit, and messages are refused before that.
// A body whose message has ended takes no room, though its notice is still owed.
func TestJournalLimit(t *testing.T) {
	const limit = 400_000
	dir := t.TempDir()
	j, tb := openTestWAL(t, dir, limit)
	refused := 0
	for i := range 3000 {
		size := 100 + i*37%4000
		if !j.hasRoom(tb.liveBytes + int64(size) + 1000) {
			refused++
			for k, e := range tb.ordered()[:5] {
				if k%2 == 0 && e.report == nil {
					tb.markEnded(e, DeliveryReport{Num: e.num, ID: e.ID})
					j.addEnded(e)
					continue
				}
				tb.drop(e)
				j.add(endedRecord(e.num))
			}
		} else {
			addTestMessage(j, tb, fmt.Sprint("m", i), size)
		}
		if err := j.flush(); err != nil {
			t.Fatalf("message %d: %v, %+v", i, err, j.store.Stats())
		}
		if i%50 == 0 {
			sum := int64(0)
			files, _ := os.ReadDir(dir)
			for _, f := range files {
				info, _ := f.Info()
				sum += (info.Size() + 511) / 512 * 512
			}
			if sum > limit {
				t.Fatalf("message %d: %d bytes held", i, sum)
			}
		}
	}
	if refused == 0 {
		t.Error("nothing was refused")
	}
	want := describe(tb)
	j.close()
	if _, again := openTestWAL(t, dir, limit); describe(again) != want {
		t.Errorf("owes %q, want %q", describe(again), want)
	}
}

// The file of an older program is taken over once; a take-over that was broken off at
// any point begins anew.
func TestTakeOver(t *testing.T) {
	old := func(dir string) {
		tb := newTable()
		var data []byte
		for i, id := range []string{"new", "out", "deferred"} {
			e := &entry{Message: &Message{ID: id, Destination: 3, Deadline: time.UnixMicro(1e15), Body: []byte("body")}, num: tb.next, responded: true}
			tb.add(e)
			data = appendLegacyRecord(data, acceptedRecord(nil, e))
			if i > 0 {
				data = appendLegacyRecord(data, attemptRecord(nil, e.num, sentAttempt{attempt: 0, at: time.UnixMicro(7), zone: 1}))
			}
			if i == 2 {
				data = appendLegacyRecord(data, outcomeRecord(nil, &DeliveryReport{Num: e.num, Deferred: true}))
			}
		}
		if err := os.WriteFile(filepath.Join(dir, legacyFile), append(data, "torn"...), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	const want = "new:/0 out:r0/1 deferred:r0/1deferred "
	dir := t.TempDir()
	old(dir)
	if list, err := ReadPending(dir, discardLog); len(list) != 3 || err != nil {
		t.Errorf("before: %+v, %v", list, err)
	}
	j, tb := openTestWAL(t, dir, 1e6)
	if got := describe(tb); got != want {
		t.Errorf("owes %q, want %q", got, want)
	}
	j.close()
	if _, err := os.Stat(filepath.Join(dir, legacyFile)); !os.IsNotExist(err) {
		t.Error("the old file is still there")
	}
	whole, _ := os.ReadFile(logFile(t, dir))
	for n := 0; n <= len(whole); n += 7 { // killed in its middle
		dir := t.TempDir()
		old(dir)
		os.WriteFile(filepath.Join(dir, "0000000000000001.log"), whole[:n], 0o600)
		os.WriteFile(filepath.Join(dir, legacyRewriteFile), []byte("half a rewrite"), 0o600)
		j, tb := openTestWAL(t, dir, 1e6)
		if got := describe(tb); got != want {
			t.Errorf("broken off at %d: owes %q, want %q", n, got, want)
		}
		j.close()
	}
}
