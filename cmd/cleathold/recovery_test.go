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
	deadLetters  = 600 // records whose calls never ran
	brokenCalls  = 30  // calls whose connection is closed after they took effect, or that are not made
	liveMessages = 300
	liveInterval = 40 * time.Millisecond // 25 messages per second
)

// TestRedeliveryToRecoveringPartner redelivers hundreds of dead letters to a partner that is warming up. No message may
// have a second effect, the partner must not be overloaded, the service of live traffic must not degrade, and all
// messages that may be redelivered must take effect.
func TestRedeliveryToRecoveringPartner(t *testing.T) {
	served := map[bool]float64{}
	for _, resends := range []bool{false, true} {
		served[resends] = runRecovery(t, resends)
	}
	if served[true] < 0.95*served[false] {
		t.Errorf("worth of live traffic %.1f with redelivery, %.1f without", served[true], served[false])
	}
}

// runRecovery runs an outage and the recovery, with or without redelivery, and returns the worth of live traffic.
func runRecovery(t *testing.T, resends bool) (liveWorth float64) {
	p := newPartner(150)
	env := newDeadLetterEnvironment(t, p, holdAllSettings)
	reported := env.collectReports()
	env.start()
	api, c := env.adminAPI(), env.client()
	ran := fillDeadLetters(t, env, p, c)
	for n := range deadLetters {
		if _, id, _ := testMessage(n); !reported(id) || p.effects[id] > 0 {
			t.Fatalf("%s: reported %t, effects %d", id, reported(id), p.effects[id])
		}
	}
	if resends {
		done, rejected, err := resendAll(api, 60)
		if err != nil || done != deadLetters+brokenCalls-ran || len(rejected) != ran ||
			!strings.Contains(rejected[0].Reason, "must never take effect twice") {
			t.Fatalf("%d redeliveries ordered, %d rejected, %v", done, len(rejected), err)
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
		t.Errorf("the partner got %.2f times its capacity", overload)
	}
	liveWorth = liveScore(p, start)
	requireEffects(t, p, resends)
	t.Logf("redelivery %t: live traffic worth %.1f of %d, at most %.2f times the capacity in %v, partner returned %v ago",
		resends, liveWorth, liveMessages, overload, overloadWindow, time.Since(start).Round(time.Second))
	return liveWorth
}

// fillDeadLetters submits messages whose calls break after they took effect, and then others while the partner rejects
// all calls. It returns how many messages took effect. The rest of the first messages never ran, because the sender
// treated their route as down after the broken calls.
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
		t.Fatal("no call took effect")
	}
	for n := range deadLetters {
		name, id, key := testMessage(n)
		if status, err := c.submit(name, id, key, 1); status != 202 {
			t.Fatalf("%s: %d %v", id, status, err)
		}
	}
	env.awaitStats(api, "all held", heldAndReported(deadLetters+brokenCalls))
	return ran
}

// submitLive submits live traffic at fixed times, and returns the first of them.
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

// requireRedelivered checks that all records are delivered except the first ones, which must not be resent, and those
// that are held after a timeout. requireEffects checks that the messages of the latter took effect all the same.
func requireRedelivered(t *testing.T, api admin.API, notResent int) {
	t.Helper()
	page, err := api.List(context.Background(), deadletter.Filter{State: deadletter.Held}, 0, deadletter.MaxPageSize)
	must(t, err)
	for _, r := range page.Records {
		if r.Redeliveries == 0 {
			notResent--
			continue
		}
		if len(r.Attempts) != 1 || !heldAfterTimeout(r) {
			t.Errorf("held after its redelivery: %+v", r)
		}
	}
	if notResent != 0 || page.Next != 0 {
		t.Errorf("%d records that must not be resent are missing; next page %d", notResent, page.Next)
	}
}

// heldAfterTimeout reports whether a record is unsafe and the call of its latest redelivery timed out. The call timeout
// follows the partner's call time of less than a millisecond, so a busy machine can delay an answer beyond it. Such a
// call may have run, and the record must stay held.
func heldAfterTimeout(r deadletter.Record) bool {
	if r.Class != "unsafe" || r.AttemptCount != len(r.Attempts) || len(r.Attempts) == 0 {
		return false
	}
	latest := r.Attempts[len(r.Attempts)-1]
	return latest.Redelivery == r.Redeliveries && latest.Redelivery > 0 && latest.Result == "timed-out" &&
		latest.MayHaveRun
}

// liveScore returns the worth of live traffic. A message within the latency objective of 400 ms is worth 1. Its worth
// falls to a half at the deadline of 4 s, and is 0 if it has no effect.
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

// requireEffects checks that no message took effect more often than its class allows, and that each resent message took
// effect at least once. A safe message may be repeated, which happens if a call is slow on a busy machine.
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
		t.Errorf("more effects than allowed: %v", p.excessEffects)
	}
}

// resendAll orders the redelivery of all records, each within withinS seconds.
func resendAll(api admin.API, withinS float64) (done int, rejected []deadletter.RejectedRecord, err error) {
	order := admin.DeadLetterRequest{WithinSeconds: withinS}
	order.Selection.Limit = deadletter.MaxPageSize
	for {
		page, err := api.Execute(context.Background(), "resend", order)
		if err != nil {
			return done, rejected, err
		}
		done, rejected = done+page.Done, append(rejected, page.Rejected...)
		if order.Selection.After = page.Next; page.Next == 0 {
			return done, rejected, nil
		}
	}
}

// heldAndReported returns the condition that count records are held and that the platform has acknowledged the delivery
// reports of all of them.
func heldAndReported(count int) func(states map[string]int, s deadletter.Stats) bool {
	return func(states map[string]int, s deadletter.Stats) bool {
		return states["held"] == count && s.PendingReports == 0
	}
}
