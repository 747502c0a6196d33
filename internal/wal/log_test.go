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

// fixture is an open log together with the messages that it restored or accepted and that still need processing.
type fixture struct {
	*Log
	entries    []*Entry
	nextNumber control.MessageID
}

// openLog opens the log in a folder.
func openLog(t *testing.T, dir string, limit int64) *fixture {
	t.Helper()
	l, recovered, err := Open(Options{
		Dir: dir, Limit: limit, Reserved: 8 << 10, Durability: store.ProcessExit, Log: discardLog,
	})
	if err != nil {
		t.Fatal(err)
	}
	return &fixture{l, recovered.Entries, recovered.NextNumber}
}

// accept adds the record of a new message with a body of the given size.
func (f *fixture) accept(id string, size int) *Entry {
	e := &Entry{Accepted: Accepted{
		Number: f.nextNumber, ID: id, Key: "k-" + id, Class: 1, Tenant: 2, Destination: 3, Resubmitted: true,
		Deadline: time.UnixMicro(1e15), Body: bytes.Repeat([]byte("x"), size),
	}}
	f.nextNumber++
	f.entries = append(f.entries, e)
	f.AddAccepted(&e.Accepted)
	return e
}

// byID returns the message with an ID.
func (f *fixture) byID(id string) *Entry {
	return f.entries[slices.IndexFunc(f.entries, func(e *Entry) bool { return e.ID == id })]
}

// describe returns a summary of entries: per message its ID, the attempts that may have run, the number of attempts and
// the outcome.
func describe(entries []*Entry) string {
	var b strings.Builder
	for _, e := range entries {
		b.WriteString(e.ID + ":")
		for _, a := range e.UncertainAttempts {
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

// writeHistory writes a log with one message in each state.
func writeHistory(t *testing.T, dir string) {
	l := openLog(t, dir, 1e6)
	for _, id := range []string{"new", "in-flight", "not-run", "ended", "deferred"} {
		e := l.accept(id, 10)
		if id != "new" {
			l.addRecord(e.Number, EncodeAttempt(nil, e.Number, Attempt{At: time.UnixMicro(7), Zone: 1}))
		}
		if id == "not-run" || id == "deferred" {
			l.AddNotRun(e.Number, 0)
		}
		if id == "ended" {
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

const historyEntries = "new:/0 in-flight:r0/1 not-run:/1 deferred:/1deferred "

// Messages are restored unchanged each time the log is opened.
func TestLogReopened(t *testing.T) {
	dir := t.TempDir()
	writeHistory(t, dir)
	for range 2 {
		l := openLog(t, dir, 1e6)
		if got := describe(l.entries); got != historyEntries {
			t.Fatalf("restored %q, want %q", got, historyEntries)
		}
		e := l.byID("in-flight")
		if e.Key != "k-in-flight" || e.Destination != 3 || e.Tenant != 2 || e.Class != 1 || !e.Resubmitted ||
			len(e.Body) != 10 || e.Deadline.Sub(time.UnixMicro(1e15)).Abs() > time.Millisecond ||
			e.UncertainAttempts[0].Zone != 1 ||
			l.TimeBase().Stamp(e.UncertainAttempts[0].At) != 7 {
			t.Fatalf("restored %+v", e)
		}
		if o := l.byID("deferred").Outcome; o.RetryAfter != 500*time.Millisecond {
			t.Fatalf("outcome %+v", o)
		}
		if l.nextNumber != 6 { // the number of "ended" must not be reused, though the message has ended
			t.Fatalf("next number is %d, want 6", l.nextNumber)
		}
		l.Close()
	}
}

// logFile returns the path of the only segment of a small log.
func logFile(t *testing.T, dir string) string {
	t.Helper()
	list, _ := filepath.Glob(filepath.Join(dir, "*.log"))
	if len(list) != 1 {
		t.Fatalf("segments: %v", list)
	}
	return list[0]
}

// A process may be killed at any byte of a write. The next process must restore the acknowledged messages, ignore the
// truncated batch, and append to the log.
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
		l := openLog(t, dir, 1e6) // the history is one batch, so none of it may be restored
		if len(l.entries) > 0 {
			t.Fatalf("truncated at %d: restored %q", n, describe(l.entries))
		}
		l.accept("next", 10)
		if err := errors.Join(l.Flush(), l.Close()); err != nil {
			t.Fatal(err)
		}
		if list, err := Read(dir, discardLog); len(list) != 1 || err != nil {
			t.Fatalf("truncated at %d: after an append: %+v, %v", n, list, err)
		}
	}
}

// Only the damaged record is lost. As it may have been the record of an attempt, each message that was open before it
// must count as one that may have run.
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
	offset := bytes.Index(content, []byte("second"))
	content[offset] ^= 0xff
	os.WriteFile(name, content, 0o600)
	l = openLog(t, dir, 1e6)
	if got, want := describe(l.entries), "first:r0/1 third:/0 "; got != want {
		t.Errorf("restored %q, want %q", got, want)
	}
}

// folderSize returns the size of the files in a folder, each rounded up to whole disk blocks.
func folderSize(dir string) (sum int64) {
	files, _ := os.ReadDir(dir)
	for _, f := range files {
		info, _ := f.Info()
		sum += (info.Size() + 511) / 512 * 512
	}
	return sum
}

// The folder never exceeds its limit, as messages are rejected before it is reached. A message with an outcome takes no
// space for its body, even while its report is still due.
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
			t.Fatalf("message %d: folder has %d bytes", i, folderSize(dir))
		}
	}
	if rejected == 0 {
		t.Error("no message was rejected")
	}
	l.Close()
	if reopened := openLog(t, dir, limit); describe(reopened.entries) != describe(l.entries) {
		t.Errorf("restored %q, want %q", describe(reopened.entries), describe(l.entries))
	}
}

