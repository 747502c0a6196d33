package partner

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const ms = time.Millisecond

// plain is a destination of one endpoint without a limit.
func plain() Spec {
	return Spec{
		Dest: 7, Endpoints: []EndpointSpec{{ID: "a"}}, Mean: 100 * ms, Servers: 2, QueueLength: 2, MaxBatch: 3, ColdCapacity: 0.25, WarmUp: 10 * time.Second,
	}
}

func make1(t testing.TB, change func(*Spec)) *Model {
	t.Helper()
	s := plain()
	if change != nil {
		change(&s)
	}
	m := New(1)
	if err := m.Add(s); err != nil {
		t.Fatal(err)
	}
	return m
}

var serial uint64

// call sends one message at a time and returns the call's number.
func call(t testing.TB, m *Model, at time.Duration, endpoint string, sender int, keys ...string) uint64 {
	t.Helper()
	serial++
	c := Call{ID: serial, Sender: sender, Endpoint: endpoint}
	for i, k := range keys {
		c.Messages = append(c.Messages, Message{ID: fmt.Sprint("m", serial, "-", i), Key: k})
	}
	if len(keys) == 0 {
		c.Messages = []Message{{ID: fmt.Sprint("m", serial)}}
	}
	if err := m.Call(at, c); err != nil {
		t.Fatal(err)
	}
	return serial
}

// only is the answer that came, the single one.
func only(t testing.TB, m *Model) Answer {
	t.Helper()
	list := m.Answers()
	if len(list) != 1 {
		t.Fatalf("answers %+v", list)
	}
	return list[0]
}

func TestQueue(t *testing.T) {
	m := make1(t, nil)
	for range 5 { // two served, two wait, one too many
		call(t, m, 0, "a", 0)
	}
	if a := only(t, m); a.Kind != Rejected || a.RetryAfter != 0 {
		t.Errorf("%+v", a)
	}
	m.Advance(time.Second)
	var at []time.Duration
	for _, a := range m.Answers() {
		at = append(at, a.At)
	}
	if want := []time.Duration{100 * ms, 100 * ms, 200 * ms, 200 * ms}; !reflect.DeepEqual(at, want) || len(m.Effects()) != 4 {
		t.Errorf("answered at %v", at)
	}
}

// A cancelled call takes effect later, once, and nobody hears of it.
func TestCancelledRunsOn(t *testing.T) {
	m := make1(t, nil)
	id := call(t, m, 0, "a", 0, "k")
	m.Cancel(50*ms, id, "a")
	m.Cancel(60*ms, id, "a")
	m.Advance(time.Second)
	if e := m.Effects(); len(e) != 1 || !e[0].Late || e[0].At != 100*ms || len(m.Answers()) != 0 {
		t.Errorf("%+v", e)
	}
	m = make1(t, func(s *Spec) { s.StopsOnCancel = 1; s.Servers = 1 })
	id = call(t, m, 0, "a", 0)
	call(t, m, 0, "a", 0)
	m.Cancel(50*ms, id, "a")
	m.Advance(time.Second)
	if a := only(t, m); len(m.Effects()) != 1 || a.At != 150*ms { // the next had its server at once
		t.Errorf("%+v", a)
	}
}

// A span's edge: the call just before it is refused, the one at it is let in; a
// told wait ends at that instant.
func TestWindowEdge(t *testing.T) {
	m := make1(t, func(s *Spec) {
		s.Limit, s.RetryAfterShare, s.Servers = Limit{Form: Window, PerSecond: 2, Window: time.Second}, 1, 10
	})
	call(t, m, 0, "a", 0)
	call(t, m, 0, "a", 0)
	m.Advance(900 * ms)
	m.Answers()
	call(t, m, 999*ms, "a", 0)
	if a := only(t, m); a.Kind != Rejected || a.RetryAfter != ms {
		t.Errorf("before the edge: %+v", a)
	}
	call(t, m, 1000*ms, "a", 0)
	m.Advance(1500 * ms)
	if a := only(t, m); a.Kind != Delivered {
		t.Errorf("at the edge: %+v", a)
	}
}

// Refused calls that use the limit up keep it exhausted for as long as they come.
func TestRefusedCount(t *testing.T) {
	for _, counts := range []bool{false, true} {
		m := make1(t, func(s *Spec) {
			s.Limit, s.Servers, s.QueueLength = Limit{Form: Rate, PerSecond: 10, Burst: 200 * ms, CountRejected: counts}, 100, 100
		})
		for i := range 100 { // twice the limit for 5 s
			call(t, m, time.Duration(i)*50*ms, "a", 0)
		}
		m.Advance(10 * time.Second)
		served := 0
		for _, a := range m.Answers() {
			if a.Kind == Delivered {
				served++
			}
		}
		if !counts && (served < 49 || served > 53) || counts && served > 10 {
			t.Errorf("refused ones count: %t: %d of 100 served", counts, served)
		}
	}
}

