// Package agent is the program that runs beside the senders of a machine: it starts and watches them, restarts those
// that crash, and has them drain and change as the agents have agreed (internal/rollout, internal/quorum). What
// it may do to a sender it is told by grants alone, which the sender checks by itself (internal/lease).
package agent

import (
	"cmp"
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"cleathold/internal/quorum"
	"cleathold/internal/rollout"
	"cleathold/internal/store"
)

// Sender is one that the agent runs.
type Sender struct {
	Name     string
	Building string
	Config   string    // its configuration file
	Admin    [2]string // second addresses, for its process and for the one that takes over
	Reach    [2]string // where this agent reaches them
	Restart  bool      // a new version takes its place by a restart, not by a hand-over
}

// Config of an agent.
type Config struct {
	Name    string
	Listen  string // its address for the other agents and the tool
	Folder  string
	Peers   map[string]string // addresses of all agents by name, this one's too
	Senders []Sender
	First   rollout.Version // that senders run before the first release
	Terms   rollout.Terms   // proposed where none are agreed on yet
	Log     *slog.Logger
}

// Times of an agent.
const (
	lookSpan    = 200 * time.Millisecond // between two looks at a sender, and between two tellings of them
	driveSpan   = 50 * time.Millisecond  // between two looks of the leader at what comes next
	callSpan    = time.Second            // a call to a sender or an agent may take so long
	commandSpan = 5 * time.Second        // a command is in the log within this, or its fate is not known
	reopenSpan  = time.Second            // after the folder failed
)

// Agent is one of them.
type Agent struct {
	cfg     Config
	log     *slog.Logger
	fleet   *fleet
	minders []*minder
	http    *http.Client // for calls to other agents
	spent   spent

	mu   sync.Mutex
	node *quorum.Node // nil while its folder can't be used
	why  error        // then
}

// spent counts what an agent sends and asks beside the agreement.
type spent struct{ toldBytes, toldCalls, lookBytes, looks atomic.Int64 }

// Traffic is that, since its start.
type Traffic struct {
	ReportedBytes int64 `json:"told_bytes"` // of sights, to the leader
	Reports       int64 `json:"told_calls"`
	PolledBytes   int64 `json:"look_bytes"` // that its senders answered, at their second addresses
	Polls         int64 `json:"looks"`
}

// fleet is what is agreed on and what was seen, and the machine of the log. It has one mutex.
type fleet struct {
	name string

	mu     sync.Mutex
	state  *rollout.State
	sights map[string]rollout.Observation // the latest of each sender, from whoever is beside it
	waits  map[string]chan applied        // commands of this agent's, by ID
	listed map[string]listing             // what discovery lists, as each agent's senders have it
}

// listing is what one agent tells of endpoints.
type listing struct {
	at   time.Time
	list []rollout.Endpoint
}

// listedSpan is how long what an agent told of endpoints holds.
const listedSpan = 10 * time.Second

// lists enters what an agent tells of endpoints.
func (f *fleet) lists(agent string, list []rollout.Endpoint) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.listed) < agentsMost || f.listed[agent].list != nil {
		f.listed[agent] = listing{time.Now(), list}
	}
}

const agentsMost = 64

// endpoints are those that any agent has told of lately. One is up if all that know it say so.
func (f *fleet) endpoints() []rollout.Endpoint {
	f.mu.Lock()
	defer f.mu.Unlock()
	all := map[string]rollout.Endpoint{}
	for _, l := range f.listed {
		if time.Since(l.at) > listedSpan {
			continue
		}
		for _, e := range l.list {
			if old, some := all[e.ID]; some {
				e.Up = e.Up && old.Up
			}
			all[e.ID] = e
		}
	}
	return slices.SortedFunc(maps.Values(all), func(a, b rollout.Endpoint) int { return cmp.Compare(a.ID, b.ID) })
}

type applied struct {
	index uint64
	err   error
}

func newFleet(name string) *fleet {
	return &fleet{name: name, state: rollout.New(), sights: map[string]rollout.Observation{}, waits: map[string]chan applied{}, listed: map[string]listing{}}
}

