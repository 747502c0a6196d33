package state

import (
	"encoding/binary"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"slices"
	"time"

	"cleathold/control"
	"cleathold/internal/store"
)

// The journal is a store (internal/store) in the state folder: each message is an
// entity, from its taking on until nothing more is owed. Times are stamps of its
// timebase. What a round adds is appended as one batch; nothing is rewritten whole.
const (
	maxRecordBytes = MaxBody + 4096
	diskBlock      = 512                                // the disk counts files in whole units of this
	reservedBytes  = 4*diskBlock + 2*maxDeparturesBytes // kept free for the lock, the time base, departures, and what replaces them
	maxBatchBytes  = 1 << 20                            // bytes that are appended at once
)

// Forms of the journal, for those who put one program in the place of another: 1 was a single file, 2 is a store.
const FormWritten = 2

// FormsRead are those that this program takes up.
var FormsRead = []int{1, 2}

// The kinds of record.
const (
	recordAccepted = 1 // a message was taken on
	recordAttempt  = 2 // an attempt is about to leave
	recordNotRun   = 3 // an attempt proved never to have run
	recordEnded    = 4 // nothing more is owed
	recordOutcome  = 5 // a notice is owed
)

// A writeAheadLog appends to a store within a limit on the folder.
type writeAheadLog struct {
	dir        string
	store      *store.Store
	limit      int64
	batch      []store.Record // added, and not written yet
	incomplete bool           // a write failed: the store lacks something that the table holds

	inMemory bool // nothing is written at all
	times    *timeBase
}

// storageCost is the part of the journal that a message may take: its own record
// and room for the forwards and the end of a message that takes many tries.
func storageCost(m *Message) int64 {
	return int64(len(m.ID) + len(m.Key) + len(m.Body) + 768)
}

// hasRoom tells whether messages may take so much. Two fifths of the limit for what is
// live leave compaction more than it needs to keep up.
func (j *writeAheadLog) hasRoom(live int64) bool { return live <= j.limit*2/5 }

func appendText(to []byte, s string) []byte {
	return append(binary.AppendUvarint(to, uint64(len(s))), s...)
}

func appendFlag(to []byte, b bool) []byte {
	if b {
		return append(to, 1)
	}
	return append(to, 0)
}

func (j *writeAheadLog) add(payload []byte) {
	num, _ := binary.Uvarint(payload[1:])
	r := store.Record{Entity: num, Data: payload}
	if payload[0] == recordEnded {
		r.Kind, r.Data = store.End, nil
	}
	j.batch = append(j.batch, r)
}

// addAccepted adds a message that is taken on.
func (j *writeAheadLog) addAccepted(e *entry) {
	j.batch = append(j.batch, store.Record{
		Entity: uint64(e.num), Data: acceptedRecord(j.times, e), Time: j.times.stampOf(e.Deadline), Dest: int64(e.Destination), Key: e.ID,
	})
}

// addEntry adds one with all that was done for it.
func (j *writeAheadLog) addEntry(e *entry) {
	j.addAccepted(e)
	for _, p := range entryRecords(j.times, e)[1:] {
		j.add(p)
	}
}

// addEnded adds the notice that a message has ended with. Where its body is needed no
// more, what is left takes the place of all before it, so that the body takes no room.
func (j *writeAheadLog) addEnded(e *entry) {
	if len(e.Body) > 0 {
		j.add(outcomeRecord(j.times, e.report))
		return
	}
	from := len(j.batch)
	j.addEntry(e)
	j.batch[from].Kind = store.Base
}

// forget takes back what was added of a message and is not written yet; what may be
// written of it ends.
func (j *writeAheadLog) forget(num control.MessageID) {
	j.batch = slices.DeleteFunc(j.batch, func(r store.Record) bool { return r.Entity == uint64(num) })
	j.add(endedRecord(num))
}

func recordHeader(kind byte, num control.MessageID) []byte {
	return binary.AppendUvarint([]byte{kind}, uint64(num))
}