// A wait that a rate tells is honest: at its end there is room.
func TestHonestWait(t *testing.T) {
	m := make1(t, func(s *Spec) {
		s.Limit, s.RetryAfterShare, s.Servers, s.QueueLength = Limit{Form: Rate, PerSecond: 5}, 1, 100, 100
	})
	call(t, m, 0, "a", 0)
	call(t, m, 0, "a", 0)
	a := only(t, m)
	if a.Kind != Rejected || a.RetryAfter != 200*ms {
		t.Fatalf("%+v", a)
	}
	call(t, m, a.RetryAfter, "a", 0)
	m.Advance(time.Second)
	for _, a := range m.Answers() {
		if a.Kind != Delivered {
			t.Errorf("%+v", a)
		}
	}
	m.SetFault(time.Second, "a", Fault{Mode: Shut, Until: 4 * time.Second})
	call(t, m, 2*time.Second, "a", 0)
	if a := only(t, m); a.Kind != Rejected || a.RetryAfter != 2*time.Second {
		t.Errorf("shut: %+v", a)
	}
}

func TestKeys(t *testing.T) {
	for _, c := range []struct {
		scope Scope
		to    string
		after time.Duration
		drops bool
	}{
		{AllEndpoints, "c", time.Second, true}, {AllEndpoints, "a", 13 * time.Second, false},
		{SameZone, "b", time.Second, true}, {SameZone, "c", time.Second, false},
		{SameEndpoint, "a", time.Second, true}, {SameEndpoint, "b", time.Second, false},
	} {
		m := make1(t, func(s *Spec) {
			s.Endpoints = []EndpointSpec{{"a", 0}, {"b", 0}, {"c", 1}}
			s.KeyRetention, s.KeyScope = 12*time.Second, c.scope
		})
		call(t, m, 0, "a", 0, "k", "other")
		call(t, m, c.after, c.to, 1, "k")
		m.Advance(time.Minute)
		e := m.Effects()
		if len(e) != 3 || e[0].Dropped || e[1].Dropped || e[2].Dropped != c.drops {
			t.Errorf("%+v: %+v", c, e)
		}
	}
}

func TestConnections(t *testing.T) {
	m := make1(t, func(s *Spec) { s.MaxConnections, s.ConnCost = 2, 30*ms })
	for i, want := range []ConnectionResult{ConnectionOpened, ConnectionOpened, ConnectionOverCapacity} {
		if got := m.Connect(0, "a"); got != want {
			t.Errorf("connection %d: %v, want %v", i, got, want)
		}
	}
	m.Disconnect(0, "a")
	if m.Connect(0, "a") != ConnectionOpened {
		t.Error("a closed one still counts")
	}
	m.Call(0, Call{ID: 1 << 40, Endpoint: "a", Fresh: true, Messages: []Message{{ID: "x"}}})
	m.Advance(time.Second)
	if a := only(t, m); a.At != 130*ms {
		t.Errorf("a new one costs nothing: %+v", a)
	}
	call(t, m, time.Second, "a", 0)
	m.SetFault(1050*ms, "a", Fault{Mode: Down})
	if a := only(t, m); a.Kind != Reset || a.At != 1050*ms || m.Connect(1060*ms, "a") == ConnectionOpened || len(m.Effects()) != 1 {
		t.Errorf("down: %+v", a)
	}
}

