package main

import (
	"fmt"
	"io"

	"cleathold/internal/agent"
	"cleathold/internal/rollout"
)

// fleetEndpointCmd groups the commands for endpoints.
type fleetEndpointCmd struct {
	List fleetEndpointListCmd `cmd:"" help:"The endpoints that senders know, and which are out."`
	Out  fleetEndpointOutCmd  `cmd:"" help:"Have all senders leave an endpoint alone: nothing new goes there."`
	In   fleetEndpointInCmd   `cmd:"" help:"Have senders use it again."`
}

// fleetEndpointListCmd lists the endpoints that senders know.
type fleetEndpointListCmd struct{ jsonFlag }

// Run executes the command.
func (c *fleetEndpointListCmd) Run(out io.Writer, f *fleetCmd) error {
	view, err := f.view()
	if err != nil {
		return err
	}
	if c.JSON {
		return writeJSON(out, map[string]any{"listed": view.Endpoints, "out": view.State.Endpoints})
	}
	table := newTable(out)
	fmt.Fprintln(table, "ENDPOINT\tDESTINATION\tKIND\tSTANDS")
	for _, e := range view.Endpoints {
		fmt.Fprintf(table, "%s\t%d\t%d\t%s\n", e.ID, e.Dest, e.Kind, endpointStatus(view, e))
	}
	return table.Flush()
}

// endpointStatus returns a short description of whether senders use an endpoint.
func endpointStatus(v agent.FleetView, e rollout.Endpoint) string {
	exclusion := v.State.Endpoints[e.ID]
	switch {
	case exclusion != nil && exclusion.Back.IsZero():
		return fmt.Sprintf("out, by %s (%s)", exclusion.By, exclusion.Reason)
	case exclusion != nil:
		return "on its way back"
	case !e.Up:
		return "drained by discovery"
	}
	return "in"
}

// fleetEndpointOutCmd excludes an endpoint for all senders.
type fleetEndpointOutCmd struct {
	attribution
	ID string `arg:"" help:"The endpoint's id, as 'fleet endpoint list' has it."`
}

// Run executes the command.
func (c *fleetEndpointOutCmd) Run(out io.Writer, f *fleetCmd) error {
	command := rollout.Command{Verb: rollout.ExcludeEndpoint, Endpoint: c.ID}
	if _, err := f.sendCommand(command, c.attribution, false); err != nil {
		return err
	}
	_, err := fmt.Fprintf(out, "%s is out until 'fleet endpoint in %s'\n", c.ID, c.ID)
	return err
}

// fleetEndpointInCmd ends the exclusion of an endpoint.
type fleetEndpointInCmd struct {
	attribution
	ID string `arg:"" help:"The endpoint's id."`
}

// Run executes the command.
func (c *fleetEndpointInCmd) Run(out io.Writer, f *fleetCmd) error {
	command := rollout.Command{Verb: rollout.IncludeEndpoint, Endpoint: c.ID}
	if _, err := f.sendCommand(command, c.attribution, false); err != nil {
		return err
	}
	_, err := fmt.Fprintf(out, "%s is in again\n", c.ID)
	return err
}