func acceptedRecord(b *timeBase, e *entry) []byte {
	p := recordHeader(recordAccepted, e.num)
	p = appendText(appendText(p, e.ID), e.Key)
	for _, n := range []int{e.Class, e.Tenant, e.Destination} {
		p = binary.AppendVarint(p, int64(n))
	}
	p = binary.AppendVarint(p, b.stampOf(e.Deadline))
	p = appendFlag(p, e.Resubmitted)
	p = appendText(p, string(e.Body))
	return append(binary.AppendUvarint(p, e.deadLetterSeq), e.classRecord...)
}

func attemptRecord(b *timeBase, num control.MessageID, s sentAttempt) []byte {
	p := binary.AppendUvarint(recordHeader(recordAttempt, num), uint64(s.attempt))
	p = binary.AppendVarint(binary.AppendVarint(p, b.stampOf(s.at)), int64(s.zone))
	if s.endpoint != "" || s.inDeadLetter {
		p = appendFlag(appendText(p, s.endpoint), s.inDeadLetter)
	}
	return p
}

func notRunRecord(num control.MessageID, attempt int) []byte {
	return binary.AppendUvarint(recordHeader(recordNotRun, num), uint64(attempt))
}

func endedRecord(num control.MessageID) []byte { return recordHeader(recordEnded, num) }

// The bits of a notice's form.
const (
	outcomeDeferred    = 1
	outcomeDeadLetter  = 2 // the keeper gets the message, or what came of it
	outcomeDelivered   = 4
	outcomeFinal       = 8
	outcomeClientOwned = 16 // without the keeper it would be its client's again
)

func outcomeRecord(b *timeBase, n *DeliveryReport) []byte {
	form := uint64(0)
	bit := func(b uint64, on bool) {
		if on {
			form |= b
		}
	}
	bit(outcomeDeferred, n.Deferred)
	if k := n.DeadLetter; k != nil {
		form |= outcomeDeadLetter
		bit(outcomeDelivered, k.Delivered)
		bit(outcomeFinal, k.Final)
		bit(outcomeClientOwned, k.Deferred)
	}
	p := binary.AppendUvarint(recordHeader(recordOutcome, n.Num), form)
	p = binary.AppendVarint(p, n.RetryAfter.Milliseconds())
	if n.DeadLetter != nil {
		p = binary.AppendVarint(appendText(p, n.DeadLetter.Reason), b.stampOf(n.DeadLetter.At))
	}
	return p
}

// entryRecords are the records of all that is known of one message. The count of
// attempts is told by a spared record where the last one never ran.
func entryRecords(b *timeBase, e *entry) [][]byte {
	list := [][]byte{acceptedRecord(b, e)}
	for _, s := range e.mayHaveRun {
		list = append(list, attemptRecord(b, e.num, s))
	}
	if e.attempts > 0 {
		list = append(list, notRunRecord(e.num, e.attempts-1+attemptCountOffset))
	}
	if e.report != nil {
		list = append(list, outcomeRecord(b, e.report))
	}
	return list
}

// attemptCountOffset marks a spared record that only counts attempts.
const attemptCountOffset = 1 << 20

// flush writes what was added. What can't be written now is tried again with what
// comes next.
func (j *writeAheadLog) flush() error {
	if j.inMemory {
		j.batch = j.batch[:0]
	}
	for len(j.batch) > 0 {
		n, size := 0, 0
		for n < len(j.batch) && (n == 0 || size < maxBatchBytes) {
			size += len(j.batch[n].Data)
			n++
		}
		if err := j.store.Append(j.batch[:n]...); err != nil {
			j.incomplete = true
			return fmt.Errorf("journal: %w", err)
		}
		clear(j.batch[:n]) // bodies must not live on in it
		j.batch = j.batch[n:]
	}
	j.batch, j.incomplete = j.batch[:0:0], false
	return nil
}

func (j *writeAheadLog) close() error {
	if j.store == nil {
		return nil
	}
	return j.store.Close()
}

