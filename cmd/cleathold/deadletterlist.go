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

// heldListCmd lists the records that pass a filter.
type heldListCmd struct {
	filterFlags
	Limit int    `help:"Records at most." default:"100"`
	After uint64 `help:"Go on after this number."`
}

// Run executes the command.
func (c *heldListCmd) Run(out io.Writer, h *heldCmd) error {
	filter, err := c.parse()
	if err != nil {
		return err
	}
	return h.Source.run(func(ctx context.Context, api admin.API) error {
		table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
		if !h.Source.JSON {
			fmt.Fprintln(table, "SEQ\tSTATE\tDEST\tCLASS\tTENANT\tREASON\tMAY HAVE RUN\tATTEMPTS\tBYTES\tHELD AT\tID")
		}
		next := c.After
		for remaining := max(c.Limit, 1); remaining > 0; {
			page, err := api.List(ctx, filter, next, min(remaining, deadletter.MaxPageSize))
			if err != nil {
				return err
			}
			for _, r := range page.Records {
				if h.Source.JSON {
					json.NewEncoder(out).Encode(r)
				} else {
					writeRecordRow(table, r)
				}
			}
			remaining -= len(page.Records)
			if next = page.Next; next == 0 {
				break
			}
		}
		table.Flush()
		if next > 0 && !h.Source.JSON {
			fmt.Fprintf(out, "more: --after %d\n", next)
		}
		return nil
	})
}

// writeRecordRow writes a record as a row of the table of 'held list'.
func writeRecordRow(table io.Writer, r deadletter.Record) {
	_, _, mayHaveRun := r.FirstRun()
	fmt.Fprintf(table, "%d\t%s\t%d\t%s\t%s\t%s\t%t\t%d\t%d\t%s\t%s\n",
		r.Sequence, r.State, r.Destination, r.Class, r.Tenant, r.Reason, mayHaveRun, r.AttemptCount, r.Size,
		r.HeldAt.Format(time.RFC3339), r.ID)
}

// heldShowCmd shows one record.
type heldShowCmd struct {
	Sequence uint64 `arg:"" help:"Number of the record." name:"seq"`
}

// Run executes the command.
func (c *heldShowCmd) Run(out io.Writer, h *heldCmd) error {
	return h.Source.run(func(ctx context.Context, api admin.API) error {
		line, err := api.Show(ctx, c.Sequence)
		if err != nil {
			return err
		}
		if h.Source.JSON {
			return writeJSON(out, line)
		}
		writeRecord(out, line)
		return nil
	})
}

// writeRecord writes a record with its attempts and its events.
func writeRecord(out io.Writer, r deadletter.ExportLine) {
	_, _, mayHaveRun := r.FirstRun()
	fmt.Fprintf(out, "record %d, %s\n", r.Sequence, r.State)
	fmt.Fprintf(out, "  id %s  key %s\n", r.ID, r.Key)
	fmt.Fprintf(out, "  %s for destination %d, tenant %s, %d bytes\n", r.Class, r.Destination, r.Tenant, r.Size)
	fmt.Fprintf(out, "  ended: %s; deadline %s; held %s\n",
		r.Reason, r.Deadline.Format(time.RFC3339Nano), r.HeldAt.Format(time.RFC3339Nano))
	fmt.Fprintf(out, "  may have run: %t", mayHaveRun)
	if r.HistoryIncomplete {
		fmt.Fprint(out, " (its history is not whole)")
	}
	fmt.Fprintf(out, "\n  attempts: %d, resends: %d\n", r.AttemptCount, r.Redeliveries)
	for _, a := range r.Attempts {
		fmt.Fprintf(out, "    %s  target %s  %s  may have run: %t  resend %d\n",
			a.At.Format(time.RFC3339Nano), orDash(a.Target), a.Result, a.MayHaveRun, a.Redelivery)
	}
	for _, e := range r.Events {
		fmt.Fprintf(out, "  %s  %s (%s)\n", e.At.Format(time.RFC3339Nano), e.Kind, e.By)
	}
}

// orDash returns s, or a dash if s is empty.
func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

// heldStatsCmd prints the number of records by state, reason, class, tenant and destination.
type heldStatsCmd struct{}

// Run executes the command.
func (c *heldStatsCmd) Run(out io.Writer, h *heldCmd) error {
	return h.Source.run(func(ctx context.Context, api admin.API) error {
		stats, err := api.Stats(ctx)
		if err != nil {
			return err
		}
		if h.Source.JSON {
			return writeJSON(out, stats)
		}
		writeStats(out, stats)
		return nil
	})
}

// writeStats writes the size of a dead-letter queue and its records by state, reason, class, tenant and destination.
func writeStats(out io.Writer, s deadletter.Stats) {
	fmt.Fprintf(out, "%d records, %d bytes in a file of %d; %d not yet told; evicted %d over bounds, %d too old\n",
		s.Records, s.Bytes, s.FileBytes, s.PendingReports, s.EvictedOpen, s.EvictedByAge)
	if !s.Oldest.IsZero() {
		fmt.Fprintf(out, "oldest open: %s\n", s.Oldest.Format(time.RFC3339))
	}
	for _, property := range []struct {
		name   string
		groups []deadletter.Group
	}{{"state", s.States}, {"reason", s.Reasons}, {"class", s.Classes}, {"tenant", s.Tenants},
		{"destination", s.Destinations}} {
		for _, group := range property.groups {
			fmt.Fprintf(out, "  %-12s %-24s %d\n", property.name, group.Name, group.Records)
		}
	}
}

// heldAuditCmd lists the latest actions of operators on a dead-letter queue.
type heldAuditCmd struct {
	Limit int `help:"Entries at most." default:"50"`
}

// Run executes the command.
func (c *heldAuditCmd) Run(out io.Writer, h *heldCmd) error {
	return h.Source.run(func(ctx context.Context, api admin.API) error {
		list, err := api.Audit(ctx, c.Limit)
		if err != nil {
			return err
		}
		if h.Source.JSON {
			return writeJSON(out, list)
		}
		for _, a := range list {
			fmt.Fprintf(out, "%s  %s  %s  done %d, refused %d", a.At.Format(time.RFC3339), a.Caller, a.Command, a.Done,
				a.Rejected)
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
