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
	placesMost = 128
	frontSpan  = 15 * time.Second // a call that asks all agents to look at a program takes a while
	bodyMost   = 8 << 20
	probeSpan  = 5 * time.Second // a program must tell its version within this
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
	viewPath    = "/v1/fleet"
	commandPath = "/v1/command"
	probePath   = "/v1/probe"
	sightsPath  = "/v1/sights"
	joinPath    = "/v1/join"
)

// hopHeader marks a call that another agent has passed on: it is not passed on again.
const hopHeader = "X-Passed-By"

func (a *Agent) listen() (*admin.HTTPServer, error) {
	return admin.ListenCalls(a.cfg.Listen, map[string]http.HandlerFunc{
		"GET " + viewPath:     a.showView,
		"POST " + commandPath: a.takeCommand,
		"POST " + probePath:   a.takeProbe,
		"POST " + sightsPath:  a.takeSights,
		"POST " + joinPath:    a.takeJoin,
		"POST " + quorum.Path: func(w http.ResponseWriter, r *http.Request) {
			n, err := a.quorum()
			if err != nil {
				http.Error(w, err.Error(), http.StatusServiceUnavailable)
				return
			}
			n.Receive(w, r)
		},
	}, placesMost, frontSpan, a.log)
}

func reply(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(v)
}

// read takes a body; false: it was of no use, which is answered.
func read(w http.ResponseWriter, r *http.Request, into any) bool {
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, bodyMost)).Decode(into)
	if err != nil {
		http.Error(w, "body: "+err.Error(), http.StatusBadRequest)
	}
	return err == nil
}

// showView passes the question on to the leader, who sees all; if that can't be had this agent's own view has to do.
func (a *Agent) showView(w http.ResponseWriter, r *http.Request) {
	if leader, leads := a.contact(); leader != "" && !leads && r.Header.Get(hopHeader) == "" && r.URL.Query().Get("own") == "" {
		var v View
		if a.call(r.Context(), a.cfg.Peers[leader], viewPath, nil, &v) == nil {
			reply(w, v)
			return
		}
	}
	reply(w, a.view())
}

func (a *Agent) view() View {
	v := View{Agent: a.cfg.Name, At: time.Now().UTC(), Listed: a.fleet.endpoints()}
	x := &a.spent
	v.Traffic = Traffic{x.toldBytes.Load(), x.toldCalls.Load(), x.lookBytes.Load(), x.looks.Load()}
	if n, err := a.quorum(); err != nil {
		v.Why = err.Error()
	} else {
		s := n.Status()
		v.Quorum = &s
	}
	a.fleet.with(func(s *rollout.State, sights map[string]rollout.Observation) {
		v.State, v.Observations = copyOf(s), maps.Clone(sights)
	})
	return v
}

// copyOf copies by way of the text: what is handed out is read outside the fleet's mutex.
func copyOf[T any](v *T) *T {
	c := new(T)
	if text, err := json.Marshal(v); err == nil {
		json.Unmarshal(text, c)
	}
	return c
}

func (a *Agent) takeSights(w http.ResponseWriter, r *http.Request) {
	var s sightings
	if read(w, r, &s) && len(s.List) <= rollout.MaxSenders {
		a.fleet.saw(s.List...)
		if len(s.Endpoints) > 0 {
			a.fleet.lists(s.Agent, s.Endpoints)
		}
	}
}

