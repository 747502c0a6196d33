package state

import (
	"encoding/binary"
	"errors"
	"math"
	"time"

	"cleathold/control"
)

// A message keeps the class that it came with: when the settings change under it, and over a restart with
// other settings. So classes are numbered by name and figures, a number is never given to another one, and
// the journal's record of a message holds its class whole.

// maxClasses bounds the classes that one process comes to know: settings may change all day.
const maxClasses = 1024

var (
	errTooManyClasses = errors.New("too many classes since the start; restart the sender to begin anew")
	errHandedOver     = errors.New("another process has taken over")
	errLogIncomplete  = errors.New("the journal can't be written")
)

// A NamedClass is a class as the settings name it.
type NamedClass struct {
	Name string
	control.Class
}

// classRegistry numbers classes.
type classRegistry struct {
	list    []NamedClass
	records []string // as they stand in the journal
}

// numberOf returns the number of a class, a new one if it is not known.
func (b *classRegistry) numberOf(c NamedClass) int {
	for i, known := range b.list {
		if known == c {
			return i
		}
	}
	b.list = append(b.list, c)
	b.records = append(b.records, string(classRecord(c)))
	return len(b.list) - 1
}

// record is a class as it stands in the journal; nothing for a number that is not known.
func (b *classRegistry) record(number int) string {
	if number < 0 || number >= len(b.records) {
		return ""
	}
	return b.records[number]
}

// classes lists them as the controller wants them.
func (b *classRegistry) classes() []control.Class {
	list := make([]control.Class, len(b.list))
	for i, c := range b.list {
		list[i] = c.Class
	}
	return list
}

// The bits of a class's record.
const (
	classKeyZoneScoped = 1 << iota
	classOrdered
	classStreaming
)

func classRecord(c NamedClass) []byte {
	p := appendText(nil, c.Name)
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

// class reads such a record; one that makes no sense is a misfit.
func (s *decoder) class() NamedClass {
	c := NamedClass{Name: s.text()}
	c.Idempotency = control.Idempotency(s.octet())
	bits := s.octet()
	c.KeyZoneScoped, c.Ordered, c.Streaming = bits&classKeyZoneScoped != 0, bits&classOrdered != 0, bits&classStreaming != 0
	for _, d := range []*time.Duration{&c.LatencyObjective, &c.Deadline, &c.KeyRetention} {
		*d = time.Duration(s.varint())
	}
	for _, v := range []*float64{&c.ObjectiveStretch, &c.PriorityWeight, &c.LateWeight} {
		*v = s.float()
	}
	s.malformed = s.malformed || c.Idempotency > control.NotIdempotent || c.Deadline <= 0 || c.LatencyObjective < 0 || c.KeyRetention < 0
	return c
}

func (s *decoder) octet() byte {
	if len(s.rest) < 1 {
		s.malformed, s.rest = true, nil
		return 0
	}
	v := s.rest[0]
	s.rest = s.rest[1:]
	return v
}

func (s *decoder) float() float64 {
	if len(s.rest) < 8 {
		s.malformed, s.rest = true, nil
		return 0
	}
	v := math.Float64frombits(binary.LittleEndian.Uint64(s.rest))
	s.rest = s.rest[8:]
	if math.IsNaN(v) || math.IsInf(v, 0) {
		s.malformed = true
	}
	return v
}

// UpdateSettings is new settings under way. Classes holds their classes with names.
type UpdateSettings struct {
	Settings control.Settings
	Classes  []NamedClass
	Done     chan<- SettingsResult // takes one without blocking
}

// SettingsResult tells the numbers of the classes that hold now, by name, or why the old settings stay.
type SettingsResult struct {
	Numbers map[string]int
	Classes []control.Class // by number, those of before included
	Err     error
}

// updateSettings takes new settings, or none of them.
func (l *Loop) updateSettings(r UpdateSettings) {
	if len(l.table.classes.list)+len(r.Classes) > maxClasses {
		r.Done <- SettingsResult{Err: errTooManyClasses}
		return
	}
	book := &classRegistry{list: l.table.classes.list, records: l.table.classes.records}
	numbers := make(map[string]int, len(r.Classes))
	for _, c := range r.Classes {
		numbers[c.Name] = book.numberOf(c)
	}
	r.Settings.Classes = book.classes()
	if err := l.controller.UpdateSettings(l.sinceStart(), r.Settings); err != nil {
		r.Done <- SettingsResult{Err: err}
		return
	}
	l.table.classes = book
	set := r.Settings
	set.Kinds = l.settings.Kinds
	l.settings = set
	l.notifyClasses(numbers)
	r.Done <- SettingsResult{Numbers: numbers, Classes: set.Classes}
}
