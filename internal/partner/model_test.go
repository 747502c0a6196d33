package partner

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const ms = time.Millisecond

// baseSpec returns a destination with one endpoint and without a limit.
func baseSpec() Spec {
	return Spec{
		Dest: 7, Endpoints: []EndpointSpec{{ID: "a"}}, Mean: 100 * ms, Servers: 2, QueueLength: 2, MaxBatch: 3,
		InitialCapacity: 0.25, WarmUp: 10 * time.Second,
	}
}

func newModel(t testing.TB, change func(*Spec)) *Model {
	t.Helper()
	s := baseSpec()
	if change != nil {
		change(&s)
	}
	m := New(1)
	if err := m.Add(s); err != nil {
		t.Fatal(err)
	}
	return m
}

var lastCall uint64

// sendCall sends a call at a time, with one message for each key, or one without a key, and returns the call's id.
func sendCall(t testing.TB, m *Model, at time.Duration, endpoint string, sender int, keys ...string) uint64 {
	t.Helper()
	lastCall++
	c := Call{ID: lastCall, Sender: sender, Endpoint: endpoint}
	for i, k := range keys {
		c.Messages = append(c.Messages, Message{ID: fmt.Sprint("m", lastCall, "-", i), Key: k})
	}
	if len(keys) == 0 {
		c.Messages = []Message{{ID: fmt.Sprint("m", lastCall)}}
	}
	if err := m.Call(at, c); err != nil {
		t.Fatal(err)
	}
	return lastCall
}

// onlyAnswer returns the model's only answer, and fails the test if there is not exactly one.
func onlyAnswer(t testing.TB, m *Model) Answer {
	t.Helper()
	answers := m.Answers()
	if len(answers) != 1 {
		t.Fatalf("answers %+v", answers)
	}
	return answers[0]
}

// The removal of an endpoint resets its calls; a new endpoint needs an unused id.
func TestChurn(t *testing.T) {
	m := newModel(t, nil)
	sendCall(t, m, 0, "a", 0)
	m.Leave(50*ms, "a")
	if a := onlyAnswer(t, m); a.Kind != Reset {
		t.Errorf("%+v", a)
	}
	if m.Join(60*ms, 7, EndpointSpec{ID: "a"}) == nil || m.Join(60*ms, 7, EndpointSpec{ID: "b"}) != nil {
		t.Error("Join accepted a used id, or rejected a new one")
	}
	if err := m.Call(70*ms, Call{ID: 1, Endpoint: "a", Messages: []Message{{ID: "x"}}}); err != ErrUnknownEndpoint {
		t.Errorf("a call to a removed endpoint: %v", err)
	}
}

// For any sequence of operations, each call is answered at most once, each message takes effect at most once per call,
// and the same seed produces the same results.
func TestRandomOperationSequences(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		steps := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) [4]int {
			return [4]int{
				rapid.IntRange(0, 5).Draw(t, "what"), rapid.IntRange(0, 400).Draw(t, "ms"), rapid.IntRange(0, 2).Draw(t, "end"),
				rapid.IntRange(0, 10).Draw(t, "n"),
			}
		}), 1, 120).Draw(t, "steps")
		run := func() (answers []Answer, effects []Effect) {
			m := New(3)
			s := baseSpec()
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
				t.Fatalf("%d calls did not end", len(m.jobs))
			}
			return m.Answers(), m.Effects()
		}
		answers, effects := run()
		answerCounts := map[uint64]int{}
		for _, a := range answers {
			if answerCounts[a.Call]++; answerCounts[a.Call] > 1 {
				t.Fatalf("call %d ends twice", a.Call)
			}
		}
		effectCounts := map[string]int{}
		for _, e := range effects {
			if effectCounts[e.Message.ID]++; effectCounts[e.Message.ID] > 1 {
				t.Fatalf("message %s takes effect twice", e.Message.ID)
			}
		}
		answers2, effects2 := run()
		if !reflect.DeepEqual(answers, answers2) || !reflect.DeepEqual(effects, effects2) {
			t.Fatal("two runs with the same seed produced different results")
		}
	})
}
