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
	pollInterval   = 200 * time.Millisecond // between two looks at a sender, and between two tellings of them
	leaderInterval = 50 * time.Millisecond  // between two looks of the leader at what comes next
	callTimeout    = time.Second            // a call to a sender or an agent may take so long
	commandTimeout = 5 * time.Second        // a command is in the log within this, or its fate is not known
	reopenDelay    = time.Second            // after the folder failed
)

// Agent is one of them.
type Agent struct {
	cfg         Config
	log         *slog.Logger
	fleet       *fleetState
	supervisors []*supervisor
	http        *http.Client // for calls to other agents
	traffic     trafficCounters

	mu      sync.Mutex
	node    *quorum.Node // nil while its folder can't be used
	nodeErr error        // then
}

// trafficCounters counts what an agent sends and asks beside the agreement.
type trafficCounters struct{ reportedBytes, reports, polledBytes, polls atomic.Int64 }

// Traffic is that, since its start.
type Traffic struct {
	ReportedBytes int64 `json:"told_bytes"` // of sights, to the leader
	Reports       int64 `json:"told_calls"`
	PolledBytes   int64 `json:"look_bytes"` // that its senders answered, at their second addresses
	Polls         int64 `json:"looks"`
}

// fleetState is what is agreed on and what was seen, and the machine of the log. It has one mutex.
type fleetState struct {
	name string

	mu            sync.Mutex
	state         *rollout.State
	observations  map[string]rollout.Observation // the latest of each sender, from whoever is beside it
	proposals     map[string]chan applyResult    // commands of this agent's, by ID
	endpointLists map[string]endpointList        // what discovery lists, as each agent's senders have it
}

// endpointList is what one agent tells of endpoints.
type endpointList struct {
	receivedAt time.Time
	endpoints  []rollout.Endpoint
}

// endpointListWindow is how long what an agent told of endpoints holds.
const endpointListWindow = 10 * time.Second

// setEndpoints enters what an agent tells of endpoints.
func (f *fleetState) setEndpoints(agent string, endpoints []rollout.Endpoint) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.endpointLists) < maxAgents || f.endpointLists[agent].endpoints != nil {
		f.endpointLists[agent] = endpointList{time.Now(), endpoints}
	}
}

const maxAgents = 64

// endpoints are those that any agent has told of lately. One is up if all that know it say so.
func (f *fleetState) endpoints() []rollout.Endpoint {
	f.mu.Lock()
	defer f.mu.Unlock()
	all := map[string]rollout.Endpoint{}
	for _, list := range f.endpointLists {
		if time.Since(list.receivedAt) > endpointListWindow {
			continue
		}
		for _, e := range list.endpoints {
			if old, some := all[e.ID]; some {
				e.Up = e.Up && old.Up
			}
			all[e.ID] = e
		}
	}
	return slices.SortedFunc(maps.Values(all), func(a, b rollout.Endpoint) int { return cmp.Compare(a.ID, b.ID) })
}

type applyResult struct {
	index uint64
	err   error
}

func newFleetState(name string) *fleetState {
	return &fleetState{name: name, state: rollout.New(), observations: map[string]rollout.Observation{}, proposals: map[string]chan applyResult{}, endpointLists: map[string]endpointList{}}
}

// Apply applies an entry of the log. One that can't be read is of a newer agent, and changes nothing here.
func (f *fleetState) Apply(index uint64, data []byte) {
	var command rollout.Command
	err := json.Unmarshal(data, &command)
	f.mu.Lock()
	defer f.mu.Unlock()
	if err == nil {
		err = f.state.Apply(index, command)
	} else {
		f.state.Index = index
	}
	if done := f.proposals[command.ID]; done != nil && command.ID != "" {
		delete(f.proposals, command.ID)
		done <- applyResult{index, err}
	}
}

// Snapshot is all that was applied.
func (f *fleetState) Snapshot() ([]byte, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return json.Marshal(f.state)
}

