package main

import (
	"fmt"
	"io"
	"time"

	"cleathold/internal/rollout"
)

// fleetEventsCmd lists the latest events of the fleet's log.
type fleetEventsCmd struct {
	jsonFlag
	Limit int `help:"So many, the latest." default:"50" name:"most"`
}

// Run executes the command.
func (c *fleetEventsCmd) Run(out io.Writer, f *fleetCmd) error {
	view, err := f.view()
	if err != nil {
		return err
	}
	events := view.State.Events
	events = events[max(0, len(events)-max(0, c.Limit)):]
	if c.JSON {
		return writeJSON(out, events)
	}
	table := newTable(out)
	for _, e := range events {
		fmt.Fprintf(table, "%d\t%s\t%s\t%s\t%s\n", e.Index, e.At.Format(time.RFC3339), e.By, e.Text, e.Reason)
	}
	return table.Flush()
}

// fleetTermsCmd shows the budget and the timing of the fleet. With a settings script it sets them first. It does not
// embed attribution, because the reason is required only when it sets them.
type fleetTermsCmd struct {
	jsonFlag
	By       string `help:"Who orders it; without it your user's name."`
	Reason   string `help:"Why."`
	Settings string `arg:"" optional:"" help:"${help_fleet_terms}" type:"existingfile"`
}

// Run executes the command.
func (c *fleetTermsCmd) Run(out io.Writer, f *fleetCmd) error {
	if c.Settings != "" {
		script, err := loadAgentSettings(c.Settings)
		if err != nil {
			return err
		}
		terms := rolloutTerms(script)
		command := rollout.Command{Verb: rollout.SetTerms, Terms: &terms}
		if _, err := f.sendCommand(command, attribution{c.By, c.Reason}, false); err != nil {
			return err
		}
	}
	view, err := f.view()
	if err != nil {
		return err
	}
	if c.JSON {
		return writeJSON(out, view.State.Terms)
	}
	budget, timing := view.State.Terms.Budget, view.State.Terms.Timing
	fmt.Fprintf(out, "out at once: %d of the fleet, %d of a building (0 = as many as of the fleet); %d must serve\n",
		budget.Fleet, budget.Building, budget.Serving)
	_, err = fmt.Fprintf(out, "fresh %v, accept %v, lease %v, clock error %v\n",
		timing.MaxObservationAge, timing.TakeTimeout, timing.Lease, timing.MaxClockError)
	return err
}
