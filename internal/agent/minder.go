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
	readySpan  = 8 * time.Second // a process that takes over serves within this
	tuneSpan   = 3 * time.Second // new settings are in force within this
	emptySpan  = time.Minute     // a sender that is to be restarted may work off what it holds for so long
	changeTick = 50 * time.Millisecond
	startSpan  = 10 * time.Second // a process that neither answers nor ends within this is killed
)

// minder looks after one sender. All of it belongs to its goroutine, but for the record, which others may ask for.
type minder struct {
	Sender
	a    *Agent
	path string // of the record
	http *http.Client

	mu  sync.Mutex
	rec record

	proc    *child
	began   time.Time // of the process, as far as this agent knows
	answers bool      // it has answered since
	restart time.Time // when one that has ended is started again
	pace    pace
	crashes int
	status  admin.Status
	sight   rollout.Observation
	busy    bool // a change is under way: whatever the sender says, it is out

	tried      uint64 // epoch of the grant that was last acted on
	faultEpoch uint64
	fault      string
	trimmed    time.Time

	asideEpoch   uint64 // what the sender was told of endpoints
	asideProcess string
	asideAt      time.Time
}

// record is what an agent must know of a sender after its own restart.
type record struct {
	Version rollout.Version `json:"version"` // that its process runs
	Admin   int             `json:"admin"`   // which of its second addresses it has
	Pid     int             `json:"pid,omitempty"`
	Start   string          `json:"start,omitempty"`
	Heir    *heir           `json:"heir,omitempty"` // a process that was to take over
}

type heir struct {
	Version rollout.Version `json:"version"`
	Pid     int             `json:"pid"`
	Start   string          `json:"start"`
}

func newMinder(a *Agent, s Sender) (*minder, error) {
	m := &minder{
		Sender: s, a: a, path: filepath.Join(a.cfg.Folder, s.Name+".json"),
		http: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
	}
	text, err := os.ReadFile(m.path)
	switch {
	case errors.Is(err, os.ErrNotExist):
		m.rec = record{Version: a.cfg.First}
	case err != nil:
		return nil, fmt.Errorf("agent: %w", err)
	default:
		if err := json.Unmarshal(text, &m.rec); err != nil {
			return nil, fmt.Errorf("agent: %s: %w; remove it to have the sender run %s", m.path, err, a.cfg.First.Name)
		}
	}
	return m, nil
}

// running is what the sender runs.
func (m *minder) running() rollout.Version {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.rec.Version
}

// keep changes the record, on disk first.
func (m *minder) keep(change func(*record)) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	next := m.rec
	change(&next)
	text, err := json.Marshal(next)
	if err == nil {
		if err = os.WriteFile(m.path+".new", text, 0o600); err == nil {
			err = os.Rename(m.path+".new", m.path)
		}
	}
	if err != nil {
		return fmt.Errorf("agent: the record of %s: %w", m.Name, err)
	}
	m.rec = next
	return nil
}

func (m *minder) record() record {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.rec
}

func (m *minder) logPath() string { return filepath.Join(m.a.cfg.Folder, m.Name+".log") }

// run looks after the sender until the context ends. The sender runs on.
func (m *minder) run(ctx context.Context) {
	m.takeUp(ctx)
	for {
		m.look(ctx)
		m.mind(ctx)
		if !pause(ctx, lookSpan) {
			return
		}
	}
}

// takeUp finds the process that an agent before this one has left, or two where it was in the middle of a change.
func (m *minder) takeUp(ctx context.Context) {
	rec := m.record()
	if rec.Pid > 0 {
		if k, err := adopt(rec.Pid, rec.Start); err == nil {
			m.proc, m.began, m.answers = k, time.Now(), true
		}
	}
	if rec.Heir == nil {
		return
	}
	m.busy = true
	defer func() { m.busy = false }()
	k, err := adopt(rec.Heir.Pid, rec.Heir.Start)
	if err == nil && m.awaitHeir(ctx, k, 1-rec.Admin, time.Now().Add(readySpan)) == nil {
		m.succeed(ctx, k, *rec.Heir, 1-rec.Admin)
		return
	}
	if err == nil {
		k.kill()
	}
	if err := m.keep(func(r *record) { r.Heir = nil }); err != nil {
		m.a.log.Error("record", "err", err)
	}
}

