package state

import (
	"testing"
	"time"

	"cleathold/control"
	"cleathold/internal/permit"
)

// drainEndpoint marks an endpoint as draining since a time in the endpoint group, but not in the controller.
func drainEndpoint(l *Loop, to control.EndpointID, at time.Time) {
	t := *l.group.ByNumber(to)
	t.State = control.Draining
	l.group.Update(control.ListDelta, l.group.Version(), []Target{t}, at)
}

// TestSendCheck checks that a send that the controller decided on against a rule is withheld and counted, whatever the
// rule, and its message continues.
func TestSendCheck(t *testing.T) {
	for _, c := range []struct {
		name    string
		class   int
		prepare func(l *Loop, to control.EndpointID) // prepares the loop before the second send
		want    permit.Denial
	}{
		{"second call of a message that is not idempotent", 2, func(*Loop, control.EndpointID) {}, permit.NotRepeatable},
		{"hedged request that is not allowed", 0, func(l *Loop, _ control.EndpointID) {
			l.settings.AllowHedging = false
		}, permit.InFlight},
		{"endpoint that drained", 0, func(l *Loop, to control.EndpointID) {
			drainEndpoint(l, to, l.now.Add(-2*time.Second))
		}, permit.EndpointGone},
		{"uncertain list", 0, func(l *Loop, _ control.EndpointID) {
			l.certainty.markUncertain(l.now.Add(-2 * time.Second))
		}, permit.ListUncertain},
		{"Retry-After", 0, func(l *Loop, to control.EndpointID) {
			l.recordRetryAfter(*l.group.ByNumber(to), time.Second)
			l.now = l.now.Add(time.Millisecond) // sends at the very time of the Retry-After are allowed
		}, permit.RetryAfterPending},
		{"halted loop", 0, func(l *Loop, _ control.EndpointID) { l.halted = true }, permit.Stopping},
	} {
		l, o := newTestLoop(t, t.TempDir(), 1e6)
		l.settings.DrainGrace = 2 * time.Second
		start(t, l)
		response := make(chan Response, 1)
		l.Post(Submitted{Message: newMessage("a", c.class, time.Minute), Response: response})
		receive(t, response)
		l.Post(ResponseWritten{"a", true})
		receive(t, o.calls)
		done := make(chan bool)
		l.Post(inspect(func() {
			to := l.group.ByID("s").Endpoint.ID
			c.prepare(l, to)
			(*actions)(l).Send(l.table.byID["a"].num, to, time.Second)
			done <- true
		}))
		<-done
		l.Idle() // waits for the end of the iteration
		if n := l.counters.withheld[c.want].Load(); n != 1 || len(o.calls) > 0 {
			t.Errorf("%s: %d withheld for %v, %d calls; counts %+v", c.name, n, c.want, len(o.calls), l.counters.Counts())
		}
	}
}

// TestCheckSent checks that a call whose first byte was written against a rule is counted once its result is known. One
// that was written in time is not.
func TestCheckSent(t *testing.T) {
	l, o := newTestLoop(t, t.TempDir(), 1e6)
	l.settings.DrainGrace = time.Second
	start(t, l)
	call := o.submitAndReceiveCall(t, l, "a")
	now := time.Now()
	l.Post(inspect(func() { drainEndpoint(l, call.Target.Endpoint.ID, now) }))
	for i, sentAfter := range []time.Duration{900 * time.Millisecond, 1100 * time.Millisecond} {
		l.Post(endedWith(call, AttemptResult{Result: control.Served, Final: true, SentAt: now.Add(sentAfter)}))
		l.Idle()
		if n := l.counters.Counts().Violations[permit.EndpointGone.String()]; n != int64(i) {
			t.Errorf("sent after %v: %d counted", sentAfter, n)
		}
	}
}

// TestRetryAfterKept checks that a Retry-After counts from the arrival of its answer, even if that arrives in the
// middle of an iteration. It also applies to the next target at the same address, whatever its ID.
func TestRetryAfterKept(t *testing.T) {
	const wait = 300 * time.Millisecond
	for _, c := range []struct {
		name          string
		iterationTime time.Duration // how long the iteration has run when the answer arrives
		moved         bool
	}{{"in the middle of an iteration", 150 * time.Millisecond, false}, {"another ID at the address", 0, true}} {
		l, o := newTestLoop(t, t.TempDir(), 1e6)
		start(t, l)
		call := o.submitAndReceiveCall(t, l, "a")
		var answeredAt time.Time
		l.Post(inspect(func() {
			time.Sleep(c.iterationTime)
			answeredAt = time.Now()
			l.events <- endedWith(call, AttemptResult{Result: control.Rejected, RetryAfter: wait})
			if c.moved {
				gone, next := call.Target, call.Target
				gone.State, next.ID = control.Removed, "s2"
				l.events <- ListUpdate{Kind: control.ListDelta, Version: 2, Targets: []Target{gone, next}}
			}
		}))
		if retry := receive(t, o.calls); time.Since(answeredAt) < wait {
			t.Errorf("%s: call to %s after %v, Retry-After %v", c.name, retry.Target.ID, time.Since(answeredAt), wait)
		}
	}
}
