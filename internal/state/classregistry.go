package state

import (
	"cleathold/control"
	"cleathold/internal/wal"
)

// maxClasses is the maximum number of classes that one process holds. Without it, frequent changes of the settings
// would add classes without bound.
const maxClasses = 1024

// NamedClass is a class with its name in the settings.
type NamedClass = wal.NamedClass

// classRegistry assigns numbers to classes. A message keeps the class with which it was accepted, even when the
// settings change or the sender restarts with other settings. Therefore a class is identified by its name and all its
// values, a number is never reused for another class, and the log's record of a message holds the whole class.
type classRegistry struct {
	list    []NamedClass
	records []string // the classes as encoded in the log
}

// numberOf returns the number of a class, and adds the class if it is not known.
func (r *classRegistry) numberOf(c NamedClass) int {
	for i, known := range r.list {
		if known == c {
			return i
		}
	}
	r.add(c)
	return len(r.list) - 1
}

// add assigns the next number to a class, even if the class is already known under another number.
func (r *classRegistry) add(c NamedClass) {
	r.list = append(r.list, c)
	r.records = append(r.records, string(wal.EncodeClass(c)))
}

// record returns a class as encoded in the log, or "" if the number is not known.
func (r *classRegistry) record(number int) string {
	if number < 0 || number >= len(r.records) {
		return ""
	}
	return r.records[number]
}

// classes returns the classes by number, without their names.
func (r *classRegistry) classes() []control.Class {
	list := make([]control.Class, len(r.list))
	for i, c := range r.list {
		list[i] = c.Class
	}
	return list
}

// names returns the names of the classes by number.
func (r *classRegistry) names() []string {
	list := make([]string, len(r.list))
	for i, c := range r.list {
		list[i] = c.Name
	}
	return list
}