// env is what a process of the sender is told.
func (m *minder) env(v rollout.Version, address int) []string {
	return []string{"LB_CONFIG=" + m.Config, "LB_ADMIN=" + m.Admin[address], "CLEATHOLD_RELEASE=" + v.Name}
}

// begin starts the sender's process, unless somebody else has.
func (m *minder) begin(ctx context.Context) {
	rec := m.record()
	if s, err := m.ask(ctx, rec.Admin); err == nil && s.Pid > 0 {
		if k, err := adopt(s.Pid, ""); err == nil {
			m.a.log.Warn("a process that this agent did not start runs the sender", "sender", m.Name, "pid", s.Pid)
			m.took(k)
			return
		}
	}
	m.pace.started(time.Now())
	k, err := start(rec.Version.Program, m.env(rec.Version, rec.Admin), m.logPath())
	if err != nil {
		m.a.log.Error("not started", "sender", m.Name, "err", err)
		m.restart = m.pace.next(0, time.Now())
		m.tell(rollout.Observation{Phase: err.Error()}, time.Now())
		return
	}
	m.took(k)
}

func (m *minder) took(k *child) {
	m.proc, m.began, m.answers = k, time.Now(), false
	if err := m.keep(func(r *record) { r.Pid, r.Start = k.pid, k.start }); err != nil {
		m.a.log.Error("record", "err", err)
	}
}

// look asks the sender how it is, and tells.
func (m *minder) look(ctx context.Context) {
	if time.Since(m.trimmed) > time.Minute {
		m.trimmed = time.Now()
		trimLog(m.logPath())
	}
	now := time.Now()
	if !m.proc.runs() {
		if m.proc != nil {
			m.crashes++
			m.restart = m.pace.next(now.Sub(m.began), now)
			m.a.log.Warn("the sender's process has ended", "sender", m.Name, "how", m.proc.how, "again", m.restart.Sub(now).Round(time.Millisecond))
			m.proc = nil
		}
		if now.Before(m.restart) {
			m.tell(rollout.Observation{Phase: "ended, to be started again"}, now)
			return
		}
		m.begin(ctx)
		return
	}
	s, err := m.ask(ctx, m.record().Admin)
	if err != nil {
		if !m.answers && now.Sub(m.began) > startSpan {
			m.a.log.Error("the sender neither answers nor ends: killed", "sender", m.Name, "err", err)
			m.proc.kill()
		}
		m.tell(rollout.Observation{Phase: "no answer"}, time.Now())
		return
	}
	m.answers, m.status = true, s
	v := sightOf(s)
	v.Version = m.running().Name
	v.Serving = v.Serving && m.healthy(ctx) == nil
	if s.Release != "" && s.Release != v.Version && m.running().Config == "" {
		v.Version = s.Release // it was started by somebody else
	}
	m.tell(v, now)
}

// tell enters a sight of the sender.
func (m *minder) tell(v rollout.Observation, at time.Time) {
	v.Sender, v.At = m.Name, at.UTC().Round(0)
	v.Facts.Restarts = m.crashes
	v.FaultEpoch, v.Fault = m.faultEpoch, m.fault
	if m.busy {
		v.Serving = false
	}
	m.sight = v
	m.a.fleet.saw(v)
}

// mind does what is agreed on for this sender.
func (m *minder) mind(ctx context.Context) {
	d := m.a.fleet.duty(m.sight, m.tried)
	m.setAside(ctx, d)
	g := d.grant
	if g == nil || !m.proc.runs() {
		return
	}
	switch d.do {
	case rollout.End:
		m.end(ctx, g.Epoch)
	case rollout.Renew:
		if leader, _ := m.a.contact(); leader != "" {
			m.renew(ctx, g.Epoch, d.timing.Lease)
		}
	case rollout.Fail:
		m.failed(ctx, g, "its agent was started anew in the middle of the change")
	case rollout.Take:
		if m.status.Phase == "serving" {
			m.take(ctx, g, d.timing)
		}
	}
}

