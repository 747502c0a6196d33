package main

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"os/signal"
	"os/user"
	"slices"
	"strings"
	"syscall"
	"text/tabwriter"
	"time"

	"cleathold/internal/agent"
	"cleathold/internal/rollout"
	"cleathold/internal/settings"
)

// The exit codes of the fleet's commands, besides 0 and 1. exitRefused is that of the held commands, too: nothing was changed.
const (
	exitNoMajority  = 4 // no agent answers, or no majority of them agrees: nothing was changed
	exitUnknown     = 5 // it is not known whether anything was changed
	exitPlanStopped = 9 // the plan that was watched is halted, or went back
)

type fleetCmd struct {
	Agents []string `help:"Addresses of agents; the first that answers is asked." env:"CLEATHOLD_AGENTS" name:"agent" placeholder:"ADDRESS" required:""`

	List     fleetListCmd     `cmd:"" help:"All senders: what they run, who is out, who is not seen."`
	Show     fleetShowCmd     `cmd:"" help:"One plan, sender by sender."`
	Plans    fleetPlansCmd    `cmd:"" help:"The plans, the latest last."`
	Drain    fleetDrainCmd    `cmd:"" help:"Have senders go out, as many at once as the budget allows."`
	Activate fleetActivateCmd `cmd:"" help:"Have the senders of a drain come back to work."`
	Release  fleetReleaseCmd  `cmd:"" help:"Put another program or configuration in place, in stages."`
	Halt     fleetHaltCmd     `cmd:"" help:"Have nothing new go out by a plan."`
	Resume   fleetResumeCmd   `cmd:"" help:"Have a halted plan go on."`
	Back     fleetBackCmd     `cmd:"" help:"Have a plan go back: everything as before it, within the same budget."`
	Endpoint fleetEndpointCmd `cmd:"" help:"See endpoints, take one out for all senders, put it back."`
	Events   fleetEventsCmd   `cmd:"" help:"Who did what, and what came of it."`
	Terms    fleetTermsCmd    `cmd:"" help:"Show the budget and the times, or set those of a settings script."`
}

// jsonFlag is how commands reach an agent.
type jsonFlag struct {
	JSON bool `help:"JSON instead of text." name:"json"`
}

// attribution is who orders something and why.
type attribution struct {
	By     string `help:"Who orders it; without it your user's name."`
	Reason string `help:"Why. It is shown by 'fleet events'." required:""`
}

func (t attribution) author() string {
	if t.By == "" {
		if u, err := user.Current(); err == nil {
			return u.Username
		}
	}
	return t.By
}

// firstAnswer asks one agent after the other, until one answers.
func firstAnswer[T any](f *fleetCmd, request func(ctx context.Context, addr string) (T, error)) (T, error) {
	var zero T
	var failures []error
	for _, addr := range f.Agents {
		ctx, cancel := context.WithDeadline(context.Background(), time.Now().Add(20*time.Second))
		v, err := request(ctx, addr)
		cancel()
		if err == nil {
			return v, nil
		}
		failures = append(failures, fmt.Errorf("agent at %s: %w", addr, err))
	}
	return zero, exitError{errors.Join(failures...), exitNoMajority}
}

func (f *fleetCmd) view() (agent.View, error) { return firstAnswer(f, agent.FetchView) }

// sendCommand has something done. An agent that does not answer may have done it: only one that can't be reached at all is
// passed over.
func (f *fleetCmd) sendCommand(c rollout.Command, t attribution, dry bool) (agent.Result, error) {
	c.By, c.Reason = t.author(), t.Reason
	if _, err := f.view(); err != nil {
		return agent.Result{}, err
	}
	r, err := firstAnswer(f, func(ctx context.Context, addr string) (agent.Result, error) {
		if _, err := agent.FetchView(ctx, addr); err != nil {
			return agent.Result{}, err
		}
		r, err := agent.SendCommand(ctx, addr, agent.Call{Command: c, DryRun: dry})
		if err != nil {
			r = agent.Result{Text: fmt.Sprintf("%v: %v", agent.ErrUnknown, err), Kind: agent.KindUnknown}
		}
		return r, nil
	})
	if err != nil || r.Text == "" {
		return r, err
	}
	code := map[string]int{agent.KindRejected: exitRejected, agent.KindNoMajority: exitNoMajority, agent.KindUnknown: exitUnknown}[r.Kind]
	return r, exitError{errors.New(r.Text), cmp.Or(code, 1)}
}

