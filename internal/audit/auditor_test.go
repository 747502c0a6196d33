package audit

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

const ms = time.Millisecond

func testRules() Rules {
	r := SocketRules([]Class{
		{Idempotency: Idempotent},
		{Idempotency: IdempotentByKey, KeyRetention: 12 * time.Second},
		{Idempotency: NotIdempotent},
		{Idempotency: IdempotentByKey, KeyRetention: 12 * time.Second, KeyZoneScoped: true},
	}, 2*time.Second)
	r.SeparateRoutes[9] = true
	return r
}

// violatedRules reads a ledger and returns the violated rules, separated by semicolons.
func violatedRules(t *testing.T, name string, events []Event) string {
	t.Helper()
	a := New(testRules())
	for _, e := range events {
		if err := a.Read(e); err != nil {
			t.Fatalf("%s: %v", name, err)
		}
	}
	var rules []string
	for _, v := range a.Close(events[len(events)-1].At + time.Minute) {
		rules = append(rules, string(v.Rule))
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

func withFirstByte(e Event, at time.Duration) Event { e.FirstByteAt = at; return e }

// The values that test cases expect for a violation of a rule. An empty string means no violation.
const (
	outcome     = string(RuleOutcome)
	repeat      = string(RuleRepeat)
	drain       = string(RuleDrain)
	overload    = string(RuleOverload)
	retryAfter  = string(RuleRetryAfter)
	destination = string(RuleDestination)
)

func notice(at time.Duration, id string, deferred bool) Event {
	return Event{At: at, Kind: DeliveryReported, Message: id, Deferred: deferred}
}

func inZone(e Event, zone int) Event { e.Zone = zone; return e }

func notified(at time.Duration, endpoint string, leaves bool) Event {
	return Event{At: at, Kind: Notified, Endpoint: endpoint, Leaves: leaves}
}

func rejectedCall(at time.Duration, n uint64, wait time.Duration) Event {
	return Event{At: at, Kind: Ended, Call: n, Outcome: NeverRan, RetryAfter: wait}
}

func withLongDeadline(e Event) Event { e.TimeLeft = 20 * time.Second; return e }

func fromSender(e Event, sender int) Event { e.Sender = sender; return e }

func overloadEvents(witnesses []int, calls map[int]int) []Event {
	list := []Event{{At: 1 * ms, Kind: OutageBegan, Dest: 7}}
	for _, s := range witnesses {
		list = append(list, Event{At: 2 * ms, Kind: FailureSeen, Dest: 7, Sender: s})
	}
	return append(list, Event{At: 3 * ms, Kind: OutageEnded, Dest: 7},
		Event{At: 4 * ms, Kind: Overloaded, Dest: 7, CallsBySender: calls})
}

// sentTwice returns a ledger in which a message of a class is sent in a call that ends with the outcome first, and
// after the gap in a second call to a zone.
func sentTwice(class int, first Outcome, gap time.Duration, zone int) []Event {
	return []Event{
		withLongDeadline(submitted(0, "m", class, 7)), accepted(ms, "m"), callSent(2*ms, 1, "a", 7, "m"),
		callEnded(3*ms, 1, first),
		inZone(callSent(2*ms+gap, 2, "b", 7, "m"), zone), callEnded(3*ms+gap, 2, Delivered),
	}
}

// A ruleCase is a ledger and the rules that it violates.
type ruleCase struct {
	name   string
	events []Event
	want   string
}

// checkRules checks that each ledger violates exactly the expected rules. Most cases come in pairs: one that is just
// within a rule, and one that violates it by the smallest step.
func checkRules(t *testing.T, cases []ruleCase) {
	t.Helper()
	for _, c := range cases {
		if got := violatedRules(t, c.name, c.events); got != c.want {
			t.Errorf("%s: violated rules: %q, want %q", c.name, got, c.want)
		}
	}
}

// A violation lists the calls and the times of the events that caused it.
func TestViolationListsCallsAndTimes(t *testing.T) {
	a := New(testRules())
	for _, e := range []Event{
		submitted(0, "m", 2, 7), accepted(ms, "m"), callSent(2*ms, 1, "a", 7, "m"), callEnded(3*ms, 1, Failed),
		callSent(5*ms, 2, "b", 7, "m"),
	} {
		if err := a.Read(e); err != nil {
			t.Fatal(err)
		}
	}
	violations := a.Close(5 * ms)
	if len(violations) != 1 || violations[0].Message != "m" ||
		fmt.Sprint(violations[0].Calls, violations[0].Times) != "[1 2] [2ms 5ms]" || violations[0].At != 5*ms {
		t.Errorf("violations = %+v", violations)
	}
}

// An inconsistent ledger results in an error, not in a violation.
func TestImpossibleLedgers(t *testing.T) {
	for name, list := range map[string][]Event{
		"back in time":   {submitted(ms, "m", 0, 7), submitted(0, "n", 0, 7)},
		"twice":          {submitted(0, "m", 0, 7), submitted(ms, "m", 0, 7)},
		"no class":       {submitted(0, "m", 17, 7)},
		"end of no call": {callEnded(0, 1, Delivered)},
		"call twice":     {callSent(0, 1, "a", 7), callSent(0, 1, "a", 7)},
		"no submission":  {accepted(0, "m")},
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
			t.Errorf("%s: Read returned no error", name)
		}
	}
}

// Ended messages and calls are evicted, so a long ledger needs no more memory than a short one.
func TestMemoryIsBounded(t *testing.T) {
	a := New(testRules())
	largest, half := 0, 0
	for i := range 20_000 {
		at, id := time.Duration(i)*10*ms, fmt.Sprint(i)
		for _, e := range []Event{
			submitted(at, id, i%3, 7), accepted(at, id), callSent(at, uint64(i), "a", 7, id),
			callEnded(at+ms, uint64(i), Delivered),
		} {
			if err := a.Read(e); err != nil {
				t.Fatal(err)
			}
		}
		largest = max(largest, a.Size())
		if i == 10_000 {
			half = largest
		}
	}
	// 100 messages per second are kept for 10 s plus delayedCallWindow, so the second half needs no more memory than the
	// first.
	if n, _ := a.Totals(); largest > 2600 || largest > half || n.Delivered != 20_000 {
		t.Errorf("size was at most %d, in the first half %d, totals %+v", largest, half, n)
	}
}
