package state

import (
	"log/slog"
	"time"

	"cleathold/internal/wal"
)

// FormatVersion is the format of the journal that this program writes to the state folder (wal.FormatVersion).
const FormatVersion = wal.FormatVersion

// SupportedFormatVersions are the journal formats that this program can read (wal.SupportedFormatVersions).
var SupportedFormatVersions = wal.SupportedFormatVersions

// Pending is one message for which a state folder still owes something.
type Pending struct {
	ID          string
	Destination int
	Deadline    time.Time
	Attempts    int
	MayHaveRun  bool
	Owed        string // "delivery", "deferred" or "undeliverable"
}

// ReadPending lists the messages that the journal of a folder owes, without changing the folder. It returns an error if
// the folder or its files can't be read.
func ReadPending(dir string, log *slog.Logger) ([]Pending, error) {
	entries, err := wal.Read(dir, log)
	if err != nil {
		return nil, err
	}
	var list []Pending
	for _, x := range entries {
		p := Pending{x.ID, x.Destination, x.Deadline, x.Attempts, len(x.UncertainAttempts) > 0, "delivery"}
		if x.Outcome != nil {
			r := reportOf(x)
			p.Owed = r.outcome()
		}
		list = append(list, p)
	}
	return list, nil
}
