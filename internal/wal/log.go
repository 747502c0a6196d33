// Package wal is a sender's write-ahead log: the records of its messages in a store (internal/store) in the state
// folder, the time base by which they are stamped, their replay at a start, and the import of the single file that
// was the log before.
//
// Each message is an entity of the store, from its acceptance until nothing more is owed. What one iteration of the
// event loop adds is appended as one batch; nothing is rewritten whole. The package knows the form of records and
// what they add up to. What is written when, and what a message still needs, is decided by internal/state.
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
	diskBlock     = 512           // the disk counts files in whole units of this, in bytes
	reservedBytes = 4 * diskBlock // kept free for the lock, the time base, and what stands beside them
	maxBatchBytes = 1 << 20       // that are appended at once
	// recordAllowance is what a message may take besides its id, key and body: the attempts and the end of one that
	// takes many attempts.
	recordAllowance = 768
)

// FormWritten is the form of the log that this program writes, for those who put one program in the place of another:
// 1 was a single file, 2 is a store.
const FormWritten = 2

// FormsRead are those that this program takes up.
var FormsRead = []int{1, 2}

// Log appends records to a store within a limit on the state folder. It is not safe for concurrent use.
type Log struct {
	store      *store.Store
	limit      int64
	pending    []store.Record // added, and not written yet
	incomplete bool           // a write failed: the store lacks something that was added
	inMemory   bool           // nothing is written at all
	timeBase   *TimeBase
}

// Options are what a log is opened with.
type Options struct {
	Dir        string
	Limit      int64 // bytes that the folder may hold
	Reserved   int64 // of those, bytes that other files in the folder may take
	Durability store.Durability
	GroupWait  time.Duration // where that is store.Group
	Virtual    bool          // times are those of a simulation, which go on by themselves
	Log        *slog.Logger
	FS         store.FS // of the store; nil: Dir
}

// Recovered is what a log tells at a start.
type Recovered struct {
	Entries    []*Entry          // the messages that something is still owed for, by number
	NextNumber control.MessageID // the least number for the next message
}

// Open opens the log of a folder, and returns what it tells. The single file of an older program is imported. Errors
// are those of the folder and of the store; one that another process has open is such.
func Open(o Options) (*Log, Recovered, error) {
	if err := os.MkdirAll(o.Dir, 0o700); err != nil {
		return nil, Recovered{}, fmt.Errorf("journal: %w", err)
	}
	l := &Log{limit: o.Limit - o.Reserved - reservedBytes}
	if err := importSingleFile(o.Dir, l.limit, o.Log); err != nil {
		return nil, Recovered{}, err
	}
	if o.FS == nil {
		o.FS = store.Dir(o.Dir)
	}
	s, err := store.Open(store.Options{
		FS: o.FS, Budget: l.limit, Durability: o.Durability, GroupWait: o.GroupWait, Log: o.Log,
	})
	if err != nil {
		return nil, Recovered{}, fmt.Errorf("journal: %w", err)
	}
	l.store = s
	if !o.Virtual {
		l.timeBase = OpenTimeBase(o.Dir, o.Log)
	}
	entries, err := replayStore(s, l.timeBase, o.Log)
	if err != nil {
		s.Close()
		return nil, Recovered{}, err
	}
	return l, Recovered{entries, control.MessageID(s.Highest() + 1)}, nil
}

// InMemory returns a log that writes nothing; its limit in bytes holds all the same.
func InMemory(limit int64) *Log { return &Log{limit: limit, inMemory: true} }

// Read returns what the log of a folder tells of messages that something is still owed for, and changes nothing.
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
		return nil, fmt.Errorf("journal: %w", err)
	}
	defer s.Close()
	return replayStore(s, readTimeBase(dir), log)
}

