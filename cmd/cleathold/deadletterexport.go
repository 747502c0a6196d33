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

const (
	maxLineLength    = 1 << 20 // maximum length of an imported line, in bytes
	maxBatchBytes    = 4 << 20 // size of the lines, in bytes, above which a batch is sent
	exportReportStep = 1000    // number of lines between two progress messages
)

// heldExportCmd exports records, with their bodies, as JSON lines.
type heldExportCmd struct {
	filterFlags
	Out string `help:"File to write; - is standard output." default:"-"`
}

// Run executes the command.
func (c *heldExportCmd) Run(out io.Writer, h *heldCmd) (err error) {
	filter, err := c.parse()
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
	return h.Source.run(func(ctx context.Context, api admin.API) error {
		written := 0
		for next := uint64(0); ; {
			page, err := api.Export(ctx, filter, next)
			if err != nil {
				return fmt.Errorf("after %d lines: %w", written, err)
			}
			buffered := bufio.NewWriter(out)
			for _, line := range page.Lines {
				json.NewEncoder(buffered).Encode(line)
			}
			if err := buffered.Flush(); err != nil {
				return err
			}
			previous := written
			if written += len(page.Lines); written/exportReportStep > previous/exportReportStep {
				fmt.Fprintf(os.Stderr, "export: %d so far\n", written)
			}
			if next = page.Next; next == 0 {
				return nil
			}
		}
	})
}

// heldImportCmd imports exported records into a sender's dead-letter queue.
type heldImportCmd struct {
	File   string `arg:"" help:"JSON lines that export wrote; - is standard input."`
	DryRun bool   `help:"Only tell what would be done."`
}

// Run executes the command.
func (c *heldImportCmd) Run(out io.Writer, h *heldCmd) error {
	in := io.Reader(os.Stdin)
	if c.File != "-" {
		file, err := os.Open(c.File)
		if err != nil {
			return err
		}
		defer file.Close()
		in = file
	}
	return h.Source.run(func(ctx context.Context, api admin.API) error {
		imp := importer{api: api, dryRun: c.DryRun, rejections: out}
		if h.Source.JSON {
			imp.rejections = io.Discard
		}
		if err := imp.run(ctx, in); err != nil {
			return err
		}
		if h.Source.JSON {
			writeJSON(out, map[string]int{"done": imp.imported, "refused": imp.rejected})
		} else {
			fmt.Fprintf(out, "import: %d done, %d refused\n", imp.imported, imp.rejected)
		}
		if imp.rejected > 0 {
			return exitError{fmt.Errorf("%d lines were rejected", imp.rejected), exitRejected}
		}
		return nil
	})
}

// importer sends records to a sender in batches.
type importer struct {
	api        admin.API
	dryRun     bool
	rejections io.Writer // receives a message for each of the first maxShownRejections rejected lines

	imported, rejected int // records, lines
	lineNumber         int // number of the latest line read
	batch              []deadletter.ExportLine
	batchBytes         int
}

// run reads all lines. An error ends it; lines that are rejected do not.
func (imp *importer) run(ctx context.Context, in io.Reader) error {
	lines := bufio.NewScanner(in)
	lines.Buffer(nil, maxLineLength)
	for lines.Scan() {
		imp.lineNumber++
		if strings.TrimSpace(lines.Text()) == "" {
			continue
		}
		var record deadletter.ExportLine
		if err := json.Unmarshal(lines.Bytes(), &record); err != nil {
			imp.reject(err.Error())
			continue
		}
		imp.batch = append(imp.batch, record)
		imp.batchBytes += len(lines.Bytes())
		if len(imp.batch) == admin.MaxImportLines || imp.batchBytes > maxBatchBytes {
			if err := imp.flush(ctx); err != nil {
				return err
			}
		}
	}
	if err := lines.Err(); err != nil {
		return fmt.Errorf("line %d: %w", imp.lineNumber+1, err)
	}
	return imp.flush(ctx)
}

// reject counts a rejected line and writes the reason. A record that the sender rejects is reported with the number of
// the last line of its batch.
func (imp *importer) reject(reason string) {
	if imp.rejected++; imp.rejected <= maxShownRejections {
		fmt.Fprintf(imp.rejections, "  line %d: %s\n", imp.lineNumber, reason)
	}
}

// flush sends the current batch, if it is not empty.
func (imp *importer) flush(ctx context.Context) error {
	if len(imp.batch) == 0 {
		return nil
	}
	outcome, err := imp.api.Execute(ctx, "import", admin.DeadLetterRequest{Lines: imp.batch, DryRun: imp.dryRun})
	if err != nil {
		return fmt.Errorf("after %d records: %w", imp.imported, err)
	}
	imp.imported += outcome.Done
	for _, r := range outcome.Rejected {
		imp.reject(fmt.Sprintf("record %d: %s", r.Seq, r.Reason))
	}
	imp.batch, imp.batchBytes = imp.batch[:0], 0
	return nil
}
