package main

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"cleathold/internal/rollout"
	"cleathold/internal/settings"
)

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
