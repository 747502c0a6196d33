package harness

import (
	"errors"
	"os"
	"time"

	"cleathold/internal/audit"
	"cleathold/internal/partner"
	"cleathold/internal/simulation"
)

// An exchange is one call on a connection, from its first byte until its answer is written or the sender has stopped
// waiting for it.
type exchange struct {
	conn       *serverConn
	received   *receivedCall
	call       partner.Call
	messageIDs []string
	firstByte  time.Duration // when the first byte of the call arrived
	answer     chan partner.Answer
	peerGone   <-chan bool // gets one value: true if the sender closed the connection, false if stopReader ended the read
}

// serveCall passes a call to the model and the model's answer back to the sender. It returns false if the connection
// must be closed.
func (s *serverConn) serveCall(received *receivedCall, firstByte time.Duration) bool {
	env := s.listener.env
	x := s.beginExchange(received, firstByte)
	x.peerGone = s.watchPeer()
	delay := s.networkDelay
	if s.firstCall {
		delay += 2 * s.networkDelay // the TCP handshake, whose delay loopback does not have
	}
	if !env.sleep(delay) {
		return s.stopReader(x.peerGone)
	}
	x.submit()
	select {
	case <-x.peerGone:
		s.modelDisconnected = true
		x.recordAbandoned()
		x.cancel()
		return false
	case <-env.ctx.Done():
		return s.stopReader(x.peerGone)
	case a := <-x.answer:
		return x.returnAnswer(a)
	}
}

// beginExchange assigns the call's id and records that the sender has sent the call.
func (s *serverConn) beginExchange(received *receivedCall, firstByte time.Duration) *exchange {
	env := s.listener.env
	x := &exchange{conn: s, received: received, firstByte: firstByte, answer: make(chan partner.Answer, 1)}
	x.call = partner.Call{
		Sender: s.listener.sender, Endpoint: s.endpoint,
		NewConnection: s.firstCall, OverCapacity: s.overCapacity, HealthCheck: received.healthCheck,
	}
	env.mu.Lock()
	defer env.mu.Unlock()
	env.lastCallID++
	x.call.ID = env.lastCallID
	for _, m := range received.messages {
		m.Class = env.submissions[m.ID].class
		x.call.Messages = append(x.call.Messages, m)
		x.messageIDs = append(x.messageIDs, m.ID)
	}
	env.pendingAnswers[x.call.ID] = x.answer
	env.record(audit.Event{
		Kind: audit.Sent, Sender: s.listener.sender, Call: x.call.ID, Endpoint: s.endpoint, Zone: s.zone, Dest: s.dest,
		Messages: x.messageIDs, FirstByteAt: firstByte,
	})
	return x
}

// watchPeer keeps reading while a call is being served, so that a close by the sender is detected immediately. The
// returned channel receives one value, as described for exchange.peerGone; stopReader ends the read.
func (s *serverConn) watchPeer() <-chan bool {
	s.conn.SetReadDeadline(time.Time{})
	closed := make(chan bool, 1)
	go func() {
		_, err := s.reader.Peek(1)
		closed <- err != nil && !errors.Is(err, os.ErrDeadlineExceeded)
	}()
	return closed
}

// stopReader ends the read that watchPeer started, and reports whether the sender has closed the connection.
func (s *serverConn) stopReader(peerGone <-chan bool) bool {
	s.conn.SetReadDeadline(time.Unix(1, 0))
	return <-peerGone
}

// submit passes the call to the model. If the model returns an error, the connection is reset.
func (x *exchange) submit() {
	env := x.conn.listener.env
	env.mu.Lock()
	defer env.mu.Unlock()
	if err := env.simulated.Model.Call(env.now(), x.call); err != nil {
		x.answer <- partner.Answer{Call: x.call.ID, Kind: partner.Reset}
		delete(env.pendingAnswers, x.call.ID)
	}
	env.dispatchAndWake()
}

// cancel cancels the call in the model, after the network delay with which the endpoint detects the closed connection.
func (x *exchange) cancel() {
	env := x.conn.listener.env
	if !env.sleep(x.conn.networkDelay) {
		return
	}
	env.mu.Lock()
	defer env.mu.Unlock()
	env.simulated.Model.Cancel(env.now(), x.call.ID, x.conn.endpoint)
	env.dispatchAndWake()
}

// returnAnswer sends the model's answer to the sender, unless the sender has closed the connection. It returns false if
// the connection must be closed.
func (x *exchange) returnAnswer(a partner.Answer) bool {
	s := x.conn
	if !s.listener.env.sleep(s.networkDelay) {
		return s.stopReader(x.peerGone)
	}
	select {
	case <-x.peerGone:
		x.recordAbandoned()
		return false
	default:
	}
	if peerClosed(s.conn) { // just closed, and not yet detected by the reader
		x.recordAbandoned()
		return false
	}
	x.recordAnswer(a)
	if !s.awaitLink(true, x.peerGone) {
		return false
	}
	ok := s.writeAnswer(a, x.received)
	return !s.stopReader(x.peerGone) && ok
}

// recordAbandoned records that the sender no longer waits for the call: it has canceled it, or the call timed out.
func (x *exchange) recordAbandoned() {
	s, env := x.conn, x.conn.listener.env
	env.mu.Lock()
	defer env.mu.Unlock()
	delete(env.pendingAnswers, x.call.ID)
	cause := "cancelled"
	if limit := x.received.timeout; limit > 0 && env.now()-x.firstByte >= limit-timeoutSlack {
		cause = "timeout"
		env.record(audit.Event{Kind: audit.FailureSeen, Sender: s.listener.sender, Dest: s.dest, Endpoint: s.endpoint})
	}
	env.record(audit.Event{
		Kind: audit.Ended, Sender: s.listener.sender, Call: x.call.ID, Outcome: audit.Failed, Cause: cause,
	})
}

// recordAnswer records an answer. It is called just before the answer is written.
func (x *exchange) recordAnswer(a partner.Answer) {
	s, env := x.conn, x.conn.listener.env
	outcome, cause := simulation.OutcomeOf(a.Kind)
	env.mu.Lock()
	env.record(audit.Event{
		Kind: audit.Ended, Sender: s.listener.sender, Call: x.call.ID,
		Outcome: outcome, RetryAfter: a.RetryAfter, Cause: cause,
	})
	if _, back := s.listener.linkStates(); a.Kind != partner.Delivered && back.Passes() {
		env.record(audit.Event{Kind: audit.FailureSeen, Sender: s.listener.sender, Dest: s.dest, Endpoint: s.endpoint})
	}
	env.mu.Unlock()
	if a.Kind == partner.Delivered && len(x.messageIDs) > 0 {
		env.onDelivered(x.messageIDs)
	}
}
