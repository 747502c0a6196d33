package agent

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"cleathold/internal/admin"
	"cleathold/internal/rollout"
)

// Times of a change.
const (
	readyTimeout         = 8 * time.Second // a process that takes over serves within this
	reloadTimeout        = 3 * time.Second // new settings are in force within this
	settleTimeout        = time.Minute     // a sender that is to be restarted may work off what it holds for so long
	changePollInterval   = 50 * time.Millisecond
	firstResponseTimeout = 10 * time.Second // a process that neither answers nor ends within this is killed
)

// supervisor looks after one sender. All of it belongs to its goroutine, but for the record, which others may ask for.
type supervisor struct {
	Sender
	agent      *Agent
	recordPath string // of the record
	http       *http.Client

	mu  sync.Mutex
	rec record

	process          *process
	processStartedAt time.Time // of the process, as far as this agent knows
	answered         bool      // it has answered since
	restartAt        time.Time // when one that has ended is started again
	backoff          restartBackoff
	crashes          int
	lastStatus       admin.Status
	observation      rollout.Observation
	changing         bool // a change is under way: whatever the sender says, it is out

	lastTakenEpoch uint64 // epoch of the grant that was last acted on
	faultEpoch     uint64
	fault          string
	logTrimmedAt   time.Time

	exclusionEpoch   uint64 // what the sender was told of endpoints
	exclusionProcess string
	exclusionsSentAt time.Time
}

func newSupervisor(a *Agent, sender Sender) (*supervisor, error) {
	s := &supervisor{
		Sender: sender, agent: a, recordPath: filepath.Join(a.cfg.Folder, sender.Name+".json"),
		http: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
	}
	text, err := os.ReadFile(s.recordPath)
	switch {
	case errors.Is(err, os.ErrNotExist):
		s.rec = record{Version: a.cfg.First}
	case err != nil:
		return nil, fmt.Errorf("agent: %w", err)
	default:
		if err := json.Unmarshal(text, &s.rec); err != nil {
			return nil, fmt.Errorf("agent: %s: %w; remove it to have the sender run %s", s.recordPath, err, a.cfg.First.Name)
		}
	}
	return s, nil
}

func (s *supervisor) logPath() string { return filepath.Join(s.agent.cfg.Folder, s.Name+".log") }

// run looks after the sender until the context ends. The sender runs on.
func (s *supervisor) run(ctx context.Context) {
	s.recoverProcesses(ctx)
	for {
		s.poll(ctx)
		s.carryOutDuty(ctx)
		if !sleep(ctx, pollInterval) {
			return
		}
	}
}

// recoverProcesses finds the process that an agent before this one has left, or two where it was in the middle of a change.
func (s *supervisor) recoverProcesses(ctx context.Context) {
	rec := s.record()
	if rec.Pid > 0 {
		if p, err := adoptProcess(rec.Pid, rec.StartTime); err == nil {
			s.process, s.processStartedAt, s.answered = p, time.Now(), true
		}
	}
	if rec.Successor == nil {
		return
	}
	s.changing = true
	defer func() { s.changing = false }()
	p, err := adoptProcess(rec.Successor.Pid, rec.Successor.StartTime)
	if err == nil && s.awaitServing(ctx, p, 1-rec.Admin, time.Now().Add(readyTimeout)) == nil {
		s.promote(ctx, p, *rec.Successor, 1-rec.Admin)
		return
	}
	if err == nil {
		p.kill()
	}
	if err := s.updateRecord(func(r *record) { r.Successor = nil }); err != nil {
		s.agent.log.Error("record", "err", err)
	}
}

// processEnv is what a process of the sender is told.
func (s *supervisor) processEnv(v rollout.Version, address int) []string {
	return []string{"LB_CONFIG=" + s.Config, "LB_ADMIN=" + s.Admin[address], "CLEATHOLD_RELEASE=" + v.Name}
}

// startProcess starts the sender's process, unless somebody else has.
func (s *supervisor) startProcess(ctx context.Context) {
	rec := s.record()
	if status, err := s.pollStatus(ctx, rec.Admin); err == nil && status.Pid > 0 {
		if p, err := adoptProcess(status.Pid, ""); err == nil {
			s.agent.log.Warn("a process that this agent did not start runs the sender", "sender", s.Name, "pid", status.Pid)
			s.setProcess(p)
			return
		}
	}
	s.backoff.started(time.Now())
	p, err := launch(rec.Version.Program, s.processEnv(rec.Version, rec.Admin), s.logPath())
	if err != nil {
		s.agent.log.Error("not started", "sender", s.Name, "err", err)
		s.restartAt = s.backoff.nextStart(0, time.Now())
		s.publish(rollout.Observation{Phase: err.Error()}, time.Now())
		return
	}
	s.setProcess(p)
}

func (s *supervisor) setProcess(p *process) {
	s.process, s.processStartedAt, s.answered = p, time.Now(), false
	if err := s.updateRecord(func(r *record) { r.Pid, r.StartTime = p.pid, p.startTime }); err != nil {
		s.agent.log.Error("record", "err", err)
	}
}

// poll asks the sender how it is, and tells.
func (s *supervisor) poll(ctx context.Context) {
	if time.Since(s.logTrimmedAt) > time.Minute {
		s.logTrimmedAt = time.Now()
		trimLog(s.logPath())
	}
	now := time.Now()
	if !s.process.running() {
		if s.process != nil {
			s.crashes++
			s.restartAt = s.backoff.nextStart(now.Sub(s.processStartedAt), now)
			s.agent.log.Warn("the sender's process has ended", "sender", s.Name, "how", s.process.exitStatus, "again", s.restartAt.Sub(now).Round(time.Millisecond))
			s.process = nil
		}
		if now.Before(s.restartAt) {
			s.publish(rollout.Observation{Phase: "ended, to be started again"}, now)
			return
		}
		s.startProcess(ctx)
		return
	}
	status, err := s.pollStatus(ctx, s.record().Admin)
	if err != nil {
		if !s.answered && now.Sub(s.processStartedAt) > firstResponseTimeout {
			s.agent.log.Error("the sender neither answers nor ends: killed", "sender", s.Name, "err", err)
			s.process.kill()
		}
		s.publish(rollout.Observation{Phase: "no answer"}, time.Now())
		return
	}
	s.answered, s.lastStatus = true, status
	observed := observationOf(status)
	observed.Version = s.version().Name
	observed.Serving = observed.Serving && s.checkHealth(ctx) == nil
	if status.Release != "" && status.Release != observed.Version && s.version().Config == "" {
		observed.Version = status.Release // it was started by somebody else
	}
	s.publish(observed, now)
}

// publish enters a sight of the sender.
func (s *supervisor) publish(observed rollout.Observation, at time.Time) {
	observed.Sender, observed.At = s.Name, at.UTC().Round(0)
	observed.Facts.Restarts = s.crashes
	observed.FaultEpoch, observed.Fault = s.faultEpoch, s.fault
	if s.changing {
		observed.Serving = false
	}
	s.observation = observed
	s.agent.fleet.observe(observed)
}
