package state

import (
	"log/slog"
	"time"

	"cleathold/internal/wal"
)

// FormWritten is the form of the journal in the state folder that this program writes (wal.FormWritten).
const FormWritten = wal.FormWritten

// FormsRead are the forms that this program takes up (wal.FormsRead).
var FormsRead = wal.FormsRead

// Pending is one message that a state folder still owes something for.
type Pending struct {
	ID          string
	Destination int
	Deadline    time.Time
	Attempts    int
	MayHaveRun  bool
	Owed        string // "delivery", "deferred" or "undeliverable"
}

// ReadPending lists what the journal of a folder owes, without touching it. Errors are those of the folder and its
// files.
func ReadPending(dir string, log *slog.Logger) ([]Pending, error) {
	entries, err := wal.Read(dir, log)
	if err != nil {
		return nil, err
	}
	var list []Pending
	for _, x := range entries {
		p := Pending{x.ID, x.Destination, x.Deadline, x.Attempts, len(x.MayHaveRun) > 0, "delivery"}
		if x.Outcome != nil {
			r := reportOf(x)
			p.Owed = r.outcome()
		}
		list = append(list, p)
	}
	return list, nil
}
