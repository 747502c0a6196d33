package protocol

import (
	"bytes"
	"errors"
	"net/http"
	"os"
	"strings"
	"time"

	"cleathold/control"
	"cleathold/internal/state"
)

// Relay: the fifth stage. A target's answer, or its silence, becomes the end
// of each forward of a call.

// endAll ends every forward that has not ended yet in the same way.
func (f *inFlightCall) endAll(r control.Result) {
	f.endEach(func(*state.Attempt) (state.AttemptResult, bool) { return state.AttemptResult{Result: r}, true })
}

// endEach posts the ends of the forwards for which there is one.
func (f *inFlightCall) endEach(of func(w *state.Attempt) (state.AttemptResult, bool)) {
	var ends []state.AttemptResult
	for i, w := range f.attempts {
		if f.ended[i] {
			continue
		}
		if e, ok := of(w); ok {
			e.Attempt, e.Elapsed, e.SentAt = w, time.Since(f.startedAt), f.sentAt
			f.ended[i] = true
			ends = append(ends, e)
		}
	}
	if len(ends) > 0 {
		f.events.Post(state.CallEnded{Call: f.call, Results: ends})
	}
}

// Once an answer has begun its rest must follow within these. Of a 200 to a
// single message nothing but its first line matters.
const (
	responseTailTimeout = 300 * time.Millisecond
	servedTailTimeout   = 50 * time.Millisecond
)

// errMalformedResponse tells of an answer that came and can't be read.
var errMalformedResponse = errors.New("answer can't be read")

// readResponse reads the answer to a call that was written.
func (f *inFlightCall) readResponse(l *bufferedConn) (response, error) {
	l.readLimit.N = maxHeaderBytes
	if err := f.awaitFirstByte(l); err != nil {
		return response{closes: true}, err
	}
	began := time.Now()
	r, err := l.readResponse(http.MethodPost, state.MaxBody, func(first int) time.Time {
		if f.statusSuffices(first) {
			return began.Add(servedTailTimeout)
		}
		return began.Add(responseTailTimeout)
	})
	if err != nil && f.ctx.Err() == nil {
		err = errMalformedResponse
	}
	return r, err
}

// statusSuffices tells whether a first line is all there is to know of a call.
func (f *inFlightCall) statusSuffices(first int) bool {
	return first == http.StatusOK && len(f.attempts) == 1
}

// awaitFirstByte waits for the first byte of the answer. Forwards whose own deadline
// comes before that end as timed out, while the others of the call wait on.
func (f *inFlightCall) awaitFirstByte(l *bufferedConn) error {
	for {
		next, _ := f.nextDeadline(responseDeadline)
		l.SetReadDeadline(next)
		if f.ctx.Err() != nil { // it ended while the deadline was moved
			return f.ctx.Err()
		}
		_, err := l.reader.Peek(1)
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			l.SetReadDeadline(time.Time{})
			return err
		}
		if f.ctx.Err() != nil {
			return f.ctx.Err()
		}
		f.endOverdue(control.TimedOut, responseDeadline)
	}
}

// endOverdue ends the forwards whose time has come.
func (f *inFlightCall) endOverdue(r control.Result, by func(*state.Attempt) time.Time) {
	now := time.Now()
	f.endEach(func(w *state.Attempt) (state.AttemptResult, bool) {
		return state.AttemptResult{Result: r}, !now.Before(by(w))
	})
}

// nextDeadline is the earliest time of a forward that waits, if the call itself ends later; the zero time, for none, lifts
// a connection's deadline.
func (f *inFlightCall) nextDeadline(by func(*state.Attempt) time.Time) (next time.Time, ok bool) {
	last, _ := f.ctx.Deadline()
	for i, w := range f.attempts {
		if t := by(w); !f.ended[i] && t.Before(last) && (!ok || t.Before(next)) {
			next, ok = t, true
		}
	}
	return next, ok
}

// responseDeadline is how long a forward that has left is waited for.
func responseDeadline(w *state.Attempt) time.Time { return w.Deadline }

