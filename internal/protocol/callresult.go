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

// endAll ends every attempt that has not ended yet in the same way.
func (f *inFlightCall) endAll(r control.Result) {
	f.endEach(func(*state.Attempt) (state.AttemptResult, bool) { return state.AttemptResult{Result: r}, true })
}

// endEach posts the results of the attempts that have not ended and for which there is one.
func (f *inFlightCall) endEach(result func(a *state.Attempt) (state.AttemptResult, bool)) {
	var results []state.AttemptResult
	for i, a := range f.attempts {
		if f.ended[i] {
			continue
		}
		if r, ok := result(a); ok {
			r.Attempt, r.Elapsed, r.SentAt = a, time.Since(f.startedAt), f.sentAt
			f.ended[i] = true
			results = append(results, r)
		}
	}
	if len(results) > 0 {
		f.events.Post(state.CallEnded{Call: f.call, Results: results})
	}
}

// endOverdue ends the attempts whose deadline has come.
func (f *inFlightCall) endOverdue(r control.Result, deadline func(*state.Attempt) time.Time) {
	now := time.Now()
	f.endEach(func(a *state.Attempt) (state.AttemptResult, bool) {
		return state.AttemptResult{Result: r}, !now.Before(deadline(a))
	})
}

// endUnanswered ends the attempts of a call that may have run and got no response.
func (f *inFlightCall) endUnanswered(err error) {
	last, _ := f.ctx.Deadline()
	switch {
	case errors.Is(err, errMalformedResponse):
		f.endAll(control.Failed) // the endpoint is there, and what it did is not known
	case f.ctx.Err() == nil && !errors.Is(err, os.ErrDeadlineExceeded):
		f.endAll(control.ConnectionLost)
	case time.Now().Before(last):
		f.endAll(control.Canceled)
	default:
		f.endAll(control.TimedOut)
	}
}

// resultBeforeSent is the result of a call that was broken off before its last byte was written. It has not run. What
// the endpoint has answered by then may tell that it rejects calls, and a Retry-After that binds.
func (f *inFlightCall) resultBeforeSent(c *bufferedConn) state.AttemptResult {
	failed := state.AttemptResult{Result: control.ConnectFailed}
	if f.ctx.Err() != nil {
		return failed
	}
	c.readLimit.N = maxHeaderBytes
	r, err := c.readResponse(http.MethodPost, state.MaxBody, func(int) time.Time {
		return time.Now().Add(servedTailTimeout)
	})
	if f.ctx.Err() != nil || err != nil || resultOfStatus(r.status) != control.Rejected {
		return failed
	}
	return resultOfResponse(r)
}

// endAnswered ends the attempts of a call by its response. The status line of a 200 is enough for a single message; all
// else must have come complete.
func (f *inFlightCall) endAnswered(r response, err error) {
	if f.statusSuffices(r.firstStatus) {
		r.status, err = http.StatusOK, nil
	}
	if err != nil {
		f.endUnanswered(err)
		return
	}
	common := resultOfResponse(r)
	if common.Result == control.Unprocessable {
		f.log.Error("call unprocessable", "endpoint", f.call.Target.ID, "status", r.status, "count", len(f.attempts))
	}
	if r.status != http.StatusOK || len(f.attempts) == 1 {
		f.endEach(func(*state.Attempt) (state.AttemptResult, bool) { return common, true })
		return
	}
	results := parseBatchResults(r.body)
	for _, a := range f.attempts {
		if _, named := results[a.Message.ID]; !named {
			f.endUnanswered(errMalformedResponse)
			return
		}
	}
	f.endEach(func(a *state.Attempt) (state.AttemptResult, bool) {
		result := results[a.Message.ID]
		result.RetryAfter = common.RetryAfter
		return result, true
	})
}

// resultOfStatus is what a status tells of a call.
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

// resultOfResponse is what a response tells of all messages of a call.
func resultOfResponse(r response) state.AttemptResult {
	result := state.AttemptResult{
		Result: resultOfStatus(r.status),
		Final:  r.status == http.StatusOK || r.status == http.StatusGone,
	}
	result.RetryAfter, _ = parseSeconds(r.header.Get("Retry-After"))
	if r.header.Get("X-Over-Slots") == "1" {
		result.Result, result.NoSlot = control.NotSent, true
	}
	// An endpoint that rejects a call above its limit keeps the connection for the next. One that closes it has no
	// capacity for connections: that is over as soon as another is closed, and tells nothing of the limit.
	if result.Result == control.Rejected && r.closes && result.RetryAfter == 0 {
		result.Result = control.ConnectionRejected
	}
	return result
}

// batchResultsByWord are the words for a message's result in the response to a batch.
var batchResultsByWord = map[string]state.AttemptResult{
	"delivered": {Result: control.Served, Final: true},
	"failed":    {Result: control.Failed},
	"refused":   {Result: control.Rejected},
	"over":      {Result: control.NotSent, Final: true},
	"spent":     {Result: control.NotSent},
}

// parseBatchResults reads the lines with each message's result. Where one can't be read or names a message twice it returns
// nil: the others are not to be believed either.
func parseBatchResults(body []byte) map[string]state.AttemptResult {
	results := map[string]state.AttemptResult{}
	for line := range bytes.Lines(body) {
		words := strings.Fields(string(line))
		if len(words) == 0 {
			continue
		}
		if len(words) != 2 {
			return nil
		}
		result, known := batchResultsByWord[words[1]]
		if _, duplicate := results[words[0]]; duplicate || !known {
			return nil
		}
		results[words[0]] = result
	}
	return results
}
