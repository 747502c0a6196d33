package main

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"

	"cleathold/internal/admin"
	"cleathold/internal/deadletter"
)

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
