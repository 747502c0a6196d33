package protocol

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"cleathold/control"
	"cleathold/internal/state"
)

const (
	// minPollInterval is too soon for an answer without changes, and less than the time in which the next poll still
	// continues a watch.
	minPollInterval = 100 * time.Millisecond

	// minRetryBackoff is waited before a poll whose answer broke off is repeated; doubled up to maxRetryBackoff.
	minRetryBackoff = 20 * time.Millisecond
	maxRetryBackoff = 640 * time.Millisecond

	// fleetBackoffFraction of the grace of drains takes the place of minRetryBackoff in a large fleet, and maxFleetBackoff
	// that of maxRetryBackoff: the answers with a change that all got at one instant may have broken off for all.
	fleetBackoffFraction = 0.3
	maxFleetBackoff      = 2400 * time.Millisecond

	// rejectedBackoffDivisor divides the time over which a fleet spreads its polls into the first backoff after a poll
	// that was refused.
	rejectedBackoffDivisor = 4

	// maxUpdateDelayFraction of the grace of drains is the longest delay of a large fleet's sender after a change. A watch
	// goes on for 200 ms after an answer, in which the sender counts as notified of changes: they must be known before
	// the grace is over.
	maxUpdateDelayFraction = 0.4

	// pollOpenDelay is how long a poll has been open when it counts as received: discovery answers 503 where one waited
	// too long. That delay and this are over before sends would be held back.
	pollOpenDelay = 900 * time.Millisecond
)

// DiscoveryConfig is what a client of discovery is built from.
type DiscoveryConfig struct {
	Addr  string
	Names Names
	// MaxPollInterval bounds how long a poll waits for a change; 0 = it does not.
	MaxPollInterval time.Duration
	// PollSpread is the delay, on average, between a change and the next poll. All senders are notified of a change at one
	// instant, and the next polls of many would come together and keep discovery from all else.
	PollSpread time.Duration
	// DrainGrace is the time within which a sender must heed a drain that it was notified of; 0 = unknown.
	DrainGrace time.Duration
	Log        *slog.Logger
}

// Discovery polls the endpoint list on the goroutine that calls Run, and posts what it hears. Its other methods may be
// called from any goroutine.
type Discovery struct {
	DiscoveryConfig
	events   EventPoster
	longPoll time.Duration // how long a poll may wait for a change
	requests chan pollRequest

	mu         sync.Mutex
	addr       string
	cancelPoll context.CancelFunc // ends the poll under way
}

// NewDiscovery returns a client of discovery. It polls nothing before Run.
func NewDiscovery(events EventPoster, c DiscoveryConfig) *Discovery {
	longPoll := maxLongPoll
	if c.MaxPollInterval > 0 {
		longPoll = min(longPoll, c.MaxPollInterval)
	}
	return &Discovery{
		DiscoveryConfig: c, events: events, addr: c.Addr, longPoll: longPoll, requests: make(chan pollRequest, 16),
	}
}

// Watch begins or ends polling for what is newer than a version.
func (d *Discovery) Watch(enabled bool, since int64) {
	d.request(pollRequest{watch: enabled, since: since})
}

// Fetch polls the full list once.
func (d *Discovery) Fetch() { d.request(pollRequest{fetch: true}) }

func (d *Discovery) request(r pollRequest) {
	select {
	case d.requests <- r:
	default:
		d.Log.Warn("discovery request dropped: too many at once")
	}
}

// SetAddress turns to another address, where the full list is polled first, again and again if need be: the sender
// counts as notified of what it has to tell 4 s later. A poll under way at the old one is canceled, as it may never
// be answered.
func (d *Discovery) SetAddress(addr string) {
	d.mu.Lock()
	d.addr = addr
	if d.cancelPoll != nil {
		d.cancelPoll()
	}
	d.mu.Unlock()
	d.requests <- pollRequest{watch: true, since: state.NoVersion, uncertainSince: time.Now()}
}

// beginPoll returns where to poll, and a context that SetAddress ends.
func (d *Discovery) beginPoll(ctx context.Context) (context.Context, context.CancelFunc, string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	ctx, d.cancelPoll = context.WithCancel(ctx)
	return ctx, d.cancelPoll, d.addr
}

// Run polls as requested until the context ends. A watch goes on with the next poll right after each answer, until one
// fails: when to poll then is the controller's decision.
func (d *Discovery) Run(ctx context.Context) {
	client := &httpClient{pacing: readPacing{maxGap: maxAnswerGap, maxDuration: d.maxAnswerTime()}}
	defer client.close()
	var current pollRequest
	for d.nextPoll(ctx, &current) {
		pollCtx, cancel, addr := d.beginPoll(ctx)
		client.setAddress(addr)
		startedAt := time.Now()
		openTimer := d.reportPollOpen(current)
		update, err := d.poll(pollCtx, client, current)
		openTimer.Stop()
		switch {
		case pollCtx.Err() != nil: // the address changed, also where an answer came in that instant
			current.watch, current.fetch = false, false // what to poll at the new address is among the requests
		case err != nil:
			if current.followsDelay() && time.Since(startedAt) > pollTimeout {
				current.uncertainSince = time.Time{} // it was received, and ended later
			}
			d.handleFailure(pollCtx, &current, err)
		case !current.fullList() && update.Version < current.since:
			d.Log.Warn("discovery list older than the known one, polling the full list",
				"since", current.since, "version", update.Version)
			current.advance(state.NoVersion)
			sleepUntil(pollCtx, startedAt.Add(minPollInterval))
		default:
			d.handleUpdate(pollCtx, &current, update, startedAt)
		}
		cancel()
	}
}

