package wal

import (
	"encoding/binary"
	"time"

	"cleathold/control"
)

// Accepted is the record of an accepted message.
type Accepted struct {
	Number      control.MessageID
	ID, Key     string
	Class       int // number of the class at acceptance; ClassRecord has its definition
	Tenant      int
	Destination int
	Deadline    time.Time
	Resubmitted bool
	Body        []byte
	// DeadLetterSeq is the sequence number of the dead letter that this message redelivers; 0 for a client's message.
	DeadLetterSeq uint64
	ClassRecord   string // result of EncodeClass; empty if the class is unknown
}

// Attempt is the record of an attempt that is about to be sent.
type Attempt struct {
	Index        int // index among the message's attempts, counted from 0
	At           time.Time
	Zone         int    // zone of the endpoint
	Endpoint     string // ID of the endpoint; set only if a dead-letter queue is connected
	InDeadLetter bool   // the attempt is already in the record of the dead letter
}

// Outcome is the record of how processing of an undelivered message ended, and of what remains to be reported.
type Outcome struct {
	Deferred   bool // the message is returned to the client as deferred; otherwise it is undeliverable
	RetryAfter time.Duration
	DeadLetter *DeadLetterOutcome // report to the dead-letter queue; nil if there is none
}

// DeadLetterOutcome is what remains to be reported to the dead-letter queue.
type DeadLetterOutcome struct {
	Reason     string
	At         time.Time
	Delivered  bool // a redelivery succeeded
	Final      bool // by the answer of the endpoint, no further delivery is needed
	WouldDefer bool // without the queue, the message would be returned to the client as deferred
}

// Entry is the state of one message, combined from all its records in the log.
type Entry struct {
	Accepted
	RecordedClass     *NamedClass // decoded ClassRecord; nil if the class is unknown
	Attempts          int         // number of attempts so far
	UncertainAttempts []Attempt   // attempts that may have run, or may still run, at the partner
	Outcome           *Outcome    // nil while delivery is in progress
}

// Record kinds, stored as the first byte of a record.
const (
	recordAccepted = 1
	recordAttempt  = 2
	recordNotRun   = 3 // an attempt is known never to have run
	recordEnded    = 4 // the message needs no more processing
	recordOutcome  = 5
)

// attemptCountOffset is added to the attempt index in a not-run record that only records the number of attempts made.
const attemptCountOffset = 1 << 20

// Bits of the flags in an outcome record.
const (
	outcomeDeferred   = 1
	outcomeDeadLetter = 2
	outcomeDelivered  = 4
	outcomeFinal      = 8
	outcomeReturnable = 16 // without the dead-letter queue, the message would be returned to its client
)

func appendString(buf []byte, s string) []byte {
	return append(binary.AppendUvarint(buf, uint64(len(s))), s...)
}

func appendFlag(buf []byte, b bool) []byte {
	if b {
		return append(buf, 1)
	}
	return append(buf, 0)
}

// newRecord returns the start of a message's record, with capacity for size bytes besides its numbers.
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

// EncodeAttempt returns the record of an attempt that is about to be sent.
func EncodeAttempt(b *TimeBase, number control.MessageID, a Attempt) []byte {
	p := binary.AppendUvarint(newRecord(recordAttempt, number, len(a.Endpoint)), uint64(a.Index))
	p = binary.AppendVarint(binary.AppendVarint(p, b.Stamp(a.At)), int64(a.Zone))
	if a.Endpoint != "" || a.InDeadLetter {
		p = appendFlag(appendString(p, a.Endpoint), a.InDeadLetter)
	}
	return p
}

// EncodeNotRun returns the record that an attempt is known never to have run.
func EncodeNotRun(number control.MessageID, attempt int) []byte {
	return binary.AppendUvarint(newRecord(recordNotRun, number, 0), uint64(attempt))
}

// EncodeEnded returns the record that a message needs no more processing. Only the single-file format has it; a store
// has its own kind of record for the end of an entity.
func EncodeEnded(number control.MessageID) []byte { return newRecord(recordEnded, number, 0) }

// EncodeOutcome returns the record of the outcome of a message that was not delivered.
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
		set(outcomeReturnable, d.WouldDefer)
		size = len(d.Reason)
	}
	p := binary.AppendUvarint(newRecord(recordOutcome, number, size), flags)
	p = binary.AppendVarint(p, o.RetryAfter.Milliseconds())
	if d := o.DeadLetter; d != nil {
		p = binary.AppendVarint(appendString(p, d.Reason), b.Stamp(d.At))
	}
	return p
}

// EncodeEntry returns records that restore the whole state of one message. A not-run record stores the number of
// attempts, as the last attempts may never have run and then have no record of their own.
func EncodeEntry(b *TimeBase, e *Entry) [][]byte {
	list := [][]byte{EncodeAccepted(b, &e.Accepted)}
	for _, a := range e.UncertainAttempts {
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
