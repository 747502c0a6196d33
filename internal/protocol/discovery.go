package protocol

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"cleathold/control"
	"cleathold/internal/httpconn"
	"cleathold/internal/state"
)

const (
	// minPollInterval is the minimum time between polls if the response contains no changes. It must be shorter than the
	// time within which discovery treats the next poll as a continuation of the same watch.
	minPollInterval = 100 * time.Millisecond

	// minRetryBackoff is the backoff before the first retry after an incomplete response. It doubles with each retry up to
	// maxRetryBackoff.
	minRetryBackoff = 20 * time.Millisecond
	maxRetryBackoff = 640 * time.Millisecond

	// A large fleet starts its retries with the backoff DrainGrace * fleetBackoffFraction instead of minRetryBackoff, and
	// limits it to maxFleetBackoff instead of maxRetryBackoff. Discovery sends a change to all senders at the same time,
	// so the responses to all of them may be incomplete.
	fleetBackoffFraction = 0.3
	maxFleetBackoff      = 2400 * time.Millisecond

	// The first backoff after a rejected poll in a large fleet is PollSpread / rejectedBackoffDivisor.
	rejectedBackoffDivisor = 4

	// maxUpdateDelayFraction is the longest delay after a change in a large fleet, as a fraction of DrainGrace. A watch
	// continues for 200 ms after a response; the sender counts as notified of changes made in that time, and must
	// receive them before the drain grace period ends.
	maxUpdateDelayFraction = 0.4
)

// DiscoveryConfig is the configuration of a discovery client.
type DiscoveryConfig struct {
	Addr  string
	Names Names
	// MaxPollInterval limits how long a poll waits for a change, in addition to maxLongPoll. Zero means no limit.
	MaxPollInterval time.Duration
	// PollSpread is the average delay between a change and the next poll. Discovery notifies all senders of a change at
	// the same time; without the delay, the next polls of a large fleet would arrive together and overload discovery.
	PollSpread time.Duration
	// DrainGrace is the time within which a sender must stop sending to an endpoint after it was notified that the
	// endpoint drains. Zero means unknown.
	DrainGrace time.Duration
	// MaxTargets is the maximum number of entries of a list. A longer one counts as unreadable. Zero means unlimited.
	MaxTargets int
	// Pushed means that lists are pushed to an agent on the sender's own machine, and that the client asks the agent.
	Pushed bool
	Log    *slog.Logger
}

// PollTimings are the settings of polls that may change at run time. The fields are those of DiscoveryConfig.
type PollTimings struct{ MaxPollInterval, PollSpread, DrainGrace time.Duration }

// Discovery polls the endpoint list on the goroutine that calls Run, and posts list updates and poll failures as
// events. Its other methods are safe for concurrent use.
type Discovery struct {
	DiscoveryConfig
	events   EventPoster
	requests chan pollRequest

	responseBegan bool // ListResponseBegan was posted for the current poll; its slowResponseTimer orders the accesses

	mu         sync.Mutex
	addr       string
	cancelPoll context.CancelCauseFunc // cancels the current poll
	newTimings *PollTimings            // set by SetTimings until the next poll; nil: unchanged
}

// NewDiscovery returns a discovery client. It doesn't poll before Run is called.
func NewDiscovery(events EventPoster, c DiscoveryConfig) *Discovery {
	return &Discovery{DiscoveryConfig: c, events: events, addr: c.Addr, requests: make(chan pollRequest, 16)}
}

// SetTimings replaces the timings from the next poll on.
func (d *Discovery) SetTimings(t PollTimings) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.newTimings = &t
}

// Watch enables or disables continuous polling for changes after the version since.
func (d *Discovery) Watch(enabled bool, since int64) {
	d.request(pollRequest{watch: enabled, since: since})
}

// Fetch requests the full list once.
func (d *Discovery) Fetch() { d.request(pollRequest{fetch: true}) }

func (d *Discovery) request(r pollRequest) {
	select {
	case d.requests <- r:
	default:
		d.Log.Warn("discovery request dropped, request queue is full")
	}
}

// SetAddress switches to another address and polls the full list there, with retries: 4 s later the sender counts as
// notified of the list at the new address. A poll in progress at the old address is canceled, because it may never be
// answered.
func (d *Discovery) SetAddress(addr string) {
	d.mu.Lock()
	d.addr = addr
	if d.cancelPoll != nil {
		d.cancelPoll(&addressChangedError{time.Now()})
	}
	d.mu.Unlock()
	d.requests <- pollRequest{watch: true, since: state.NoVersion, uncertainSince: time.Now()}
}

