package state

import (
	"testing"
	"time"

	"cleathold/control"
	"cleathold/internal/permit"
)

// drainEndpoint has the endpoint group, and it alone, know that an endpoint drains since a time.
func drainEndpoint(l *Loop, to control.EndpointID, at time.Time) {
	t := *l.group.ByNumber(to)
	t.State = control.Draining
	l.group.Update(control.ListDelta, l.group.Version(), []Target{t}, at)
}

// What the controller must not have decided on does not leave, whatever the reason: it is counted, and the message
// goes on.
func TestSendCheck(t *testing.T) {
	for _, c := range []struct {
		name  string
		class int
		known func(l *Loop, to control.EndpointID) // what is known as the second send is decided on
		want  permit.Denial
	}{
		{"a second call of a message that is not idempotent", 2, func(*Loop, control.EndpointID) {}, permit.NotRepeatable},
		{"a hedged request where none is allowed", 0, func(l *Loop, _ control.EndpointID) {
			l.settings.AllowHedging = false
		}, permit.InFlight},
		{"an endpoint that left", 0, func(l *Loop, to control.EndpointID) {
			drainEndpoint(l, to, l.now.Add(-2*time.Second))
		}, permit.EndpointGone},
		{"an uncertain list", 0, func(l *Loop, _ control.EndpointID) {
			l.certainty.markUncertain(l.now.Add(-2 * time.Second))
		}, permit.ListUncertain},
		{"a Retry-After", 0, func(l *Loop, to control.EndpointID) {
			l.recordRetryAfter(*l.group.ByNumber(to), time.Second)
			l.now = l.now.Add(time.Millisecond) // sends decided on as it is told are excused
		}, permit.RetryAfterPending},
		{"a process that ends", 0, func(l *Loop, _ control.EndpointID) { l.halted = true }, permit.Stopping},
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
			c.known(l, to)
			(*actions)(l).Send(l.table.byID["a"].num, to, time.Second)
			done <- true
		}))
		<-done
		l.Idle() // the iteration has ended
		if n := l.counters.withheld[c.want].Load(); n != 1 || len(o.calls) > 0 {
			t.Errorf("%s: %d withheld for %v, %d calls; counts %+v", c.name, n, c.want, len(o.calls), l.counters.Counts())
		}
	}
}

// A call whose first byte was written against a rule is counted, once it is known; one in time is not.
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
		if n := l.counters.Counts().Broken[permit.EndpointGone.String()]; n != int64(i) {
			t.Errorf("left after %v: %d counted", sentAfter, n)
		}
	}
}

// A Retry-After counts from when its answer came, also where that was in the middle of an iteration; and it binds the
// next target at the same address, under whatever id that is listed.
func TestRetryAfterKept(t *testing.T) {
	const wait = 300 * time.Millisecond
	for _, c := range []struct {
		name  string
		busy  time.Duration // so long the iteration has gone on
		moved bool
	}{{"in the middle of a round", 150 * time.Millisecond, false}, {"another id at the address", 0, true}} {
		l, o := newTestLoop(t, t.TempDir(), 1e6)
		start(t, l)
		call := o.submitAndReceiveCall(t, l, "a")
		var answeredAt time.Time
		l.Post(inspect(func() {
			time.Sleep(c.busy)
			answeredAt = time.Now()
			l.events <- endedWith(call, AttemptResult{Result: control.Rejected, RetryAfter: wait})
			if c.moved {
				gone, next := call.Target, call.Target
				gone.State, next.ID = control.Removed, "s2"
				l.events <- ListUpdate{Kind: control.ListDelta, Version: 2, Targets: []Target{gone, next}}
			}
		}))
		if retry := receive(t, o.calls); time.Since(answeredAt) < wait {
			t.Errorf("%s: a call to %s %v after a wait of %v was told", c.name, retry.Target.ID, time.Since(answeredAt), wait)
		}
	}
}
