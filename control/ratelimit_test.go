package control

import (
	"math"
	"strings"
	"testing"
	"time"
)

// The rate of calls stays within a reported limit.
func TestRateKeepsReportedLimit(t *testing.T) {
	r := newRecorder(t, testSettings())
	r.addReady(0, 2)
	r.submit(1, 0, 0)
	r.serve(100*ms, 50*ms, 0.1, 4)
	for id := MessageID(2); id < 60; id++ {
		r.submit(id, 0, 0)
	}
	before := len(r.trace)
	r.serve(3*time.Second, 50*ms, 0.1, 4)
	sends := strings.Count(strings.Join(r.trace[before:], "\n"), "send ")
	if sends < 6 || sends > 16 {
		t.Fatalf("%d calls in 3 s at a limit of 4 per second", sends)
	}
}

// A Retry-After applies to the destination, or with separate routes to the endpoint only.
func TestRetryAfter(t *testing.T) {
	for _, separate := range []bool{false, true} {
		cfg := testSettings()
		cfg.Kinds[0].SeparateRoutes = separate
		r := newRecorder(t, cfg)
		r.addReady(0, 2)
		m := r.submit(1, 0, 0)
		first := m.endpoint
		r.advance(10 * ms)
		r.answer(1, Rejected, 800*ms)
		r.advance(600 * ms)
		if separate != (m.attempts == 2) || separate && m.endpoint == first {
			t.Fatalf("separate %v: %d sends, to %d after %d", separate, m.attempts, m.endpoint, first)
		}
		r.advance(600 * ms)
		if m.attempts != 2 {
			t.Fatalf("separate %v: not sent after the Retry-After", separate)
		}
	}
}

// A Retry-After in the response of a served call applies like any other: the recorder fails the test if anything is
// sent before it has passed.
func TestRetryAfterWithServedAnswer(t *testing.T) {
	r := newRecorder(t, testSettings())
	r.addReady(0, 2)
	r.submit(1, 0, 0)
	r.advance(10 * ms)
	r.answer(1, Served, 400*ms)
	m := r.submit(2, 0, 0)
	if m.inFlight {
		t.Fatal("sent before the Retry-After has passed")
	}
	r.advance(500 * ms)
	if m.attempts == 0 {
		t.Fatal("not sent after the Retry-After")
	}
}

func TestTokenBucket(t *testing.T) {
	for _, c := range []struct {
		name  string
		from  float64
		after time.Duration
		want  float64
	}{
		{"no time", 0.5, 0, 0.5},
		{"a second at 2 a second", 0.5, time.Second, 2.5},
		{"at most its depth", 0.5, time.Hour, 3},
		{"time does not go back", 0.5, -time.Second, 0.5},
	} {
		b := tokenBucket{tokens: c.from, filledAt: time.Minute}
		if b.refill(time.Minute+c.after, 2, 3); b.tokens != c.want {
			t.Errorf("%s: %v tokens, want %v", c.name, b.tokens, c.want)
		}
	}
	if got := (&tokenBucket{tokens: -0.5}).untilToken(3); got != 500*ms {
		t.Errorf("next token in %v", got)
	}
}

func TestRateLimitFraction(t *testing.T) {
	const now = time.Minute
	for _, c := range []struct {
		name   string
		from   float64
		change func(*rateLimit)
		want   float64
	}{
		{"rejection in a fleet of two", 1, func(l *rateLimit) { l.reduce(now, 1) }, limitReduction},
		{"served for a second", 0.5, func(l *rateLimit) { l.raise(now) }, 0.5 + limitRisePerSecond},
		{"served with all", 1, func(l *rateLimit) { l.raise(now) }, 1},
		{"headroom from nothing", 0, func(l *rateLimit) { l.raiseByHeadroom(1, 1) }, minLimitFraction * (1 + headroomRaise)},
		{"large fleet, rejection", 0.04, func(l *rateLimit) { l.reduceInFleet(now, 80, false) },
			fleetRateReduction * fleetRateReductionBase / 80},
		{"large fleet, isolated", 0.04, func(l *rateLimit) { l.reduceInFleet(now, 80, true) }, isolatedRateReduction / 80.0},
		{"large fleet, a second", 0.0125, func(l *rateLimit) { l.raiseInFleet(now, now-time.Second, 80, 1) },
			(1 + fleetRateRisePerSecond) / 80},
		{"large fleet, an hour", 0.0125, func(l *rateLimit) { l.raiseInFleet(now, now-time.Hour, 80, 1) }, fleetRateMax / 80},
		{"isolated, served", 0.01, func(l *rateLimit) { l.raiseIsolated(80) }, 0.01 * (1 + isolatedRateRisePerCall)},
	} {
		l := rateLimit{fraction: c.from}
		if c.change(&l); math.Abs(l.fraction-c.want) > 1e-12 {
			t.Errorf("%s: %v, want %v", c.name, l.fraction, c.want)
		}
	}
}
