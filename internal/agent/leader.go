package agent

import (
	"context"
	"time"

	"cleathold/internal/rollout"
)

// runLeader proposes the next commands of the fleet's plans while this agent leads.
func (a *Agent) runLeader(ctx context.Context) {
	var watch rollout.Watch
	led := false
	for sleep(ctx, leaderInterval) {
		if _, leads := a.leadership(); !leads {
			led = false
			continue
		}
		if !led { // observations from an earlier term as leader are not a valid baseline
			watch, led = rollout.Watch{}, true
		}
		for _, command := range a.nextCommands(&watch, time.Now().UTC()) {
			if command.By == "" {
				command.By = a.cfg.Name
			}
			if _, err := a.propose(ctx, command); err != nil {
				a.log.Debug("proposal failed", "command", command.Verb, "err", err)
				break
			}
		}
	}
}

// nextCommands returns the commands that the leader should propose now. If the fleet has no terms yet this is a command
// that sets those of this agent's configuration.
func (a *Agent) nextCommands(watch *rollout.Watch, now time.Time) (commands []rollout.Command) {
	a.fleet.withLock(func(state *rollout.State, observations map[string]rollout.Observation) {
		if state.Terms.Budget.Fleet != 0 {
			commands = state.Next(observations, watch, now)
			return
		}
		terms := a.cfg.Terms
		commands = []rollout.Command{{
			Verb: rollout.SetTerms, At: now, By: a.cfg.Name, Reason: "the settings of the first leader", Terms: &terms,
		}}
	})
	return commands
}
