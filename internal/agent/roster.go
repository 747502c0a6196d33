package agent

import (
	"context"
	"fmt"
	"slices"
	"time"

	"cleathold/internal/rollout"
)

// rosterDigest is what the log should know of this agent's senders, and differs from it as text.
func (a *Agent) rosterDigest() string {
	text := ""
	a.fleet.withLock(func(state *rollout.State, _ map[string]rollout.Observation) {
		for _, s := range a.supervisors {
			member := state.Members[s.Name]
			text += fmt.Sprint(s.Name, member != nil && member.Agent == a.cfg.Name && member.Building == s.Building && slices.Equal(member.Reach, s.Admin[:]), ";")
		}
	})
	return text
}

// updateRoster enters this agent's senders, if the log has not the same.
func (a *Agent) updateRoster(ctx context.Context) error {
	command := rollout.Command{Verb: rollout.SetRoster, At: time.Now().UTC(), By: a.cfg.Name}
	same := true
	a.fleet.withLock(func(state *rollout.State, _ map[string]rollout.Observation) {
		own := 0
		for _, member := range state.Members {
			if member.Agent == a.cfg.Name {
				own++
			}
		}
		same = own == len(a.supervisors)
		for _, s := range a.supervisors {
			member := state.Members[s.Name]
			same = same && member != nil && member.Agent == a.cfg.Name && member.Building == s.Building && slices.Equal(member.Reach, s.Admin[:])
			command.Roster = append(command.Roster, rollout.Member{Name: s.Name, Building: s.Building, Agent: a.cfg.Name, Version: s.version(), Reach: s.Admin[:]})
		}
	})
	if same {
		return nil
	}
	_, err := a.propose(ctx, command)
	if err != nil {
		a.log.Warn("this agent's senders are not in the roster", "err", err)
	}
	return err
}
