package deadletter

import (
	"slices"

	"cleathold/control"
	"cleathold/internal/redelivery"
)

// Names contains the names of classes and tenants, indexed by their numbers.
type Names struct{ Classes, Tenants []string }

// nameAt returns the name with the given number, or an empty string if there is none.
func nameAt(list []string, i int) string {
	if i < 0 || i >= len(list) {
		return ""
	}
	return list[i]
}

// platformSettings is an immutable copy of the platform settings that the queue needs.
type platformSettings struct {
	Names
	classNumbers map[string]int // current class numbers by name
	rules        ClassRules
	control      control.Settings
}

// classNumber returns the number of a class. For a class that was removed from the settings it returns its last number.
func (p *platformSettings) classNumber(class string) int {
	if n, known := p.classNumbers[class]; known {
		return n
	}
	for n, name := range slices.Backward(p.Classes) {
		if name == class {
			return n
		}
	}
	return 0
}

// ClassesChanged sets the classes: the names of all classes since the start by number, the current numbers by name, and
// the platform settings.
func (q *Queue) ClassesChanged(names []string, numbers map[string]int, platform control.Settings) {
	q.setPlatform(names, numbers, platform)
	q.mu.Lock()
	defer q.mu.Unlock()
	q.planner.SetLimits(q.limits())
}

// TenantsChanged sets the names of the tenants by number. The numbers of known tenants must not change.
func (q *Queue) TenantsChanged(names []string) {
	for {
		old := q.platform.Load()
		updated := *old
		updated.Tenants = names
		if q.platform.CompareAndSwap(old, &updated) { // retry if the event loop has changed the classes concurrently
			return
		}
	}
}

// setPlatform replaces the classes and settings and keeps the tenants.
func (q *Queue) setPlatform(names []string, numbers map[string]int, platform control.Settings) {
	old := q.platform.Load()
	updated := &platformSettings{
		Names: Names{Classes: names, Tenants: old.Tenants}, classNumbers: numbers, control: platform,
		rules: ClassRules{Classes: map[string]control.Class{}, MaxAttempts: platform.MaxAttempts},
	}
	for i, name := range names {
		if n, known := numbers[name]; known {
			i = n
		}
		if i < len(platform.Classes) { // the records of a removed class keep its last rules
			updated.rules.Classes[name] = platform.Classes[i]
		}
	}
	if !q.platform.CompareAndSwap(old, updated) { // the tenants have changed concurrently
		q.setPlatform(names, numbers, platform)
	}
}

// limits returns the redelivery limits of the current settings.
func (q *Queue) limits() redelivery.Limits {
	platform := &q.platform.Load().control
	return redelivery.Limits{
		FleetSize: platform.FleetSize, ColdCapacity: platform.ColdCapacity, WarmUp: platform.WarmUp,
		OverloadFactor: platform.OverloadFactor, OverloadWindow: platform.OverloadWindow,
		CapacityShare: q.settings.Redelivery.Share, MaxInFlight: q.settings.Redelivery.MaxOut,
	}
}
