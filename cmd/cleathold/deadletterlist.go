package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"cleathold/internal/admin"
	"cleathold/internal/deadletter"
)

type heldListCmd struct {
	filterFlags
	Limit int    `help:"Records at most." default:"100"`
	After uint64 `help:"Go on after this number."`
}

func (c *heldListCmd) Run(out io.Writer, h *heldCmd) error {
	f, err := c.filterFlags.parse()
	if err != nil {
		return err
	}
	return h.Source.run(func(ctx context.Context, p admin.API) error {
		tab := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
		if !h.Source.JSON {
			fmt.Fprintln(tab, "SEQ\tSTATE\tDEST\tCLASS\tTENANT\tREASON\tMAY HAVE RUN\tATTEMPTS\tBYTES\tHELD AT\tID")
		}
		next := c.After
		for remaining := max(c.Limit, 1); remaining > 0; {
			page, err := p.List(ctx, f, next, min(remaining, deadletter.MaxPageSize))
			if err != nil {
				return err
			}
			for _, r := range page.Records {
				if h.Source.JSON {
					json.NewEncoder(out).Encode(r)
					continue
				}
				_, _, ran := r.FirstRun()
				fmt.Fprintf(tab, "%d\t%s\t%d\t%s\t%s\t%s\t%t\t%d\t%d\t%s\t%s\n", r.Sequence, r.State, r.Destination, r.Class, r.Tenant,
					r.Reason, ran, r.AttemptCount, r.Size, r.HeldAt.Format(time.RFC3339), r.ID)
			}
			remaining -= len(page.Records)
			if next = page.Next; next == 0 {
				break
			}
		}
		tab.Flush()
		if next > 0 && !h.Source.JSON {
			fmt.Fprintf(out, "more: --after %d\n", next)
		}
		return nil
	})
}

type heldShowCmd struct {
	Seq uint64 `arg:"" help:"Number of the record."`
}

func (c *heldShowCmd) Run(out io.Writer, h *heldCmd) error {
	return h.Source.run(func(ctx context.Context, p admin.API) error {
		l, err := p.Show(ctx, c.Seq)
		if err != nil {
			return err
		}
		if h.Source.JSON {
			return writeJSON(out, l)
		}
		_, _, ran := l.FirstRun()
		fmt.Fprintf(out, "record %d, %s\n  id %s  key %s\n  %s for destination %d, tenant %s, %d bytes\n  ended: %s; deadline %s; held %s\n  may have run: %t",
			l.Sequence, l.State, l.ID, l.Key, l.Class, l.Destination, l.Tenant, l.Size, l.Reason,
			l.Deadline.Format(time.RFC3339Nano), l.HeldAt.Format(time.RFC3339Nano), ran)
		if l.HistoryIncomplete {
			fmt.Fprint(out, " (its history is not whole)")
		}
		fmt.Fprintf(out, "\n  attempts: %d, resends: %d\n", l.AttemptCount, l.Redeliveries)
		for _, a := range l.Attempts {
			fmt.Fprintf(out, "    %s  target %s  %s  may have run: %t  resend %d\n", a.At.Format(time.RFC3339Nano), orDash(a.Target), a.Result, a.MayHaveRun, a.Redelivery)
		}
		for _, d := range l.Events {
			fmt.Fprintf(out, "  %s  %s (%s)\n", d.At.Format(time.RFC3339Nano), d.Kind, d.By)
		}
		return nil
	})
}

func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

type heldStatsCmd struct{}

func (c *heldStatsCmd) Run(out io.Writer, h *heldCmd) error {
	return h.Source.run(func(ctx context.Context, p admin.API) error {
		s, err := p.Stats(ctx)
		if err != nil {
			return err
		}
		if h.Source.JSON {
			return writeJSON(out, s)
		}
		fmt.Fprintf(out, "%d records, %d bytes in a file of %d; %d not yet told; evicted %d over bounds, %d too old\n",
			s.Records, s.Bytes, s.File, s.Owed, s.Evicted, s.Aged)
		if !s.Oldest.IsZero() {
			fmt.Fprintf(out, "oldest open: %s\n", s.Oldest.Format(time.RFC3339))
		}
		for _, g := range []struct {
			name string
			list []deadletter.Group
		}{{"state", s.States}, {"reason", s.Reasons}, {"class", s.Classes}, {"tenant", s.Tenants}, {"destination", s.Dests}} {
			for _, x := range g.list {
				fmt.Fprintf(out, "  %-12s %-24s %d\n", g.name, x.Name, x.Records)
			}
		}
		return nil
	})
}

type heldAuditCmd struct {
	Limit int `help:"Entries at most." default:"50"`
}

func (c *heldAuditCmd) Run(out io.Writer, h *heldCmd) error {
	return h.Source.run(func(ctx context.Context, p admin.API) error {
		list, err := p.Audit(ctx, c.Limit)
		if err != nil {
			return err
		}
		if h.Source.JSON {
			return writeJSON(out, list)
		}
		for _, a := range list {
			fmt.Fprintf(out, "%s  %s  %s  done %d, refused %d", a.At.Format(time.RFC3339), a.By, a.Verb, a.Done, a.Rejected)
			if a.Filter != nil {
				text, _ := json.Marshal(a.Filter)
				fmt.Fprintf(out, "  filter %s", text)
			}
			if len(a.Records) > 0 {
				fmt.Fprintf(out, "  records %v", a.Records[:min(len(a.Records), 10)])
			}
			fmt.Fprintln(out)
		}
		return nil
	})
}
