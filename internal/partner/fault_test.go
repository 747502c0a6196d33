package partner

import (
	"testing"
	"time"
)

func TestFaults(t *testing.T) {
	for _, c := range []struct {
		name    string
		fault   Fault
		kind    AnswerKind
		at      time.Duration
		effects int
	}{
		{"healthy", Fault{}, Delivered, 100 * ms, 1},
		{"slow", Fault{Mode: Slow, Factor: 2}, Delivered, 200 * ms, 1},
		{"returning errors", Fault{Mode: ReturningErrors, Share: 1}, Errored, 10 * ms, 0},
		{"garbling answers", Fault{Mode: GarblingAnswers, Share: 1}, Garbled, 100 * ms, 1},
		{"draining", Fault{Mode: Draining}, Rejected, 0, 0},
		{"shut", Fault{Mode: Shut}, Rejected, 0, 0},
	} {
		m := newModel(t, nil)
		m.SetFault(0, "a", c.fault)
		sendCall(t, m, 0, "a", 0)
		m.Advance(time.Second)
		if a := onlyAnswer(t, m); a.Kind != c.kind || a.At != c.at || len(m.Effects()) != c.effects {
			t.Errorf("%s: %+v", c.name, a)
		}
	}
	m := newModel(t, nil)
	m.SetFault(0, "a", Fault{Mode: Unresponsive})
	sendCall(t, m, 0, "a", 0)
	m.Advance(time.Minute)
	if len(m.Answers()) != 0 || len(m.Effects()) != 1 {
		t.Error("an unresponsive endpoint answers, or does nothing")
	}
	m = newModel(t, nil)
	sendCall(t, m, 0, "a", 0)
	m.SetFault(50*ms, "a", Fault{Mode: Paused})
	m.SetFault(5*time.Second, "a", Fault{})
	m.Advance(10 * time.Second)
	if a := onlyAnswer(t, m); a.At != 5050*ms {
		t.Errorf("paused: %+v", a)
	}
	early, late := 0, 0
	m = newModel(t, func(s *Spec) { s.Servers = 1000 })
	m.SetFault(0, "a", Fault{Mode: BreakingConnections, Share: 1})
	for range 200 {
		sendCall(t, m, 0, "a", 0)
	}
	m.Advance(time.Second)
	late = len(m.Effects())
	early = 200 - late
	if early < 60 || late < 60 {
		t.Errorf("broken before their effect %d, after it %d", early, late)
	}
}
