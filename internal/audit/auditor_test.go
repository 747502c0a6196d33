package audit

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

const ms = time.Millisecond

func terms() Rules {
	t := SocketRules([]Class{{Idempotency: Idempotent}, {Idempotency: IdempotentByKey, KeyRetention: 12 * time.Second}, {Idempotency: NotIdempotent}, {Idempotency: IdempotentByKey, KeyRetention: 12 * time.Second, KeyZoneScoped: true}}, 2*time.Second)
	t.SeparateRoutes[9] = true
	return t
}

// judge plays a ledger and returns the rules that were broken.
func judge(t *testing.T, name string, list []Event) string {
	t.Helper()
	a := New(terms())
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

func in(at time.Duration, id string, class, dest int) Event {
	return Event{At: at, Kind: Submitted, Message: id, Class: class, Dest: dest, TimeLeft: 10 * time.Second}
}

func taken(at time.Duration, id string) Event { return Event{At: at, Kind: Accepted, Message: id} }

func sent(at time.Duration, n uint64, endpoint string, dest int, ids ...string) Event {
	return Event{At: at, Kind: Sent, Call: n, Endpoint: endpoint, Dest: dest, Messages: ids}
}

func ended(at time.Duration, n uint64, o Outcome) Event {
	return Event{At: at, Kind: Ended, Call: n, Outcome: o}
}

func took(at time.Duration, call uint64, id string, class int) Event {
	return Event{At: at, Kind: Executed, Call: call, Message: id, Class: class}
}

func first(e Event, at time.Duration) Event { e.First = at; return e }

// Each rule broken by one step is found, and its twin just inside is not.
func TestMutants(t *testing.T) {
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
		first20 := in(0, "m", class, 7)
		first20.TimeLeft = 20 * time.Second
		return []Event{first20, taken(ms, "m"), sent(2*ms, 1, "a", 7, "m"), ended(3*ms, 1, first),
			zoned(sent(2*ms+gap, 2, "b", 7, "m"), zone), ended(3*ms+gap, 2, Delivered)}
	}
	for _, c := range []struct {
		name string
		list []Event
		want string
	}{
		{"delivered", []Event{in(0, "m", 0, 7), taken(ms, "m"), sent(2*ms, 1, "a", 7, "m"), ended(3*ms, 1, Delivered)}, ""},
		{"delivered before its client heard", []Event{in(0, "m", 0, 7), sent(2*ms, 1, "a", 7, "m"), ended(3*ms, 1, Delivered), taken(4*ms, "m")}, ""},
		{"never ended", []Event{in(0, "m", 0, 7), taken(ms, "m")}, lost},
		{"never taken on", []Event{in(0, "m", 0, 7), {At: ms, Kind: Rejected, Message: "m"}}, ""},
		{"a notice at the last instant", []Event{in(0, "m", 0, 7), taken(ms, "m"), notice(10300*ms, "m", true)}, ""},
		{"a notice after it", []Event{in(0, "m", 0, 7), taken(ms, "m"), notice(10301*ms, "m", true)}, lost},
		{"over", []Event{in(0, "m", 0, 7), taken(ms, "m"), sent(2*ms, 1, "a", 7, "m"), ended(3*ms, 1, Over)}, ""},
		{"late after a restart", []Event{in(0, "m", 0, 7), taken(ms, "m"), {At: 10 * time.Second, Kind: Died}, {At: 12 * time.Second, Kind: Ready}, notice(13500*ms, "m", true)}, ""},
		{"too late after a restart", []Event{in(0, "m", 0, 7), taken(ms, "m"), {At: 10 * time.Second, Kind: Died}, {At: 12 * time.Second, Kind: Ready}, notice(13501*ms, "m", true)}, lost},
		{"overdue before the restart", []Event{in(0, "m", 0, 7), taken(ms, "m"), {At: 10301 * ms, Kind: Died}, {At: 12 * time.Second, Kind: Ready}, notice(13*time.Second, "m", true)}, lost},
		{"one of a call fails", []Event{in(0, "m", 0, 7), taken(ms, "m"), in(ms, "n", 2, 7), taken(ms, "n"), sent(2*ms, 1, "a", 7, "m", "n"),
			{At: 3 * ms, Kind: Ended, Call: 1, Outcome: Delivered, Outcomes: map[string]Outcome{"n": Failed}}, notice(4*ms, "n", false)}, ""},

		{"safe, again", again(0, Failed, time.Second, 0), ""},
		{"unsafe, never ran", again(2, NeverRan, time.Second, 0), ""},
		{"unsafe, may have run", again(2, Failed, time.Second, 0), repeated},
		{"keyed, within", again(1, Failed, 9*time.Second, 0), ""},
		{"keyed, just within", again(1, Failed, 12*time.Second-1, 0), ""},
		{"keyed, just beyond", again(1, Failed, 12*time.Second, 0), repeated},
		{"zoned, same zone", again(3, Failed, time.Second, 0), ""},
		{"zoned, other zone", again(3, Failed, time.Second, 1), repeated},
		{"unsafe, a second copy", []Event{in(0, "m", 2, 7), taken(ms, "m"), sent(2*ms, 1, "a", 7, "m"), sent(3*ms, 2, "b", 7, "m"), ended(4*ms, 1, Delivered), ended(4*ms, 2, Delivered)}, repeated},
		{"unsafe, handed back", []Event{in(0, "m", 2, 7), taken(ms, "m"), sent(2*ms, 1, "a", 7, "m"), ended(3*ms, 1, NeverRan), notice(4*ms, "m", true)}, ""},
		{"unsafe, handed back though it ran", []Event{in(0, "m", 2, 7), taken(ms, "m"), sent(2*ms, 1, "a", 7, "m"), ended(3*ms, 1, Failed), notice(4*ms, "m", true)}, repeated},
		{"keyed, handed back", []Event{in(0, "m", 1, 7), taken(ms, "m"), sent(2*ms, 1, "a", 7, "m"), ended(3*ms, 1, Failed), notice(4*ms, "m", true)}, ""},
		{"zoned, handed back", []Event{in(0, "m", 3, 7), taken(ms, "m"), sent(2*ms, 1, "a", 7, "m"), ended(3*ms, 1, Failed), notice(4*ms, "m", true)}, repeated},
		{"unsafe, failed", []Event{in(0, "m", 2, 7), taken(ms, "m"), sent(2*ms, 1, "a", 7, "m"), ended(3*ms, 1, Failed), notice(4*ms, "m", false)}, ""},

		{"drains", []Event{in(0, "m", 0, 7), taken(ms, "m"), told(2*ms, "a", true), sent(2052*ms, 1, "a", 7, "m"), ended(2060*ms, 1, Delivered)}, ""},
		{"drained", []Event{in(0, "m", 0, 7), taken(ms, "m"), told(2*ms, "a", true), sent(2053*ms, 1, "a", 7, "m"), ended(2060*ms, 1, Delivered)}, drained},
		{"told twice", []Event{in(0, "m", 0, 7), taken(ms, "m"), told(2*ms, "a", true), told(time.Second, "a", true), sent(2053*ms, 1, "a", 7, "m"), ended(2060*ms, 1, Delivered)}, drained},
		{"back on the list", []Event{in(0, "m", 0, 7), taken(ms, "m"), told(2*ms, "a", true), told(time.Second, "a", false), sent(4*time.Second, 1, "a", 7, "m"), ended(5*time.Second, 1, Delivered)}, ""},
		{"another sender was told", []Event{in(0, "m", 0, 7), taken(ms, "m"), by(told(2*ms, "a", true), 1), sent(4*time.Second, 1, "a", 7, "m"), ended(5*time.Second, 1, Delivered)}, ""},

		{"wait kept", []Event{in(0, "m", 0, 7), taken(ms, "m"), sent(2*ms, 1, "a", 7, "m"), refused(3*ms, 1, time.Second), sent(1003*ms, 2, "b", 7, "m"), ended(1004*ms, 2, Delivered)}, ""},
		{"wait broken", []Event{in(0, "m", 0, 7), taken(ms, "m"), sent(2*ms, 1, "a", 7, "m"), refused(3*ms, 1, time.Second), sent(1002*ms, 2, "b", 7, "m"), ended(1004*ms, 2, Delivered)}, waited},
		{"just sent", []Event{in(0, "m", 0, 7), taken(ms, "m"), sent(2*ms, 1, "a", 7, "m"), refused(3*ms, 1, time.Second), sent(103*ms, 2, "b", 7, "m"), ended(1004*ms, 2, Delivered)}, ""},
		{"sent a moment after", []Event{in(0, "m", 0, 7), taken(ms, "m"), sent(2*ms, 1, "a", 7, "m"), refused(3*ms, 1, time.Second), sent(104*ms, 2, "b", 7, "m"), ended(1004*ms, 2, Delivered)}, waited},
		{"a shorter wait ends none", []Event{in(0, "m", 0, 7), taken(ms, "m"), sent(2*ms, 1, "a", 7, "m"), sent(2*ms, 2, "b", 7, "m"), refused(3*ms, 1, time.Second), refused(4*ms, 2, 10*ms), sent(500*ms, 3, "b", 7, "m"), ended(1004*ms, 3, Delivered)}, waited},
		{"another sender goes on", []Event{in(0, "m", 0, 7), taken(ms, "m"), sent(2*ms, 1, "a", 7, "m"), refused(3*ms, 1, time.Second), by(sent(500*ms, 2, "b", 7, "m"), 1), ended(1004*ms, 2, Delivered)}, ""},
		{"routes apart", []Event{in(0, "m", 0, 9), taken(ms, "m"), sent(2*ms, 1, "a", 9, "m"), refused(3*ms, 1, time.Second), sent(500*ms, 2, "b", 9, "m"), ended(1004*ms, 2, Delivered)}, ""},
		{"one route", []Event{in(0, "m", 0, 9), taken(ms, "m"), sent(2*ms, 1, "a", 9, "m"), refused(3*ms, 1, time.Second), sent(500*ms, 2, "a", 9, "m"), ended(1004*ms, 2, Delivered)}, waited},
		{"a restart ends it", []Event{in(0, "m", 0, 7), taken(ms, "m"), sent(2*ms, 1, "a", 7, "m"), refused(3*ms, 1, time.Second), {At: 200 * ms, Kind: Died}, {At: 300 * ms, Kind: Ready}, sent(500*ms, 2, "b", 7, "m"), ended(1004*ms, 2, Delivered)}, ""},

		{"pushed by those that saw it", fall([]int{0, 1}, map[int]int{0: 10, 1: 10}), pushed},
		{"two thirds", fall([]int{0}, map[int]int{0: 20, 1: 10}), pushed},
		{"less", fall([]int{0}, map[int]int{0: 19, 1: 10}), ""},
		{"nobody saw it", fall(nil, map[int]int{0: 20}), ""},

		{"an effect after its call was called off, and after the end", []Event{in(0, "m", 2, 7), taken(ms, "m"), sent(2*ms, 1, "a", 7, "m"), ended(3*ms, 1, Failed), notice(4*ms, "m", false), took(30*time.Second, 1, "m", 2)}, ""},
		{"two effects", []Event{in(0, "m", 2, 7), taken(ms, "m"), sent(2*ms, 1, "a", 7, "m"), ended(3*ms, 1, Failed), notice(4*ms, "m", false), took(5*ms, 1, "m", 2), took(30*time.Second, 1, "m", 2)}, repeated},
		{"two effects that are allowed", []Event{in(0, "m", 0, 7), taken(ms, "m"), sent(2*ms, 1, "a", 7, "m"), ended(3*ms, 1, Delivered), took(3*ms, 1, "m", 0), took(4*ms, 1, "m", 0)}, ""},
		{"a first byte in time", []Event{in(0, "m", 0, 7), taken(ms, "m"), told(10*ms, "a", true), first(sent(2100*ms, 1, "a", 7, "m"), 2060*ms), ended(2200*ms, 1, Delivered)}, ""},
		{"a first byte too late", []Event{in(0, "m", 0, 7), taken(ms, "m"), told(10*ms, "a", true), first(sent(2100*ms, 1, "a", 7, "m"), 2061*ms), ended(2200*ms, 1, Delivered)}, drained},
		{"a hand-in without an answer", []Event{in(0, "m", 2, 7), {At: ms, Kind: Abandoned, Message: "m"}}, ""},
		{"sent after its client gave up", []Event{in(0, "m", 2, 7), {At: ms, Kind: Abandoned, Message: "m"}, sent(2*ms, 1, "a", 7, "m"), ended(3*ms, 1, Delivered)}, ""},
		{"sent long after its client gave up", []Event{in(0, "m", 2, 7), {At: ms, Kind: Abandoned, Message: "m"}, sent(15*time.Second, 1, "a", 7, "m"), ended(16*time.Second, 1, Delivered)}, ""},
		{"held up on its way beyond its end", []Event{in(0, "m", 2, 7), taken(ms, "m"), notice(5*time.Second, "m", false), first(sent(20*time.Second, 1, "a", 7, "m"), 4*time.Second), ended(21*time.Second, 1, Delivered)}, ""},
		{"held up on its way, and sent after its end", []Event{in(0, "m", 2, 7), taken(ms, "m"), notice(5*time.Second, "m", false), first(sent(20*time.Second, 1, "a", 7, "m"), 6*time.Second), ended(21*time.Second, 1, Delivered)}, repeated},
		{"a repeat that is held up beyond its window", []Event{longer(in(0, "m", 1, 7)), taken(ms, "m"), sent(2*ms, 1, "a", 7, "m"), ended(3*ms, 1, Failed), first(sent(13*time.Second, 2, "a", 7, "m"), 12*time.Second), ended(14*time.Second, 2, Delivered)}, ""},
		{"a repeat that is held up, and left after its window", []Event{longer(in(0, "m", 1, 7)), taken(ms, "m"), sent(2*ms, 1, "a", 7, "m"), ended(3*ms, 1, Failed), first(sent(13*time.Second, 2, "a", 7, "m"), 12*time.Second+2*ms), ended(14*time.Second, 2, Delivered)}, repeated},
		{"sent after it was turned away", []Event{in(0, "m", 2, 7), {At: ms, Kind: Rejected, Message: "m"}, sent(2*ms, 1, "a", 7, "m"), ended(3*ms, 1, Delivered)}, wrong},

		{"right cell", []Event{in(0, "m", 0, 7), taken(ms, "m"), sent(2*ms, 1, "a", 7, "m"), ended(3*ms, 1, Delivered)}, ""},
		{"wrong cell", []Event{in(0, "m", 0, 7), taken(ms, "m"), sent(2*ms, 1, "a", 8, "m"), ended(3*ms, 1, Delivered)}, wrong},
		{"nobody's message", []Event{sent(2*ms, 1, "a", 8, "m"), ended(3*ms, 1, Delivered)}, wrong},
	} {
		if got := judge(t, c.name, c.list); got != c.want {
			t.Errorf("%s: broken: %q, want %q", c.name, got, c.want)
		}
	}
}

