package state

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"log/slog"
	"os"
	"path/filepath"
	"time"

	"cleathold/control"
)

// The journal is a file of records, each a mark, the length and checksum of
// its payload, and the payload. Records only ever follow one another; what is
// no longer owed goes when the file is written anew under another name and
// renamed. Times are Unix times in microseconds.
const (
	journalName = "journal"
	freshName   = "journal.new"
	headLen     = 12
	maxRecord   = MaxBody + 4096
	blockUnit   = 512 // the disk counts files in whole units of this
)

var mark = []byte{0xc1, 0xea, 0x7d, 0x01}

// ErrFull tells that the journal can't hold more within its limit.
var ErrFull = errors.New("journal: no room left")

// The kinds of record.
const (
	recTake    = 1 // a message was taken on
	recForward = 2 // an attempt is about to leave
	recSpared  = 3 // an attempt proved never to have run
	recOver    = 4 // nothing more is owed
	recNotice  = 5 // a notice is owed
)

// A journal appends to one file within a limit on the folder.
type journal struct {
	dir   string
	file  *os.File
	limit int64
	size  int64
	buf   []byte
	dirty bool // a write failed: the file lacks something that the table holds

	nowhere bool // nothing is written at all
}

// takeCost is the part of the journal that a message may take: its own record
// and room for the forwards and the end of a message that takes many tries.
func takeCost(m *Message) int64 {
	return int64(len(m.ID) + len(m.Key) + len(m.Body) + 768)
}

// room tells whether messages may take so much. Two fifths of the limit for
// what is live and three for the file leave room for both files of a rewrite.
func (j *journal) room(live int64) bool { return live <= j.limit*2/5 }

// record frames a payload.
func record(to, payload []byte) []byte {
	to = append(to, mark...)
	to = binary.LittleEndian.AppendUint32(to, uint32(len(payload)))
	to = binary.LittleEndian.AppendUint32(to, crc32.ChecksumIEEE(payload))
	return append(to, payload...)
}

func text(to []byte, s string) []byte {
	return append(binary.AppendUvarint(to, uint64(len(s))), s...)
}

func flag(to []byte, b bool) []byte {
	if b {
		return append(to, 1)
	}
	return append(to, 0)
}

func (j *journal) add(payload []byte) { j.buf = record(j.buf, payload) }

func payload(kind byte, num control.MessageID) []byte {
	return binary.AppendUvarint([]byte{kind}, uint64(num))
}

func takeRecord(e *entry) []byte {
	p := payload(recTake, e.num)
	p = text(text(p, e.ID), e.Key)
	for _, n := range []int{e.Class, e.Tenant, e.Destination} {
		p = binary.AppendVarint(p, int64(n))
	}
	p = binary.AppendVarint(p, e.Deadline.UnixMicro())
	p = flag(p, e.Again)
	p = text(p, string(e.Body))
	if e.seq > 0 {
		p = binary.AppendUvarint(p, e.seq)
	}
	return p
}

func forwardRecord(num control.MessageID, s sent) []byte {
	p := binary.AppendUvarint(payload(recForward, num), uint64(s.attempt))
	p = binary.AppendVarint(binary.AppendVarint(p, s.at.UnixMicro()), int64(s.zone))
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

func noticeRecord(n *Notice) []byte {
	form := uint64(0)
	bit := func(b uint64, on bool) {
		if on {
			form |= b
		}
	}
	bit(formDeferred, n.Deferred)
	if k := n.Kept; k != nil {
		form |= formKept
		bit(formDelivered, k.Delivered)
		bit(formOver, k.Over)
		bit(formClients, k.Deferred)
	}
	p := binary.AppendUvarint(payload(recNotice, n.Num), form)
	p = binary.AppendVarint(p, n.Again.Milliseconds())
	if n.Kept != nil {
		p = binary.AppendVarint(text(p, n.Kept.Reason), n.Kept.At.UnixMicro())
	}
	return p
}

// encode writes all that is owed, in the order of the numbers. The count of
// attempts is told by a spared record where the last one never ran.
func encode(t *table) []byte {
	var buf []byte
	for _, e := range t.ordered() {
		buf = appendEntry(buf, e)
	}
	return buf
}

// appendEntry writes all that is known of one message.
func appendEntry(buf []byte, e *entry) []byte {
	buf = record(buf, takeRecord(e))
	for _, s := range e.ran {
		buf = record(buf, forwardRecord(e.num, s))
	}
	if e.sends > 0 {
		buf = record(buf, sparedRecord(e.num, e.sends-1+spareOffset))
	}
	if e.notice != nil {
		buf = record(buf, noticeRecord(e.notice))
	}
	return buf
}

// spareOffset marks a spared record that only counts attempts.
const spareOffset = 1 << 20

// flush writes what was added. It rewrites the file first if that would take
// it over its part of the limit; the table holds the added records already.
func (j *journal) flush(t *table) error {
	if j.nowhere {
		j.buf = j.buf[:0]
	}
	if len(j.buf) == 0 && !j.dirty {
		return nil
	}
	if j.dirty || j.size+int64(len(j.buf)) > j.limit*3/5 {
		return j.rewrite(t)
	}
	n, err := j.file.Write(j.buf)
	j.size += int64(n)
	j.buf = j.buf[:0]
	if err != nil {
		j.dirty = true
		return fmt.Errorf("journal: %w", err)
	}
	return nil
}

// rewrite puts a file with only what is owed in the place of the old one. The
// added records are in it, as the table holds their effects.
func (j *journal) rewrite(t *table) error {
	j.buf, j.dirty = j.buf[:0], true
	live := encode(t)
	if int64(len(live))+j.size > j.limit {
		return ErrFull
	}
	name := filepath.Join(j.dir, freshName)
	f, err := os.Create(name)
	if err != nil {
		return fmt.Errorf("journal: %w", err)
	}
	if _, err = f.Write(live); err == nil {
		err = os.Rename(name, filepath.Join(j.dir, journalName))
	}
	if err != nil {
		f.Close()
		os.Remove(name) // a file half written must not count against the limit
		return fmt.Errorf("journal: %w", err)
	}
	if j.file != nil {
		j.file.Close()
	}
	j.file, j.size, j.dirty = f, int64(len(live)), false
	return nil
}

// openJournal reads the folder's journal and starts a fresh one from what is owed.
func openJournal(dir string, limit int64, log *slog.Logger) (*journal, *table, error) {
	// A process killed while rewriting leaves a half-written file: the old one still holds.
	os.Remove(filepath.Join(dir, freshName))
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, nil, fmt.Errorf("journal: %w", err)
	}
	t, err := readJournal(dir, log)
	if err != nil {
		return nil, nil, err
	}
	j := &journal{dir: dir, limit: limit - 2*blockUnit}
	if info, err := os.Stat(filepath.Join(dir, journalName)); err == nil {
		j.size = info.Size()
	}
	if err := j.rewrite(t); err == nil {
		return j, t, nil
	} else if j.size == 0 {
		return nil, nil, err
	} else {
		log.Warn("journal can't be rewritten, appending", "err", err)
	}
	j.file, err = os.OpenFile(filepath.Join(dir, journalName), os.O_WRONLY|os.O_APPEND, 0)
	return j, t, err
}

