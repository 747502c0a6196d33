package agent

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"cleathold/internal/admin"
	"cleathold/internal/rollout"
)

const (
	readyTimeout       = 8 * time.Second // from the start of a process until it serves
	reloadTimeout      = 3 * time.Second // from a SIGHUP until the new configuration is in force
	settleTimeout      = time.Minute     // for the outcomes of a drained sender's open messages before its restart
	changePollInterval = 50 * time.Millisecond
)

// The texts of these errors become part of the grant's fault, which operators read.
var (
	errTimeout      = errors.New("not in time")
	errNeverServed  = errors.New("it never served")
	errProcessEnded = errors.New("the process ended")
)

// versionChange is a change of a sender's version under the lease of a grant.
type versionChange struct {
	*supervisor
	epoch uint64        // epoch of the grant
	lease time.Duration // duration of the lease after each renewal
	from  rollout.Version
	to    rollout.Version
}

// needsNewProcess reports whether a version change requires a new process.
func needsNewProcess(to, from rollout.Version) bool {
	return to.Program != "" && to.Program != from.Program
}

// changeVersion changes the sender's version to that of a grant. After an error it restores the former version as far
// as possible.
func (s *supervisor) changeVersion(ctx context.Context, grant *rollout.Grant, timing rollout.Timing) error {
	c := &versionChange{supervisor: s, epoch: grant.Epoch, lease: timing.Lease, from: s.version(), to: grant.To}
	newProcess := needsNewProcess(c.to, c.from)
	if c.to.Program == "" {
		c.to.Program = c.from.Program
	}
	restore := func() error { return nil }
	if c.to.Config != "" {
		var err error
		if restore, err = s.replaceConfig(c.to.Config); err != nil {
			return err
		}
	}
	var err error
	switch {
	case newProcess && s.cfg.Restart:
		err = c.restart(ctx)
	case newProcess:
		err = c.handOver(ctx)
	default:
		err = c.reload(ctx)
	}
	if err == nil || ctx.Err() != nil {
		return err
	}
	if restoreErr := restore(); restoreErr != nil {
		return fmt.Errorf("%w; and the configuration before it is not back: %w", err, restoreErr)
	}
	if c.to.Config != "" && !newProcess && s.process.running() {
		s.process.signal(syscall.SIGHUP)
	}
	return err
}

// replaceConfig replaces the content of the sender's configuration file with that of a release. restore writes the old
// content back.
func (s *supervisor) replaceConfig(folder string) (restore func() error, err error) {
	text, err := os.ReadFile(filepath.Join(folder, s.cfg.Name+".json"))
	if err != nil {
		return nil, fmt.Errorf("the release has no configuration for it: %w", err)
	}
	old, err := os.ReadFile(s.cfg.Config)
	if err != nil {
		return nil, err
	}
	if err := replaceFile(s.cfg.Config, text); err != nil {
		return nil, err
	}
	return func() error { return replaceFile(s.cfg.Config, old) }, nil
}

// await polls reached, and renews the lease, until reached returns true or an error or the timeout is over. A lease
// that can't be renewed expires, but that does not abort the change.
func (c *versionChange) await(ctx context.Context, timeout time.Duration, reached func() (bool, error)) error {
	renewedAt := time.Now()
	deadline := renewedAt.Add(timeout)
	for {
		if done, err := reached(); done || err != nil {
			return err
		}
		if time.Now().After(deadline) {
			return errTimeout
		}
		if time.Since(renewedAt) > c.lease/3 {
			renewedAt = time.Now()
			c.renewLease(ctx, c.epoch, c.lease)
		}
		if !sleep(ctx, changePollInterval) {
			return ctx.Err()
		}
	}
}

// reload makes the process read its configuration file again and waits until it uses the new configuration.
func (c *versionChange) reload(ctx context.Context) error {
	text, err := os.ReadFile(c.cfg.Config)
	if err != nil {
		return err
	}
	digest := admin.Digest(string(text))
	c.process.signal(syscall.SIGHUP)
	err = c.await(ctx, reloadTimeout, func() (bool, error) {
		if !c.process.running() {
			return false, errProcessEnded
		}
		status, err := c.client.status(ctx, c.adminIndex())
		return err == nil && status.Config == digest, nil
	})
	if err != nil {
		return fmt.Errorf("the new configuration is not in force, its log says why: %w", err)
	}
	return c.record.update(func(r *record) { r.Version = c.to })
}

