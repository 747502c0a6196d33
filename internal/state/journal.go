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
	maxRecord = MaxBody + 4096
	blockUnit = 512                            // the disk counts files in whole units of this
	sideFiles = 4*blockUnit + 2*departuresSize // kept free for the lock, the time base, departures, and what replaces them
	batchMost = 1 << 20                        // bytes that are appended at once
)

// Forms of the journal, for those who put one program in the place of another: 1 was a single file, 2 is a store.
const FormWritten = 2

// FormsRead are those that this program takes up.
var FormsRead = []int{1, 2}

// The kinds of record.
const (
	recTake    = 1 // a message was taken on
	recForward = 2 // an attempt is about to leave
	recSpared  = 3 // an attempt proved never to have run
	recOver    = 4 // nothing more is owed
	recNotice  = 5 // a notice is owed
)

// A journal appends to a store within a limit on the folder.
type journal struct {
	dir   string
	store *store.Store
	limit int64
	batch []store.Record // added, and not written yet
	dirty bool           // a write failed: the store lacks something that the table holds

	nowhere bool // nothing is written at all
	base    *timebase
}

// takeCost is the part of the journal that a message may take: its own record
// and room for the forwards and the end of a message that takes many tries.
func takeCost(m *Message) int64 {
	return int64(len(m.ID) + len(m.Key) + len(m.Body) + 768)
}

// room tells whether messages may take so much. Two fifths of the limit for what is
// live leave compaction more than it needs to keep up.
func (j *journal) room(live int64) bool { return live <= j.limit*2/5 }

func text(to []byte, s string) []byte {
	return append(binary.AppendUvarint(to, uint64(len(s))), s...)
}

func flag(to []byte, b bool) []byte {
	if b {
		return append(to, 1)
	}
	return append(to, 0)
}

func (j *journal) add(payload []byte) {
	num, _ := binary.Uvarint(payload[1:])
	r := store.Record{Entity: num, Data: payload}
	if payload[0] == recOver {
		r.Kind, r.Data = store.End, nil
	}
	j.batch = append(j.batch, r)
}

// take adds a message that is taken on.
func (j *journal) take(e *entry) {
	j.batch = append(j.batch, store.Record{
		Entity: uint64(e.num), Data: takeRecord(j.base, e), Time: j.base.stampOf(e.Deadline), Dest: int64(e.Destination), Key: e.ID,
	})
}

// enter adds one with all that was done for it.
func (j *journal) enter(e *entry) {
	j.take(e)
	for _, p := range entryPayloads(j.base, e)[1:] {
		j.add(p)
	}
}

// settled adds the notice that a message has ended with. Where its body is needed no
// more, what is left takes the place of all before it, so that the body takes no room.
func (j *journal) settled(e *entry) {
	if len(e.Body) > 0 {
		j.add(noticeRecord(j.base, e.notice))
		return
	}
	from := len(j.batch)
	j.enter(e)
	j.batch[from].Kind = store.Base
}

// forget takes back what was added of a message and is not written yet; what may be
// written of it ends.
func (j *journal) forget(num control.MessageID) {
	j.batch = slices.DeleteFunc(j.batch, func(r store.Record) bool { return r.Entity == uint64(num) })
	j.add(overRecord(num))
}

func payload(kind byte, num control.MessageID) []byte {
	return binary.AppendUvarint([]byte{kind}, uint64(num))
}

func takeRecord(b *timebase, e *entry) []byte {
	p := payload(recTake, e.num)
	p = text(text(p, e.ID), e.Key)
	for _, n := range []int{e.Class, e.Tenant, e.Destination} {
		p = binary.AppendVarint(p, int64(n))
	}
	p = binary.AppendVarint(p, b.stampOf(e.Deadline))
	p = flag(p, e.Resubmitted)
	p = text(p, string(e.Body))
	return append(binary.AppendUvarint(p, e.seq), e.class...)
}

func forwardRecord(b *timebase, num control.MessageID, s sent) []byte {
	p := binary.AppendUvarint(payload(recForward, num), uint64(s.attempt))
	p = binary.AppendVarint(binary.AppendVarint(p, b.stampOf(s.at)), int64(s.zone))
	if s.target != "" || s.told {
		p = flag(text(p, s.target), s.told)
	}
	return p
}

func sparedRecord(num control.MessageID, attempt int) []byte {
	return binary.AppendUvarint(payload(recSpared, num), uint64(attempt))
}

func overRecord(num control.MessageID) []byte { return payload(recOver, num) }

// The bits of a notice's form.
const (
	formDeferred  = 1
	formKept      = 2 // the keeper gets the message, or what came of it
	formDelivered = 4
	formOver      = 8
	formClients   = 16 // without the keeper it would be its client's again
)

