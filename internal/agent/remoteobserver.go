package agent

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"cleathold/internal/admin"
	"cleathold/internal/httpconn"
	"cleathold/internal/rollout"
)

const (
	maxRemotePolls    = 16              // maximum number of concurrent polls
	remotePollTimeout = callTimeout / 2 // for one poll
)

// remoteObserver polls the senders whose own agents do not report, while this agent leads, so that the failure of an
// agent does not make its senders count as out of service. Its observations (rollout.Observation.Remote) are used only
// for the budget: they lead to neither the opening nor the closing of a grant. A sender whose admin addresses can't be
// reached from this machine remains unobserved.
type remoteObserver struct {
	agent *Agent
	http  *http.Client
}

// remoteSender is a sender to be polled.
type remoteSender struct {
	last  rollout.Observation
	reach []string // admin addresses (host:port)
}

func newRemoteObserver(a *Agent) *remoteObserver {
	return &remoteObserver{a, httpconn.NewClient()}
}

// run polls until the context ends.
func (o *remoteObserver) run(ctx context.Context) {
	for sleep(ctx, pollInterval) {
		if _, leads := o.agent.leadership(); leads {
			o.pollAll(ctx, o.unreported())
		}
	}
}

// unreported returns the other agents' senders whose latest observation is missing or about to become stale.
func (o *remoteObserver) unreported() (senders []remoteSender) {
	o.agent.fleet.withLock(func(state *rollout.State, observations map[string]rollout.Observation) {
		for name, member := range state.Members {
			last, known := observations[name]
			if !known { // no agent has reported it to this one
				last = rollout.Observation{Sender: name, Version: member.Version.Name}
			}
			if member.Agent != o.agent.cfg.Name && time.Since(last.At) > state.Terms.Timing.MaxObservationAge*6/10 {
				senders = append(senders, remoteSender{last, member.Reach})
			}
		}
	})
	return senders
}

// pollAll polls the senders concurrently. For each sender it tries the addresses in order until one responds.
func (o *remoteObserver) pollAll(ctx context.Context, senders []remoteSender) {
	slots := make(chan struct{}, maxRemotePolls)
	var wg sync.WaitGroup
	for _, sender := range senders {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			for _, addr := range sender.reach {
				if observed, ok := o.poll(ctx, addr, sender.last); ok {
					o.agent.fleet.observe(observed)
					return
				}
			}
		})
	}
	wg.Wait()
}

// poll polls a sender at one address. It copies the fields that only the sender's own agent knows from the last
// observation.
func (o *remoteObserver) poll(
	ctx context.Context, addr string, last rollout.Observation,
) (observed rollout.Observation, ok bool) {
	now := time.Now()
	ctx, cancel := context.WithDeadline(ctx, now.Add(remotePollTimeout))
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+admin.StatusPath, nil)
	if err != nil {
		return last, false
	}
	text, err := fetch(o.http, request)
	var status admin.Status
	if err != nil || json.Unmarshal(text, &status) != nil || status.Name != last.Sender || !started(status) {
		return last, false
	}
	observed = observationOf(status)
	observed.Sender, observed.At, observed.Remote, observed.Version = last.Sender, now.UTC().Round(0), true, last.Version
	observed.Counters.Restarts, observed.FaultEpoch, observed.Fault = last.Counters.Restarts, last.FaultEpoch, last.Fault
	return observed, true
}
