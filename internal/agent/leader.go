package agent

import (
	"context"
	"time"

	"cleathold/internal/rollout"
)

// runLeader is what the leader does: it proposes what comes next.
func (a *Agent) runLeader(ctx context.Context) {
	var watch rollout.Watch
	led := false
	for sleep(ctx, leaderInterval) {
		if _, leads := a.leadership(); !leads {
			led = false
			continue
		}
		if !led { // what an earlier term saw is no base for this one
			watch, led = rollout.Watch{}, true
		}
		var commands []rollout.Command
		now := time.Now().UTC()
		a.fleet.withLock(func(state *rollout.State, observations map[string]rollout.Observation) {
			if state.Terms.Budget.Fleet == 0 {
				terms := a.cfg.Terms
				commands = append(commands, rollout.Command{Verb: rollout.SetTerms, At: now, By: a.cfg.Name, Reason: "the settings of the first leader", Terms: &terms})
				return
			}
			commands = state.Next(observations, &watch, now)
		})
		for _, command := range commands {
			if command.By == "" {
				command.By = a.cfg.Name
			}
			if _, err := a.propose(ctx, command); err != nil {
				a.log.Debug("not agreed on", "what", command.Verb, "err", err)
				break
			}
		}
	}
}