// A break names what it rests on.
func TestBreakNames(t *testing.T) {
	a := New(terms())
	for _, e := range []Event{in(0, "m", 2, 7), taken(ms, "m"), sent(2*ms, 1, "a", 7, "m"), ended(3*ms, 1, Failed), sent(5*ms, 2, "b", 7, "m")} {
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
func TestImpossible(t *testing.T) {
	for name, list := range map[string][]Event{
		"back in time":   {in(ms, "m", 0, 7), in(0, "n", 0, 7)},
		"twice":          {in(0, "m", 0, 7), in(ms, "m", 0, 7)},
		"no class":       {in(0, "m", 17, 7)},
		"end of no call": {ended(0, 1, Delivered)},
		"call twice":     {sent(0, 1, "a", 7), sent(0, 1, "a", 7)},
		"no hand-in":     {taken(0, "m")},
		"unknown":        {{Kind: 99}},
	} {
		a := New(terms())
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
func TestForgets(t *testing.T) {
	a := New(terms())
	most, half := 0, 0
	for i := range 20_000 {
		at, id := time.Duration(i)*10*ms, fmt.Sprint(i)
		for _, e := range []Event{in(at, id, i%3, 7), taken(at, id), sent(at, uint64(i), "a", 7, id), ended(at+ms, uint64(i), Delivered)} {
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
func TestOutOfReach(t *testing.T) {
	at := func(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
	was := func(s float64, what EventKind, cause string) Event { return Event{At: at(s), Kind: what, Cause: cause} }
	told := Event{At: at(3), Kind: Notified, Endpoint: "e", Dest: 1, Leaves: true}
	for _, c := range []struct {
		name string
		list []Event
		want string
	}{
		{"a notice that is late", []Event{in(0, "a", 0, 1), taken(0, "a"), was(12, Requested, "")}, string(RuleOutcome)},
		{"cut off, told as it can be", []Event{in(0, "a", 0, 1), taken(0, "a"), was(5, Unreachable, ""), was(20, ReachableAgain, ""), {At: at(21), Kind: Notice, Message: "a"}}, ""},
		{"cut off, and never told", []Event{in(0, "a", 0, 1), taken(0, "a"), was(5, Unreachable, ""), was(20, ReachableAgain, ""), was(22, Requested, "")}, string(RuleOutcome)},
		{"killed", []Event{in(0, "a", 0, 1), taken(0, "a"), was(5, Died, ""), was(6, Ready, ""), was(22, Requested, "")}, string(RuleOutcome)},
		{"killed, and its folder is lost", []Event{in(0, "a", 0, 1), taken(0, "a"), was(5, Died, Wiped), was(6, Ready, ""), was(22, Requested, "")}, ""},
		{"a call after a drain", []Event{in(0, "a", 0, 1), taken(0, "a"), told, sent(at(6), 1, "e", 1, "a"), ended(at(7), 1, Delivered)}, string(RuleDrain)},
		{"told while it was stopped", []Event{in(0, "a", 0, 1), taken(0, "a"), was(2, Died, ""), told, was(6, Ready, ""), sent(at(7), 1, "e", 1, "a"), ended(at(8), 1, Delivered)}, ""},
		{"and two seconds later", []Event{in(0, "a", 0, 1), taken(0, "a"), was(2, Died, ""), told, was(6, Ready, ""), sent(at(8.5), 1, "e", 1, "a"), ended(at(9), 1, Delivered)}, string(RuleDrain)},
	} {
		if got := judge(t, c.name, c.list); got != c.want {
			t.Errorf("%s: %q, want %q", c.name, got, c.want)
		}
	}
}