// Restore takes another agent's image over, or one from the folder.
func (f *fleetState) Restore(index uint64, data []byte) error {
	state := rollout.New()
	if err := json.Unmarshal(data, state); err != nil {
		return err
	}
	state.Index = index
	f.mu.Lock()
	defer f.mu.Unlock()
	f.state = state
	return nil
}

// withLock does something under the mutex. It must neither wait nor keep what it is given.
func (f *fleetState) withLock(do func(s *rollout.State, observations map[string]rollout.Observation)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	do(f.state, f.observations)
}

// observe enters a sight unless a later one is there.
func (f *fleetState) observe(observations ...rollout.Observation) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, observed := range observations {
		if old, some := f.observations[observed.Sender]; !some || observed.At.After(old.At) {
			if !some && len(f.observations) >= 2*rollout.MaxSenders {
				continue
			}
			f.observations[observed.Sender] = observed
		}
	}
}

// assignment is what a sender's minder must know of what is agreed on.
type assignment struct {
	grant          *rollout.Grant
	duty           rollout.Duty
	version        rollout.Version
	exclusionEpoch uint64 // the entry that changed the endpoints that are out
	excluded       []string
	timing         rollout.Timing
}

func (f *fleetState) assignment(observed rollout.Observation, lastTakenEpoch uint64) assignment {
	f.mu.Lock()
	defer f.mu.Unlock()
	d := assignment{timing: f.state.Terms.Timing, exclusionEpoch: f.state.ExclusionEpoch, excluded: f.state.ExcludedEndpoints()}
	if grant := f.state.Grants[observed.Sender]; grant != nil {
		copied := *grant
		d.grant, d.duty = &copied, f.state.Duty(grant, observed, lastTakenEpoch, time.Now())
	}
	if m := f.state.Members[observed.Sender]; m != nil {
		d.version = m.Version
	}
	return d
}

// New makes an agent. Nothing runs yet.
func New(cfg Config) (*Agent, error) {
	if err := os.MkdirAll(cfg.Folder, 0o700); err != nil {
		return nil, fmt.Errorf("agent: %w", err)
	}
	a := &Agent{
		cfg: cfg, log: cfg.Log, fleet: newFleetState(cfg.Name), nodeErr: errors.New("starting"),
		http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2, IdleConnTimeout: time.Second}},
	}
	for _, sender := range cfg.Senders {
		s, err := newSupervisor(a, sender)
		if err != nil {
			return nil, err
		}
		a.supervisors = append(a.supervisors, s)
	}
	return a, nil
}

func quorumFolder(folder string) store.Dir { return store.Dir(filepath.Join(folder, "log")) }

// Bootstrap makes the folder of one of the first agents.
func Bootstrap(cfg Config) error {
	folder := quorumFolder(cfg.Folder)
	if err := os.MkdirAll(string(folder), 0o700); err != nil {
		return fmt.Errorf("agent: %w", err)
	}
	return quorum.Bootstrap(folder, cfg.Name, slices.Sorted(maps.Keys(cfg.Peers)))
}

// Run runs until the context ends. The senders run on.
func (a *Agent) Run(ctx context.Context) error {
	server, err := a.listen()
	if err != nil {
		return err
	}
	defer server.Close()
	go server.Serve()
	var wg sync.WaitGroup
	for _, s := range a.supervisors {
		wg.Go(func() { s.run(ctx) })
	}
	wg.Go(func() { a.runReports(ctx) })
	wg.Go(func() { a.runLeader(ctx) })
	wg.Go(func() { a.observeRemoteSenders(ctx) })
	a.log.Info("agent runs", "name", a.cfg.Name, "listen", a.cfg.Listen, "senders", len(a.supervisors))
	err = a.runQuorum(ctx)
	wg.Wait()
	return err
}

