package state

import (
	"errors"

	"cleathold/control"
)

// ErrTooManyClasses is the error of new settings whose classes would pass the bound on those that one process knows.
var ErrTooManyClasses = errors.New("too many classes since the start; restart the sender to begin anew")

// UpdateSettings is new settings under way. Classes holds their classes with names.
type UpdateSettings struct {
	Settings control.Settings
	Classes  []NamedClass
	Done     chan<- SettingsResult // takes one without blocking
}

func (e UpdateSettings) apply(l *Loop) { e.Done <- l.updateSettings(e) }

// SettingsResult tells the numbers of the classes that hold now, by name, or why the old settings stay:
// ErrTooManyClasses, ErrHandedOver or an error of the controller.
type SettingsResult struct {
	Numbers map[string]int
	Classes []control.Class // by number, those of before included
	Err     error
}

// updateSettings takes new settings, or none of them.
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
	return SettingsResult{Numbers: numbers, Classes: settings.Classes}
}

// notifyClasses tells the dead-letter queue how classes are numbered, and which numbers the names of the settings
// have.
func (l *Loop) notifyClasses(current map[string]int) {
	if l.deadLetterQueue != nil {
		l.deadLetterQueue.ClassesChanged(l.table.classes.names(), current, l.settings)
	}
}
