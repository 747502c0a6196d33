package main

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"text/tabwriter"
	"time"

	"cleathold/internal/admin"
	"cleathold/internal/deadletter"
	"cleathold/internal/settings"
)

// The exit codes of the held commands, besides 0 and 1.
const (
	exitRejected    = 3 // some records were refused what was asked
	exitUnreachable = 4 // no sender, or no store, to ask
	exitNotFound    = 5
)

// An exitError is an error with the code that the program ends with.
type exitError struct {
	error
	code int
}

func (e exitError) ExitCode() int { return e.code }
func (e exitError) Unwrap() error { return e.error }

// withExitCode gives an error its exit code.
func withExitCode(err error) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, deadletter.ErrNotFound):
		return exitError{err, exitNotFound}
	case errors.Is(err, admin.ErrUnreachable), errors.Is(err, admin.ErrReadOnly), errors.Is(err, deadletter.ErrInUse), errors.Is(err, os.ErrNotExist):
		return exitError{err, exitUnreachable}
	}
	return err
}

type heldCmd struct {
	Source deadLetterSource `embed:""`
	List   heldListCmd      `cmd:"" help:"List held messages, a page at a time."`
	Show   heldShowCmd      `cmd:"" help:"Show one record whole: its history, its body, and what was done with it."`
	Resend heldResendCmd    `cmd:"" help:"Order records to be sent again, by their numbers or by filter."`
	Drop   heldDropCmd      `cmd:"" help:"End records for good."`
	Export heldExportCmd    `cmd:"" help:"Write records as JSON lines, bodies in base64."`
	Import heldImportCmd    `cmd:"" help:"Read JSON lines that export wrote. Each counts as one that may have run."`
	Stats  heldStatsCmd     `cmd:"" help:"Count what is held."`
	Audit  heldAuditCmd     `cmd:"" help:"Show who did what, the latest first."`
}

// deadLetterSource says whom to ask.
type deadLetterSource struct {
	Socket   string `help:"Admin socket of a running sender." type:"path"`
	Folder   string `help:"Held folder of a stopped sender; to read only." type:"path"`
	Settings string `help:"Settings script that names both: the socket is asked if a sender answers there, else the folder." env:"CLEATHOLD_SETTINGS"`
	JSON     bool   `help:"JSON instead of text." name:"json"`
}

// connect finds whom to ask.
func (w *deadLetterSource) connect() (admin.API, error) {
	socket, folder := w.Socket, w.Folder
	if socket == "" && folder == "" {
		if w.Settings == "" {
			return nil, errors.New("name --socket, --folder or --settings: whom to ask")
		}
		s, err := settings.Load(w.Settings)
		if err != nil {
			return nil, err
		}
		if s.Admin != nil {
			socket = s.Admin.Socket
		}
		if s.Held != nil {
			folder = s.Held.Folder
		}
	}
	if socket != "" {
		p := admin.Dial(socket)
		_, err := p.Audit(context.Background(), 1)
		if err == nil || folder == "" || !errors.Is(err, admin.ErrUnreachable) {
			return p, withExitCode(err)
		}
	}
	if folder == "" {
		return nil, fmt.Errorf("%s names neither an admin socket nor a held folder", w.Settings)
	}
	p, err := admin.OpenFolder(folder)
	return p, withExitCode(err)
}

// run runs something on the plane. Ctrl-C ends it between two pages.
func (w *deadLetterSource) run(f func(context.Context, admin.API) error) error {
	p, err := w.connect()
	if err != nil {
		return err
	}
	defer p.Close()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return withExitCode(f(ctx, p))
}

// filterFlags is a filter as options.
type filterFlags struct {
	Destination *int   `help:"Only this destination."`
	Class       string `help:"Only this class."`
	Tenant      string `help:"Only this tenant."`
	Reason      string `help:"Only those that ended for this reason: expired, may-have-run, memory-passed, attempts-spent, rejected."`
	State       string `help:"Only this state: held, ordered, out, delivered, dropped, superseded, over."`
	Since       string `help:"Held at this time or later: RFC 3339, or a duration back from now (2h)."`
	Before      string `help:"Held before this time."`
}

