package control

import (
	"bufio"
	"cmp"
	"math"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"testing"
	"time"
)

// TestModuleSize keeps the printed module within its limits.
func TestModuleSize(t *testing.T) {
	f, err := os.Open("control.go")
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	n, lines := 0, bufio.NewScanner(f)
	for lines.Scan() {
		if strings.TrimSpace(lines.Text()) != "" {
			n++
		}
		if len(lines.Text()) > 110 {
			t.Errorf("line longer than 110: %q", lines.Text())
		}
	}
	if n == 0 || n > 940 {
		t.Errorf("control.go has %d lines that are not blank; 940 at most", n)
	}
}

func TestNewNamesTheSetting(t *testing.T) {
	for key, spoil := range map[string]func(*Settings){
		"Classes":      func(s *Settings) { s.Classes = nil },
		"Classes[1]":   func(s *Settings) { s.Classes[1].Deadline = -1 },
		"Kinds[0]":     func(s *Settings) { s.Kinds[0].MaxBatch = 0 },
		"Slots":        func(s *Settings) { s.MaxInFlight = 0 },
		"ColdFrom":     func(s *Settings) { s.ColdCapacity = -0.1 },
		"FallWindow":   func(s *Settings) { s.OverloadWindow = -1 },
		"Tenants[0]":   func(s *Settings) { s.Tenants = []Tenant{{Quota: -1}} },
		"FallMultiple": func(s *Settings) { s.OverloadFactor = -2 },
	} {
		set := settings()
		spoil(&set)
		if _, err := New(set, nil); err == nil || !strings.HasPrefix(err.Error(), key) {
			t.Errorf("%s: error %v does not name it", key, err)
		}
	}
}

// A fresh head goes before deferred ones; those go once none is left.
func TestFreshBeforeDeferred(t *testing.T) {
	set := settings()
	set.MaxInFlight = 1
	r := newRecorder(t, set)
	r.ready(0, 1)
	blocker := r.arrive(1, 0, 0)
	old := r.hand(Message{ID: 2, Destination: 0, TimeLeft: set.Classes[0].Deadline - 1500*ms})
	young := r.arrive(3, 0, 0)
	r.pass(50 * ms)
	if !blocker.out || old.out || young.out {
		t.Fatal("one slot should carry the first message only")
	}
	r.answer(1, Served, 0)
	if old.out || !young.out {
		t.Fatal("the fresh message should go before the deferred one")
	}
	r.answer(3, Served, 0)
	if !old.out {
		t.Fatal("the deferred message should go once no fresh one is left")
	}
}

// A message that can't meet its deadline any more is handed back at once, with advice.
func TestRefusedAtLastCall(t *testing.T) {
	r := newRecorder(t, settings())
	r.ready(0, 1)
	r.arrive(1, 0, 0)
	r.pass(400 * ms)
	r.answer(1, Served, 0)
	late := r.hand(Message{ID: 2, Destination: 0, TimeLeft: 100 * ms})
	if late.final != "refused" || late.advice <= 0 {
		t.Fatalf("got %q with advice %v", late.final, late.advice)
	}
	homeless := r.hand(Message{ID: 3, Destination: 9, TimeLeft: 500 * ms})
	spent := r.hand(Message{ID: 4, Destination: 0, TimeLeft: 0})
	r.pass(time.Second)
	if homeless.final != "refused" || spent.final != "refused" {
		t.Fatalf("no endpoint: %q, no time: %q", homeless.final, spent.final)
	}
}

// Quick refusals and time-outs must not move T_m.
func TestCallTimeFromServedOnly(t *testing.T) {
	r := newRecorder(t, settings())
	r.ready(0, 1)
	r.arrive(1, 0, 0)
	r.pass(200 * ms)
	r.answer(1, Served, 0)
	before := r.c.dest(0).tm
	r.arrive(2, 0, 0)
	r.pass(5 * ms)
	r.answer(2, Rejected, 0)
	r.pass(3 * time.Second)
	if got := r.c.dest(0).tm; got != before {
		t.Fatalf("T_m moved from %v to %v", before, got)
	}
}

// Unsafe messages that may have run fail; those that can't have run go again.
func TestUnsafeOnlyOnce(t *testing.T) {
	for res, again := range map[Result]bool{
		Failed: false, TimedOut: false, ConnectionLost: false, Canceled: false, Unknown: false, Rejected: true, ConnectFailed: true,
	} {
		r := newRecorder(t, settings())
		r.ready(0, 2)
		m := r.arrive(1, 2, 0)
		r.pass(10 * ms)
		r.answer(1, res, 0)
		if !again && m.final != "failed" {
			t.Errorf("result %d: got %q, want failed at once", res, m.final)
		}
		r.pass(2 * time.Second)
		if again && m.sends < 2 {
			t.Errorf("result %d: not sent again", res)
		}
	}
}

// Keyed messages are repeated only inside their memory.
func TestKeyedInsideMemory(t *testing.T) {
	set := settings()
	set.Classes[1].KeyRetention = 300 * ms
	r := newRecorder(t, set)
	r.ready(0, 2)
	m := r.arrive(1, 1, 0)
	r.pass(100 * ms)
	r.answer(1, ConnectionLost, 0)
	if m.sends != 2 {
		t.Fatalf("%d sends inside the memory, want 2", m.sends)
	}
	r.pass(250 * ms)
	r.answer(1, ConnectionLost, 0)
	if m.final == "" || m.sends != 2 {
		t.Fatalf("past the memory: %q after %d sends", m.final, m.sends)
	}
}

// With a memory in one zone the repeat stays in it, and no refusal is told.
func TestKeyedZoneScope(t *testing.T) {
	set := settings()
	set.Classes[1].KeyZoneScoped = true
	r := newRecorder(t, set)
	r.ready(0, 4)
	m := r.arrive(1, 1, 0)
	first := m.to
	r.pass(20 * ms)
	r.answer(1, ConnectionLost, 0)
	if m.sends != 2 || m.to%2 != first%2 {
		t.Fatalf("repeat went from %d to %d", first, m.to)
	}
	r.pass(9 * time.Second)
	if m.final != "failed" {
		t.Fatalf("ended %q, want failed", m.final)
	}
}

func TestDrainStopsSends(t *testing.T) {
	r := newRecorder(t, settings())
	r.ready(0, 1)
	r.lists(ListDelta, Endpoint{ID: 0, Destination: 0, State: Draining})
	m := r.arrive(1, 0, 0)
	r.pass(time.Second)
	if m.sends != 0 {
		t.Fatal("sent to a draining endpoint")
	}
	r.lists(ListFull, Endpoint{ID: 7, Destination: 0, State: Ready})
	if !m.out || m.to != 7 {
		t.Fatal("not sent to the new endpoint")
	}
}

// A told wait halts its destination; where routes are apart, its endpoint only.
func TestToldWait(t *testing.T) {
	for _, apart := range []bool{false, true} {
		set := settings()
		set.Kinds[0].SeparateRoutes = apart
		r := newRecorder(t, set)
		r.ready(0, 2)
		m := r.arrive(1, 0, 0)
		first := m.to
		r.pass(10 * ms)
		r.answer(1, Rejected, 800*ms)
		r.pass(600 * ms)
		if apart != (m.sends == 2) || apart && m.to == first {
			t.Fatalf("apart %v: %d sends, to %d after %d", apart, m.sends, m.to, first)
		}
		r.pass(600 * ms)
		if m.sends != 2 {
			t.Fatalf("apart %v: not sent after the wait", apart)
		}
	}
}

// Messages of one key take turns, and the key rests after a time-out.
func TestTurnsByKey(t *testing.T) {
	set := settings()
	set.Classes[2].Ordered = true
	r := newRecorder(t, set)
	r.ready(0, 2)
	hand := func(id MessageID) *tracked {
		return r.hand(Message{ID: id, Class: 2, Destination: 0, TimeLeft: 8000 * ms, Key: 5})
	}
	first, second := hand(1), hand(2)
	if !first.out || second.out {
		t.Fatal("the second message of a key must wait for the first")
	}
	r.pass(20 * ms)
	r.answer(1, ConnectionLost, 0)
	r.pass(set.OrderedPause - 100*ms)
	if second.out {
		t.Fatal("the key must rest after an attempt that may still run")
	}
	r.pass(time.Second)
	if second.sends == 0 {
		t.Fatal("the second message never got its turn")
	}
}

