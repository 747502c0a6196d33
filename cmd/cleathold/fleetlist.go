package main

import (
	"context"
	"fmt"
	"io"
	"maps"
	"os/signal"
	"slices"
	"syscall"
	"text/tabwriter"
	"time"

	"cleathold/internal/agent"
)

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
