package main

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"

	"cleathold/internal/agent"
	"cleathold/internal/rollout"
)

// planSummary returns a line that describes a plan and its progress.
func planSummary(p *rollout.Plan) string {
	steps := map[rollout.Step]int{}
	for _, task := range p.Tasks {
		steps[task.Step]++
	}
	var progress []string
	for _, step := range slices.Sorted(maps.Keys(steps)) {
		progress = append(progress, fmt.Sprintf("%d %s", steps[step], step))
	}
	text := fmt.Sprintf("plan %d: %s", p.ID, p.Kind)
	if p.Kind == rollout.Release {
		text += fmt.Sprintf(" of %s, stage %d of %d", p.To.Name, p.Stage+1, len(p.Stages))
	}
	text += fmt.Sprintf(", by %s (%s): %s, %s", p.By, p.Reason, p.Phase, strings.Join(progress, ", "))
	if p.PhaseReason != "" {
		text += fmt.Sprintf("; %s (revision %d)", p.PhaseReason, p.Revision)
	}
	return text
}

// fleetPlansCmd lists all plans.
type fleetPlansCmd struct{ jsonFlag }

// Run executes the command.
func (c *fleetPlansCmd) Run(out io.Writer, f *fleetCmd) error {
	view, err := f.view()
	if err != nil {
		return err
	}
	if c.JSON {
		return writeJSON(out, view.State.Plans)
	}
	for _, p := range view.State.Plans {
		fmt.Fprintln(out, planSummary(p))
	}
	return nil
}

// fleetShowCmd shows one plan with the step of each sender.
type fleetShowCmd struct {
	jsonFlag
	Plan uint64 `arg:"" help:"Number of the plan."`
}

// Run executes the command.
func (c *fleetShowCmd) Run(out io.Writer, f *fleetCmd) error {
	view, err := f.view()
	if err != nil {
		return err
	}
	plan := view.State.Plan(c.Plan)
	if plan == nil {
		return exitError{fmt.Errorf("no plan %d", c.Plan), exitNotFound}
	}
	if c.JSON {
		return writeJSON(out, plan)
	}
	return writePlan(out, view, plan)
}

// writePlan writes the summary of a plan, and a table of its senders by stage.
func writePlan(out io.Writer, v agent.FleetView, p *rollout.Plan) error {
	fmt.Fprintln(out, planSummary(p))
	table := newTable(out)
	fmt.Fprintln(table, "STAGE\tSENDER\tSTEP\tSTANDS\tWHY")
	for i, stage := range p.Stages {
		for _, name := range stage {
			status, _ := senderStatus(v, name)
			why := strings.Join(strings.Fields(p.Tasks[name].Why), " ")
			fmt.Fprintf(table, "%d\t%s\t%s\t%s\t%s\n", i+1, name, p.Tasks[name].Step, status, why)
		}
	}
	return table.Flush()
}

// planFlags holds the flags of the commands that change a plan.
type planFlags struct {
	jsonFlag
	attribution
	Plan uint64 `arg:"" help:"Number of the plan."`
}

// run sends a command for the plan and writes the result.
func (p *planFlags) run(out io.Writer, f *fleetCmd, c rollout.Command) error {
	c.Plan = p.Plan
	result, err := f.sendCommand(c, p.attribution, false)
	if err != nil {
		return err
	}
	if p.JSON {
		return writeJSON(out, result)
	}
	_, err = fmt.Fprintf(out, "plan %d: %s\n", p.Plan, c.Verb)
	return err
}

// fleetHaltCmd halts a plan.
type fleetHaltCmd struct{ planFlags }

// Run executes the command.
func (c *fleetHaltCmd) Run(out io.Writer, f *fleetCmd) error {
	return c.run(out, f, rollout.Command{Verb: rollout.Halt})
}

// fleetBackCmd rolls a plan back.
type fleetBackCmd struct{ planFlags }

// Run executes the command.
func (c *fleetBackCmd) Run(out io.Writer, f *fleetCmd) error {
	return c.run(out, f, rollout.Command{Verb: rollout.RollBack})
}

// fleetResumeCmd resumes a halted plan. The command is rejected if the plan has changed since the given revision.
type fleetResumeCmd struct {
	planFlags
	Revision uint64 `help:"${help_fleet_revision}" required:""`
}

// Run executes the command.
func (c *fleetResumeCmd) Run(out io.Writer, f *fleetCmd) error {
	return c.run(out, f, rollout.Command{Verb: rollout.Resume, Revision: c.Revision})
}

// fleetActivateCmd returns drained senders to service.
type fleetActivateCmd struct {
	planFlags
	Senders []string `arg:"" optional:"" help:"Names of senders; without any, all of the plan."`
}

// Run executes the command.
func (c *fleetActivateCmd) Run(out io.Writer, f *fleetCmd) error {
	return c.run(out, f, rollout.Command{Verb: rollout.Activate, Senders: c.Senders})
}
