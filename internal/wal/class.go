package wal

import (
	"encoding/binary"
	"math"
	"time"

	"cleathold/control"
)

// NamedClass is a message class together with its name in the settings.
type NamedClass struct {
	Name string
	control.Class
}

// Bits of the flags byte in an encoded class.
const (
	classKeyZoneScoped = 1 << iota
	classOrdered
	classStreaming
)

// EncodeClass returns the encoding of a class that is stored in the record of an accepted message.
func EncodeClass(c NamedClass) []byte {
	p := appendString(nil, c.Name)
	bits := byte(0)
	for _, f := range []struct {
		on  bool
		bit byte
	}{{c.KeyZoneScoped, classKeyZoneScoped}, {c.Ordered, classOrdered}, {c.Streaming, classStreaming}} {
		if f.on {
			bits |= f.bit
		}
	}
	p = append(p, byte(c.Idempotency), bits)
	for _, d := range []time.Duration{c.LatencyObjective, c.Deadline, c.KeyRetention} {
		p = binary.AppendVarint(p, int64(d))
	}
	for _, v := range []float64{c.ObjectiveStretch, c.PriorityWeight, c.LateWeight} {
		p = binary.LittleEndian.AppendUint64(p, math.Float64bits(v))
	}
	return p
}

// class decodes what EncodeClass returns. It sets malformed if a value is out of range.
func (d *decoder) class() NamedClass {
	c := NamedClass{Name: d.string()}
	c.Idempotency = control.Idempotency(d.octet())
	bits := d.octet()
	c.KeyZoneScoped, c.Ordered, c.Streaming = bits&classKeyZoneScoped != 0, bits&classOrdered != 0,
		bits&classStreaming != 0
	for _, duration := range []*time.Duration{&c.LatencyObjective, &c.Deadline, &c.KeyRetention} {
		*duration = time.Duration(d.varint())
	}
	for _, v := range []*float64{&c.ObjectiveStretch, &c.PriorityWeight, &c.LateWeight} {
		*v = d.float()
	}
	d.malformed = d.malformed || c.Idempotency > control.NotIdempotent || c.Deadline <= 0 || c.LatencyObjective < 0 ||
		c.KeyRetention < 0
	return c
}