type fleetListCmd struct {
	jsonFlag
	Watch bool `help:"Again and again, until Ctrl-C."`
}

func (c *fleetListCmd) Run(out io.Writer, f *fleetCmd) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	for {
		v, err := f.view()
		if err != nil {
			return err
		}
		if c.JSON {
			err = writeJSON(out, v)
		} else {
			err = writeFleet(out, v)
		}
		if err != nil || !c.Watch {
			return err
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(time.Second):
		}
	}
}

// senderStatus says how a sender stands, in a word or two, and whether it counts as out.
func senderStatus(v agent.View, name string) (text string, out bool) {
	s, observed := v.Observations[name]
	g := v.State.Grants[name]
	stale := v.At.Sub(s.At) > v.State.Terms.Timing.Fresh
	switch {
	case g != nil && g.Drain:
		text = "out, to drain"
	case g != nil:
		text = "out, to run " + g.To.Name
	case !observed:
		return "never seen", true
	case stale:
		return fmt.Sprintf("not seen for %v", v.At.Sub(s.At).Round(time.Second)), true
	case s.Serving:
		return "serves", false
	default:
		return "out: " + s.Phase, true
	}
	if observed && !stale {
		text += ": " + s.Phase
	}
	return text, true
}

func writeFleet(out io.Writer, v agent.View) error {
	outCount := 0
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "SENDER\tBUILDING\tAGENT\tVERSION\tOWES\tSTANDS")
	names := v.State.Order(slices.Collect(maps.Keys(v.State.Members)))
	for _, name := range names {
		m := v.State.Members[name]
		text, isOut := senderStatus(v, name)
		if isOut {
			outCount++
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%s\n", name, m.Building, m.Agent, m.Version.Name, v.Observations[name].Open, text)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	b := v.State.Terms.Budget
	fmt.Fprintf(out, "%d senders, %d out; %d of the fleet may be, %d of a building, %d must serve\n", len(names), outCount, b.Fleet, b.Building, b.Serving)
	for _, p := range v.State.Plans {
		if p.Phase.Open() {
			fmt.Fprintln(out, planSummary(p))
		}
	}
	switch {
	case v.Quorum == nil:
		fmt.Fprintf(out, "WARNING: seen by agent %s alone: %s\n", v.Agent, v.Why)
	case v.Quorum.Leader == "":
		fmt.Fprintf(out, "WARNING: agent %s reaches no majority of the %d agents: nothing new goes out, and what is out comes back as its leases end\n", v.Agent, len(v.Quorum.Members))
	case !v.Quorum.Leads:
		fmt.Fprintf(out, "WARNING: the leading agent %s does not answer; agent %s sees its own senders alone\n", v.Quorum.Leader, v.Agent)
	default:
		fmt.Fprintf(out, "agent %s leads %d agents, term %d, entry %d\n", v.Agent, len(v.Quorum.Members), v.Quorum.Term, v.Quorum.Applied)
	}
	return nil
}

func planSummary(p *rollout.Plan) string {
	steps := map[rollout.Step]int{}
	for _, t := range p.Tasks {
		steps[t.Step]++
	}
	var parts []string
	for _, s := range slices.Sorted(maps.Keys(steps)) {
		parts = append(parts, fmt.Sprintf("%d %s", steps[s], s))
	}
	text := fmt.Sprintf("plan %d: %s", p.ID, p.Kind)
	if p.Kind == rollout.Release {
		text += fmt.Sprintf(" of %s, stage %d of %d", p.To.Name, p.Stage+1, len(p.Stages))
	}
	text += fmt.Sprintf(", by %s (%s): %s, %s", p.By, p.Reason, p.Phase, strings.Join(parts, ", "))
	if p.Why != "" {
		text += fmt.Sprintf("; %s (revision %d)", p.Why, p.Revision)
	}
	return text
}

type fleetPlansCmd struct{ jsonFlag }

func (c *fleetPlansCmd) Run(out io.Writer, f *fleetCmd) error {
	v, err := f.view()
	if err != nil {
		return err
	}
	if c.JSON {
		return writeJSON(out, v.State.Plans)
	}
	for _, p := range v.State.Plans {
		fmt.Fprintln(out, planSummary(p))
	}
	return nil
}

type fleetShowCmd struct {
	jsonFlag
	Plan uint64 `arg:"" help:"Number of the plan."`
}

func (c *fleetShowCmd) Run(out io.Writer, f *fleetCmd) error {
	v, err := f.view()
	if err != nil {
		return err
	}
	p := v.State.Plan(c.Plan)
	if p == nil {
		return exitError{fmt.Errorf("no plan %d", c.Plan), exitNotFound}
	}
	if c.JSON {
		return writeJSON(out, p)
	}
	return writePlan(out, v, p)
}

func writePlan(out io.Writer, v agent.View, p *rollout.Plan) error {
	fmt.Fprintln(out, planSummary(p))
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "STAGE\tSENDER\tSTEP\tSTANDS\tWHY")
	for i, stage := range p.Stages {
		for _, name := range stage {
			text, _ := senderStatus(v, name)
			fmt.Fprintf(w, "%d\t%s\t%s\t%s\t%s\n", i+1, name, p.Tasks[name].Step, text, strings.Join(strings.Fields(p.Tasks[name].Why), " "))
		}
	}
	return w.Flush()
}

