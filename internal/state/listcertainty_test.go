package state

import (
	"testing"
	"time"

	"cleathold/control"
)

// TestListCertainty checks that sends are suspended from a margin before the end of the drain grace, counted from the
// first unreadable answer, until the timeout after the latest one.
func TestListCertainty(t *testing.T) {
	const grace, timeout = 2 * time.Second, 10 * time.Second
	zero := time.Now()
	at := func(seconds float64) time.Time { return zero.Add(time.Duration(seconds * float64(time.Second))) }
	var c listCertainty
	c.markUncertain(at(0))
	c.markUncertain(at(1))
	for _, x := range []struct {
		now       float64
		suspended bool
		next      float64
	}{{1, false, 1.75}, {1.75, true, 11}, {10.9, true, 11}} {
		if held, next := c.suspended(at(x.now), grace, timeout); held != x.suspended || !next.Equal(at(x.next)) {
			t.Errorf("at %v: %t, next %v", x.now, held, next.Sub(zero))
		}
	}
	if held, next := c.suspended(at(5), 0, timeout); held || !next.IsZero() {
		t.Errorf("without a grace: %t, next %v", held, next)
	}
	if held, next := c.suspended(at(11), grace, timeout); held || !next.IsZero() {
		t.Errorf("at the end: %t, next %v", held, next)
	}
	c.markUncertain(at(20))
	if held, _ := c.suspended(at(21), 300*time.Millisecond, timeout); !held {
		t.Error("drain grace of 300 ms: sends are not suspended after 1 s")
	}
}

// TestRestartWhileSuspended guards against a process that loses the doubt of its predecessor: after a restart with the
// older list of the configuration nothing is sent to endpoints that may have left, until discovery answers.
func TestRestartWhileSuspended(t *testing.T) {
	dir := t.TempDir()
	target := Target{ID: "s", Addr: "nowhere"}
	target.Endpoint = control.Endpoint{Destination: 7, State: control.Ready}
	known := ListUpdate{Kind: control.ListCached, Version: 1, Targets: []Target{target}}
	l, _ := newTestLoopWith(t, dir, 1e6, known)
	l.settings.DrainGrace = 500 * time.Millisecond
	l.Step()
	l.Step(ListUnreadable{StartedAt: l.now.Add(-time.Second)})
	l.Close()
	l, o := newTestLoopWith(t, dir, 1e6, known)
	start(t, l)
	receive(t, submit(l, "m", 10))
	l.Post(ResponseWritten{"m", true})
	l.Idle() // the iteration with the response has begun
	if l.Idle(); len(o.calls) > 0 {
		t.Error("sent after the restart")
	}
	l.Post(ListUpdate{Kind: control.ListFull, Version: 2, Targets: []Target{target}})
	receive(t, o.calls)
}

// TestUncertaintyUnderNewSettings guards against a suspension whose times are those of settings that are no longer in
// force: with a shorter grace of drains it begins at once, with a shorter poll interval it ends at once.
func TestUncertaintyUnderNewSettings(t *testing.T) {
	l, _ := newTestLoop(t, t.TempDir(), 1e6)
	l.settings.DrainGrace = 10 * time.Second
	l.Step()
	l.Step(ListUnreadable{StartedAt: l.now.Add(-2 * time.Second)})
	for _, step := range []struct {
		grace, pollInterval time.Duration
		suspended           bool
	}{{time.Second, time.Minute, true}, {time.Second, time.Second, false}} {
		settings := l.settings
		settings.DrainGrace, settings.MaxPollInterval = step.grace, step.pollInterval
		done := make(chan SettingsResult, 1)
		l.Step(UpdateSettings{Settings: settings, Done: done})
		if r := <-done; r.Err != nil || l.group.Suspended() != step.suspended {
			t.Errorf("%+v: suspended %t, %v", step, l.group.Suspended(), r.Err)
		}
	}
}
