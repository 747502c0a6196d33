package agent

import (
	"context"
	"log/slog"
	"path/filepath"
	"time"

	"cleathold/internal/admin"
	"cleathold/internal/rollout"
)

// firstResponseTimeout is how long after its start a process may run without responding to a poll. After that it is
// killed.
const firstResponseTimeout = 10 * time.Second

// supervisor runs and observes one sender and carries out the grants for it. Only the goroutine of run may access its
// fields, except those that are safe for concurrent use.
type supervisor struct {
	cfg    Sender
	agent  *Agent
	log    *slog.Logger
	client *senderClient
	record *recordFile

	process          *process  // nil before the first start and after its end was detected
	processStartedAt time.Time // time of the start, or of the adoption, of the process
	answered         bool      // the process has responded to a poll
	backoff          restartBackoff
	restartAt        time.Time // when to restart a process that has ended
	crashes          int       // since the agent's start
	logTrimmedAt     time.Time

	lastStatus  admin.Status
	observation rollout.Observation // the latest one

	lastTakenEpoch uint64 // epoch of the latest grant that the sender was asked to take
	faultEpoch     uint64 // epoch of the last grant that failed
	fault          string // why it failed
	exclusions     sentExclusions
}

// sentExclusions identifies the list of excluded endpoints that was last sent to a sender.
type sentExclusions struct {
	epoch   uint64
	process string // ID of the process that received it
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

// version returns the version that the sender runs. It is safe for concurrent use.
func (s *supervisor) version() rollout.Version { return s.record.get().Version }

// adminIndex returns the index of the admin address of the sender's process. It is safe for concurrent use.
func (s *supervisor) adminIndex() int { return s.record.get().AdminIndex }

func (s *supervisor) logPath() string { return filepath.Join(s.agent.cfg.Folder, s.cfg.Name+".log") }

// run supervises the sender until the context ends. The sender's process keeps running.
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

// recoverProcesses adopts the process that the agent's previous run has left. If that run ended during a hand-over
// there may be two processes: then the successor is kept if it starts to serve, and is killed otherwise.
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

// poll polls the sender and publishes the observation. It restarts a process that has ended, and kills one that has not
// responded within firstResponseTimeout of its start.
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
		observed.Version = status.Release // differs from the record if the process was not started by this agent
	}
	s.publish(observed, now)
}

// restartProcess restarts the sender's process as soon as the backoff allows it.
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

// startProcess starts the sender's process, or adopts a process that responds at the sender's admin address.
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

// launch starts a process of the sender with the given version and admin address.
func (s *supervisor) launch(v rollout.Version, adminIndex int) (*process, error) {
	env := []string{
		"LB_CONFIG=" + s.cfg.Config, "LB_ADMIN=" + s.cfg.Admin[adminIndex], "CLEATHOLD_RELEASE=" + v.Name,
	}
	return launchProcess(v.Program, env, s.logPath())
}

// setProcess makes a process that has not responded yet the sender's current one.
func (s *supervisor) setProcess(p *process) {
	s.process, s.processStartedAt, s.answered = p, time.Now(), false
	s.updateRecord(func(r *record) { r.Pid, r.StartTime = p.pid, p.startTime })
}

// updateRecord changes the record and logs a failure. It is for changes after which the sender must continue even if
// they can't be written.
func (s *supervisor) updateRecord(change func(*record)) {
	if err := s.record.update(change); err != nil {
		s.log.Error("record not written", "err", err)
	}
}

// publish adds the fields that only this agent knows to an observation of the sender, and stores it.
func (s *supervisor) publish(observed rollout.Observation, at time.Time) {
	observed.Sender, observed.At = s.cfg.Name, at.UTC().Round(0)
	observed.Counters.Restarts = s.crashes
	observed.FaultEpoch, observed.Fault = s.faultEpoch, s.fault
	s.observation = observed
	s.agent.fleet.observe(observed)
}