// startFlags are the flags of commands that start a plan.
type startFlags struct {
	jsonFlag
	attribution
	AtOnce int  `help:"So many of them out at once, within the budget; 0 = what the budget allows." default:"0"`
	Plan   bool `help:"Only print the stages; nothing is changed."`
	Watch  bool `help:"Tell the progress until the plan is over, halted, or has gone back."`
}

func (b *startFlags) run(out io.Writer, f *fleetCmd, p *rollout.Plan) error {
	p.AtOnce = b.AtOnce
	r, err := f.sendCommand(rollout.Command{Verb: rollout.Start, New: p}, b.attribution, b.Plan)
	if err != nil {
		return err
	}
	if b.JSON {
		if err := writeJSON(out, r); err != nil || b.Plan || !b.Watch {
			return err
		}
	} else if r.Plan != nil {
		for i, stage := range r.Plan.Stages {
			fmt.Fprintf(out, "stage %d: %s\n", i+1, strings.Join(stage, ", "))
		}
	}
	if b.Plan {
		_, err := fmt.Fprintln(out, "nothing is changed")
		return err
	}
	if !b.JSON {
		fmt.Fprintf(out, "plan %d runs; 'fleet show %d' tells how far it is, 'fleet halt %d' stops it\n", r.Index, r.Index, r.Index)
	}
	if !b.Watch {
		return nil
	}
	return f.watch(out, r.Index)
}

// watch tells a plan's progress until it needs nobody any more, or somebody.
func (f *fleetCmd) watch(out io.Writer, id uint64) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	line := ""
	for {
		v, err := f.view()
		if err != nil {
			return err
		}
		p := v.State.Plan(id)
		if p == nil {
			return exitError{fmt.Errorf("plan %d is not known any more", id), exitNotFound}
		}
		if now := planSummary(p); now != line {
			line = now
			fmt.Fprintln(out, line)
		}
		switch {
		case p.Phase == rollout.Done:
			return nil
		case p.Phase == rollout.Halted, p.Phase == rollout.Ended:
			return exitError{fmt.Errorf("plan %d is %s: %s", id, p.Phase, p.Why), exitPlanStopped}
		}
		select {
		case <-ctx.Done():
			return errors.New("not watched any more; the plan goes on")
		case <-time.After(200 * time.Millisecond):
		}
	}
}

