package state

import (
	"cmp"
	"slices"
	"time"

	"cleathold/control"
	"cleathold/internal/wal"
)

// defaultConnectTimeout is the connect timeout if the settings have none.
const defaultConnectTimeout = 2 * time.Second

// Attempt is one attempt to deliver one message.
type Attempt struct {
	Message  *Message
	Deadline time.Time // the attempt times out at this time
	NotAfter time.Time // latest time of sending; zero: Deadline

	num      control.MessageID
	attempt  int // index among the message's attempts, from 0
	ended    bool
	canceled bool
	withheld bool // must not leave
}

// Call is one call on a connection. It carries one attempt, or several that go to the same endpoint in the same
// iteration.
type Call struct {
	Target    Target
	Attempts  []*Attempt
	ConnectBy time.Time // the deadline of establishing the connection

	bytes      int  // size of the attempts in the body
	size       int  // number of attempts that the call was sent with
	unanswered int  // attempts whose clients have not been answered yet
	launched   bool // the loop has passed it to the transport, or it will never be sent
	sent       bool // it was passed to the transport
	withheld   bool // sends to its endpoint became forbidden before it left
}

// AttemptResult is the result of one attempt of a call.
type AttemptResult struct {
	Attempt    *Attempt
	Result     control.Result
	Elapsed    time.Duration
	SentAt     time.Time     // when the first byte of the call was written; zero: none was, or the time is not known
	RetryAfter time.Duration // the endpoint's Retry-After; 0 = none
	Final      bool          // nothing more is owed for the message
	NoSlot     bool          // not sent because there was no capacity for one more call
}

// connectBy returns the deadline of a connection that is requested now.
func (l *Loop) connectBy() time.Time {
	if l.settings.ConnectTimeout <= 0 {
		return l.now.Add(defaultConnectTimeout)
	}
	return l.now.Add(l.settings.ConnectTimeout)
}

// maxBatch returns the maximum number of messages in a call to an endpoint of a kind.
func (l *Loop) maxBatch(kind int) int {
	if kind < 0 || kind >= len(l.settings.Kinds) {
		return 1
	}
	return max(1, l.settings.Kinds[kind].MaxBatch)
}

// addToCall adds an attempt to a call of this iteration. If the attempt does not fit into the call's body, a new call
// is started.
func (l *Loop) addToCall(e *entry, t *Target, a *Attempt) {
	to := t.Endpoint.ID
	size := e.sizeInCall()
	c := l.callsByEndpoint[to]
	if c == nil || e.unbatched || len(c.Attempts) >= l.maxBatch(t.Kind) || c.bytes+size > MaxBody {
		c = &Call{Target: *t, ConnectBy: l.connectBy()}
		if !e.unbatched {
			l.callsByEndpoint[to] = c
		}
		l.newCalls = append(l.newCalls, c)
	}
	c.Attempts = append(c.Attempts, a)
	c.bytes += size
	l.inFlight[c]++
	if !e.responded {
		e.heldCall = c
		c.unanswered++
	}
}

// releaseCall records that a message's client no longer has to be answered before the message's call may leave. The
// call becomes ready once this holds for all messages in it.
func (l *Loop) releaseCall(e *entry) {
	c := e.heldCall
	if e.heldCall = nil; c == nil {
		return
	}
	if c.unanswered--; c.unanswered == 0 && !c.launched {
		l.readyCalls = append(l.readyCalls, c)
	}
}

// logCall adds the attempts of a call that is about to leave to the log.
func (l *Loop) logCall(c *Call) {
	for _, a := range c.Attempts {
		e := l.table.entries[a.num]
		if e == nil || a.ended {
			continue
		}
		if a.withheld = !l.permitted(c, a, e); a.withheld {
			continue
		}
		record := wal.Attempt{Index: a.attempt, At: l.now, Zone: c.Target.Zone}
		if l.deadLetterQueue != nil {
			record.Endpoint = c.Target.ID
		}
		e.mayHaveRun = append(e.mayHaveRun, record)
		l.countFirstAttempt(e)
		l.recordAttempt(e, record)
		l.wal.AddAttempt(e.num, record)
	}
}

