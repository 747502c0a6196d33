package wal

import (
	"bytes"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"cleathold/control"
	"cleathold/internal/store"
)

var discardLog = slog.New(slog.DiscardHandler)

// fixture is a log with the messages that it tells are owed.
type fixture struct {
	*Log
	entries []*Entry
	next    control.MessageID
}

// openLog opens the log of a folder.
func openLog(t *testing.T, dir string, limit int64) *fixture {
	t.Helper()
	l, recovered, err := Open(Options{
		Dir: dir, Limit: limit, Reserved: 8 << 10, Durability: store.Process, Log: discardLog,
	})
	if err != nil {
		t.Fatal(err)
	}
	return &fixture{l, recovered.Entries, recovered.NextNumber}
}

// accept adds a message.
func (f *fixture) accept(id string, size int) *Entry {
	e := &Entry{Accepted: Accepted{
		Number: f.next, ID: id, Key: "k-" + id, Class: 1, Tenant: 2, Destination: 3, Resubmitted: true,
		Deadline: time.UnixMicro(1e15), Body: bytes.Repeat([]byte("x"), size),
	}}
	f.next++
	f.entries = append(f.entries, e)
	f.AddAccepted(&e.Accepted)
	return e
}

// byID returns one of the messages.
func (f *fixture) byID(id string) *Entry {
	return f.entries[slices.IndexFunc(f.entries, func(e *Entry) bool { return e.ID == id })]
}

// describe says what is owed.
func describe(entries []*Entry) string {
	var b strings.Builder
	for _, e := range entries {
		b.WriteString(e.ID + ":")
		for _, a := range e.MayHaveRun {
			fmt.Fprintf(&b, "r%d", a.Index)
		}
		fmt.Fprintf(&b, "/%d", e.Attempts)
		if e.Outcome != nil && e.Outcome.Deferred {
			b.WriteString("deferred")
		} else if e.Outcome != nil {
			b.WriteString("undeliverable")
		}
		b.WriteString(" ")
	}
	return b.String()
}

// writeHistory writes one message of each fate.
func writeHistory(t *testing.T, dir string) {
	l := openLog(t, dir, 1e6)
	for _, id := range []string{"new", "out", "spared", "over", "deferred"} {
		e := l.accept(id, 10)
		if id != "new" {
			l.addRecord(e.Number, EncodeAttempt(nil, e.Number, Attempt{At: time.UnixMicro(7), Zone: 1}))
		}
		if id == "spared" || id == "deferred" {
			l.AddNotRun(e.Number, 0)
		}
		if id == "over" {
			l.AddEnded(e.Number)
		}
		if id == "deferred" {
			l.AddOutcome(e.Number, &Outcome{Deferred: true, RetryAfter: 500 * time.Millisecond})
		}
	}
	if err := errors.Join(l.Flush(), l.Close()); err != nil {
		t.Fatal(err)
	}
}

const historyEntries = "new:/0 out:r0/1 spared:/1 deferred:/1deferred "

// What was written is read again, at each start.
func TestLogReopened(t *testing.T) {
	dir := t.TempDir()
	writeHistory(t, dir)
	for range 2 {
		l := openLog(t, dir, 1e6)
		if got := describe(l.entries); got != historyEntries {
			t.Fatalf("owes %q, want %q", got, historyEntries)
		}
		e := l.byID("out")
		if e.Key != "k-out" || e.Destination != 3 || e.Tenant != 2 || e.Class != 1 || !e.Resubmitted || len(e.Body) != 10 ||
			e.Deadline.Sub(time.UnixMicro(1e15)).Abs() > time.Millisecond || e.MayHaveRun[0].Zone != 1 ||
			l.Times().Stamp(e.MayHaveRun[0].At) != 7 {
			t.Fatalf("read as %+v", e)
		}
		if o := l.byID("deferred").Outcome; o.RetryAfter != 500*time.Millisecond {
			t.Fatalf("outcome %+v", o)
		}
		if l.next != 6 { // of "over", which has ended, no number may come again
			t.Fatalf("the next number is %d", l.next)
		}
		l.Close()
	}
}