// beginPoll returns a client for the address to poll, and a context that SetAddress cancels. It applies new timings.
func (d *Discovery) beginPoll(ctx context.Context) (context.Context, context.CancelFunc, *httpClient) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if t := d.newTimings; t != nil {
		d.MaxPollInterval, d.PollSpread, d.DrainGrace, d.newTimings = t.MaxPollInterval, t.PollSpread, t.DrainGrace, nil
	}
	ctx, d.cancelPoll = context.WithCancelCause(ctx)
	cancel := d.cancelPoll
	client := &httpClient{
		addr: d.addr, maxBody: maxListBytes, dial: httpconn.Dial,
		pacing: readPacing{maxGap: maxResponseGap, maxDuration: d.maxResponseTime()},
		onSlowResponse: func(startedAt time.Time) {
			d.responseBegan = true
			d.events.Post(state.ListResponseBegan{StartedAt: startedAt})
		},
	}
	return ctx, func() { cancel(nil) }, client
}

// An addressChangedError is the cause of the cancellation of a poll by SetAddress.
type addressChangedError struct{ at time.Time }

// Error returns a message with the time.
func (e *addressChangedError) Error() string {
	return "address of discovery changed at " + e.at.String()
}

// Run polls as requested until the context is done. A watch polls again after each response until a poll fails. The
// controller then decides when to poll again. Where lists are pushed, Run polls the agent all the time by itself.
func (d *Discovery) Run(ctx context.Context) {
	if d.Pushed {
		newAgentPoller(d).run(ctx)
		return
	}
	var current pollRequest
	for d.nextPoll(ctx, &current) {
		pollCtx, cancel, client := d.beginPoll(ctx)
		startedAt := time.Now()
		update, err := d.poll(pollCtx, client, current)
		switch {
		case pollCtx.Err() != nil: // the address changed; a response that arrived at the same time is ignored
			d.reportInterrupted(pollCtx, &current, err)
			current.watch, current.fetch = false, false // SetAddress has queued the request for the new address
		case err != nil:
			d.handleFailure(pollCtx, &current, err)
		case !current.fullList() && update.Version < current.since:
			d.logOlderVersion(current.since, update.Version)
			current.advance(state.NoVersion)
			sleepUntil(pollCtx, startedAt.Add(minPollInterval))
		default:
			d.handleUpdate(pollCtx, &current, update, startedAt)
		}
		d.endResponse()
		cancel()
	}
}

// endResponse posts that a response that has begun is over. What it told was posted before, if it told anything.
func (d *Discovery) endResponse() {
	if d.responseBegan {
		d.responseBegan = false
		d.events.Post(state.ListResponseEnded{})
	}
}

func (d *Discovery) logOlderVersion(since, version int64) {
	d.Log.Warn("discovery returned an older list version, polling the full list", "since", since, "version", version)
}

// nextPoll updates current with the pending requests, or leaves it as is to continue a watch. It blocks while there is
// nothing to poll, and returns false when the context is done.
func (d *Discovery) nextPoll(ctx context.Context, current *pollRequest) bool {
	for ctx.Err() == nil {
		if current.watch || current.fetch {
			select {
			case r := <-d.requests:
				current.merge(r)
			default:
				return true
			}
			continue
		}
		select {
		case <-ctx.Done():
		case r := <-d.requests:
			current.merge(r)
		}
	}
	return false
}

// handleUpdate posts a list update and waits before the next poll if necessary.
func (d *Discovery) handleUpdate(
	ctx context.Context, current *pollRequest, update state.ListUpdate, startedAt time.Time,
) {
	d.logUpdate(current, update, startedAt)
	current.advance(update.Version)
	delayNextPoll := d.PollSpread > 0 && len(update.Targets) > 0
	if delayNextPoll && d.DrainGrace > 0 {
		// A poll that waits for changes and gets no response brings no news of the changes during the delay.
		current.uncertainSince, current.immediate = time.Now(), true
		update.PollPaused = true
	}
	d.events.Post(update)
	if delayNextPoll {
		sleepUntil(ctx, time.Now().Add(d.delayAfterUpdate()))
	} else if len(update.Targets) == 0 && time.Since(startedAt) < minPollInterval {
		// Don't flood a discovery server that responds without waiting.
		sleepUntil(ctx, time.Now().Add(minPollInterval))
	}
}

