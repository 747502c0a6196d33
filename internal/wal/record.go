package wal

import (
	"encoding/binary"
	"time"

	"cleathold/control"
)

// Accepted is the record of a message that was accepted.
type Accepted struct {
	Number      control.MessageID
	ID, Key     string
	Class       int // its number as the message came; ClassRecord says what that was
	Tenant      int
	Destination int
	Deadline    time.Time
	Resubmitted bool
	Body        []byte
	// DeadLetterSeq is the dead letter that is sent again with this message; 0 for a client's message.
	DeadLetterSeq uint64
	ClassRecord   string // by EncodeClass; empty where it is not known
}

// Attempt is the record of an attempt that is about to leave.
type Attempt struct {
	Index        int // of the message's attempts, from 0
	At           time.Time
	Zone         int    // of the endpoint
	Endpoint     string // its ID, where a dead-letter queue is connected
	InDeadLetter bool   // the dead letter's own record has it
}

// Outcome is the record of how a message ended undelivered, and of what is owed for that.
type Outcome struct {
	Deferred   bool // the client gets the message back; else it is undeliverable
	RetryAfter time.Duration
	DeadLetter *DeadLetterOutcome // the dead-letter queue gets the message, or what came of it
}

// DeadLetterOutcome is what the dead-letter queue is owed.
type DeadLetterOutcome struct {
	Reason    string
	At        time.Time
	Delivered bool // a redelivery was served
	Final     bool // the endpoint says that nothing more is owed
	Deferred  bool // without the queue the client would get the message back
}

// Entry is all that the log holds of one message.
type Entry struct {
	Accepted
	RecordedClass *NamedClass // its class, where ClassRecord tells it
	Attempts      int         // made so far
	MayHaveRun    []Attempt   // those that may have run, or may yet
	Outcome       *Outcome    // nil while the message is open
}

// The kinds of record: the first byte of each.
const (
	recordAccepted = 1
	recordAttempt  = 2
	recordNotRun   = 3 // an attempt proved never to have run
	recordEnded    = 4 // nothing more is owed
	recordOutcome  = 5
)

// attemptCountOffset marks a not-run record that only counts attempts.
const attemptCountOffset = 1 << 20

// The bits of an outcome's flags.
const (
	outcomeDeferred   = 1
	outcomeDeadLetter = 2
	outcomeDelivered  = 4
	outcomeFinal      = 8
	outcomeReturnable = 16 // without the dead-letter queue it would be its client's again
)

func appendString(to []byte, s string) []byte {
	return append(binary.AppendUvarint(to, uint64(len(s))), s...)
}

func appendFlag(to []byte, b bool) []byte {
	if b {
		return append(to, 1)
	}
	return append(to, 0)
}

// newRecord begins the record of a message, with space for so many bytes besides its numbers.
func newRecord(kind byte, number control.MessageID, size int) []byte {
	return binary.AppendUvarint(append(make([]byte, 0, size+64), kind), uint64(number))
}

// EncodeAccepted returns the record of an accepted message.
func EncodeAccepted(b *TimeBase, a *Accepted) []byte {
	p := newRecord(recordAccepted, a.Number, len(a.ID)+len(a.Key)+len(a.Body)+len(a.ClassRecord))
	p = appendString(appendString(p, a.ID), a.Key)
	for _, n := range [...]int{a.Class, a.Tenant, a.Destination} {
		p = binary.AppendVarint(p, int64(n))
	}
	p = binary.AppendVarint(p, b.Stamp(a.Deadline))
	p = appendFlag(p, a.Resubmitted)
	p = append(binary.AppendUvarint(p, uint64(len(a.Body))), a.Body...)
	return append(binary.AppendUvarint(p, a.DeadLetterSeq), a.ClassRecord...)
}

// EncodeAttempt returns the record of an attempt that is about to leave.
func EncodeAttempt(b *TimeBase, number control.MessageID, a Attempt) []byte {
	p := binary.AppendUvarint(newRecord(recordAttempt, number, len(a.Endpoint)), uint64(a.Index))
	p = binary.AppendVarint(binary.AppendVarint(p, b.Stamp(a.At)), int64(a.Zone))
	if a.Endpoint != "" || a.InDeadLetter {
		p = appendFlag(appendString(p, a.Endpoint), a.InDeadLetter)
	}
	return p
}

// EncodeNotRun returns the record of an attempt that proved never to have run.
func EncodeNotRun(number control.MessageID, attempt int) []byte {
	return binary.AppendUvarint(newRecord(recordNotRun, number, 0), uint64(attempt))
}

// EncodeEnded returns the record of a message for which nothing more is owed, as the single-file format has it. The
// store marks the end of an entity by itself.
func EncodeEnded(number control.MessageID) []byte { return newRecord(recordEnded, number, 0) }

// EncodeOutcome returns the record of how a message ended undelivered.
func EncodeOutcome(b *TimeBase, number control.MessageID, o *Outcome) []byte {
	flags := uint64(0)
	set := func(bit uint64, on bool) {
		if on {
			flags |= bit
		}
	}
	set(outcomeDeferred, o.Deferred)
	size := 0
	if d := o.DeadLetter; d != nil {
		flags |= outcomeDeadLetter
		set(outcomeDelivered, d.Delivered)
		set(outcomeFinal, d.Final)
		set(outcomeReturnable, d.Deferred)
		size = len(d.Reason)
	}
	p := binary.AppendUvarint(newRecord(recordOutcome, number, size), flags)
	p = binary.AppendVarint(p, o.RetryAfter.Milliseconds())
	if d := o.DeadLetter; d != nil {
		p = binary.AppendVarint(appendString(p, d.Reason), b.Stamp(d.At))
	}
	return p
}

// EncodeEntry returns the records of all that is known of one message. A not-run record tells the count of attempts
// where the last one never ran.
func EncodeEntry(b *TimeBase, e *Entry) [][]byte {
	list := [][]byte{EncodeAccepted(b, &e.Accepted)}
	for _, a := range e.MayHaveRun {
		list = append(list, EncodeAttempt(b, e.Number, a))
	}
	if e.Attempts > 0 {
		list = append(list, EncodeNotRun(e.Number, e.Attempts-1+attemptCountOffset))
	}
	if e.Outcome != nil {
		list = append(list, EncodeOutcome(b, e.Number, e.Outcome))
	}
	return list
}
