// Package wal implements a sender's write-ahead log. It stores the records of messages in a store (internal/store) in
// the state folder, maintains the time base of their timestamps, replays the records at startup, and imports the log
// of older programs, which was a single file.
//
// Each message is an entity of the store from its acceptance until neither a delivery nor a report is pending for it.
// All records that one iteration of the event loop adds are appended as one batch, and the log is never rewritten as a
// whole. This package defines the encoding of records and how replay combines them into the state of a message. Package
// internal/state decides when to write which record and how to process a message further.
package wal

import (
	"errors"
	"fmt"
	"log/slog"
	"os"
	"slices"
	"time"

	"cleathold/control"
	"cleathold/internal/store"
)

const (
	diskBlock     = 512           // file sizes are rounded up to multiples of this many bytes, as on disk
	reservedBytes = 4 * diskBlock // reserved for the lock file, the time base file and their temporary replacements
	maxBatchBytes = 1 << 20       // a batch is closed once the data of its records reaches this size
	// recordAllowance is the number of bytes reserved for a message besides its ID, key and body. It covers the attempt
	// and end records of a message that needs many attempts.
	recordAllowance = 768
)

// FormatVersion is the version of the log format that this program writes; releases are checked for compatibility by
// it. Version 1 is a single file, version 2 is a store.
const FormatVersion = 2

// SupportedFormatVersions lists the versions of the log format that this program can read.
var SupportedFormatVersions = []int{1, 2}

// Log appends records to a store and keeps the state folder within a size limit. It is not safe for concurrent use.
type Log struct {
	store      *store.Store
	limit      int64
	pending    []store.Record // added records that are not written yet
	incomplete bool           // a write failed, so the store lacks records that were added
	inMemory   bool           // no records are written to disk
	timeBase   *TimeBase
}

// Options are the parameters of Open.
type Options struct {
	Dir        string
	Limit      int64 // maximum size of the state folder in bytes
	Reserved   int64 // bytes of Limit that are reserved for other files in the folder
	Durability store.Durability
	GroupWait  time.Duration // maximum delay of a sync; used with store.GroupSync only
	Virtual    bool          // times are simulated; no time base is kept in the folder
	Log        *slog.Logger
	FS         store.FS // file system of the store; nil for the folder Dir
}

// RestoredState is the state that Open restores from the log.
type RestoredState struct {
	Entries    []*Entry          // messages that still need processing, in ascending order of number
	NextNumber control.MessageID // lowest number that may be assigned to the next message
}

// Open opens the log in a folder and returns it with the state that its records restore. It imports a single-file log
// of an older program. It returns an error if the folder or the store can't be used, also if another process has the
// store open.
func Open(o Options) (*Log, RestoredState, error) {
	if err := os.MkdirAll(o.Dir, 0o700); err != nil {
		return nil, RestoredState{}, fmt.Errorf("write-ahead log: %w", err)
	}
	l := &Log{limit: o.Limit - o.Reserved - reservedBytes}
	if err := importSingleFile(o.Dir, l.limit, o.Log); err != nil {
		return nil, RestoredState{}, err
	}
	if o.FS == nil {
		o.FS = store.Dir(o.Dir)
	}
	s, err := store.Open(store.Options{
		FS: o.FS, Budget: l.limit, Durability: o.Durability, GroupWait: o.GroupWait, Log: o.Log,
	})
	if err != nil {
		return nil, RestoredState{}, fmt.Errorf("write-ahead log: %w", err)
	}
	l.store = s
	if !o.Virtual {
		l.timeBase = OpenTimeBase(o.Dir, o.Log)
	}
	entries, err := replayStore(s, l.timeBase, o.Log)
	if err != nil {
		s.Close()
		return nil, RestoredState{}, err
	}
	return l, RestoredState{entries, control.MessageID(s.HighestEntityID() + 1)}, nil
}

// InMemory returns a log that writes nothing to disk. HasCapacity applies the limit in bytes all the same.
func InMemory(limit int64) *Log { return &Log{limit: limit, inMemory: true} }

// Read returns the messages in the log of a folder that still need processing. It doesn't modify the folder.
func Read(dir string, log *slog.Logger) ([]*Entry, error) {
	switch r, err := readSingleFile(dir, log); {
	case err != nil:
		return nil, err
	case r != nil:
		return r.live(), nil
	}
	s, err := store.OpenReadOnly(store.Dir(dir))
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, fmt.Errorf("write-ahead log: %w", err)
	}
	defer s.Close()
	return replayStore(s, readTimeBase(dir), log)
}

