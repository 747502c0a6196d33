package main

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"cleathold/internal/admin"
	"cleathold/internal/deadletter"
)

const (
	deadLetters  = 600 // records whose call never ran
	brokenCalls  = 30  // calls that break after they took effect, or before they are made
	liveMessages = 300
	liveInterval = 40 * time.Millisecond // 25 messages a second
)

// TestRedeliveryToRecoveringPartner sends hundreds of dead letters to a partner that is warming up: none has a double
// effect, the partner is never overloaded, live traffic keeps its service, and all that may be sent takes effect.
func TestRedeliveryToRecoveringPartner(t *testing.T) {
	served := map[bool]float64{}
	for _, resends := range []bool{false, true} {
		served[resends] = runRecovery(t, resends)
	}
	if served[true] < 0.95*served[false] {
		t.Errorf("worth of live traffic %.1f beside resends, %.1f without", served[true], served[false])
	}
}

// runRecovery plays an outage and the recovery, with or without redelivery, and returns the worth of live traffic.
func runRecovery(t *testing.T, resends bool) (liveWorth float64) {
	p := newPartner(150)
	env := newDeadLetterEnvironment(t, p, holdAllSettings)
	noticed := env.collectNotices()
	env.start()
	api, c := env.adminAPI(), env.client()
	ran := fillDeadLetters(t, env, p, c)
	for n := range deadLetters {
		if _, id, _ := testMessage(n); !noticed(id) || p.effects[id] > 0 {
			t.Fatalf("%s: noticed %t, effects %d", id, noticed(id), p.effects[id])
		}
	}
	if resends {
		done, rejected, err := resendAll(api, 60)
		if err != nil || done != deadLetters+brokenCalls-ran || len(rejected) != ran ||
			!strings.Contains(rejected[0].Reason, "must never take effect twice") {
			t.Fatalf("ordered %d, rejected %d, %v", done, len(rejected), err)
		}
	}
	p.open()
	start := submitLive(t, c)
	if resends {
		env.awaitStats(api, "all redelivered", func(states map[string]int, _ deadletter.Stats) bool {
			return states["delivered"]+states["held"] == deadLetters+brokenCalls
		})
		requireRedelivered(t, api, ran)
	}
	env.awaitStats(api, "nothing out", func(states map[string]int, _ deadletter.Stats) bool {
		return states["out"]+states["ordered"] == 0
	})
	time.Sleep(time.Until(start.Add(liveMessages*liveInterval + 4*time.Second)))
	overload := p.maxOverload(overloadWindow)
	if overload > 2 {
		t.Errorf("overloaded: %.2f times its capacity", overload)
	}
	liveWorth = liveScore(p, start)
	requireEffects(t, p, resends)
	t.Logf("resends %t: worth of live traffic %.1f of %d, at most %.2f times the capacity in %v, partner opened %v ago",
		resends, liveWorth, liveMessages, overload, overloadWindow, time.Since(start).Round(time.Second))
	return liveWorth
}

// fillDeadLetters submits messages whose calls break after they took effect, then shuts the partner and submits the
// others. It returns how many took effect: the rest found the route taken for an outage, and never ran.
func fillDeadLetters(t *testing.T, env *environment, p *partner, c *client) (ran int) {
	t.Helper()
	api := env.adminAPI()
	p.resetCalls = true
	for n := range brokenCalls {
		if status, err := c.submit("unsafe", fmt.Sprint("u-ran", n), "", 1); status != 202 {
			t.Fatalf("%d %v", status, err)
		}
	}
	env.awaitStats(api, "those that may have run", func(states map[string]int, _ deadletter.Stats) bool {
		return states["held"] == brokenCalls
	})
	p.mu.Lock()
	p.resetCalls = false
	ran = len(p.effects)
	p.mu.Unlock()
	if ran == 0 {
		t.Fatal("no call broke")
	}
	for n := range deadLetters {
		name, id, key := testMessage(n)
		if status, err := c.submit(name, id, key, 1); status != 202 {
			t.Fatalf("%s: %d %v", id, status, err)
		}
	}
	env.awaitStats(api, "all held", heldAndNoticed(deadLetters+brokenCalls))
	return ran
}