// logUpdate logs the end of retries and the changes of the list.
func (d *Discovery) logUpdate(current *pollRequest, update state.ListUpdate, startedAt time.Time) {
	if current.retries > 0 {
		d.Log.Info("discovery list up to date again", "attempt", current.retries, "version", update.Version)
	}
	if len(update.Targets) > 0 {
		d.Log.Info("discovery list changed", "version", update.Version, "since", current.since, "count", len(update.Targets),
			"elapsed", time.Since(startedAt).Round(time.Millisecond))
	}
}

// delayAfterUpdate returns how long a sender of a large fleet waits after a change before its next poll.
func (d *Discovery) delayAfterUpdate() time.Duration {
	if d.DrainGrace <= 0 {
		return d.PollSpread*9/10 + rand.N(d.PollSpread/5)
	}
	return rand.N(min(d.PollSpread, time.Duration(maxUpdateDelayFraction*float64(d.DrainGrace))))
}

// handleFailure handles a poll without a usable response. It either prepares a retry or stops polling and reports the
// failure to the controller.
func (d *Discovery) handleFailure(ctx context.Context, current *pollRequest, err error) {
	var broken *brokenResponseError
	switch {
	case errors.As(err, &broken):
		d.reportBroken(current, broken)
		d.retryAfterBackoff(ctx, current, err)
	case !current.uncertainSince.IsZero() &&
		time.Since(current.uncertainSince) < state.UncertaintyTimeout(d.MaxPollInterval):
		d.Log.Info("discovery poll failed while the list may be out of date, polling again",
			"err", err, "attempt", current.retries)
		if !current.fullList() {
			d.events.Post(state.PollFailed{UncertainSince: current.uncertainSince})
		}
		d.retryAfterBackoff(ctx, current, err)
	case current.watch && !current.immediate && d.shouldRepollAtOnce(err):
		d.Log.Info("discovery poll timed out or its connection was closed, polling again", "err", err)
		current.immediate = true
	default:
		d.Log.Info("discovery poll failed", "err", err, "since", current.since, "immediate", current.immediate)
		current.stop()
		d.events.Post(state.ListUpdate{Kind: control.ListFailed})
	}
}

// reportBroken posts that a response is incomplete or malformed.
func (d *Discovery) reportBroken(current *pollRequest, broken *brokenResponseError) {
	d.Log.Warn("discovery response incomplete or malformed, polling again",
		"err", broken, "bytes", broken.bytes(), "attempt", current.retries)
	d.events.Post(state.ListUnreadable{StartedAt: broken.startedAt, Departing: broken.departing(d.Names, d.MaxTargets)})
	current.uncertainSince = broken.startedAt
}

// reportInterrupted reports the response of a poll that was canceled, if it had begun before: what it tells is not known.
func (d *Discovery) reportInterrupted(ctx context.Context, current *pollRequest, err error) {
	var broken *brokenResponseError
	if !errors.As(err, &broken) {
		return
	}
	var moved *addressChangedError
	if errors.As(context.Cause(ctx), &moved) && broken.startedAt.After(moved.at) {
		return
	}
	d.reportBroken(current, broken)
}

// shouldRepollAtOnce reports whether a watch continues immediately after this error.
func (d *Discovery) shouldRepollAtOnce(err error) bool {
	return errors.Is(err, errNoResponse) || errors.Is(err, errConnectionEnded) && d.PollSpread == 0
}

// retryAfterBackoff waits for an exponential backoff and makes the next poll an immediate one, which doesn't wait for
// changes. Senders of a large fleet use a longer backoff, because discovery processes polls one at a time, unless the
// poll failed on the local machine.
func (d *Discovery) retryAfterBackoff(ctx context.Context, current *pollRequest, err error) {
	minBackoff, maxBackoff := minRetryBackoff, maxRetryBackoff
	var broken *brokenResponseError
	switch {
	case d.Pushed || d.PollSpread == 0 || isLocalError(err):
	case errors.As(err, &broken) || current.fullList():
		minBackoff, maxBackoff = max(minBackoff, time.Duration(fleetBackoffFraction*float64(d.DrainGrace))), maxFleetBackoff
	default: // discovery may have a backlog of polls from the whole fleet
		minBackoff, maxBackoff = max(minBackoff, d.PollSpread/rejectedBackoffDivisor), maxFleetBackoff
	}
	backoff := min(minBackoff<<min(current.retries, 10), maxBackoff)
	current.immediate = true
	current.retries++
	sleepUntil(ctx, time.Now().Add(backoff/2+rand.N(backoff/2)))
}

// sleepUntil waits until t or until the context is done.
func sleepUntil(ctx context.Context, t time.Time) {
	ctx, cancel := context.WithDeadline(ctx, t)
	defer cancel()
	<-ctx.Done()
}
