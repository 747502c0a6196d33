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

// changeVersion has the sender run another version. After an error it runs the one that it ran.
func (s *supervisor) changeVersion(ctx context.Context, grant *rollout.Grant, timing rollout.Timing) error {
	old := s.version()
	to := grant.To
	if to.Program == "" {
		to.Program = old.Program
	}
	restore := func() error { return nil }
	if to.Config != "" {
		var err error
		if restore, err = s.replaceConfig(to.Config); err != nil {
			return err
		}
	}
	var err error
	switch {
	case to.Program != old.Program && s.Restart:
		err = s.changeByRestart(ctx, grant, timing, to)
	case to.Program != old.Program:
		err = s.changeByHandover(ctx, grant, timing, to)
	default:
		err = s.reloadConfig(ctx, grant, timing, to)
	}
	if err == nil || ctx.Err() != nil {
		return err
	}
	if restoreErr := restore(); restoreErr != nil {
		return fmt.Errorf("%w; and the configuration before it is not back: %w", err, restoreErr)
	}
	if to.Config != "" && to.Program == old.Program && s.process.running() {
		s.process.signal(syscall.SIGHUP)
	}
	return err
}

// needsNewProcess tells whether a version needs another process.
func (s *supervisor) needsNewProcess(to rollout.Version) bool {
	return to.Program != "" && to.Program != s.version().Program
}

// replaceConfig puts the sender's file of a release in place, and returns the way back.
func (s *supervisor) replaceConfig(folder string) (restore func() error, err error) {
	text, err := os.ReadFile(filepath.Join(folder, s.Name+".json"))
	if err != nil {
		return nil, fmt.Errorf("the release has no configuration for it: %w", err)
	}
	old, err := os.ReadFile(s.Config)
	if err != nil {
		return nil, err
	}
	write := func(text []byte) error {
		if err := os.WriteFile(s.Config+".new", text, 0o600); err != nil {
			return err
		}
		return os.Rename(s.Config+".new", s.Config)
	}
	if err := write(text); err != nil {
		return nil, err
	}
	return func() error { return write(old) }, nil
}

// reloadConfig has the process read its file again.
func (s *supervisor) reloadConfig(ctx context.Context, grant *rollout.Grant, timing rollout.Timing, to rollout.Version) error {
	text, err := os.ReadFile(s.Config)
	if err != nil {
		return err
	}
	wanted := admin.Digest(string(text))
	s.process.signal(syscall.SIGHUP)
	err = s.waitWithLease(ctx, grant, timing, time.Now().Add(reloadTimeout), func() (bool, error) {
		if !s.process.running() {
			return false, errors.New("the process ended")
		}
		status, err := s.pollStatus(ctx, s.record().Admin)
		return err == nil && status.Config == wanted, nil
	})
	if err != nil {
		return fmt.Errorf("the new configuration is not in force, its log says why: %w", err)
	}
	return s.updateRecord(func(r *record) { r.Version = to })
}

// changeByHandover starts the new process beside the old one, which gives way to it.
func (s *supervisor) changeByHandover(ctx context.Context, grant *rollout.Grant, timing rollout.Timing, to rollout.Version) error {
	address := 1 - s.record().Admin
	p, err := launch(to.Program, s.processEnv(to, address), s.logPath())
	if err != nil {
		return err
	}
	next := successor{to, p.pid, p.startTime}
	if err := s.updateRecord(func(r *record) { r.Successor = &next }); err != nil {
		p.kill()
		return err
	}
	err = s.waitWithLease(ctx, grant, timing, time.Now().Add(readyTimeout), func() (bool, error) {
		if !p.running() {
			return false, fmt.Errorf("the new process ended before it served: %s: %s", p.exitStatus, logTail(s.logPath()))
		}
		return s.servesAt(ctx, p, address), nil
	})
	if ctx.Err() != nil {
		return err
	}
	if err == nil {
		s.promote(ctx, p, next, address)
		return nil
	}
	p.kill()
	if forgetErr := s.updateRecord(func(r *record) { r.Successor = nil }); forgetErr != nil {
		s.agent.log.Error("record", "err", forgetErr)
	}
	return err
}

// servesAt tells whether a process serves at a second address.
func (s *supervisor) servesAt(ctx context.Context, p *process, address int) bool {
	status, err := s.pollStatus(ctx, address)
	return err == nil && status.Pid == p.pid && (status.Phase == "serving" || status.Phase == "drained")
}

// awaitServing waits for a process that an agent before this one started.
func (s *supervisor) awaitServing(ctx context.Context, p *process, address int, deadline time.Time) error {
	for time.Now().Before(deadline) && p.running() {
		if s.servesAt(ctx, p, address) {
			return nil
		}
		if !sleep(ctx, changePollInterval) {
			return ctx.Err()
		}
	}
	return errors.New("it never served")
}

// promote makes the new process the sender's, and sees the old one off.
func (s *supervisor) promote(ctx context.Context, p *process, next successor, address int) {
	old := s.process
	s.process, s.processStartedAt, s.answered = p, time.Now(), true
	err := s.updateRecord(func(r *record) {
		r.Version, r.Admin, r.Pid, r.StartTime, r.Successor = next.Version, address, p.pid, p.startTime, nil
	})
	if err != nil {
		s.agent.log.Error("record", "err", err)
	}
	if old.running() {
		old.stop() // it may have ended by itself
	}
}

// changeByRestart waits until the drained process owes nothing, ends it and starts the new one. If that does not come
// to serve the old one is started again.
func (s *supervisor) changeByRestart(ctx context.Context, grant *rollout.Grant, timing rollout.Timing, to rollout.Version) error {
	s.waitWithLease(ctx, grant, timing, time.Now().Add(settleTimeout), func() (bool, error) { // what it still owes the next one takes up
		status, err := s.pollStatus(ctx, s.record().Admin)
		return err != nil || status.Counts.Open == 0, nil
	})
	if ctx.Err() != nil {
		return ctx.Err()
	}
	old := s.version()
	err := s.replaceProcess(ctx, to)
	if err == nil || ctx.Err() != nil {
		return err
	}
	if restartErr := s.replaceProcess(ctx, old); restartErr != nil {
		return fmt.Errorf("%w; and %s was not started again: %w", err, old.Name, restartErr)
	}
	return err
}

// replaceProcess ends the process and has another version in its place.
func (s *supervisor) replaceProcess(ctx context.Context, v rollout.Version) error {
	if s.process.running() {
		s.process.stop()
	}
	address := s.record().Admin
	p, err := launch(v.Program, s.processEnv(v, address), s.logPath())
	if err != nil {
		s.process = nil
		return err
	}
	s.setProcess(p)
	if err := s.awaitServing(ctx, p, address, time.Now().Add(readyTimeout)); err != nil {
		if !p.running() {
			return fmt.Errorf("%w: %s: %s", err, p.exitStatus, logTail(s.logPath()))
		}
		return err
	}
	s.answered = true
	return s.updateRecord(func(r *record) { r.Version = v })
}
