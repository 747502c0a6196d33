package agent

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/tidwall/gjson"

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

// record is what an agent must know of a sender after its own restart.
type record struct {
	Version   rollout.Version `json:"version"` // that its process runs
	Admin     int             `json:"admin"`   // which of its second addresses it has
	Pid       int             `json:"pid,omitempty"`
	StartTime string          `json:"start,omitempty"`
	Successor *successor      `json:"heir,omitempty"` // a process that was to take over
}

type successor struct {
	Version   rollout.Version `json:"version"`
	Pid       int             `json:"pid"`
	StartTime string          `json:"start"`
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

// version is what the sender runs.
func (s *supervisor) version() rollout.Version {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rec.Version
}

// updateRecord changes the record, on disk first.
func (s *supervisor) updateRecord(change func(*record)) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	changed := s.rec
	change(&changed)
	text, err := json.Marshal(changed)
	if err == nil {
		if err = os.WriteFile(s.recordPath+".new", text, 0o600); err == nil {
			err = os.Rename(s.recordPath+".new", s.recordPath)
		}
	}
	if err != nil {
		return fmt.Errorf("agent: the record of %s: %w", s.Name, err)
	}
	s.rec = changed
	return nil
}

func (s *supervisor) record() record {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rec
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

// sendExclusions tells the sender which endpoints are out, again and again while any is: it forgets by itself.
func (s *supervisor) sendExclusions(ctx context.Context, assigned assignment) {
	leader, _ := s.agent.leadership()
	current := assigned.exclusionEpoch == s.exclusionEpoch && s.observation.Process == s.exclusionProcess
	if leader == "" || s.observation.Process == "" || current && (len(assigned.excluded) == 0 || time.Since(s.exclusionsSentAt) < assigned.timing.Lease/3) {
		return
	}
	if assigned.exclusionEpoch == 0 && len(assigned.excluded) == 0 {
		return
	}
	query := url.Values{"epoch": {strconv.FormatUint(assigned.exclusionEpoch, 10)}, "until": {unixMillis(time.Now().Add(assigned.timing.Lease))}, "id": assigned.excluded}
	if err := s.put(ctx, s.record().Admin, admin.ExclusionsPath, query); err != nil {
		s.agent.log.Warn("the sender was not told which endpoints are out", "sender", s.Name, "err", err)
		return
	}
	s.exclusionEpoch, s.exclusionProcess, s.exclusionsSentAt = assigned.exclusionEpoch, s.observation.Process, time.Now()
}

// endpoints are the endpoints that the sender knows of.
func (s *supervisor) endpoints(ctx context.Context) ([]rollout.Endpoint, error) {
	text, err := s.call(ctx, http.MethodGet, s.Reach[s.record().Admin], admin.TargetsPath)
	if err != nil {
		return nil, err
	}
	var list []rollout.Endpoint
	return list, json.Unmarshal(text, &list)
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

// needsNewProcess tells whether a version needs another process.
func (s *supervisor) needsNewProcess(to rollout.Version) bool {
	return to.Program != "" && to.Program != s.version().Program
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

// logTail is the end of a log.
func logTail(path string) string {
	const most = 300
	text, err := os.ReadFile(path)
	if err != nil {
		return err.Error()
	}
	return string(text[max(0, len(text)-most):])
}

// errNoResponse tells that a sender may or may not have had a call.
var errNoResponse = errors.New("no answer")

// put makes one call of the second address.
func (s *supervisor) put(ctx context.Context, address int, path string, query url.Values) error {
	_, err := s.call(ctx, http.MethodPut, s.Reach[address], path+"?"+query.Encode())
	return err
}

// pollStatus asks the process at a second address how it is.
func (s *supervisor) pollStatus(ctx context.Context, address int) (status admin.Status, err error) {
	text, err := s.call(ctx, http.MethodGet, s.Reach[address], admin.StatusPath)
	if err == nil {
		err = json.Unmarshal(text, &status)
	}
	return status, err
}

// checkHealth asks at the clients' address, as clients' front does.
func (s *supervisor) checkHealth(ctx context.Context) error {
	text, err := os.ReadFile(s.Config)
	if err != nil {
		return err
	}
	_, err = s.call(ctx, http.MethodGet, gjson.GetBytes(text, "listen").String(), "/_health")
	return err
}

func (s *supervisor) call(ctx context.Context, method, addr, path string) ([]byte, error) {
	ctx, cancel := context.WithDeadline(ctx, time.Now().Add(callTimeout))
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, nil)
	if err != nil {
		return nil, err
	}
	text, err := fetch(s.http, request)
	s.agent.traffic.polls.Add(1)
	s.agent.traffic.polledBytes.Add(int64(len(text)))
	return text, err
}