// setAside tells the sender which endpoints are out, again and again while any is: it forgets by itself.
func (m *minder) setAside(ctx context.Context, d duty) {
	leader, _ := m.a.contact()
	same := d.aside == m.asideEpoch && m.sight.Process == m.asideProcess
	if leader == "" || m.sight.Process == "" || same && (len(d.outs) == 0 || time.Since(m.asideAt) < d.timing.Lease/3) {
		return
	}
	if d.aside == 0 && len(d.outs) == 0 {
		return
	}
	q := url.Values{"epoch": {strconv.FormatUint(d.aside, 10)}, "until": {ms(time.Now().Add(d.timing.Lease))}, "id": d.outs}
	if err := m.put(ctx, m.record().Admin, admin.ExclusionsPath, q); err != nil {
		m.a.log.Warn("the sender was not told which endpoints are out", "sender", m.Name, "err", err)
		return
	}
	m.asideEpoch, m.asideProcess, m.asideAt = d.aside, m.sight.Process, time.Now()
}

// targets are the endpoints that the sender knows of.
func (m *minder) targets(ctx context.Context) ([]rollout.Endpoint, error) {
	text, err := m.get(ctx, http.MethodGet, m.Reach[m.record().Admin], admin.TargetsPath)
	if err != nil {
		return nil, err
	}
	var list []rollout.Endpoint
	return list, json.Unmarshal(text, &list)
}

// take takes a grant up: the sender is asked, and it decides.
func (m *minder) take(ctx context.Context, g *rollout.Grant, t rollout.Timing) {
	m.tried = g.Epoch
	verb := admin.HoldPath
	if g.Drain || m.Restart && m.program(g.To) {
		verb = admin.DrainPath
	}
	q := url.Values{"process": {g.Process}, "epoch": {strconv.FormatUint(g.Epoch, 10)}, "by": {ms(g.By)}, "until": {ms(g.Until)}}
	if err := m.put(ctx, m.record().Admin, verb, q); err != nil {
		m.a.log.Warn("a grant was not taken up", "sender", m.Name, "epoch", g.Epoch, "err", err)
		if errors.Is(err, errNoAnswer) {
			m.tried = 0 // it may not have come; the sender tells a repeat from a new one
		}
		return
	}
	m.a.log.Info("a grant is taken up", "sender", m.Name, "epoch", g.Epoch, "drain", g.Drain, "to", g.To.Name)
	if g.Drain {
		return
	}
	m.busy = true
	err := m.change(ctx, g, t)
	m.busy = false
	if ctx.Err() != nil {
		return // whoever comes after this agent finds what it needs in the record
	}
	if err != nil {
		m.a.log.Error("the sender was not changed", "sender", m.Name, "to", g.To.Name, "err", err)
		m.failed(ctx, g, err.Error())
		return
	}
	m.a.log.Info("the sender runs another version", "sender", m.Name, "version", g.To.Name)
	m.end(ctx, g.Epoch)
}

// failed ends a grant that came to nothing.
func (m *minder) failed(ctx context.Context, g *rollout.Grant, why string) {
	m.fault, m.faultEpoch = why, g.Epoch
	m.end(ctx, g.Epoch)
}

func (m *minder) end(ctx context.Context, epoch uint64) {
	if err := m.put(ctx, m.record().Admin, admin.ActivatePath, url.Values{"epoch": {strconv.FormatUint(epoch, 10)}}); err != nil {
		m.a.log.Warn("a lease was not ended; it ends by itself", "sender", m.Name, "epoch", epoch, "err", err)
	}
}

func (m *minder) renew(ctx context.Context, epoch uint64, lease time.Duration) error {
	return m.put(ctx, m.record().Admin, admin.RenewPath, url.Values{"epoch": {strconv.FormatUint(epoch, 10)}, "until": {ms(time.Now().Add(lease))}})
}

// program tells whether a version needs another process.
func (m *minder) program(to rollout.Version) bool {
	return to.Program != "" && to.Program != m.running().Program
}