// logFile is the one segment of a small log.
func logFile(t *testing.T, dir string) string {
	t.Helper()
	list, _ := filepath.Glob(filepath.Join(dir, "*.log"))
	if len(list) != 1 {
		t.Fatalf("segments: %v", list)
	}
	return list[0]
}

// A process killed at any byte leaves a folder from which all that was promised is read, and the next process goes on
// with it.
func TestLogTruncatedAtEveryByte(t *testing.T) {
	base := t.TempDir()
	writeHistory(t, base)
	name := logFile(t, base)
	content, err := os.ReadFile(name)
	if err != nil {
		t.Fatal(err)
	}
	for n := range content {
		dir := t.TempDir()
		if err := os.WriteFile(filepath.Join(dir, filepath.Base(name)), content[:n], 0o600); err != nil {
			t.Fatal(err)
		}
		l := openLog(t, dir, 1e6) // one batch: all of it or nothing
		if len(l.entries) > 0 {
			t.Fatalf("cut at %d: owes %q", n, describe(l.entries))
		}
		l.accept("next", 10)
		if err := errors.Join(l.Flush(), l.Close()); err != nil {
			t.Fatal(err)
		}
		if list, err := Read(dir, discardLog); len(list) != 1 || err != nil {
			t.Fatalf("cut at %d: then %+v, %v", n, list, err)
		}
	}
}

// Damage costs what it touches alone. As that may have told of an attempt, each message that was open before it
// counts as one that may have run.
func TestLogDamaged(t *testing.T) {
	dir := t.TempDir()
	l := openLog(t, dir, 1e6)
	for _, id := range []string{"first", "second", "third"} {
		l.accept(id, 10)
		if err := l.Flush(); err != nil {
			t.Fatal(err)
		}
	}
	l.Close()
	name := logFile(t, dir)
	content, _ := os.ReadFile(name)
	at := bytes.Index(content, []byte("second"))
	content[at] ^= 0xff
	os.WriteFile(name, content, 0o600)
	l = openLog(t, dir, 1e6)
	if got, want := describe(l.entries), "first:r0/1 third:/0 "; got != want {
		t.Errorf("owes %q, want %q", got, want)
	}
}

// folderSize is what the files of a folder take, in whole units of the disk.
func folderSize(dir string) (sum int64) {
	files, _ := os.ReadDir(dir)
	for _, f := range files {
		info, _ := f.Info()
		sum += (info.Size() + 511) / 512 * 512
	}
	return sum
}

// The folder never holds more than its limit, and messages are refused before that. A body whose message has ended
// takes no room, though its report is still owed.
func TestLogLimit(t *testing.T) {
	const limit = 400_000
	dir := t.TempDir()
	l := openLog(t, dir, limit)
	live := func() (sum int64) {
		for _, e := range l.entries {
			sum += Cost(e.ID, e.Key, e.Body)
		}
		return sum
	}
	rejected := 0
	for i := range 3000 {
		size := 100 + i*37%4000
		if l.HasCapacity(live() + int64(size) + 1000) {
			l.accept(fmt.Sprint("m", i), size)
		} else {
			rejected++
			for k, e := range slices.Clone(l.entries[:5]) {
				if k%2 == 0 && e.Outcome == nil {
					e.applyOutcome(&Outcome{})
					l.Replace(e)
					continue
				}
				l.entries = slices.DeleteFunc(l.entries, func(x *Entry) bool { return x == e })
				l.AddEnded(e.Number)
			}
		}
		if err := l.Flush(); err != nil {
			t.Fatalf("message %d: %v, %+v", i, err, l.store.Stats())
		}
		if i%50 == 0 && folderSize(dir) > limit {
			t.Fatalf("message %d: %d bytes held", i, folderSize(dir))
		}
	}
	if rejected == 0 {
		t.Error("nothing was refused")
	}
	l.Close()
	if reopened := openLog(t, dir, limit); describe(reopened.entries) != describe(l.entries) {
		t.Errorf("owes %q, want %q", describe(reopened.entries), describe(l.entries))
	}
}

