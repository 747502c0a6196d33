package simulation

import (
	"slices"
	"time"

	"cleathold/internal/audit"
	"cleathold/internal/scenario"
	"cleathold/internal/state"
)

// pendingSubmission is a submission whose client is waiting for the response.
type pendingSubmission struct {
	id       string
	response <-chan state.Response
}

// scheduleArrival schedules the next arrival of a message. Each arrival schedules the one after it.
func (s *Sim) scheduleArrival() {
	a, ok := s.arrivals.Next()
	if !ok {
		return
	}
	s.at(a.At, func() {
		s.record(audit.Event{Kind: audit.Requested, Request: a.N, Class: a.Class, Tenant: a.Tenant, Dest: a.Dest})
		s.submit(&ClientRequest{Arrival: a})
		s.scheduleArrival()
	})
}

// pickSender acts as the load balancer in front of the senders: it draws a sender that is not known to be unavailable,
// or any sender if all are unavailable.
func (s *Sim) pickSender() *sender {
	first := s.rng.IntN(len(s.senders))
	for i := range s.senders {
		sd := s.senders[(first+i)%len(s.senders)]
		if !sd.knownUnavailable(s.now) {
			return sd
		}
	}
	return s.senders[first]
}

// submit submits or resubmits a client's message, unless it is delivered or its deadline has passed.
func (s *Sim) submit(m *ClientRequest) {
	timeLeft := m.TimeLeft(s.plan.Scenario, s.now)
	if timeLeft <= 0 {
		return
	}
	target := s.pickSender()
	link := s.link(scenario.Clients, target.name)
	if !target.accepting || link.Cut {
		s.submissionUnanswered(m)
		return
	}
	id, resubmitted := m.NextSubmission()
	key := m.Key(s.plan.Scenario)
	s.messages[id] = m
	submitted := audit.Event{
		Kind: audit.Submitted, Sender: target.num, Message: id, Class: m.Class, Dest: m.Dest, TimeLeft: timeLeft, Key: key,
		Request: m.N, Tenant: m.Tenant,
	}
	if link.Silent {
		s.record(submitted)
		s.at(s.now+s.plan.Scenario.Traffic.Patience, func() { s.responseTimedOut(m, id, target) })
		return
	}
	s.at(s.now+clientDelay+s.extraDelay(link), func() {
		s.record(submitted)
		if !target.accepting { // the process has ended or stopped accepting meanwhile
			s.connectionLost(m, id, target)
			return
		}
		target.submit(&state.Message{
			ID: id, Class: m.Class, Tenant: m.Tenant, Destination: m.Dest, Deadline: virtualStart.Add(s.now + timeLeft),
			Resubmitted: resubmitted, Body: make([]byte, m.Size), Key: key,
		})
		if s.responsesMayFail {
			s.at(s.now+s.plan.Scenario.Traffic.Patience, func() { target.clientTimeout(m, id) })
		}
	})
}

// submit passes a message to the event loop, and adds it to the submissions that wait for a response.
func (sd *sender) submit(m *state.Message) {
	response := make(chan state.Response, 1)
	sd.submissions = append(sd.submissions, pendingSubmission{m.ID, response})
	sd.step(state.Submitted{Response: response, Message: m})
}

// answerClients passes the available responses to their clients. It returns the events that report the responses as
// written to the event loop.
func (sd *sender) answerClients() []state.Event {
	var written []state.Event
	pendingSubmissions := sd.submissions[:0]
	for _, pending := range sd.submissions {
		select {
		case r := <-pending.response:
			if e, ok := sd.respond(pending.id, r); ok {
				written = append(written, e)
			}
		default:
			pendingSubmissions = append(pendingSubmissions, pending)
		}
	}
	sd.submissions = pendingSubmissions
	return written
}

// respond passes a response to its client. It returns false if the event loop needs no event about the response.
func (sd *sender) respond(id string, r state.Response) (state.ResponseWritten, bool) {
	s := sd.sim
	m := s.messages[id]
	// Either the client no longer waits, or the link loses the response.
	if link := s.link(sd.name, scenario.Clients); m == nil || !link.Passes() {
		if m != nil && link.Cut {
			s.connectionLost(m, id, sd)
		} else if m != nil {
			s.at(s.now+s.plan.Scenario.Traffic.Patience, func() { s.responseTimedOut(m, id, sd) })
		}
		return state.ResponseWritten{ID: id, OK: m != nil && link.Silent}, r.Accepted
	}
	if r.Accepted {
		s.record(audit.Event{Kind: audit.Accepted, Sender: sd.num, Message: id})
		return state.ResponseWritten{ID: id, OK: true}, true
	}
	s.record(audit.Event{Kind: audit.Rejected, Sender: sd.num, Message: id, RetryAfter: r.RetryAfter})
	if !r.Permanent {
		s.rejected(m, id, r.RetryAfter)
	}
	return state.ResponseWritten{}, false
}

// clientTimeout ends a client's wait for a response, unless the response has arrived.
func (sd *sender) clientTimeout(m *ClientRequest, id string) {
	matches := func(p pendingSubmission) bool { return p.id == id }
	if sd.sim.messages[id] == m && slices.ContainsFunc(sd.submissions, matches) {
		sd.sim.responseTimedOut(m, id, sd)
	}
}

// responseTimedOut records that a client has abandoned a submission after its timeout, and schedules a resubmission of
// the message unless it is delivered.
func (s *Sim) responseTimedOut(m *ClientRequest, id string, sd *sender) {
	s.record(audit.Event{Kind: audit.Abandoned, Sender: sd.num, Message: id, Cause: "timeout"})
	delete(s.messages, id)
	if !m.Done {
		s.submissionUnanswered(m)
	}
}

// connectionLost records that a client's connection broke, and schedules a resubmission of the message.
func (s *Sim) connectionLost(m *ClientRequest, id string, sd *sender) {
	s.record(audit.Event{Kind: audit.Abandoned, Sender: sd.num, Message: id, Cause: "died"})
	delete(s.messages, id)
	s.submissionUnanswered(m)
}

// submissionUnanswered schedules the resubmission of a message whose last submission got no response.
func (s *Sim) submissionUnanswered(m *ClientRequest) {
	if after, ok := m.Unanswered(s.plan.Scenario, s.rng); ok {
		s.at(s.now+after, func() { s.submit(m) })
	}
}

// rejected schedules a client's retry of a rejected message, up to the scenario's number of retries.
func (s *Sim) rejected(m *ClientRequest, id string, retryAfter time.Duration) {
	delete(s.messages, id)
	if after, ok := m.Rejected(s.plan.Scenario, s.rng, retryAfter); ok {
		s.at(s.now+after, func() { s.submit(m) })
	}
}

// delivered marks a message as delivered, so that its client no longer submits it.
func (s *Sim) delivered(id string) {
	if m := s.messages[id]; m != nil {
		m.Done = true
		delete(s.messages, id)
	}
}
