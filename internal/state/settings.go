package state

import (
	"errors"

	"cleathold/control"
)

// ErrTooManyClasses is the error of new settings that would exceed the maximum number of classes that one process can
// hold.
var ErrTooManyClasses = errors.New("too many classes since the start; restart the sender to begin anew")

// UpdateSettings is the event that replaces the settings of a running loop. Classes holds the classes of the new
// settings with their names.
type UpdateSettings struct {
	Settings control.Settings
	Classes  []NamedClass
	Done     chan<- SettingsResult // has room for one result, so that sending does not block
}

func (e UpdateSettings) apply(l *Loop) { e.Done <- l.updateSettings(e) }

// SettingsResult holds the numbers of the classes now in force by name. If the old settings stay in force, Err is the
// reason: ErrTooManyClasses, ErrHandedOver or an error of the controller.
type SettingsResult struct {
	Numbers map[string]int
	Classes []control.Class // by number, including those of earlier settings
	Err     error
}

// updateSettings applies the new settings completely or not at all.
func (l *Loop) updateSettings(u UpdateSettings) SettingsResult {
	if len(l.table.classes.list)+len(u.Classes) > maxClasses {
		return SettingsResult{Err: ErrTooManyClasses}
	}
	registry := &classRegistry{list: l.table.classes.list, records: l.table.classes.records}
	numbers := make(map[string]int, len(u.Classes))
	for _, c := range u.Classes {
		numbers[c.Name] = registry.numberOf(c)
	}
	settings := u.Settings
	settings.Classes = registry.classes()
	if err := l.controller.UpdateSettings(l.sinceStart(), settings); err != nil {
		return SettingsResult{Err: err}
	}
	l.table.classes = registry
	settings.Kinds = l.settings.Kinds
	l.settings = settings
	l.notifyClasses(numbers)
	l.reviewList() // its times depend on the settings
	return SettingsResult{Numbers: numbers, Classes: settings.Classes}
}

// notifyClasses passes the names of all classes by number to the dead-letter queue, and the numbers of the classes that
// the current settings name.
func (l *Loop) notifyClasses(current map[string]int) {
	if l.deadLetterQueue != nil {
		l.deadLetterQueue.ClassesChanged(l.table.classes.names(), current, l.settings)
	}
}
