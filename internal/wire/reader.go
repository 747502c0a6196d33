package wire

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"
)

// Codes of the event types in a frame.
const (
	codeReportBack = 1
	codeExpired    = 2
	codeDiscovery  = 3
	codeDestroy    = 4
	codePong       = 5
	codeFirst      = 6
	codeStart      = 7
	codeWakeup     = 8
	codeJobIn      = 9
	codeCensus     = 10
	codeMemo       = 11

	codeRetune = 128 // an extension for the tests of this project; the simulator never sends it
)

// Batch holds the events of one frame, which all happened at the same time of the simulator's clock.
type Batch struct {
	ClockMs float64 // since the start of the simulation
	Events  []Event
}

// Reader reads batches from a stream.
type Reader struct {
	in     io.Reader
	frames int
	body   bytes.Buffer
}

// NewReader returns a Reader that reads from in.
func NewReader(in io.Reader) *Reader { return &Reader{in: in} }

// Next reads one batch. It returns io.EOF if the stream ends between frames. Any other error contains the number of
// the frame and, if a record cannot be decoded, the offset of the byte within it.
func (r *Reader) Next() (Batch, error) {
	var header [12]byte
	switch _, err := io.ReadFull(r.in, header[:]); {
	case errors.Is(err, io.EOF):
		return Batch{}, io.EOF
	case err != nil:
		return Batch{}, fmt.Errorf("frame %d: header cut off: %v", r.frames, err)
	}
	length := int64(binary.LittleEndian.Uint32(header[:]))
	clock := math.Float64frombits(binary.LittleEndian.Uint64(header[4:]))
	r.body.Reset()
	if n, err := io.CopyN(&r.body, r.in, length); err != nil {
		return Batch{}, fmt.Errorf("frame %d: body cut off at byte %d of %d: %v", r.frames, n, length, err)
	}
	if math.IsNaN(clock) || math.IsInf(clock, 0) {
		return Batch{}, fmt.Errorf("frame %d: the clock is not a finite number", r.frames)
	}
	events, err := decode(r.body.Bytes())
	if err != nil {
		return Batch{}, fmt.Errorf("frame %d: %w", r.frames, err)
	}
	r.frames++
	return Batch{ClockMs: clock, Events: events}, nil
}

// cursor decodes the fields of a frame's body in order. Once a field is truncated, err is set and all further reads
// return zero values.
type cursor struct {
	data []byte
	pos  int
	err  error
}

// take returns the next n bytes. If fewer are left, it returns nil and sets err to an error that names the field.
func (c *cursor) take(n int, field string) []byte {
	if c.err == nil && n > len(c.data)-c.pos {
		c.err = fmt.Errorf("byte %d: %s needs %d bytes, %d left", c.pos, field, n, len(c.data)-c.pos)
	}
	if c.err != nil {
		return nil
	}
	c.pos += n
	return c.data[c.pos-n : c.pos]
}

func (c *cursor) u8(field string) uint8 {
	if b := c.take(1, field); b != nil {
		return b[0]
	}
	return 0
}

func (c *cursor) u16(field string) uint16 {
	if b := c.take(2, field); b != nil {
		return binary.LittleEndian.Uint16(b)
	}
	return 0
}

func (c *cursor) u32(field string) uint32 {
	if b := c.take(4, field); b != nil {
		return binary.LittleEndian.Uint32(b)
	}
	return 0
}

func (c *cursor) u64(field string) uint64 {
	if b := c.take(8, field); b != nil {
		return binary.LittleEndian.Uint64(b)
	}
	return 0
}

func (c *cursor) f32(field string) float32 { return math.Float32frombits(c.u32(field)) }

func (c *cursor) f64(field string) float64 { return math.Float64frombits(c.u64(field)) }

// floats reads a u8 count and that many f32 values.
func (c *cursor) floats(field string) []float32 {
	n := int(c.u8(field))
	if c.err != nil || n == 0 {
		return nil
	}
	raw := c.take(4*n, field)
	if raw == nil {
		return nil
	}
	out := make([]float32, n)
	for i := range out {
		out[i] = math.Float32frombits(binary.LittleEndian.Uint32(raw[4*i:]))
	}
	return out
}

// blob returns a copy of the next n bytes.
func (c *cursor) blob(n int, field string) []byte { return bytes.Clone(c.take(n, field)) }

// decode decodes all records of a frame's body.
func decode(data []byte) ([]Event, error) {
	c := &cursor{data: data}
	var events []Event
	for c.pos < len(data) {
		offset := c.pos
		e := c.event(c.u8("code"))
		if c.err != nil {
			return nil, c.err
		}
		if e == nil {
			return nil, fmt.Errorf("byte %d: unknown event code %d", offset, data[offset])
		}
		events = append(events, e)
	}
	return events, nil
}

// event decodes the fields of a record with the given code. It returns nil if the code is unknown.
func (c *cursor) event(code uint8) Event {
	switch code {
	case codeStart:
		e := Start{Who: c.u16("Start"), Seed: c.u64("Start")}
		e.Settings = c.blob(int(c.u32("Start")), "Start settings")
		return e
	case codeRetune:
		e := Retune{Who: c.u16("Retune")}
		e.Settings = c.blob(int(c.u32("Retune")), "Retune settings")
		return e
	case codeDestroy:
		return Destroy{Who: c.u16("Destroy")}
	case codeCensus:
		return c.census()
	case codeDiscovery:
		return Discovery{c.u16("Discovery"), c.u64("Discovery"), c.u16("Discovery"), c.u8("Discovery")}
	case codeJobIn:
		const w = "JobIn"
		return JobIn{c.u16(w), c.u32(w), c.u16(w), c.f64(w), c.f32(w), c.f64(w), c.u64(w), c.u8(w), c.u32(w)}
	case codeFirst:
		const w = "First"
		return First{c.u16(w), c.u32(w), c.u16(w), c.f64(w), c.u32(w)}
	case codeReportBack:
		const w = "ReportBack"
		return ReportBack{c.u16(w), c.u32(w), c.u16(w), c.u32(w), c.u16(w), c.f64(w), c.u8(w) != 0, c.u32(w),
			c.floats(w)}
	case codeExpired:
		return Expired{c.u16("Expired"), c.u32("Expired")}
	case codeWakeup:
		return Wakeup{c.u16("Wakeup"), c.u32("Wakeup")}
	case codePong:
		const w = "Pong"
		return Pong{c.u16(w), c.u32(w), c.f64(w), c.u16(w), c.floats(w)}
	case codeMemo:
		e := Memo{Who: c.u16("Memo"), From: c.u32("Memo")}
		e.Blob = c.blob(int(c.u16("Memo")), "Memo")
		return e
	}
	return nil
}

// census decodes a list of endpoints. It checks before it allocates memory that as many entries as the list counts fit
// in the frame.
func (c *cursor) census() Event {
	e := Census{Table: c.u16("Census")}
	n := int64(c.u32("Census"))
	if c.err == nil && n*entrySize > int64(len(c.data)-c.pos) {
		c.err = fmt.Errorf("byte %d: Census counts %d entries, %d bytes left", c.pos, n, len(c.data)-c.pos)
	}
	if c.err != nil {
		return e
	}
	e.Entries = make([]Entry, n)
	for i := range e.Entries {
		const w = "Census entry"
		e.Entries[i] = Entry{c.u32(w), c.u8(w), c.u16(w), c.u16(w), c.u8(w), c.f32(w), c.f64(w)}
	}
	return e
}