func noticeRecord(b *timebase, n *DeliveryReport) []byte {
	form := uint64(0)
	bit := func(b uint64, on bool) {
		if on {
			form |= b
		}
	}
	bit(formDeferred, n.Deferred)
	if k := n.DeadLetter; k != nil {
		form |= formKept
		bit(formDelivered, k.Delivered)
		bit(formOver, k.Final)
		bit(formClients, k.Deferred)
	}
	p := binary.AppendUvarint(payload(recNotice, n.Num), form)
	p = binary.AppendVarint(p, n.RetryAfter.Milliseconds())
	if n.DeadLetter != nil {
		p = binary.AppendVarint(text(p, n.DeadLetter.Reason), b.stampOf(n.DeadLetter.At))
	}
	return p
}

// entryPayloads are the records of all that is known of one message. The count of
// attempts is told by a spared record where the last one never ran.
func entryPayloads(b *timebase, e *entry) [][]byte {
	list := [][]byte{takeRecord(b, e)}
	for _, s := range e.ran {
		list = append(list, forwardRecord(b, e.num, s))
	}
	if e.sends > 0 {
		list = append(list, sparedRecord(e.num, e.sends-1+spareOffset))
	}
	if e.notice != nil {
		list = append(list, noticeRecord(b, e.notice))
	}
	return list
}

// spareOffset marks a spared record that only counts attempts.
const spareOffset = 1 << 20

// flush writes what was added. What can't be written now is tried again with what
// comes next.
func (j *journal) flush() error {
	if j.nowhere {
		j.batch = j.batch[:0]
	}
	for len(j.batch) > 0 {
		n, size := 0, 0
		for n < len(j.batch) && (n == 0 || size < batchMost) {
			size += len(j.batch[n].Data)
			n++
		}
		if err := j.store.Append(j.batch[:n]...); err != nil {
			j.dirty = true
			return fmt.Errorf("journal: %w", err)
		}
		clear(j.batch[:n]) // bodies must not live on in it
		j.batch = j.batch[n:]
	}
	j.batch, j.dirty = j.batch[:0:0], false
	return nil
}

func (j *journal) close() error {
	if j.store == nil {
		return nil
	}
	return j.store.Close()
}

// A journalSetup is what a journal is opened with.
type journalSetup struct {
	dir        string
	limit      int64 // bytes that the folder may hold
	durability store.Durability
	groupWait  time.Duration // where that is store.Group
	classes    *classBook
	virtual    bool // times are those of a laboratory, which go on by themselves
	log        *slog.Logger
}

// openJournal reads what the folder's journal tells is owed. The file of a program
// from before the store is taken over.
func openJournal(x journalSetup) (*journal, *table, error) {
	dir, log := x.dir, x.log
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, nil, fmt.Errorf("journal: %w", err)
	}
	j := &journal{dir: dir, limit: x.limit - sideFiles}
	if err := takeOver(dir, j.limit, log); err != nil {
		return nil, nil, err
	}
	s, err := store.Open(store.Options{FS: store.Dir(dir), Budget: j.limit, Durability: x.durability, GroupWait: x.groupWait, Log: log})
	if err != nil {
		return nil, nil, fmt.Errorf("journal: %w", err)
	}
	j.store = s
	if !x.virtual {
		j.base = openTimebase(dir, log)
	}
	t, err := tableOf(s, x.classes, j.base, log)
	if err != nil {
		s.Close()
		return nil, nil, err
	}
	return j, t, nil
}

// tableOf makes a table of what a store tells is owed. A message of which a damage
// may hide a record counts as one that may have run.
func tableOf(s *store.Store, classes *classBook, base *timebase, log *slog.Logger) (*table, error) {
	t := newTable()
	t.classes, t.base = classes, base
	doubtful := 0
	var failed error
	s.Entities(func(e store.Entity) bool {
		list, err := s.Load(e.ID)
		if err != nil { // the disk has lost it since it was opened
			log.Error("journal: a message can't be read", "num", e.ID, "err", err)
			failed = err
			return false
		}
		for _, r := range list {
			if len(r.Data) < 2 || !apply(r.Data, t) {
				log.Warn("journal: a record makes no sense, left out", "num", e.ID, "lsn", r.LSN)
			}
		}
		if x := t.entries[control.MessageID(e.ID)]; x != nil && e.Doubtful {
			doubt(x)
			doubtful++
		}
		return true
	})
	t.next = max(t.next, control.MessageID(s.Highest()+1))
	if doubtful > 0 {
		log.Warn("journal damaged; kept what reads", "damaged parts", len(s.Damages()), "messages that may have run", doubtful)
	}
	return t, failed
}