// nextPoll says what to poll now: what is requested anew, else the watch goes on. It waits while nothing is
// requested, and returns false at the end.
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

// reportPollOpen posts state.PollOpen once a poll after a delay has been open for pollOpenDelay: the list is known
// then, as what the sender was notified of before the poll would have come by then.
func (d *Discovery) reportPollOpen(current pollRequest) *time.Timer {
	if !current.followsDelay() {
		return time.NewTimer(time.Hour)
	}
	return time.AfterFunc(pollOpenDelay, func() { d.events.Post(state.PollOpen{}) })
}

// handleUpdate passes an answer on, and delays the next poll where that is called for.
func (d *Discovery) handleUpdate(
	ctx context.Context, current *pollRequest, update state.ListUpdate, startedAt time.Time,
) {
	if current.retries > 0 {
		d.Log.Info("discovery list certain again", "attempt", current.retries, "version", update.Version)
	}
	if len(update.Targets) > 0 {
		d.Log.Info("discovery list changed", "version", update.Version, "since", current.since, "count", len(update.Targets),
			"elapsed", time.Since(startedAt).Round(time.Millisecond))
	}
	current.advance(update.Version)
	delayNextPoll := d.PollSpread > 0 && len(update.Targets) > 0
	if delayNextPoll && d.DrainGrace > 0 {
		current.uncertainSince = time.Now()
		update.PollPaused = true
	}
	d.events.Post(update)
	if delayNextPoll {
		sleepUntil(ctx, time.Now().Add(d.delayAfterUpdate()))
	} else if len(update.Targets) == 0 && time.Since(startedAt) < minPollInterval {
		// A discovery that answers at once must not be flooded.
		sleepUntil(ctx, time.Now().Add(minPollInterval))
	}
}

// delayAfterUpdate is how long a large fleet's sender waits between a change and its next poll.
func (d *Discovery) delayAfterUpdate() time.Duration {
	if d.DrainGrace <= 0 {
		return d.PollSpread*9/10 + rand.N(d.PollSpread/5)
	}
	return rand.N(min(d.PollSpread, time.Duration(maxUpdateDelayFraction*float64(d.DrainGrace))))
}

// handleFailure deals with a poll that got no answer that can be used: it is repeated here, or is over.
func (d *Discovery) handleFailure(ctx context.Context, current *pollRequest, err error) {
	var broken *brokenAnswerError
	switch {
	case errors.As(err, &broken):
		d.Log.Warn("discovery answer broken off, polling again",
			"err", err, "bytes", len(broken.body), "attempt", current.retries)
		d.events.Post(state.ListUnreadable{At: broken.startedAt, Departing: parseDraining(broken.body, d.Names)})
		current.uncertainSince = broken.startedAt
		d.retryAfterBackoff(ctx, current, err)
	case !current.uncertainSince.IsZero() &&
		time.Since(current.uncertainSince) < state.UncertaintyTimeout(d.MaxPollInterval):
		d.Log.Info("discovery unanswered while the list is uncertain, polling again",
			"err", err, "attempt", current.retries)
		if !current.fullList() {
			d.events.Post(state.PollFailed{Since: current.uncertainSince})
		}
		d.retryAfterBackoff(ctx, current, err)
	case current.watch && !current.immediate && d.shouldRepollAtOnce(err):
		d.Log.Info("discovery poll unresponsive or ended, polling again", "err", err)
		current.immediate = true
	default:
		d.Log.Info("discovery failed", "err", err, "since", current.since, "immediate", current.immediate)
		current.stop()
		d.events.Post(state.ListUpdate{Kind: control.ListFailed})
	}
}

// shouldRepollAtOnce reports whether a watch goes on at once after an error.
func (d *Discovery) shouldRepollAtOnce(err error) bool {
	return errors.Is(err, errNoAnswer) || errors.Is(err, errConnectionEnded) && d.PollSpread == 0
}

// retryAfterBackoff has the next poll be one that does not wait, after a backoff that doubles. A large fleet's sender
// takes its time, as discovery answers one poll after another, unless this one did not leave the machine.
func (d *Discovery) retryAfterBackoff(ctx context.Context, current *pollRequest, err error) {
	minBackoff, maxBackoff := minRetryBackoff, maxRetryBackoff
	var broken *brokenAnswerError
	switch {
	case d.PollSpread == 0 || isLocalError(err):
	case errors.As(err, &broken) || current.fullList():
		minBackoff, maxBackoff = max(minBackoff, time.Duration(fleetBackoffFraction*float64(d.DrainGrace))), maxFleetBackoff
	default: // it may be behind with the polls of all
		minBackoff, maxBackoff = max(minBackoff, d.PollSpread/rejectedBackoffDivisor), maxFleetBackoff
	}
	backoff := min(minBackoff<<min(current.retries, 10), maxBackoff)
	current.immediate = true
	current.retries++
	sleepUntil(ctx, time.Now().Add(backoff/2+rand.N(backoff/2)))
}

// sleepUntil waits until a time or the end of the context.
func sleepUntil(ctx context.Context, t time.Time) {
	ctx, cancel := context.WithDeadline(ctx, t)
	defer cancel()
	<-ctx.Done()
}