// runQuorum takes part in the agreement, and opens the folder again after it has failed: a disk may be full for a while.
func (a *Agent) runQuorum(ctx context.Context) error {
	folder := quorumFolder(a.cfg.Folder)
	if err := os.MkdirAll(string(folder), 0o700); err != nil {
		return fmt.Errorf("agent: %w", err)
	}
	for ctx.Err() == nil {
		node, err := quorum.Open(quorum.Config{Name: a.cfg.Name, FS: folder, Peers: a.cfg.Peers, Machine: a.fleet, Log: a.log})
		if err == nil {
			a.setNode(node, nil)
			joined, stop := context.WithCancel(ctx)
			done := make(chan struct{})
			go func() { defer close(done); a.requestMembership(joined, node) }()
			err = node.Run(ctx)
			stop()
			<-done
		}
		a.setNode(nil, err)
		if err == nil {
			return nil
		}
		a.log.Error("no part in the agreement; senders run on", "err", err)
		if !sleep(ctx, reopenDelay) {
			return nil
		}
	}
	return nil
}

func (a *Agent) setNode(node *quorum.Node, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.node, a.nodeErr = node, err
}

// quorumNode is the node, or why there is none.
func (a *Agent) quorumNode() (*quorum.Node, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.node == nil {
		return nil, fmt.Errorf("agent %s takes no part in the agreement: %w", a.cfg.Name, a.nodeErr)
	}
	return a.node, nil
}

// leadership tells whether this agent knows of a leader, and whether it is the one.
func (a *Agent) leadership() (leader string, leads bool) {
	node, err := a.quorumNode()
	if err != nil {
		return "", false
	}
	status := node.Status()
	return status.Leader, status.Leads
}

// requestMembership asks to be taken in for as long as this agent has no seat.
func (a *Agent) requestMembership(ctx context.Context, node *quorum.Node) {
	for sleep(ctx, reopenDelay) {
		status := node.Status()
		if status.Voter {
			return
		}
		for name, addr := range a.cfg.Peers {
			if name != a.cfg.Name {
				a.call(ctx, addr, joinPath, status.Member, nil)
			}
		}
	}
}

// ErrUnknown tells that it is not known whether a command took effect.
var ErrUnknown = errors.New("no answer in time: it may have taken effect, look before you repeat it")

// propose has a command put into the log, and waits until it is applied here.
func (a *Agent) propose(ctx context.Context, command rollout.Command) (uint64, error) {
	node, err := a.quorumNode()
	if err != nil {
		return 0, err
	}
	command.ID = rand.Text()
	data, err := json.Marshal(command)
	if err != nil {
		return 0, err
	}
	done := make(chan applyResult, 1)
	a.fleet.mu.Lock()
	a.fleet.proposals[command.ID] = done
	a.fleet.mu.Unlock()
	defer func() {
		a.fleet.mu.Lock()
		delete(a.fleet.proposals, command.ID)
		a.fleet.mu.Unlock()
	}()
	ctx, cancel := context.WithDeadline(ctx, time.Now().Add(commandTimeout))
	defer cancel()
	if err := node.Propose(ctx, data); err != nil {
		return 0, err
	}
	select {
	case result := <-done:
		return result.index, result.err
	case <-ctx.Done():
		return 0, ErrUnknown
	}
}

// runLeader is what the leader does: it proposes what comes next.
func (a *Agent) runLeader(ctx context.Context) {
	var watch rollout.Watch
	led := false
	for sleep(ctx, leaderInterval) {
		if _, leads := a.leadership(); !leads {
			led = false
			continue
		}
		if !led { // what an earlier term saw is no base for this one
			watch, led = rollout.Watch{}, true
		}
		var commands []rollout.Command
		now := time.Now().UTC()
		a.fleet.withLock(func(state *rollout.State, observations map[string]rollout.Observation) {
			if state.Terms.Budget.Fleet == 0 {
				terms := a.cfg.Terms
				commands = append(commands, rollout.Command{Verb: rollout.SetTerms, At: now, By: a.cfg.Name, Reason: "the settings of the first leader", Terms: &terms})
				return
			}
			commands = state.Next(observations, &watch, now)
		})
		for _, command := range commands {
			if command.By == "" {
				command.By = a.cfg.Name
			}
			if _, err := a.propose(ctx, command); err != nil {
				a.log.Debug("not agreed on", "what", command.Verb, "err", err)
				break
			}
		}
	}
}

