package deadletter

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// Selection selects records by their sequence numbers, or by a filter starting after a position.
type Selection struct {
	Sequences []uint64 `json:"seqs,omitempty"`
	Filter    Filter   `json:"filter,omitzero"`
	After     uint64   `json:"after,omitempty"`
	Limit     int      `json:"most,omitempty"`
}

// MaxPageSize is the maximum number of records in a page and in one command.
const MaxPageSize = 500

// RejectedRecord is a record that a command did not change, with the reason.
type RejectedRecord struct {
	Seq    uint64 `json:"seq"`
	Reason string `json:"why"`
}

// Outcome is the result of a command.
type Outcome struct {
	Done     int              `json:"done"`
	Rejected []RejectedRecord `json:"refused,omitempty"`
	Next     uint64           `json:"next,omitempty"` // the position for the next page; 0: there are no more records
}

// ErrNoStore is returned while the store is not open.
var ErrNoStore = errors.New("held: the store is not open; the log says why")

// errDryRun makes the writer roll back the transaction of a dry run.
var errDryRun = errors.New("held: dry run")

// View runs a read transaction. It returns ErrNoStore while the store is not open.
func (q *Queue) View(f func(*Tx) error) error {
	q.mu.Lock()
	s := q.store
	q.mu.Unlock()
	if s == nil {
		return ErrNoStore
	}
	return s.View(f)
}

// changeSelected applies a command to the selected records and adds an entry to the audit trail, in one transaction.
// The function f changes a record, or returns a *NotEligible error with the reason why it does not. A dry run changes
// nothing.
func (q *Queue) changeSelected(
	ctx context.Context, caller, command string, selection Selection, dryRun bool, f func(r *Record, now time.Time) error,
) (Outcome, error) {
	var outcome Outcome
	if q.View(func(*Tx) error { return nil }) != nil {
		return outcome, ErrNoStore
	}
	err := q.applyChange(ctx, func(t *Tx) error {
		outcome = Outcome{}
		now := q.clock.now()
		sequences, err := t.selected(selection, &outcome)
		if err != nil {
			return err
		}
		done, err := t.changeEach(sequences, &outcome, func(r *Record) error { return f(r, now) })
		switch {
		case err != nil:
			return err
		case dryRun:
			return errDryRun
		case len(sequences) == 0:
			return nil
		}
		entry := AuditEntry{At: now, Caller: caller, Command: command, Records: done, Done: outcome.Done,
			Rejected: len(outcome.Rejected)}
		if selection.Sequences == nil {
			entry.Filter = &selection.Filter
		}
		return t.audit(entry)
	})
	if errors.Is(err, errDryRun) {
		err = nil
	}
	q.signal()
	return outcome, err
}

// selected returns the sequence numbers of a selection. For a filter it sets the position of the next page in outcome.
func (t *Tx) selected(selection Selection, outcome *Outcome) ([]uint64, error) {
	if len(selection.Sequences) > MaxPageSize {
		return nil, fmt.Errorf("held: %d records named, %d at most at a time", len(selection.Sequences), MaxPageSize)
	}
	if selection.Sequences != nil {
		return selection.Sequences, nil
	}
	list, next, err := t.List(selection.Filter, selection.After, min(max(selection.Limit, 1), MaxPageSize))
	if err != nil {
		return nil, err
	}
	outcome.Next = next
	var sequences []uint64
	for _, r := range list {
		if !r.State.Ended() { // ended records cannot be changed
			sequences = append(sequences, r.Sequence)
		}
	}
	return sequences, nil
}

// changeEach applies f to each record, counts the results in outcome and returns the records that were changed.
func (t *Tx) changeEach(sequences []uint64, outcome *Outcome, f func(*Record) error) (done []uint64, err error) {
	for _, sequence := range sequences {
		err := t.change(sequence, f)
		var notEligible *NotEligible
		switch {
		case errors.As(err, &notEligible):
			outcome.Rejected = append(outcome.Rejected, RejectedRecord{sequence, notEligible.Reason})
		case errors.Is(err, ErrNotFound):
			outcome.Rejected = append(outcome.Rejected, RejectedRecord{sequence, "there is no such record"})
		case err != nil:
			return done, err
		default:
			outcome.Done++
			done = append(done, sequence)
		}
	}
	return done, nil
}

// Redeliver orders the redelivery of records within a period; 0 selects the period of the settings. Caller is
// recorded in the audit trail.
func (q *Queue) Redeliver(
	ctx context.Context, caller string, selection Selection, within time.Duration, dryRun bool,
) (Outcome, error) {
	if within <= 0 {
		q.mu.Lock()
		within = q.settings.Redelivery.Within
		q.mu.Unlock()
	}
	return q.changeSelected(ctx, caller, "resend", selection, dryRun, func(r *Record, now time.Time) error {
		if r.State == Ordered {
			return &NotEligible{"it is ordered already", true}
		}
		if why := q.eligible(r, now); why != nil {
			return why
		}
		r.addEvent(now, "ordered", caller)
		r.schedule(now, now.Add(within))
		return nil
	})
}

// Drop drops records. Records in redelivery cannot be dropped.
func (q *Queue) Drop(ctx context.Context, caller string, selection Selection, dryRun bool) (Outcome, error) {
	return q.changeSelected(ctx, caller, "drop", selection, dryRun, func(r *Record, now time.Time) error {
		switch {
		case r.State == InFlight:
			return &NotEligible{"it is being sent", true}
		case r.State.Ended():
			return neverEligible("it has ended: %s", r.State)
		}
		r.addEvent(now, "dropped", caller)
		r.end(now, Dropped)
		return nil
	})
}

// Import adds exported records. A line whose id is already in the store is rejected.
func (q *Queue) Import(ctx context.Context, caller string, lines []ExportLine, dryRun bool) (Outcome, error) {
	var outcome Outcome
	if q.View(func(*Tx) error { return nil }) != nil {
		return outcome, ErrNoStore
	}
	if len(lines) > MaxPageSize {
		return outcome, fmt.Errorf("held: %d lines, %d at most at a time", len(lines), MaxPageSize)
	}
	err := q.applyChange(ctx, func(t *Tx) error {
		outcome = Outcome{}
		now := q.clock.now()
		var done []uint64
		for i := range lines {
			r, body, err := lines[i].toRecord(now)
			if err != nil {
				outcome.Rejected = append(outcome.Rejected, RejectedRecord{lines[i].Sequence, err.Error()})
				continue
			}
			r.addEvent(now, "imported: what happened to it elsewhere is not known", caller)
			added, err := t.Add(&r, body)
			switch {
			case err != nil:
				return err
			case !added:
				outcome.Rejected = append(outcome.Rejected, RejectedRecord{lines[i].Sequence, "a record with its id is here"})
			default:
				outcome.Done++
				done = append(done, r.Sequence)
			}
		}
		if dryRun {
			return errDryRun
		}
		return t.audit(AuditEntry{At: now, Caller: caller, Command: "import", Records: done, Done: outcome.Done,
			Rejected: len(outcome.Rejected)})
	})
	if errors.Is(err, errDryRun) {
		err = nil
	}
	return outcome, err
}