// writeSingleFile writes the file of an older program, with a torn tail.
func writeSingleFile(t *testing.T, dir string) {
	t.Helper()
	var data []byte
	for i, id := range []string{"new", "out", "deferred"} {
		e := &Entry{Accepted: Accepted{
			Number: control.MessageID(i + 1), ID: id, Destination: 3, Deadline: time.UnixMicro(1e15), Body: []byte("body"),
		}}
		data = appendFramed(data, EncodeAccepted(nil, &e.Accepted))
		if i > 0 {
			data = appendFramed(data, EncodeAttempt(nil, e.Number, Attempt{At: time.UnixMicro(7), Zone: 1}))
		}
		if i == 2 {
			data = appendFramed(data, EncodeOutcome(nil, e.Number, &Outcome{Deferred: true}))
		}
	}
	if err := os.WriteFile(filepath.Join(dir, singleFileName), append(data, "torn"...), 0o600); err != nil {
		t.Fatal(err)
	}
}

// The file of an older program is imported once; an import that was broken off at any point begins anew.
func TestImportSingleFile(t *testing.T) {
	const want = "new:/0 out:r0/1 deferred:r0/1deferred "
	dir := t.TempDir()
	writeSingleFile(t, dir)
	if list, err := Read(dir, discardLog); len(list) != 3 || err != nil {
		t.Errorf("before: %+v, %v", list, err)
	}
	l := openLog(t, dir, 1e6)
	if got := describe(l.entries); got != want {
		t.Errorf("owes %q, want %q", got, want)
	}
	l.Close()
	if _, err := os.Stat(filepath.Join(dir, singleFileName)); !os.IsNotExist(err) {
		t.Error("the old file is still there")
	}
	content, _ := os.ReadFile(logFile(t, dir))
	for n := 0; n <= len(content); n += 7 { // killed in its middle
		dir := t.TempDir()
		writeSingleFile(t, dir)
		os.WriteFile(filepath.Join(dir, "0000000000000001.log"), content[:n], 0o600)
		os.WriteFile(filepath.Join(dir, singleFileReplacement), []byte("half a rewrite"), 0o600)
		l := openLog(t, dir, 1e6)
		if got := describe(l.entries); got != want {
			t.Errorf("broken off at %d: owes %q, want %q", n, got, want)
		}
		l.Close()
	}
}

// What the log could not take is known as missing, and is in it once it can write again; what was taken back
// meanwhile is not.
func TestLogFlushAfterWriteError(t *testing.T) {
	dir := t.TempDir()
	l := openLog(t, dir, 1e6)
	a, b := l.accept("a", 10), l.accept("b", 10)
	l.store.Close()
	if err := l.Flush(); err == nil || !l.Incomplete() {
		t.Fatal("a failed write went unseen")
	}
	l.Forget(b.Number)
	l.store = openLog(t, dir, 1e6).store
	if err := l.Flush(); err != nil || l.Incomplete() {
		t.Fatal(err)
	}
	if list, _ := Read(dir, discardLog); len(list) != 1 || list[0].ID != a.ID {
		t.Errorf("kept %+v", list)
	}
}

// After a start of the machine the time base begins anew, and never behind what it told before.
func TestTimeBaseAfterReboot(t *testing.T) {
	dir := t.TempDir()
	ahead := time.Now().Add(time.Minute).UnixMicro()
	if err := WriteAnchor(dir, Anchor{Boot: "another", Monotonic: 1, Stamp: ahead}); err != nil {
		t.Fatal(err)
	}
	if got := OpenTimeBase(dir, discardLog).Stamp(time.Now()); got < ahead {
		t.Errorf("%d after %d", got, ahead)
	}
	if err := os.WriteFile(filepath.Join(dir, TimeBaseFile), []byte("half"), 0o600); err != nil {
		t.Fatal(err)
	}
	now := time.Now()
	if got := OpenTimeBase(dir, discardLog).Time(now.UnixMicro()).Sub(now).Abs(); got > 50*time.Millisecond {
		t.Errorf("a damaged anchor: %v off", got)
	}
}