// handOver starts a process with the new version while the old one runs and hands over to it. The successor is entered
// in the record right after its start, so that the agent can find it after a restart of its own.
func (c *versionChange) handOver(ctx context.Context) error {
	adminIndex := 1 - c.adminIndex()
	p, err := c.launch(c.to, adminIndex)
	if err != nil {
		return err
	}
	next := successor{c.to, p.pid, p.startTime}
	if err := c.record.update(func(r *record) { r.Successor = &next }); err != nil {
		p.kill()
		return err
	}
	err = c.await(ctx, readyTimeout, func() (bool, error) {
		if !p.running() {
			return false, fmt.Errorf("the new process ended before it served: %s: %s", p.exitStatus, logTail(c.logPath()))
		}
		return c.serves(ctx, p, adminIndex), nil
	})
	if ctx.Err() != nil {
		return err
	}
	if err == nil {
		c.promote(p, next, adminIndex)
		return nil
	}
	p.kill()
	c.updateRecord(func(r *record) { r.Successor = nil })
	return err
}

// promote makes the successor the sender's current process. It stops the old process, unless that has already ended
// after the hand-over.
func (s *supervisor) promote(p *process, next successor, adminIndex int) {
	old := s.process
	s.process, s.processStartedAt, s.answered = p, time.Now(), true
	s.updateRecord(func(r *record) {
		*r = record{Version: next.Version, AdminIndex: adminIndex, Pid: p.pid, StartTime: p.startTime}
	})
	if old.running() {
		old.stop()
	}
}

// restart waits until the drained process has no open messages, stops it and starts the new version. If the new version
// does not start to serve restart starts the old version again.
func (c *versionChange) restart(ctx context.Context) error {
	// Messages that are still open after the timeout stay in the write-ahead log, where the next process finds them.
	c.await(ctx, settleTimeout, func() (bool, error) {
		status, err := c.client.status(ctx, c.adminIndex())
		return err != nil || status.Counts.Open == 0, nil
	})
	if ctx.Err() != nil {
		return ctx.Err()
	}
	err := c.replaceProcess(ctx, c.to)
	if err == nil || ctx.Err() != nil {
		return err
	}
	if restartErr := c.replaceProcess(ctx, c.from); restartErr != nil {
		return fmt.Errorf("%w; and %s was not started again: %w", err, c.from.Name, restartErr)
	}
	return err
}

// replaceProcess stops the sender's process, starts one with the given version and waits until it serves.
func (s *supervisor) replaceProcess(ctx context.Context, v rollout.Version) error {
	if s.process.running() {
		s.process.stop()
	}
	adminIndex := s.adminIndex()
	p, err := s.launch(v, adminIndex)
	if err != nil {
		s.process = nil
		return err
	}
	s.setProcess(p)
	if err := s.awaitServing(ctx, p, adminIndex); err != nil {
		if !p.running() {
			return fmt.Errorf("%w: %s: %s", err, p.exitStatus, logTail(s.logPath()))
		}
		return err
	}
	s.answered = true
	return s.record.update(func(r *record) { r.Version = v })
}

// awaitServing waits until a process serves, for readyTimeout at most. It does not renew the lease.
func (s *supervisor) awaitServing(ctx context.Context, p *process, adminIndex int) error {
	deadline := time.Now().Add(readyTimeout)
	for time.Now().Before(deadline) && p.running() {
		if s.serves(ctx, p, adminIndex) {
			return nil
		}
		if !sleep(ctx, changePollInterval) {
			return ctx.Err()
		}
	}
	return errNeverServed
}

// serves reports whether a process responds at an admin address and serves or is drained.
func (s *supervisor) serves(ctx context.Context, p *process, adminIndex int) bool {
	status, err := s.client.status(ctx, adminIndex)
	return err == nil && status.Pid == p.pid && started(status)
}
