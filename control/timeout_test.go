package control

import (
	"strings"
	"testing"
)

// Calls to an unresponsive destination are canceled when messages to other destinations need the slots.
func TestOverdueCallsArePreempted(t *testing.T) {
	for _, slotsWanted := range []bool{false, true} {
		cfg := testSettings()
		cfg.MaxInFlight = 2
		r := newRecorder(t, cfg)
		for dest := range 3 {
			r.addReady(dest, 1)
			r.submit(MessageID(1+dest), 0, dest)
			r.serve(60*ms, 50*ms)
		}
		r.submit(10, 2, 0)
		for id := MessageID(11); id < 31; id++ {
			if slotsWanted {
				r.submit(id, 0, 1+int(id)%2)
			}
			for range 10 {
				r.advance(5 * ms)
				for _, other := range r.submitted {
					if m := r.messages[other]; other > 10 && m.inFlight && r.now >= m.sentAt+100*ms {
						r.answer(other, Served, 0)
					}
				}
			}
		}
		if canceled := strings.Contains(strings.Join(r.trace, "\n"), "cancel 10.0"); canceled != slotsWanted {
			t.Errorf("slots wanted %v: canceled %v", slotsWanted, canceled)
		}
	}
}

// If peers report all other endpoints down, one overdue call is enough for an outage of the destination.
func TestUnresponsiveBesideEjectedEndpoints(t *testing.T) {
	for _, reported := range []bool{true, false} {
		r := largeFleetMember(t, 3)
		m := r.submit(1, 0, 0)
		r.advance(10 * ms)
		r.answer(1, Served, 0)
		for e := EndpointID(0); e < 3 && reported; e++ {
			for peer := 1; peer <= 2 && e != m.endpoint; peer++ {
				r.c.ReceiveGossip(r.now, Observation{Endpoint: e, Kind: ObservedDown, Peer: peer})
			}
		}
		last := r.submit(2, 0, 0)
		for r.c.endpoints[last.endpoint].consecutiveFailures == 0 {
			r.advance(r.cfg.Tick)
			r.c.Decide(r.now)
		}
		if reported && last.endpoint != m.endpoint || r.c.destination(0).sharedRoute.breaker.open != reported {
			t.Errorf("others reported down %v: call sent to %d after %d, circuit open %v", reported, last.endpoint,
				m.endpoint, r.c.destination(0).sharedRoute.breaker.open)
		}
	}
}