// doubt notes for an open message a forward at an unknown time.
func doubt(e *entry) {
	if e.notice == nil {
		e.ran = append(e.ran, sent{attempt: e.sends, at: time.Unix(0, 0)})
		e.sends++
	}
}

// readJournal reads what a folder's journal tells is owed, and changes nothing.
func readJournal(dir string, log *slog.Logger) (*table, error) {
	if t, err := readOld(dir, log); t != nil || err != nil {
		return t, err
	}
	s, err := store.OpenReadOnly(store.Dir(dir))
	if errors.Is(err, os.ErrNotExist) {
		return newTable(), nil
	}
	if err != nil {
		return nil, fmt.Errorf("journal: %w", err)
	}
	defer s.Close()
	return tableOf(s, &classBook{}, lookTimebase(dir), log)
}

// A scan takes a payload apart; after the first misfit everything is zero and bad is set.
type scan struct {
	rest []byte
	bad  bool
}

func (s *scan) number() int64 {
	v, n := binary.Varint(s.rest)
	return int64(s.advance(uint64(v), n))
}

func (s *scan) count() uint64 {
	v, n := binary.Uvarint(s.rest)
	return s.advance(v, n)
}

func (s *scan) advance(v uint64, n int) uint64 {
	if n <= 0 {
		s.bad, s.rest = true, nil
		return 0
	}
	s.rest = s.rest[n:]
	return v
}

func (s *scan) text() string {
	n := s.count()
	if n > uint64(len(s.rest)) {
		s.bad, s.rest = true, nil
		return ""
	}
	v := string(s.rest[:n])
	s.rest = s.rest[n:]
	return v
}

// apply enters one record into the table. Records of messages that are not
// known belong to a damaged or finished one and say nothing.
func apply(p []byte, t *table) bool {
	s := &scan{rest: p[1:]}
	num := control.MessageID(s.count())
	e := t.entries[num]
	switch p[0] {
	case recTake:
		m := &Message{ID: s.text(), Key: s.text()}
		m.Class, m.Tenant, m.Destination = int(s.number()), int(s.number()), int(s.number())
		m.Deadline = t.base.timeOf(s.number())
		m.Resubmitted = s.count() == 1
		m.Body = []byte(s.text())
		seq := uint64(0)
		if len(s.rest) > 0 {
			seq = s.count()
		}
		if len(s.rest) > 0 { // its class, as it was when the message came
			if c := s.class(); !s.bad {
				m.Class = t.classes.number(c)
			}
		}
		if !s.bad && e == nil {
			t.add(&entry{Message: m, num: num, answered: true, seq: seq, class: t.classes.record(m.Class)})
		}
	case recForward:
		f := sent{attempt: int(s.count()), at: t.base.timeOf(s.number()), zone: int(s.number())}
		if len(s.rest) > 0 {
			f.target, f.told = s.text(), s.count() == 1
		}
		if !s.bad && e != nil {
			e.ran = append(e.ran, f)
			e.sends = max(e.sends, f.attempt+1)
		}
	case recSpared:
		n := int(s.count())
		if !s.bad && e != nil {
			if n < spareOffset {
				e.spare(n)
			} else {
				e.sends = max(e.sends, n-spareOffset+1)
			}
		}
	case recOver:
		if !s.bad && e != nil {
			t.drop(e)
		}
	case recNotice:
		form := s.count()
		n := DeliveryReport{Num: num, Deferred: form&formDeferred != 0, RetryAfter: time.Duration(s.number()) * time.Millisecond}
		if form&formKept != 0 {
			n.DeadLetter = &DeadLetter{
				Num: num, Reason: s.text(), At: t.base.timeOf(s.number()),
				Delivered: form&formDelivered != 0, Final: form&formOver != 0, Deferred: form&formClients != 0,
			}
		}
		if !s.bad && e != nil && e.notice == nil {
			n.ID = e.ID
			e.parting = n.DeadLetter
			t.settle(e, n)
		}
	default:
		s.bad = true
	}
	return !s.bad
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
	t, err := readJournal(dir, log)
	if err != nil {
		return nil, err
	}
	var list []Pending
	for _, e := range t.ordered() {
		p := Pending{e.ID, e.Destination, e.Deadline, e.sends, len(e.ran) > 0, "delivery"}
		if e.notice != nil {
			p.Owed = e.notice.status()
		}
		list = append(list, p)
	}
	return list, nil
}

func (n *DeliveryReport) status() string {
	if n.Deferred {
		return "deferred"
	}
	return "undeliverable"
}
