package deadletter

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"hash/crc32"

	"cleathold/internal/state"
)

// Records and bodies are stored in frames: a magic number, a kind, the sequence number and revision of the record, the
// length of the payload, a checksum, and the payload. The checksum reveals damage. The magic number makes it possible
// to find frames in the raw file if the B+ tree that refers to them is damaged. Sizes are in bytes.

const (
	frameHeaderSize = 4 + 1 + 8 + 8 + 4 + 4
	maxPayload      = state.MaxBody + 1<<18 // far more than the history and names of a record need

	kindRecord = 'R'
	kindBody   = 'B'
)

var frameMagic = []byte{0xc1, 0xea, 0x7d, 0x48}

var castagnoliTable = crc32.MakeTable(crc32.Castagnoli)

// frame returns the frame of a payload.
func frame(kind byte, seq, revision uint64, payload []byte) []byte {
	buf := make([]byte, 0, frameHeaderSize+len(payload))
	buf = append(append(buf, frameMagic...), kind)
	buf = binary.BigEndian.AppendUint64(buf, seq)
	buf = binary.BigEndian.AppendUint64(buf, revision)
	buf = binary.BigEndian.AppendUint32(buf, uint32(len(payload)))
	buf = binary.BigEndian.AppendUint32(buf, frameSum(buf, payload))
	return append(buf, payload...)
}

// frameSum returns the checksum of the header fields before the checksum, and of the payload.
func frameSum(header, payload []byte) uint32 {
	return crc32.Update(crc32.Checksum(header[:frameHeaderSize-4], castagnoliTable), castagnoliTable, payload)
}

// decodedFrame is a decoded frame.
type decodedFrame struct {
	kind          byte
	seq, revision uint64
	payload       []byte
	size          int // size of the whole frame
}

// unframe decodes the frame at the start of data. It returns false if there is no intact frame.
func unframe(data []byte) (decodedFrame, bool) {
	if len(data) < frameHeaderSize || !bytes.Equal(data[:4], frameMagic) {
		return decodedFrame{}, false
	}
	n := int(binary.BigEndian.Uint32(data[21:]))
	if n > maxPayload || n > len(data)-frameHeaderSize {
		return decodedFrame{}, false
	}
	p := decodedFrame{data[4], binary.BigEndian.Uint64(data[5:]), binary.BigEndian.Uint64(data[13:]),
		data[frameHeaderSize : frameHeaderSize+n], frameHeaderSize + n}
	return p, frameSum(data, p.payload) == binary.BigEndian.Uint32(data[25:])
}

// encode returns the payload of a record frame.
func encode(r *Record) ([]byte, error) { return json.Marshal(r) }

// decode returns the record in a frame, with the sequence number and revision of the frame.
func decode(p decodedFrame) (Record, bool) {
	var r Record
	if p.kind != kindRecord || json.Unmarshal(p.payload, &r) != nil {
		return Record{}, false
	}
	r.Sequence, r.Revision = p.seq, p.revision
	return r, true
}

// encodeUint encodes an unsigned number for use in a key.
func encodeUint(n uint64) []byte { return binary.BigEndian.AppendUint64(nil, n) }

// encodeInt encodes a signed number for use in a key. The order of the keys is that of the numbers.
func encodeInt(n int) []byte { return encodeUint(uint64(int64(n)) ^ 1<<63) }

// encodeName encodes a name for use in a key. A terminating zero byte prevents one name from being a prefix of another.
func encodeName(s string) []byte { return append([]byte(s), 0) }

// joinKey concatenates the parts of a key.
func joinKey(parts ...[]byte) []byte { return bytes.Join(parts, nil) }

// decodeInt decodes a number encoded by encodeInt.
func decodeInt(b []byte) int { return int(int64(binary.BigEndian.Uint64(b) ^ 1<<63)) }