func TestTroubles(t *testing.T) {
	for _, c := range []struct {
		name    string
		trouble Fault
		kind    AnswerKind
		at      time.Duration
		effects int
	}{
		{"well", Fault{}, Delivered, 100 * ms, 1},
		{"slow", Fault{Mode: Slow, Factor: 2}, Delivered, 200 * ms, 1},
		{"failing", Fault{Mode: ReturningErrors, Share: 1}, Errored, 10 * ms, 0},
		{"spoiling", Fault{Mode: GarblingAnswers, Share: 1}, Garbled, 100 * ms, 1},
		{"draining", Fault{Mode: Draining}, Rejected, 0, 0},
		{"shut", Fault{Mode: Shut}, Rejected, 0, 0},
	} {
		m := make1(t, nil)
		m.SetFault(0, "a", c.trouble)
		call(t, m, 0, "a", 0)
		m.Advance(time.Second)
		if a := only(t, m); a.Kind != c.kind || a.At != c.at || len(m.Effects()) != c.effects {
			t.Errorf("%s: %+v", c.name, a)
		}
	}
	m := make1(t, nil)
	m.SetFault(0, "a", Fault{Mode: Unresponsive})
	call(t, m, 0, "a", 0)
	m.Advance(time.Minute)
	if len(m.Answers()) != 0 || len(m.Effects()) != 1 {
		t.Error("a silent one answers, or does nothing")
	}
	m = make1(t, nil)
	call(t, m, 0, "a", 0)
	m.SetFault(50*ms, "a", Fault{Mode: Paused})
	m.SetFault(5*time.Second, "a", Fault{})
	m.Advance(10 * time.Second)
	if a := only(t, m); a.At != 5050*ms {
		t.Errorf("paused: %+v", a)
	}
	early, late := 0, 0
	m = make1(t, func(s *Spec) { s.Servers = 1000 })
	m.SetFault(0, "a", Fault{Mode: BreakingConnections, Share: 1})
	for range 200 {
		call(t, m, 0, "a", 0)
	}
	m.Advance(time.Second)
	late = len(m.Effects())
	early = 200 - late
	if early < 60 || late < 60 {
		t.Errorf("broken before their effect %d, after it %d", early, late)
	}
}

// A destination that returns cold is slow, and falls over when it is pushed; the
// fall says by whom, also where one of the senders never saw the outage.
func TestColdReturn(t *testing.T) {
	cold := func(s *Spec) {
		s.Servers, s.QueueLength = 2, 1000 // 20 calls a second
		s.OverloadFactor, s.OverloadWindow = 2, 2*time.Second
	}
	m := make1(t, cold)
	m.SetFault(0, "a", Fault{Mode: Down})
	m.SetFault(10*time.Second, "a", Fault{})
	call(t, m, 10*time.Second, "a", 0)
	m.Advance(11 * time.Second)
	if a := only(t, m); a.At < 10*time.Second+350*ms || a.At > 10*time.Second+400*ms { // a quarter of its speed, rising
		t.Errorf("%+v", a)
	}
	if got := m.Capacity("a"); got < 0.32 || got > 0.33 {
		t.Errorf("capacity %.3f after a second", got)
	}
	m.Advance(21 * time.Second)
	if m.Capacity("a") != 1 {
		t.Error("never warm")
	}
	for _, c := range []struct {
		perSecond int // by each of two senders
		falls     bool
	}{{4, false}, {12, true}} {
		m := make1(t, cold)
		m.SetFault(0, "a", Fault{Mode: Shut})
		m.SetFault(time.Second, "a", Fault{})
		for i := range 2 * c.perSecond * 3 {
			call(t, m, time.Second+time.Duration(i)*time.Second/time.Duration(2*c.perSecond), "a", i%2)
		}
		falls := m.Overloads()
		if (len(falls) == 1) != c.falls {
			t.Fatalf("%d a second: %+v", c.perSecond, falls)
		}
		if c.falls && (falls[0].RecoveredAt != time.Second || falls[0].CallsBySender[0] < 8 || falls[0].CallsBySender[1] < 8 || m.Connect(10*time.Second, "a") != ConnectionRefused) {
			t.Errorf("%+v", falls[0])
		}
	}
}

// A destination of which an endpoint went on serving is not cold.
func TestPartOutage(t *testing.T) {
	m := make1(t, func(s *Spec) { s.Endpoints = []EndpointSpec{{"a", 0}, {"b", 1}} })
	m.SetFault(0, "a", Fault{Mode: Down})
	m.SetFault(time.Second, "a", Fault{})
	if m.Capacity("a") != 1 {
		t.Errorf("%.2f after a part of it was down", m.Capacity("a"))
	}
	m.SetFault(2*time.Second, "a", Fault{Mode: Down})
	m.SetFault(2*time.Second, "b", Fault{Mode: Down})
	m.SetFault(3*time.Second, "a", Fault{})
	m.SetFault(4*time.Second, "b", Fault{})
	if c := m.Capacity("a"); c < 0.3 || c > 0.35 {
		t.Errorf("%.2f a second after all of it was down", c)
	}
}

// An endpoint that leaves takes its calls with it; one that comes has an id of its own.
func TestChurn(t *testing.T) {
	m := make1(t, nil)
	call(t, m, 0, "a", 0)
	m.Leave(50*ms, "a")
	if a := only(t, m); a.Kind != Reset {
		t.Errorf("%+v", a)
	}
	if m.Join(60*ms, 7, EndpointSpec{ID: "a"}) == nil || m.Join(60*ms, 7, EndpointSpec{ID: "b"}) != nil {
		t.Error("an id comes twice, or a new one does not come")
	}
	if err := m.Call(70*ms, Call{ID: 1, Endpoint: "a", Messages: []Message{{ID: "x"}}}); err != ErrUnknown {
		t.Errorf("a call to one that left: %v", err)
	}
}