// outage opens the route of destination 0 by a hang that lasts.
func outage(r *recorder) {
	r.ready(0, 2)
	r.arrive(1, 0, 0)
	r.pass(100 * ms)
	r.answer(1, Served, 0)
	for id := MessageID(2); id < 10; id++ {
		r.arrive(id, 0, 0)
		r.pass(300 * ms)
	}
}

// A hung destination must not take the slots, and is tested by lone probes.
func TestHangLeavesSlots(t *testing.T) {
	r := newRecorder(t, settings())
	outage(r)
	if n := r.out(0); n > r.set.MaxInFlight/2 {
		t.Fatalf("%d calls out at a hung destination", n)
	}
	if !r.c.dest(0).shared.open || len(r.probes) == 0 {
		t.Fatalf("the route should be open and probed: %v", r.trace)
	}
	r.ready(1, 1)
	if m := r.arrive(50, 0, 1); !m.out {
		t.Fatal("another destination got no slot")
	}
}

// Without probes a lone call tests an open route.
func TestHangTestedByLoneCall(t *testing.T) {
	set := settings()
	set.CanHealthCheck = false
	r := newRecorder(t, set)
	outage(r)
	sends := 0
	for _, m := range r.msgs {
		sends += m.sends
	}
	r.pass(4 * time.Second)
	after := 0
	for _, m := range r.msgs {
		after += m.sends
	}
	if len(r.probes) > 0 || after == sends || after > sends+8 {
		t.Fatalf("%d probes, %d calls in 4 s of outage", len(r.probes), after-sends)
	}
}

// After an outage sends rise slowly: the budget of a cold destination is kept.
func TestColdReturnIsPaced(t *testing.T) {
	r := newRecorder(t, settings())
	r.set.WeightKind = WeightsUnset
	outage(r)
	r.pass(3 * time.Second)
	for id := MessageID(100); id < 160; id++ {
		r.arrive(id, 0, 0)
	}
	before := len(r.trace)
	r.c.HealthChecked(r.now, r.probes[len(r.probes)-1], Served, 20*ms, nil)
	r.c.Decide(r.now)
	r.serve(r.set.OverloadWindow, 600*ms, 1, 10)
	sends := 0
	for _, line := range r.trace[before:] {
		if strings.Contains(line, "send ") {
			sends++
		}
	}
	budget := r.set.OverloadFactor * 10 * 0.35 * r.set.OverloadWindow.Seconds()
	if sends == 0 || float64(sends) > budget {
		t.Fatalf("%d sends to a cold destination within its fall window, budget %.1f", sends, budget)
	}
}

// A single refusal between served calls is no outage: no slow start follows.
func TestRefusalIsNoOutage(t *testing.T) {
	r := newRecorder(t, settings())
	r.ready(0, 1)
	for id := MessageID(1); id < 20; id++ {
		r.arrive(id, 0, 0)
		r.pass(50 * ms)
		if id%4 == 0 {
			r.answer(id, Rejected, 0)
		} else {
			r.answer(id, Served, 0)
		}
		r.serve(200*ms, 50*ms)
	}
	if rt := r.c.dest(0).shared; rt.open || rt.warming {
		t.Fatalf("open %v, warming %v", rt.open, rt.warming)
	}
}

// Calls keep to a told limit.
func TestPaceByLimit(t *testing.T) {
	r := newRecorder(t, settings())
	r.ready(0, 2)
	r.arrive(1, 0, 0)
	r.serve(100*ms, 50*ms, 0.1, 4)
	for id := MessageID(2); id < 60; id++ {
		r.arrive(id, 0, 0)
	}
	before := len(r.trace)
	r.serve(3*time.Second, 50*ms, 0.1, 4)
	sends := strings.Count(strings.Join(r.trace[before:], "\n"), "send ")
	if sends < 6 || sends > 16 {
		t.Fatalf("%d calls in 3 s at a limit of 4 a second", sends)
	}
}

// A slow destination may not take the last slots from quick ones.
func TestSlowLeavesLastSlots(t *testing.T) {
	r := newRecorder(t, settings())
	r.ready(0, 2)
	r.ready(1, 2)
	id := MessageID(0)
	for range 60 {
		id++
		r.arrive(id, 0, 1)
		r.serve(60*ms, 50*ms)
	}
	r.c.dest(0).tm = 900 * ms
	for range 20 {
		id++
		r.arrive(id, 0, 0)
	}
	if n := r.out(0); n == 0 || n > 6 {
		t.Fatalf("%d calls of 8 slots out at a slow destination", n)
	}
	id++
	if m := r.arrive(id, 0, 1); !m.out {
		t.Fatal("the quick destination got no slot")
	}
}

// Connections that lose calls after lying idle are closed before the next call.
func TestStaleConnectionsClosed(t *testing.T) {
	r := newRecorder(t, settings())
	r.ready(0, 1)
	id := MessageID(0)
	call := func(idle time.Duration, res Result) {
		r.pass(idle)
		id++
		r.arrive(id, 0, 0)
		r.pass(50 * ms)
		r.answer(id, res, 0)
		r.serve(100*ms, 50*ms)
	}
	for range 12 {
		call(20*ms, Served)
		call(20*ms, Served)
		call(1500*ms, ConnectionLost)
	}
	if len(r.closed) == 0 {
		t.Fatal("no idle connection was closed")
	}
	r2 := newRecorder(t, settings())
	outage(r2)
	if len(r2.closed) > 0 {
		t.Fatal("a hang is no reason to close connections")
	}
}

// Where the list answers only when asked, a failure is followed by asking again.
func TestAskForList(t *testing.T) {
	set := settings()
	set.PollsList = true
	r := newRecorder(t, set)
	r.lists(ListCached, Endpoint{ID: 1, State: Ready})
	if r.watches != 1 {
		t.Fatalf("asked %d times at the start", r.watches)
	}
	r.lists(ListFailed)
	r.pass(set.MaxPollInterval / 2)
	if r.watches < 2 {
		t.Fatal("not asked again after a failure")
	}
	r.lists(ListDelta)
	n := r.watches
	r.pass(set.MaxPollInterval)
	if r.watches != n {
		t.Fatal("asked again though subscribed")
	}
}

// Discovery works through asks in turn, also through those whose askers have given up after two seconds. Of 80
// senders that start at one instant each is told within ten seconds, and discovery is never asked much more than
// it can answer.
func TestManySendersAskDiscoveryInTurn(t *testing.T) {
	const senders, step, perStep = 80, 100 * ms, 1.5 // 15 asks a second
	type ask struct {
		by int
		at time.Duration
	}
	var queue []ask
	fleet, seen, told := make([]*recorder, senders), make([]int, senders), make([]bool, senders)
	for i := range fleet {
		set := settings()
		set.PollsList, set.FleetSize, set.Seed = true, senders, uint64(i)
		fleet[i] = newRecorder(t, set)
		fleet[i].lists(ListCached, Endpoint{ID: 1, State: Ready})
	}
	done, asks, room := 0, 0, 0.0
	var last time.Duration
	for now := time.Duration(0); now < 30*time.Second; now += step {
		for i, r := range fleet {
			if n := r.watches - seen[i]; n > 0 {
				queue, asks, seen[i] = append(queue, ask{i, now}), asks+n, r.watches
			}
		}
		for room += perStep; room >= 1 && len(queue) > 0; room-- {
			q := queue[0]
			queue = queue[1:]
			if now-q.at <= 2*time.Second {
				fleet[q.by].lists(ListDelta)
				told[q.by], done, last = true, done+1, now
			} else if now-q.at <= 2*time.Second+step { // worked off as it gives up, and not told below
				fleet[q.by].lists(ListFailed)
			}
		}
		for i := range queue { // they give up, but discovery still comes to them
			if q := &queue[i]; now-q.at > 2*time.Second && now-q.at <= 2*time.Second+step {
				fleet[q.by].lists(ListFailed)
			}
		}
		room = min(room, perStep)
		for _, r := range fleet {
			r.pass(step)
		}
	}
	if done < senders || last > 10*time.Second || asks > 2*senders {
		t.Fatalf("%d of %d told, the last after %v, with %d asks", done, senders, last, asks)
	}
}

