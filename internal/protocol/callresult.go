package protocol

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"cleathold/control"
	"cleathold/internal/httpconn"
	"cleathold/internal/state"
)

// earlyResponseTimeout limits the wait for a response of an endpoint that did not read the whole request.
const earlyResponseTimeout = 50 * time.Millisecond

// logUnattributable is the log message for a response that is not known to belong to its request.
const logUnattributable = "response can't be attributed to its request"

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

// resultBeforeSent returns the result of a call whose request could not be written completely, so that the endpoint
// has not processed it. The endpoint may already have sent a response that rejects the call; its Retry-After must be
// honored.
func (f *inFlightCall) resultBeforeSent(c *httpconn.Conn) state.AttemptResult {
	failed := state.AttemptResult{Result: control.ConnectFailed}
	if f.ctx.Err() != nil {
		return failed
	}
	x := c.ReadExchange(httpconn.ReadOptions{
		Method: http.MethodPost, MaxBody: state.MaxBody, ResponseTimeout: earlyResponseTimeout,
		Await: func(received []httpconn.Response) error {
			if len(received) > 0 {
				return io.EOF
			}
			c.SetReadDeadline(time.Now().Add(earlyResponseTimeout))
			_, err := c.Reader.Peek(1)
			return err
		},
	})
	if f.ctx.Err() != nil || len(x.Responses) == 0 || resultOfStatus(x.Responses[0].Status) != control.Rejected {
		failed.RetryAfter = maxRetryAfter(x.Received())
		return failed
	}
	result := resultOfResponse(x.Responses[0])
	// The endpoint closes the connection before it has read the request, and not because the request asks for it: it has
	// too many connections. That ends as soon as another one is closed, and says nothing about the limit.
	if result.Result == control.Rejected && x.Responses[0].Closes && result.RetryAfter == 0 {
		result.Result = control.ConnectionRejected
	}
	return result
}

// endExchange ends the attempts of a call whose request was sent, according to what the endpoint sent.
func (f *inFlightCall) endExchange(connection string, x httpconn.Exchange) {
	doubt := x.Doubt(f.equivalent)
	if doubt == httpconn.NoDoubt && f.announcements.missing(f.call.Target.ID, x.Responses) {
		doubt = httpconn.Unannounced
	}
	if doubt != httpconn.NoDoubt {
		f.endDoubtful(connection, x, doubt)
		return
	}
	response := x.Responses[0]
	common := resultOfResponse(response)
	common.RetryAfter = maxRetryAfter(x.Responses)
	if common.Result == control.Rejected && common.RetryAfter == 0 {
		common.Result = control.RejectedUnexplained // the endpoint closes each connection, as the request asks it to
	}
	if common.Result == control.Unprocessable {
		f.log.Error("endpoint rejected the call as invalid",
			"endpoint", f.call.Target.ID, "status", response.Status, "count", len(f.attempts))
	}
	if response.Status != http.StatusOK || len(f.attempts) == 1 {
		f.endEach(func(*state.Attempt) (state.AttemptResult, bool) { return common, true })
		return
	}
	results := parseBatchResults(response.Body)
	for _, a := range f.attempts {
		if _, named := results[a.Message.ID]; !named {
			f.endDoubtful(connection, x, httpconn.Malformed)
			return
		}
	}
	f.endEach(func(a *state.Attempt) (state.AttemptResult, bool) {
		result := results[a.Message.ID]
		result.RetryAfter = common.RetryAfter
		return result, true
	})
}

// equivalent reports whether two responses mean the same to all messages of the call, apart from a Retry-After.
func (f *inFlightCall) equivalent(a, b httpconn.Response) bool {
	first, second := resultOfResponse(a), resultOfResponse(b)
	first.RetryAfter, second.RetryAfter = 0, 0
	return first == second && (len(f.attempts) == 1 || bytes.Equal(a.Body, b.Body))
}

// endDoubtful ends the attempts of a call without a response that is known to belong to it: the endpoint may have
// processed them, whatever the responses say. A Retry-After is honored all the same.
func (f *inFlightCall) endDoubtful(connection string, x httpconn.Exchange, doubt httpconn.Doubt) {
	result := state.AttemptResult{Result: f.resultInDoubt(x, doubt), RetryAfter: maxRetryAfter(x.Received())}
	f.counters.doubtful[doubt].Add(1)
	if doubt != httpconn.NoResponse {
		f.log.Warn(logUnattributable, "doubt", doubt.String(), "endpoint", f.call.Target.ID, "connection", connection,
			"message", f.messageIDs(), "status", statuses(x.Received()), "err", x.Err,
			"elapsed", time.Since(f.sentAt).Round(time.Millisecond))
	}
	f.endEach(func(*state.Attempt) (state.AttemptResult, bool) { return result, true })
}

// resultInDoubt returns the result of a call without a response that is known to belong to it.
func (f *inFlightCall) resultInDoubt(x httpconn.Exchange, doubt httpconn.Doubt) control.Result {
	last, _ := f.ctx.Deadline()
	switch {
	case f.ctx.Err() != nil && time.Now().Before(last):
		return control.Canceled
	case f.ctx.Err() != nil:
		return control.TimedOut
	case doubt != httpconn.NoResponse:
		return control.Failed // the endpoint is reachable
	case errors.Is(x.Err, os.ErrDeadlineExceeded):
		return control.TimedOut
	}
	return control.ConnectionLost
}

// messageIDs returns the ids of the messages of the call.
func (f *inFlightCall) messageIDs() []string {
	ids := make([]string, len(f.attempts))
	for i, a := range f.attempts {
		ids[i] = a.Message.ID
	}
	return ids
}

// statuses returns the statuses of responses.
func statuses(responses []httpconn.Response) []int {
	list := make([]int, len(responses))
	for i, r := range responses {
		list[i] = r.Status
	}
	return list
}

// maxRetryAfter returns the longest Retry-After of responses, or 0 if none has one.
func maxRetryAfter(responses []httpconn.Response) (longest time.Duration) {
	for _, r := range responses {
		wait, _ := parseSeconds(r.Header.Get("Retry-After"))
		longest = max(longest, wait)
	}
	return longest
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
func resultOfResponse(r httpconn.Response) state.AttemptResult {
	result := state.AttemptResult{
		Result: resultOfStatus(r.Status),
		Final:  r.Status == http.StatusOK || r.Status == http.StatusGone,
	}
	result.RetryAfter, _ = parseSeconds(r.Header.Get("Retry-After"))
	if r.Header.Get("X-Over-Slots") == "1" {
		result.Result, result.NoSlot = control.NotSent, true
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
