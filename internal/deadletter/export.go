package deadletter

import (
	"encoding/base64"
	"fmt"
	"time"

	"cleathold/internal/state"
)

// ExportLine is an exported record with its body.
type ExportLine struct {
	Record
	Body string `json:"body"` // base64
}

// NewExportLine returns the export line of a record.
func NewExportLine(r Record, body []byte) ExportLine {
	return ExportLine{r, base64.StdEncoding.EncodeToString(body)}
}

// maxNameSize limits each name of an imported record, in bytes.
const maxNameSize = 256

// toRecord validates an imported line and converts it to a new record. The record's history is marked as incomplete:
// the message may have been sent elsewhere since the export, so it may have run at any time.
func (l *ExportLine) toRecord(now time.Time) (Record, []byte, error) {
	body, err := base64.StdEncoding.DecodeString(l.Body)
	switch {
	case err != nil:
		return Record{}, nil, fmt.Errorf("body: %w", err)
	case len(body) > state.MaxBody:
		return Record{}, nil, fmt.Errorf("body: %d bytes, %d at most", len(body), state.MaxBody)
	case l.ID == "" || max(len(l.ID), len(l.Key), len(l.Class), len(l.Tenant), len(l.Reason)) > maxNameSize:
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

// Export returns a page of records with their bodies, and the position for the next page; 0: there are no more.
func (t *Tx) Export(f Filter, after uint64, limit int) (lines []ExportLine, next uint64, err error) {
	list, next, err := t.List(f, after, limit)
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