// What 80 senders send in sum stays below a limit that is lowered to a sixth, where refused calls use it up: one
// refusal told to all slows all at once. With half of the notes lost it takes longer, and without any each slows
// by what it learns alone. A note never makes a sender send more.
func TestManySendersKeepALimitTogether(t *testing.T) {
	const senders, step, whole, low, seeds = 80, 20 * ms, 80.0, 13.0, 5 // in the mean of so many
	play := func(name string, lost float64, seed uint64) (served, turned int) {
		rng := rand.New(rand.NewPCG(7, seed))
		fleet := make([]*recorder, senders)
		for i := range fleet {
			set := settings()
			set.FleetSize, set.CanGossip, set.WeightKind, set.Seed = senders, true, WeightsApproximate, uint64(i)
			set.HeadroomIndex, set.LimitIndex = -1, -1
			fleet[i] = newRecorder(t, set)
			fleet[i].lists(ListFull, Endpoint{ID: 1, State: Ready, Weight: whole})
		}
		room, id := 0.0, MessageID(0)
		for now := time.Duration(0); now < 15*time.Second; now += step {
			limit := whole
			if now >= 3*time.Second && now < 12*time.Second {
				limit = low
			}
			room = min(room+limit*step.Seconds(), limit/5)
			for i, r := range fleet {
				if rng.Float64() < 0.8*whole/senders*step.Seconds() {
					id++
					r.arrive(id, 0, 0)
				}
				for _, m := range slices.Clone(r.arrivals) {
					if !r.msgs[m].out {
						continue
					}
					if room--; room < 0 { // a refused call uses the limit up, too
						room = max(room, -limit/5)
						r.answer(m, Rejected, 0)
					} else {
						r.answer(m, Served, 0)
					}
					if limit == low && room < 0 {
						turned++
					} else if limit == low {
						served++
					}
				}
				for _, n := range r.told {
					for j, other := range fleet {
						if j != i && rng.Float64() >= lost {
							share := other.c.dest(0).shared.share
							other.c.ReceiveGossip(other.now, n)
							if after := other.c.dest(0).shared.share; after > share {
								t.Fatalf("%s: a note raised a share from %v to %v", name, share, after)
							}
						}
					}
				}
				r.told = nil
			}
			for _, r := range fleet {
				r.pass(step)
			}
		}
		return served, turned
	}
	for _, c := range []struct {
		name   string
		lost   float64
		served int // in 9 s of the lowered limit, at least
		turned int // in the same time, at most
	}{{"all arrive", 0, 60, 100}, {"half lost", 0.5, 25, 150}, {"none arrives", 1, 5, 400}} {
		served, turned := 0, 0
		for seed := range uint64(seeds) {
			s, n := play(c.name, c.lost, seed)
			served, turned = served+s, turned+n
		}
		if served < seeds*c.served || turned > seeds*c.turned {
			t.Errorf("%s: %d served and %d refused while the limit was low, want %d and %d", c.name, served/seeds, turned/seeds, c.served, c.turned)
		}
		t.Logf("%s: %d served, %d refused", c.name, served/seeds, turned/seeds)
	}
}

// Sends of one instant to one endpoint share a call: one slot until all are answered.
func TestBatchSharesSlot(t *testing.T) {
	set := settings()
	set.Kinds[0].MaxBatch = 3
	set.MaxInFlight = 2
	r := newRecorder(t, set)
	r.ready(0, 1)
	for id := MessageID(1); id <= 4; id++ {
		r.arrive(id, 0, 0)
	}
	if r.c.calls > 2 || !r.msgs[3].out {
		t.Fatalf("%d slots for a call of three", r.c.calls)
	}
	r.pass(20 * ms)
	r.answer(1, Served, 0)
	r.answer(2, Served, 0)
	if before := r.c.dest(0).out; before == 0 {
		t.Fatal("the slot was freed before all were answered")
	}
}

// A long told wait is an outage: one test after it, not all that is queued.
func TestLongWaitIsOutage(t *testing.T) {
	r := newRecorder(t, settings())
	r.ready(0, 2)
	r.arrive(1, 0, 0)
	r.pass(50 * ms)
	r.answer(1, Rejected, 2*r.set.OverloadWindow)
	for id := MessageID(2); id < 12; id++ {
		r.arrive(id, 0, 0)
	}
	r.pass(2*r.set.OverloadWindow - 50*ms)
	before := len(r.trace)
	r.pass(r.set.OverloadWindow)
	tests := strings.Count(strings.Join(r.trace[before:], "\n"), "send ")
	if tests > 2 {
		t.Fatalf("%d sends within a fall window of the end of a long wait", tests)
	}
	r.pass(r.set.WarmUp)
	if after := strings.Count(strings.Join(r.trace, "\n"), "send "); after < 2 {
		t.Fatal("never tested after the wait")
	}
}

// A call from before a long told wait that is served in it does not undo the outage:
// `cleathold lab sim` found returning partners pushed over after such an answer.
func TestStragglerDoesNotEndOutage(t *testing.T) {
	r := newRecorder(t, settings())
	r.ready(0, 2)
	r.arrive(1, 0, 0)
	r.arrive(2, 0, 0)
	r.pass(50 * ms)
	if r.out(0) != 2 {
		t.Fatalf("%d calls out", r.out(0))
	}
	r.answer(1, Rejected, 2*r.set.OverloadWindow)
	r.pass(20 * ms)
	r.answer(2, Served, 0)
	for id := MessageID(3); id < 13; id++ {
		r.arrive(id, 0, 0)
	}
	r.pass(2*r.set.OverloadWindow - 50*ms)
	before := len(r.trace)
	r.pass(r.set.OverloadWindow)
	if tests := strings.Count(strings.Join(r.trace[before:], "\n"), "send "); tests > 2 {
		t.Fatalf("%d sends within a fall window of the end of a long wait", tests)
	}
}

// Calls of a silent destination are called off when another's message wants the slot.
func TestOverdueCallsAreCalledOff(t *testing.T) {
	for _, wanted := range []bool{false, true} {
		set := settings()
		set.MaxInFlight = 2
		r := newRecorder(t, set)
		for dest := range 3 {
			r.ready(dest, 1)
			r.arrive(MessageID(1+dest), 0, dest)
			r.serve(60*ms, 50*ms)
		}
		r.arrive(10, 2, 0)
		for id := MessageID(11); id < 31; id++ {
			if wanted {
				r.arrive(id, 0, 1+int(id)%2)
			}
			for range 10 {
				r.pass(5 * ms)
				for _, other := range r.arrivals {
					if m := r.msgs[other]; other > 10 && m.out && r.now >= m.sentAt+100*ms {
						r.answer(other, Served, 0)
					}
				}
			}
		}
		if called := strings.Contains(strings.Join(r.trace, "\n"), "cancel 10.0"); called != wanted {
			t.Errorf("slots wanted %v: called off %v", wanted, called)
		}
	}
}

// Messages withdrawn by their clients get no answer, and their slots come free.
func TestGoneFreesAll(t *testing.T) {
	r := newRecorder(t, settings())
	r.ready(0, 1)
	m := r.arrive(1, 0, 0)
	m.final = "gone"
	r.c.Abandon(r.now, 1)
	r.c.Decide(r.now)
	r.pass(20 * ms)
	r.answer(1, TimedOut, 0)
	if r.c.calls != 0 || len(r.c.messages) != 0 || m.sends != 1 {
		t.Fatalf("%d slots, %d messages, %d sends", r.c.calls, len(r.c.messages), m.sends)
	}
}

// A streamed answer that has started belongs to the client: no time-out, no last call.
func TestStreamOutlivesDeadline(t *testing.T) {
	r := newRecorder(t, settings())
	r.ready(0, 1)
	m := r.arrive(1, 0, 0)
	m.timeout, m.due = time.Hour, time.Hour*100
	r.c.StreamStarted(r.now, 1)
	r.c.Decide(r.now)
	r.pass(20 * time.Second)
	if m.final != "" || !m.out {
		t.Fatalf("ended %q", m.final)
	}
	r.answer(1, Served, 0)
	if r.c.calls != 0 {
		t.Fatal("slot not freed")
	}
}

// An endpoint that failed is tried again when the one that serves is busy.
func TestFailedEndpointIsTriedAgain(t *testing.T) {
	r := newRecorder(t, settings())
	r.ready(0, 2)
	r.arrive(1, 0, 0)
	failed := r.msgs[1].to
	r.pass(20 * ms)
	r.answer(1, ConnectFailed, 0)
	r.serve(100*ms, 50*ms)
	id, again := MessageID(1), false
	for range 30 {
		for range 3 {
			id++
			m := r.arrive(id, 0, 0)
			again = again || m.out && m.to == failed
		}
		r.serve(200*ms, 50*ms)
	}
	if !again {
		t.Fatal("the endpoint stayed idle for good")
	}
}

