package state

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"cleathold/control"
	"cleathold/internal/endpointgroup"
	"cleathold/internal/golden"
	"cleathold/internal/wal"
)

// goldenClass is the class of the messages in the golden journal.
var goldenClass = NamedClass{Name: "keyed", Class: control.Class{
	LatencyObjective: 2 * time.Second, ObjectiveStretch: 1.5, Deadline: 20 * time.Second, PriorityWeight: 3,
	LateWeight: 0.25, Idempotency: control.IdempotentByKey,
	KeyZoneScoped: true, KeyRetention: 12 * time.Second, Ordered: true, Streaming: true,
}}

// goldenEntries returns messages in each state: accepted, attempted, not run, with a report owed, owed to the
// dead-letter queue, and redelivered by it.
func goldenEntries(classes *classRegistry) []*entry {
	number := classes.numberOf(goldenClass)
	at := time.UnixMicro(1_700_000_000_000_000)
	var list []*entry
	for i, id := range []string{"taken", "forwarded", "spared", "deferred", "undeliverable", "kept", "resent"} {
		m := &Message{
			ID: id, Key: "key-" + id, Class: number, Tenant: 2, Destination: 3, Resubmitted: i%2 == 0,
			Deadline: at.Add(time.Duration(i) * time.Second), Body: bytes.Repeat([]byte{byte(i), 'b'}, 5),
		}
		list = append(list, &entry{Message: m, num: control.MessageID(i + 1), responded: true,
			classRecord: classes.record(number)})
	}
	list[1].mayHaveRun = []wal.Attempt{{Index: 0, At: at, Zone: 1, Endpoint: "s1", InDeadLetter: true}, {Index: 2,
		At: at.Add(time.Second), Zone: -1}}
	list[1].attempts = 3
	list[2].attempts = 2
	list[3].report = &DeliveryReport{Number: 4, ID: "deferred", Deferred: true, RetryAfter: 1500 * time.Millisecond}
	list[4].report = &DeliveryReport{Number: 5, ID: "undeliverable"}
	list[5].report = &DeliveryReport{Number: 6, ID: "kept", Deferred: true, DeadLetter: &DeadLetter{
		Number: 6, Reason: "expired", At: at, Delivered: true, Final: true, Deferred: true,
	}}
	list[5].deadLetter = list[5].report.DeadLetter
	list[6].deadLetterSeq = 77
	return list
}

// goldenTable returns a text with all that a table holds of its messages.
func goldenTable(t *table, times *wal.TimeBase) string {
	var b strings.Builder
	for _, e := range t.ordered() {
		fmt.Fprintf(&b, "%d id=%q key=%q class=%q tenant=%d destination=%d deadline=%d again=%t body=%x seq=%d sends=%d\n",
			e.num, e.ID, e.Key,
			t.classes.list[e.Class].Name, e.Tenant, e.Destination, times.Stamp(e.Deadline), e.Resubmitted, e.Body,
			e.deadLetterSeq, e.attempts)
		for _, s := range e.mayHaveRun {
			fmt.Fprintf(&b, "  ran attempt=%d at=%d zone=%d target=%q told=%t\n", s.Index, times.Stamp(s.At), s.Zone,
				s.Endpoint, s.InDeadLetter)
		}
		if n := e.report; n != nil {
			fmt.Fprintf(&b, "  notice id=%q deferred=%t again=%s\n", n.ID, n.Deferred, n.RetryAfter)
			if k := n.DeadLetter; k != nil {
				fmt.Fprintf(&b, "  kept reason=%q at=%d delivered=%t over=%t deferred=%t\n", k.Reason, times.Stamp(k.At),
					k.Delivered, k.Final, k.Deferred)
			}
		}
	}
	fmt.Fprintf(&b, "next=%d open=%d classes=%v\n", t.next, t.open, t.classes.list)
	return b.String()
}

// TestGoldenJournal reads a folder that commit 096da04 wrote.
func TestGoldenJournal(t *testing.T) {
	dir := golden.Folder(t, "journal")
	golden.Bytes(t, "journal-pending.txt", goldenPending(t, dir), false)
	j, table, err := openLog(Setup{Dir: dir, MaxDiskBytes: 1e6, Log: discardLog}, &classRegistry{})
	if err != nil {
		t.Fatal(err)
	}
	defer j.Close()
	golden.Bytes(t, "journal-table.txt", []byte(goldenTable(table, j.TimeBase())), false)
	if ids := endpointgroup.OpenDepartures(dir, discardLog).IDs(); len(ids) != 2 || ids[0] != "s7" || ids[1] != "s9" {
		t.Errorf("departures: %q", ids)
	}
}

// TestGoldenOldJournal reads a folder with the single journal file that was used before package store.
func TestGoldenOldJournal(t *testing.T) {
	dir := golden.Folder(t, "old-journal")
	golden.Bytes(t, "old-journal-pending.txt", goldenPending(t, dir), false)
	j, table, err := openLog(Setup{Dir: dir, MaxDiskBytes: 1e6, Log: discardLog}, &classRegistry{})
	if err != nil {
		t.Fatal(err)
	}
	defer j.Close()
	golden.Bytes(t, "old-journal-table.txt", []byte(goldenTable(table, j.TimeBase())), false)
	if _, err := os.Stat(filepath.Join(dir, "journal")); err == nil {
		t.Error("the single journal file still exists")
	}
}

func goldenPending(t *testing.T, dir string) []byte {
	t.Helper()
	pending, err := ReadPending(dir, discardLog)
	if err != nil {
		t.Fatal(err)
	}
	var b bytes.Buffer
	for _, p := range pending {
		fmt.Fprintf(&b, "%s %d %d %d %t %s\n", p.ID, p.Destination, p.Deadline.UnixMicro(), p.Attempts, p.MayHaveRun, p.Owed)
	}
	return b.Bytes()
}

// TestGoldenRecords checks that the records of each kind are encoded as commit 096da04 encoded them.
func TestGoldenRecords(t *testing.T) {
	var b strings.Builder
	for _, e := range goldenEntries(&classRegistry{}) {
		for _, p := range wal.EncodeEntry(nil, e.logEntry()) {
			fmt.Fprintf(&b, "%s %x\n", e.ID, p)
		}
		fmt.Fprintf(&b, "%s over %x spared %x\n", e.ID, wal.EncodeEnded(e.num), wal.EncodeNotRun(e.num, 1))
	}
	golden.Bytes(t, "records.txt", []byte(b.String()), false)
}

// TestGoldenState checks the JSON encoding of the structs that are written to files or sent to other processes and
// operators.
func TestGoldenState(t *testing.T) {
	golden.JSON[wal.Anchor](t, "timebase.json")
	golden.JSON[HandoverState](t, "estate.json")
	golden.JSON[RemoteResult](t, "returned.json")
	golden.JSON[ListedTarget](t, "listed.json")
	golden.JSON[Counts](t, "counts.json")
}
