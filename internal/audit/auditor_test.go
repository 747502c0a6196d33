package audit

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

const ms = time.Millisecond

func testRules() Rules {
	t := SocketRules([]Class{{Idempotency: Idempotent}, {Idempotency: IdempotentByKey, KeyRetention: 12 * time.Second}, {Idempotency: NotIdempotent}, {Idempotency: IdempotentByKey, KeyRetention: 12 * time.Second, KeyZoneScoped: true}}, 2*time.Second)
	t.SeparateRoutes[9] = true
	return t
}

// violatedRule plays a ledger and returns the rules that were broken.
func violatedRule(t *testing.T, name string, list []Event) string {
	t.Helper()
	a := New(testRules())
	for _, e := range list {
		if err := a.Read(e); err != nil {
			t.Fatalf("%s: %v", name, err)
		}
	}
	var rules []string
	for _, b := range a.Close(list[len(list)-1].At + time.Minute) {
		rules = append(rules, string(b.Rule))
	}
	return strings.Join(rules, "; ")
}

func submitted(at time.Duration, id string, class, dest int) Event {
	return Event{At: at, Kind: Submitted, Message: id, Class: class, Dest: dest, TimeLeft: 10 * time.Second}
}

func accepted(at time.Duration, id string) Event { return Event{At: at, Kind: Accepted, Message: id} }

func callSent(at time.Duration, n uint64, endpoint string, dest int, ids ...string) Event {
	return Event{At: at, Kind: Sent, Call: n, Endpoint: endpoint, Dest: dest, Messages: ids}
}

func callEnded(at time.Duration, n uint64, o Outcome) Event {
	return Event{At: at, Kind: Ended, Call: n, Outcome: o}
}

func executed(at time.Duration, call uint64, id string, class int) Event {
	return Event{At: at, Kind: Executed, Call: call, Message: id, Class: class}
}

func withFirstByte(e Event, at time.Duration) Event { e.First = at; return e }