// during renews the lease while something is waited for, until it is so or can't be any more.
func (m *minder) during(ctx context.Context, g *rollout.Grant, t rollout.Timing, until time.Time, so func() (bool, error)) error {
	renewed := time.Now()
	for {
		if yes, err := so(); yes || err != nil {
			return err
		}
		if time.Now().After(until) {
			return errors.New("not in time")
		}
		if time.Since(renewed) > t.Lease/3 {
			renewed = time.Now()
			m.renew(ctx, g.Epoch, t.Lease) // one that fails ends the lease, and no change by itself
		}
		if !pause(ctx, changeTick) {
			return ctx.Err()
		}
	}
}

// change has the sender run another version. After an error it runs the one that it ran.
func (m *minder) change(ctx context.Context, g *rollout.Grant, t rollout.Timing) error {
	old := m.running()
	to := g.To
	if to.Program == "" {
		to.Program = old.Program
	}
	back := func() error { return nil }
	if to.Config != "" {
		var err error
		if back, err = m.replaceConfig(to.Config); err != nil {
			return err
		}
	}
	var err error
	switch {
	case to.Program != old.Program && m.Restart:
		err = m.changeByRestart(ctx, g, t, to)
	case to.Program != old.Program:
		err = m.changeByHeir(ctx, g, t, to)
	default:
		err = m.changeConfig(ctx, g, t, to)
	}
	if err == nil || ctx.Err() != nil {
		return err
	}
	if undo := back(); undo != nil {
		return fmt.Errorf("%w; and the configuration before it is not back: %w", err, undo)
	}
	if to.Config != "" && to.Program == old.Program && m.proc.runs() {
		m.proc.signal(syscall.SIGHUP)
	}
	return err
}

// replaceConfig puts the sender's file of a release in place, and returns the way back.
func (m *minder) replaceConfig(folder string) (back func() error, err error) {
	text, err := os.ReadFile(filepath.Join(folder, m.Name+".json"))
	if err != nil {
		return nil, fmt.Errorf("the release has no configuration for it: %w", err)
	}
	old, err := os.ReadFile(m.Config)
	if err != nil {
		return nil, err
	}
	put := func(text []byte) error {
		if err := os.WriteFile(m.Config+".new", text, 0o600); err != nil {
			return err
		}
		return os.Rename(m.Config+".new", m.Config)
	}
	if err := put(text); err != nil {
		return nil, err
	}
	return func() error { return put(old) }, nil
}

// changeConfig has the process read its file again.
func (m *minder) changeConfig(ctx context.Context, g *rollout.Grant, t rollout.Timing, to rollout.Version) error {
	text, err := os.ReadFile(m.Config)
	if err != nil {
		return err
	}
	want := admin.Digest(string(text))
	m.proc.signal(syscall.SIGHUP)
	err = m.during(ctx, g, t, time.Now().Add(tuneSpan), func() (bool, error) {
		if !m.proc.runs() {
			return false, errors.New("the process ended")
		}
		s, err := m.ask(ctx, m.record().Admin)
		return err == nil && s.Config == want, nil
	})
	if err != nil {
		return fmt.Errorf("the new configuration is not in force, its log says why: %w", err)
	}
	return m.keep(func(r *record) { r.Version = to })
}

// changeByHeir starts the new process beside the old one, which gives way to it.
func (m *minder) changeByHeir(ctx context.Context, g *rollout.Grant, t rollout.Timing, to rollout.Version) error {
	address := 1 - m.record().Admin
	k, err := start(to.Program, m.env(to, address), m.logPath())
	if err != nil {
		return err
	}
	h := heir{to, k.pid, k.start}
	if err := m.keep(func(r *record) { r.Heir = &h }); err != nil {
		k.kill()
		return err
	}
	err = m.during(ctx, g, t, time.Now().Add(readySpan), func() (bool, error) {
		if !k.runs() {
			return false, fmt.Errorf("the new process ended before it served: %s: %s", k.how, tail(m.logPath()))
		}
		return m.serves(ctx, k, address), nil
	})
	if ctx.Err() != nil {
		return err
	}
	if err == nil {
		m.succeed(ctx, k, h, address)
		return nil
	}
	k.kill()
	if forget := m.keep(func(r *record) { r.Heir = nil }); forget != nil {
		m.a.log.Error("record", "err", forget)
	}
	return err
}

