package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"cleathold/internal/admin"
	"cleathold/internal/deadletter"
)

// orderFlags is what resend and drop share.
type orderFlags struct {
	filterFlags
	Seqs   []uint64 `arg:"" optional:"" help:"Numbers of records."`
	All    bool     `help:"Mean all records, where no filter is given."`
	DryRun bool     `help:"Only tell what would be done."`
}

// run runs an act, page by page.
func (a *orderFlags) run(out io.Writer, h *heldCmd, verb string, o admin.Order) error {
	f, err := a.filterFlags.parse()
	switch {
	case err != nil:
		return err
	case len(a.Seqs) > 0 && !f.Empty():
		return errors.New("name numbers or a filter, not both")
	case len(a.Seqs) == 0 && f.Empty() && !a.All:
		return errors.New("name numbers, a filter, or --all")
	}
	o.DryRun = a.DryRun
	return h.Source.run(func(ctx context.Context, p admin.API) error {
		total := deadletter.Outcome{}
		rejections := map[string]int{}
		add := func(got deadletter.Outcome) {
			total.Done += got.Done
			for _, r := range got.Rejected {
				if len(total.Rejected) < deadletter.MaxPageSize {
					total.Rejected = append(total.Rejected, r)
				}
				rejections[r.Reason]++
			}
		}
		for seqs := a.Seqs; len(seqs) > 0; {
			o.Selection = deadletter.Selection{Sequences: seqs[:min(len(seqs), deadletter.MaxPageSize)]}
			seqs = seqs[len(o.Selection.Sequences):]
			got, err := p.Act(ctx, verb, o)
			if err != nil {
				return err
			}
			add(got)
		}
		for next, pages := uint64(0), 0; len(a.Seqs) == 0; pages++ {
			o.Selection = deadletter.Selection{Filter: f, After: next, Limit: deadletter.MaxPageSize}
			got, err := p.Act(ctx, verb, o)
			if err != nil {
				return fmt.Errorf("after %d done: %w", total.Done, err)
			}
			add(got)
			if next = got.Next; next == 0 {
				break
			}
			if pages%4 == 3 {
				fmt.Fprintf(os.Stderr, "%s: %d so far, at number %d\n", verb, total.Done, next)
			}
		}
		rejected := 0
		for _, n := range rejections {
			rejected += n
		}
		if h.Source.JSON {
			if err := writeJSON(out, struct {
				Done    int                         `json:"done"`
				Refused int                         `json:"refused"`
				Whys    map[string]int              `json:"whys,omitempty"`
				Records []deadletter.RejectedRecord `json:"refused_records,omitempty"`
				DryRun  bool                        `json:"dry_run,omitempty"`
			}{total.Done, rejected, rejections, total.Rejected, a.DryRun}); err != nil {
				return err
			}
		} else {
			would := ""
			if a.DryRun {
				would = " (dry run: nothing was changed)"
			}
			fmt.Fprintf(out, "%s: %d done, %d refused%s\n", verb, total.Done, rejected, would)
			for _, r := range total.Rejected[:min(len(total.Rejected), 20)] {
				fmt.Fprintf(out, "  %d: %s\n", r.Seq, r.Reason)
			}
			if len(total.Rejected) > 20 {
				for why, n := range rejections {
					fmt.Fprintf(out, "  %d times: %s\n", n, why)
				}
			}
		}
		if rejected > 0 {
			return exitError{fmt.Errorf("%d records were refused", rejected), exitRejected}
		}
		return nil
	})
}

type heldResendCmd struct {
	orderFlags
	Within time.Duration `help:"Give up for now after this; the settings' time if not given."`
}

func (c *heldResendCmd) Run(out io.Writer, h *heldCmd) error {
	return c.run(out, h, "resend", admin.Order{WithinS: c.Within.Seconds()})
}

type heldDropCmd struct{ orderFlags }

func (c *heldDropCmd) Run(out io.Writer, h *heldCmd) error {
	return c.run(out, h, "drop", admin.Order{})
}