// Apply applies an entry of the log. One that can't be read is of a newer agent, and changes nothing here.
func (f *fleet) Apply(index uint64, data []byte) {
	var c rollout.Command
	err := json.Unmarshal(data, &c)
	f.mu.Lock()
	defer f.mu.Unlock()
	if err == nil {
		err = f.state.Apply(index, c)
	} else {
		f.state.Index = index
	}
	if done := f.waits[c.ID]; done != nil && c.ID != "" {
		delete(f.waits, c.ID)
		done <- applied{index, err}
	}
}

// Snapshot is all that was applied.
func (f *fleet) Snapshot() ([]byte, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return json.Marshal(f.state)
}

// Restore takes another agent's image over, or one from the folder.
func (f *fleet) Restore(index uint64, data []byte) error {
	s := rollout.New()
	if err := json.Unmarshal(data, s); err != nil {
		return err
	}
	s.Index = index
	f.mu.Lock()
	defer f.mu.Unlock()
	f.state = s
	return nil
}

// with does something under the mutex. It must neither wait nor keep what it is given.
func (f *fleet) with(do func(s *rollout.State, sights map[string]rollout.Observation)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	do(f.state, f.sights)
}

// saw enters a sight unless a later one is there.
func (f *fleet) saw(list ...rollout.Observation) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, v := range list {
		if old, some := f.sights[v.Sender]; !some || v.At.After(old.At) {
			if !some && len(f.sights) >= 2*rollout.MaxSenders {
				continue
			}
			f.sights[v.Sender] = v
		}
	}
}

// duty is what a sender's minder must know of what is agreed on.
type duty struct {
	grant   *rollout.Grant
	do      rollout.Duty
	version rollout.Version
	aside   uint64 // the entry that changed the endpoints that are out
	outs    []string
	timing  rollout.Timing
}

func (f *fleet) duty(v rollout.Observation, tried uint64) duty {
	f.mu.Lock()
	defer f.mu.Unlock()
	d := duty{timing: f.state.Terms.Timing, aside: f.state.ExclusionEpoch, outs: f.state.ExcludedEndpoints()}
	if g := f.state.Grants[v.Sender]; g != nil {
		copied := *g
		d.grant, d.do = &copied, f.state.Duty(g, v, tried, time.Now())
	}
	if m := f.state.Members[v.Sender]; m != nil {
		d.version = m.Version
	}
	return d
}

// New makes an agent. Nothing runs yet.
func New(c Config) (*Agent, error) {
	if err := os.MkdirAll(c.Folder, 0o700); err != nil {
		return nil, fmt.Errorf("agent: %w", err)
	}
	a := &Agent{
		cfg: c, log: c.Log, fleet: newFleet(c.Name), why: errors.New("starting"),
		http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2, IdleConnTimeout: time.Second}},
	}
	for _, s := range c.Senders {
		m, err := newMinder(a, s)
		if err != nil {
			return nil, err
		}
		a.minders = append(a.minders, m)
	}
	return a, nil
}

func logFolder(folder string) store.Dir { return store.Dir(filepath.Join(folder, "log")) }

// Bootstrap makes the folder of one of the first agents.
func Bootstrap(c Config) error {
	folder := logFolder(c.Folder)
	if err := os.MkdirAll(string(folder), 0o700); err != nil {
		return fmt.Errorf("agent: %w", err)
	}
	return quorum.Bootstrap(folder, c.Name, slices.Sorted(maps.Keys(c.Peers)))
}

// Run runs until the context ends. The senders run on.
func (a *Agent) Run(ctx context.Context) error {
	front, err := a.listen()
	if err != nil {
		return err
	}
	defer front.Close()
	go front.Serve()
	var wg sync.WaitGroup
	for _, m := range a.minders {
		wg.Go(func() { m.run(ctx) })
	}
	wg.Go(func() { a.tell(ctx) })
	wg.Go(func() { a.drive(ctx) })
	wg.Go(func() { a.overlook(ctx) })
	a.log.Info("agent runs", "name", a.cfg.Name, "listen", a.cfg.Listen, "senders", len(a.minders))
	err = a.agree(ctx)
	wg.Wait()
	return err
}

