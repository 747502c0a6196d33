package deadletter

import (
	"encoding/base64"
	"fmt"
	"time"

	"cleathold/internal/state"
)

// ExportLine is a record as it is exported: whole, with its body.
type ExportLine struct {
	Record
	Body string `json:"body"` // base64
}

// NewExportLine makes one.
func NewExportLine(r Record, body []byte) ExportLine {
	return ExportLine{r, base64.StdEncoding.EncodeToString(body)}
}

// toRecord checks a line from outside and makes a new record of it. What
// happened to the message since it was exported is not known here: it counts as
// one that may have run, at an unknown time.
func (l *ExportLine) toRecord(now time.Time) (Record, []byte, error) {
	body, err := base64.StdEncoding.DecodeString(l.Body)
	switch {
	case err != nil:
		return Record{}, nil, fmt.Errorf("body: %w", err)
	case len(body) > state.MaxBody:
		return Record{}, nil, fmt.Errorf("body: %d bytes, %d at most", len(body), state.MaxBody)
	case l.ID == "" || len(l.ID) > 256 || len(l.Key) > 256 || len(l.Class) > 256 || len(l.Tenant) > 256 || len(l.Reason) > 256:
		return Record{}, nil, fmt.Errorf("id missing, or a name over 256 bytes")
	case l.Class == "":
		return Record{}, nil, fmt.Errorf("class missing")
	case l.State.Ended():
		return Record{}, nil, fmt.Errorf("it has ended: %s", l.State)
	case l.BodyMissing:
		return Record{}, nil, fmt.Errorf("without its body")
	case len(l.Attempts) > maxAttempts || len(l.Events) > maxEvents || l.AttemptCount < 0 || l.Redeliveries < 0:
		return Record{}, nil, fmt.Errorf("its history is out of bounds")
	}
	r := l.Record
	r.Sequence, r.Revision, r.Size, r.HeldAt, r.HistoryIncomplete = 0, 0, len(body), now, true
	r.unschedule(time.Time{})
	return r, body, nil
}

// Export returns a page of records with their bodies, and where to go on.
func (t *Tx) Export(f Filter, after uint64, most int) (lines []ExportLine, next uint64, err error) {
	list, next, err := t.List(f, after, most)
	if err != nil {
		return nil, 0, err
	}
	for _, r := range list {
		var body []byte
		if !r.BodyMissing {
			if body, err = t.Body(r.Sequence); err != nil {
				return nil, 0, err
			}
		}
		lines = append(lines, NewExportLine(r, body))
	}
	return lines, next, nil
}
