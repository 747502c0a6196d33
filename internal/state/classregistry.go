package state

import (
	"cleathold/control"
	"cleathold/internal/wal"
)

// maxClasses bounds the classes that one process comes to know: settings may change all day.
const maxClasses = 1024

// NamedClass is a class as the settings name it.
type NamedClass = wal.NamedClass

// classRegistry numbers classes. A message keeps the class that it came with: when the settings change under it, and
// over a restart with other settings. So classes are numbered by name and figures, a number is never given to another
// one, and the log's record of a message holds its class whole.
type classRegistry struct {
	list    []NamedClass
	records []string // as they stand in the log
}

// numberOf returns the number of a class, a new one if it is not known.
func (r *classRegistry) numberOf(c NamedClass) int {
	for i, known := range r.list {
		if known == c {
			return i
		}
	}
	r.add(c)
	return len(r.list) - 1
}

// add gives a class the next number, even if it is known by another.
func (r *classRegistry) add(c NamedClass) {
	r.list = append(r.list, c)
	r.records = append(r.records, string(wal.EncodeClass(c)))
}

// record is a class as it stands in the log; nothing for a number that is not known.
func (r *classRegistry) record(number int) string {
	if number < 0 || number >= len(r.records) {
		return ""
	}
	return r.records[number]
}

// classes lists them as the controller wants them.
func (r *classRegistry) classes() []control.Class {
	list := make([]control.Class, len(r.list))
	for i, c := range r.list {
		list[i] = c.Class
	}
	return list
}

// names lists their names.
func (r *classRegistry) names() []string {
	list := make([]string, len(r.list))
	for i, c := range r.list {
		list[i] = c.Name
	}
	return list
}
