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
	"cleathold/internal/state"
)

// Report is the result of a case.
type Report struct {
	Result   harness.Result
	Findings []string // descriptions of failures; empty if the case passed
}

// forbiddenLogLines holds substrings of log lines that indicate a bug in the program.
var forbiddenLogLines = []string{state.LogCallAgainstRule, state.LogInvalidSend, "panic:", "fatal error:", "DATA RACE"}

// maxLogLine is the maximum length of a log line in bytes.
const maxLogLine = 1 << 20

// eventsName is the name of the file with the events of a case, one JSON object per line.
const eventsName = "events.jsonl"

// Play runs a case with processes of a program. Logs, state and events are kept in the folder.
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
	writer := bufio.NewWriter(events)
	defer writer.Flush()
	encoder := json.NewEncoder(writer)
	service := newServiceCheck(c.SettledAt)
	sink := func(e audit.Event) error {
		service.read(e)
		return encoder.Encode(e)
	}
	result, err := harness.Run(ctx, harness.Setup{Plan: s.Plan(c.Seed), Program: program, Folder: folder, Log: log,
		Faults: c.Faults, MemoryMB: c.MemoryMB, Sink: sink})
	if err != nil {
		return nil, err
	}
	r := &Report{Result: result}
	for _, v := range result.Violations {
		r.addFinding("%v sender %d: %s: %s (message %s, calls %v, times %v)", v.At, v.Sender, v.Rule, v.Text, v.Message,
			v.Calls, v.Times)
	}
	for _, s := range service.failed() {
		r.addFinding("sender %d sent %d of the %d messages that it took on after all troubles", s.sender, s.sent, s.accepted)
	}
	if result.Crashes > 0 {
		r.addFinding("%d processes ended without being told to", result.Crashes)
	}
	if result.PeakMB > c.MemoryMB {
		r.addFinding("a process had %.0f MB, its limit is %.0f MB", result.PeakMB, c.MemoryMB)
	}
	if n := result.Clients.Unanswered; n > 0 {
		r.addFinding("%d requests on new connections ended with no answer", n)
	}
	for i := range c.Senders {
		if err := r.readLog(i, filepath.Join(folder, fmt.Sprint("n", i), "log")); err != nil {
			return nil, err
		}
	}
	return r, nil
}

// addFinding records the description of a failure.
func (r *Report) addFinding(format string, args ...any) {
	r.Findings = append(r.Findings, fmt.Sprintf(format, args...))
}

// readLog searches the log of a sender for forbidden lines and records a finding for each of them.
func (r *Report) readLog(sender int, path string) error {
	file, err := os.Open(path)
	if err != nil {
		return err
	}
	defer file.Close()
	scanner := bufio.NewScanner(file)
	scanner.Buffer(nil, maxLogLine)
	for scanner.Scan() {
		for _, pattern := range forbiddenLogLines {
			if strings.Contains(scanner.Text(), pattern) {
				r.addFinding("n%d: %s", sender, scanner.Text())
			}
		}
	}
	return scanner.Err()
}
