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

// maxShownRejections is the number of rejected records or lines that are listed individually.
const maxShownRejections = 20

// progressPages is the number of pages between two progress messages.
const progressPages = 4

// orderFlags holds the flags of resend and drop.
type orderFlags struct {
	filterFlags
	Sequences []uint64 `arg:"" optional:"" help:"Numbers of records." name:"seqs"`
	All       bool     `help:"Mean all records, where no filter is given."`
	DryRun    bool     `help:"Only tell what would be done."`
}

// orderResult accumulates the outcome of an order over its pages.
type orderResult struct {
	done       int
	rejected   int                         // number of records
	byReason   map[string]int              // number of rejected records by reason
	rejections []deadletter.RejectedRecord // the first ones, at most one page
	dryRun     bool
	verb       string
}

// add adds the outcome of one page.
func (r *orderResult) add(page deadletter.Outcome) {
	r.done += page.Done
	r.rejected += len(page.Rejected)
	for _, rejection := range page.Rejected {
		if len(r.rejections) < deadletter.MaxPageSize {
			r.rejections = append(r.rejections, rejection)
		}
		r.byReason[rejection.Reason]++
	}
}

// run executes an order page by page and writes the result. It returns an error with exitRejected if any record was
// rejected.
func (f *orderFlags) run(out io.Writer, h *heldCmd, verb string, order admin.DeadLetterRequest) error {
	filter, err := f.parse()
	switch {
	case err != nil:
		return err
	case len(f.Sequences) > 0 && !filter.Empty():
		return errors.New("specify record numbers or a filter, not both")
	case len(f.Sequences) == 0 && filter.Empty() && !f.All:
		return errors.New("specify record numbers, a filter, or --all")
	}
	order.DryRun = f.DryRun
	return h.Source.run(func(ctx context.Context, api admin.API) error {
		result := &orderResult{byReason: map[string]int{}, dryRun: f.DryRun, verb: verb}
		if len(f.Sequences) > 0 {
			err = result.runSequences(ctx, api, order, f.Sequences)
		} else {
			err = result.runFilter(ctx, api, order, filter)
		}
		if err != nil {
			return err
		}
		if h.Source.JSON {
			if err := result.writeJSON(out); err != nil {
				return err
			}
		} else {
			result.writeText(out)
		}
		if result.rejected > 0 {
			return exitError{fmt.Errorf("%d records were rejected", result.rejected), exitRejected}
		}
		return nil
	})
}

// runSequences executes the order for the records with these sequence numbers.
func (r *orderResult) runSequences(ctx context.Context, api admin.API, order admin.DeadLetterRequest,
	sequences []uint64) error {
	for len(sequences) > 0 {
		count := min(len(sequences), deadletter.MaxPageSize)
		order.Selection = deadletter.Selection{Sequences: sequences[:count]}
		sequences = sequences[count:]
		page, err := api.Execute(ctx, r.verb, order)
		if err != nil {
			return err
		}
		r.add(page)
	}
	return nil
}

// runFilter executes the order for all records that pass a filter, and writes progress messages to standard error.
func (r *orderResult) runFilter(
	ctx context.Context, api admin.API, order admin.DeadLetterRequest, filter deadletter.Filter,
) error {
	next := uint64(0)
	for pages := 1; ; pages++ {
		order.Selection = deadletter.Selection{Filter: filter, After: next, Limit: deadletter.MaxPageSize}
		page, err := api.Execute(ctx, r.verb, order)
		if err != nil {
			return fmt.Errorf("after %d done: %w", r.done, err)
		}
		r.add(page)
		if next = page.Next; next == 0 {
			return nil
		}
		if pages%progressPages == 0 {
			fmt.Fprintf(os.Stderr, "%s: %d so far, at number %d\n", r.verb, r.done, next)
		}
	}
}

// orderJSON is the JSON representation of an order's result.
type orderJSON struct {
	Done       int                         `json:"done"`
	Rejected   int                         `json:"refused"`
	ByReason   map[string]int              `json:"whys,omitempty"`
	Rejections []deadletter.RejectedRecord `json:"refused_records,omitempty"`
	DryRun     bool                        `json:"dry_run,omitempty"`
}

func (r *orderResult) writeJSON(out io.Writer) error {
	return writeJSON(out, orderJSON{r.done, r.rejected, r.byReason, r.rejections, r.dryRun})
}

func (r *orderResult) writeText(out io.Writer) {
	note := ""
	if r.dryRun {
		note = " (dry run: nothing was changed)"
	}
	fmt.Fprintf(out, "%s: %d done, %d refused%s\n", r.verb, r.done, r.rejected, note)
	for _, rejection := range r.rejections[:min(len(r.rejections), maxShownRejections)] {
		fmt.Fprintf(out, "  %d: %s\n", rejection.Seq, rejection.Reason)
	}
	if len(r.rejections) > maxShownRejections {
		for reason, count := range r.byReason {
			fmt.Fprintf(out, "  %d times: %s\n", count, reason)
		}
	}
}

// heldResendCmd orders the redelivery of records.
type heldResendCmd struct {
	orderFlags
	Within time.Duration `help:"Give up for now after this; the settings' time if not given."`
}

// Run executes the command.
func (c *heldResendCmd) Run(out io.Writer, h *heldCmd) error {
	return c.run(out, h, "resend", admin.DeadLetterRequest{WithinSeconds: c.Within.Seconds()})
}

// heldDropCmd drops records without redelivery.
type heldDropCmd struct{ orderFlags }

// Run executes the command.
func (c *heldDropCmd) Run(out io.Writer, h *heldCmd) error {
	return c.run(out, h, "drop", admin.DeadLetterRequest{})
}