// Each rule broken by one step is found, and its twin just inside is not.
func TestViolations(t *testing.T) {
	const lost, repeated, drained, pushed, waited, wrong = string(RuleOutcome), string(RuleRepeat), string(RuleDrain), string(RuleOverload), string(RuleRetryAfter), string(RuleDestination)
	notice := func(at time.Duration, id string, deferred bool) Event {
		return Event{At: at, Kind: Notice, Message: id, Deferred: deferred}
	}
	zoned := func(e Event, zone int) Event { e.Zone = zone; return e }
	told := func(at time.Duration, endpoint string, leaves bool) Event {
		return Event{At: at, Kind: Notified, Endpoint: endpoint, Leaves: leaves}
	}
	refused := func(at time.Duration, n uint64, wait time.Duration) Event {
		return Event{At: at, Kind: Ended, Call: n, Outcome: NeverRan, RetryAfter: wait}
	}
	longer := func(e Event) Event { e.TimeLeft = 20 * time.Second; return e }
	by := func(e Event, sender int) Event { e.Sender = sender; return e }
	fall := func(saw []int, pushes map[int]int) []Event {
		list := []Event{{At: 1 * ms, Kind: OutageBegan, Dest: 7}}
		for _, s := range saw {
			list = append(list, Event{At: 2 * ms, Kind: FailureSeen, Dest: 7, Sender: s})
		}
		return append(list, Event{At: 3 * ms, Kind: OutageEnded, Dest: 7}, Event{At: 4 * ms, Kind: Overloaded, Dest: 7, CallsBySender: pushes})
	}
	// first is a call of a message of a class, with its end; then a second one.
	again := func(class int, first Outcome, gap time.Duration, zone int) []Event {
		first20 := submitted(0, "m", class, 7)
		first20.TimeLeft = 20 * time.Second
		return []Event{first20, accepted(ms, "m"), callSent(2*ms, 1, "a", 7, "m"), callEnded(3*ms, 1, first),
			zoned(callSent(2*ms+gap, 2, "b", 7, "m"), zone), callEnded(3*ms+gap, 2, Delivered)}
	}
	for _, c := range []struct {
		name string
		list []Event
		want string
	}{
		{"delivered", []Event{submitted(0, "m", 0, 7), accepted(ms, "m"), callSent(2*ms, 1, "a", 7, "m"), callEnded(3*ms, 1, Delivered)}, ""},
		{"delivered before its client heard", []Event{submitted(0, "m", 0, 7), callSent(2*ms, 1, "a", 7, "m"), callEnded(3*ms, 1, Delivered), accepted(4*ms, "m")}, ""},
		{"never ended", []Event{submitted(0, "m", 0, 7), accepted(ms, "m")}, lost},
		{"never taken on", []Event{submitted(0, "m", 0, 7), {At: ms, Kind: Rejected, Message: "m"}}, ""},
		{"a notice at the last instant", []Event{submitted(0, "m", 0, 7), accepted(ms, "m"), notice(10300*ms, "m", true)}, ""},
		{"a notice after it", []Event{submitted(0, "m", 0, 7), accepted(ms, "m"), notice(10301*ms, "m", true)}, lost},
		{"over", []Event{submitted(0, "m", 0, 7), accepted(ms, "m"), callSent(2*ms, 1, "a", 7, "m"), callEnded(3*ms, 1, Over)}, ""},
		{"late after a restart", []Event{submitted(0, "m", 0, 7), accepted(ms, "m"), {At: 10 * time.Second, Kind: Died}, {At: 12 * time.Second, Kind: Ready}, notice(13500*ms, "m", true)}, ""},
		{"too late after a restart", []Event{submitted(0, "m", 0, 7), accepted(ms, "m"), {At: 10 * time.Second, Kind: Died}, {At: 12 * time.Second, Kind: Ready}, notice(13501*ms, "m", true)}, lost},
		{"overdue before the restart", []Event{submitted(0, "m", 0, 7), accepted(ms, "m"), {At: 10301 * ms, Kind: Died}, {At: 12 * time.Second, Kind: Ready}, notice(13*time.Second, "m", true)}, lost},
		{"one of a call fails", []Event{submitted(0, "m", 0, 7), accepted(ms, "m"), submitted(ms, "n", 2, 7), accepted(ms, "n"), callSent(2*ms, 1, "a", 7, "m", "n"),
			{At: 3 * ms, Kind: Ended, Call: 1, Outcome: Delivered, Outcomes: map[string]Outcome{"n": Failed}}, notice(4*ms, "n", false)}, ""},

		{"safe, again", again(0, Failed, time.Second, 0), ""},
		{"unsafe, never ran", again(2, NeverRan, time.Second, 0), ""},
		{"unsafe, may have run", again(2, Failed, time.Second, 0), repeated},
		{"keyed, within", again(1, Failed, 9*time.Second, 0), ""},
		{"keyed, just within", again(1, Failed, 12*time.Second-1, 0), ""},
		{"keyed, just beyond", again(1, Failed, 12*time.Second, 0), repeated},
		{"zoned, same zone", again(3, Failed, time.Second, 0), ""},
		{"zoned, other zone", again(3, Failed, time.Second, 1), repeated},
		{"unsafe, a second copy", []Event{submitted(0, "m", 2, 7), accepted(ms, "m"), callSent(2*ms, 1, "a", 7, "m"), callSent(3*ms, 2, "b", 7, "m"), callEnded(4*ms, 1, Delivered), callEnded(4*ms, 2, Delivered)}, repeated},
		{"unsafe, handed back", []Event{submitted(0, "m", 2, 7), accepted(ms, "m"), callSent(2*ms, 1, "a", 7, "m"), callEnded(3*ms, 1, NeverRan), notice(4*ms, "m", true)}, ""},
		{"unsafe, handed back though it ran", []Event{submitted(0, "m", 2, 7), accepted(ms, "m"), callSent(2*ms, 1, "a", 7, "m"), callEnded(3*ms, 1, Failed), notice(4*ms, "m", true)}, repeated},
		{"keyed, handed back", []Event{submitted(0, "m", 1, 7), accepted(ms, "m"), callSent(2*ms, 1, "a", 7, "m"), callEnded(3*ms, 1, Failed), notice(4*ms, "m", true)}, ""},
		{"zoned, handed back", []Event{submitted(0, "m", 3, 7), accepted(ms, "m"), callSent(2*ms, 1, "a", 7, "m"), callEnded(3*ms, 1, Failed), notice(4*ms, "m", true)}, repeated},
		{"unsafe, failed", []Event{submitted(0, "m", 2, 7), accepted(ms, "m"), callSent(2*ms, 1, "a", 7, "m"), callEnded(3*ms, 1, Failed), notice(4*ms, "m", false)}, ""},

		{"drains", []Event{submitted(0, "m", 0, 7), accepted(ms, "m"), told(2*ms, "a", true), callSent(2052*ms, 1, "a", 7, "m"), callEnded(2060*ms, 1, Delivered)}, ""},
		{"drained", []Event{submitted(0, "m", 0, 7), accepted(ms, "m"), told(2*ms, "a", true), callSent(2053*ms, 1, "a", 7, "m"), callEnded(2060*ms, 1, Delivered)}, drained},
		{"told twice", []Event{submitted(0, "m", 0, 7), accepted(ms, "m"), told(2*ms, "a", true), told(time.Second, "a", true), callSent(2053*ms, 1, "a", 7, "m"), callEnded(2060*ms, 1, Delivered)}, drained},
		{"back on the list", []Event{submitted(0, "m", 0, 7), accepted(ms, "m"), told(2*ms, "a", true), told(time.Second, "a", false), callSent(4*time.Second, 1, "a", 7, "m"), callEnded(5*time.Second, 1, Delivered)}, ""},
		{"another sender was told", []Event{submitted(0, "m", 0, 7), accepted(ms, "m"), by(told(2*ms, "a", true), 1), callSent(4*time.Second, 1, "a", 7, "m"), callEnded(5*time.Second, 1, Delivered)}, ""},

		{"wait kept", []Event{submitted(0, "m", 0, 7), accepted(ms, "m"), callSent(2*ms, 1, "a", 7, "m"), refused(3*ms, 1, time.Second), callSent(1003*ms, 2, "b", 7, "m"), callEnded(1004*ms, 2, Delivered)}, ""},
		{"wait broken", []Event{submitted(0, "m", 0, 7), accepted(ms, "m"), callSent(2*ms, 1, "a", 7, "m"), refused(3*ms, 1, time.Second), callSent(1002*ms, 2, "b", 7, "m"), callEnded(1004*ms, 2, Delivered)}, waited},
		{"just sent", []Event{submitted(0, "m", 0, 7), accepted(ms, "m"), callSent(2*ms, 1, "a", 7, "m"), refused(3*ms, 1, time.Second), callSent(103*ms, 2, "b", 7, "m"), callEnded(1004*ms, 2, Delivered)}, ""},
		{"sent a moment after", []Event{submitted(0, "m", 0, 7), accepted(ms, "m"), callSent(2*ms, 1, "a", 7, "m"), refused(3*ms, 1, time.Second), callSent(104*ms, 2, "b", 7, "m"), callEnded(1004*ms, 2, Delivered)}, waited},
		{"a shorter wait ends none", []Event{submitted(0, "m", 0, 7), accepted(ms, "m"), callSent(2*ms, 1, "a", 7, "m"), callSent(2*ms, 2, "b", 7, "m"), refused(3*ms, 1, time.Second), refused(4*ms, 2, 10*ms), callSent(500*ms, 3, "b", 7, "m"), callEnded(1004*ms, 3, Delivered)}, waited},
		{"another sender goes on", []Event{submitted(0, "m", 0, 7), accepted(ms, "m"), callSent(2*ms, 1, "a", 7, "m"), refused(3*ms, 1, time.Second), by(callSent(500*ms, 2, "b", 7, "m"), 1), callEnded(1004*ms, 2, Delivered)}, ""},
		{"routes apart", []Event{submitted(0, "m", 0, 9), accepted(ms, "m"), callSent(2*ms, 1, "a", 9, "m"), refused(3*ms, 1, time.Second), callSent(500*ms, 2, "b", 9, "m"), callEnded(1004*ms, 2, Delivered)}, ""},
		{"one route", []Event{submitted(0, "m", 0, 9), accepted(ms, "m"), callSent(2*ms, 1, "a", 9, "m"), refused(3*ms, 1, time.Second), callSent(500*ms, 2, "a", 9, "m"), callEnded(1004*ms, 2, Delivered)}, waited},
		{"a restart ends it", []Event{submitted(0, "m", 0, 7), accepted(ms, "m"), callSent(2*ms, 1, "a", 7, "m"), refused(3*ms, 1, time.Second), {At: 200 * ms, Kind: Died}, {At: 300 * ms, Kind: Ready}, callSent(500*ms, 2, "b", 7, "m"), callEnded(1004*ms, 2, Delivered)}, ""},

		{"pushed by those that saw it", fall([]int{0, 1}, map[int]int{0: 10, 1: 10}), pushed},
		{"two thirds", fall([]int{0}, map[int]int{0: 20, 1: 10}), pushed},
		{"less", fall([]int{0}, map[int]int{0: 19, 1: 10}), ""},
		{"nobody saw it", fall(nil, map[int]int{0: 20}), ""},

		{"an effect after its call was called off, and after the end", []Event{submitted(0, "m", 2, 7), accepted(ms, "m"), callSent(2*ms, 1, "a", 7, "m"), callEnded(3*ms, 1, Failed), notice(4*ms, "m", false), executed(30*time.Second, 1, "m", 2)}, ""},
		{"two effects", []Event{submitted(0, "m", 2, 7), accepted(ms, "m"), callSent(2*ms, 1, "a", 7, "m"), callEnded(3*ms, 1, Failed), notice(4*ms, "m", false), executed(5*ms, 1, "m", 2), executed(30*time.Second, 1, "m", 2)}, repeated},
		{"two effects that are allowed", []Event{submitted(0, "m", 0, 7), accepted(ms, "m"), callSent(2*ms, 1, "a", 7, "m"), callEnded(3*ms, 1, Delivered), executed(3*ms, 1, "m", 0), executed(4*ms, 1, "m", 0)}, ""},
		{"a first byte in time", []Event{submitted(0, "m", 0, 7), accepted(ms, "m"), told(10*ms, "a", true), withFirstByte(callSent(2100*ms, 1, "a", 7, "m"), 2060*ms), callEnded(2200*ms, 1, Delivered)}, ""},
		{"a first byte too late", []Event{submitted(0, "m", 0, 7), accepted(ms, "m"), told(10*ms, "a", true), withFirstByte(callSent(2100*ms, 1, "a", 7, "m"), 2061*ms), callEnded(2200*ms, 1, Delivered)}, drained},
		{"a hand-in without an answer", []Event{submitted(0, "m", 2, 7), {At: ms, Kind: Abandoned, Message: "m"}}, ""},
		{"sent after its client gave up", []Event{submitted(0, "m", 2, 7), {At: ms, Kind: Abandoned, Message: "m"}, callSent(2*ms, 1, "a", 7, "m"), callEnded(3*ms, 1, Delivered)}, ""},
		{"sent long after its client gave up", []Event{submitted(0, "m", 2, 7), {At: ms, Kind: Abandoned, Message: "m"}, callSent(15*time.Second, 1, "a", 7, "m"), callEnded(16*time.Second, 1, Delivered)}, ""},
		{"held up on its way beyond its end", []Event{submitted(0, "m", 2, 7), accepted(ms, "m"), notice(5*time.Second, "m", false), withFirstByte(callSent(20*time.Second, 1, "a", 7, "m"), 4*time.Second), callEnded(21*time.Second, 1, Delivered)}, ""},
		{"held up on its way, and sent after its end", []Event{submitted(0, "m", 2, 7), accepted(ms, "m"), notice(5*time.Second, "m", false), withFirstByte(callSent(20*time.Second, 1, "a", 7, "m"), 6*time.Second), callEnded(21*time.Second, 1, Delivered)}, repeated},
		{"a repeat that is held up beyond its window", []Event{longer(submitted(0, "m", 1, 7)), accepted(ms, "m"), callSent(2*ms, 1, "a", 7, "m"), callEnded(3*ms, 1, Failed), withFirstByte(callSent(13*time.Second, 2, "a", 7, "m"), 12*time.Second), callEnded(14*time.Second, 2, Delivered)}, ""},
		{"a repeat that is held up, and left after its window", []Event{longer(submitted(0, "m", 1, 7)), accepted(ms, "m"), callSent(2*ms, 1, "a", 7, "m"), callEnded(3*ms, 1, Failed), withFirstByte(callSent(13*time.Second, 2, "a", 7, "m"), 12*time.Second+2*ms), callEnded(14*time.Second, 2, Delivered)}, repeated},
		{"sent after it was turned away", []Event{submitted(0, "m", 2, 7), {At: ms, Kind: Rejected, Message: "m"}, callSent(2*ms, 1, "a", 7, "m"), callEnded(3*ms, 1, Delivered)}, wrong},

		{"right cell", []Event{submitted(0, "m", 0, 7), accepted(ms, "m"), callSent(2*ms, 1, "a", 7, "m"), callEnded(3*ms, 1, Delivered)}, ""},
		{"wrong cell", []Event{submitted(0, "m", 0, 7), accepted(ms, "m"), callSent(2*ms, 1, "a", 8, "m"), callEnded(3*ms, 1, Delivered)}, wrong},
		{"nobody's message", []Event{callSent(2*ms, 1, "a", 8, "m"), callEnded(3*ms, 1, Delivered)}, wrong},
	} {
		if got := violatedRule(t, c.name, c.list); got != c.want {
			t.Errorf("%s: broken: %q, want %q", c.name, got, c.want)
		}
	}
}

