package deadletter

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"cleathold/internal/golden"
)

// TestGoldenJSON checks that the JSON of records, exports and command outcomes is read and written as by commit
// 096da04.
func TestGoldenJSON(t *testing.T) {
	golden.JSON[Record](t, "record.json")
	golden.JSON[ExportLine](t, "line.json")
	golden.JSON[AuditEntry](t, "act.json")
	golden.JSON[Selection](t, "selection.json")
	golden.JSON[Outcome](t, "outcome.json")
	golden.JSON[Stats](t, "stats.json")
}

// TestGoldenStore checks that a store written by commit 096da04 can be opened and has the same content.
func TestGoldenStore(t *testing.T) {
	dir := golden.Folder(t, "store")
	read, err := OpenReadOnly(dir)
	if err != nil {
		t.Fatal(err)
	}
	golden.Bytes(t, "store.txt", goldenContent(t, read), false)
	read.Close()
	golden.Bytes(t, "store.txt", goldenContent(t, openStore(t, dir)), false)
}

// goldenContent formats the records of a store with their bodies, and its audit trail.
func goldenContent(t *testing.T, s *Store) []byte {
	t.Helper()
	var b strings.Builder
	err := s.View(func(tx *Tx) error {
		for seq := uint64(1); ; seq++ {
			r, err := tx.Get(seq)
			if err != nil {
				break
			}
			body, err := tx.Body(seq)
			if err != nil {
				return err
			}
			text, err := json.Marshal(r)
			if err != nil {
				return err
			}
			fmt.Fprintf(&b, "%s %q owed=%t\n", text, body, tx.ReportPending(r.ID))
		}
		trail, err := tx.Audit(10)
		text, _ := json.Marshal(trail)
		fmt.Fprintf(&b, "%s\n", text)
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	return []byte(b.String())
}