// replayStore replays a store. A message of which a damage may hide a record counts as one that may have run.
func replayStore(s *store.Store, times *TimeBase, log *slog.Logger) ([]*Entry, error) {
	r := newReplay(times)
	damaged := 0
	var failed error
	s.Entities(func(e store.Entity) bool {
		records, err := s.Load(e.ID)
		if err != nil { // the disk has lost it since it was opened
			log.Error("message unreadable in the write-ahead log", "message", e.ID, "err", err)
			failed = err
			return false
		}
		for _, record := range records {
			if len(record.Data) < 2 || !r.apply(record.Data) {
				log.Warn("inconsistent record skipped", "message", e.ID, "lsn", record.LSN)
			}
		}
		if entry := r.entries[control.MessageID(e.ID)]; entry != nil && e.Doubtful {
			entry.assumeUnknownAttempt()
			damaged++
		}
		return true
	})
	if damaged > 0 {
		log.Warn("write-ahead log damaged, readable records kept", "damages", len(s.Damages()), "messages", damaged)
	}
	return r.live(), failed
}

// Cost returns the bytes of the log that a message may take: its own record, and what its attempts and its end add.
func Cost(id, key string, body []byte) int64 {
	return int64(len(id) + len(key) + len(body) + recordAllowance)
}

// HasCapacity tells whether live messages may take so many bytes. Two fifths of the limit for what is live leave
// compaction more than it needs to keep up.
func (l *Log) HasCapacity(live int64) bool { return live <= l.limit*2/5 }

// Limit returns the bytes that the store may take.
func (l *Log) Limit() int64 { return l.limit }

// Incomplete tells whether a write failed and has not been made good: the store lacks something that was added.
func (l *Log) Incomplete() bool { return l.incomplete }

// Times returns the time base of the log; nil where times go by the wall clock.
func (l *Log) Times() *TimeBase { return l.timeBase }

// AddAccepted adds a message that is accepted.
func (l *Log) AddAccepted(a *Accepted) {
	l.pending = append(l.pending, store.Record{
		Entity: uint64(a.Number), Data: EncodeAccepted(l.timeBase, a), Time: l.timeBase.Stamp(a.Deadline),
		Dest: int64(a.Destination), Key: a.ID,
	})
}

// AddAttempt adds an attempt that is about to leave.
func (l *Log) AddAttempt(number control.MessageID, a Attempt) {
	l.addRecord(number, EncodeAttempt(l.timeBase, number, a))
}

// AddNotRun adds that an attempt proved never to have run.
func (l *Log) AddNotRun(number control.MessageID, attempt int) {
	l.addRecord(number, EncodeNotRun(number, attempt))
}

// AddOutcome adds how a message ended undelivered.
func (l *Log) AddOutcome(number control.MessageID, o *Outcome) {
	l.addRecord(number, EncodeOutcome(l.timeBase, number, o))
}

// AddEnded adds that nothing more is owed for a message.
func (l *Log) AddEnded(number control.MessageID) {
	l.pending = append(l.pending, store.Record{Entity: uint64(number), Kind: store.End})
}

func (l *Log) addRecord(number control.MessageID, record []byte) {
	l.pending = append(l.pending, store.Record{Entity: uint64(number), Data: record})
}

// AddEntry adds a message with all that was done for it.
func (l *Log) AddEntry(e *Entry) {
	l.AddAccepted(&e.Accepted)
	for _, record := range EncodeEntry(l.timeBase, e)[1:] {
		l.addRecord(e.Number, record)
	}
}

// Replace adds a message with all that was done for it, in the place of all that the log has of it.
func (l *Log) Replace(e *Entry) {
	first := len(l.pending)
	l.AddEntry(e)
	l.pending[first].Kind = store.Base
}

// Forget takes back what was added of a message and is not written yet; what may be written of it ends.
func (l *Log) Forget(number control.MessageID) {
	l.pending = slices.DeleteFunc(l.pending, func(r store.Record) bool { return r.Entity == uint64(number) })
	l.AddEnded(number)
}

// Flush writes what was added. What can't be written now is tried again with what comes next.
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
			return fmt.Errorf("journal: %w", err)
		}
		clear(l.pending[:n]) // bodies must not live on in it
		l.pending = l.pending[n:]
	}
	l.pending, l.incomplete = l.pending[:0:0], false
	return nil
}

// Close lets go of the folder, as the end of the process would. What was not flushed is lost.
func (l *Log) Close() error {
	if l.store == nil {
		return nil
	}
	return l.store.Close()
}
