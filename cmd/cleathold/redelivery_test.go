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

// Killed at random moments while messages are held and sent again, the sender
// keeps each in exactly one state, and the partner sees no more effects of a
// message than its class allows. CLEATHOLD_KILLS=200 makes the long run of it.
func TestRedeliveryThroughKills(t *testing.T) {
	redeliverThrough(t, func(env *environment, _ *exec.Cmd) *exec.Cmd { return env.start() }, func(*environment) {}, func(env *environment, c *exec.Cmd) { env.kill(c) })
}

// The same where one process hands over to the next instead, while messages are held and sent again, and where the
// platform's settings change under way: a class comes in front of the others, the rest have other figures, and each record keeps the name of its own.
func TestRedeliveryThroughHandovers(t *testing.T) {
	temp, err := os.MkdirTemp("", "ch") // a Unix address is short
	must(t, err)
	t.Cleanup(func() { os.RemoveAll(temp) })
	t.Setenv("TMPDIR", temp)
	at := ""
	redeliverThrough(t, func(env *environment, last *exec.Cmd) *exec.Cmd {
		at = freeAddr(t)
		c := exec.Command(os.Args[0], "serve")
		c.Env = append(os.Environ(), "CLEATHOLD_CHILD=1", "LB_CONFIG="+env.config, "LB_ADMIN="+at, "CLEATHOLD_SETTINGS="+env.settingsScript)
		must(t, c.Start())
		t.Cleanup(func() { c.Process.Kill(); c.Wait() })
		awaitReady(t, at)
		if last != nil {
			if err := awaitExit(t, last); err != nil {
				t.Errorf("the process before: %v", err)
			}
		}
		return c
	}, func(env *environment) {
		old := env.tune
		env.tune = func(config map[string]any) { // another class in front, and other figures for the rest
			old(config)
			set := config["settings"].(map[string]any)
			list := set["profiles"].([]map[string]any)
			for _, c := range list {
				c["aim-ms"] = 400 + rand.IntN(100)
			}
			set["profiles"] = append([]map[string]any{{"name": fmt.Sprint("new-", rand.Int()), "aim-ms": 50, "deadline-ms": 100, "effect": "safe", "late-worth": 0.5, "worth": 1}}, list...)
		}
		env.configure(env.secondAddr)
		env.tune = old
		text, err := os.ReadFile(env.config)
		must(t, err)
		want := admin.Digest(string(text))
		for until := time.Now().Add(20 * time.Second); senderStatusAt(t, at).Config != want; time.Sleep(5 * time.Millisecond) {
			if time.Now().After(until) {
				t.Fatal("the new settings are not in force")
			}
			syscall.Kill(senderStatusAt(t, at).Pid, syscall.SIGHUP)
		}
	}, func(*environment, *exec.Cmd) {})
}

// redeliverThrough plays it. Start starts the process of a round beside the last one's or in its place, mid changes something
// in the middle of a round, over ends one.
func redeliverThrough(t *testing.T, start func(env *environment, last *exec.Cmd) *exec.Cmd, midRound func(env *environment), endRound func(env *environment, c *exec.Cmd)) {
	kills, seed := 8, uint64(1)
	if n, err := strconv.Atoi(os.Getenv("CLEATHOLD_KILLS")); err == nil && n > 0 {
		kills, seed = n, uint64(time.Now().UnixNano())
	}
	if n, err := strconv.ParseUint(os.Getenv("CLEATHOLD_SEED"), 10, 64); err == nil {
		seed = n
	}
	t.Logf("CLEATHOLD_SEED=%d", seed)
	rng := rand.New(rand.NewPCG(seed, 1))
	p := newPartner(150)
	p.openedAt = time.Now().Add(-time.Hour)
	flaky := rand.New(rand.NewPCG(seed, 2))
	p.flakyAnswer = func() string { // under the partner's mutex
		switch n := flaky.IntN(20); {
		case n < 6:
			return socktest.Status(503)
		case n < 8:
			return "break"
		case n < 9:
			return socktest.Hang
		}
		return "ordinary"
	}
	env := newDeadLetterEnvironment(t, p, holdAllSettings)
	noticed := env.collectNotices()
	accepted := map[string]bool{}
	next := 0
	var c *exec.Cmd
	for range kills {
		c = start(env, c)
		clientConn := env.client()
		for i := range 12 {
			if i == 6 {
				midRound(env)
			}
			name, id, key := testMessage(next)
			next++
			if status, err := clientConn.submit(name, id, key, 0.05+rng.Float64()/2); err == nil && status == 202 {
				accepted[id] = true
			}
		}
		go env.adminAPI().Act(context.Background(), "resend", admin.Order{Selection: deadletter.Selection{Limit: deadletter.MaxPageSize}, WithinS: 1})
		time.Sleep(time.Duration(rng.IntN(400)) * time.Millisecond)
		endRound(env, c)
	}
	p.mu.Lock()
	p.flakyAnswer = nil
	p.mu.Unlock()
	start(env, c)
	plane := env.adminAPI()
	quiet := func(s map[string]int, x deadletter.Stats) bool { return s["out"]+s["ordered"] == 0 && x.Owed == 0 }
	env.awaitStats(plane, "nothing on its way", quiet)
	time.Sleep(time.Second) // live ones have 0.55 s at most
	order := admin.Order{WithinS: 60}
	order.Selection.Limit = deadletter.MaxPageSize
	rejected := map[uint64]bool{}
	for {
		got, err := plane.Act(context.Background(), "resend", order)
		if err != nil {
			t.Fatal(err)
		}
		for _, r := range got.Rejected {
			rejected[r.Seq] = true
		}
		if order.Selection.After = got.Next; got.Next == 0 {
			break
		}
	}
	states := env.awaitStats(plane, "all sent that may be", quiet)
	records := map[string]deadletter.Record{}
	for next := uint64(0); ; {
		page, err := plane.List(context.Background(), deadletter.Filter{}, next, deadletter.MaxPageSize)
		if err != nil {
			t.Fatal(err)
		}
		for _, r := range page.Records {
			if is := map[byte]string{'s': "safe", 'k': "keyed", 'u': "unsafe"}[r.ID[0]]; r.Class != is {
				t.Errorf("%s is of class %s, and is held as one of %q", r.ID, is, r.Class)
			}
			if _, twice := records[r.ID]; twice {
				t.Errorf("%s is in the store twice", r.ID)
			}
			records[r.ID] = r
		}
		if next = page.Next; next == 0 {
			break
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for id := range accepted {
		r, held := records[id]
		switch {
		case !held && p.effects[id] == 0:
			t.Errorf("%s is lost", id)
		case held && !noticed(id):
			t.Errorf("%s is held, and the platform does not know: %+v", id, r)
		case held && r.State == deadletter.Held && !rejected[r.Sequence]:
			t.Errorf("%s may be sent and was not: %+v", id, r)
		case held && r.State == deadletter.Delivered && p.effects[id] == 0:
			t.Errorf("%s is delivered by the store's word alone", id)
		}
	}
	if len(p.doubles) > 0 {
		for _, id := range p.doubles {
			t.Errorf("double effect: %s: %+v", id, records[id])
		}
	}
	t.Logf("%d kills, %d messages taken, %d of them held: %v", kills, len(accepted), len(records), states)
}