// What an instance finds at one instant after it stood still opens no route and teaches no call time, in
// whatever order it comes.
func TestStandstillTeachesNothing(t *testing.T) {
	for _, jobsFirst := range []bool{false, true} {
		r := newRecorder(t, settings())
		id := MessageID(0)
		for dest := range 3 {
			r.ready(dest, 1)
		}
		for range 20 {
			for dest := range 3 {
				id++
				r.arrive(id, 0, dest)
			}
			r.serve(120*ms, 100*ms)
		}
		before := r.c.dest(0).tm
		r.arrive(1000, 0, 0)
		r.arrive(1001, 0, 1)
		r.now += 1900 * ms
		if jobsFirst {
			r.c.Submit(r.now, Message{ID: 1002, Destination: 2, TimeLeft: 8000 * ms})
		}
		for i, w := range r.wakes {
			if i%2 == 0 {
				r.c.TimerFired(r.now, w.token)
			}
		}
		for _, m := range []MessageID{1000, 1001} {
			r.msgs[m].final, r.msgs[m].out = "served", false
			r.c.AttemptDone(r.now, Outcome{ID: m, Endpoint: r.msgs[m].to, Result: Served, Elapsed: 1900 * ms, Final: true})
		}
		r.msgs[1002] = &tracked{class: r.set.Classes[0], due: r.now + 8000*ms, Message: Message{Destination: 2}}
		r.c.Decide(r.now)
		for dest := range 3 {
			if d := r.c.dest(dest); d.shared.open || d.shy {
				t.Errorf("jobs first %v: destination %d taken for failed", jobsFirst, dest)
			}
		}
		if d := r.c.dest(0); d.tm != before || len(r.probes) > 0 {
			t.Errorf("jobs first %v: T_m %v became %v, %d probes", jobsFirst, before, d.tm, len(r.probes))
		}
	}
}

// Only destinations with work are visited: those listed or done with cost nothing at an event.
func TestIdleDestinationsAreNotVisited(t *testing.T) {
	r := newRecorder(t, settings())
	for dest := range 200 {
		r.ready(dest, 1)
		r.arrive(MessageID(dest+1), 0, dest)
		r.serve(20*ms, 10*ms)
	}
	r.serve(50*ms, 10*ms)
	r.arrive(900, 0, 7)
	if len(r.c.busy) != 1 || r.c.busy[0].id != 7 {
		t.Fatalf("%d destinations are visited, want one", len(r.c.busy))
	}
}

// Where partners refuse connections though they are well, an idle one is closed after its call, as it keeps
// siblings out; where none is refused, it is kept for the next call.
func TestScarceConnectionsAreClosed(t *testing.T) {
	for _, scarce := range []bool{false, true} {
		r := newRecorder(t, settings())
		r.ready(0, 1)
		r.ready(1, 1)
		if scarce {
			r.arrive(1, 0, 0)
			r.pass(10 * ms)
			r.answer(1, ConnectFailed, 0)
			r.serve(200*ms, 50*ms)
		}
		n := len(r.closed)
		r.arrive(2, 0, 1)
		r.serve(200*ms, 50*ms)
		if closed := len(r.closed) > n; closed != scarce {
			t.Errorf("connections scarce %v: closed %v", scarce, closed)
		}
	}
}

// In a large fleet connections are taken for scarce from the first call on: if each sender kept one, a partner
// that takes few would have no room for most of them. Calls that all find room show that there is enough.
func TestLargeFleetKeepsNoIdleConnections(t *testing.T) {
	for _, siblings := range []int{manySiblings - 1, manySiblings, 80} {
		set := settings()
		set.FleetSize = siblings
		r := newRecorder(t, set)
		r.ready(0, 1)
		r.arrive(1, 0, 0)
		r.serve(200*ms, 50*ms)
		if closed, want := len(r.closed) == 1, siblings >= manySiblings; closed != want {
			t.Errorf("%d siblings: first connection closed %v", siblings, closed)
		}
		for id := MessageID(2); id < 200; id++ {
			r.arrive(id, 0, 0)
			r.serve(200*ms, 50*ms)
		}
		if n := len(r.closed); n > 100 {
			t.Errorf("%d siblings: %d of 199 connections closed though all calls found room", siblings, n)
		}
	}
}

// Connections kept for the next call are closed after an ask for the list that failed: a drain that the list
// would have told may be met by new connections alone. An answer ends that.
func TestKeptConnectionsAreClosed(t *testing.T) {
	for _, c := range []struct {
		name  string
		what  func(r *recorder)
		after bool // the connection of the next call is closed, too
	}{
		{"list failed", func(r *recorder) { r.lists(ListFailed) }, true},
		{"list answered after it failed", func(r *recorder) { r.lists(ListFailed); r.lists(ListDelta) }, false},
	} {
		set := settings()
		set.FleetSize, set.CanGossip, set.PollsList = 80, true, true
		r := newRecorder(t, set)
		r.lists(ListFull, Endpoint{ID: 1, State: Ready})
		for id := MessageID(1); id < 99; id++ {
			r.arrive(id, 0, 0)
			r.serve(200*ms, 50*ms)
		}
		n := len(r.closed)
		c.what(r)
		r.pass(ms)
		if len(r.closed) != n+1 {
			t.Errorf("%s: the idle connection was closed %d times", c.name, len(r.closed)-n)
		}
		n = len(r.closed)
		r.arrive(100, 0, 0)
		r.serve(100*ms, 50*ms)
		if closed := len(r.closed) > n; closed != c.after {
			t.Errorf("%s: the next connection closed %v", c.name, closed)
		}
	}
}

// The first call to a destination is judged by what all the others taught.
func TestFirstCallExpectsTheUsual(t *testing.T) {
	r := newRecorder(t, settings())
	for dest := range 12 {
		r.ready(dest, 1)
		r.arrive(MessageID(dest+1), 0, dest)
		r.serve(120*ms, 100*ms)
	}
	r.ready(50, 1)
	m := r.arrive(90, 0, 50)
	if tm := r.c.dest(50).tm; tm < 80*ms || tm > 130*ms || m.timeout > time.Duration(cutSafe*float64(350*ms)) {
		t.Fatalf("T_m %v, time-out %v where calls take 100 ms", tm, m.timeout)
	}
}

// Refused calls above a limit are no outage, and where hundreds call, one refusal slows this instance at
// once: in collapse all calls are refused, and only fewer of them help. Room told brings it back.
func TestRefusalAboveLimitSlowsLargeFleet(t *testing.T) {
	set := settings()
	set.FleetSize = 200
	r := newRecorder(t, set)
	r.ready(0, 1)
	r.arrive(1, 0, 0)
	r.serve(100*ms, 50*ms, 1, 10)
	id := MessageID(1)
	sends := 0
	for range 40 {
		id++
		r.arrive(id, 0, 0)
		r.pass(50 * ms)
		for _, a := range r.arrivals {
			if r.msgs[a].out {
				sends++
				r.answer(a, Rejected, 0, 0, 10)
			}
		}
	}
	d := r.c.dest(0)
	if d.shared.open || sends > 8 {
		t.Fatalf("open %v, %d calls in 2 s to a destination that refuses", d.shared.open, sends)
	}
	r.serve(20*time.Second, 50*ms, 1, 10)
	if d.shared.share < 0.9 {
		t.Fatalf("share %v though all of the limit is left", d.shared.share)
	}
}

// Hundreds of siblings that know of an outage test and start in sum within what a cold partner takes.
func TestColdReturnAmongManySiblings(t *testing.T) {
	set := settings()
	set.FleetSize = 200
	r := newRecorder(t, set)
	r.ready(0, 2)
	r.arrive(1, 0, 0)
	r.serve(100*ms, 50*ms, 1, 20)
	d := r.c.dest(0)
	for id := MessageID(2); id < 5; id++ {
		r.arrive(id, 0, 0)
		r.pass(time.Second)
		if r.msgs[id].out {
			r.answer(id, ConnectFailed, 0)
		}
	}
	r.pass(set.WarmUp)
	d.shared.open, d.shared.bad, d.shared.since = true, 3, r.now-set.WarmUp
	r.c.health(d.endpoints[0], r.now, Served, 0)
	sum := r.c.pace(d.endpoints[0]) * float64(set.FleetSize)
	if budget := 20 * set.ColdCapacity * set.OverloadFactor; !d.shared.warming || sum <= 0 || sum > budget {
		t.Fatalf("warming %v: all siblings send %.1f a second, budget %.1f", d.shared.warming, sum, budget)
	}
}

