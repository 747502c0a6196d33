package state

import (
	"testing"

	"cleathold/control"
)

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

// lossRecorder is a successor that records the results that it gets, without the last one.
type lossRecorder chan RemoteResult

func (r lossRecorder) RemoteResult(result RemoteResult, last bool) {
	if !last {
		r <- result
	}
}

// TestLossIsForwarded guards against attempts that may have run and whose result nobody awaits any more: the first of
// three processes is killed, and the second one, which has handed over, still has a call in flight for long. The third
// must learn at once that the first one's attempts may have run.
func TestLossIsForwarded(t *testing.T) {
	dir := t.TempDir()
	l, o := newTestLoop(t, dir, 1e6)
	start(t, l)
	o.submitAndReceiveCall(t, l, "first")
	handedOver, _ := performHandover(t, l)
	l2, o2 := newTestLoop(t, dir, 1e6)
	l2.restoreHandover(&handedOver)
	start(t, l2)
	o2.submitAndReceiveCall(t, l2, "second")
	done, third := make(chan HandoverResult, 1), make(lossRecorder, 4)
	l2.Post(Handover{Successor: third, Done: done})
	if s := receive(t, done); s.Err != nil || len(s.State.InFlight) != 2 {
		t.Fatalf("%+v", s)
	}
	l2.Post(PredecessorLost{})
	l2.Idle() // the event has been handled
	select {
	case r := <-third:
		if !r.Result.MayHaveRun() || r.Result == control.Served || r.Final {
			t.Errorf("%+v", r)
		}
	default:
		t.Error("the third process was not told of the loss")
	}
}
