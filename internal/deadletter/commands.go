package deadletter

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// What the admin plane asks for. Each act is one transaction of the writer, with
// its entry in the audit trail.

// Selection names records one by one, or by filter from a number on.
type Selection struct {
	Sequences []uint64 `json:"seqs,omitempty"`
	Filter    Filter   `json:"filter,omitzero"`
	After     uint64   `json:"after,omitempty"`
	Limit     int      `json:"most,omitempty"`
}

// MaxPageSize is the most records of one page.
const MaxPageSize = 500

// RejectedRecord is a record to which an act was refused.
type RejectedRecord struct {
	Seq    uint64 `json:"seq"`
	Reason string `json:"why"`
}

// Outcome tells what an act did.
type Outcome struct {
	Done     int              `json:"done"`
	Rejected []RejectedRecord `json:"refused,omitempty"`
	Next     uint64           `json:"next,omitempty"` // go on after this; 0 = that was all
}

// ErrNoStore tells that the store is not open.
var ErrNoStore = errors.New("held: the store is not open; the log says why")

// errDry ends a transaction that is only to tell what it would do.
var errDry = errors.New("held: dry run")

// View lets a reader look at the store.
func (k *Queue) View(f func(*Tx) error) error {
	k.mu.Lock()
	s := k.store
	k.mu.Unlock()
	if s == nil {
		return ErrNoStore
	}
	return s.View(f)
}

// changeSelected runs an act over a selection. The function changes a record, or says why not.
func (k *Queue) changeSelected(ctx context.Context, by, verb string, sel Selection, dry bool, f func(r *Record, now time.Time) error) (Outcome, error) {
	var o Outcome
	if k.View(func(*Tx) error { return nil }) != nil {
		return o, ErrNoStore
	}
	err := k.applyChange(ctx, func(t *Tx) error {
		o = Outcome{}
		now := k.clock.now()
		seqs := sel.Sequences
		if len(seqs) > MaxPageSize {
			return fmt.Errorf("held: %d records named, %d at most at a time", len(seqs), MaxPageSize)
		}
		if seqs == nil {
			list, next, err := t.List(sel.Filter, sel.After, min(max(sel.Limit, 1), MaxPageSize))
			if err != nil {
				return err
			}
			o.Next = next
			for _, r := range list {
				if !r.State.Ended() { // a filter means those that something can be done with
					seqs = append(seqs, r.Sequence)
				}
			}
		}
		var done []uint64
		for _, seq := range seqs {
			err := t.change(seq, func(r *Record) error { return f(r, now) })
			var why *NotEligible
			switch {
			case errors.As(err, &why):
				o.Rejected = append(o.Rejected, RejectedRecord{seq, why.Reason})
			case errors.Is(err, ErrNotFound):
				o.Rejected = append(o.Rejected, RejectedRecord{seq, "there is no such record"})
			case err != nil:
				return err
			default:
				o.Done++
				done = append(done, seq)
			}
		}
		if dry {
			return errDry
		}
		if len(seqs) == 0 {
			return nil
		}
		a := AuditEntry{At: now, By: by, Verb: verb, Records: done, Done: o.Done, Rejected: len(o.Rejected)}
		if sel.Sequences == nil {
			a.Filter = &sel.Filter
		}
		return t.audit(a)
	})
	if errors.Is(err, errDry) {
		err = nil
	}
	k.signal()
	return o, err
}

// Redeliver orders records to be sent again, within a time; 0 = the settings'.
func (k *Queue) Redeliver(ctx context.Context, by string, sel Selection, within time.Duration, dry bool) (Outcome, error) {
	if within <= 0 {
		k.mu.Lock()
		within = k.settings.Resend.Within
		k.mu.Unlock()
	}
	return k.changeSelected(ctx, by, "resend", sel, dry, func(r *Record, now time.Time) error {
		if r.State == Ordered {
			return &NotEligible{"it is ordered already", true}
		}
		if why := k.eligible(r, now); why != nil {
			return why
		}
		r.addEvent(now, "ordered", by)
		r.schedule(now, now.Add(within))
		return nil
	})
}

// Drop ends records. One that is being sent can't be dropped.
func (k *Queue) Drop(ctx context.Context, by string, sel Selection, dry bool) (Outcome, error) {
	return k.changeSelected(ctx, by, "drop", sel, dry, func(r *Record, now time.Time) error {
		switch {
		case r.State == Out:
			return &NotEligible{"it is being sent", true}
		case r.State.Ended():
			return neverEligible("it has ended: %s", r.State)
		}
		r.addEvent(now, "dropped", by)
		r.end(now, Dropped)
		return nil
	})
}

// Import takes lines that were exported. One whose id is known is left alone.
func (k *Queue) Import(ctx context.Context, by string, lines []ExportLine, dry bool) (Outcome, error) {
	var o Outcome
	if k.View(func(*Tx) error { return nil }) != nil {
		return o, ErrNoStore
	}
	if len(lines) > MaxPageSize {
		return o, fmt.Errorf("held: %d lines, %d at most at a time", len(lines), MaxPageSize)
	}
	err := k.applyChange(ctx, func(t *Tx) error {
		o = Outcome{}
		now := k.clock.now()
		var done []uint64
		for i := range lines {
			r, body, err := lines[i].toRecord(now)
			if err != nil {
				o.Rejected = append(o.Rejected, RejectedRecord{lines[i].Sequence, err.Error()})
				continue
			}
			r.addEvent(now, "imported: what happened to it elsewhere is not known", by)
			added, err := t.Add(&r, body)
			switch {
			case err != nil:
				return err
			case !added:
				o.Rejected = append(o.Rejected, RejectedRecord{lines[i].Sequence, "a record with its id is here"})
			default:
				o.Done++
				done = append(done, r.Sequence)
			}
		}
		if dry {
			return errDry
		}
		return t.audit(AuditEntry{At: now, By: by, Verb: "import", Records: done, Done: o.Done, Rejected: len(o.Rejected)})
	})
	if errors.Is(err, errDry) {
		err = nil
	}
	return o, err
}