// A break names what it rests on.
func TestViolationNamesItsCause(t *testing.T) {
	a := New(testRules())
	for _, e := range []Event{submitted(0, "m", 2, 7), accepted(ms, "m"), callSent(2*ms, 1, "a", 7, "m"), callEnded(3*ms, 1, Failed), callSent(5*ms, 2, "b", 7, "m")} {
		if err := a.Read(e); err != nil {
			t.Fatal(err)
		}
	}
	b := a.Close(5 * ms)
	if len(b) != 1 || b[0].Message != "m" || fmt.Sprint(b[0].Calls, b[0].Times) != "[1 2] [2ms 5ms]" || b[0].At != 5*ms {
		t.Errorf("%+v", b)
	}
}

// A ledger that can't be is an error, not a judgement.
func TestImpossibleLedgers(t *testing.T) {
	for name, list := range map[string][]Event{
		"back in time":   {submitted(ms, "m", 0, 7), submitted(0, "n", 0, 7)},
		"twice":          {submitted(0, "m", 0, 7), submitted(ms, "m", 0, 7)},
		"no class":       {submitted(0, "m", 17, 7)},
		"end of no call": {callEnded(0, 1, Delivered)},
		"call twice":     {callSent(0, 1, "a", 7), callSent(0, 1, "a", 7)},
		"no hand-in":     {accepted(0, "m")},
		"unknown":        {{Kind: 99}},
	} {
		a := New(testRules())
		var err error
		for _, e := range list {
			if err = a.Read(e); err != nil {
				break
			}
		}
		if err == nil {
			t.Errorf("%s: read without a word", name)
		}
	}
}

