package main

import (
	"fmt"
	"io"
	"text/tabwriter"

	"cleathold/internal/rollout"
)

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