// A walOptions is what a journal is opened with.
type walOptions struct {
	dir        string
	limit      int64 // bytes that the folder may hold
	durability store.Durability
	groupWait  time.Duration // where that is store.Group
	classes    *classRegistry
	virtual    bool // times are those of a laboratory, which go on by themselves
	log        *slog.Logger
}

// openWAL reads what the folder's journal tells is owed. The file of a program
// from before the store is taken over.
func openWAL(x walOptions) (*writeAheadLog, *table, error) {
	dir, log := x.dir, x.log
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, nil, fmt.Errorf("journal: %w", err)
	}
	j := &writeAheadLog{dir: dir, limit: x.limit - reservedBytes}
	if err := importLegacy(dir, j.limit, log); err != nil {
		return nil, nil, err
	}
	s, err := store.Open(store.Options{FS: store.Dir(dir), Budget: j.limit, Durability: x.durability, GroupWait: x.groupWait, Log: log})
	if err != nil {
		return nil, nil, fmt.Errorf("journal: %w", err)
	}
	j.store = s
	if !x.virtual {
		j.times = openTimeBase(dir, log)
	}
	t, err := tableFromStore(s, x.classes, j.times, log)
	if err != nil {
		s.Close()
		return nil, nil, err
	}
	return j, t, nil
}

// tableFromStore makes a table of what a store tells is owed. A message of which a damage
// may hide a record counts as one that may have run.
func tableFromStore(s *store.Store, classes *classRegistry, base *timeBase, log *slog.Logger) (*table, error) {
	t := newTable()
	t.classes, t.times = classes, base
	damagedMessages := 0
	var failed error
	s.Entities(func(e store.Entity) bool {
		list, err := s.Load(e.ID)
		if err != nil { // the disk has lost it since it was opened
			log.Error("journal: a message can't be read", "num", e.ID, "err", err)
			failed = err
			return false
		}
		for _, r := range list {
			if len(r.Data) < 2 || !applyRecord(r.Data, t) {
				log.Warn("journal: a record makes no sense, left out", "num", e.ID, "lsn", r.LSN)
			}
		}
		if x := t.entries[control.MessageID(e.ID)]; x != nil && e.Doubtful {
			assumeRun(x)
			damagedMessages++
		}
		return true
	})
	t.next = max(t.next, control.MessageID(s.Highest()+1))
	if damagedMessages > 0 {
		log.Warn("journal damaged; kept what reads", "damaged parts", len(s.Damages()), "messages that may have run", damagedMessages)
	}
	return t, failed
}

// assumeRun notes for an open message a forward at an unknown time.
func assumeRun(e *entry) {
	if e.report == nil {
		e.mayHaveRun = append(e.mayHaveRun, sentAttempt{attempt: e.attempts, at: time.Unix(0, 0)})
		e.attempts++
	}
}

// readWAL reads what a folder's journal tells is owed, and changes nothing.
func readWAL(dir string, log *slog.Logger) (*table, error) {
	if t, err := readLegacy(dir, log); t != nil || err != nil {
		return t, err
	}
	s, err := store.Look(store.Dir(dir))
	if errors.Is(err, os.ErrNotExist) {
		return newTable(), nil
	}
	if err != nil {
		return nil, fmt.Errorf("journal: %w", err)
	}
	defer s.Close()
	return tableFromStore(s, &classRegistry{}, readTimeBase(dir), log)
}

// A decoder takes a payload apart; after the first misfit everything is zero and bad is set.
type decoder struct {
	rest      []byte
	malformed bool
}

func (s *decoder) varint() int64 {
	v, n := binary.Varint(s.rest)
	return int64(s.advance(uint64(v), n))
}

func (s *decoder) uvarint() uint64 {
	v, n := binary.Uvarint(s.rest)
	return s.advance(v, n)
}

func (s *decoder) advance(v uint64, n int) uint64 {
	if n <= 0 {
		s.malformed, s.rest = true, nil
		return 0
	}
	s.rest = s.rest[n:]
	return v
}

