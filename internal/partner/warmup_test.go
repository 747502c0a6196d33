package partner

import (
	"testing"
	"time"
)

// A destination is slow after an outage, and too many calls overload it while it warms up. The overload lists the calls
// by sender, including senders that did not observe the outage.
func TestSlowStartAndOverload(t *testing.T) {
	slow := func(s *Spec) {
		s.Servers, s.QueueLength = 2, 1000 // 20 calls a second
		s.OverloadFactor, s.OverloadWindow = 2, 2*time.Second
	}
	m := newModel(t, slow)
	m.SetFault(0, "a", Fault{Mode: Down})
	m.SetFault(10*time.Second, "a", Fault{})
	sendCall(t, m, 10*time.Second, "a", 0)
	m.Advance(11 * time.Second)
	// the speed starts at a quarter and rises
	if a := onlyAnswer(t, m); a.At < 10*time.Second+350*ms || a.At > 10*time.Second+400*ms {
		t.Errorf("%+v", a)
	}
	if got := m.Capacity("a"); got < 0.32 || got > 0.33 {
		t.Errorf("capacity %.3f after a second", got)
	}
	m.Advance(21 * time.Second)
	if m.Capacity("a") != 1 {
		t.Error("never at full capacity")
	}
	for _, c := range []struct {
		perSecond int // by each of two senders
		overload  bool
	}{{4, false}, {12, true}} {
		m := newModel(t, slow)
		m.SetFault(0, "a", Fault{Mode: Shut})
		m.SetFault(time.Second, "a", Fault{})
		for i := range 2 * c.perSecond * 3 {
			sendCall(t, m, time.Second+time.Duration(i)*time.Second/time.Duration(2*c.perSecond), "a", i%2)
		}
		overloads := m.Overloads()
		if (len(overloads) == 1) != c.overload {
			t.Fatalf("%d a second: %+v", c.perSecond, overloads)
		}
		if !c.overload {
			continue
		}
		o, calls := overloads[0], overloads[0].CallsBySender
		down := m.Connect(10*time.Second, "a") == ConnectionRefused
		if o.RecoveredAt != time.Second || calls[0] < 8 || calls[1] < 8 || !down {
			t.Errorf("%+v", o)
		}
	}
}

// A destination does not warm up after an outage during which one of its endpoints stayed in service.
func TestPartialOutageNeedsNoSlowStart(t *testing.T) {
	m := newModel(t, func(s *Spec) { s.Endpoints = []EndpointSpec{{"a", 0}, {"b", 1}} })
	m.SetFault(0, "a", Fault{Mode: Down})
	m.SetFault(time.Second, "a", Fault{})
	if m.Capacity("a") != 1 {
		t.Errorf("capacity %.2f after an outage of one endpoint", m.Capacity("a"))
	}
	m.SetFault(2*time.Second, "a", Fault{Mode: Down})
	m.SetFault(2*time.Second, "b", Fault{Mode: Down})
	m.SetFault(3*time.Second, "a", Fault{})
	m.SetFault(4*time.Second, "b", Fault{})
	if c := m.Capacity("a"); c < 0.3 || c > 0.35 {
		t.Errorf("capacity %.2f after an outage of all endpoints", c)
	}
}

// The call that overloads a destination is still served, while the calls before it are reset.
func TestCallThatOverloadsIsServed(t *testing.T) {
	m := newModel(t, func(s *Spec) { s.QueueLength, s.OverloadFactor, s.OverloadWindow = 1000, 2, 2*time.Second })
	m.SetFault(0, "a", Fault{Mode: Shut})
	m.SetFault(time.Second, "a", Fault{})
	var last uint64
	for len(m.Overloads()) == 0 {
		last = sendCall(t, m, time.Second, "a", 0)
	}
	m.Advance(time.Minute)
	for _, a := range m.Answers() {
		if want := a.Call == last; (a.Kind == Delivered) != want || !want && a.Kind != Reset {
			t.Errorf("call %d of %d: %v", a.Call, last, a.Kind)
		}
	}
	if e := m.Effects(); len(e) != 1 || e[0].Call != last {
		t.Errorf("effects %+v", e)
	}
}