// writeSingleFile writes the single-file log of an older program with a truncated record at its end.
func writeSingleFile(t *testing.T, dir string) {
	t.Helper()
	var data []byte
	for i, id := range []string{"new", "in-flight", "deferred"} {
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

// A single-file log is imported once. If the process is killed at any point of the import, the next one starts it over.
func TestImportSingleFile(t *testing.T) {
	const want = "new:/0 in-flight:r0/1 deferred:r0/1deferred "
	dir := t.TempDir()
	writeSingleFile(t, dir)
	if list, err := Read(dir, discardLog); len(list) != 3 || err != nil {
		t.Errorf("before the import: %+v, %v", list, err)
	}
	l := openLog(t, dir, 1e6)
	if got := describe(l.entries); got != want {
		t.Errorf("imported %q, want %q", got, want)
	}
	l.Close()
	if _, err := os.Stat(filepath.Join(dir, singleFileName)); !os.IsNotExist(err) {
		t.Error("the single file was not removed")
	}
	content, _ := os.ReadFile(logFile(t, dir))
	for n := 0; n <= len(content); n += 7 { // an earlier import was killed after n bytes
		dir := t.TempDir()
		writeSingleFile(t, dir)
		os.WriteFile(filepath.Join(dir, "0000000000000001.log"), content[:n], 0o600)
		os.WriteFile(filepath.Join(dir, singleFileReplacement), []byte("incomplete rewrite"), 0o600)
		l := openLog(t, dir, 1e6)
		if got := describe(l.entries); got != want {
			t.Errorf("interrupted at %d: imported %q, want %q", n, got, want)
		}
		l.Close()
	}
}

// After a failed write the log reports that it is incomplete. Once writes succeed again it must contain the pending
// records, without those of messages that were dropped by Forget meanwhile.
func TestLogFlushAfterWriteError(t *testing.T) {
	dir := t.TempDir()
	l := openLog(t, dir, 1e6)
	a, b := l.accept("a", 10), l.accept("b", 10)
	l.store.Close()
	if err := l.Flush(); err == nil || !l.Incomplete() {
		t.Fatal("a failed write was not reported")
	}
	l.Forget(b.Number)
	l.store = openLog(t, dir, 1e6).store
	if err := l.Flush(); err != nil || l.Incomplete() {
		t.Fatal(err)
	}
	if list, _ := Read(dir, discardLog); len(list) != 1 || list[0].ID != a.ID {
		t.Errorf("log contains %+v, want only %q", list, a.ID)
	}
}

// After a reboot a new time base is created, whose timestamps must not be lower than those before the reboot.
func TestTimeBaseAfterReboot(t *testing.T) {
	dir := t.TempDir()
	ahead := time.Now().Add(time.Minute).UnixMicro()
	if err := WriteAnchor(dir, Anchor{Boot: "another", Monotonic: 1, Stamp: ahead}); err != nil {
		t.Fatal(err)
	}
	if got := OpenTimeBase(dir, discardLog).Stamp(time.Now()); got < ahead {
		t.Errorf("timestamp %d, want at least %d", got, ahead)
	}
	if err := os.WriteFile(filepath.Join(dir, TimeBaseFile), []byte("half"), 0o600); err != nil {
		t.Fatal(err)
	}
	now := time.Now()
	if got := OpenTimeBase(dir, discardLog).Time(now.UnixMicro()).Sub(now).Abs(); got > 50*time.Millisecond {
		t.Errorf("after a damaged anchor: time base is off by %v", got)
	}
}
