package partner

import (
	"testing"
	"time"
)

func TestConnections(t *testing.T) {
	m := newModel(t, func(s *Spec) { s.MaxConnections, s.ConnCost = 2, 30*ms })
	for i, want := range []ConnectionResult{ConnectionOpened, ConnectionOpened, ConnectionOverCapacity} {
		if got := m.Connect(0, "a"); got != want {
			t.Errorf("connection %d: %v, want %v", i, got, want)
		}
	}
	m.Disconnect(0, "a")
	if m.Connect(0, "a") != ConnectionOpened {
		t.Error("a closed connection still counts against the limit")
	}
	m.Call(0, Call{ID: 1 << 40, Endpoint: "a", NewConnection: true, Messages: []Message{{ID: "x"}}})
	m.Advance(time.Second)
	if a := onlyAnswer(t, m); a.At != 130*ms {
		t.Errorf("the cost of a new connection is missing: %+v", a)
	}
	sendCall(t, m, time.Second, "a", 0)
	m.SetFault(1050*ms, "a", Fault{Mode: Down})
	a := onlyAnswer(t, m)
	if a.Kind != Reset || a.At != 1050*ms || m.Connect(1060*ms, "a") == ConnectionOpened || len(m.Effects()) != 1 {
		t.Errorf("down: %+v", a)
	}
}