// submitLive submits live traffic at times that are fixed ahead, and returns the first of them.
func submitLive(t *testing.T, c *client) (start time.Time) {
	t.Helper()
	start = time.Now()
	for n := range liveMessages {
		time.Sleep(time.Until(start.Add(time.Duration(n) * liveInterval)))
		if status, err := c.submit("safe", fmt.Sprint("slive", n), "", 4); status != 202 {
			t.Errorf("live %d: %d %v", n, status, err)
		}
	}
	return start
}

// requireRedelivered checks that all records are delivered except the first ones, which must not be resent, and unsafe
// ones whose only redelivery timed out. The call timeout follows the partner's call time of less than a millisecond, so
// a busy machine can delay an answer beyond it. Such a call may have run, and the record must stay held.
// requireEffects checks that the message took effect all the same.
func requireRedelivered(t *testing.T, api admin.API, notResent int) {
	t.Helper()
	page, err := api.List(context.Background(), deadletter.Filter{State: deadletter.Held}, 0, deadletter.MaxPageSize)
	must(t, err)
	for _, r := range page.Records {
		if r.Redeliveries == 0 {
			notResent--
			continue
		}
		if len(r.Attempts) != 1 || r.AttemptCount != 1 || r.Class != "unsafe" ||
			r.Attempts[0].Result != "timed-out" || !r.Attempts[0].MayHaveRun {
			t.Errorf("held after its redelivery: %+v", r)
		}
	}
	if notResent != 0 || page.Next != 0 {
		t.Errorf("%d records that must not be resent are missing; next page %d", notResent, page.Next)
	}
}

// liveScore returns the worth of live traffic: 1 for each message within the latency objective of 400 ms, falling to a
// half at the deadline of 4 s, 0 after it.
func liveScore(p *partner, start time.Time) (score float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for n := range liveMessages {
		if at, delivered := p.firstEffect[fmt.Sprint("slive", n)]; delivered {
			lateness := at.Sub(start.Add(time.Duration(n)*liveInterval)) - 400*time.Millisecond
			score += 1 - max(0, lateness.Seconds()/3.6)/2
		}
	}
	return score
}

// requireEffects checks that each message took effect as often as its class allows, and at least once if it was resent.
// A safe one may be repeated, and is where a call is slow: a busy machine does that.
func requireEffects(t *testing.T, p *partner, resent bool) {
	t.Helper()
	p.mu.Lock()
	defer p.mu.Unlock()
	for n := range deadLetters {
		if name, id, _ := testMessage(n); resent && (p.effects[id] < 1 || p.effects[id] > 1 && name != "safe") {
			t.Errorf("%s took effect %d times", id, p.effects[id])
		}
	}
	for n := range brokenCalls {
		if id := fmt.Sprint("u-ran", n); p.effects[id] > 1 {
			t.Errorf("%s took effect %d times", id, p.effects[id])
		}
	}
	if len(p.excessEffects) > 0 {
		t.Errorf("doubles: %v", p.excessEffects)
	}
}

// resendAll orders the redelivery of all records, each within so many seconds.
func resendAll(api admin.API, withinS float64) (done int, rejected []deadletter.RejectedRecord, err error) {
	order := admin.Order{WithinS: withinS}
	order.Selection.Limit = deadletter.MaxPageSize
	for {
		page, err := api.Act(context.Background(), "resend", order)
		if err != nil {
			return done, rejected, err
		}
		done, rejected = done+page.Done, append(rejected, page.Rejected...)
		if order.Selection.After = page.Next; page.Next == 0 {
			return done, rejected, nil
		}
	}
}

// heldAndNoticed is the condition that so many records are held and the platform knows of all of them.
func heldAndNoticed(count int) func(states map[string]int, s deadletter.Stats) bool {
	return func(states map[string]int, s deadletter.Stats) bool { return states["held"] == count && s.Owed == 0 }
}