// sendDeadline is the time after which a forward must not leave.
func sendDeadline(w *state.Attempt) time.Time {
	if !w.NotAfter.IsZero() && w.NotAfter.Before(w.Deadline) {
		return w.NotAfter
	}
	return w.Deadline
}

// endUnanswered ends the forwards of a call that may have run and was not answered.
func (f *inFlightCall) endUnanswered(err error) {
	last, _ := f.ctx.Deadline()
	switch {
	case errors.Is(err, errMalformedResponse):
		f.endAll(control.Failed) // the target is there, and what it did is not known
	case f.ctx.Err() == nil && !errors.Is(err, os.ErrDeadlineExceeded):
		f.endAll(control.ConnectionLost)
	case time.Now().Before(last):
		f.endAll(control.Canceled)
	default:
		f.endAll(control.TimedOut)
	}
}

// resultOfStatus is what a status says of a call.
func resultOfStatus(status int) control.Result {
	switch status {
	case http.StatusOK:
		return control.Served
	case http.StatusInternalServerError:
		return control.Failed
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return control.Rejected
	case http.StatusGatewayTimeout, http.StatusGone:
		return control.NotSent
	case http.StatusBadRequest, http.StatusRequestEntityTooLarge:
		return control.Unprocessable
	}
	return control.Unknown
}

// resultOfResponse is what an answer says of all messages of a call.
func resultOfResponse(r response) state.AttemptResult {
	e := state.AttemptResult{Result: resultOfStatus(r.status), Final: r.status == http.StatusOK || r.status == http.StatusGone}
	e.RetryAfter, _ = parseSeconds(r.header.Get("Retry-After"))
	if r.header.Get("X-Over-Slots") == "1" {
		e.Result, e.NoSlot = control.NotSent, true
	}
	// One who turns a call away above a limit keeps the connection for the next. One who closes it has no room
	// for connections: that is over as soon as another is closed, and says nothing of the limit.
	if e.Result == control.Rejected && r.closes && e.RetryAfter == 0 {
		e.Result = control.ConnectionRejected
	}
	return e
}

// endAnswered ends the forwards of a call by its answer. The first line of a 200
// is enough for a single message; all else must have come whole.
func (f *inFlightCall) endAnswered(r response, err error) {
	if f.statusSuffices(r.firstStatus) {
		r.status, err = http.StatusOK, nil
	}
	if err != nil {
		f.endUnanswered(err)
		return
	}
	status, e := r.status, resultOfResponse(r)
	if e.Result == control.Unprocessable {
		f.log.Error("target rejects a call", "target", f.call.Target.ID, "status", status, "messages", len(f.attempts))
	}
	if status != http.StatusOK || len(f.attempts) == 1 {
		f.endEach(func(*state.Attempt) (state.AttemptResult, bool) { return e, true })
		return
	}
	said := parseResults(r.body)
	for _, w := range f.attempts {
		if _, named := said[w.Message.ID]; !named {
			f.endUnanswered(errMalformedResponse)
			return
		}
	}
	f.endEach(func(w *state.Attempt) (state.AttemptResult, bool) {
		each := said[w.Message.ID]
		each.RetryAfter = e.RetryAfter
		return each, true
	})
}

// parseResults reads the lines with each message's end. Where one can't be read
// or names a message twice, none of the others is to be believed.
func parseResults(body []byte) map[string]state.AttemptResult {
	ends := map[string]state.AttemptResult{}
	for line := range bytes.Lines(body) {
		w := strings.Fields(string(line))
		if len(w) == 0 {
			continue
		}
		if len(w) != 2 {
			return nil
		}
		if _, twice := ends[w[0]]; twice {
			return nil
		}
		switch w[1] {
		case "delivered":
			ends[w[0]] = state.AttemptResult{Result: control.Served, Final: true}
		case "failed":
			ends[w[0]] = state.AttemptResult{Result: control.Failed}
		case "refused":
			ends[w[0]] = state.AttemptResult{Result: control.Rejected}
		case "over":
			ends[w[0]] = state.AttemptResult{Result: control.NotSent, Final: true}
		case "spent":
			ends[w[0]] = state.AttemptResult{Result: control.NotSent}
		default:
			return nil
		}
	}
	return ends
}
