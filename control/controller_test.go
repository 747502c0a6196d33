package control

import (
	"math/rand/v2"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"
)

// TestModuleSize checks that no file of the module exceeds its size limits and that deploy/balancer.toml lists all
// files.
func TestModuleSize(t *testing.T) {
	const maxLines, maxColumns = 500, 120
	deploy, err := os.ReadFile("../deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	policy := regexp.MustCompile(`(?m)^policy = \[(.*?)\]`).FindSubmatch(deploy)
	if policy == nil {
		t.Fatal("deploy/balancer.toml has no policy list")
	}
	var named []string
	for _, path := range regexp.MustCompile(`"([^"]+)"`).FindAllSubmatch(policy[1], -1) {
		named = append(named, string(path[1]))
	}
	files, err := filepath.Glob("*.go")
	if err != nil {
		t.Fatal(err)
	}
	var present []string
	for _, file := range files {
		if strings.HasSuffix(file, "_test.go") {
			continue
		}
		present = append(present, "control/"+file)
		text, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		lines := strings.Split(strings.TrimSuffix(string(text), "\n"), "\n")
		if len(lines) > maxLines {
			t.Errorf("%s has %d lines; %d at most", file, len(lines), maxLines)
		}
		for i, line := range lines {
			if len(line) > maxColumns {
				t.Errorf("%s:%d: longer than %d: %q", file, i+1, maxColumns, line)
			}
		}
	}
	if len(present) == 0 {
		t.Error("no file found")
	}
	slices.Sort(named)
	if !slices.Equal(named, present) {
		t.Errorf("policy list of deploy/balancer.toml:\n%v, want\n%v", named, present)
	}
}

// TestRandomEvents generates seeded random events and checks every action against the rules. Each run is repeated and
// must result in the same actions.
func TestRandomEvents(t *testing.T) {
	for seed := range uint64(60) {
		first, second := randomRun(t, seed), randomRun(t, seed)
		if !slices.Equal(first, second) {
			t.Fatalf("seed %d: the same events resulted in different actions", seed)
		}
	}
}

func randomRun(t *testing.T, seed uint64) []string {
	rng := rand.New(rand.NewPCG(seed, 7))
	cfg := testSettings()
	cfg.Seed = seed
	cfg.Kinds = []Kind{{MaxBatch: 1 + rng.IntN(4), SeparateRoutes: rng.IntN(3) == 0}}
	cfg.ExponentialWeightDecay = rng.IntN(2) == 0
	cfg.CanHealthCheck = rng.IntN(2) == 0
	cfg.PollEndpointList = rng.IntN(2) == 0
	cfg.WeightKind = WeightKind(rng.IntN(3))
	cfg.AllowHedging = rng.IntN(2) == 0
	for i := range cfg.Classes {
		cfg.Classes[i].Ordered = rng.IntN(2) == 0
		cfg.Classes[i].KeyZoneScoped = rng.IntN(2) == 0
	}
	r := newRecorder(t, cfg)
	id := MessageID(0)
	results := []Result{Served, Served, Served, Served, Failed, Rejected, TimedOut, ConnectFailed, ConnectionRejected, RejectedUnexplained,
		ConnectionLost, Unknown, NotSent}
	for range 1500 {
		switch rng.IntN(12) {
		case 0, 1, 2, 3:
			id++
			class := rng.IntN(len(cfg.Classes))
			left := time.Duration(rng.Int64N(int64(cfg.Classes[class].Deadline)))
			if rng.IntN(20) == 0 {
				left = -ms
			}
			r.submitMessage(Message{ID: id, Class: class, Destination: rng.IntN(4), TimeLeft: left, Key: uint64(rng.IntN(3))})
		case 4:
			e := EndpointID(rng.IntN(9))
			r.updateList(ListDelta, Endpoint{ID: e, Destination: int(e) % 3, Zone: int(e) % 2, State: EndpointState(rng.IntN(3)),
				Weight: 1 + 9*rng.Float64()})
		case 5:
			r.c.AttemptDone(r.now, Outcome{ID: MessageID(rng.IntN(100) + 1000000), Result: Served})
			r.c.Abandon(r.now, MessageID(rng.IntN(100)+1000000))
			r.c.Decide(r.now)
			r.c.TimerFired(r.now, rng.Uint32())
			r.c.Decide(r.now)
			r.c.UpdateEndpoints(r.now, ListFailed, nil)
			r.c.Decide(r.now)
		case 6:
			if len(r.healthChecks) > 0 {
				result := results[rng.IntN(len(results))]
				if result == NotSent {
					result = TimedOut
				}
				r.c.HealthChecked(r.now, r.healthChecks[0], result, 20*ms, nil)
				r.c.Decide(r.now)
				r.healthChecks = r.healthChecks[1:]
			}
		case 7:
			if id > 0 {
				abandoned := MessageID(1 + rng.IntN(int(id)))
				if m := r.messages[abandoned]; m.outcome == "" {
					m.outcome = "abandoned"
					r.c.Abandon(r.now, abandoned)
					r.c.Decide(r.now)
				}
			}
		default:
			r.advance(time.Duration(1+rng.IntN(20)) * cfg.Tick)
			for _, a := range r.submitted {
				if m := r.messages[a]; m.inFlight && rng.IntN(3) > 0 {
					result := results[rng.IntN(len(results))]
					retryAfter := time.Duration(0)
					if result == Rejected && rng.IntN(2) == 0 {
						retryAfter = time.Duration(rng.IntN(1500)) * ms
					}
					r.answer(a, result, retryAfter, float32(rng.Float64()), float32(rng.IntN(10)))
				}
			}
		}
	}
	r.advance(10 * time.Second)
	for _, a := range r.submitted {
		if m := r.messages[a]; m.outcome == "" {
			t.Fatalf("seed %d: message %d was never answered", seed, a)
		}
	}
	if r.c.callsInFlight != 0 || len(r.c.messages) != 0 || len(r.c.openMessages) != 0 {
		t.Fatalf("seed %d: %d slots still in use, %d messages still open", seed, r.c.callsInFlight, len(r.c.messages))
	}
	return r.trace
}

// Abandoned messages get no answer, and their slots become free.
func TestAbandonFreesSlot(t *testing.T) {
	r := newRecorder(t, testSettings())
	r.addReady(0, 1)
	m := r.submit(1, 0, 0)
	m.outcome = "abandoned"
	r.c.Abandon(r.now, 1)
	r.c.Decide(r.now)
	r.advance(20 * ms)
	r.answer(1, TimedOut, 0)
	if r.c.callsInFlight != 0 || len(r.c.messages) != 0 || m.attempts != 1 {
		t.Fatalf("%d slots, %d messages, %d sends", r.c.callsInFlight, len(r.c.messages), m.attempts)
	}
}

// A message whose streamed response has started neither times out nor expires, as the client is receiving it.
func TestStreamOutlivesDeadline(t *testing.T) {
	r := newRecorder(t, testSettings())
	r.addReady(0, 1)
	m := r.submit(1, 0, 0)
	m.timeout, m.deadline = time.Hour, time.Hour*100
	r.c.StreamStarted(r.now, 1)
	r.c.Decide(r.now)
	r.advance(20 * time.Second)
	if m.outcome != "" || !m.inFlight {
		t.Fatalf("outcome %q", m.outcome)
	}
	r.answer(1, Served, 0)
	if r.c.callsInFlight != 0 {
		t.Fatal("slot not freed")
	}
}

// Decisions visit only destinations with work, so that idle ones do not add to the cost of an event.
func TestIdleDestinationsAreNotVisited(t *testing.T) {
	r := newRecorder(t, testSettings())
	for dest := range 200 {
		r.addReady(dest, 1)
		r.submit(MessageID(dest+1), 0, dest)
		r.serve(20*ms, 10*ms)
	}
	r.serve(50*ms, 10*ms)
	r.submit(900, 0, 7)
	if len(r.c.busy) != 1 || r.c.busy[0].id != 7 {
		t.Fatalf("%d destinations are visited, want one", len(r.c.busy))
	}
}

// Messages sent to an endpoint at the same instant share a call, which uses one slot until all of them are answered.
func TestBatchSharesSlot(t *testing.T) {
	cfg := testSettings()
	cfg.Kinds[0].MaxBatch = 3
	cfg.MaxInFlight = 2
	r := newRecorder(t, cfg)
	r.addReady(0, 1)
	for id := MessageID(1); id <= 4; id++ {
		r.submit(id, 0, 0)
	}
	if r.c.callsInFlight > 2 || !r.messages[3].inFlight {
		t.Fatalf("%d slots for a call of three", r.c.callsInFlight)
	}
	r.advance(20 * ms)
	r.answer(1, Served, 0)
	r.answer(2, Served, 0)
	if before := r.c.destination(0).callsInFlight; before == 0 {
		t.Fatal("the slot was freed before all messages were answered")
	}
}