// A partner without room for a connection is full of siblings: its limit is not met, nothing is told, and it is not
// out of order, whether or not it served this sender lately, which among hundreds means nothing. It is tried again
// within a call's time or so, and ever later as long as it has none.
func TestNoRoomForConnectionsIsNoLimit(t *testing.T) {
	for _, lately := range []bool{true, false} {
		set := settings()
		set.FleetSize, set.CanGossip, set.WeightKind, set.HeadroomIndex, set.LimitIndex = 80, true, WeightsApproximate, -1, -1
		r := newRecorder(t, set)
		r.lists(ListFull, Endpoint{ID: 1, State: Ready, Weight: 200})
		r.arrive(1, 0, 0)
		r.serve(200*ms, 50*ms)
		if !lately {
			r.pass(2 * set.OverloadWindow)
		}
		rt := r.c.dest(0).shared
		share := rt.share
		m := r.arrive(2, 0, 0)
		tries := func(span time.Duration) int {
			before := m.sends
			for end := r.now + span; r.now < end; r.pass(5 * ms) {
				if m.out {
					r.answer(2, ConnectionRejected, 0)
				}
			}
			return m.sends - before
		}
		soon, later := tries(500*ms), tries(500*ms)
		refusals := slices.ContainsFunc(r.told, func(n Observation) bool { return n.Kind == ObservedRejection })
		if rt.open || rt.share < share || refusals {
			t.Errorf("lately %v: open %v, share %v after %v, told %d", lately, rt.open, rt.share, share, len(r.told))
		}
		if soon < 3 || later < 1 || later >= soon {
			t.Errorf("lately %v: tried %d times in 500 ms, then %d", lately, soon, later)
		}
	}
}

// A destination's endpoints take few connections, and 80 siblings keep none: each spreads its calls over all of them,
// and not all begin with the same one. A fleet of two keeps to the one that it has a connection to.
func TestManySendersSpreadOverEndpoints(t *testing.T) {
	for _, c := range []struct{ siblings, first, each int }{{80, 10, 3}, {2, 0, 0}} {
		first := 0
		for seed := range uint64(40) {
			set := settings()
			set.FleetSize, set.CanGossip, set.WeightKind, set.Seed = c.siblings, true, WeightsApproximate, seed
			r := newRecorder(t, set)
			r.lists(ListFull, Endpoint{ID: 1, State: Ready, Weight: 800}, Endpoint{ID: 2, State: Ready, Weight: 800})
			second := 0
			for id := MessageID(1); id <= 8; id++ {
				if r.arrive(id, 0, 0).to == 2 {
					if second++; id == 1 {
						first++
					}
				}
				r.answer(id, Served, 0)
				r.pass(100 * ms)
			}
			if second < c.each || second > 8-c.each || c.each == 0 && second > 0 {
				t.Errorf("%d siblings, seed %d: %d of 8 calls went to the second endpoint", c.siblings, seed, second)
			}
		}
		if first < c.first || first > 40-c.first || c.first == 0 && first > 0 {
			t.Errorf("%d siblings: %d of 40 began with the second endpoint", c.siblings, first)
		}
	}
}

// One sender's test tells all 80 that a partner is back. They are spared their own, and start as slowly as after
// one, in sum within what a cold partner bears. What was sent before the latest failure proves no return, a told
// wait stays, and who saw no outage goes on as before.
func TestReturnIsToldToSiblings(t *testing.T) {
	for _, c := range []struct {
		name string
		bad  int           // failures seen
		ago  time.Duration // since the served call was sent
		wait time.Duration // told to this sender
		back bool
	}{
		{"back", 3, 0, 0, true},
		{"served before the latest failure", 3, 3 * time.Second, 0, false},
		{"within a told wait", 3, 0, 5 * time.Second, false},
		{"no outage seen", 0, 0, 0, false},
	} {
		sum, set := 0.0, settings()
		set.FleetSize, set.CanGossip, set.WeightKind = 80, true, WeightsApproximate
		for i := range set.FleetSize {
			set.Seed = uint64(i)
			r := newRecorder(t, set)
			r.lists(ListFull, Endpoint{ID: 1, State: Ready, Weight: 20})
			for id := MessageID(1); id <= 20 && r.c.dest(0).shared.bad < c.bad; id++ {
				r.arrive(id, 0, 0)
				r.pass(time.Second)
				for _, m := range slices.Clone(r.arrivals) {
					if r.msgs[m].out {
						r.answer(m, ConnectFailed, c.wait)
					}
				}
			}
			rt := r.c.dest(0).shared
			open := rt.open
			r.pass(200 * ms)
			r.c.ReceiveGossip(r.now, Observation{Endpoint: 1, Kind: ObservedRecovery, Age: c.ago})
			if back := open && !rt.open && rt.warming; back != c.back {
				t.Fatalf("%s: open %v, then %v, warming %v", c.name, open, rt.open, rt.warming)
			}
			sum += r.c.pace(r.c.endpoints[1])
		}
		if budget := 20 * set.ColdCapacity * set.OverloadFactor; c.back && (sum <= 0 || sum > budget) {
			t.Errorf("%s: all siblings send %.1f a second, budget %.1f", c.name, sum, budget)
		}
	}
}

// When calls take longer everywhere, one to a destination met long ago is not taken for hung.
func TestSlownessEverywhereIsNoHang(t *testing.T) {
	r := newRecorder(t, settings())
	for dest := range 12 {
		r.ready(dest, 1)
		r.arrive(MessageID(dest+1), 0, dest)
		r.serve(120*ms, 100*ms)
	}
	d, k := r.c.dest(0), &r.set.Classes[0]
	before := r.c.usual(d, k)
	for id := MessageID(100); id < 160; id++ {
		r.arrive(id, 0, 1+int(id)%11)
		r.serve(260*ms, 250*ms)
		for dest := 1; dest < 12; dest++ {
			r.c.dest(dest).tm = 100 * ms
		}
	}
	if after := r.c.usual(d, k); after < before*7/4 {
		t.Fatalf("usual call %v became %v though all calls take 2.5 times as long", before, after)
	}
}

// A time-out that a standstill hid until its end opens no route, but what comes back is started slowly.
func TestFailureFoundAfterStandstillStartsSlowly(t *testing.T) {
	r := newRecorder(t, settings())
	r.ready(0, 1)
	r.arrive(1, 0, 0)
	r.serve(100*ms, 50*ms, 1, 10)
	r.arrive(2, 0, 0)
	r.now += 1900 * ms
	r.answer(2, TimedOut, 0)
	rt := r.c.dest(0).shared
	if rt.open {
		t.Fatal("one failure found after a standstill opened the route")
	}
	r.pass(r.set.OverloadWindow)
	if !r.msgs[2].out {
		r.arrive(3, 0, 0)
	}
	r.c.health(r.c.dest(0).endpoints[0], r.now, Served, 0)
	if !rt.warming {
		t.Fatal("the partner may be cold, and gets all that waits")
	}
}

