package main

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"

	"cleathold/internal/agent"
)

// fleetListCmd lists the senders of the fleet.
type fleetListCmd struct {
	jsonFlag
	Watch bool `help:"Again and again, until Ctrl-C."`
}

// Run executes the command.
func (c *fleetListCmd) Run(out io.Writer, f *fleetCmd) error {
	ctx, stop := interruptible()
	defer stop()
	for {
		view, err := f.view()
		if err != nil {
			return err
		}
		if c.JSON {
			err = writeJSON(out, view)
		} else {
			err = writeFleet(out, view)
		}
		if err != nil || !c.Watch {
			return err
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(listInterval):
		}
	}
}

// newTable returns a writer that aligns tab-separated columns.
func newTable(out io.Writer) *tabwriter.Writer { return tabwriter.NewWriter(out, 0, 4, 2, ' ', 0) }

// senderStatus returns a short description of a sender's status, and whether the sender counts as out of service.
func senderStatus(v agent.FleetView, name string) (text string, out bool) {
	observation, observed := v.Observations[name]
	grant := v.State.Grants[name]
	stale := v.At.Sub(observation.At) > v.State.Terms.Timing.MaxObservationAge
	switch {
	case grant != nil && grant.Drain:
		text = "out, to drain"
	case grant != nil:
		text = "out, to run " + grant.To.Name
	case !observed:
		return "never seen", true
	case stale:
		return fmt.Sprintf("not seen for %v", v.At.Sub(observation.At).Round(time.Second)), true
	case observation.Serving:
		return "serves", false
	default:
		return "out: " + observation.Phase, true
	}
	if observed && !stale {
		text += ": " + observation.Phase
	}
	return text, true
}

// writeFleet writes a table of the senders, followed by the budget, the open plans and the leader of the agents.
func writeFleet(out io.Writer, v agent.FleetView) error {
	outOfService := 0
	table := newTable(out)
	fmt.Fprintln(table, "SENDER\tBUILDING\tAGENT\tVERSION\tOWES\tSTANDS")
	names := v.State.Order(slices.Collect(maps.Keys(v.State.Members)))
	for _, name := range names {
		member := v.State.Members[name]
		text, isOut := senderStatus(v, name)
		if isOut {
			outOfService++
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%d\t%s\n",
			name, member.Building, member.Agent, member.Version.Name, v.Observations[name].Open, text)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	budget := v.State.Terms.Budget
	fmt.Fprintf(out, "%d senders, %d out; %d of the fleet may be, %d of a building, %d must serve\n",
		len(names), outOfService, budget.Fleet, budget.Building, budget.Serving)
	for _, p := range v.State.Plans {
		if p.Phase.Open() {
			fmt.Fprintln(out, planSummary(p))
		}
	}
	fmt.Fprintln(out, quorumSummary(v))
	return nil
}

// quorumSummary returns a line about the leader of the agents, or a warning that the view is limited because no leader
// responds.
func quorumSummary(v agent.FleetView) string {
	switch {
	case v.Quorum == nil:
		return fmt.Sprintf("WARNING: seen by agent %s alone: %s", v.Agent, v.NoQuorumReason)
	case v.Quorum.Leader == "":
		return fmt.Sprintf("WARNING: agent %s reaches no majority of the %d agents: nothing new goes out, "+
			"and what is out comes back as its leases end", v.Agent, len(v.Quorum.Members))
	case !v.Quorum.Leads:
		return fmt.Sprintf("WARNING: the leading agent %s does not answer; agent %s sees its own senders alone",
			v.Quorum.Leader, v.Agent)
	}
	return fmt.Sprintf("agent %s leads %d agents, term %d, entry %d",
		v.Agent, len(v.Quorum.Members), v.Quorum.Term, v.Quorum.Applied)
}
