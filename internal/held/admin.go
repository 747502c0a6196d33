package held

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
	Seqs   []uint64 `json:"seqs,omitempty"`
	Filter Filter   `json:"filter,omitzero"`
	After  uint64   `json:"after,omitempty"`
	Most   int      `json:"most,omitempty"`
}

// PageMost is the most records of one page.
const PageMost = 500

// Refused is a record to which an act was refused.
type Refused struct {
	Seq uint64 `json:"seq"`
	Why string `json:"why"`
}

// Outcome tells what an act did.
type Outcome struct {
	Done    int       `json:"done"`
	Refused []Refused `json:"refused,omitempty"`
	Next    uint64    `json:"next,omitempty"` // go on after this; 0 = that was all
}

// ErrNoStore tells that the store is not open.
var ErrNoStore = errors.New("held: the store is not open; the log says why")

// errDry ends a transaction that is only to tell what it would do.
var errDry = errors.New("held: dry run")

// View lets a reader look at the store.
func (k *Keeper) View(f func(*Tx) error) error {
	k.mu.Lock()
	s := k.store
	k.mu.Unlock()
	if s == nil {
		return ErrNoStore
	}
	return s.View(f)
}

// act runs an act over a selection. The function changes a record, or says why not.
func (k *Keeper) act(ctx context.Context, by, verb string, sel Selection, dry bool, f func(r *Record, now time.Time) error) (Outcome, error) {
	var o Outcome
	if k.View(func(*Tx) error { return nil }) != nil {
		return o, ErrNoStore
	}
	err := k.order(ctx, func(t *Tx) error {
		o = Outcome{}
		now := k.clock.now()
		seqs := sel.Seqs
		if len(seqs) > PageMost {
			return fmt.Errorf("held: %d records named, %d at most at a time", len(seqs), PageMost)
		}
		if seqs == nil {
			list, next, err := t.List(sel.Filter, sel.After, min(max(sel.Most, 1), PageMost))
			if err != nil {
				return err
			}
			o.Next = next
			for _, r := range list {
				if !r.State.Ended() { // a filter means those that something can be done with
					seqs = append(seqs, r.Seq)
				}
			}
		}
		var done []uint64
		for _, seq := range seqs {
			err := t.change(seq, func(r *Record) error { return f(r, now) })
			var why *Refusal
			switch {
			case errors.As(err, &why):
				o.Refused = append(o.Refused, Refused{seq, why.Why})
			case errors.Is(err, ErrNotFound):
				o.Refused = append(o.Refused, Refused{seq, "there is no such record"})
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
		a := Act{At: now, By: by, Verb: verb, Records: done, Done: o.Done, Refused: len(o.Refused)}
		if sel.Seqs == nil {
			a.Filter = &sel.Filter
		}
		return t.audit(a)
	})
	if errors.Is(err, errDry) {
		err = nil
	}
	k.wake()
	return o, err
}

// Resend orders records to be sent again, within a time; 0 = the settings'.
func (k *Keeper) Resend(ctx context.Context, by string, sel Selection, within time.Duration, dry bool) (Outcome, error) {
	if within <= 0 {
		k.mu.Lock()
		within = k.set.Resend.Within
		k.mu.Unlock()
	}
	return k.act(ctx, by, "resend", sel, dry, func(r *Record, now time.Time) error {
		if r.State == Ordered {
			return &Refusal{"it is ordered already", true}
		}
		if why := k.eligible(r, now); why != nil {
			return why
		}
		r.did(now, "ordered", by)
		r.order(now, now.Add(within))
		return nil
	})
}

// Drop ends records. One that is being sent can't be dropped.
func (k *Keeper) Drop(ctx context.Context, by string, sel Selection, dry bool) (Outcome, error) {
	return k.act(ctx, by, "drop", sel, dry, func(r *Record, now time.Time) error {
		switch {
		case r.State == Out:
			return &Refusal{"it is being sent", true}
		case r.State.Ended():
			return never("it has ended: %s", r.State)
		}
		r.did(now, "dropped", by)
		r.end(now, Dropped)
		return nil
	})
}

// Import takes lines that were exported. One whose id is known is left alone.
func (k *Keeper) Import(ctx context.Context, by string, lines []Line, dry bool) (Outcome, error) {
	var o Outcome
	if k.View(func(*Tx) error { return nil }) != nil {
		return o, ErrNoStore
	}
	if len(lines) > PageMost {
		return o, fmt.Errorf("held: %d lines, %d at most at a time", len(lines), PageMost)
	}
	err := k.order(ctx, func(t *Tx) error {
		o = Outcome{}
		now := k.clock.now()
		var done []uint64
		for i := range lines {
			r, body, err := lines[i].imported(now)
			if err != nil {
				o.Refused = append(o.Refused, Refused{lines[i].Seq, err.Error()})
				continue
			}
			r.did(now, "imported: what happened to it elsewhere is not known", by)
			added, err := t.Add(&r, body)
			switch {
			case err != nil:
				return err
			case !added:
				o.Refused = append(o.Refused, Refused{lines[i].Seq, "a record with its id is here"})
			default:
				o.Done++
				done = append(done, r.Seq)
			}
		}
		if dry {
			return errDry
		}
		return t.audit(Act{At: now, By: by, Verb: "import", Records: done, Done: o.Done, Refused: len(o.Refused)})
	})
	if errors.Is(err, errDry) {
		err = nil
	}
	return o, err
}

// Export returns a page of records with their bodies, and where to go on.
func (t *Tx) Export(f Filter, after uint64, most int) (lines []Line, next uint64, err error) {
	list, next, err := t.List(f, after, most)
	if err != nil {
		return nil, 0, err
	}
	for _, r := range list {
		var body []byte
		if !r.NoBody {
			if body, err = t.Body(r.Seq); err != nil {
				return nil, 0, err
			}
		}
		lines = append(lines, NewLine(r, body))
	}
	return lines, next, nil
}
