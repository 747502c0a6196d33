package agent

import (
	"context"
	"log/slog"
	"path/filepath"
	"time"

	"cleathold/internal/admin"
	"cleathold/internal/rollout"
)

// firstResponseTimeout is how long a process may neither answer nor end after its start. Then it is killed.
const firstResponseTimeout = 10 * time.Second

// supervisor runs and observes one sender, and carries out the grants of the fleet for it. Its fields belong to the
// goroutine of run, but for those that are safe for concurrent use.
type supervisor struct {
	cfg    Sender
	agent  *Agent
	log    *slog.Logger
	client *senderClient
	record *recordFile

	process          *process  // nil before the first start, and after the end was noticed
	processStartedAt time.Time // as far as this agent knows
	answered         bool      // the process has answered a poll
	backoff          restartBackoff
	restartAt        time.Time // when a process that has ended is started again
	crashes          int       // since the agent's start
	logTrimmedAt     time.Time

	lastStatus  admin.Status
	observation rollout.Observation // the latest

	lastTakenEpoch uint64 // epoch of the grant that the sender was asked to take last
	faultEpoch     uint64 // epoch of the last grant that failed
	fault          string // why it failed
	exclusions     sentExclusions
}

// sentExclusions tells which list of excluded endpoints a sender has got.
type sentExclusions struct {
	epoch   uint64
	process string // id of the process that got it
	at      time.Time
}

func newSupervisor(a *Agent, sender Sender) (*supervisor, error) {
	rec, err := openRecord(sender.Name, filepath.Join(a.cfg.Folder, sender.Name+".json"), a.cfg.FirstVersion)
	if err != nil {
		return nil, err
	}
	return &supervisor{
		cfg: sender, agent: a, log: a.log.With("sender", sender.Name), client: newSenderClient(sender, &a.traffic),
		record: rec,
	}, nil
}

// version returns the version that the sender runs. It may be called from any goroutine.
func (s *supervisor) version() rollout.Version { return s.record.get().Version }

// adminIndex returns which admin address the sender's process has. It may be called from any goroutine.
func (s *supervisor) adminIndex() int { return s.record.get().AdminIndex }

func (s *supervisor) logPath() string { return filepath.Join(s.agent.cfg.Folder, s.cfg.Name+".log") }

// run supervises the sender until the context ends. The sender's process goes on.
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

// recoverProcesses adopts the process that this agent has left at its last end. Of two, where it ended within a
// hand-over, the successor is kept if it comes to serve.
func (s *supervisor) recoverProcesses(ctx context.Context) {
	rec := s.record.get()
	if rec.Pid > 0 {
		if p, err := adoptProcess(rec.Pid, rec.StartTime); err == nil {
			s.process, s.processStartedAt, s.answered = p, time.Now(), true
		}
	}
	if rec.Successor == nil {
		return
	}
	p, err := adoptProcess(rec.Successor.Pid, rec.Successor.StartTime)
	if err == nil {
		if s.awaitServing(ctx, p, 1-rec.AdminIndex) == nil {
			s.promote(p, *rec.Successor, 1-rec.AdminIndex)
			return
		}
		p.kill()
	}
	s.updateRecord(func(r *record) { r.Successor = nil })
}

// poll polls the sender and publishes the observation. A process that has ended is started again, and one that has
// never answered is killed.
func (s *supervisor) poll(ctx context.Context) {
	if time.Since(s.logTrimmedAt) > logTrimInterval {
		s.logTrimmedAt = time.Now()
		trimLog(s.logPath())
	}
	now := time.Now()
	if !s.process.running() {
		s.restartProcess(ctx, now)
		return
	}
	status, err := s.client.status(ctx, s.adminIndex())
	if err != nil {
		if !s.answered && now.Sub(s.processStartedAt) > firstResponseTimeout {
			s.log.Error("unresponsive process killed", "pid", s.process.pid, "err", err)
			s.process.kill()
		}
		s.publish(rollout.Observation{Phase: "no answer"}, time.Now())
		return
	}
	s.answered, s.lastStatus = true, status
	observed := observationOf(status)
	version := s.version()
	observed.Version = version.Name
	observed.Serving = observed.Serving && s.client.checkHealth(ctx) == nil
	if status.Release != "" && version.Config == "" {
		observed.Version = status.Release // another one where the process was not started by this agent
	}
	s.publish(observed, now)
}

// restartProcess starts the sender's process again, once the backoff allows it.
func (s *supervisor) restartProcess(ctx context.Context, now time.Time) {
	if s.process != nil {
		s.crashes++
		s.restartAt = s.backoff.nextStart(now.Sub(s.processStartedAt), now)
		s.log.Warn("process ended", "pid", s.process.pid, "exit_status", s.process.exitStatus,
			"restart_in", s.restartAt.Sub(now).Round(time.Millisecond))
		s.process = nil
	}
	if now.Before(s.restartAt) {
		s.publish(rollout.Observation{Phase: "ended, to be started again"}, now)
		return
	}
	s.startProcess(ctx)
}

// startProcess starts the sender's process, or adopts one that answers at its admin address.
func (s *supervisor) startProcess(ctx context.Context) {
	rec := s.record.get()
	if status, err := s.client.status(ctx, rec.AdminIndex); err == nil && status.Pid > 0 {
		if p, err := adoptProcess(status.Pid, ""); err == nil {
			s.log.Warn("unknown process adopted", "pid", status.Pid)
			s.setProcess(p)
			return
		}
	}
	s.backoff.started(time.Now())
	p, err := s.launch(rec.Version, rec.AdminIndex)
	if err != nil {
		s.log.Error("process not started", "err", err)
		s.restartAt = s.backoff.nextStart(0, time.Now())
		s.publish(rollout.Observation{Phase: err.Error()}, time.Now())
		return
	}
	s.setProcess(p)
}

// launch starts a process of the sender with a version and an admin address.
func (s *supervisor) launch(v rollout.Version, adminIndex int) (*process, error) {
	env := []string{
		"LB_CONFIG=" + s.cfg.Config, "LB_ADMIN=" + s.cfg.Admin[adminIndex], "CLEATHOLD_RELEASE=" + v.Name,
	}
	return launchProcess(v.Program, env, s.logPath())
}

// setProcess makes a process that has not answered yet the sender's.
func (s *supervisor) setProcess(p *process) {
	s.process, s.processStartedAt, s.answered = p, time.Now(), false
	s.updateRecord(func(r *record) { r.Pid, r.StartTime = p.pid, p.startTime })
}

// updateRecord changes the record where the sender goes on whether or not the change can be written.
func (s *supervisor) updateRecord(change func(*record)) {
	if err := s.record.update(change); err != nil {
		s.log.Error("record not written", "err", err)
	}
}

// publish completes an observation of the sender by what its agent knows, and enters it.
func (s *supervisor) publish(observed rollout.Observation, at time.Time) {
	observed.Sender, observed.At = s.cfg.Name, at.UTC().Round(0)
	observed.Facts.Restarts = s.crashes
	observed.FaultEpoch, observed.Fault = s.faultEpoch, s.fault
	s.observation = observed
	s.agent.fleet.observe(observed)
}