// What is over is forgotten: a long ledger takes no more memory than a short one.
func TestMemoryIsBounded(t *testing.T) {
	a := New(testRules())
	most, half := 0, 0
	for i := range 20_000 {
		at, id := time.Duration(i)*10*ms, fmt.Sprint(i)
		for _, e := range []Event{submitted(at, id, i%3, 7), accepted(at, id), callSent(at, uint64(i), "a", 7, id), callEnded(at+ms, uint64(i), Delivered)} {
			if err := a.Read(e); err != nil {
				t.Fatal(err)
			}
		}
		most = max(most, a.Held())
		if i == 10_000 {
			half = most
		}
	}
	// 100 a second, known for 10 s and heldUpSpan: as many in the first half as in all.
	if n, _ := a.Totals(); most > 2600 || most > half || n.Delivered != 20_000 {
		t.Errorf("held %d at most, %d in the first half, %+v", most, half, n)
	}
}

// Of a sender that is stopped, cut off from the platform or that has lost its folder only what it can know or tell is asked.
func TestUnreachableSender(t *testing.T) {
	at := func(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
	was := func(s float64, what EventKind, cause string) Event { return Event{At: at(s), Kind: what, Cause: cause} }
	told := Event{At: at(3), Kind: Notified, Endpoint: "e", Dest: 1, Leaves: true}
	for _, c := range []struct {
		name string
		list []Event
		want string
	}{
		{"a notice that is late", []Event{submitted(0, "a", 0, 1), accepted(0, "a"), was(12, Requested, "")}, string(RuleOutcome)},
		{"cut off, told as it can be", []Event{submitted(0, "a", 0, 1), accepted(0, "a"), was(5, Unreachable, ""), was(20, ReachableAgain, ""), {At: at(21), Kind: Notice, Message: "a"}}, ""},
		{"cut off, and never told", []Event{submitted(0, "a", 0, 1), accepted(0, "a"), was(5, Unreachable, ""), was(20, ReachableAgain, ""), was(22, Requested, "")}, string(RuleOutcome)},
		{"killed", []Event{submitted(0, "a", 0, 1), accepted(0, "a"), was(5, Died, ""), was(6, Ready, ""), was(22, Requested, "")}, string(RuleOutcome)},
		{"killed, and its folder is lost", []Event{submitted(0, "a", 0, 1), accepted(0, "a"), was(5, Died, Wiped), was(6, Ready, ""), was(22, Requested, "")}, ""},
		{"a call after a drain", []Event{submitted(0, "a", 0, 1), accepted(0, "a"), told, callSent(at(6), 1, "e", 1, "a"), callEnded(at(7), 1, Delivered)}, string(RuleDrain)},
		{"told while it was stopped", []Event{submitted(0, "a", 0, 1), accepted(0, "a"), was(2, Died, ""), told, was(6, Ready, ""), callSent(at(7), 1, "e", 1, "a"), callEnded(at(8), 1, Delivered)}, ""},
		{"and two seconds later", []Event{submitted(0, "a", 0, 1), accepted(0, "a"), was(2, Died, ""), told, was(6, Ready, ""), callSent(at(8.5), 1, "e", 1, "a"), callEnded(at(9), 1, Delivered)}, string(RuleDrain)},
	} {
		if got := violatedRule(t, c.name, c.list); got != c.want {
			t.Errorf("%s: %q, want %q", c.name, got, c.want)
		}
	}
}