type fleetDrainCmd struct {
	startFlags
	Senders []string      `arg:"" help:"Names of senders."`
	For     time.Duration `help:"Each stays out for so long and comes back by itself; without it, until 'fleet activate'."`
}

func (c *fleetDrainCmd) Run(out io.Writer, f *fleetCmd) error {
	return c.run(out, f, &rollout.Plan{Kind: rollout.Drain, Stages: [][]string{c.Senders}, Hold: c.For})
}

type fleetReleaseCmd struct {
	startFlags
	Senders []string      `arg:"" optional:"" help:"Names of senders; without any, all."`
	Name    string        `help:"The release's name, which no other has." required:""`
	Program string        `help:"The program's file, the same path on each agent's machine." type:"path"`
	Config  string        `help:"Folder with a configuration NAME.json for each sender, the same path on each machine." type:"path"`
	GoBack  bool          `help:"A stage that fails goes back by itself, not only halts."`
	Least   int           `help:"Messages that the changed senders must have ended before a stage is judged, and others beside them." default:"30"`
	Soak    time.Duration `help:"A stage is looked at for so long at the least." default:"5s"`
	Wait    time.Duration `help:"A stage that is not known to be good after this halts." default:"10m"`
	Slack   float64       `help:"So much worse may a share be, besides chance." default:"0.02"`
}

func (c *fleetReleaseCmd) Run(out io.Writer, f *fleetCmd) error {
	p := &rollout.Plan{
		Kind: rollout.Release, To: rollout.Version{Name: c.Name, Program: c.Program, Config: c.Config}, RollBackOnFailure: c.GoBack,
		Gate: rollout.Gate{MinMessages: c.Least, Soak: c.Soak, Wait: c.Wait, Slack: c.Slack},
	}
	if len(c.Senders) > 0 {
		p.Stages = [][]string{c.Senders}
	}
	return c.run(out, f, p)
}

// planFlags are the commands that act on a plan.
type planFlags struct {
	jsonFlag
	attribution
	Plan uint64 `arg:"" help:"Number of the plan."`
}

func (t *planFlags) run(out io.Writer, f *fleetCmd, c rollout.Command) error {
	c.Plan = t.Plan
	r, err := f.sendCommand(c, t.attribution, false)
	if err != nil {
		return err
	}
	if t.JSON {
		return writeJSON(out, r)
	}
	_, err = fmt.Fprintf(out, "plan %d: %s\n", t.Plan, c.Verb)
	return err
}

type fleetHaltCmd struct{ planFlags }

func (c *fleetHaltCmd) Run(out io.Writer, f *fleetCmd) error {
	return c.run(out, f, rollout.Command{Verb: rollout.Halt})
}

type fleetBackCmd struct{ planFlags }

func (c *fleetBackCmd) Run(out io.Writer, f *fleetCmd) error {
	return c.run(out, f, rollout.Command{Verb: rollout.RollBack})
}

type fleetResumeCmd struct {
	planFlags
	Revision uint64 `help:"The revision that 'fleet show' told; if the plan has changed since, nothing is done." required:""`
}

func (c *fleetResumeCmd) Run(out io.Writer, f *fleetCmd) error {
	return c.run(out, f, rollout.Command{Verb: rollout.Resume, Revision: c.Revision})
}

type fleetActivateCmd struct {
	planFlags
	Senders []string `arg:"" optional:"" help:"Names of senders; without any, all of the plan."`
}

func (c *fleetActivateCmd) Run(out io.Writer, f *fleetCmd) error {
	return c.run(out, f, rollout.Command{Verb: rollout.Activate, Senders: c.Senders})
}

type fleetEndpointCmd struct {
	List fleetEndpointListCmd `cmd:"" help:"The endpoints that senders know, and which are out."`
	Out  fleetEndpointOutCmd  `cmd:"" help:"Have all senders leave an endpoint alone: nothing new goes there."`
	In   fleetEndpointInCmd   `cmd:"" help:"Have senders use it again."`
}

