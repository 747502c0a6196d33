package deadletter

import (
	"slices"

	"cleathold/control"
	"cleathold/internal/redelivery"
)

// Names are the words for what the loop numbers.
type Names struct{ Classes, Tenants []string }

func nameAt(list []string, i int) string {
	if i < 0 || i >= len(list) {
		return ""
	}
	return list[i]
}

// A platformSettings is what a platform's settings say. Nothing in it changes.
type platformSettings struct {
	Names
	numbers map[string]int // which number a class's name has now
	rules   ClassRules
	control control.Settings
}

// classNumber is that of a class by its name; one that the settings have no more keeps the last that it had.
func (v *platformSettings) classNumber(class string) int {
	if n, is := v.numbers[class]; is {
		return n
	}
	for n, name := range slices.Backward(v.Classes) {
		if name == class {
			return n
		}
	}
	return 0
}

// ClassesChanged takes what the settings call classes, and what they say.
func (k *Queue) ClassesChanged(names []string, now map[string]int, set control.Settings) {
	k.setPlatform(names, now, set)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.planner.SetLimits(k.limits())
}

// TenantsChanged takes the names of tenants, by number. Those that were numbered before keep their numbers.
func (k *Queue) TenantsChanged(names []string) {
	for {
		old := k.platform.Load()
		v := *old
		v.Tenants = names
		if k.platform.CompareAndSwap(old, &v) { // the loop may tell of classes meanwhile
			return
		}
	}
}

func (k *Queue) setPlatform(names []string, now map[string]int, set control.Settings) {
	old := k.platform.Load()
	v := &platformSettings{
		Names: Names{Classes: names, Tenants: old.Tenants}, numbers: now, control: set,
		rules: ClassRules{Classes: map[string]control.Class{}, MaxAttempts: set.MaxAttempts},
	}
	for i, name := range names {
		if n, is := now[name]; is {
			i = n
		}
		if i < len(set.Classes) { // one of before keeps its terms for the records that it has
			v.rules.Classes[name] = set.Classes[i]
		}
	}
	if !k.platform.CompareAndSwap(old, v) { // tenants came in between
		k.setPlatform(names, now, set)
	}
}

func (k *Queue) limits() redelivery.Limits {
	plat := &k.platform.Load().control
	return redelivery.Limits{
		FleetSize: plat.FleetSize, ColdCapacity: plat.ColdCapacity, WarmUp: plat.WarmUp, OverloadFactor: plat.OverloadFactor,
		OverloadWindow: plat.OverloadWindow, CapacityShare: k.settings.Resend.Share, MaxInFlight: k.settings.Resend.MaxOut,
	}
}