// Under other settings a message keeps the class that it came with, one that had more attempts than are allowed now ends
// at once, a wait stays, and what makes no sense changes nothing.
func TestRetune(t *testing.T) {
	for _, c := range []struct {
		name  string
		tune  func(*Settings)
		err   bool
		final string // of an unsafe message that was turned away once and waits
	}{
		{"nothing", func(*Settings) {}, false, ""},
		{"classes vanish", func(s *Settings) { s.Classes = s.Classes[:1] }, false, ""},
		{"its class becomes safe", func(s *Settings) { s.Classes[2].Idempotency = Idempotent }, false, ""},
		{"fewer attempts", func(s *Settings) { s.MaxAttempts = 1 }, false, "refused"},
		{"no deadline", func(s *Settings) { s.MaxAttempts, s.Classes[1].Deadline = 1, 0 }, true, ""},
		{"no classes", func(s *Settings) { s.MaxAttempts, s.Classes = 1, nil }, true, ""},
	} {
		r := newRecorder(t, settings())
		r.ready(0, 1)
		out, waits := r.arrive(1, 2, 0), r.arrive(2, 2, 0)
		r.answer(2, Rejected, 500*ms)
		set := settings()
		set.FleetSize, set.Kinds = 99, nil // what can't change under way
		c.tune(&set)
		if err := r.c.UpdateSettings(r.now, set); (err != nil) != c.err {
			t.Errorf("%s: %v", c.name, err)
		}
		if r.c.set.FleetSize != 2 || len(r.c.set.Kinds) != 1 {
			t.Errorf("%s: siblings %d, kinds %d", c.name, r.c.set.FleetSize, len(r.c.set.Kinds))
		}
		if waits.final != c.final {
			t.Errorf("%s: the waiting message: %q, want %q", c.name, waits.final, c.final)
		}
		r.answer(1, ConnectionLost, 0)
		r.pass(time.Second)
		if out.sends > 1 || out.final != "failed" {
			t.Errorf("%s: one that broke was sent %d times, and ended %q", c.name, out.sends, out.final)
		}
	}
}

// What one controller knows of an endpoint holds in the one that comes after it: a told wait is kept to its end, an
// outage is tested before it is believed over, a slow start goes on, and calls out at the other process take slots.
func TestRememberedByTheNext(t *testing.T) {
	old := newRecorder(t, settings())
	old.ready(0, 1)
	old.ready(1, 1)
	old.ready(2, 1)
	old.arrive(1, 0, 0)
	old.answer(1, Rejected, 900*ms) // told to wait
	for id := MessageID(10); id < 10+streak; id++ {
		old.arrive(id, 2, 1)
		old.answer(id, Failed, 0) // an outage
	}
	back := old.c.endpoints[200].route
	old.c.back(back) // a slow start
	old.pass(200 * ms)
	known := old.c.RouteStates(old.now)
	next := newRecorder(t, settings())
	next.ready(0, 1)
	next.ready(1, 1)
	next.ready(2, 1)
	next.c.RestoreRoutes(next.now, append(known, RouteState{Endpoint: 999, RetryAfter: time.Hour}))
	next.list[0].wait = next.now + 700*ms // the recorder fails on a send before
	waits := next.arrive(1, 0, 0)
	next.pass(690 * ms)
	if waits.sends > 0 {
		t.Error("sent within the wait")
	}
	next.pass(200 * ms)
	if waits.sends != 1 {
		t.Errorf("sent %d times after the wait", waits.sends)
	}
	if rt := next.c.endpoints[100].route; !rt.open {
		t.Error("an outage is forgotten")
	}
	if rt := next.c.endpoints[200].route; !rt.warming || next.now-rt.backAt < 200*ms {
		t.Errorf("the slow start: %v, since %v", rt.warming, next.now-rt.backAt)
	}
	next.c.SetRemoteInFlight(next.now, next.set.MaxInFlight-1)
	next.ready(3, 1)
	if a, b := next.arrive(20, 0, 3), next.arrive(21, 0, 3); a.out || b.out { // one is out, the others are abroad
		t.Error("more out than slots")
	}
	next.c.SetRemoteInFlight(next.now, 0)
	next.pass(100 * ms)
	if !next.msgs[20].out || !next.msgs[21].out {
		t.Error("nothing sent though slots are free")
	}
	// A call that is told of later binds, too.
	next.c.RemoteOutcome(next.now, Outcome{Endpoint: 300, Result: Rejected, RetryAfter: 400 * ms}, 50*ms)
	next.answer(20, Served, 0)
	next.answer(21, Served, 0)
	if m := next.arrive(22, 0, 3); m.sends > 0 {
		t.Error("sent within a wait that another process was told")
	}
}

// Of two routes apart the one with the lower fee takes what it can, and the other the rest; where endpoints share a
// limit the fee is not asked.
func TestLowerFeeFirst(t *testing.T) {
	for _, c := range []struct {
		name  string
		apart bool
		tolls []float64
		zone  int // of the endpoint that all calls go to
	}{
		{"dear first", true, []float64{0.04, 0.01}, 1},
		{"cheap first", true, []float64{0.01, 0.04}, 0},
		{"none told", true, nil, 0},
		{"shared", false, []float64{0.04, 0.01}, 0},
	} {
		set := settings()
		set.Kinds, set.ZoneCosts = []Kind{{MaxBatch: 1, SeparateRoutes: c.apart}}, c.tolls
		r := newRecorder(t, set)
		r.ready(0, 2) // zones 0 and 1
		for id := MessageID(1); id <= 5; id++ {
			m := r.arrive(id, 0, 0)
			if !m.out || r.list[m.to].Zone != c.zone {
				t.Errorf("%s: message %d went to zone %d", c.name, id, r.list[m.to].Zone)
			}
			r.answer(id, Served, 0)
			r.pass(50 * ms)
		}
		full := r.arrive(6, 0, 0)
		r.answer(6, Rejected, 500*ms) // its route is told to wait
		r.pass(50 * ms)
		if c.apart && (!full.out || r.list[full.to].Zone == c.zone) {
			t.Errorf("%s: the other route is not used", c.name)
		}
	}
}

// amongMany is one of eighty that share the limit of an endpoint.
func amongMany(t *testing.T) (*recorder, *endpoint) {
	set := settings()
	set.FleetSize, set.CanGossip, set.WeightKind, set.HeadroomIndex, set.LimitIndex = 80, true, WeightsApproximate, -1, -1
	r := newRecorder(t, set)
	r.lists(ListFull, Endpoint{ID: 1, State: Ready, Weight: 4000})
	return r, r.c.endpoints[1]
}

// One who hears of nobody tells ever less, as nobody may hear; one note from a sibling, and each refusal is told again.
func TestFewNotesWhileNobodyIsHeard(t *testing.T) {
	r, e := amongMany(t)
	refuse := func(n int) int {
		before := len(r.told)
		for range n {
			r.now += 50 * ms
			r.c.clock(r.now)
			r.c.share(&attempt{endpoint: e, sent: r.now}, Rejected, nil)
		}
		return len(r.told) - before
	}
	if n := refuse(32); n < 2 || n > 6 { // the first asks, too, and once it is alone nothing is told
		t.Errorf("%d notes of 32 refusals", n)
	}
	if !r.c.hear.Isolated(r.now) {
		t.Error("it does not know that it is alone")
	}
	r.c.ReceiveGossip(r.now, Observation{Endpoint: 1, Kind: ObservedRejection})
	if n := refuse(2); n != 2 {
		t.Errorf("%d of 2 refusals told after a sibling was heard", n)
	}
}

// One of many that hears nobody takes a part of its even one after a refusal, grows by served calls alone, and is one of
// many again as soon as it hears somebody. One that is asked answers now and then.
func TestAloneAmongMany(t *testing.T) {
	r, e := amongMany(t)
	share := func() float64 { r.c.refill(e); return e.route.share * 80 } // in even parts
	came := func(at time.Duration, result Result) {
		r.now = at
		r.c.clock(at)
		r.c.share(&attempt{endpoint: e, sent: at}, result, nil)
	}
	pass := func(at time.Duration) { r.now = at; r.c.clock(at) }
	pass(10 * time.Second)
	if got := share(); got != evenMost {
		t.Fatalf("%.2f even parts at first", got)
	}
	came(10*time.Second, Rejected)
	if got := share(); math.Abs(got-evenCut*evenOver) > 1e-9 {
		t.Errorf("%.3f after a refusal", got)
	}
	pass(10*time.Second + 600*ms)
	alone := share()
	if math.Abs(alone-aloneCut) > 1e-9 {
		t.Errorf("%.3f once nobody has answered", alone)
	}
	pass(20 * time.Second)
	if got := share(); got != alone {
		t.Errorf("%.3f grown by time alone", got)
	}
	for i := range 10 {
		came(20*time.Second+time.Duration(i)*ms, Served)
	}
	if got := share(); math.Abs(got-alone*math.Pow(1+aloneRise, 10)) > 1e-9 {
		t.Errorf("%.3f after ten served calls", got)
	}
	came(21*time.Second, Rejected)
	if got := share(); got > alone*0.5 {
		t.Errorf("%.3f after another refusal", got)
	}
	asked := len(r.told)
	pass(26 * time.Second)
	if share(); len(r.told) != asked+1 || r.told[asked].Kind != ReachabilityQuery {
		t.Errorf("it does not ask again though nothing is refused: %v", r.told[asked:])
	}
	r.c.ReceiveGossip(26*time.Second, Observation{Endpoint: 1, Kind: ReachabilityReply, Peer: 5})
	pass(28 * time.Second)
	if got := share(); got < 0.9 {
		t.Errorf("%.3f two seconds after somebody was heard", got)
	}
	before := len(r.told)
	for i := range 400 {
		r.c.ReceiveGossip(28*time.Second, Observation{Endpoint: 1, Kind: ReachabilityQuery, Peer: i % 79})
	}
	if n := len(r.told) - before; n < 20 || n > 70 { // 8 of 80 in the mean
		t.Errorf("%d of 400 questions answered", n)
	}
}

