package main

import (
	"fmt"
	"io"
	"strings"
	"time"

	"cleathold/internal/rollout"
)

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
