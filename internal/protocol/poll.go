package protocol

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"cleathold/internal/state"
)

const (
	listPath = "/catalog/members"

	// pollTimeout is how long an answer may take, and how much longer than its wait a poll may.
	pollTimeout = 1200 * time.Millisecond

	// maxLongPoll is the longest that a poll is asked to wait. One that is unresponsive is noticed that much and
	// pollTimeout later, and repeated within another pollTimeout: under the 6 s after which the sender counts as notified
	// of what it missed.
	maxLongPoll = 3 * time.Second

	// maxAnswerGap is the longest gap within an answer. The sender counts as notified of what discovery has begun to
	// write, so that an answer which breaks off is polled again long before the grace of drains is over.
	maxAnswerGap = 300 * time.Millisecond
)

var (
	// errNoAnswer tells of a poll whose answer did not come in its time.
	errNoAnswer = errors.New("no complete answer in time")

	// errConnectionEnded tells of a poll whose connection ended before anything of an answer came.
	errConnectionEnded = errors.New("the connection ended without an answer")
)

// A brokenAnswerError tells of an answer that began and can't be read, or not to its end. What was in it is not known.
type brokenAnswerError struct {
	startedAt time.Time // when its first byte came
	body      []byte    // as far as it came
	cause     error
}

// Error names the cause.
func (e *brokenAnswerError) Error() string { return "the answer broke off: " + e.cause.Error() }

// Unwrap returns the cause.
func (e *brokenAnswerError) Unwrap() error { return e.cause }

// A pollRequest is what the controller asks for, and how polling for it went so far.
type pollRequest struct {
	watch, fetch   bool
	since          int64     // the version that is known
	immediate      bool      // the poll before was unresponsive or broke off: what it missed is polled without a wait
	retries        int       // polls that failed since the list became uncertain
	uncertainSince time.Time // since when there may be changes that are not known; zero: there are none
}

// fullList reports whether the full list is polled, not what has changed.
func (r pollRequest) fullList() bool { return r.fetch || r.since == state.NoVersion }

// followsDelay reports whether this is the poll after a delayed one: once it is open the list is known.
func (r pollRequest) followsDelay() bool {
	return !r.uncertainSince.IsZero() && !r.immediate && !r.fullList()
}

// stop ends polling: when to poll again is the controller's decision.
func (r *pollRequest) stop() { *r = pollRequest{since: r.since} }

// advance goes on from an answer that was complete.
func (r *pollRequest) advance(version int64) { *r = pollRequest{watch: r.watch, since: version} }

// merge adds what is requested; a single fetch leaves a watch as it is.
func (r *pollRequest) merge(next pollRequest) {
	if next.fetch {
		r.fetch = true
		return
	}
	*r = pollRequest{watch: next.watch, since: next.since, fetch: r.fetch, uncertainSince: next.uncertainSince}
}

// maxAnswerTime is how long an answer may take from its first byte on. Where that is longer than usual the list
// counts as uncertain before the grace of drains is over.
func (d *Discovery) maxAnswerTime() time.Duration {
	if d.DrainGrace <= 0 {
		return pollTimeout
	}
	return min(pollTimeout, d.DrainGrace/2)
}

// poll sends one request. Its error is a brokenAnswerError where an answer began, errNoAnswer where none did in time,
// and errConnectionEnded where a connection that was up ended instead.
func (d *Discovery) poll(ctx context.Context, client *httpClient, r pollRequest) (state.ListUpdate, error) {
	path, deadline := listPath, time.Now().Add(pollTimeout)
	if !r.fullList() {
		wait := d.longPoll
		if r.immediate {
			wait = time.Millisecond
		}
		path += "?since=" + strconv.FormatInt(r.since, 10) + "&timeout_ms=" + strconv.FormatInt(wait.Milliseconds(), 10)
		deadline = deadline.Add(wait)
	}
	e, err := client.do(ctx, http.MethodGet, path, nil, deadline)
	switch {
	case err == nil && e.status != http.StatusOK:
		return state.ListUpdate{}, fmt.Errorf("status %d", e.status)
	case err == nil:
		update, err := ParseList(e.body, d.Names)
		if err != nil {
			return state.ListUpdate{}, &brokenAnswerError{e.startedAt, e.body, err}
		}
		return update, nil
	case !e.startedAt.IsZero() && (r.fullList() || !isUnchanged(e.body, r.since)):
		return state.ListUpdate{}, &brokenAnswerError{e.startedAt, e.body, err}
	case !time.Now().Before(deadline) || !e.startedAt.IsZero():
		return state.ListUpdate{}, fmt.Errorf("%w: %w", errNoAnswer, err)
	case errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE):
		return state.ListUpdate{}, fmt.Errorf("%w: %w", errConnectionEnded, err)
	}
	return state.ListUpdate{}, err
}
