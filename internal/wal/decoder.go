package wal

import (
	"encoding/binary"
	"math"
)

// decoder reads the fields of a record one after another. After the first field that can't be decoded, malformed is set
// and all further reads return zero values.
type decoder struct {
	remaining []byte
	malformed bool
}

func (d *decoder) fail() {
	d.malformed, d.remaining = true, nil
}

func (d *decoder) varint() int64 {
	v, n := binary.Varint(d.remaining)
	return int64(d.advance(uint64(v), n))
}

func (d *decoder) uvarint() uint64 {
	v, n := binary.Uvarint(d.remaining)
	return d.advance(v, n)
}

// advance skips the n bytes of a varint and returns its value. If n is not positive, the varint was invalid.
func (d *decoder) advance(v uint64, n int) uint64 {
	if n <= 0 {
		d.fail()
		return 0
	}
	d.remaining = d.remaining[n:]
	return v
}

func (d *decoder) string() string {
	n := d.uvarint()
	if n > uint64(len(d.remaining)) {
		d.fail()
		return ""
	}
	v := string(d.remaining[:n])
	d.remaining = d.remaining[n:]
	return v
}

func (d *decoder) octet() byte {
	if len(d.remaining) < 1 {
		d.fail()
		return 0
	}
	v := d.remaining[0]
	d.remaining = d.remaining[1:]
	return v
}

func (d *decoder) float() float64 {
	if len(d.remaining) < 8 {
		d.fail()
		return 0
	}
	v := math.Float64frombits(binary.LittleEndian.Uint64(d.remaining))
	d.remaining = d.remaining[8:]
	if math.IsNaN(v) || math.IsInf(v, 0) {
		d.malformed = true
	}
	return v
}