// agree takes part in the agreement, and opens the folder again after it has failed: a disk may be full for a while.
func (a *Agent) agree(ctx context.Context) error {
	folder := logFolder(a.cfg.Folder)
	if err := os.MkdirAll(string(folder), 0o700); err != nil {
		return fmt.Errorf("agent: %w", err)
	}
	for ctx.Err() == nil {
		node, err := quorum.Open(quorum.Config{Name: a.cfg.Name, FS: folder, Peers: a.cfg.Peers, Machine: a.fleet, Log: a.log})
		if err == nil {
			a.set(node, nil)
			joined, stop := context.WithCancel(ctx)
			done := make(chan struct{})
			go func() { defer close(done); a.join(joined, node) }()
			err = node.Run(ctx)
			stop()
			<-done
		}
		a.set(nil, err)
		if err == nil {
			return nil
		}
		a.log.Error("no part in the agreement; senders run on", "err", err)
		if !pause(ctx, reopenSpan) {
			return nil
		}
	}
	return nil
}

func (a *Agent) set(n *quorum.Node, why error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.node, a.why = n, why
}

// quorum is the node, or why there is none.
func (a *Agent) quorum() (*quorum.Node, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.node == nil {
		return nil, fmt.Errorf("agent %s takes no part in the agreement: %w", a.cfg.Name, a.why)
	}
	return a.node, nil
}

// contact tells whether this agent knows of a leader, and whether it is the one.
func (a *Agent) contact() (leader string, leads bool) {
	n, err := a.quorum()
	if err != nil {
		return "", false
	}
	s := n.Status()
	return s.Leader, s.Leads
}

// join asks to be taken in for as long as this agent has no seat.
func (a *Agent) join(ctx context.Context, n *quorum.Node) {
	for pause(ctx, reopenSpan) {
		s := n.Status()
		if s.Voter {
			return
		}
		for name, addr := range a.cfg.Peers {
			if name != a.cfg.Name {
				a.call(ctx, addr, joinPath, s.Member, nil)
			}
		}
	}
}

// ErrUnknown tells that it is not known whether a command took effect.
var ErrUnknown = errors.New("no answer in time: it may have taken effect, look before you repeat it")

// propose has a command put into the log, and waits until it is applied here.
func (a *Agent) propose(ctx context.Context, c rollout.Command) (uint64, error) {
	n, err := a.quorum()
	if err != nil {
		return 0, err
	}
	c.ID = rand.Text()
	data, err := json.Marshal(c)
	if err != nil {
		return 0, err
	}
	done := make(chan applied, 1)
	a.fleet.mu.Lock()
	a.fleet.waits[c.ID] = done
	a.fleet.mu.Unlock()
	defer func() {
		a.fleet.mu.Lock()
		delete(a.fleet.waits, c.ID)
		a.fleet.mu.Unlock()
	}()
	ctx, cancel := context.WithDeadline(ctx, time.Now().Add(commandSpan))
	defer cancel()
	if err := n.Propose(ctx, data); err != nil {
		return 0, err
	}
	select {
	case r := <-done:
		return r.index, r.err
	case <-ctx.Done():
		return 0, ErrUnknown
	}
}

// drive is what the leader does: it proposes what comes next.
func (a *Agent) drive(ctx context.Context) {
	var watch rollout.Watch
	led := false
	for pause(ctx, driveSpan) {
		if _, leads := a.contact(); !leads {
			led = false
			continue
		}
		if !led { // what an earlier term saw is no base for this one
			watch, led = rollout.Watch{}, true
		}
		var list []rollout.Command
		now := time.Now().UTC()
		a.fleet.with(func(s *rollout.State, sights map[string]rollout.Observation) {
			if s.Terms.Budget.Fleet == 0 {
				terms := a.cfg.Terms
				list = append(list, rollout.Command{Verb: rollout.SetTerms, At: now, By: a.cfg.Name, Reason: "the settings of the first leader", Terms: &terms})
				return
			}
			list = s.Next(sights, &watch, now)
		})
		for _, c := range list {
			if c.By == "" {
				c.By = a.cfg.Name
			}
			if _, err := a.propose(ctx, c); err != nil {
				a.log.Debug("not agreed on", "what", c.Verb, "err", err)
				break
			}
		}
	}
}