// Routes apart have limits, outages and returns of their own.
func TestApart(t *testing.T) {
	m := make1(t, func(s *Spec) {
		s.Endpoints, s.SeparateRoutes = []EndpointSpec{{"a", 0}, {"b", 1}}, true
		s.Limit, s.Servers, s.QueueLength = Limit{Form: Rate, PerSecond: 1}, 10, 10
	})
	for _, id := range []string{"a", "b", "a", "b"} {
		call(t, m, 0, id, 0)
	}
	m.Advance(time.Second)
	kinds := map[AnswerKind]int{}
	for _, a := range m.Answers() {
		kinds[a.Kind]++
	}
	m.SetFault(time.Second, "a", Fault{Mode: Down})
	m.SetFault(2*time.Second, "a", Fault{})
	if kinds[Delivered] != 2 || kinds[Rejected] != 2 || m.Capacity("a") > 0.3 || m.Capacity("b") != 1 {
		t.Errorf("%v, capacities %.2f %.2f", kinds, m.Capacity("a"), m.Capacity("b"))
	}
}

// Whatever is done: each call ends once at most, a message takes effect once a
// call at most, and the same seed tells the same story.
func TestAnyStory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		steps := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) [4]int {
			return [4]int{rapid.IntRange(0, 5).Draw(t, "what"), rapid.IntRange(0, 400).Draw(t, "ms"), rapid.IntRange(0, 2).Draw(t, "end"), rapid.IntRange(0, 10).Draw(t, "n")}
		}), 1, 120).Draw(t, "steps")
		play := func() (answers []Answer, effects []Effect) {
			m := New(3)
			s := plain()
			s.Endpoints = []EndpointSpec{{"a", 0}, {"b", 0}, {"c", 1}}
			s.CV, s.KeyRetention, s.RetryAfterShare, s.StopsOnCancel = 0.5, 5*time.Second, 0.5, 0.3
			s.Limit = Limit{Form: Window, PerSecond: 8, Window: time.Second, CountRejected: true}
			s.OverloadFactor, s.OverloadWindow = 2, 2*time.Second
			if err := m.Add(s); err != nil {
				t.Fatal(err)
			}
			var now time.Duration
			for i, x := range steps {
				now += time.Duration(x[1]) * ms
				id := []string{"a", "b", "c"}[x[2]]
				switch x[0] {
				case 0, 1, 2:
					m.Call(now, Call{ID: uint64(i + 1), Endpoint: id, Messages: []Message{{ID: fmt.Sprint(i), Key: fmt.Sprint(x[3])}}})
				case 3:
					m.Cancel(now, uint64(x[3]+1), id)
				case 4:
					m.SetFault(now, id, Fault{Mode: Mode(x[3] % int(Overloaded)), Share: 0.7, Factor: 2})
				case 5:
					if m.Connect(now, id); x[3] == 0 {
						m.Disconnect(now, id)
					}
				}
			}
			for _, id := range []string{"a", "b", "c"} {
				m.SetFault(now, id, Fault{})
			}
			m.Advance(now + time.Hour)
			if len(m.jobs) > 0 {
				t.Fatalf("%d calls never end", len(m.jobs))
			}
			return m.Answers(), m.Effects()
		}
		answers, effects := play()
		ends := map[uint64]int{}
		for _, a := range answers {
			if ends[a.Call]++; ends[a.Call] > 1 {
				t.Fatalf("call %d ends twice", a.Call)
			}
		}
		ran := map[string]int{}
		for _, e := range effects {
			if ran[e.Message.ID]++; ran[e.Message.ID] > 1 {
				t.Fatalf("message %s takes effect twice", e.Message.ID)
			}
		}
		again, effects2 := play()
		if !reflect.DeepEqual(answers, again) || !reflect.DeepEqual(effects, effects2) {
			t.Fatal("the same seed tells another story")
		}
	})
}

func BenchmarkCall(b *testing.B) {
	m := make1(b, func(s *Spec) { s.Servers, s.QueueLength, s.CV = 50, 100, 0.5 })
	b.ReportAllocs()
	msg := []Message{{ID: "x"}}
	n := uint64(0)
	for b.Loop() {
		n++
		m.Call(time.Duration(n)*2*ms, Call{ID: n, Endpoint: "a", Messages: msg})
		if n%1024 == 0 {
			m.Answers()
			m.Effects()
		}
	}
}
