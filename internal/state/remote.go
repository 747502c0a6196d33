package state

import (
	"cmp"
	"maps"
	"slices"

	"cleathold/control"
)

// remoteAttemptKey identifies an attempt that another process has in flight.
type remoteAttemptKey struct {
	num     control.MessageID
	attempt int
}

// remoteAttempts holds the attempts that another process of this sender has in flight, each with the number of its
// call.
type remoteAttempts map[remoteAttemptKey]int

// remove removes an attempt and reports whether it was present.
func (r remoteAttempts) remove(key remoteAttemptKey) bool {
	_, found := r[key]
	delete(r, key)
	return found
}

// ordered returns the keys of the attempts in the order of their messages.
func (r remoteAttempts) ordered() []remoteAttemptKey {
	return slices.SortedFunc(maps.Keys(r), func(a, b remoteAttemptKey) int {
		return cmp.Or(cmp.Compare(a.num, b.num), cmp.Compare(a.attempt, b.attempt))
	})
}

// calls returns the number of calls that carry the attempts. Each counts as one of the sender's calls in flight.
func (r remoteAttempts) calls() int {
	calls := map[int]bool{}
	for _, call := range r {
		calls[call] = true
	}
	return len(calls)
}
