package main

import (
	"fmt"
	"io"
	"strings"
	"time"

	"cleathold/internal/agent"
	"cleathold/internal/rollout"
)

// startFlags holds the flags of the commands that start a plan.
type startFlags struct {
	jsonFlag
	attribution
	AtOnce int  `help:"So many of them out at once, within the budget; 0 = what the budget allows." default:"0"`
	Plan   bool `help:"Only print the stages; nothing is changed."`
	Watch  bool `help:"Tell the progress until the plan is over, halted, or has gone back."`
}

// run starts the plan and writes its stages. With --plan it only writes the stages and changes nothing.
func (s *startFlags) run(out io.Writer, f *fleetCmd, plan *rollout.Plan) error {
	plan.AtOnce = s.AtOnce
	result, err := f.sendCommand(rollout.Command{Verb: rollout.Start, New: plan}, s.attribution, s.Plan)
	if err != nil {
		return err
	}
	if s.JSON {
		err = writeJSON(out, result)
	} else {
		err = s.writeResult(out, result)
	}
	if err != nil || s.Plan || !s.Watch {
		return err
	}
	return f.watch(out, result.Index)
}

// writeResult writes the stages of the plan and, if it was started, its number.
func (s *startFlags) writeResult(out io.Writer, result agent.CommandResult) error {
	if result.Plan != nil {
		for i, stage := range result.Plan.Stages {
			fmt.Fprintf(out, "stage %d: %s\n", i+1, strings.Join(stage, ", "))
		}
	}
	if s.Plan {
		_, err := fmt.Fprintln(out, "nothing is changed")
		return err
	}
	id := result.Index
	fmt.Fprintf(out, "plan %d runs; 'fleet show %d' tells how far it is, 'fleet halt %d' stops it\n", id, id, id)
	return nil
}

// fleetDrainCmd starts a plan that drains senders.
type fleetDrainCmd struct {
	startFlags
	Senders []string      `arg:"" help:"Names of senders."`
	For     time.Duration `help:"Each stays out for so long and comes back by itself; without it, until 'fleet activate'."`
}

// Run executes the command.
func (c *fleetDrainCmd) Run(out io.Writer, f *fleetCmd) error {
	return c.run(out, f, &rollout.Plan{Kind: rollout.Drain, Stages: [][]string{c.Senders}, Hold: c.For})
}

// fleetReleaseCmd starts a plan that releases a program or a configuration.
type fleetReleaseCmd struct {
	startFlags
	Senders           []string      `arg:"" optional:"" help:"Names of senders; without any, all."`
	Name              string        `help:"The release's name, which no other has." required:""`
	Program           string        `help:"The program's file, the same path on each agent's machine." type:"path"`
	Config            string        `help:"${help_fleet_config}" type:"path"`
	RollBackOnFailure bool          `help:"A stage that fails goes back by itself, not only halts." name:"go-back"`
	MinMessages       int           `help:"${help_fleet_least}" default:"30" name:"least"`
	Soak              time.Duration `help:"A stage is looked at for so long at the least." default:"5s"`
	Wait              time.Duration `help:"A stage that is not known to be good after this halts." default:"10m"`
	Slack             float64       `help:"So much worse may a share be, besides chance." default:"0.02"`
}

// Run executes the command.
func (c *fleetReleaseCmd) Run(out io.Writer, f *fleetCmd) error {
	plan := &rollout.Plan{
		Kind:              rollout.Release,
		To:                rollout.Version{Name: c.Name, Program: c.Program, Config: c.Config},
		RollBackOnFailure: c.RollBackOnFailure,
		Gate:              rollout.Gate{MinMessages: c.MinMessages, Soak: c.Soak, Wait: c.Wait, Slack: c.Slack},
	}
	if len(c.Senders) > 0 {
		plan.Stages = [][]string{c.Senders}
	}
	return c.run(out, f, plan)
}
