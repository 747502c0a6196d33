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

	// pollTimeout limits the time to receive a response from its first byte on, and the time that a poll may take in
	// addition to its long-poll wait.
	pollTimeout = 1200 * time.Millisecond

	// maxLongPoll is the longest wait that a poll requests. An unresponsive poll is detected after maxLongPoll plus
	// pollTimeout and repeated within another pollTimeout. The sum is less than 6 s, after which the sender counts as
	// notified of the changes that it missed.
	maxLongPoll = 3 * time.Second

	// maxResponseGap is the longest pause within a response. The sender counts as notified as soon as discovery begins to
	// write a response, so an incomplete one must be polled again well before the drain grace period ends.
	maxResponseGap = 300 * time.Millisecond
)

var (
	// errNoResponse is returned for a poll without a complete response before its deadline.
	errNoResponse = errors.New("no complete response before the deadline")

	// errConnectionEnded is returned for a poll whose connection ended before the first byte of a response.
	errConnectionEnded = errors.New("connection ended before a response")
)

// A brokenResponseError is returned for a response that is incomplete or malformed, so that its content is unknown.
type brokenResponseError struct {
	startedAt time.Time // when the first byte arrived
	bodies    [][]byte  // the parts of the bodies that were received
	cause     error
}

// Error returns a message with the cause.
func (e *brokenResponseError) Error() string {
	return "incomplete or malformed response: " + e.cause.Error()
}

// Unwrap returns the cause.
func (e *brokenResponseError) Unwrap() error { return e.cause }

// A pollRequest holds what the controller has requested, and the state of polling for it.
type pollRequest struct {
	watch, fetch   bool
	since          int64     // the known list version
	immediate      bool      // poll without waiting for changes, because some may have been missed
	retries        int       // retries since the list became uncertain
	uncertainSince time.Time // since when there may be unknown changes; zero if there are none
}

// fullList reports whether to poll the full list instead of the changes.
func (r pollRequest) fullList() bool { return r.fetch || r.since == state.NoVersion }

// stop ends polling until the controller requests it again.
func (r *pollRequest) stop() { *r = pollRequest{since: r.since} }

// advance continues a watch from the version of a complete response, and clears the retry state.
func (r *pollRequest) advance(version int64) { *r = pollRequest{watch: r.watch, since: version} }

// merge adds a new request. A fetch leaves a watch unchanged.
func (r *pollRequest) merge(next pollRequest) {
	if next.fetch {
		r.fetch = true
		return
	}
	*r = pollRequest{watch: next.watch, since: next.since, fetch: r.fetch, uncertainSince: next.uncertainSince}
}

// maxResponseTime returns the maximum time to receive a response from its first byte on. It ensures that the list
// counts as uncertain before the drain grace period ends if a response takes unusually long.
func (d *Discovery) maxResponseTime() time.Duration {
	if d.DrainGrace <= 0 {
		return pollTimeout
	}
	return min(pollTimeout, d.DrainGrace/2)
}

// longPoll returns how long a poll waits for a change.
func (d *Discovery) longPoll() time.Duration {
	if d.MaxPollInterval <= 0 {
		return maxLongPoll
	}
	return min(maxLongPoll, d.MaxPollInterval)
}

// responseTimeout returns how long a poll may take in addition to its long-poll wait. An agent answers at once or, in an
// outage of discovery, not at all. What it has when it answers again counts as told at that moment, so a silent poll is
// given up early. A poll after an incomplete response gets the full time.
func (d *Discovery) responseTimeout(r pollRequest) time.Duration {
	if !d.Pushed || r.retries > 0 || d.DrainGrace <= 0 {
		return pollTimeout
	}
	return min(pollTimeout, max(minAgentTimeout, time.Duration(agentTimeoutFraction*float64(d.DrainGrace))))
}

// poll sends a request and parses the response. The error is a brokenResponseError if what discovery sent is incomplete,
// malformed or not known to belong to the request, errNoResponse if there was no response by the deadline, and
// errConnectionEnded if an open connection ended before the response.
func (d *Discovery) poll(ctx context.Context, client *httpClient, r pollRequest) (state.ListUpdate, error) {
	path, deadline := listPath, time.Now().Add(d.responseTimeout(r))
	if !r.fullList() {
		wait := d.longPoll()
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
		update, err := ParseList(e.body, d.Names, d.MaxTargets)
		if err != nil {
			return state.ListUpdate{}, &brokenResponseError{e.startedAt, e.bodies(), err}
		}
		return update, nil
	case !e.startedAt.IsZero() && (r.fullList() || !e.repeatsVersion(r.since)):
		return state.ListUpdate{}, &brokenResponseError{e.startedAt, e.bodies(), err}
	case !time.Now().Before(deadline) || !e.startedAt.IsZero():
		return state.ListUpdate{}, fmt.Errorf("%w: %w", errNoResponse, err)
	case errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE):
		return state.ListUpdate{}, fmt.Errorf("%w: %w", errConnectionEnded, err)
	}
	return state.ListUpdate{}, err
}

// repeatsVersion reports whether discovery sent a single response whose received part contains no change after the
// version. A second response may contain one.
func (e exchange) repeatsVersion(version int64) bool {
	return len(e.received) == 1 && isUnchanged(e.received[0].Body, version)
}

// bodies returns the received bodies of all responses.
func (e exchange) bodies() [][]byte {
	var all [][]byte
	for _, r := range e.received {
		all = append(all, r.Body)
	}
	return all
}

// departing returns the targets that any of the received bodies lists as draining or removed.
func (e *brokenResponseError) departing(n Names, maxTargets int) []state.Target {
	var targets []state.Target
	for _, body := range e.bodies {
		targets = append(targets, parseDraining(body, n, maxTargets)...)
	}
	return targets
}

// bytes returns the total size of the received bodies.
func (e *brokenResponseError) bytes() int {
	total := 0
	for _, body := range e.bodies {
		total += len(body)
	}
	return total
}