// readJournal reads what a folder's journal tells is owed.
func readJournal(dir string, log *slog.Logger) (*table, error) {
	data, err := os.ReadFile(filepath.Join(dir, journalName))
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, fmt.Errorf("journal: %w", err)
	}
	t := newTable()
	bad := replay(data, t)
	if bad > 0 {
		log.Warn("journal damaged or torn; kept what reads", "bytes", len(data), "unread", bad)
	}
	return t, nil
}

// replay applies the records that read and returns the bytes that don't. A
// damaged record hides none of those after it: reading goes on at the next mark.
// What it told is not known, so each message open then may have had a forward.
// A torn tail is no such case: what it tells had not been acted on.
func replay(data []byte, t *table) (bad int) {
	damaged := false
	for len(data) > 0 {
		if n := intact(data); n > 0 && apply(data[headLen:n], t) {
			if damaged {
				doubt(t)
			}
			damaged = false
			data = data[n:]
			continue
		}
		damaged = true
		skip := len(data)
		if i := bytes.Index(data[1:], mark); i >= 0 {
			skip = 1 + i
		}
		bad += skip
		data = data[skip:]
	}
	return bad
}

// doubt notes for each open message a forward at an unknown time.
func doubt(t *table) {
	for _, e := range t.entries {
		if e.notice == nil {
			e.ran = append(e.ran, sent{attempt: e.sends, at: time.Unix(0, 0)})
			e.sends++
		}
	}
}

// intact returns the length of the record that the data starts with, or 0.
func intact(data []byte) int {
	if len(data) < headLen || !bytes.Equal(data[:len(mark)], mark) {
		return 0
	}
	n := int(binary.LittleEndian.Uint32(data[4:]))
	if n == 0 || n > maxRecord || n > len(data)-headLen {
		return 0
	}
	if crc32.ChecksumIEEE(data[headLen:headLen+n]) != binary.LittleEndian.Uint32(data[8:]) {
		return 0
	}
	return headLen + n
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
		m.Deadline = time.UnixMicro(s.number())
		m.Again = s.count() == 1
		m.Body = []byte(s.text())
		seq := uint64(0)
		if len(s.rest) > 0 {
			seq = s.count()
		}
		if !s.bad && e == nil {
			t.add(&entry{Message: m, num: num, answered: true, seq: seq})
		}
	case recForward:
		f := sent{attempt: int(s.count()), at: time.UnixMicro(s.number()), zone: int(s.number())}
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
		n := Notice{Num: num, Deferred: form&formDeferred != 0, Again: time.Duration(s.number()) * time.Millisecond}
		if form&formKept != 0 {
			n.Kept = &Parting{
				Num: num, Reason: s.text(), At: time.UnixMicro(s.number()),
				Delivered: form&formDelivered != 0, Over: form&formOver != 0, Deferred: form&formClients != 0,
			}
		}
		if !s.bad && e != nil && e.notice == nil {
			n.ID = e.ID
			e.parting = n.Kept
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
	Forwards    int
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

func (n *Notice) status() string {
	if n.Deferred {
		return "deferred"
	}
	return "undeliverable"
}
