package agent

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"os"
	"os/exec"
	"slices"
	"strings"
	"sync"
	"time"

	"cleathold/internal/admin"
	"cleathold/internal/quorum"
	"cleathold/internal/rollout"
)

const (
	maxConnections = 128
	serverTimeout  = 15 * time.Second // a call that asks all agents to look at a program takes a while
	maxBodySize    = 8 << 20
	versionTimeout = 5 * time.Second // a program must tell its version within this
)

// View is how the fleet stands, as one agent knows it.
type View struct {
	Agent        string                         `json:"agent"`
	At           time.Time                      `json:"at"`
	Quorum       *quorum.Status                 `json:"quorum,omitempty"` // nil: it takes no part
	Why          string                         `json:"why,omitempty"`    // then
	State        *rollout.State                 `json:"state"`
	Observations map[string]rollout.Observation `json:"sights"` // whole at the leader; elsewhere of its own senders alone
	Listed       []rollout.Endpoint             `json:"listed"`
	Traffic      Traffic                        `json:"spent"` // by this agent
}

// Result answers a command.
type Result struct {
	Index uint64        `json:"index,omitempty"`
	Plan  *rollout.Plan `json:"plan,omitempty"` // of a dry run, or as it began
	Text  string        `json:"error,omitempty"`
	Kind  string        `json:"kind,omitempty"` // of the error
}

// Kinds of errors, for exit codes.
const (
	KindRejected   = "refused"     // nothing was changed, and won't be until something else has
	KindNoMajority = "no-majority" // nothing was changed
	KindUnknown    = "unknown"     // it may have been
)

// Call is a command as the tool sends it.
type Call struct {
	Command rollout.Command `json:"command"`
	DryRun  bool            `json:"dry_run,omitempty"`
}

// Paths of an agent.
const (
	viewPath          = "/v1/fleet"
	commandPath       = "/v1/command"
	compatibilityPath = "/v1/probe"
	observationsPath  = "/v1/sights"
	joinPath          = "/v1/join"
)

// forwardedHeader marks a call that another agent has passed on: it is not passed on again.
const forwardedHeader = "X-Passed-By"

func (a *Agent) listen() (*admin.HTTPServer, error) {
	return admin.ListenCalls(a.cfg.Listen, map[string]http.HandlerFunc{
		"GET " + viewPath:           a.handleView,
		"POST " + commandPath:       a.handleCommand,
		"POST " + compatibilityPath: a.handleCompatibilityCheck,
		"POST " + observationsPath:  a.handleObservations,
		"POST " + joinPath:          a.handleJoin,
		"POST " + quorum.Path: func(w http.ResponseWriter, r *http.Request) {
			n, err := a.quorumNode()
			if err != nil {
				http.Error(w, err.Error(), http.StatusServiceUnavailable)
				return
			}
			n.Receive(w, r)
		},
	}, maxConnections, serverTimeout, a.log)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(v)
}

// readJSON takes a body; false: it was of no use, which is answered.
func readJSON(w http.ResponseWriter, r *http.Request, into any) bool {
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodySize)).Decode(into)
	if err != nil {
		http.Error(w, "body: "+err.Error(), http.StatusBadRequest)
	}
	return err == nil
}

// handleView passes the question on to the leader, who sees all; if that can't be had this agent's own view has to do.
func (a *Agent) handleView(w http.ResponseWriter, r *http.Request) {
	if leader, leads := a.leadership(); leader != "" && !leads && r.Header.Get(forwardedHeader) == "" && r.URL.Query().Get("own") == "" {
		var v View
		if a.call(r.Context(), a.cfg.Peers[leader], viewPath, nil, &v) == nil {
			writeJSON(w, v)
			return
		}
	}
	writeJSON(w, a.view())
}

func (a *Agent) view() View {
	v := View{Agent: a.cfg.Name, At: time.Now().UTC(), Listed: a.fleet.endpoints()}
	counters := &a.traffic
	v.Traffic = Traffic{counters.reportedBytes.Load(), counters.reports.Load(), counters.polledBytes.Load(), counters.polls.Load()}
	if node, err := a.quorumNode(); err != nil {
		v.Why = err.Error()
	} else {
		s := node.Status()
		v.Quorum = &s
	}
	a.fleet.withLock(func(s *rollout.State, sights map[string]rollout.Observation) {
		v.State, v.Observations = deepCopy(s), maps.Clone(sights)
	})
	return v
}

