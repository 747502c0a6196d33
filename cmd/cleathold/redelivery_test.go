package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"strconv"
	"syscall"
	"testing"
	"time"

	"cleathold/internal/admin"
	"cleathold/internal/deadletter"
	"cleathold/internal/socktest"
)

// redeliveryRounds defines how processes follow one another while messages are held and redelivered.
type redeliveryRounds struct {
	// start starts the process of a round, beside the previous process or after its end.
	start func(env *environment, last *exec.Cmd) *exec.Cmd
	// change is called in the middle of a round.
	change func(env *environment)
	// end is called at the end of a round.
	end func(env *environment, process *exec.Cmd)
}

// TestRedeliveryThroughKills kills the sender at random moments while messages are held and redelivered. Each message
// must be in exactly one state, and must not have more effects than its class allows. CLEATHOLD_KILLS=200 runs 200
// rounds.
func TestRedeliveryThroughKills(t *testing.T) {
	redeliverThrough(t, redeliveryRounds{
		start:  func(env *environment, _ *exec.Cmd) *exec.Cmd { return env.start() },
		change: func(*environment) {},
		end:    func(env *environment, process *exec.Cmd) { env.kill(process) },
	})
}

// TestRedeliveryThroughHandovers does the same with hand-overs instead of kills, and changes the platform's settings in
// each round: a class is inserted before the others, and the other classes get new values. Each record must keep the
// name of its class.
func TestRedeliveryThroughHandovers(t *testing.T) {
	temp, err := os.MkdirTemp("", "ch") // the length of a Unix socket address is limited
	must(t, err)
	t.Cleanup(func() { os.RemoveAll(temp) })
	t.Setenv("TMPDIR", temp)
	adminAddr := ""
	redeliverThrough(t, redeliveryRounds{
		start: func(env *environment, last *exec.Cmd) *exec.Cmd {
			var c *exec.Cmd
			c, adminAddr = env.startProcess()
			awaitReady(t, adminAddr)
			if last != nil {
				if err := awaitExit(t, last); err != nil {
					t.Errorf("the predecessor: %v", err)
				}
			}
			return c
		},
		change: func(env *environment) { changeClasses(t, env, adminAddr) },
		end:    func(*environment, *exec.Cmd) {},
	})
}

// changeClasses inserts a class before the others, changes the values of the other classes, and waits until the new
// settings are in force.
func changeClasses(t *testing.T, env *environment, adminAddr string) {
	t.Helper()
	baseTune := env.tune
	env.tune = func(config map[string]any) {
		baseTune(config)
		settings := config["settings"].(map[string]any)
		classes := settings["profiles"].([]map[string]any)
		for _, c := range classes {
			c["aim-ms"] = 400 + rand.IntN(100)
		}
		added := map[string]any{
			"name": fmt.Sprint("new-", rand.Int()), "aim-ms": 50, "deadline-ms": 100, "effect": "safe", "late-worth": 0.5,
			"worth": 1,
		}
		settings["profiles"] = append([]map[string]any{added}, classes...)
	}
	env.configure(env.secondAddr)
	env.tune = baseTune
	text, err := os.ReadFile(env.config)
	must(t, err)
	want := admin.Digest(string(text))
	until := time.Now().Add(20 * time.Second)
	for statusOf(t, adminAddr).Config != want {
		if time.Now().After(until) {
			t.Fatal("the new settings are not in force after 20 s")
		}
		syscall.Kill(statusOf(t, adminAddr).Pid, syscall.SIGHUP)
		time.Sleep(5 * time.Millisecond)
	}
}

// redeliveryPlan returns the number of rounds and the seed of the random numbers.
func redeliveryPlan(t *testing.T) (rounds int, seed uint64) {
	rounds, seed = 8, 1
	if n, err := strconv.Atoi(os.Getenv("CLEATHOLD_KILLS")); err == nil && n > 0 {
		rounds, seed = n, uint64(time.Now().UnixNano())
	}
	if n, err := strconv.ParseUint(os.Getenv("CLEATHOLD_SEED"), 10, 64); err == nil {
		seed = n
	}
	t.Logf("CLEATHOLD_SEED=%d", seed)
	return rounds, seed
}

// drawFaults returns the flakyAnswer function of a partner that fails often, in one of three ways.
func drawFaults(seed uint64) func() string {
	rng := rand.New(rand.NewPCG(seed, 2))
	return func() string {
		switch n := rng.IntN(20); {
		case n < 6:
			return socktest.Status(503)
		case n < 8:
			return "break"
		case n < 9:
			return socktest.Hang
		}
		return "ordinary"
	}
}

