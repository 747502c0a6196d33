package agent

import (
	"context"
	"errors"
	"net/url"
	"strconv"
	"time"

	"cleathold/internal/admin"
	"cleathold/internal/rollout"
)

// carryOutDuty does what is agreed on for this sender.
func (s *supervisor) carryOutDuty(ctx context.Context) {
	assigned := s.agent.fleet.assignment(s.observation, s.lastTakenEpoch)
	s.sendExclusions(ctx, assigned)
	grant := assigned.grant
	if grant == nil || !s.process.running() {
		return
	}
	switch assigned.duty {
	case rollout.End:
		s.endLease(ctx, grant.Epoch)
	case rollout.Renew:
		if leader, _ := s.agent.leadership(); leader != "" {
			s.renewLease(ctx, grant.Epoch, assigned.timing.Lease)
		}
	case rollout.Fail:
		s.failGrant(ctx, grant, "its agent was started anew in the middle of the change")
	case rollout.Take:
		if s.lastStatus.Phase == "serving" {
			s.takeGrant(ctx, grant, assigned.timing)
		}
	}
}

// takeGrant takes a grant up: the sender is asked, and it decides.
func (s *supervisor) takeGrant(ctx context.Context, grant *rollout.Grant, timing rollout.Timing) {
	s.lastTakenEpoch = grant.Epoch
	path := admin.HoldPath
	if grant.Drain || s.Restart && s.needsNewProcess(grant.To) {
		path = admin.DrainPath
	}
	query := url.Values{"process": {grant.Process}, "epoch": {strconv.FormatUint(grant.Epoch, 10)}, "by": {unixMillis(grant.By)}, "until": {unixMillis(grant.Until)}}
	if err := s.put(ctx, s.record().Admin, path, query); err != nil {
		s.agent.log.Warn("a grant was not taken up", "sender", s.Name, "epoch", grant.Epoch, "err", err)
		if errors.Is(err, errNoResponse) {
			s.lastTakenEpoch = 0 // it may not have come; the sender tells a repeat from a new one
		}
		return
	}
	s.agent.log.Info("a grant is taken up", "sender", s.Name, "epoch", grant.Epoch, "drain", grant.Drain, "to", grant.To.Name)
	if grant.Drain {
		return
	}
	s.changing = true
	err := s.changeVersion(ctx, grant, timing)
	s.changing = false
	if ctx.Err() != nil {
		return // whoever comes after this agent finds what it needs in the record
	}
	if err != nil {
		s.agent.log.Error("the sender was not changed", "sender", s.Name, "to", grant.To.Name, "err", err)
		s.failGrant(ctx, grant, err.Error())
		return
	}
	s.agent.log.Info("the sender runs another version", "sender", s.Name, "version", grant.To.Name)
	s.endLease(ctx, grant.Epoch)
}

// failGrant ends a grant that came to nothing.
func (s *supervisor) failGrant(ctx context.Context, grant *rollout.Grant, reason string) {
	s.fault, s.faultEpoch = reason, grant.Epoch
	s.endLease(ctx, grant.Epoch)
}

func (s *supervisor) endLease(ctx context.Context, epoch uint64) {
	if err := s.put(ctx, s.record().Admin, admin.ActivatePath, url.Values{"epoch": {strconv.FormatUint(epoch, 10)}}); err != nil {
		s.agent.log.Warn("a lease was not ended; it ends by itself", "sender", s.Name, "epoch", epoch, "err", err)
	}
}

func (s *supervisor) renewLease(ctx context.Context, epoch uint64, lease time.Duration) error {
	return s.put(ctx, s.record().Admin, admin.RenewPath, url.Values{"epoch": {strconv.FormatUint(epoch, 10)}, "until": {unixMillis(time.Now().Add(lease))}})
}

// waitWithLease renews the lease while something is waited for, until it is so or can't be any more.
func (s *supervisor) waitWithLease(ctx context.Context, grant *rollout.Grant, timing rollout.Timing, deadline time.Time, reached func() (bool, error)) error {
	renewed := time.Now()
	for {
		if done, err := reached(); done || err != nil {
			return err
		}
		if time.Now().After(deadline) {
			return errors.New("not in time")
		}
		if time.Since(renewed) > timing.Lease/3 {
			renewed = time.Now()
			s.renewLease(ctx, grant.Epoch, timing.Lease) // one that fails ends the lease, and no change by itself
		}
		if !sleep(ctx, changePollInterval) {
			return ctx.Err()
		}
	}
}
