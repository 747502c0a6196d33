package state

import "cleathold/control"

// remoteAttemptKey names an attempt that another process has in flight.
type remoteAttemptKey struct {
	num     control.MessageID
	attempt int
}

// remoteAttempts are the attempts that another process of this sender has in flight, each with the call that it is
// in.
type remoteAttempts map[remoteAttemptKey]int

// remove takes an attempt off, and tells whether it was there.
func (r remoteAttempts) remove(key remoteAttemptKey) bool {
	_, found := r[key]
	delete(r, key)
	return found
}

// calls is how many calls they are in: each takes one of the sender's calls in flight.
func (r remoteAttempts) calls() int {
	calls := map[int]bool{}
	for _, call := range r {
		calls[call] = true
	}
	return len(calls)
}
