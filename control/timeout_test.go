package control

import (
	"strings"
	"testing"
)

// Calls of an unresponsive destination are canceled when messages to others need the slots.
func TestOverdueCallsArePreempted(t *testing.T) {
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
				r.advance(5 * ms)
				for _, other := range r.arrivals {
					if m := r.messages[other]; other > 10 && m.out && r.now >= m.sentAt+100*ms {
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

// Where peers found the other endpoints down, one overdue call is enough for an outage of the destination.
func TestUnresponsiveBesideEjectedEndpoints(t *testing.T) {
	for _, told := range []bool{true, false} {
		r := largeFleetMember(t, 3)
		m := r.arrive(1, 0, 0)
		r.advance(10 * ms)
		r.answer(1, Served, 0)
		for e := EndpointID(0); e < 3 && told; e++ {
			for by := 1; by <= 2 && e != m.to; by++ {
				r.c.ReceiveGossip(r.now, Observation{Endpoint: e, Kind: ObservedDown, Peer: by})
			}
		}
		last := r.arrive(2, 0, 0)
		for r.c.endpoints[last.to].consecutiveFailures == 0 {
			r.advance(r.set.Tick)
			r.c.Decide(r.now)
		}
		if told && last.to != m.to || r.c.destination(0).sharedRoute.breaker.open != told {
			t.Errorf("others found down: %v; the call went to %d after %d, the destination is open: %v", told, last.to, m.to,
				r.c.destination(0).sharedRoute.breaker.open)
		}
	}
}
