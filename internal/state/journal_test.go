package state

import (
	"bytes"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

var quiet = slog.New(slog.NewTextHandler(io.Discard, nil))

// open opens the journal of a folder.
func open(t *testing.T, dir string, limit int64) (*journal, *table) {
	t.Helper()
	j, table, err := openJournal(dir, limit, quiet)
	if err != nil {
		t.Fatal(err)
	}
	return j, table
}

// take enters a message into the table and the journal.
func take(j *journal, table *table, id string, size int) *entry {
	m := &Message{ID: id, Key: "k-" + id, Class: 1, Tenant: 2, Destination: 3, Again: true,
		Deadline: time.UnixMicro(1e15), Body: bytes.Repeat([]byte("x"), size)}
	e := &entry{Message: m, num: table.next, answered: true}
	table.add(e)
	j.add(takeRecord(e))
	return e
}

// describe says what a table owes.
func describe(t *table) string {
	var b strings.Builder
	for _, e := range t.ordered() {
		b.WriteString(e.ID + ":")
		for _, s := range e.ran {
			b.WriteString("r" + string(rune('0'+s.attempt)))
		}
		b.WriteString("/" + string(rune('0'+e.sends)))
		if e.notice != nil {
			b.WriteString(e.notice.status())
		}
		b.WriteString(" ")
	}
	return b.String()
}

// history writes one message of each fate.
func history(t *testing.T, dir string) {
	j, tb := open(t, dir, 1e6)
	for _, id := range []string{"new", "out", "spared", "over", "deferred"} {
		e := take(j, tb, id, 10)
		if id != "new" {
			j.add(forwardRecord(e.num, sent{attempt: 0, at: time.UnixMicro(7), zone: 1}))
		}
		if id == "spared" || id == "deferred" {
			j.add(sparedRecord(e.num, 0))
		}
		if id == "over" {
			j.add(overRecord(e.num))
		}
		if id == "deferred" {
			j.add(noticeRecord(&Notice{Num: e.num, Deferred: true, Again: 500 * time.Millisecond}))
		}
	}
	if err := j.flush(tb); err != nil {
		t.Fatal(err)
	}
}

const historyOwes = "new:/0 out:r0/1 spared:/1 deferred:/1deferred "

// What was written is read again, and once more after the rewrite at a start.
func TestJournalKeeps(t *testing.T) {
	dir := t.TempDir()
	history(t, dir)
	for range 2 {
		_, tb := open(t, dir, 1e6)
		if got := describe(tb); got != historyOwes {
			t.Fatalf("owes %q, want %q", got, historyOwes)
		}
		e := tb.ids["out"]
		if e.Key != "k-out" || e.Destination != 3 || e.Tenant != 2 || e.Class != 1 || !e.Again || len(e.Body) != 10 ||
			e.Deadline.UnixMicro() != 1e15 || e.ran[0].zone != 1 || e.ran[0].at.UnixMicro() != 7 {
			t.Fatalf("read as %+v %+v", e.Message, e.ran)
		}
		if n := tb.ids["deferred"].notice; n.Again != 500*time.Millisecond || n.ID != "deferred" {
			t.Fatalf("notice %+v", n)
		}
	}
}

// A process killed at any byte leaves a file from which all whole records are
// read, and the next process goes on with it.
func TestJournalTornAnywhere(t *testing.T) {
	dir := t.TempDir()
	history(t, dir)
	whole, err := os.ReadFile(filepath.Join(dir, journalName))
	if err != nil {
		t.Fatal(err)
	}
	ends := 0
	for n := 0; n < len(whole); n++ {
		tb := newTable()
		bad := replay(whole[:n], tb)
		if n == ends {
			ends += intact(whole[n:])
		}
		if start := n - bad; start > n || !bytes.HasPrefix(whole[start:], mark) {
			t.Fatalf("cut at %d: %d bytes unread, not from a record's start", n, bad)
		}
		for _, e := range tb.entries {
			if e.sends > 1 {
				t.Fatalf("cut at %d: a torn tail was taken for a forward of %s", n, e.ID)
			}
		}
	}
}

// Damage in the middle costs the damaged record alone. As that may have told of
// a forward, each message open then counts as one that may have run.
func TestJournalDamaged(t *testing.T) {
	dir := t.TempDir()
	history(t, dir)
	name := filepath.Join(dir, journalName)
	whole, _ := os.ReadFile(name)
	at := bytes.Index(whole, []byte("spared"))
	whole[at] ^= 0xff
	os.WriteFile(name, whole, 0o600)
	os.WriteFile(filepath.Join(dir, freshName), []byte("half a rewrite"), 0o600)
	_, tb := open(t, dir, 1e6)
	want := "new:r0/1 out:r0r1/2 deferred:/1deferred "
	if got := describe(tb); got != want {
		t.Errorf("owes %q, want %q", got, want)
	}
	if _, err := os.Stat(filepath.Join(dir, freshName)); !os.IsNotExist(err) {
		t.Error("half a rewrite was left lying")
	}
}

// The folder never holds more than its limit, old and new file together, and
// messages are refused before that.
func TestJournalLimit(t *testing.T) {
	const limit = 200_000
	dir := t.TempDir()
	j, tb := open(t, dir, limit)
	refused := 0
	for i := range 400 {
		size := 100 + i*37%4000
		if !j.room(tb.live + int64(size) + 1000) {
			refused++
			for _, e := range tb.ordered()[:5] {
				tb.drop(e)
				j.add(overRecord(e.num))
			}
		} else {
			take(j, tb, "m"+string(rune(i)), size)
		}
		before := j.size
		if err := j.flush(tb); err != nil {
			t.Fatal(err)
		}
		most := j.size
		if j.size < before { // rewritten: both files were there
			most += before
		}
		if (most+1023)/512*512 > limit {
			t.Fatalf("message %d: %d bytes held", i, most)
		}
	}
	if refused == 0 {
		t.Error("nothing was refused")
	}
}
