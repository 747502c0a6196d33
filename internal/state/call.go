package state

import (
	"cmp"
	"slices"
	"time"

	"cleathold/control"
	"cleathold/internal/wal"
)

// defaultConnectTimeout is used where the settings don't tell how long a connection may take.
const defaultConnectTimeout = 2 * time.Second

// Attempt is one attempt for one message.
type Attempt struct {
	Message  *Message
	Deadline time.Time // waited for until then
	NotAfter time.Time // not sent after that; the zero time stands for the deadline

	num      control.MessageID
	attempt  int // of the message's, from 0
	ended    bool
	canceled bool
	withheld bool // may not leave
}

// Call is what travels on one connection: one attempt, or several that go to one endpoint in one iteration.
type Call struct {
	Target    Target
	Attempts  []*Attempt
	ConnectBy time.Time // by when a connection must be up

	bytes      int  // that the attempts take in one body
	size       int  // attempts that left with it
	unanswered int  // attempts whose client has not been answered yet
	launched   bool // the loop is done with it: it was sent, or never will be
	sent       bool // it is with the transport
	withheld   bool // sends to its endpoint were forbidden before it left
}

// AttemptResult is how one attempt of a call ended.
type AttemptResult struct {
	Attempt    *Attempt
	Result     control.Result
	Elapsed    time.Duration
	SentAt     time.Time     // when the first byte of its call was written; zero: none was, or it is not known
	RetryAfter time.Duration // nothing is to be sent there for so long; 0 = no such wait
	Final      bool          // nothing more is owed
	NoSlot     bool          // not sent: there was no capacity for one more call
}

// connectBy is the time by which a connection asked for now must be up.
func (l *Loop) connectBy() time.Time {
	if l.settings.ConnectTimeout <= 0 {
		return l.now.Add(defaultConnectTimeout)
	}
	return l.now.Add(l.settings.ConnectTimeout)
}

// maxBatch is how many messages a call to a kind of endpoint may hold.
func (l *Loop) maxBatch(kind int) int {
	if kind < 0 || kind >= len(l.settings.Kinds) {
		return 1
	}
	return max(1, l.settings.Kinds[kind].MaxBatch)
}

// addToCall puts an attempt into a call of this iteration. What doesn't fit one body takes another call.
func (l *Loop) addToCall(e *entry, t *Target, a *Attempt) {
	to := t.Endpoint.ID
	size := len(e.ID) + len(e.Key) + len(e.Body) + FrameOverhead
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
		e.call = c
		c.unanswered++
	}
}

// releaseCall lets the call go that waited for a message's client to be answered.
func (l *Loop) releaseCall(e *entry) {
	c := e.call
	if e.call = nil; c == nil {
		return
	}
	if c.unanswered--; c.unanswered == 0 && !c.launched {
		l.readyCalls = append(l.readyCalls, c)
	}
}

// logCall records the attempts of a call that is about to leave.
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

// launch hands a call to the transport, less the messages that have ended by now.
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
	// The platform counts a call's answer for the others only while the call's first message is waited for.
	slices.SortStableFunc(live, func(a, b *Attempt) int { return b.Deadline.Compare(a.Deadline) })
	if c.Attempts, c.size = live, len(live); len(live) > 0 {
		c.sent = true
		l.callsInFlight++
		l.transport.Send(c)
	}
}

// alignDeadlines has the attempts of a call time out at one instant, where hedged requests are not allowed. One that
// timed out before the others would be sent again while its first copy is still out on the open connection. None
// waits beyond the deadline of its message: after that it is not sent again.
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

// endUnsent ends the attempts of a call that never left.
func (l *Loop) endUnsent(c *Call, r control.Result) {
	c.launched = true
	results := make([]AttemptResult, len(c.Attempts))
	for i, a := range c.Attempts {
		results[i] = AttemptResult{Attempt: a, Result: r}
	}
	l.backlog = append(l.backlog, CallEnded{c, results})
}

// withhold keeps back the calls to some endpoints that were decided on before and have not left. One that still waits
// for its connection, or for its client to be answered, would leave only after what is known since.
func (l *Loop) withhold(affected func(t Target) bool) {
	for _, c := range l.inFlightInOrder(affected) {
		if c.withheld = !c.launched; c.launched {
			l.transport.CancelUnsent(c)
		}
	}
}

// inFlightInOrder returns the calls in flight to some endpoints in the order of their first attempts. That of the map
// differs from run to run, and the order in which calls are canceled is that in which their messages are queued again.
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

// withholdAll withholds all calls that have not left.
func (l *Loop) withholdAll() { l.withhold(anyTarget) }

// withholdUnavailable withholds the calls to endpoints that are not to be sent anything new.
func (l *Loop) withholdUnavailable() {
	l.withhold(func(t Target) bool { return !l.group.Available(t) })
}