// replayStore replays the records of a store. If a record of a message may be lost to damage, it assumes that the
// message had an attempt which may have run.
func replayStore(s *store.Store, timeBase *TimeBase, log *slog.Logger) ([]*Entry, error) {
	r := newReplay(timeBase)
	damaged := 0
	var failed error
	s.Entities(func(e store.Entity) bool {
		records, err := s.Load(e.ID)
		if err != nil { // the record has become unreadable since the store was opened
			log.Error("failed to read message from write-ahead log", "message", e.ID, "err", err)
			failed = err
			return false
		}
		for _, record := range records {
			if len(record.Data) < 2 || !r.apply(record.Data) {
				log.Warn("skipping malformed write-ahead log record", "message", e.ID, "lsn", record.LSN)
			}
		}
		if entry := r.entries[control.MessageID(e.ID)]; entry != nil && e.MayLackRecords {
			entry.assumeUnknownAttempt()
			damaged++
		}
		return true
	})
	if damaged > 0 {
		log.Warn("write-ahead log is damaged; keeping the readable records", "damages", len(s.Damages()), "messages", damaged)
	}
	return r.live(), failed
}

// Cost returns an estimate of the bytes that a message takes in the log, including the records of its attempts and its
// end.
func Cost(id, key string, body []byte) int64 {
	return int64(len(id) + len(key) + len(body) + recordAllowance)
}

// HasCapacity reports whether live messages may take the given number of bytes. It allows them two fifths of the limit,
// which leaves compaction more free space than it needs to keep up with appends.
func (l *Log) HasCapacity(live int64) bool { return live <= l.limit*2/5 }

// Limit returns the maximum size of the store in bytes.
func (l *Log) Limit() int64 { return l.limit }

// Incomplete reports whether a write failed and has not been retried successfully, so that the store lacks records that
// were added.
func (l *Log) Incomplete() bool { return l.incomplete }

// TimeBase returns the time base of the log, or nil if its timestamps follow the wall clock.
func (l *Log) TimeBase() *TimeBase { return l.timeBase }

// AddAccepted adds the record of an accepted message.
func (l *Log) AddAccepted(a *Accepted) {
	l.pending = append(l.pending, store.Record{
		Entity: uint64(a.Number), Data: EncodeAccepted(l.timeBase, a), Time: l.timeBase.Stamp(a.Deadline),
		Destination: int64(a.Destination), Key: a.ID,
	})
}

// AddAttempt adds the record of an attempt that is about to be sent.
func (l *Log) AddAttempt(number control.MessageID, a Attempt) {
	l.addRecord(number, EncodeAttempt(l.timeBase, number, a))
}

// AddNotRun adds the record that an attempt is known never to have run at the partner.
func (l *Log) AddNotRun(number control.MessageID, attempt int) {
	l.addRecord(number, EncodeNotRun(number, attempt))
}

// AddOutcome adds the outcome of a message that was not delivered.
func (l *Log) AddOutcome(number control.MessageID, o *Outcome) {
	l.addRecord(number, EncodeOutcome(l.timeBase, number, o))
}

// AddEnded adds the record that a message needs no more processing, which ends its entity in the store.
func (l *Log) AddEnded(number control.MessageID) {
	l.pending = append(l.pending, store.Record{Entity: uint64(number), Kind: store.End})
}

func (l *Log) addRecord(number control.MessageID, record []byte) {
	l.pending = append(l.pending, store.Record{Entity: uint64(number), Data: record})
}

// AddEntry adds all records of a message: its acceptance, its attempts and its outcome.
func (l *Log) AddEntry(e *Entry) {
	l.AddAccepted(&e.Accepted)
	for _, record := range EncodeEntry(l.timeBase, e)[1:] {
		l.addRecord(e.Number, record)
	}
}

// Replace adds all records of a message, as AddEntry does. They replace the records that the log already has of it.
func (l *Log) Replace(e *Entry) {
	first := len(l.pending)
	l.AddEntry(e)
	l.pending[first].Kind = store.Replace
}

// Forget drops the records of a message that were added but not written yet, and ends the entity of those that may
// already be in the store.
func (l *Log) Forget(number control.MessageID) {
	l.pending = slices.DeleteFunc(l.pending, func(r store.Record) bool { return r.Entity == uint64(number) })
	l.AddEnded(number)
}

// Flush writes the added records to the store. Records that can't be written stay pending and are written by the next
// call that succeeds.
func (l *Log) Flush() error {
	if l.inMemory {
		l.pending = l.pending[:0]
	}
	for len(l.pending) > 0 {
		n, size := 0, 0
		for n < len(l.pending) && (n == 0 || size < maxBatchBytes) {
			size += len(l.pending[n].Data)
			n++
		}
		if err := l.store.Append(l.pending[:n]...); err != nil {
			l.incomplete = true
			return fmt.Errorf("write-ahead log: %w", err)
		}
		clear(l.pending[:n]) // release the message bodies for garbage collection
		l.pending = l.pending[n:]
	}
	l.pending, l.incomplete = l.pending[:0:0], false
	return nil
}

// Close closes the store and unlocks the folder. Records that were not flushed are lost.
func (l *Log) Close() error {
	if l.store == nil {
		return nil
	}
	return l.store.Close()
}