// redeliverThrough runs the rounds against a partner that fails often. It then lets the partner recover, orders the
// redelivery of all records and checks the state of each message.
func redeliverThrough(t *testing.T, rounds redeliveryRounds) {
	count, seed := redeliveryPlan(t)
	rng := rand.New(rand.NewPCG(seed, 1))
	p := newPartner(150)
	p.openedAt = time.Now().Add(-time.Hour)
	p.flakyAnswer = drawFaults(seed)
	env := newDeadLetterEnvironment(t, p, holdAllSettings)
	reported := env.collectReports()
	accepted := map[string]bool{}
	var process *exec.Cmd
	for round := range count {
		process = rounds.start(env, process)
		clientConn := env.client()
		for i := range 12 {
			if i == 6 {
				rounds.change(env)
			}
			name, id, key := testMessage(12*round + i)
			status, err := clientConn.submit(name, id, key, 0.05+rng.Float64()/2)
			if err == nil && status == 202 {
				accepted[id] = true
			}
		}
		order := admin.DeadLetterRequest{Selection: deadletter.Selection{Limit: deadletter.MaxPageSize}, WithinSeconds: 1}
		go env.adminAPI().Execute(context.Background(), "resend", order)
		time.Sleep(time.Duration(rng.IntN(400)) * time.Millisecond)
		rounds.end(env, process)
	}
	p.mu.Lock()
	p.flakyAnswer = nil
	p.mu.Unlock()
	rounds.start(env, process)
	api := env.adminAPI()
	idle := func(s map[string]int, x deadletter.Stats) bool {
		return s["out"]+s["ordered"] == 0 && x.PendingReports == 0
	}
	env.awaitStats(api, "no redelivery in progress", idle)
	time.Sleep(time.Second) // live messages have a deadline of 0.55 s at most
	_, rejections, err := resendAll(api, 60)
	must(t, err)
	rejected := map[uint64]bool{}
	for _, r := range rejections {
		rejected[r.Seq] = true
	}
	states := env.awaitStats(api, "all redeliveries done", idle)
	records := readRecords(t, api)
	requireOneState(t, p, accepted, records, rejected, reported)
	t.Logf("%d rounds, %d messages accepted, %d of them held: %v", count, len(accepted), len(records), states)
}

// readRecords returns all records by the ids of their messages. It checks that no message has two records, and that
// each record has the class of its message.
func readRecords(t *testing.T, api admin.API) map[string]deadletter.Record {
	t.Helper()
	records := map[string]deadletter.Record{}
	for next := uint64(0); ; {
		page, err := api.List(context.Background(), deadletter.Filter{}, next, deadletter.MaxPageSize)
		must(t, err)
		for _, r := range page.Records {
			if class := map[byte]string{'s': "safe", 'k': "keyed", 'u': "unsafe"}[r.ID[0]]; r.Class != class {
				t.Errorf("%s is of class %s, but is held with class %q", r.ID, class, r.Class)
			}
			if _, duplicate := records[r.ID]; duplicate {
				t.Errorf("%s has two records", r.ID)
			}
			records[r.ID] = r
		}
		if next = page.Next; next == 0 {
			return records
		}
	}
}

// requireOneState checks that each accepted message was delivered or is held, that the platform got the delivery
// reports of the held ones, that all records that may be redelivered were redelivered, and that no message had more
// effects than its class allows. A message held after a timeout must have taken effect.
func requireOneState(
	t *testing.T, p *partner, accepted map[string]bool, records map[string]deadletter.Record, rejected map[uint64]bool,
	reported func(id string) bool,
) {
	t.Helper()
	p.mu.Lock()
	defer p.mu.Unlock()
	for id := range accepted {
		r, held := records[id]
		switch {
		case !held && p.effects[id] == 0:
			t.Errorf("%s is lost", id)
		case held && !reported(id):
			t.Errorf("%s is held, but its delivery report was not received: %+v", id, r)
		case held && r.State == deadletter.Held && !rejected[r.Sequence] && heldAfterTimeout(r):
			if p.effects[id] != 1 {
				t.Errorf("%s took effect %d times, want 1: %+v", id, p.effects[id], r)
			}
		case held && r.State == deadletter.Held && !rejected[r.Sequence]:
			t.Errorf("%s may be redelivered, but was not: %+v", id, r)
		case held && r.State == deadletter.Delivered && p.effects[id] == 0:
			t.Errorf("%s is recorded as delivered, but had no effect", id)
		}
	}
	for _, id := range p.excessEffects {
		t.Errorf("more effects than allowed: %s: %+v", id, records[id])
	}
}