// one of eighty, with n endpoints of a destination.
func oneOfMany(t *testing.T, n int) *recorder {
	set := settings()
	set.FleetSize, set.CanGossip, set.MaxAttempts = 80, true, 99
	r := newRecorder(t, set)
	r.ready(0, n)
	return r
}

// What siblings found dead takes no message while others serve, but for the test that is this sender's turn; never all of a
// destination, nor by one word alone; and what may not be repeated keeps clear of what one of them has found.
func TestSiblingsWord(t *testing.T) {
	type word struct {
		of EndpointID
		by int
		up bool
	}
	for _, c := range []struct {
		name  string
		words []word
		class int
		after time.Duration
		not   []EndpointID // no call goes there
		goes  EndpointID   // one does
		n     int          // endpoints; 0 = three
	}{
		{"two found two of three dead", []word{{0, 1, false}, {0, 2, false}, {1, 1, false}, {1, 2, false}}, 0, 0, []EndpointID{0, 1}, 2, 0},
		{"one alone", []word{{1, 1, false}, {1, 1, false}, {2, 1, false}}, 0, 0, nil, 1, 0},
		{"one alone, what may not be repeated", []word{{0, 1, false}, {1, 1, false}}, 2, 0, []EndpointID{0, 1}, 2, 0},
		{"three of four: too many to believe", []word{{0, 1, false}, {0, 2, false}, {1, 1, false}, {1, 2, false}, {3, 1, false}, {3, 2, false}}, 0, 0, nil, 3, 4},
		{"all of them: no word counts", []word{{0, 1, false}, {0, 2, false}, {1, 1, false}, {1, 2, false}, {2, 1, false}, {2, 2, false}}, 0, 0, nil, 0, 0},
		{"served since", []word{{0, 1, false}, {0, 2, false}, {0, 3, true}}, 0, 2 * time.Second, nil, 0, 0},
		{"in its turn, the test goes there first", []word{{1, 1, false}, {1, 2, false}}, 0, 4400 * ms, nil, 1, 0},
		{"what may not be repeated is no test", []word{{1, 1, false}, {1, 2, false}}, 2, 4400 * ms, []EndpointID{1}, 0, 0},
	} {
		r := oneOfMany(t, cmp.Or(c.n, 3))
		for _, w := range c.words {
			what := ObservedDown
			if w.up {
				what = ObservedUp
			}
			r.now += ms
			r.c.ReceiveGossip(r.now, Observation{Endpoint: w.of, Kind: what, Peer: w.by})
		}
		r.pass(c.after)
		used := map[EndpointID]bool{}
		for id := MessageID(1); id <= 6; id++ { // one after the other, so that an idle one is always to be had
			m := r.arrive(id, c.class, 0)
			if !m.out {
				t.Fatalf("%s: message %d does not go", c.name, id)
			}
			if used[m.to] = true; id == 1 && c.after > 4*time.Second && c.goes == 1 && m.to != 1 {
				t.Errorf("%s: the first goes to %d", c.name, m.to)
			}
			r.pass(r.set.Tick)
			r.answer(id, Served, 0)
			r.c.endpoints[m.to].linked = false
		}
		for _, e := range c.not {
			if used[e] {
				t.Errorf("%s: a call went to %d", c.name, e)
			}
		}
		if !used[c.goes] {
			t.Errorf("%s: no call went to %d: %v", c.name, c.goes, used)
		}
	}
}

// Where siblings found the others dead, one overdue call is enough for an outage of the destination.
func TestSilenceBesideDeadEndpoints(t *testing.T) {
	for _, told := range []bool{true, false} {
		r := oneOfMany(t, 3)
		m := r.arrive(1, 0, 0)
		r.pass(10 * ms)
		r.answer(1, Served, 0)
		for e := EndpointID(0); e < 3 && told; e++ {
			for by := 1; by <= 2 && e != m.to; by++ {
				r.c.ReceiveGossip(r.now, Observation{Endpoint: e, Kind: ObservedDown, Peer: by})
			}
		}
		last := r.arrive(2, 0, 0)
		for r.c.endpoints[last.to].bad == 0 {
			r.pass(r.set.Tick)
			r.c.Decide(r.now)
		}
		if told && last.to != m.to || r.c.dest(0).shared.open != told {
			t.Errorf("others found dead: %v; the call went to %d after %d, the destination is open: %v", told, last.to, m.to, r.c.dest(0).shared.open)
		}
	}
}

// An endpoint that is back has its even part of the senders again, though each keeps to the connection that it has.
func TestReturnDrawsItsPart(t *testing.T) {
	back := 0
	const senders = 200
	for i := range senders {
		set := settings()
		set.Seed, set.FleetSize, set.CanGossip = uint64(i), senders, true
		r := newRecorder(t, set)
		r.ready(0, 2)
		r.c.crowd[0] = 0 // room is known
		first := r.arrive(1, 0, 0)
		r.pass(10 * ms)
		r.answer(1, Served, 0)
		other := 1 - first.to
		for by := range 2 {
			r.c.ReceiveGossip(r.now, Observation{Endpoint: other, Kind: ObservedDown, Peer: by})
		}
		r.pass(50 * ms)
		r.c.ReceiveGossip(r.now, Observation{Endpoint: other, Kind: ObservedUp, Peer: 3})
		r.pass(2 * time.Second)
		if r.arrive(2, 0, 0).to == other {
			back++
		}
	}
	if back < senders*2/5 || back > senders*3/5 {
		t.Errorf("%d of %d senders go to the one of two that is back", back, senders)
	}
}

// What a sender found itself is over with a sibling's later word; not so if it found it a moment before.
func TestWordEndsOwnDoubt(t *testing.T) {
	for after, bad := range map[time.Duration]int{2 * time.Second: 0, 100 * ms: 1} {
		r := oneOfMany(t, 2)
		m := r.arrive(1, 0, 0)
		dead := m.to
		r.answer(1, ConnectFailed, 0)
		r.pass(10 * ms)
		r.answer(1, Served, 0)
		r.pass(after)
		r.c.ReceiveGossip(r.now, Observation{Endpoint: dead, Kind: ObservedUp, Peer: 3})
		if got := r.c.endpoints[dead].bad; got != bad {
			t.Errorf("%v after: %d failures in a row, want %d", after, got, bad)
		}
	}
}