// deepCopy copies by way of the text: what is handed out is read outside the fleet's mutex.
func deepCopy[T any](v *T) *T {
	c := new(T)
	if text, err := json.Marshal(v); err == nil {
		json.Unmarshal(text, c)
	}
	return c
}

func (a *Agent) handleObservations(w http.ResponseWriter, r *http.Request) {
	var report observationReport
	if readJSON(w, r, &report) && len(report.Observations) <= rollout.MaxSenders {
		a.fleet.observe(report.Observations...)
		if len(report.Endpoints) > 0 {
			a.fleet.setEndpoints(report.Agent, report.Endpoints)
		}
	}
}

func (a *Agent) handleJoin(w http.ResponseWriter, r *http.Request) {
	var member quorum.Member
	if !readJSON(w, r, &member) {
		return
	}
	if a.cfg.Peers[member.Name] == "" || member.Number == 0 {
		http.Error(w, "no agent of that name is known here", http.StatusForbidden)
		return
	}
	node, err := a.quorumNode()
	if err == nil {
		err = node.AddMember(r.Context(), member)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	a.log.Info("an agent is taken in", "name", member.Name, "seat", member.Number)
}

// handleCommand does what the tool asks for, by way of the leader: it alone sees the fleet.
func (a *Agent) handleCommand(w http.ResponseWriter, r *http.Request) {
	var call Call
	if !readJSON(w, r, &call) {
		return
	}
	leader, leads := a.leadership()
	if leader == "" {
		writeJSON(w, errorResult(quorum.ErrNoMajority))
		return
	}
	for !leads && r.Header.Get(forwardedHeader) == "" {
		var answer Result
		ctx, stop := a.whileLeads(r.Context(), leader)
		err := a.call(ctx, a.cfg.Peers[leader], commandPath, call, &answer)
		changed := ctx.Err() != nil && r.Context().Err() == nil
		stop()
		if err == nil || !changed || call.Command.Verb != rollout.Halt {
			if err != nil {
				answer = errorResult(fmt.Errorf("%w (the leading agent %s: %w)", ErrUnknown, leader, err))
			}
			writeJSON(w, answer)
			return
		}
		// A halt twice is a halt: whoever leads next is asked, as nothing more may go out meanwhile.
		by := time.Now().Add(commandTimeout)
		for leader, leads = a.leadership(); leader == "" && time.Now().Before(by) && sleep(r.Context(), leaderInterval); {
			leader, leads = a.leadership()
		}
		if leader == "" {
			writeJSON(w, errorResult(quorum.ErrNoMajority))
			return
		}
	}
	writeJSON(w, a.execute(r.Context(), call))
}

// whileLeads ends with its parent, or once another agent than that one leads, or none: what it was asked may never be
// answered then.
func (a *Agent) whileLeads(parent context.Context, leader string) (context.Context, context.CancelFunc) {
	ctx, stop := context.WithCancel(parent)
	go func() {
		defer stop()
		for sleep(ctx, leaderInterval) {
			if now, leads := a.leadership(); now != leader || leads {
				return
			}
		}
	}()
	return ctx, stop
}

func errorResult(err error) Result {
	kind := KindRejected
	switch {
	case errors.Is(err, quorum.ErrNoMajority), errors.Is(err, quorum.ErrStopped):
		kind = KindNoMajority
	case errors.Is(err, ErrUnknown):
		kind = KindUnknown
	}
	return Result{Text: err.Error(), Kind: kind}
}

// operatorVerbs are the verbs that the tool may ask for.
var operatorVerbs = []rollout.Verb{rollout.SetTerms, rollout.Start, rollout.Halt, rollout.Resume, rollout.RollBack, rollout.Activate, rollout.ExcludeEndpoint, rollout.IncludeEndpoint}

func (a *Agent) execute(ctx context.Context, call Call) Result {
	command := call.Command
	if !slices.Contains(operatorVerbs, command.Verb) {
		return errorResult(fmt.Errorf("%w: %q is not for staff", rollout.ErrRejected, command.Verb))
	}
	if command.By == "" || command.Reason == "" {
		return errorResult(fmt.Errorf("%w: an author and a reason are needed", rollout.ErrRejected))
	}
	command.At = time.Now().UTC()
	if command.Verb == rollout.Start {
		var draft *rollout.Plan
		var err error
		a.awaitObservations(ctx)
		command.At = time.Now().UTC()
		a.fleet.withLock(func(state *rollout.State, observations map[string]rollout.Observation) {
			command.Seen = state.Seen(observations, command.At)
			draft, err = state.Draft(state.Index+1, command)
		})
		if err == nil && draft.Kind == rollout.Release {
			err = a.checkPlan(ctx, draft)
		}
		if err != nil {
			return errorResult(err)
		}
		if call.DryRun {
			return Result{Plan: draft}
		}
		command.At = time.Now().UTC() // the probes took a while
		a.fleet.withLock(func(state *rollout.State, observations map[string]rollout.Observation) {
			command.Seen = state.Seen(observations, command.At)
		})
	}
	if command.Verb == rollout.ExcludeEndpoint {
		command.Listed = a.fleet.endpoints()
	}
	index, err := a.propose(ctx, command)
	if err != nil {
		return errorResult(err)
	}
	answer := Result{Index: index}
	a.fleet.withLock(func(state *rollout.State, _ map[string]rollout.Observation) {
		if p := state.Plan(index); p != nil {
			answer.Plan = deepCopy(p)
		}
	})
	return answer
}

// awaitObservations waits until all senders are seen serving, or for as long as a sight holds: a new leader has heard of few at first.
func (a *Agent) awaitObservations(ctx context.Context) {
	for began := time.Now(); ; {
		all, fresh := false, time.Duration(0)
		a.fleet.withLock(func(state *rollout.State, observations map[string]rollout.Observation) {
			all, fresh = len(state.Seen(observations, time.Now())) == len(state.Members), state.Terms.Timing.Fresh
		})
		if all || time.Since(began) > fresh || !sleep(ctx, leaderInterval) {
			return
		}
	}
}

// CompatibilityCheck asks an agent whether its senders can run a version, and go back from it.
type CompatibilityCheck struct {
	To      rollout.Version `json:"to"`
	Senders []string        `json:"senders"`
}

// checkPlan asks each agent that has senders in the plan. All must say yes before the first stage.
func (a *Agent) checkPlan(ctx context.Context, plan *rollout.Plan) error {
	sendersOf := map[string][]string{}
	a.fleet.withLock(func(state *rollout.State, _ map[string]rollout.Observation) {
		for name, t := range plan.Tasks {
			if m := state.Members[name]; m != nil && t.Step == rollout.Waiting {
				sendersOf[m.Agent] = append(sendersOf[m.Agent], name)
			}
		}
	})
	var mu sync.Mutex
	var failures []string
	var wg sync.WaitGroup
	for agent, names := range sendersOf {
		wg.Go(func() {
			var answer Result
			var err error
			if agent == a.cfg.Name {
				err = a.checkCompatibility(ctx, CompatibilityCheck{plan.To, names})
			} else if addr := a.cfg.Peers[agent]; addr == "" {
				err = errors.New("its address is not known here")
			} else if err = a.callUntil(ctx, addr, compatibilityPath, CompatibilityCheck{plan.To, names}, &answer, time.Now().Add(2*versionTimeout)); err == nil && answer.Text != "" {
				err = errors.New(answer.Text)
			}
			if err != nil {
				mu.Lock()
				defer mu.Unlock()
				failures = append(failures, fmt.Sprintf("agent %s: %v", agent, err))
			}
		})
	}
	wg.Wait()
	if len(failures) > 0 {
		slices.Sort(failures)
		return fmt.Errorf("%w: %s", rollout.ErrRejected, strings.Join(failures, "; "))
	}
	return nil
}

func (a *Agent) handleCompatibilityCheck(w http.ResponseWriter, r *http.Request) {
	var check CompatibilityCheck
	if !readJSON(w, r, &check) {
		return
	}
	if err := a.checkCompatibility(r.Context(), check); err != nil {
		writeJSON(w, Result{Text: err.Error(), Kind: KindRejected})
		return
	}
	writeJSON(w, Result{})
}

// ProgramInfo is what a program tells of itself, by `version --json`.
type ProgramInfo struct {
	Version string `json:"version"`
	Reads   []int  `json:"journal_reads"` // forms of the journal that it understands
	Writes  int    `json:"journal_writes"`
}

// checkCompatibility looks at what a version needs on this machine: a program that runs and can go on from the old one's journal, and
// the old one from its, or a configuration for each sender.
func (a *Agent) checkCompatibility(ctx context.Context, check CompatibilityCheck) error {
	next, err := programInfo(ctx, check.To.Program)
	if check.To.Program != "" && err != nil {
		return err
	}
	for _, s := range a.supervisors {
		if !slices.Contains(check.Senders, s.Name) {
			continue
		}
		if check.To.Config != "" {
			if _, err := os.Stat(check.To.Config + "/" + s.Name + ".json"); err != nil {
				return fmt.Errorf("no configuration for %s: %w", s.Name, err)
			}
		}
		if check.To.Program == "" {
			continue
		}
		old, err := programInfo(ctx, s.version().Program)
		switch {
		case err != nil:
			return fmt.Errorf("%s: the version that it runs can't be asked whether there is a way back: %w", s.Name, err)
		case !slices.Contains(next.Reads, old.Writes):
			return fmt.Errorf("%s: %s can't read the journal that %s writes (form %d)", s.Name, check.To.Name, s.version().Name, old.Writes)
		case !slices.Contains(old.Reads, next.Writes):
			return fmt.Errorf("%s: no way back: %s can't read the journal that %s writes (form %d)", s.Name, s.version().Name, check.To.Name, next.Writes)
		}
	}
	return nil
}

func programInfo(ctx context.Context, program string) (info ProgramInfo, err error) {
	if program == "" {
		return info, errors.New("no program")
	}
	ctx, cancel := context.WithDeadline(ctx, time.Now().Add(versionTimeout))
	defer cancel()
	command := exec.CommandContext(ctx, program, "version", "--json")
	var stdout, stderr bytes.Buffer
	command.Stdout, command.Stderr = &stdout, &stderr
	command.WaitDelay = time.Second
	if err := command.Run(); err != nil {
		return info, fmt.Errorf("%s can't be run: %w: %.200s", program, err, strings.TrimSpace(stderr.String()))
	}
	if err := json.Unmarshal(stdout.Bytes(), &info); err != nil || len(info.Reads) == 0 {
		return info, fmt.Errorf("%s does not say which journals it reads; it is no version that agents can manage", program)
	}
	return info, nil
}

// call makes one call to another agent.
func (a *Agent) call(ctx context.Context, addr, path string, body, into any) error {
	span := callTimeout
	if path == commandPath {
		span = serverTimeout
	}
	return a.callUntil(ctx, addr, path, body, into, time.Now().Add(span))
}

func (a *Agent) callUntil(ctx context.Context, addr, path string, body, into any, deadline time.Time) error {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	return sendJSON(ctx, a.http, addr, path, body, into, http.Header{forwardedHeader: {a.cfg.Name}})
}

// sendJSON makes one call to an agent: a question without a body, else an order.
func sendJSON(ctx context.Context, client *http.Client, addr, path string, body, into any, header http.Header) error {
	method, reader := http.MethodGet, io.Reader(nil)
	if body != nil {
		text, err := json.Marshal(body)
		if err != nil {
			return err
		}
		method, reader = http.MethodPost, bytes.NewReader(text)
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, reader)
	if err != nil {
		return err
	}
	maps.Copy(request.Header, header)
	text, err := fetch(client, request)
	if err == nil && into != nil {
		err = json.Unmarshal(text, into)
	}
	return err
}

// fetch makes a call and reads what is answered; anything but a yes is an error.
func fetch(client *http.Client, request *http.Request) ([]byte, error) {
	response, err := client.Do(request)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errNoResponse, err)
	}
	defer response.Body.Close()
	text, err := io.ReadAll(io.LimitReader(response.Body, 4*maxBodySize))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errNoResponse, err)
	}
	if response.StatusCode/100 != 2 {
		return nil, fmt.Errorf("%s: %.300s", response.Status, bytes.TrimSpace(text))
	}
	return text, nil
}

// FetchView asks an agent how the fleet stands.
func FetchView(ctx context.Context, addr string) (v View, err error) {
	return v, sendJSON(ctx, http.DefaultClient, addr, viewPath, nil, &v, nil)
}

// FetchOwnView asks an agent what it knows by itself, without the leader.
func FetchOwnView(ctx context.Context, addr string) (v View, err error) {
	return v, sendJSON(ctx, http.DefaultClient, addr, viewPath+"?own=1", nil, &v, nil)
}

// SendCommand has an agent do what staff ask for.
func SendCommand(ctx context.Context, addr string, c Call) (r Result, err error) {
	return r, sendJSON(ctx, http.DefaultClient, addr, commandPath, c, &r, nil)
}
