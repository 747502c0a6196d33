package soak

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"strings"

	"cleathold/internal/audit"
	"cleathold/internal/harness"
	"cleathold/internal/scenario"
)

// A Report is what a case showed.
type Report struct {
	Result   harness.Result
	Findings []string // what is wrong, in words; none: the case is sound
}

// confessions are parts of log lines that no sound process writes.
var confessions = []string{"a call left that should not have", "panic:", "fatal error:", "DATA RACE", "send that must not be"}

// logLineMost bounds a line of a log that is read.
const logLineMost = 1 << 20

// eventsName is the file of a folder with what was seen, one event a line.
const eventsName = "events.jsonl"

// Play plays a case with a program's processes. What they write, and what was seen, stays in the folder.
func Play(ctx context.Context, c *Case, program, folder string, log *slog.Logger) (*Report, error) {
	s, err := scenario.Parse(fmt.Sprintf("soak-%d.star", c.Seed), []byte(c.Script), nil)
	if err != nil {
		return nil, err
	}
	events, err := os.Create(filepath.Join(folder, eventsName))
	if err != nil {
		return nil, err
	}
	defer events.Close()
	lines := bufio.NewWriter(events)
	defer lines.Flush()
	encoder := json.NewEncoder(lines)
	sink := func(e audit.Event) error { return encoder.Encode(e) }
	result, err := harness.Run(ctx, harness.Setup{Plan: s.Plan(c.Seed), Program: program, Folder: folder, Log: log, Faults: c.Faults, Sink: sink})
	if err != nil {
		return nil, err
	}
	r := &Report{Result: result}
	for _, b := range result.Violations {
		r.find("%v sender %d: %s: %s (message %s, calls %v, times %v)", b.At, b.Sender, b.Rule, b.Text, b.Message, b.Calls, b.Times)
	}
	if result.Crashes > 0 {
		r.find("%d processes ended without being told to", result.Crashes)
	}
	if n := result.Clients.Unanswered; n > 0 {
		r.find("%d requests on new connections ended with no answer", n)
	}
	for i := range c.Senders {
		if err := r.readLog(i, filepath.Join(folder, fmt.Sprint("n", i), "log")); err != nil {
			return nil, err
		}
	}
	return r, nil
}

func (r *Report) find(format string, args ...any) {
	r.Findings = append(r.Findings, fmt.Sprintf(format, args...))
}

// readLog looks for confessions in a sender's log.
func (r *Report) readLog(sender int, path string) error {
	file, err := os.Open(path)
	if err != nil {
		return err
	}
	defer file.Close()
	lines := bufio.NewScanner(file)
	lines.Buffer(nil, logLineMost)
	for lines.Scan() {
		for _, part := range confessions {
			if strings.Contains(lines.Text(), part) {
				r.find("n%d: %s", sender, lines.Text())
			}
		}
	}
	return lines.Err()
}
