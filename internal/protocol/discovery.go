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
func (d *Discovery) Watch(on bool, since int64) { d.request(pollRequest{watch: on, since: since}) }

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
	var now pollRequest
	for d.nextPoll(ctx, &now) {
		polling, end, addr := d.beginPoll(ctx)
		client.setAddress(addr)
		startedAt := time.Now()
		opened := d.reportPollOpen(now)
		update, err := d.poll(polling, client, now)
		opened.Stop()
		switch {
		case polling.Err() != nil: // the address changed, also where an answer came in that instant
			now.watch, now.fetch = false, false // what to poll at the new address is among the requests
		case err != nil:
			if now.resumesAfterDelay() && time.Since(startedAt) > pollTimeout {
				now.uncertainSince = time.Time{} // it was received, and ended later
			}
			d.handleFailure(polling, &now, err)
		case !now.fullList() && update.Version < now.since:
			d.Log.Warn("discovery list older than the known one, polling the full list",
				"since", now.since, "version", update.Version)
			now.advance(state.NoVersion)
			sleepUntil(polling, startedAt.Add(minPollInterval))
		default:
			d.handleUpdate(polling, &now, update, startedAt)
		}
		end()
	}
}

// nextPoll says what to poll now: what is requested anew, else the watch goes on. It waits while nothing is
// requested, and returns false at the end.
func (d *Discovery) nextPoll(ctx context.Context, now *pollRequest) bool {
	for ctx.Err() == nil {
		if now.watch || now.fetch {
			select {
			case r := <-d.requests:
				now.merge(r)
			default:
				return true
			}
			continue
		}
		select {
		case <-ctx.Done():
		case r := <-d.requests:
			now.merge(r)
		}
	}
	return false
}

// reportPollOpen posts state.PollOpen once a poll after a delay has been open for pollOpenDelay: the list is known
// then, as what the sender was notified of before the poll would have come by then.
func (d *Discovery) reportPollOpen(now pollRequest) *time.Timer {
	if !now.resumesAfterDelay() {
		return time.NewTimer(time.Hour)
	}
	return time.AfterFunc(pollOpenDelay, func() { d.events.Post(state.PollOpen{}) })
}

// handleUpdate passes an answer on, and delays the next poll where that is called for.
func (d *Discovery) handleUpdate(ctx context.Context, now *pollRequest, update state.ListUpdate, startedAt time.Time) {
	if now.retries > 0 {
		d.Log.Info("discovery list certain again", "attempt", now.retries, "version", update.Version)
	}
	if len(update.Targets) > 0 {
		d.Log.Info("discovery list changed", "version", update.Version, "since", now.since, "count", len(update.Targets),
			"elapsed", time.Since(startedAt).Round(time.Millisecond))
	}
	now.advance(update.Version)
	delays := d.PollSpread > 0 && len(update.Targets) > 0
	if delays && d.DrainGrace > 0 {
		now.uncertainSince = time.Now()
		update.PollPaused = true
	}
	d.events.Post(update)
	if delays {
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
func (d *Discovery) handleFailure(ctx context.Context, now *pollRequest, err error) {
	var broken *brokenAnswerError
	switch {
	case errors.As(err, &broken):
		d.Log.Warn("discovery answer broken off, polling again",
			"err", err, "bytes", len(broken.body), "attempt", now.retries)
		d.events.Post(state.ListUnreadable{At: broken.startedAt, Departing: parseDraining(broken.body, d.Names)})
		now.uncertainSince = broken.startedAt
		d.retryAfterBackoff(ctx, now, err)
	case !now.uncertainSince.IsZero() && time.Since(now.uncertainSince) < state.UncertaintyTimeout(d.MaxPollInterval):
		d.Log.Info("discovery unanswered while the list is uncertain, polling again", "err", err, "attempt", now.retries)
		if !now.fullList() {
			d.events.Post(state.PollFailed{Since: now.uncertainSince})
		}
		d.retryAfterBackoff(ctx, now, err)
	case now.watch && !now.immediate && d.reopens(err):
		d.Log.Info("discovery poll unresponsive or ended, polling again", "err", err)
		now.immediate = true
	default:
		d.Log.Info("discovery failed", "err", err, "since", now.since, "immediate", now.immediate)
		now.stop()
		d.events.Post(state.ListUpdate{Kind: control.ListFailed})
	}
}

// reopens reports whether a watch goes on at once after an error.
func (d *Discovery) reopens(err error) bool {
	return errors.Is(err, errNoAnswer) || errors.Is(err, errConnectionEnded) && d.PollSpread == 0
}

// retryAfterBackoff has the next poll be one that does not wait, after a backoff that doubles. A large fleet's sender
// takes its time, as discovery answers one poll after another, unless this one did not leave the machine.
func (d *Discovery) retryAfterBackoff(ctx context.Context, now *pollRequest, err error) {
	first, most := minRetryBackoff, maxRetryBackoff
	var broken *brokenAnswerError
	switch {
	case d.PollSpread == 0 || isLocalError(err):
	case errors.As(err, &broken) || now.fullList():
		first, most = max(first, time.Duration(fleetBackoffFraction*float64(d.DrainGrace))), maxFleetBackoff
	default: // it may be behind with the polls of all
		first, most = max(first, d.PollSpread/rejectedBackoffDivisor), maxFleetBackoff
	}
	backoff := min(first<<min(now.retries, 10), most)
	now.immediate = true
	now.retries++
	sleepUntil(ctx, time.Now().Add(backoff/2+rand.N(backoff/2)))
}

// sleepUntil waits until a time or the end of the context.
func sleepUntil(ctx context.Context, t time.Time) {
	ctx, cancel := context.WithDeadline(ctx, t)
	defer cancel()
	<-ctx.Done()
}
