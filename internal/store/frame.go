package store

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
)

// A segment begins with a head: its magic, the format's version, and its number.
// Then frames follow one another: a mark, the length of the payload, its CRC-32C
// (Castagnoli, as in RFC 3720 appendix B.4), and the payload. A frame is one batch:
// it is read whole or not at all, and so a batch is atomic. All numbers are little
// endian or varints.
const (
	format    = 1
	headLen   = 24
	frameHead = 12
	frameMost = 4 << 20
)

var (
	magic    = []byte("cleatlog")
	mark     = []byte{0xd7, 0x1c, 0xea, 0x70}
	castle   = crc32.MakeTable(crc32.Castagnoli)
	errShort = errors.New("it ends in the middle")
)

// ErrNewer tells of a file in a format that this program does not know.
var ErrNewer = errors.New("store: written by a newer program")

// Kind says what a record does to its entity.
type Kind uint8

// The kinds.
const (
	Put  Kind = iota // something more of it
	End              // nothing of it is needed any more
	Base             // what it was before is not needed any more; this and what follows is

	// seal tells of a segment, by its number, that nothing lies in it from an offset on:
	// an append that was cut short, and not promised.
	seal
)

// Record is one entry of the log. An entity is whatever has a life of its own: a
// message, a held record, a line of an audit trail.
type Record struct {
	Entity uint64
	Kind   Kind
	LSN    uint64 // its place in the order of all; given by the store
	Time   int64  // Unix time in microseconds, for the index
	Dest   int64  // destination, for the index
	Key    string // for the index; may be empty
	Data   []byte
}

// size is about what a record takes on disk.
func (r *Record) size() int64 { return int64(len(r.Data)+len(r.Key)) + recordOver }

// recordOver is what a record takes besides key and data, at most.
const recordOver = 32

func segmentHead(number uint64) []byte {
	b := make([]byte, 0, headLen)
	b = append(b, magic...)
	b = binary.LittleEndian.AppendUint32(b, format)
	b = binary.LittleEndian.AppendUint64(b, number)
	return append(b, crcOf(b)...)
}

// readHead checks a segment's head.
func readHead(b []byte) (number uint64, err error) {
	switch {
	case len(b) < headLen:
		return 0, errShort
	case string(b[:8]) != string(magic):
		return 0, errors.New("not a segment")
	case binary.LittleEndian.Uint32(b[20:]) != crc32.Checksum(b[:20], castle):
		return 0, errors.New("its head is damaged")
	}
	if v := binary.LittleEndian.Uint32(b[8:]); v != format {
		return 0, fmt.Errorf("%w: format %d, known is %d", ErrNewer, v, format)
	}
	return binary.LittleEndian.Uint64(b[12:]), nil
}

// frame appends a batch as one frame.
func frame(to []byte, batch []Record) []byte {
	at := len(to)
	to = append(to, mark...)
	to = append(to, make([]byte, 8)...)
	for i := range batch {
		r := &batch[i]
		to = binary.AppendUvarint(to, r.LSN)
		to = binary.AppendUvarint(to, r.Entity)
		to = append(to, byte(r.Kind))
		to = binary.AppendVarint(to, r.Time)
		to = binary.AppendVarint(to, r.Dest)
		to = binary.AppendUvarint(to, uint64(len(r.Key)))
		to = append(to, r.Key...)
		to = binary.AppendUvarint(to, uint64(len(r.Data)))
		to = append(to, r.Data...)
	}
	payload := to[at+frameHead:]
	binary.LittleEndian.PutUint32(to[at+4:], uint32(len(payload)))
	binary.LittleEndian.PutUint32(to[at+8:], crc32.Checksum(payload, castle))
	return to
}

// errFrame tells of bytes that are no whole frame.
var errFrame = errors.New("no frame")

// readFrame reads the frame at the start of some bytes. Its records hold on to them.
func readFrame(b []byte) (batch []Record, length int, err error) {
	if len(b) < frameHead {
		return nil, 0, errShort
	}
	if string(b[:4]) != string(mark) {
		return nil, 0, errFrame
	}
	n := int(binary.LittleEndian.Uint32(b[4:]))
	if n > frameMost || n == 0 {
		return nil, 0, errFrame
	}
	if len(b) < frameHead+n {
		return nil, 0, errShort
	}
	payload := b[frameHead : frameHead+n]
	if crc32.Checksum(payload, castle) != binary.LittleEndian.Uint32(b[8:]) {
		return nil, 0, errFrame
	}
	c := cursor{b: payload}
	for len(c.b) > 0 && !c.bad {
		r := Record{LSN: c.uvarint(), Entity: c.uvarint(), Kind: Kind(c.byte()), Time: c.varint(), Dest: c.varint()}
		r.Key = string(c.bytes())
		r.Data = c.bytes()
		batch = append(batch, r)
	}
	if c.bad {
		return nil, 0, errFrame
	}
	return batch, frameHead + n, nil
}

// A cursor reads values; one that is not whole makes it bad.
type cursor struct {
	b   []byte
	bad bool
}

func (c *cursor) skip(n int) {
	if n <= 0 || n > len(c.b) {
		c.bad, c.b = true, nil
		return
	}
	c.b = c.b[n:]
}

func (c *cursor) uvarint() uint64 {
	v, n := binary.Uvarint(c.b)
	c.skip(n)
	return v
}

func (c *cursor) varint() int64 {
	v, n := binary.Varint(c.b)
	c.skip(n)
	return v
}

func (c *cursor) byte() byte {
	if len(c.b) == 0 {
		c.bad = true
		return 0
	}
	v := c.b[0]
	c.b = c.b[1:]
	return v
}

func (c *cursor) bytes() []byte {
	n := c.uvarint()
	if n > uint64(len(c.b)) {
		c.bad, c.b = true, nil
		return nil
	}
	v := c.b[:n:n]
	c.b = c.b[n:]
	return v
}

// crcOf is a checksum as it is written.
func crcOf(b []byte) []byte { return binary.LittleEndian.AppendUint32(nil, crc32.Checksum(b, castle)) }
