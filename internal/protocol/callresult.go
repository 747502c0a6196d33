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

// endAll ends every attempt that has not ended yet with the same result.
func (f *inFlightCall) endAll(r control.Result) {
	f.endEach(func(*state.Attempt) (state.AttemptResult, bool) { return state.AttemptResult{Result: r}, true })
}

// endEach calls result for every attempt that has not ended, and ends those for which it returns true. It posts their
// results as one event.
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

// endOverdue ends the attempts whose deadline has passed.
func (f *inFlightCall) endOverdue(r control.Result, deadline func(*state.Attempt) time.Time) {
	now := time.Now()
	f.endEach(func(a *state.Attempt) (state.AttemptResult, bool) {
		return state.AttemptResult{Result: r}, !now.Before(deadline(a))
	})
}

// endUnanswered ends the attempts of a call that the endpoint may have processed without a usable response.
func (f *inFlightCall) endUnanswered(err error) {
	last, _ := f.ctx.Deadline()
	switch {
	case errors.Is(err, errMalformedResponse):
		f.endAll(control.Failed) // the endpoint is reachable, but whether it processed the call is unknown
	case f.ctx.Err() == nil && !errors.Is(err, os.ErrDeadlineExceeded):
		f.endAll(control.ConnectionLost)
	case time.Now().Before(last):
		f.endAll(control.Canceled)
	default:
		f.endAll(control.TimedOut)
	}
}

// resultBeforeSent returns the result of a call whose request could not be written completely, so that the endpoint
// has not processed it. The endpoint may already have sent a response that rejects the call; its Retry-After must be
// honored.
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

// endAnswered ends the attempts of a call according to its response. For a single message the status line of a 200 is
// sufficient; any other response must be complete.
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
		f.log.Error("endpoint rejected the call as invalid",
			"endpoint", f.call.Target.ID, "status", r.status, "count", len(f.attempts))
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

// resultOfStatus returns the result of a call with this response status.
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

// resultOfResponse returns the result that a response gives for all messages of a call.
func resultOfResponse(r response) state.AttemptResult {
	result := state.AttemptResult{
		Result: resultOfStatus(r.status),
		Final:  r.status == http.StatusOK || r.status == http.StatusGone,
	}
	result.RetryAfter, _ = parseSeconds(r.header.Get("Retry-After"))
	if r.header.Get("X-Over-Slots") == "1" {
		result.Result, result.NoSlot = control.NotSent, true
	}
	// An endpoint that rejects a call above its limit keeps the connection open for the next call. If it closes the
	// connection, it has too many connections. That ends as soon as another one is closed, and says nothing about the
	// limit.
	if result.Result == control.Rejected && r.closes && result.RetryAfter == 0 {
		result.Result = control.ConnectionRejected
	}
	return result
}

// batchResultsByWord maps the words in the response to a batch to the results of its messages.
var batchResultsByWord = map[string]state.AttemptResult{
	"delivered": {Result: control.Served, Final: true},
	"failed":    {Result: control.Failed},
	"refused":   {Result: control.Rejected},
	"over":      {Result: control.NotSent, Final: true},
	"spent":     {Result: control.NotSent},
}

// parseBatchResults parses the response to a batch, which has one line with the result of each message. It returns nil
// if any line is malformed or names a message twice, because the other lines can't be trusted then.
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