// serves tells whether a process serves at a second address.
func (m *minder) serves(ctx context.Context, k *child, address int) bool {
	s, err := m.ask(ctx, address)
	return err == nil && s.Pid == k.pid && (s.Phase == "serving" || s.Phase == "drained")
}

// awaitHeir waits for a process that an agent before this one started.
func (m *minder) awaitHeir(ctx context.Context, k *child, address int, until time.Time) error {
	for time.Now().Before(until) && k.runs() {
		if m.serves(ctx, k, address) {
			return nil
		}
		if !pause(ctx, changeTick) {
			return ctx.Err()
		}
	}
	return errors.New("it never served")
}

// succeed makes the new process the sender's, and sees the old one off.
func (m *minder) succeed(ctx context.Context, k *child, h heir, address int) {
	old := m.proc
	m.proc, m.began, m.answers = k, time.Now(), true
	err := m.keep(func(r *record) {
		r.Version, r.Admin, r.Pid, r.Start, r.Heir = h.Version, address, k.pid, k.start, nil
	})
	if err != nil {
		m.a.log.Error("record", "err", err)
	}
	if old.runs() {
		old.stop() // it may have ended by itself
	}
}

// changeByRestart waits until the drained process owes nothing, ends it and starts the new one. If that does not come
// to serve the old one is started again.
func (m *minder) changeByRestart(ctx context.Context, g *rollout.Grant, t rollout.Timing, to rollout.Version) error {
	m.during(ctx, g, t, time.Now().Add(emptySpan), func() (bool, error) { // what it still owes the next one takes up
		s, err := m.ask(ctx, m.record().Admin)
		return err != nil || s.Counts.Open == 0, nil
	})
	if ctx.Err() != nil {
		return ctx.Err()
	}
	old := m.running()
	err := m.replace(ctx, to)
	if err == nil || ctx.Err() != nil {
		return err
	}
	if again := m.replace(ctx, old); again != nil {
		return fmt.Errorf("%w; and %s was not started again: %w", err, old.Name, again)
	}
	return err
}

// replace ends the process and has another version in its place.
func (m *minder) replace(ctx context.Context, v rollout.Version) error {
	if m.proc.runs() {
		m.proc.stop()
	}
	address := m.record().Admin
	k, err := start(v.Program, m.env(v, address), m.logPath())
	if err != nil {
		m.proc = nil
		return err
	}
	m.took(k)
	if err := m.awaitHeir(ctx, k, address, time.Now().Add(readySpan)); err != nil {
		if !k.runs() {
			return fmt.Errorf("%w: %s: %s", err, k.how, tail(m.logPath()))
		}
		return err
	}
	m.answers = true
	return m.keep(func(r *record) { r.Version = v })
}

// tail is the end of a log.
func tail(path string) string {
	const most = 300
	text, err := os.ReadFile(path)
	if err != nil {
		return err.Error()
	}
	return string(text[max(0, len(text)-most):])
}

// errNoAnswer tells that a sender may or may not have had a call.
var errNoAnswer = errors.New("no answer")

// put makes one call of the second address.
func (m *minder) put(ctx context.Context, address int, path string, q url.Values) error {
	_, err := m.get(ctx, http.MethodPut, m.Reach[address], path+"?"+q.Encode())
	return err
}

// ask asks the process at a second address how it is.
func (m *minder) ask(ctx context.Context, address int) (s admin.Status, err error) {
	text, err := m.get(ctx, http.MethodGet, m.Reach[address], admin.StatusPath)
	if err == nil {
		err = json.Unmarshal(text, &s)
	}
	return s, err
}

// healthy asks at the clients' address, as clients' front does.
func (m *minder) healthy(ctx context.Context) error {
	text, err := os.ReadFile(m.Config)
	if err != nil {
		return err
	}
	_, err = m.get(ctx, http.MethodGet, gjson.GetBytes(text, "listen").String(), "/_health")
	return err
}

func (m *minder) get(ctx context.Context, method, addr, path string) ([]byte, error) {
	ctx, cancel := context.WithDeadline(ctx, time.Now().Add(callSpan))
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, nil)
	if err != nil {
		return nil, err
	}
	text, err := fetch(m.http, r)
	m.a.spent.looks.Add(1)
	m.a.spent.lookBytes.Add(int64(len(text)))
	return text, err
}
