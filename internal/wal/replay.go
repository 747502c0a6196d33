package wal

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"cleathold/control"
)

// replay combines the records of a log into entries.
type replay struct {
	timeBase *TimeBase
	entries  map[control.MessageID]*Entry
}

func newReplay(timeBase *TimeBase) *replay {
	return &replay{timeBase: timeBase, entries: map[control.MessageID]*Entry{}}
}

// live returns the entries of messages that still need processing, in ascending order of number.
func (r *replay) live() []*Entry {
	return slices.SortedFunc(maps.Values(r.entries), func(a, b *Entry) int { return cmp.Compare(a.Number, b.Number) })
}

// apply applies one record and reports whether it was well-formed. Records of unknown messages belong to damaged or
// ended messages and are ignored.
func (r *replay) apply(record []byte) bool {
	d := &decoder{remaining: record[1:]}
	number := control.MessageID(d.uvarint())
	e := r.entries[number]
	switch record[0] {
	case recordAccepted:
		r.applyAccepted(d, number)
	case recordAttempt:
		a := Attempt{Index: int(d.uvarint()), At: r.timeBase.Time(d.varint()), Zone: int(d.varint())}
		if len(d.remaining) > 0 {
			a.Endpoint, a.InDeadLetter = d.string(), d.uvarint() == 1
		}
		if !d.malformed && e != nil {
			e.UncertainAttempts = append(e.UncertainAttempts, a)
			e.Attempts = max(e.Attempts, a.Index+1)
		}
	case recordNotRun:
		attempt := int(d.uvarint())
		if !d.malformed && e != nil {
			e.applyNotRun(attempt)
		}
	case recordEnded:
		if !d.malformed && e != nil {
			delete(r.entries, number)
		}
	case recordOutcome:
		o := r.decodeOutcome(d)
		if !d.malformed && e != nil && e.Outcome == nil {
			e.applyOutcome(o)
		}
	default:
		d.malformed = true
	}
	return !d.malformed
}

func (r *replay) applyAccepted(d *decoder, number control.MessageID) {
	e := &Entry{Accepted: Accepted{Number: number, ID: d.string(), Key: d.string()}}
	e.Class, e.Tenant, e.Destination = int(d.varint()), int(d.varint()), int(d.varint())
	e.Deadline = r.timeBase.Time(d.varint())
	e.Resubmitted = d.uvarint() == 1
	e.Body = []byte(d.string())
	if len(d.remaining) > 0 {
		e.DeadLetterSeq = d.uvarint()
	}
	if len(d.remaining) > 0 { // definition of the class when the message was accepted
		if c := d.class(); !d.malformed {
			e.RecordedClass, e.ClassRecord = &c, string(EncodeClass(c))
		}
	}
	if !d.malformed && r.entries[number] == nil {
		r.entries[number] = e
	}
}

func (e *Entry) applyNotRun(attempt int) {
	if attempt >= attemptCountOffset {
		e.Attempts = max(e.Attempts, attempt-attemptCountOffset+1)
		return
	}
	e.UncertainAttempts = slices.DeleteFunc(e.UncertainAttempts, func(a Attempt) bool { return a.Index == attempt })
}

// applyOutcome records the outcome of an open message and drops its body, unless the body must still be sent to a
// dead-letter queue that does not have it yet.
func (e *Entry) applyOutcome(o *Outcome) {
	e.Outcome = o
	if o.DeadLetter == nil || e.DeadLetterSeq > 0 {
		e.Body = nil
	}
}

func (r *replay) decodeOutcome(d *decoder) *Outcome {
	flags := d.uvarint()
	o := &Outcome{Deferred: flags&outcomeDeferred != 0, RetryAfter: time.Duration(d.varint()) * time.Millisecond}
	if flags&outcomeDeadLetter != 0 {
		o.DeadLetter = &DeadLetterOutcome{
			Reason: d.string(), At: r.timeBase.Time(d.varint()),
			Delivered: flags&outcomeDelivered != 0, Final: flags&outcomeFinal != 0, WouldDefer: flags&outcomeReturnable != 0,
		}
	}
	return o
}

// assumeUnknownAttempt adds an attempt at an unknown time to a message that has no outcome yet. It is called where the
// record of such an attempt may be lost to damage.
func (e *Entry) assumeUnknownAttempt() {
	if e.Outcome == nil {
		e.UncertainAttempts = append(e.UncertainAttempts, Attempt{Index: e.Attempts, At: time.Unix(0, 0)})
		e.Attempts++
	}
}