// runReports tells the leader what this agent sees, and the log which senders it has.
func (a *Agent) runReports(ctx context.Context) {
	reported := ""
	var endpointsAt time.Time
	for sleep(ctx, pollInterval) {
		leader, leads := a.leadership()
		if leader == "" {
			continue
		}
		report := observationReport{Agent: a.cfg.Name, Observations: a.ownObservations()}
		if time.Since(endpointsAt) > endpointListWindow/4 {
			endpointsAt = time.Now()
			report.Endpoints = a.discoveredEndpoints(ctx)
		}
		if report.Endpoints != nil {
			a.fleet.setEndpoints(a.cfg.Name, report.Endpoints)
		}
		if text, err := json.Marshal(report); err == nil && !leads {
			a.traffic.reportedBytes.Add(int64(len(text)))
			a.traffic.reports.Add(1)
			a.call(ctx, a.cfg.Peers[leader], observationsPath, json.RawMessage(text), nil)
		}
		if text := a.rosterDigest(); text != reported {
			if a.updateRoster(ctx) == nil {
				reported = text
			}
		}
	}
}

// observationReport are what one agent sees.
type observationReport struct {
	Agent        string                `json:"agent"`
	Observations []rollout.Observation `json:"list"`
	Endpoints    []rollout.Endpoint    `json:"endpoints,omitempty"` // now and then
}

// discoveredEndpoints is what discovery lists, as the first of this agent's senders has it that answers.
func (a *Agent) discoveredEndpoints(ctx context.Context) []rollout.Endpoint {
	for _, s := range a.supervisors {
		if list, err := s.endpoints(ctx); err == nil && len(list) > 0 {
			return list
		}
	}
	return nil
}

// ownObservations are the latest sights of this agent's senders.
func (a *Agent) ownObservations() []rollout.Observation {
	list := make([]rollout.Observation, 0, len(a.supervisors))
	a.fleet.withLock(func(_ *rollout.State, observations map[string]rollout.Observation) {
		for _, s := range a.supervisors {
			if observed, some := observations[s.Name]; some {
				list = append(list, observed)
			}
		}
	})
	return list
}

// rosterDigest is what the log should know of this agent's senders, and differs from it as text.
func (a *Agent) rosterDigest() string {
	text := ""
	a.fleet.withLock(func(state *rollout.State, _ map[string]rollout.Observation) {
		for _, s := range a.supervisors {
			member := state.Members[s.Name]
			text += fmt.Sprint(s.Name, member != nil && member.Agent == a.cfg.Name && member.Building == s.Building && slices.Equal(member.Reach, s.Admin[:]), ";")
		}
	})
	return text
}

// updateRoster enters this agent's senders, if the log has not the same.
func (a *Agent) updateRoster(ctx context.Context) error {
	command := rollout.Command{Verb: rollout.SetRoster, At: time.Now().UTC(), By: a.cfg.Name}
	same := true
	a.fleet.withLock(func(state *rollout.State, _ map[string]rollout.Observation) {
		own := 0
		for _, member := range state.Members {
			if member.Agent == a.cfg.Name {
				own++
			}
		}
		same = own == len(a.supervisors)
		for _, s := range a.supervisors {
			member := state.Members[s.Name]
			same = same && member != nil && member.Agent == a.cfg.Name && member.Building == s.Building && slices.Equal(member.Reach, s.Admin[:])
			command.Roster = append(command.Roster, rollout.Member{Name: s.Name, Building: s.Building, Agent: a.cfg.Name, Version: s.version(), Reach: s.Admin[:]})
		}
	})
	if same {
		return nil
	}
	_, err := a.propose(ctx, command)
	if err != nil {
		a.log.Warn("this agent's senders are not in the roster", "err", err)
	}
	return err
}

// sleep waits for a span; false at the end of the context.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
