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

// farMost senders are asked at once.
const farMost = 16

// overlook is what the leader does about senders whose agents are silent: it asks them itself, so that a fleet whose agent is
// away is not taken for one that is out. What it sees counts for the budget alone: such senders get no grants, and their
// open ones are not closed by it. Where second addresses can't be reached from here they stay unknown.
func (a *Agent) overlook(ctx context.Context) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for pause(ctx, lookSpan) {
		if _, leads := a.contact(); !leads {
			continue
		}
		type target struct {
			last  rollout.Observation
			reach []string
		}
		var list []target
		a.fleet.with(func(s *rollout.State, sights map[string]rollout.Observation) {
			for name, m := range s.Members {
				v, some := sights[name]
				if !some { // since this agent leads nobody has told of it
					v = rollout.Observation{Sender: name, Version: m.Version.Name}
				}
				if m.Agent != a.cfg.Name && time.Since(v.At) > s.Terms.Timing.Fresh*6/10 {
					list = append(list, target{v, m.Reach})
				}
			}
		})
		slots := make(chan struct{}, farMost)
		var wg sync.WaitGroup
		for _, t := range list {
			slots <- struct{}{}
			wg.Go(func() {
				defer func() { <-slots }()
				for _, addr := range t.reach {
					if v, ok := a.farSight(ctx, client, addr, t.last); ok {
						a.fleet.saw(v)
						return
					}
				}
			})
		}
		wg.Wait()
	}
}

// farSight asks a sender at one of its second addresses. What only its agent knows is as it was.
func (a *Agent) farSight(ctx context.Context, client *http.Client, addr string, last rollout.Observation) (rollout.Observation, bool) {
	now := time.Now()
	ctx, cancel := context.WithDeadline(ctx, now.Add(callSpan/2))
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+admin.StatusPath, nil)
	if err != nil {
		return last, false
	}
	text, err := fetch(client, r)
	var s admin.Status
	if err != nil || json.Unmarshal(text, &s) != nil || s.Name != last.Sender || s.Phase != "serving" && s.Phase != "drained" {
		return last, false
	}
	v := sightOf(s)
	v.Sender, v.At, v.Far, v.Version = last.Sender, now.UTC().Round(0), true, last.Version
	v.Facts.Restarts, v.FaultEpoch, v.Fault = last.Facts.Restarts, last.FaultEpoch, last.Fault
	return v, true
}

// sightOf is what a status shows.
func sightOf(s admin.Status) rollout.Observation {
	return rollout.Observation{
		Serving: s.Phase == "serving" && !s.LeaseActive, Process: s.Process, Epoch: s.Epoch, Ended: s.Ended, Drained: s.Phase == "drained",
		Open: s.Counts.Open, Phase: s.Phase,
		Facts: rollout.Counters{
			Accepted: s.Counts.Taken, Rejected: s.Counts.Refused, Delivered: s.Counts.Delivered, Deferred: s.Counts.Deferred,
			Failed: s.Counts.Undeliverable, Called: s.Counts.Called, Late: s.Counts.Late, FirstCall: s.Counts.FirstCall, MemoryMB: s.MemoryMB,
		},
	}
}