func (s *decoder) text() string {
	n := s.uvarint()
	if n > uint64(len(s.rest)) {
		s.malformed, s.rest = true, nil
		return ""
	}
	v := string(s.rest[:n])
	s.rest = s.rest[n:]
	return v
}

// applyRecord enters one record into the table. Records of messages that are not
// known belong to a damaged or finished one and say nothing.
func applyRecord(p []byte, t *table) bool {
	s := &decoder{rest: p[1:]}
	num := control.MessageID(s.uvarint())
	e := t.entries[num]
	switch p[0] {
	case recordAccepted:
		m := &Message{ID: s.text(), Key: s.text()}
		m.Class, m.Tenant, m.Destination = int(s.varint()), int(s.varint()), int(s.varint())
		m.Deadline = t.times.timeOf(s.varint())
		m.Resubmitted = s.uvarint() == 1
		m.Body = []byte(s.text())
		seq := uint64(0)
		if len(s.rest) > 0 {
			seq = s.uvarint()
		}
		if len(s.rest) > 0 { // its class, as it was when the message came
			if c := s.class(); !s.malformed {
				m.Class = t.classes.numberOf(c)
			}
		}
		if !s.malformed && e == nil {
			t.add(&entry{Message: m, num: num, responded: true, deadLetterSeq: seq, classRecord: t.classes.record(m.Class)})
		}
	case recordAttempt:
		f := sentAttempt{attempt: int(s.uvarint()), at: t.times.timeOf(s.varint()), zone: int(s.varint())}
		if len(s.rest) > 0 {
			f.endpoint, f.inDeadLetter = s.text(), s.uvarint() == 1
		}
		if !s.malformed && e != nil {
			e.mayHaveRun = append(e.mayHaveRun, f)
			e.attempts = max(e.attempts, f.attempt+1)
		}
	case recordNotRun:
		n := int(s.uvarint())
		if !s.malformed && e != nil {
			if n < attemptCountOffset {
				e.markNotRun(n)
			} else {
				e.attempts = max(e.attempts, n-attemptCountOffset+1)
			}
		}
	case recordEnded:
		if !s.malformed && e != nil {
			t.drop(e)
		}
	case recordOutcome:
		form := s.uvarint()
		n := DeliveryReport{Num: num, Deferred: form&outcomeDeferred != 0, RetryAfter: time.Duration(s.varint()) * time.Millisecond}
		if form&outcomeDeadLetter != 0 {
			n.DeadLetter = &DeadLetter{
				Num: num, Reason: s.text(), At: t.times.timeOf(s.varint()),
				Delivered: form&outcomeDelivered != 0, Final: form&outcomeFinal != 0, Deferred: form&outcomeClientOwned != 0,
			}
		}
		if !s.malformed && e != nil && e.report == nil {
			n.ID = e.ID
			e.deadLetter = n.DeadLetter
			t.markEnded(e, n)
		}
	default:
		s.malformed = true
	}
	return !s.malformed
}

// Pending is one message that a state folder still owes something for.
type Pending struct {
	ID          string
	Destination int
	Deadline    time.Time
	Attempts    int
	MayHaveRun  bool
	Owed        string // "delivery", "deferred" or "undeliverable"
}

// ReadPending lists what the journal of a folder owes, without touching it.
func ReadPending(dir string, log *slog.Logger) ([]Pending, error) {
	t, err := readWAL(dir, log)
	if err != nil {
		return nil, err
	}
	var list []Pending
	for _, e := range t.ordered() {
		p := Pending{e.ID, e.Destination, e.Deadline, e.attempts, len(e.mayHaveRun) > 0, "delivery"}
		if e.report != nil {
			p.Owed = e.report.outcome()
		}
		list = append(list, p)
	}
	return list, nil
}

func (n *DeliveryReport) outcome() string {
	if n.Deferred {
		return "deferred"
	}
	return "undeliverable"
}
