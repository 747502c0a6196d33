package deadletter

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"hash/crc32"

	"cleathold/internal/state"
)

// Each value of the store is framed by itself, so that it can be told whole, or
// found again in the raw file where the way to it is damaged: a mark, a kind, the
// number and revision of its record, the length and checksum of what follows.

const (
	frameHeaderSize = 4 + 1 + 8 + 8 + 4 + 4
	maxPayload      = state.MaxBody + 1<<18 // a record's history and names are far smaller

	kindRecord = 'R'
	kindBody   = 'B'
)

var frameMark = []byte{0xc1, 0xea, 0x7d, 0x48}

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// frame wraps what is kept of a record.
func frame(kind byte, seq, rev uint64, payload []byte) []byte {
	to := make([]byte, 0, frameHeaderSize+len(payload))
	to = append(append(to, frameMark...), kind)
	to = binary.BigEndian.AppendUint64(to, seq)
	to = binary.BigEndian.AppendUint64(to, rev)
	to = binary.BigEndian.AppendUint32(to, uint32(len(payload)))
	to = binary.BigEndian.AppendUint32(to, frameSum(to, payload))
	return append(to, payload...)
}

// frameSum covers the head, up to the sum itself, and the payload.
func frameSum(head, payload []byte) uint32 {
	return crc32.Update(crc32.Checksum(head[:frameHeaderSize-4], castagnoli), castagnoli, payload)
}

// A framed is a frame taken apart.
type framed struct {
	kind     byte
	seq, rev uint64
	payload  []byte
	size     int // of the frame
}

// unframe reads the frame that data starts with, or tells that there is none whole.
func unframe(data []byte) (framed, bool) {
	if len(data) < frameHeaderSize || !bytes.Equal(data[:4], frameMark) {
		return framed{}, false
	}
	n := int(binary.BigEndian.Uint32(data[21:]))
	if n > maxPayload || n > len(data)-frameHeaderSize {
		return framed{}, false
	}
	p := framed{data[4], binary.BigEndian.Uint64(data[5:]), binary.BigEndian.Uint64(data[13:]), data[frameHeaderSize : frameHeaderSize+n], frameHeaderSize + n}
	return p, frameSum(data, p.payload) == binary.BigEndian.Uint32(data[25:])
}

// encode and decode turn a record into a payload and back. Its number and
// revision are the frame's.
func encode(r *Record) ([]byte, error) { return json.Marshal(r) }

func decode(p framed) (Record, bool) {
	var r Record
	if p.kind != kindRecord || json.Unmarshal(p.payload, &r) != nil {
		return Record{}, false
	}
	r.Sequence, r.Revision = p.seq, p.rev
	return r, true
}

func encodeUint(n uint64) []byte { return binary.BigEndian.AppendUint64(nil, n) }

// encodeInt keeps the order of whole numbers, those below zero first.
func encodeInt(n int) []byte { return encodeUint(uint64(int64(n)) ^ 1<<63) }

// encodeName ends a name in a key, so that no name is the start of another.
func encodeName(s string) []byte { return append([]byte(s), 0) }

func join(parts ...[]byte) []byte { return bytes.Join(parts, nil) }