// tell tells the leader what this agent sees, and the log which senders it has.
func (a *Agent) tell(ctx context.Context) {
	told := ""
	var asked time.Time
	for pause(ctx, lookSpan) {
		leader, leads := a.contact()
		if leader == "" {
			continue
		}
		news := sightings{Agent: a.cfg.Name, List: a.mine()}
		if time.Since(asked) > listedSpan/4 {
			asked = time.Now()
			news.Endpoints = a.listed(ctx)
		}
		if news.Endpoints != nil {
			a.fleet.lists(a.cfg.Name, news.Endpoints)
		}
		if text, err := json.Marshal(news); err == nil && !leads {
			a.spent.toldBytes.Add(int64(len(text)))
			a.spent.toldCalls.Add(1)
			a.call(ctx, a.cfg.Peers[leader], sightsPath, json.RawMessage(text), nil)
		}
		if text := a.roster(); text != told {
			if a.enroll(ctx) == nil {
				told = text
			}
		}
	}
}

// sightings are what one agent sees.
type sightings struct {
	Agent     string                `json:"agent"`
	List      []rollout.Observation `json:"list"`
	Endpoints []rollout.Endpoint    `json:"endpoints,omitempty"` // now and then
}

// listed is what discovery lists, as the first of this agent's senders has it that answers.
func (a *Agent) listed(ctx context.Context) []rollout.Endpoint {
	for _, m := range a.minders {
		if list, err := m.targets(ctx); err == nil && len(list) > 0 {
			return list
		}
	}
	return nil
}

// mine are the latest sights of this agent's senders.
func (a *Agent) mine() []rollout.Observation {
	list := make([]rollout.Observation, 0, len(a.minders))
	a.fleet.with(func(_ *rollout.State, sights map[string]rollout.Observation) {
		for _, m := range a.minders {
			if v, some := sights[m.Name]; some {
				list = append(list, v)
			}
		}
	})
	return list
}

// roster is what the log should know of this agent's senders, and differs from it as text.
func (a *Agent) roster() string {
	text := ""
	a.fleet.with(func(s *rollout.State, _ map[string]rollout.Observation) {
		for _, m := range a.minders {
			k := s.Members[m.Name]
			text += fmt.Sprint(m.Name, k != nil && k.Agent == a.cfg.Name && k.Building == m.Building && slices.Equal(k.Reach, m.Admin[:]), ";")
		}
	})
	return text
}

// enroll enters this agent's senders, if the log has not the same.
func (a *Agent) enroll(ctx context.Context) error {
	c := rollout.Command{Verb: rollout.SetRoster, At: time.Now().UTC(), By: a.cfg.Name}
	same := true
	a.fleet.with(func(s *rollout.State, _ map[string]rollout.Observation) {
		mine := 0
		for _, k := range s.Members {
			if k.Agent == a.cfg.Name {
				mine++
			}
		}
		same = mine == len(a.minders)
		for _, m := range a.minders {
			k := s.Members[m.Name]
			same = same && k != nil && k.Agent == a.cfg.Name && k.Building == m.Building && slices.Equal(k.Reach, m.Admin[:])
			c.Roster = append(c.Roster, rollout.Member{Name: m.Name, Building: m.Building, Agent: a.cfg.Name, Version: m.running(), Reach: m.Admin[:]})
		}
	})
	if same {
		return nil
	}
	_, err := a.propose(ctx, c)
	if err != nil {
		a.log.Warn("this agent's senders are not in the roster", "err", err)
	}
	return err
}

// pause waits for a span; false at the end of the context.
func pause(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
