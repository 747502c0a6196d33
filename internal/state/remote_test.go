package state

import "testing"

// TestRemoteAttempts checks that a call is in flight until the last of its attempts has ended, and each attempt ends
// only once.
func TestRemoteAttempts(t *testing.T) {
	a, b, c := remoteAttemptKey{1, 0}, remoteAttemptKey{2, 0}, remoteAttemptKey{2, 1}
	r := remoteAttempts{a: 1, b: 1, c: 2}
	for i, step := range []struct {
		key   remoteAttemptKey
		found bool
		calls int
	}{{a, true, 2}, {a, false, 2}, {b, true, 1}, {c, true, 0}} {
		if found := r.remove(step.key); found != step.found || r.calls() != step.calls {
			t.Errorf("step %d: found %t, %d calls; want %t, %d", i, found, r.calls(), step.found, step.calls)
		}
	}
	if none := remoteAttempts(nil); none.remove(a) || none.calls() != 0 {
		t.Error("nil remoteAttempts holds attempts")
	}
}
