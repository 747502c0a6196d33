package store

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
)

// A segment starts with a header: magic number, format version, segment number and checksum. The header is followed by
// frames. A frame consists of a magic number, the length of the payload, its CRC-32C (Castagnoli, RFC 3720 appendix
// B.4) and the payload. A frame contains one batch and is read as a whole or not at all, which makes batches atomic.
// Numbers are little-endian or varints. Sizes are in bytes.
const (
	formatVersion     = 1
	segmentHeaderSize = 24
	frameHeaderSize   = 12
	maxFrame          = 4 << 20
)

var (
	segmentMagic = []byte("cleatlog")
	frameMagic   = []byte{0xd7, 0x1c, 0xea, 0x70}
	castagnoli   = crc32.MakeTable(crc32.Castagnoli)
	errTruncated = errors.New("data is truncated")
)

// ErrNewer means that a file has a newer format than this program supports.
var ErrNewer = errors.New("store: written by a newer program")

// Kind is the effect of a record on its entity.
type Kind uint8

// Kinds of records.
const (
	Put     Kind = iota // adds the record to the entity
	End                 // ends the entity, which makes its records dead
	Replace             // replaces the earlier records of the entity, which become dead

	// seal marks the end of valid data in a segment with a truncated append, which was not acknowledged. Entity has the
	// number of the segment and Time the offset of the truncated append.
	seal
)

// Record is an entry of the log. It belongs to an entity, an object to which the caller assigns a unique number, such
// as a message.
type Record struct {
	Entity      uint64
	Kind        Kind
	LSN         uint64 // log sequence number, in the order of all records; set by the store
	Time        int64  // Unix time in microseconds, for the index
	Destination int64  // destination, for the index
	Key         string // for the index; may be empty
	Data        []byte
}

// size returns an upper estimate of the bytes that a record takes on disk.
func (r *Record) size() int64 { return int64(len(r.Data)+len(r.Key)) + recordOverhead }

// recordOverhead is an upper bound on the bytes of an encoded record without its key and data.
const recordOverhead = 32

// encodeSegmentHeader returns the encoded header of a segment.
func encodeSegmentHeader(number uint64) []byte {
	b := make([]byte, 0, segmentHeaderSize)
	b = append(b, segmentMagic...)
	b = binary.LittleEndian.AppendUint32(b, formatVersion)
	b = binary.LittleEndian.AppendUint64(b, number)
	return append(b, encodeChecksum(b)...)
}

// decodeSegmentHeader validates the header of a segment and returns the segment's number.
func decodeSegmentHeader(b []byte) (number uint64, err error) {
	switch {
	case len(b) < segmentHeaderSize:
		return 0, errTruncated
	case string(b[:8]) != string(segmentMagic):
		return 0, errors.New("not a segment file")
	case binary.LittleEndian.Uint32(b[20:]) != crc32.Checksum(b[:20], castagnoli):
		return 0, errors.New("segment header is damaged")
	}
	if v := binary.LittleEndian.Uint32(b[8:]); v != formatVersion {
		return 0, fmt.Errorf("%w: format %d, supported is %d", ErrNewer, v, formatVersion)
	}
	return binary.LittleEndian.Uint64(b[12:]), nil
}

// appendFrame appends a batch to a buffer as one frame.
func appendFrame(buf []byte, batch []Record) []byte {
	start := len(buf)
	buf = append(buf, frameMagic...)
	buf = append(buf, make([]byte, 8)...)
	for i := range batch {
		r := &batch[i]
		buf = binary.AppendUvarint(buf, r.LSN)
		buf = binary.AppendUvarint(buf, r.Entity)
		buf = append(buf, byte(r.Kind))
		buf = binary.AppendVarint(buf, r.Time)
		buf = binary.AppendVarint(buf, r.Destination)
		buf = binary.AppendUvarint(buf, uint64(len(r.Key)))
		buf = append(buf, r.Key...)
		buf = binary.AppendUvarint(buf, uint64(len(r.Data)))
		buf = append(buf, r.Data...)
	}
	payload := buf[start+frameHeaderSize:]
	binary.LittleEndian.PutUint32(buf[start+4:], uint32(len(payload)))
	binary.LittleEndian.PutUint32(buf[start+8:], crc32.Checksum(payload, castagnoli))
	return buf
}

// errInvalidFrame means that the data does not start with an intact frame.
var errInvalidFrame = errors.New("invalid frame")

// decodeFrame decodes the frame at the start of b. The returned records share memory with b.
func decodeFrame(b []byte) (batch []Record, length int, err error) {
	if len(b) < frameHeaderSize {
		return nil, 0, errTruncated
	}
	if string(b[:4]) != string(frameMagic) {
		return nil, 0, errInvalidFrame
	}
	n := int(binary.LittleEndian.Uint32(b[4:]))
	if n > maxFrame || n == 0 {
		return nil, 0, errInvalidFrame
	}
	if len(b) < frameHeaderSize+n {
		return nil, 0, errTruncated
	}
	payload := b[frameHeaderSize : frameHeaderSize+n]
	if crc32.Checksum(payload, castagnoli) != binary.LittleEndian.Uint32(b[8:]) {
		return nil, 0, errInvalidFrame
	}
	d := payloadDecoder{b: payload}
	for len(d.b) > 0 && !d.malformed {
		r := Record{LSN: d.uvarint(), Entity: d.uvarint(), Kind: Kind(d.byte()), Time: d.varint(), Destination: d.varint()}
		r.Key = string(d.bytes())
		r.Data = d.bytes()
		batch = append(batch, r)
	}
	if d.malformed {
		return nil, 0, errInvalidFrame
	}
	return batch, frameHeaderSize + n, nil
}

// payloadDecoder reads values one after another. After a truncated value, malformed is set and all further reads return
// zero values.
type payloadDecoder struct {
	b         []byte
	malformed bool
}

func (d *payloadDecoder) advance(n int) {
	if n <= 0 || n > len(d.b) {
		d.malformed, d.b = true, nil
		return
	}
	d.b = d.b[n:]
}

func (d *payloadDecoder) uvarint() uint64 {
	v, n := binary.Uvarint(d.b)
	d.advance(n)
	return v
}

func (d *payloadDecoder) varint() int64 {
	v, n := binary.Varint(d.b)
	d.advance(n)
	return v
}

func (d *payloadDecoder) byte() byte {
	if len(d.b) == 0 {
		d.malformed = true
		return 0
	}
	v := d.b[0]
	d.b = d.b[1:]
	return v
}

func (d *payloadDecoder) bytes() []byte {
	n := d.uvarint()
	if n > uint64(len(d.b)) {
		d.malformed, d.b = true, nil
		return nil
	}
	v := d.b[:n:n]
	d.b = d.b[n:]
	return v
}

// encodeChecksum returns the encoded checksum of b.
func encodeChecksum(b []byte) []byte {
	return binary.LittleEndian.AppendUint32(nil, crc32.Checksum(b, castagnoli))
}
