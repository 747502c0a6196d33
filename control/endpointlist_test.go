package control

import (
	"testing"
	"time"
)

// Nothing is sent to a draining endpoint.
func TestDrainStopsSends(t *testing.T) {
	r := newRecorder(t, testSettings())
	r.addReady(0, 1)
	r.updateList(ListDelta, Endpoint{ID: 0, Destination: 0, State: Draining})
	m := r.submit(1, 0, 0)
	r.advance(time.Second)
	if m.attempts != 0 {
		t.Fatal("sent to a draining endpoint")
	}
	r.updateList(ListFull, Endpoint{ID: 7, Destination: 0, State: Ready})
	if !m.inFlight || m.endpoint != 7 {
		t.Fatal("not sent to the new endpoint")
	}
}

// If the endpoint list has to be polled, a failed poll is followed by another one.
func TestPollAfterFailure(t *testing.T) {
	cfg := testSettings()
	cfg.PollEndpointList = true
	r := newRecorder(t, cfg)
	r.updateList(ListCached, Endpoint{ID: 1, State: Ready})
	if r.watches != 1 {
		t.Fatalf("polled %d times at the start", r.watches)
	}
	r.updateList(ListFailed)
	r.advance(cfg.MaxPollInterval / 2)
	if r.watches < 2 {
		t.Fatal("not polled again after a failure")
	}
	r.updateList(ListDelta)
	n := r.watches
	r.advance(cfg.MaxPollInterval)
	if r.watches != n {
		t.Fatal("polled again though subscribed")
	}
}

// Discovery processes polls in order, including those that timed out after two seconds. Each of 80 senders that start
// at the same instant receives an answer within ten seconds, with at most twice as many polls as senders.
func TestLargeFleetSpreadsPolls(t *testing.T) {
	const senders, step, perStep = 80, 100 * ms, 1.5 // discovery processes 15 polls per second
	type poll struct {
		sender int
		at     time.Duration
	}
	var queue []poll
	fleet, watchesSeen, answered := make([]*recorder, senders), make([]int, senders), make([]bool, senders)
	for i := range fleet {
		cfg := testSettings()
		cfg.PollEndpointList, cfg.FleetSize, cfg.Seed = true, senders, uint64(i)
		fleet[i] = newRecorder(t, cfg)
		fleet[i].updateList(ListCached, Endpoint{ID: 1, State: Ready})
	}
	done, polls, capacity := 0, 0, 0.0
	var last time.Duration
	for now := time.Duration(0); now < 30*time.Second; now += step {
		for i, r := range fleet {
			if n := r.watches - watchesSeen[i]; n > 0 {
				queue, polls, watchesSeen[i] = append(queue, poll{i, now}), polls+n, r.watches
			}
		}
		for capacity += perStep; capacity >= 1 && len(queue) > 0; capacity-- {
			q := queue[0]
			queue = queue[1:]
			if now-q.at <= 2*time.Second {
				fleet[q.sender].updateList(ListDelta)
				answered[q.sender], done, last = true, done+1, now
			} else if now-q.at <= 2*time.Second+step { // processed as it times out, and therefore not failed below
				fleet[q.sender].updateList(ListFailed)
			}
		}
		for i := range queue { // timed out, but discovery still processes them
			if q := &queue[i]; now-q.at > 2*time.Second && now-q.at <= 2*time.Second+step {
				fleet[q.sender].updateList(ListFailed)
			}
		}
		capacity = min(capacity, perStep)
		for _, r := range fleet {
			r.advance(step)
		}
	}
	if done < senders || last > 10*time.Second || polls > 2*senders {
		t.Fatalf("%d of %d answered, the last after %v, with %d polls", done, senders, last, polls)
	}
}

// The spread of polls grows with the fleet, and the delay after failures with the spread, but both are bounded: an
// update must be known 6 s after discovery could be reached, and that time includes the poll itself.
func TestPollSpreadIsBounded(t *testing.T) {
	for _, c := range []struct {
		fleetSize                     int
		maxPollInterval, spread, poll time.Duration // poll: longest delay after failures
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
		cfg := testSettings()
		cfg.FleetSize, cfg.MaxPollInterval, cfg.PollEndpointList = c.fleetSize, c.maxPollInterval, true
		if got := cfg.PollSpread(); got != c.spread {
			t.Errorf("%+v: %v", c, got)
		}
		// All senders must know an update within 6 s, including 1.2 s for the answer. The spread may be exceeded by a
		// tenth.
		if known := c.spread + c.spread/10 + 1200*ms; known >= 6*time.Second {
			t.Errorf("%+v: known after %v", c, known)
		}
		longest := time.Duration(0)
		for seed := range uint64(40) {
			cfg.Seed = seed
			r := newRecorder(t, cfg)
			for range 8 {
				r.c.list.polling = true
				r.c.UpdateEndpoints(r.now, ListFailed, nil)
				longest = max(longest, r.c.list.nextPoll-r.now)
			}
		}
		if longest > c.poll || longest < c.poll/2 {
			t.Errorf("%+v: %v after failures", c, longest)
		}
	}
}

// Endpoints that were removed long ago are deleted, together with destinations that have no other endpoint. Endpoints
// that were removed recently are kept.
func TestRemovedEndpointsArePruned(t *testing.T) {
	r := newRecorder(t, testSettings())
	for i := range 200 {
		r.updateList(ListDelta, Endpoint{ID: EndpointID(1000 + i), Destination: 50 + i, State: Ready})
		r.updateList(ListDelta, Endpoint{ID: EndpointID(1000 + i), Destination: 50 + i, State: Removed})
		if r.c.endpoints[EndpointID(1000+i)] == nil {
			t.Fatal("deleted at once")
		}
		r.advance(time.Second)
	}
	keep := int((2*r.c.settings.WarmUp+r.c.settings.OverloadWindow+r.c.settings.DrainGrace)/time.Second) + 1
	if len(r.c.endpoints) > keep || len(r.c.destinations) > keep {
		t.Errorf("%d endpoints and %d destinations kept, want at most %d", len(r.c.endpoints), len(r.c.destinations), keep)
	}
}

func TestListPoller(t *testing.T) {
	p := listPoller{nextPoll: time.Second}
	for _, c := range []struct {
		name   string
		change func()
		due    bool // at 1 s
	}{
		{"poll due", func() {}, true},
		{"poll in progress", func() { p.polling = true }, false},
		{"failed", func() { p.recordFailure(true) }, true},
		{"answered", func() { p.recordAnswer() }, false},
		{"subscription lost", func() { p.recordFailure(false) }, true},
	} {
		if c.change(); p.due(time.Second) != c.due || p.due(time.Second-1) {
			t.Errorf("%s: due %v", c.name, p.due(time.Second))
		}
	}
}
