package agent

import (
	"context"
	"errors"
	"time"

	"cleathold/internal/admin"
	"cleathold/internal/rollout"
)

// carryOutDuty carries out the assignment of this sender: it sends the exclusions and acts on the grant, if any.
func (s *supervisor) carryOutDuty(ctx context.Context) {
	assigned := s.agent.fleet.assignment(s.observation, s.lastTakenEpoch)
	s.sendExclusions(ctx, assigned)
	grant := assigned.grant
	if grant == nil || !s.process.running() {
		return
	}
	switch assigned.duty {
	case rollout.EndLease:
		s.endLease(ctx, grant.Epoch)
	case rollout.RenewLease:
		if leader, _ := s.agent.leadership(); leader != "" {
			s.renewLease(ctx, grant.Epoch, assigned.timing.Lease)
		}
	case rollout.FailGrant:
		s.failGrant(ctx, grant, "its agent was started anew in the middle of the change")
	case rollout.TakeGrant:
		if s.lastStatus.Phase == phaseServing {
			s.takeGrant(ctx, grant, assigned.timing)
		}
	}
}

// sendExclusions sends the excluded endpoints to the sender when they have changed. While there are any it repeats them
// periodically, since the sender drops them after a lease.
func (s *supervisor) sendExclusions(ctx context.Context, assigned assignment) {
	leader, _ := s.agent.leadership()
	if leader == "" || !s.exclusions.due(assigned, s.observation.Process, time.Now()) {
		return
	}
	until := time.Now().Add(assigned.timing.Lease)
	err := s.client.exclude(ctx, s.adminIndex(), assigned.exclusionEpoch, until, assigned.excluded)
	if err != nil {
		s.log.Warn("exclusions not sent", "epoch", assigned.exclusionEpoch, "err", err)
		return
	}
	s.exclusions = sentExclusions{assigned.exclusionEpoch, s.observation.Process, time.Now()}
}

// due reports whether the excluded endpoints must be sent to a process. process is empty while it is unknown.
func (e sentExclusions) due(assigned assignment, process string, now time.Time) bool {
	if process == "" {
		return false
	}
	if assigned.exclusionEpoch == e.epoch && process == e.process { // the process has the current list
		return len(assigned.excluded) > 0 && now.Sub(e.at) >= assigned.timing.Lease/3
	}
	return assigned.exclusionEpoch != 0 || len(assigned.excluded) > 0
}

// takeGrant asks the sender to take a grant, which the sender may reject. If the sender takes the grant and it is for a
// version change, takeGrant changes the version and then ends the lease.
func (s *supervisor) takeGrant(ctx context.Context, grant *rollout.Grant, timing rollout.Timing) {
	s.lastTakenEpoch = grant.Epoch
	path := admin.HoldPath
	if grant.Drain || s.cfg.Restart && needsNewProcess(grant.To, s.version()) {
		path = admin.DrainPath
	}
	if err := s.client.take(ctx, s.adminIndex(), path, grant); err != nil {
		s.log.Warn("grant not taken", "epoch", grant.Epoch, "err", err)
		if errors.Is(err, errNoResponse) {
			s.lastTakenEpoch = 0 // retry: the request may not have arrived, and taking the same grant twice is harmless
		}
		return
	}
	s.log.Info("grant taken", "epoch", grant.Epoch, "drain", grant.Drain, "version", grant.To.Name)
	if grant.Drain {
		return
	}
	err := s.changeVersion(ctx, grant, timing)
	if ctx.Err() != nil {
		return // the record has what the agent needs to continue after its restart
	}
	if err != nil {
		s.log.Error("version change failed", "epoch", grant.Epoch, "version", grant.To.Name, "err", err)
		s.failGrant(ctx, grant, err.Error())
		return
	}
	s.log.Info("version changed", "epoch", grant.Epoch, "version", grant.To.Name)
	s.endLease(ctx, grant.Epoch)
}

// failGrant ends the lease of a grant that could not be carried out. The next observation reports the reason to the
// leader.
func (s *supervisor) failGrant(ctx context.Context, grant *rollout.Grant, reason string) {
	s.fault, s.faultEpoch = reason, grant.Epoch
	s.endLease(ctx, grant.Epoch)
}

// endLease makes the sender serve again. If the request does not reach the sender the lease expires.
func (s *supervisor) endLease(ctx context.Context, epoch uint64) {
	if err := s.client.activate(ctx, s.adminIndex(), epoch); err != nil {
		s.log.Warn("lease not ended", "epoch", epoch, "err", err)
	}
}

// renewLease extends the sender's lease. A failure is ignored: a later renewal may still arrive in time, otherwise the
// lease expires.
func (s *supervisor) renewLease(ctx context.Context, epoch uint64, lease time.Duration) {
	_ = s.client.renew(ctx, s.adminIndex(), epoch, time.Now().Add(lease))
}
