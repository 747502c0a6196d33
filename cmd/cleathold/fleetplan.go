package main

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"

	"cleathold/internal/agent"
	"cleathold/internal/rollout"
)

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