func (a *Agent) takeJoin(w http.ResponseWriter, r *http.Request) {
	var s quorum.Member
	if !read(w, r, &s) {
		return
	}
	if a.cfg.Peers[s.Name] == "" || s.Number == 0 {
		http.Error(w, "no agent of that name is known here", http.StatusForbidden)
		return
	}
	n, err := a.quorum()
	if err == nil {
		err = n.AddMember(r.Context(), s)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	a.log.Info("an agent is taken in", "name", s.Name, "seat", s.Number)
}

// takeCommand does what the tool asks for, by way of the leader: it alone sees the fleet.
func (a *Agent) takeCommand(w http.ResponseWriter, r *http.Request) {
	var c Call
	if !read(w, r, &c) {
		return
	}
	leader, leads := a.contact()
	if leader == "" {
		reply(w, failure(quorum.ErrNoMajority))
		return
	}
	for !leads && r.Header.Get(hopHeader) == "" {
		var answer Result
		ctx, stop := a.whileLeads(r.Context(), leader)
		err := a.call(ctx, a.cfg.Peers[leader], commandPath, c, &answer)
		changed := ctx.Err() != nil && r.Context().Err() == nil
		stop()
		if err == nil || !changed || c.Command.Verb != rollout.Halt {
			if err != nil {
				answer = failure(fmt.Errorf("%w (the leading agent %s: %w)", ErrUnknown, leader, err))
			}
			reply(w, answer)
			return
		}
		// A halt twice is a halt: whoever leads next is asked, as nothing more may go out meanwhile.
		by := time.Now().Add(commandSpan)
		for leader, leads = a.contact(); leader == "" && time.Now().Before(by) && pause(r.Context(), driveSpan); {
			leader, leads = a.contact()
		}
		if leader == "" {
			reply(w, failure(quorum.ErrNoMajority))
			return
		}
	}
	reply(w, a.command(r.Context(), c))
}

// whileLeads ends with its parent, or once another agent than that one leads, or none: what it was asked may never be
// answered then.
func (a *Agent) whileLeads(parent context.Context, leader string) (context.Context, context.CancelFunc) {
	ctx, stop := context.WithCancel(parent)
	go func() {
		defer stop()
		for pause(ctx, driveSpan) {
			if now, leads := a.contact(); now != leader || leads {
				return
			}
		}
	}()
	return ctx, stop
}

func failure(err error) Result {
	kind := KindRejected
	switch {
	case errors.Is(err, quorum.ErrNoMajority), errors.Is(err, quorum.ErrStopped):
		kind = KindNoMajority
	case errors.Is(err, ErrUnknown):
		kind = KindUnknown
	}
	return Result{Text: err.Error(), Kind: kind}
}

// staff are the verbs that the tool may ask for.
var staff = []rollout.Verb{rollout.SetTerms, rollout.Start, rollout.Halt, rollout.Resume, rollout.RollBack, rollout.Activate, rollout.ExcludeEndpoint, rollout.IncludeEndpoint}

func (a *Agent) command(ctx context.Context, call Call) Result {
	c := call.Command
	if !slices.Contains(staff, c.Verb) {
		return failure(fmt.Errorf("%w: %q is not for staff", rollout.ErrRejected, c.Verb))
	}
	if c.By == "" || c.Reason == "" {
		return failure(fmt.Errorf("%w: an author and a reason are needed", rollout.ErrRejected))
	}
	c.At = time.Now().UTC()
	if c.Verb == rollout.Start {
		var draft *rollout.Plan
		var err error
		a.allSeen(ctx)
		c.At = time.Now().UTC()
		a.fleet.with(func(s *rollout.State, sights map[string]rollout.Observation) {
			c.Seen = s.Seen(sights, c.At)
			draft, err = s.Draft(s.Index+1, c)
		})
		if err == nil && draft.Kind == rollout.Release {
			err = a.probeAll(ctx, draft)
		}
		if err != nil {
			return failure(err)
		}
		if call.DryRun {
			return Result{Plan: draft}
		}
		c.At = time.Now().UTC() // the probes took a while
		a.fleet.with(func(s *rollout.State, sights map[string]rollout.Observation) { c.Seen = s.Seen(sights, c.At) })
	}
	if c.Verb == rollout.ExcludeEndpoint {
		c.Listed = a.fleet.endpoints()
	}
	index, err := a.propose(ctx, c)
	if err != nil {
		return failure(err)
	}
	answer := Result{Index: index}
	a.fleet.with(func(s *rollout.State, _ map[string]rollout.Observation) {
		if p := s.Plan(index); p != nil {
			answer.Plan = copyOf(p)
		}
	})
	return answer
}

// allSeen waits until all senders are seen serving, or for as long as a sight holds: a new leader has heard of few at first.
func (a *Agent) allSeen(ctx context.Context) {
	for began := time.Now(); ; {
		all, fresh := false, time.Duration(0)
		a.fleet.with(func(s *rollout.State, sights map[string]rollout.Observation) {
			all, fresh = len(s.Seen(sights, time.Now())) == len(s.Members), s.Terms.Timing.Fresh
		})
		if all || time.Since(began) > fresh || !pause(ctx, driveSpan) {
			return
		}
	}
}

// CompatibilityCheck asks an agent whether its senders can run a version, and go back from it.
type CompatibilityCheck struct {
	To      rollout.Version `json:"to"`
	Senders []string        `json:"senders"`
}

// probeAll asks each agent that has senders in the plan. All must say yes before the first stage.
func (a *Agent) probeAll(ctx context.Context, p *rollout.Plan) error {
	of := map[string][]string{}
	a.fleet.with(func(s *rollout.State, _ map[string]rollout.Observation) {
		for name, t := range p.Tasks {
			if m := s.Members[name]; m != nil && t.Step == rollout.Waiting {
				of[m.Agent] = append(of[m.Agent], name)
			}
		}
	})
	var mu sync.Mutex
	var faults []string
	var wg sync.WaitGroup
	for agent, names := range of {
		wg.Go(func() {
			var answer Result
			var err error
			if agent == a.cfg.Name {
				err = a.probe(ctx, CompatibilityCheck{p.To, names})
			} else if addr := a.cfg.Peers[agent]; addr == "" {
				err = errors.New("its address is not known here")
			} else if err = a.callBefore(ctx, addr, probePath, CompatibilityCheck{p.To, names}, &answer, time.Now().Add(2*probeSpan)); err == nil && answer.Text != "" {
				err = errors.New(answer.Text)
			}
			if err != nil {
				mu.Lock()
				defer mu.Unlock()
				faults = append(faults, fmt.Sprintf("agent %s: %v", agent, err))
			}
		})
	}
	wg.Wait()
	if len(faults) > 0 {
		slices.Sort(faults)
		return fmt.Errorf("%w: %s", rollout.ErrRejected, strings.Join(faults, "; "))
	}
	return nil
}

func (a *Agent) takeProbe(w http.ResponseWriter, r *http.Request) {
	var p CompatibilityCheck
	if !read(w, r, &p) {
		return
	}
	if err := a.probe(r.Context(), p); err != nil {
		reply(w, Result{Text: err.Error(), Kind: KindRejected})
		return
	}
	reply(w, Result{})
}

// ProgramInfo is what a program tells of itself, by `version --json`.
type ProgramInfo struct {
	Version string `json:"version"`
	Reads   []int  `json:"journal_reads"` // forms of the journal that it understands
	Writes  int    `json:"journal_writes"`
}

// probe looks at what a version needs on this machine: a program that runs and can go on from the old one's journal, and
// the old one from its, or a configuration for each sender.
func (a *Agent) probe(ctx context.Context, p CompatibilityCheck) error {
	next, err := about(ctx, p.To.Program)
	if p.To.Program != "" && err != nil {
		return err
	}
	for _, m := range a.minders {
		if !slices.Contains(p.Senders, m.Name) {
			continue
		}
		if p.To.Config != "" {
			if _, err := os.Stat(p.To.Config + "/" + m.Name + ".json"); err != nil {
				return fmt.Errorf("no configuration for %s: %w", m.Name, err)
			}
		}
		if p.To.Program == "" {
			continue
		}
		old, err := about(ctx, m.running().Program)
		switch {
		case err != nil:
			return fmt.Errorf("%s: the version that it runs can't be asked whether there is a way back: %w", m.Name, err)
		case !slices.Contains(next.Reads, old.Writes):
			return fmt.Errorf("%s: %s can't read the journal that %s writes (form %d)", m.Name, p.To.Name, m.running().Name, old.Writes)
		case !slices.Contains(old.Reads, next.Writes):
			return fmt.Errorf("%s: no way back: %s can't read the journal that %s writes (form %d)", m.Name, m.running().Name, p.To.Name, next.Writes)
		}
	}
	return nil
}

func about(ctx context.Context, program string) (v ProgramInfo, err error) {
	if program == "" {
		return v, errors.New("no program")
	}
	ctx, cancel := context.WithDeadline(ctx, time.Now().Add(probeSpan))
	defer cancel()
	c := exec.CommandContext(ctx, program, "version", "--json")
	var out, fault bytes.Buffer
	c.Stdout, c.Stderr = &out, &fault
	c.WaitDelay = time.Second
	if err := c.Run(); err != nil {
		return v, fmt.Errorf("%s can't be run: %w: %.200s", program, err, strings.TrimSpace(fault.String()))
	}
	if err := json.Unmarshal(out.Bytes(), &v); err != nil || len(v.Reads) == 0 {
		return v, fmt.Errorf("%s does not say which journals it reads; it is no version that agents can manage", program)
	}
	return v, nil
}

// call makes one call to another agent.
func (a *Agent) call(ctx context.Context, addr, path string, body, into any) error {
	span := callSpan
	if path == commandPath {
		span = frontSpan
	}
	return a.callBefore(ctx, addr, path, body, into, time.Now().Add(span))
}

func (a *Agent) callBefore(ctx context.Context, addr, path string, body, into any, until time.Time) error {
	ctx, cancel := context.WithDeadline(ctx, until)
	defer cancel()
	return Ask(ctx, a.http, addr, path, body, into, http.Header{hopHeader: {a.cfg.Name}})
}

// Ask makes one call to an agent: a question without a body, else an order.
func Ask(ctx context.Context, client *http.Client, addr, path string, body, into any, head http.Header) error {
	method, send := http.MethodGet, io.Reader(nil)
	if body != nil {
		text, err := json.Marshal(body)
		if err != nil {
			return err
		}
		method, send = http.MethodPost, bytes.NewReader(text)
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, send)
	if err != nil {
		return err
	}
	maps.Copy(r.Header, head)
	text, err := fetch(client, r)
	if err == nil && into != nil {
		err = json.Unmarshal(text, into)
	}
	return err
}

// fetch makes a call and reads what is answered; anything but a yes is an error.
func fetch(client *http.Client, r *http.Request) ([]byte, error) {
	answer, err := client.Do(r)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errNoAnswer, err)
	}
	defer answer.Body.Close()
	text, err := io.ReadAll(io.LimitReader(answer.Body, 4*bodyMost))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errNoAnswer, err)
	}
	if answer.StatusCode/100 != 2 {
		return nil, fmt.Errorf("%s: %.300s", answer.Status, bytes.TrimSpace(text))
	}
	return text, nil
}

// FetchView asks an agent how the fleet stands.
func FetchView(ctx context.Context, addr string) (v View, err error) {
	return v, Ask(ctx, http.DefaultClient, addr, viewPath, nil, &v, nil)
}

// FetchOwnView asks an agent what it knows by itself, without the leader.
func FetchOwnView(ctx context.Context, addr string) (v View, err error) {
	return v, Ask(ctx, http.DefaultClient, addr, viewPath+"?own=1", nil, &v, nil)
}

// SendCommand has an agent do what staff ask for.
func SendCommand(ctx context.Context, addr string, c Call) (r Result, err error) {
	return r, Ask(ctx, http.DefaultClient, addr, commandPath, c, &r, nil)
}