// A dead endpoint is told once by each of two, and its return once; an overdue call takes its endpoint out of the way, not its destination.
func TestDeadEndpointsAreTold(t *testing.T) {
	r := oneOfMany(t, 2)
	count := func(what ObservationKind) (n int) {
		for _, x := range r.told {
			if x.Kind == what {
				n++
			}
		}
		return n
	}
	m := r.arrive(1, 0, 0)
	dead := m.to
	r.pass(10 * ms)
	r.answer(1, ConnectFailed, 0)
	if count(ObservedDown) != 1 || r.told[len(r.told)-1].Endpoint != dead {
		t.Fatalf("told %+v", r.told)
	}
	r.pass(10 * ms)
	r.answer(1, Served, 0)
	r.c.ReceiveGossip(r.now, Observation{Endpoint: dead, Kind: ObservedDown, Peer: 5})
	r.pass(4400 * ms) // its own turn
	m = r.arrive(2, 0, 0)
	if m.to != dead {
		t.Fatalf("the test went to %d", m.to)
	}
	if o := r.arrive(9, 0, 0); !o.out || o.to == dead {
		t.Errorf("a second test beside the first: out %v at %d", o.out, o.to)
	}
	r.answer(9, Served, 0)
	r.pass(10 * ms)
	r.answer(2, Served, 0)
	if count(ObservedUp) != 1 || count(ObservedDown) != 1 {
		t.Errorf("told %+v", r.told)
	}
	first := r.arrive(3, 0, 0)
	for r.c.endpoints[first.to].bad == 0 { // until it is overdue, and not yet given up
		r.pass(r.set.Tick)
		r.c.Decide(r.now)
	}
	if !first.out || r.now > first.sentAt+200*ms {
		t.Fatalf("overdue after %v, out %v", r.now-first.sentAt, first.out)
	}
	if second := r.arrive(4, 0, 0); !second.out || second.to == first.to || r.c.dest(0).shared.open {
		t.Errorf("overdue at %d: the next is out %v at %d, the destination open %v", first.to, second.out, second.to, r.c.dest(0).shared.open)
	}
	r.pass(500 * ms)
	if !r.c.dest(0).shared.open {
		t.Error("both are silent: it should count as an outage")
	}
	q := oneOfMany(t, 1) // an endpoint that answers other calls is not silent
	q.arrive(1, 0, 0)
	q.pass(10 * ms)
	q.answer(1, Served, 0)
	q.pass(time.Second)
	q.arrive(2, 0, 0)
	q.pass(10 * ms)
	q.c.endpoints[0].served = q.now
	q.pass(60 * ms)
	if bad := q.c.endpoints[0].bad; !q.msgs[2].out || bad != 0 {
		t.Errorf("answered since: %d failures, the call out %v", bad, q.msgs[2].out)
	}
	a, e := amongMany(t) // nobody hears one that is alone
	a.c.share(&attempt{endpoint: e, sent: a.now}, Rejected, nil)
	a.pass(time.Second)
	n := len(a.told)
	a.c.clock(a.now)
	a.c.health(e, a.now, ConnectFailed, 0)
	if !a.c.hear.Isolated(a.now) || len(a.told) != n {
		t.Errorf("alone %v, told %+v", a.c.hear.Isolated(a.now), a.told[n:])
	}
}

// Where some endpoints of a destination are dead and others serve, one of many that meets the dead ones in a row goes on with the
// others at once. Where all have failed it is an outage. A few siblings see enough to take three failures for one.
func TestDeadEndpointsAreNoOutage(t *testing.T) {
	for _, c := range []struct {
		siblings, dead int
		result         Result
		open           bool
	}{
		{80, 3, ConnectFailed, false}, {80, 3, TimedOut, false}, {80, 6, ConnectFailed, true}, {80, 3, Rejected, true}, {4, 3, ConnectFailed, true},
	} {
		set := settings()
		set.FleetSize, set.CanGossip, set.MaxAttempts = c.siblings, true, 99
		r := newRecorder(t, set)
		r.ready(0, 6)
		r.arrive(1, 0, 0)
		for n := 0; n < c.dead; n++ { // one endpoint after the other, as each that has failed comes last
			if !r.msgs[1].out {
				break
			}
			r.pass(10 * ms)
			r.answer(1, c.result, 0)
		}
		if open := r.c.dest(0).shared.open; open != c.open {
			t.Errorf("%d siblings, %d of 6 dead, result %d: open %v", c.siblings, c.dead, c.result, open)
		}
		if m := r.msgs[1]; !c.open && !m.out {
			t.Errorf("%d siblings, %d of 6 dead, result %d: the message does not go on", c.siblings, c.dead, c.result)
		}
	}
}

// Time between asks grows with the fleet as far as the list may be old, and no further; so does that after failures,
// however many: what discovery has counts as told 6 s after it could be reached, and an ask takes its time, too.
func TestAskSpreadHasACeiling(t *testing.T) {
	for _, c := range []struct {
		siblings             int
		mustAsk, spread, ask time.Duration // ask: the longest wait after failures
	}{
		{4, 10 * time.Second, 0, 1500 * ms},
		{4, 60 * time.Second, 0, 3600 * ms},
		{20, 10 * time.Second, 1 * time.Second, 1500 * ms},
		{80, 10 * time.Second, 4000 * ms, 3600 * ms},
		{300, 10 * time.Second, 4300 * ms, 3600 * ms},
		{1000, 10 * time.Second, 4300 * ms, 3600 * ms},
		{1000, 2 * time.Second, 1600 * ms, 2400 * ms},
		{1000, 0, 4300 * ms, 3600 * ms},
	} {
		set := settings()
		set.FleetSize, set.MaxPollInterval, set.PollsList = c.siblings, c.mustAsk, true
		if got := set.PollSpread(); got != c.spread {
			t.Errorf("%+v: %v", c, got)
		}
		// What is told at one instant is known in 6 s by all, an answer of 1.2 s included; the rest is a tenth longer at most.
		if known := c.spread + c.spread/10 + 1200*ms; known >= 6*time.Second {
			t.Errorf("%+v: known after %v", c, known)
		}
		longest := time.Duration(0)
		for seed := range uint64(40) {
			set.Seed = seed
			r := newRecorder(t, set)
			for range 8 {
				r.c.asking = true
				r.c.UpdateEndpoints(r.now, ListFailed, nil)
				longest = max(longest, r.c.askAt-r.now)
			}
		}
		if longest > c.ask || longest < c.ask/2 {
			t.Errorf("%+v: %v after failures", c, longest)
		}
	}
}

// A partner that is back and as quick as before is warm for all: each sibling's word takes a tenth off the slow start, once. Nobody's word
// counts from before the return, and none is told where all are at the full pace.
func TestWarmthIsShared(t *testing.T) {
	for _, c := range []struct {
		name  string
		from  func(i int) int
		ago   time.Duration
		words int
		part  float64 // of its even part, then, at least
		most  float64
	}{
		{"nobody", nil, 0, 0, 0.2, 0.3},
		{"five siblings", func(i int) int { return i }, 0, 5, 0.75, 0.85},
		{"twelve siblings", func(i int) int { return i }, 0, 12, 1, 1},
		{"one that says it again and again", func(int) int { return 3 }, 0, 100, 0.3, 0.4},
		{"from before the return", func(i int) int { return i }, 5 * time.Second, 12, 0.2, 0.3},
	} {
		set := settings()
		set.FleetSize, set.CanGossip, set.WeightKind, set.HeadroomIndex, set.LimitIndex = 80, true, WeightsApproximate, -1, -1
		r := newRecorder(t, set)
		r.lists(ListFull, Endpoint{ID: 1, State: Ready, Weight: 800})
		e := r.c.endpoints[1]
		r.c.back(e.route)
		r.pass(100 * ms)
		for i := range c.words {
			r.c.ReceiveGossip(r.now, Observation{Endpoint: 1, Kind: ObservedWarm, Peer: c.from(i), Age: c.ago})
		}
		if got := r.c.pace(e) / r.c.part(e); got < c.part || got > c.most*evenCold && got > 1 || c.most < 1 && got > c.most*evenCold {
			t.Errorf("%s: %.2f of its even part", c.name, got)
		}
	}
	again, far := oneOfMany(t, 1), 20*time.Second // in each return the word of each counts anew, and no more are kept than count
	for n := range 2 {
		rt := again.c.endpoints[0].route
		rt.warming = false
		again.pass(far)
		again.c.back(rt)
		again.pass(100 * ms)
		for i := range 30 {
			again.c.ReceiveGossip(again.now, Observation{Endpoint: 0, Kind: ObservedWarm, Peer: i})
		}
		if got := rt.backAt - rt.warmAt; got != again.set.WarmUp || len(rt.warmBy) > 10 {
			t.Errorf("return %d: %v earlier by the word of %d", n, got, len(rt.warmBy))
		}
	}
	r := oneOfMany(t, 1)
	e := r.c.endpoints[0]
	e.route.before = 100 * ms
	told := func() (n int) {
		for _, x := range r.told {
			if x.Kind == ObservedWarm {
				n++
			}
		}
		return n
	}
	r.c.back(e.route)
	for range 20 {
		r.now += 400 * ms
		r.c.clock(r.now)
		r.c.judge(&attempt{endpoint: e, sent: r.now - 10*ms}, Outcome{Result: Served, Elapsed: 10 * ms})
	}
	if n := told(); n < 1 || n > 8 {
		t.Errorf("told %d times that it is warm", n)
	}
	if !e.route.warming || r.c.now-e.route.warmAt < r.set.WarmUp {
		t.Errorf("after 20 brisk calls: warming %v, from %v on", e.route.warming, e.route.warmAt-r.now)
	}
}
