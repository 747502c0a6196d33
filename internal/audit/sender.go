package audit

import "time"

// A sender is what its processes have to know and to do.
type sender struct {
	departures  map[string]time.Duration // when it was first notified that an endpoint drains or is removed
	waits       map[routeKey]wait        // that rejections told it
	downSince   time.Duration            // when its process ended or it became unreachable, the latest time
	readyAt     time.Duration            // when it was ready or reachable again, the latest time
	down        bool
	restarted   bool // or became reachable, at least once
	unreachable bool // the platform cannot hear it
}

// A wait is the time in which nothing may be sent to a route.
type wait struct{ from, until time.Duration }

// sender returns a sender, which is made if it is new.
func (a *Auditor) sender(n int) *sender {
	s := a.senders[n]
	if s == nil {
		s = &sender{departures: map[string]time.Duration{}, waits: map[routeKey]wait{}}
		a.senders[n] = s
	}
	return s
}

// notified notes that discovery told the sender of an endpoint.
func (s *sender) notified(e Event) {
	if at, before := s.departures[e.Endpoint]; !e.Leaves {
		delete(s.departures, e.Endpoint)
	} else if !before || e.At < at {
		s.departures[e.Endpoint] = e.At
	}
}

// died notes that a sender's process ended or was stopped. A restart ends waits, and the next process is not told
// what the old one saw. Until it is ready, nobody outside knows which of the two was told something.
func (a *Auditor) died(e Event) {
	s := a.sender(e.Sender)
	if !s.down {
		s.downSince = e.At
	}
	s.down, s.restarted = true, true
	if e.Cause == Wiped {
		for _, m := range a.messages {
			if m.sender == e.Sender {
				a.endMessage(m)
			}
		}
	}
	clear(s.waits)
	for _, r := range a.routes {
		delete(r.sawFailure, e.Sender)
	}
}

// ready notes that a process is ready. What the sender was told meanwhile counts from now on.
func (s *sender) ready(at time.Duration) {
	s.down, s.readyAt = false, at
	for id, notifiedAt := range s.departures {
		if notifiedAt >= s.downSince {
			s.departures[id] = at
		}
	}
}

// becameUnreachable notes that the platform cannot hear a sender.
func (s *sender) becameUnreachable(at time.Duration) {
	if s.unreachable = true; !s.down {
		s.downSince = at
	}
}

// becameReachable notes that the platform can be reached again: reports that could not be sent are due after a grace.
func (s *sender) becameReachable(at time.Duration) {
	if s.unreachable = false; !s.down {
		s.restarted, s.readyAt = true, at
	}
}