type fleetEndpointListCmd struct{ jsonFlag }

func (c *fleetEndpointListCmd) Run(out io.Writer, f *fleetCmd) error {
	v, err := f.view()
	if err != nil {
		return err
	}
	if c.JSON {
		return writeJSON(out, map[string]any{"listed": v.Listed, "out": v.State.Endpoints})
	}
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "ENDPOINT\tDESTINATION\tKIND\tSTANDS")
	for _, e := range v.Listed {
		text := "in"
		if x := v.State.Endpoints[e.ID]; x != nil && x.Back.IsZero() {
			text = fmt.Sprintf("out, by %s (%s)", x.By, x.Reason)
		} else if x != nil {
			text = "on its way back"
		} else if !e.Up {
			text = "drained by discovery"
		}
		fmt.Fprintf(w, "%s\t%d\t%d\t%s\n", e.ID, e.Dest, e.Kind, text)
	}
	return w.Flush()
}

type fleetEndpointOutCmd struct {
	attribution
	ID string `arg:"" help:"The endpoint's id, as 'fleet endpoint list' has it."`
}

func (c *fleetEndpointOutCmd) Run(out io.Writer, f *fleetCmd) error {
	_, err := f.sendCommand(rollout.Command{Verb: rollout.ExcludeEndpoint, Endpoint: c.ID}, c.attribution, false)
	if err == nil {
		_, err = fmt.Fprintf(out, "%s is out until 'fleet endpoint in %s'\n", c.ID, c.ID)
	}
	return err
}

type fleetEndpointInCmd struct {
	attribution
	ID string `arg:"" help:"The endpoint's id."`
}

func (c *fleetEndpointInCmd) Run(out io.Writer, f *fleetCmd) error {
	_, err := f.sendCommand(rollout.Command{Verb: rollout.IncludeEndpoint, Endpoint: c.ID}, c.attribution, false)
	if err == nil {
		_, err = fmt.Fprintf(out, "%s is in again\n", c.ID)
	}
	return err
}

type fleetEventsCmd struct {
	jsonFlag
	Most int `help:"So many, the latest." default:"50"`
}

func (c *fleetEventsCmd) Run(out io.Writer, f *fleetCmd) error {
	v, err := f.view()
	if err != nil {
		return err
	}
	list := v.State.Events[max(0, len(v.State.Events)-max(0, c.Most)):]
	if c.JSON {
		return writeJSON(out, list)
	}
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	for _, e := range list {
		fmt.Fprintf(w, "%d\t%s\t%s\t%s\t%s\n", e.Index, e.At.Format(time.RFC3339), e.By, e.Text, e.Reason)
	}
	return w.Flush()
}

type fleetTermsCmd struct {
	jsonFlag
	By       string `help:"Who orders it; without it your user's name."`
	Reason   string `help:"Why."`
	Settings string `arg:"" optional:"" help:"An agent's settings script, whose budget and timing are to hold from now on." type:"existingfile"`
}

func (c *fleetTermsCmd) Run(out io.Writer, f *fleetCmd) error {
	if c.Settings != "" {
		set, err := settings.Load(c.Settings)
		if err != nil {
			return err
		}
		if set.Agent == nil {
			return fmt.Errorf("%s: no agent(name = ...) in it", c.Settings)
		}
		terms := rolloutTerms(set.Agent)
		if _, err := f.sendCommand(rollout.Command{Verb: rollout.SetTerms, Terms: &terms}, attribution{c.By, c.Reason}, false); err != nil {
			return err
		}
	}
	v, err := f.view()
	if err != nil {
		return err
	}
	if c.JSON {
		return writeJSON(out, v.State.Terms)
	}
	b, t := v.State.Terms.Budget, v.State.Terms.Timing
	_, err = fmt.Fprintf(out, "out at once: %d of the fleet, %d of a building (0 = as many as of the fleet); %d must serve\nfresh %v, accept %v, lease %v, clock error %v\n",
		b.Fleet, b.Building, b.Serving, t.Fresh, t.Accept, t.Lease, t.Error)
	return err
}
