package agent

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"cleathold/internal/admin"
	"cleathold/internal/rollout"
)

// maxRemotePolls senders are asked at once.
const maxRemotePolls = 16

// observeRemoteSenders is what the leader does about senders whose agents are silent: it asks them itself, so that a fleet whose agent is
// away is not taken for one that is out. What it sees counts for the budget alone: such senders get no grants, and their
// open ones are not closed by it. Where second addresses can't be reached from here they stay unknown.
func (a *Agent) observeRemoteSenders(ctx context.Context) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for sleep(ctx, pollInterval) {
		if _, leads := a.leadership(); !leads {
			continue
		}
		type target struct {
			last  rollout.Observation
			reach []string
		}
		var targets []target
		a.fleet.withLock(func(state *rollout.State, observations map[string]rollout.Observation) {
			for name, m := range state.Members {
				observed, some := observations[name]
				if !some { // since this agent leads nobody has told of it
					observed = rollout.Observation{Sender: name, Version: m.Version.Name}
				}
				if m.Agent != a.cfg.Name && time.Since(observed.At) > state.Terms.Timing.Fresh*6/10 {
					targets = append(targets, target{observed, m.Reach})
				}
			}
		})
		slots := make(chan struct{}, maxRemotePolls)
		var wg sync.WaitGroup
		for _, target := range targets {
			slots <- struct{}{}
			wg.Go(func() {
				defer func() { <-slots }()
				for _, addr := range target.reach {
					if observed, ok := a.pollRemote(ctx, client, addr, target.last); ok {
						a.fleet.observe(observed)
						return
					}
				}
			})
		}
		wg.Wait()
	}
}

// pollRemote asks a sender at one of its second addresses. What only its agent knows is as it was.
func (a *Agent) pollRemote(ctx context.Context, client *http.Client, addr string, last rollout.Observation) (rollout.Observation, bool) {
	now := time.Now()
	ctx, cancel := context.WithDeadline(ctx, now.Add(callTimeout/2))
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+admin.StatusPath, nil)
	if err != nil {
		return last, false
	}
	text, err := fetch(client, request)
	var status admin.Status
	if err != nil || json.Unmarshal(text, &status) != nil || status.Name != last.Sender || status.Phase != "serving" && status.Phase != "drained" {
		return last, false
	}
	observed := observationOf(status)
	observed.Sender, observed.At, observed.Far, observed.Version = last.Sender, now.UTC().Round(0), true, last.Version
	observed.Facts.Restarts, observed.FaultEpoch, observed.Fault = last.Facts.Restarts, last.FaultEpoch, last.Fault
	return observed, true
}