// launch passes a call to the transport, without the attempts that must not leave or whose messages have ended.
func (l *Loop) launch(c *Call) {
	c.launched = true
	live := make([]*Attempt, 0, len(c.Attempts))
	for _, a := range c.Attempts {
		if e := l.table.entries[a.num]; e != nil && !a.canceled && !a.withheld && !c.withheld {
			live = append(live, a)
			continue
		}
		notSent := AttemptResult{Attempt: a, Result: control.NotSent, Final: l.table.entries[a.num] == nil}
		l.backlog = append(l.backlog, CallEnded{c, []AttemptResult{notSent}})
	}
	if !l.settings.AllowHedging {
		alignDeadlines(live)
	}
	// The platform counts the answer to a call for the other messages only while the first message of the call is still
	// awaited.
	slices.SortStableFunc(live, func(a, b *Attempt) int { return b.Deadline.Compare(a.Deadline) })
	if c.Attempts, c.size = live, len(live); len(live) > 0 {
		c.sent = true
		l.callsInFlight++
		l.transport.Send(c)
	}
}

// alignDeadlines sets one common timeout for the attempts of a call, for senders that must not send hedged requests. An
// attempt that timed out before the others would be sent again while its first copy is still outstanding on the open
// connection. No attempt is awaited beyond the deadline of its message, because the message is not sent again after
// that.
func alignDeadlines(attempts []*Attempt) {
	var last time.Time
	for _, a := range attempts {
		if a.Deadline.After(last) {
			last = a.Deadline
		}
	}
	for _, a := range attempts {
		by := last
		if a.Message.Deadline.Before(by) {
			by = a.Message.Deadline
		}
		if by.After(a.Deadline) {
			a.Deadline = by
		}
	}
}

// endUnsent ends the attempts of a call that was never sent.
func (l *Loop) endUnsent(c *Call, r control.Result) {
	c.launched = true
	results := make([]AttemptResult, len(c.Attempts))
	for i, a := range c.Attempts {
		results[i] = AttemptResult{Attempt: a, Result: r}
	}
	l.backlog = append(l.backlog, CallEnded{c, results})
}

// withhold withholds the calls to the selected endpoints that have not left yet, because they still wait for their
// connections or for clients to be answered. They were decided on before the latest information about these endpoints
// arrived, and would leave after it.
func (l *Loop) withhold(affected func(t Target) bool) {
	for _, c := range l.inFlightInOrder(affected) {
		if c.withheld = !c.launched; c.launched {
			l.transport.CancelUnsent(c)
		}
	}
}

// inFlightInOrder returns the calls in flight to the selected endpoints, ordered by their first attempts. The order in
// which calls are canceled is the order in which their messages are queued again, so the random iteration order of the
// map must not determine it.
func (l *Loop) inFlightInOrder(selected func(t Target) bool) []*Call {
	var calls []*Call
	for c := range l.inFlight {
		if selected(c.Target) {
			calls = append(calls, c)
		}
	}
	slices.SortFunc(calls, func(a, b *Call) int {
		if len(a.Attempts) == 0 || len(b.Attempts) == 0 {
			return len(a.Attempts) - len(b.Attempts)
		}
		first, second := a.Attempts[0], b.Attempts[0]
		return cmp.Or(cmp.Compare(first.num, second.num), cmp.Compare(first.attempt, second.attempt))
	})
	return calls
}

func anyTarget(Target) bool { return true }

// withholdAll withholds all calls that have not left yet.
func (l *Loop) withholdAll() { l.withhold(anyTarget) }

// withholdUnavailable withholds the calls to endpoints that must not be sent new work.
func (l *Loop) withholdUnavailable() {
	l.withhold(func(t Target) bool { return !l.group.Available(t) })
}