func (f *filterFlags) parse() (deadletter.Filter, error) {
	out := deadletter.Filter{Destination: f.Destination, Class: f.Class, Tenant: f.Tenant, Reason: f.Reason, State: deadletter.State(f.State)}
	var err error
	for _, t := range []struct {
		name, text string
		to         *time.Time
	}{{"--since", f.Since, &out.Since}, {"--before", f.Before, &out.Before}} {
		if t.text == "" {
			continue
		}
		if back, e := time.ParseDuration(t.text); e == nil {
			*t.to = time.Now().Add(-back)
		} else if *t.to, err = time.Parse(time.RFC3339, t.text); err != nil {
			return out, fmt.Errorf("%s: %q is neither RFC 3339 nor a duration", t.name, t.text)
		}
	}
	return out, nil
}

func writeJSON(out io.Writer, v any) error {
	e := json.NewEncoder(out)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

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

type heldExportCmd struct {
	filterFlags
	Out string `help:"File to write; - is standard output." default:"-"`
}

func (c *heldExportCmd) Run(out io.Writer, h *heldCmd) (err error) {
	f, err := c.filterFlags.parse()
	if err != nil {
		return err
	}
	if c.Out != "-" {
		file, err := os.OpenFile(c.Out, os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o600)
		if err != nil {
			return err
		}
		defer func() { err = errors.Join(err, file.Close()) }()
		out = file
	}
	return h.Source.run(func(ctx context.Context, p admin.API) error {
		n := 0
		for next := uint64(0); ; {
			page, err := p.Export(ctx, f, next)
			if err != nil {
				return fmt.Errorf("after %d lines: %w", n, err)
			}
			w := bufio.NewWriter(out)
			for _, l := range page.Lines {
				json.NewEncoder(w).Encode(l)
			}
			if err := w.Flush(); err != nil {
				return err
			}
			if n += len(page.Lines); n/1000 > (n-len(page.Lines))/1000 {
				fmt.Fprintf(os.Stderr, "export: %d so far\n", n)
			}
			if next = page.Next; next == 0 {
				return nil
			}
		}
	})
}

type heldImportCmd struct {
	File   string `arg:"" help:"JSON lines that export wrote; - is standard input."`
	DryRun bool   `help:"Only tell what would be done."`
}

const maxLineLength = 1 << 20 // bytes of a line

func (c *heldImportCmd) Run(out io.Writer, h *heldCmd) error {
	in := io.Reader(os.Stdin)
	if c.File != "-" {
		f, err := os.Open(c.File)
		if err != nil {
			return err
		}
		defer f.Close()
		in = f
	}
	return h.Source.run(func(ctx context.Context, p admin.API) error {
		done, rejected, line := 0, 0, 0
		reject := func(at int, why string) {
			if rejected++; rejected <= 20 && !h.Source.JSON {
				fmt.Fprintf(out, "  line %d: %s\n", at, why)
			}
		}
		var batch []deadletter.ExportLine
		bytes := 0
		flush := func() error {
			if len(batch) == 0 {
				return nil
			}
			got, err := p.Act(ctx, "import", admin.Order{Lines: batch, DryRun: c.DryRun})
			if err != nil {
				return fmt.Errorf("after %d records: %w", done, err)
			}
			done += got.Done
			for _, r := range got.Rejected {
				reject(line, fmt.Sprintf("record %d: %s", r.Seq, r.Reason))
			}
			batch, bytes = batch[:0], 0
			return nil
		}
		lines := bufio.NewScanner(in)
		lines.Buffer(nil, maxLineLength)
		for lines.Scan() {
			line++
			if strings.TrimSpace(lines.Text()) == "" {
				continue
			}
			var l deadletter.ExportLine
			if err := json.Unmarshal(lines.Bytes(), &l); err != nil {
				reject(line, err.Error())
				continue
			}
			batch = append(batch, l)
			if bytes += len(lines.Bytes()); len(batch) == admin.MaxImportLines || bytes > 4<<20 {
				if err := flush(); err != nil {
					return err
				}
			}
		}
		if err := lines.Err(); err != nil {
			return fmt.Errorf("line %d: %w", line+1, err)
		}
		if err := flush(); err != nil {
			return err
		}
		if h.Source.JSON {
			writeJSON(out, map[string]int{"done": done, "refused": rejected})
		} else {
			fmt.Fprintf(out, "import: %d done, %d refused\n", done, rejected)
		}
		if rejected > 0 {
			return exitError{fmt.Errorf("%d lines were refused", rejected), exitRejected}
		}
		return nil
	})
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
