package protocol

import (
	"context"
	"errors"
	"time"

	"cleathold/internal/state"
)

// Where lists are pushed, an agent on the sender's own machine holds the latest list. The sender counts as notified of
// whatever the agent has, whether it has asked or not (STANDING). Polls cost nothing there, so the agent is polled at a
// short interval that leaves most of the drain grace for the sends that are already on their way.
const (
	// agentPollFraction is the interval between two polls of an agent, as a fraction of DrainGrace.
	agentPollFraction = 0.2
	// minAgentPollInterval and maxAgentPollInterval limit that interval.
	minAgentPollInterval = 20 * time.Millisecond
	maxAgentPollInterval = 100 * time.Millisecond

	// agentTimeoutFraction is the time within which an agent must have answered, as a fraction of DrainGrace. The interval
	// and the timeout together must be shorter than the time after which sends to a draining endpoint end.
	agentTimeoutFraction = 0.3
	// minAgentTimeout is the minimum of that time.
	minAgentTimeout = 50 * time.Millisecond
)

// An agentPoller polls an agent without pause until its context is done, whether or not polls fail.
type agentPoller struct {
	*Discovery
	current      pollRequest
	unconfirmed  bool      // the event loop waits for an answer even if that contains no change
	failing      bool      // the latest poll failed
	lastPollWith time.Time // start of the latest poll that was answered
}

func newAgentPoller(d *Discovery) *agentPoller {
	return &agentPoller{
		Discovery: d, current: pollRequest{since: state.NoVersion, immediate: true}, unconfirmed: true,
		lastPollWith: time.Now(),
	}
}

// run polls until the context is done.
func (p *agentPoller) run(ctx context.Context) {
	for ctx.Err() == nil {
		p.applyRequests()
		pollCtx, cancel, client := p.beginPoll(ctx)
		startedAt := time.Now()
		update, err := p.poll(pollCtx, client, p.current)
		switch {
		case pollCtx.Err() != nil: // the address changed; a response that arrived at the same time is ignored
			p.reportInterrupted(pollCtx, &p.current, err)
		case err != nil:
			p.handleFailure(pollCtx, err, startedAt)
		case !p.current.fullList() && update.Version < p.current.since:
			p.logOlderVersion(p.current.since, update.Version)
			p.current.since = state.NoVersion
		default:
			p.handleUpdate(update, startedAt)
			p.endResponse()
			sleepUntil(pollCtx, startedAt.Add(p.interval()))
		}
		p.endResponse()
		cancel()
	}
}

// applyRequests applies the requests that have arrived. After a change of the address the full list is polled.
func (p *agentPoller) applyRequests() {
	for {
		select {
		case r := <-p.requests:
			if p.current.since = r.since; r.fullList() {
				p.unconfirmed = true
			}
		default:
			return
		}
	}
}

// interval returns the time from the start of a poll to the start of the next one.
func (p *agentPoller) interval() time.Duration {
	if p.DrainGrace <= 0 {
		return maxAgentPollInterval
	}
	interval := time.Duration(agentPollFraction * float64(p.DrainGrace))
	return min(maxAgentPollInterval, max(minAgentPollInterval, interval))
}

// handleUpdate posts an update that contains a change or that the event loop waits for.
func (p *agentPoller) handleUpdate(update state.ListUpdate, startedAt time.Time) {
	if p.failing {
		p.Log.Info("agent of discovery answers again", "version", update.Version)
	}
	p.logUpdate(&p.current, update, startedAt)
	if len(update.Targets) > 0 || p.current.fullList() || p.unconfirmed {
		p.events.Post(update)
	}
	p.unconfirmed, p.failing, p.lastPollWith = false, false, startedAt
	p.current = pollRequest{since: update.Version, immediate: true}
}

// handleFailure prepares the next poll. If polls fail on this machine, changes that the agent has are missed, so the
// list becomes uncertain from the latest answered poll on. A silent agent has learned nothing in the meantime.
func (p *agentPoller) handleFailure(ctx context.Context, err error, startedAt time.Time) {
	var broken *brokenResponseError
	switch {
	case errors.As(err, &broken):
		p.reportBroken(&p.current, broken)
		p.unconfirmed = true
		p.retryAfterBackoff(ctx, &p.current, err)
		return
	case isLocalError(err):
		p.events.Post(state.PollFailed{UncertainSince: p.lastPollWith})
		p.unconfirmed = true
		sleepUntil(ctx, startedAt.Add(minRetryBackoff))
	default:
		sleepUntil(ctx, startedAt.Add(p.interval()))
	}
	if !p.failing {
		p.Log.Warn("agent of discovery does not answer, polling on", "err", err, "since", p.current.since)
	}
	p.failing = true
}
