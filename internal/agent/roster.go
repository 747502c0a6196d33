package agent

import (
	"context"
	"slices"
	"time"

	"cleathold/internal/rollout"
)

// enrolled reports whether a sender's roster entry, which may be nil, matches this agent's configuration.
func (a *Agent) enrolled(member *rollout.Member, sender Sender) bool {
	return member != nil && member.Agent == a.cfg.Name && member.Building == sender.Building &&
		slices.Equal(member.Reach, sender.Admin[:])
}

// rosterMatches reports for each of this agent's senders whether it is enrolled.
func (a *Agent) rosterMatches() []bool {
	matches := make([]bool, 0, len(a.supervisors))
	a.fleet.withLock(func(state *rollout.State, _ map[string]rollout.Observation) {
		for _, s := range a.supervisors {
			matches = append(matches, a.enrolled(state.Members[s.cfg.Name], s.cfg))
		}
	})
	return matches
}

// updateRoster proposes this agent's senders for the roster, unless the roster has exactly these already.
func (a *Agent) updateRoster(ctx context.Context) error {
	command := rollout.Command{Verb: rollout.SetRoster, At: time.Now().UTC(), By: a.cfg.Name}
	complete := true
	a.fleet.withLock(func(state *rollout.State, _ map[string]rollout.Observation) {
		own := 0
		for _, member := range state.Members {
			if member.Agent == a.cfg.Name {
				own++
			}
		}
		complete = own == len(a.supervisors)
		for _, s := range a.supervisors {
			complete = complete && a.enrolled(state.Members[s.cfg.Name], s.cfg)
			command.Roster = append(command.Roster, rollout.Member{
				Name: s.cfg.Name, Building: s.cfg.Building, Agent: a.cfg.Name, Version: s.version(), Reach: s.cfg.Admin[:],
			})
		}
	})
	if complete {
		return nil
	}
	_, err := a.propose(ctx, command)
	if err != nil {
		a.log.Warn("roster update failed", "err", err)
	}
	return err
}
