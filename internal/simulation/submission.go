package simulation

import (
	"time"

	"cleathold/internal/audit"
	"cleathold/internal/scenario"
	"cleathold/internal/state"
)

// scheduleArrival plans the next arrival.
func (s *Sim) scheduleArrival() {
	a, some := s.arrivals.Next()
	if !some {
		return
	}
	s.at(a.At, func() {
		s.record(audit.Event{Kind: audit.Requested, N: a.N, Class: a.Class, Tenant: a.Tenant, Dest: a.Dest})
		s.submit(&ClientRequest{Arrival: a})
		s.scheduleArrival()
	})
}

// pickSender deals a hand-in out: to any sender but those that it knows are dead.
func (s *Sim) pickSender() *sender {
	first := s.rng.IntN(len(s.senders))
	for i := range s.senders {
		x := s.senders[(first+i)%len(s.senders)]
		if !x.knownUnavailable(s.now) {
			return x
		}
	}
	return s.senders[first]
}

// submit hands a message in, for the first time or again.
func (s *Sim) submit(m *ClientRequest) {
	timeLeft := m.TimeLeft(s.plan.Scenario, s.now)
	if timeLeft <= 0 {
		return
	}
	to := s.pickSender()
	request := s.link(scenario.Clients, to.name)
	if !to.accepting || request.Cut {
		s.submissionLost(m)
		return
	}
	id, resubmitted := m.NextSubmission()
	key := m.Key(s.plan.Scenario)
	s.messages[id] = m
	if request.Silent {
		s.record(audit.Event{Kind: audit.Submitted, Sender: to.num, Message: id, Class: m.Class, Dest: m.Dest, TimeLeft: timeLeft, Key: key, N: m.N, Tenant: m.Tenant})
		s.at(s.now+s.plan.Scenario.Traffic.Patience, func() { s.responseTimedOut(m, id, to) })
		return
	}
	s.at(s.now+clientDelay+s.extraDelay(request), func() {
		s.record(audit.Event{Kind: audit.Submitted, Sender: to.num, Message: id, Class: m.Class, Dest: m.Dest, TimeLeft: timeLeft, Key: key, N: m.N, Tenant: m.Tenant})
		if !to.accepting { // it has died meanwhile
			s.senderLost(m, id, to)
			return
		}
		response := make(chan state.Response, 1)
		submitted := state.Submitted{Response: response, Message: &state.Message{
			ID: id, Class: m.Class, Tenant: m.Tenant, Destination: m.Dest, Deadline: virtualStart.Add(s.now + timeLeft), Resubmitted: resubmitted,
			Body: make([]byte, m.Size), Key: key,
		}}
		to.submissions = append(to.submissions, pendingSubmission{id, response})
		to.step(submitted)
		if s.responsesMayFail {
			s.at(s.now+s.plan.Scenario.Traffic.Patience, func() { to.clientTimeout(m, id) })
		}
	})
}

// responseTimedOut: a client has waited long enough, and hands in again.
func (s *Sim) responseTimedOut(m *ClientRequest, id string, x *sender) {
	s.record(audit.Event{Kind: audit.Abandoned, Sender: x.num, Message: id, Cause: "timeout"})
	delete(s.messages, id)
	if !m.Done {
		s.submissionLost(m)
	}
}

// senderLost: a client has no answer, and hands in again.
func (s *Sim) senderLost(m *ClientRequest, id string, x *sender) {
	s.record(audit.Event{Kind: audit.Abandoned, Sender: x.num, Message: id, Cause: "died"})
	delete(s.messages, id)
	s.submissionLost(m)
}

// submissionLost has a client hand in again what reached nobody.
func (s *Sim) submissionLost(m *ClientRequest) {
	if after, resubmits := m.Unanswered(s.plan.Scenario, s.rng); resubmits {
		s.at(s.now+after, func() { s.submit(m) })
	}
}

// rejected has a client come again, as often as the scenario says.
func (s *Sim) rejected(m *ClientRequest, id string, retryAfter time.Duration) {
	delete(s.messages, id)
	if after, resubmits := m.Rejected(s.plan.Scenario, s.rng, retryAfter); resubmits {
		s.at(s.now+after, func() { s.submit(m) })
	}
}

// delivered ends a message for its client.
func (s *Sim) delivered(id string) {
	if m := s.messages[id]; m != nil {
		m.Done = true
		delete(s.messages, id)
	}
}
