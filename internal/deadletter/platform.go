package deadletter

import (
	"slices"

	"cleathold/control"
	"cleathold/internal/redelivery"
)

// Names are the names of classes and tenants by their numbers.
type Names struct{ Classes, Tenants []string }

// nameAt returns the name with a number, or nothing.
func nameAt(list []string, i int) string {
	if i < 0 || i >= len(list) {
		return ""
	}
	return list[i]
}

// platformSettings are the platform's settings as far as the queue needs them. They are immutable.
type platformSettings struct {
	Names
	numbers map[string]int // current numbers of the classes by name
	rules   ClassRules
	control control.Settings
}

// classNumber returns the number of a class; of one that is no longer in the settings the last that it had.
func (p *platformSettings) classNumber(class string) int {
	if n, known := p.numbers[class]; known {
		return n
	}
	for n, name := range slices.Backward(p.Classes) {
		if name == class {
			return n
		}
	}
	return 0
}

// ClassesChanged takes new classes: the names of all since the start by number, the current numbers, and the settings.
func (q *Queue) ClassesChanged(names []string, numbers map[string]int, platform control.Settings) {
	q.setPlatform(names, numbers, platform)
	q.mu.Lock()
	defer q.mu.Unlock()
	q.planner.SetLimits(q.limits())
}

// TenantsChanged takes the names of tenants by number. Earlier numbers stay.
func (q *Queue) TenantsChanged(names []string) {
	for {
		old := q.platform.Load()
		updated := *old
		updated.Tenants = names
		if q.platform.CompareAndSwap(old, &updated) { // the event loop may change the classes meanwhile
			return
		}
	}
}

// setPlatform replaces the classes and settings, and leaves the tenants.
func (q *Queue) setPlatform(names []string, numbers map[string]int, platform control.Settings) {
	old := q.platform.Load()
	updated := &platformSettings{
		Names: Names{Classes: names, Tenants: old.Tenants}, numbers: numbers, control: platform,
		rules: ClassRules{Classes: map[string]control.Class{}, MaxAttempts: platform.MaxAttempts},
	}
	for i, name := range names {
		if n, known := numbers[name]; known {
			i = n
		}
		if i < len(platform.Classes) { // a former class keeps its rules for its records
			updated.rules.Classes[name] = platform.Classes[i]
		}
	}
	if !q.platform.CompareAndSwap(old, updated) { // the tenants have changed meanwhile
		q.setPlatform(names, numbers, platform)
	}
}

// limits returns the limits of redelivery by the current settings.
func (q *Queue) limits() redelivery.Limits {
	platform := &q.platform.Load().control
	return redelivery.Limits{
		FleetSize: platform.FleetSize, ColdCapacity: platform.ColdCapacity, WarmUp: platform.WarmUp,
		OverloadFactor: platform.OverloadFactor, OverloadWindow: platform.OverloadWindow,
		CapacityShare: q.settings.Resend.Share, MaxInFlight: q.settings.Resend.MaxOut,
	}
}
