package audit

import "time"

// A sender is the state of a sender across its processes: what it has been notified of and when it was available.
type sender struct {
	departures  map[string]time.Duration // by endpoint: first notification that it drains or is removed
	waits       map[routeKey]wait        // from the Retry-After of rejections
	downSince   time.Duration            // when its process last ended or it last became unreachable
	readyAt     time.Duration            // when it last became ready or reachable again
	down        bool
	restarted   bool // its process restarted, or it became reachable again, at least once
	unreachable bool // it cannot reach the platform
}

// A wait is an interval in which no calls may be sent to a route.
type wait struct{ from, until time.Duration }

// sender returns the sender with a number and creates it if necessary.
func (a *Auditor) sender(n int) *sender {
	s := a.senders[n]
	if s == nil {
		s = &sender{departures: map[string]time.Duration{}, waits: map[routeKey]wait{}}
		a.senders[n] = s
	}
	return s
}

// notified records that discovery notified the sender of the state of an endpoint.
func (s *sender) notified(e Event) {
	if at, before := s.departures[e.Endpoint]; !e.Leaves {
		delete(s.departures, e.Endpoint)
	} else if !before || e.At < at {
		s.departures[e.Endpoint] = e.At
	}
}

// NotifiedOfDeparture returns when a sender was notified that an endpoint drains or is removed. After a restart that is
// not before the new process was ready. It returns false if the sender was not notified, or has no process now.
func (a *Auditor) NotifiedOfDeparture(sender int, endpoint string) (time.Duration, bool) {
	s := a.sender(sender)
	at, notified := s.departures[endpoint]
	return at, notified && !s.down
}

// died records that the process of a sender ended or was stopped. A restart ends its waits, and the next process does
// not know the failures that the previous one saw. Until the next process is ready, an outside observer cannot
// determine which of the two received a notification.
func (a *Auditor) died(e Event) {
	s := a.sender(e.Sender)
	if !s.down {
		s.downSince = e.At
	}
	s.down, s.restarted = true, true
	if e.Cause == StateLost {
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

// ready records that a process is ready. Notifications that the sender received since its process ended take effect
// at this time.
func (s *sender) ready(at time.Duration) {
	s.down, s.readyAt = false, at
	for id, notifiedAt := range s.departures {
		if notifiedAt >= s.downSince {
			s.departures[id] = at
		}
	}
}

// becameUnreachable records that the sender cannot reach the platform.
func (s *sender) becameUnreachable(at time.Duration) {
	if s.unreachable = true; !s.down {
		s.downSince = at
	}
}

// becameReachable records that the sender can reach the platform again. Delivery reports that it could not send are
// due after Rules.ReadySlack.
func (s *sender) becameReachable(at time.Duration) {
	if s.unreachable = false; !s.down {
		s.restarted, s.readyAt = true, at
	}
}
