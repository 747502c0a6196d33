package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
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
func TestKilledResends(t *testing.T) {
	resentThrough(t, func(w *world, _ *exec.Cmd) *exec.Cmd { return w.start() }, func(*world) {}, func(w *world, c *exec.Cmd) { w.kill(c) })
}

// The same where one process hands over to the next instead, while messages are held and sent again, and where the
// platform's settings change under way: a class comes in front of the others, the rest have other figures, and each record keeps the name of its own.
func TestHandedOverResends(t *testing.T) {
	temp, err := os.MkdirTemp("", "ch") // a Unix address is short
	must(t, err)
	t.Cleanup(func() { os.RemoveAll(temp) })
	t.Setenv("TMPDIR", temp)
	at := ""
	resentThrough(t, func(w *world, last *exec.Cmd) *exec.Cmd {
		at = freeAddr(t)
		c := exec.Command(os.Args[0], "serve")
		c.Env = append(os.Environ(), "CLEATHOLD_CHILD=1", "LB_CONFIG="+w.config, "LB_ADMIN="+at, "CLEATHOLD_SETTINGS="+w.script)
		must(t, c.Start())
		t.Cleanup(func() { c.Process.Kill(); c.Wait() })
		ready(t, at)
		if last != nil {
			if err := ended(t, last); err != nil {
				t.Errorf("the process before: %v", err)
			}
		}
		return c
	}, func(w *world) {
		old := w.tune
		w.tune = func(config map[string]any) { // another class in front, and other figures for the rest
			old(config)
			set := config["settings"].(map[string]any)
			list := set["profiles"].([]map[string]any)
			for _, c := range list {
				c["aim-ms"] = 400 + rand.IntN(100)
			}
			set["profiles"] = append([]map[string]any{{"name": fmt.Sprint("new-", rand.Int()), "aim-ms": 50, "deadline-ms": 100, "effect": "safe", "late-worth": 0.5, "worth": 1}}, list...)
		}
		w.configure(w.second)
		w.tune = old
		text, err := os.ReadFile(w.config)
		must(t, err)
		want := admin.Digest(string(text))
		for until := time.Now().Add(20 * time.Second); status(t, at).Config != want; time.Sleep(5 * time.Millisecond) {
			if time.Now().After(until) {
				t.Fatal("the new settings are not in force")
			}
			syscall.Kill(status(t, at).Pid, syscall.SIGHUP)
		}
	}, func(*world, *exec.Cmd) {})
}

// status is what a sender says at its second address.
func status(t *testing.T, at string) (s admin.Status) {
	t.Helper()
	r, err := http.Get("http://" + at + admin.StatusPath)
	must(t, err)
	defer r.Body.Close()
	must(t, json.NewDecoder(r.Body).Decode(&s))
	return s
}

// resentThrough plays it. Start starts the process of a round beside the last one's or in its place, mid changes something
// in the middle of a round, over ends one.
func resentThrough(t *testing.T, start func(w *world, last *exec.Cmd) *exec.Cmd, mid func(w *world), over func(w *world, c *exec.Cmd)) {
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
	p.opened = time.Now().Add(-time.Hour)
	flaky := rand.New(rand.NewPCG(seed, 2))
	p.flaky = func() string { // under the partner's mutex
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
	w := newHeldWorld(t, p, holdAll)
	told := w.drain()
	taken := map[string]bool{}
	next := 0
	var c *exec.Cmd
	for range kills {
		c = start(w, c)
		hand := w.client()
		for i := range 12 {
			if i == 6 {
				mid(w)
			}
			name, id, key := class(next)
			next++
			if status, err := hand.handIn(name, id, key, 0.05+rng.Float64()/2); err == nil && status == 202 {
				taken[id] = true
			}
		}
		go w.plane().Act(context.Background(), "resend", admin.Order{Selection: deadletter.Selection{Limit: deadletter.MaxPageSize}, WithinS: 1})
		time.Sleep(time.Duration(rng.IntN(400)) * time.Millisecond)
		over(w, c)
	}
	p.mu.Lock()
	p.flaky = nil
	p.mu.Unlock()
	start(w, c)
	plane := w.plane()
	quiet := func(s map[string]int, x deadletter.Stats) bool { return s["out"]+s["ordered"] == 0 && x.Owed == 0 }
	w.stats(plane, "nothing on its way", quiet)
	time.Sleep(time.Second) // live ones have 0.55 s at most
	order := admin.Order{WithinS: 60}
	order.Selection.Limit = deadletter.MaxPageSize
	refused := map[uint64]bool{}
	for {
		got, err := plane.Act(context.Background(), "resend", order)
		if err != nil {
			t.Fatal(err)
		}
		for _, r := range got.Rejected {
			refused[r.Seq] = true
		}
		if order.Selection.After = got.Next; got.Next == 0 {
			break
		}
	}
	states := w.stats(plane, "all sent that may be", quiet)
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
	for id := range taken {
		r, kept := records[id]
		switch {
		case !kept && p.effects[id] == 0:
			t.Errorf("%s is lost", id)
		case kept && !told(id):
			t.Errorf("%s is held, and the platform does not know: %+v", id, r)
		case kept && r.State == deadletter.Held && !refused[r.Sequence]:
			t.Errorf("%s may be sent and was not: %+v", id, r)
		case kept && r.State == deadletter.Delivered && p.effects[id] == 0:
			t.Errorf("%s is delivered by the store's word alone", id)
		}
	}
	if len(p.doubles) > 0 {
		for _, id := range p.doubles {
			t.Errorf("double effect: %s: %+v", id, records[id])
		}
	}
	t.Logf("%d kills, %d messages taken, %d of them held: %v", kills, len(taken), len(records), states)
}
