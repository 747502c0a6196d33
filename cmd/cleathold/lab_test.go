package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"log/slog"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"cleathold/internal/audit"
	"cleathold/internal/harness"
	"cleathold/internal/ledger"
	"cleathold/internal/scenario"
)

// shortScenario writes a scenario of a few seconds, with additional lines at its end, and returns its path.
func shortScenario(t *testing.T, extra string) string {
	t.Helper()
	text, err := os.ReadFile("../../examples/scenarios/building-refuses.star")
	must(t, err)
	script := strings.Replace(string(text), "seconds = 60, senders = 3", "seconds = 5, senders = 2", 1)
	script = strings.Replace(script, "at = (12, 18), seconds = (10, 20)", "at = 1, seconds = 2", 1)
	path := filepath.Join(t.TempDir(), "short.star")
	must(t, os.WriteFile(path, []byte(script+extra), 0o644))
	return path
}

// discardLog is a logger that discards the log of commands.
var discardLog = slog.New(slog.DiscardHandler)

// harnessSetup returns the setup for a run of a scenario with the test binary.
func harnessSetup(t *testing.T, path string) harness.Setup {
	t.Helper()
	s, err := scenario.Load(path, nil)
	must(t, err)
	return harness.Setup{Plan: s.Plan(1), Program: os.Args[0], Folder: t.TempDir(), Log: discardLog}
}

// senderAddresses returns the addresses of the clients' listeners of all senders of a run.
func senderAddresses(t *testing.T, folder string) []string {
	t.Helper()
	var list []string
	files, _ := filepath.Glob(filepath.Join(folder, "n*", "config.json"))
	for _, path := range files {
		text, err := os.ReadFile(path)
		var c struct{ Listen string }
		if err == nil {
			err = json.Unmarshal(text, &c)
		}
		must(t, err)
		list = append(list, c.Listen)
	}
	if len(list) == 0 {
		t.Fatal("no sender was prepared")
	}
	return list
}

// requireNoListeners checks that within 10 s no process listens at any of the addresses.
func requireNoListeners(t *testing.T, list []string) {
	t.Helper()
	for _, a := range list {
		for until := time.Now().Add(10 * time.Second); ; time.Sleep(5 * time.Millisecond) {
			c, err := net.Dial("tcp", a)
			if err != nil {
				break
			}
			c.Close()
			if time.Now().After(until) {
				t.Errorf("a sender is still running at %s", a)
				break
			}
		}
	}
}

// runLab runs 'lab run' of a scenario with the test binary, and returns the result.
func runLab(t *testing.T, args scenarioArgs, folder string) (r harness.Result) {
	t.Helper()
	out := &bytes.Buffer{}
	c := labRunCmd{
		seededScenarioArgs: seededScenarioArgs{scenarioArgs: args, Seed: 1},
		Out:                folder, Program: os.Args[0], jsonFlag: jsonFlag{JSON: true},
	}
	if err := c.Run(out, discardLog); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	must(t, json.Unmarshal(out.Bytes(), &r))
	return r
}

// TestLabRun plays a scenario on sockets with a fault, a killed sender and a reload. No rule may be violated, the run
// folder must be readable for a report, and no sender may be left running.
func TestLabRun(t *testing.T) {
	t.Parallel()
	path := shortScenario(t, `
sender(number = 0, at = 2, what = "kill")
sender(number = 1, at = 1, what = "hup")
`)
	folder := filepath.Join(t.TempDir(), "run")
	r := runLab(t, scenarioArgs{Scenario: path}, folder)
	if r.Messages < 50 || r.Overall < 0.5 || r.Restarts != 1 || r.Crashes != 0 || r.Counts.Accepted == 0 {
		t.Errorf("%+v", r)
	}
	requireNoListeners(t, senderAddresses(t, folder))
	reportText, html := &bytes.Buffer{}, filepath.Join(t.TempDir(), "page.html")
	must(t, (&labReportCmd{Runs: []string{folder}, HTML: html}).Run(reportText))
	text, err := os.ReadFile(html)
	must(t, err)
	for _, want := range []string{"DOWN in bldg-b", "sender 0: kill", "fee-payment"} {
		if !strings.Contains(reportText.String(), want) || !strings.Contains(string(text), want) {
			t.Errorf("the report lacks %q:\n%s", want, reportText)
		}
	}
	if strings.Count(string(text), "<svg") != 5 {
		t.Errorf("%d drawings", strings.Count(string(text), "<svg"))
	}
}

// TestLabNeverReady runs senders that exit at the start or never get ready. The error must name the cause, and no
// sender may be left running.
func TestLabNeverReady(t *testing.T) {
	t.Parallel()
	for _, c := range []struct{ script, want string }{
		{
			"#!/bin/sh\necho no such luck >&2\nexit 3\n",
			"ended before it was ready: exit status 3; its log ends: no such luck",
		},
		{"#!/bin/sh\nexec sleep 60\n", "is not ready in time"},
	} {
		s := harnessSetup(t, shortScenario(t, ""))
		s.Program, s.ReadyTimeout = filepath.Join(t.TempDir(), "program"), 300*time.Millisecond
		must(t, os.WriteFile(s.Program, []byte(c.script), 0o755))
		if _, err := harness.Run(t.Context(), s); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%v, want %q", err, c.want)
		}
		requireNoListeners(t, senderAddresses(t, s.Folder))
	}
}

// TestLabAborted plays runs in which the ledger's disk is full, or which are canceled. The error must name the cause,
// and no sender may be left running.
func TestLabAborted(t *testing.T) {
	t.Parallel()
	errDiskFull := errors.New("no space left on device")
	s := harnessSetup(t, shortScenario(t, ""))
	eventCount := 0
	s.Sink = func(audit.Event) error {
		if eventCount++; eventCount > 100 {
			return errDiskFull
		}
		return nil
	}
	if _, err := harness.Run(t.Context(), s); !errors.Is(err, errDiskFull) {
		t.Errorf("full disk: %v", err)
	}
	requireNoListeners(t, senderAddresses(t, s.Folder))

	s = harnessSetup(t, shortScenario(t, ""))
	ctx, cancel := context.WithCancel(t.Context())
	s.Sink = func(e audit.Event) error {
		if e.Kind == audit.Accepted {
			cancel()
		}
		return nil
	}
	if _, err := harness.Run(ctx, s); err == nil || err.Error() != "broken off" {
		t.Errorf("canceled: %v", err)
	}
	requireNoListeners(t, senderAddresses(t, s.Folder))
}

// TestLabKilled interrupts and kills 'lab run'. No sender may be left running, and the part of the ledger that was
// written must be readable.
func TestLabKilled(t *testing.T) {
	t.Parallel()
	for _, sig := range []syscall.Signal{syscall.SIGINT, syscall.SIGKILL} {
		folder := filepath.Join(t.TempDir(), "run")
		path := shortScenario(t, "")
		c := exec.Command(os.Args[0], "lab", "run", path, "--out", folder)
		c.Env = append(os.Environ(), "CLEATHOLD_CHILD=1")
		var stderr bytes.Buffer
		c.Stderr = &stderr
		must(t, c.Start())
		// Once a block of the ledger has been written, the run is in progress.
		for until := time.Now().Add(20 * time.Second); ; time.Sleep(10 * time.Millisecond) {
			if info, err := os.Stat(filepath.Join(folder, "ledger.zst")); err == nil && info.Size() > 500 {
				break
			}
			if time.Now().After(until) {
				t.Fatal("no ledger")
			}
		}
		c.Process.Signal(sig)
		err := c.Wait()
		code := c.ProcessState.ExitCode()
		if sig == syscall.SIGINT && (code != exitIncomplete || !strings.Contains(stderr.String(), "broken off")) {
			t.Errorf("Ctrl-C: %v, %s", err, &stderr)
		}
		requireNoListeners(t, senderAddresses(t, folder))
		run, err := ledger.Open(folder)
		must(t, err)
		events := 0
		complete, err := run.Events(func(audit.Event) error { events++; return nil })
		if err != nil || events == 0 || complete != (sig == syscall.SIGINT) || run.Result != nil {
			t.Errorf("%v: %v, %d events, complete %t", sig, err, events, complete)
		}
		page := &bytes.Buffer{}
		err = (&labReportCmd{Runs: []string{folder}}).Run(page)
		if err != nil || !strings.Contains(page.String(), "broken off") {
			t.Errorf("%v: %s", err, page)
		}
	}
}

// TestLabCompare compares two sides on paired seeds. A scenario compared with itself must be noise, and compared with
// one whose partners hang it must not. Two programs require a scenario.
func TestLabCompare(t *testing.T) {
	t.Parallel()
	path := shortScenario(t, "")
	faulty := shortScenario(t, "trouble(what = \"SILENT\", at = 0, seconds = 5, part = 0.9)\n")
	for _, c := range []struct {
		b     string
		noise bool
	}{{path, true}, {faulty, false}} {
		out := &bytes.Buffer{}
		command := labCompareCmd{A: path, B: c.b, Runs: 3, Seed: 1, jsonFlag: jsonFlag{JSON: true}}
		must(t, command.Run(out, discardLog))
		var got comparison
		must(t, json.Unmarshal(out.Bytes(), &got))
		if got.Noise != c.noise || got.Pairs != 3 || !c.noise && got.High >= 0 {
			t.Errorf("%+v", got.Difference)
		}
	}
	out := &bytes.Buffer{}
	programs := labCompareCmd{A: os.Args[0], B: os.Args[0], Scenario: path, Runs: 2, Seed: 1}
	if err := programs.Run(out, discardLog); err != nil || !strings.Contains(out.String(), "noise") {
		t.Errorf("programs: %v, %s", err, out)
	}
	if err := (&labCompareCmd{A: os.Args[0], B: os.Args[0], Runs: 2}).Run(io.Discard, discardLog); err == nil {
		t.Error("two programs without a scenario are accepted")
	}
}

// TestLabFaults checks that the faults of a script have the same effect on processes as on senders in virtual time, and
// affect only the senders that they name.
func TestLabFaults(t *testing.T) {
	t.Parallel()
	path := shortScenario(t, `
link(at = 1, seconds = 2, of = "n0", to = "clients", what = "CUT")
sender(number = 1, at = 3.4, what = "drain", seconds = 1.2)
sender(number = 0, at = 3.2, what = "retune", slots = 2)
sender(number = 1, at = 1, what = "wipe")
sender(number = 0, at = 3.6, what = "stop", seconds = 0.8)
`)
	setup := harnessSetup(t, path)
	var mu sync.Mutex
	accepted := map[[2]int]int{} // by sender and tenths of a second
	firstDeath := map[int]time.Duration{}
	setup.Sink = func(e audit.Event) error {
		mu.Lock()
		defer mu.Unlock()
		if e.Kind == audit.Accepted {
			accepted[[2]int{e.Sender, int(e.At / (100 * time.Millisecond))}]++
		}
		if e.Kind == audit.ProcessEnded && firstDeath[e.Sender] == 0 {
			firstDeath[e.Sender] = e.At
		}
		return nil
	}
	r, err := harness.Run(t.Context(), setup)
	must(t, err)
	acceptedBetween := func(sender int, from, to float64) (n int) {
		for at := int(from * 10); at < int(to*10); at++ {
			n += accepted[[2]int{sender, at}]
		}
		return n
	}
	if len(r.Violations) > 0 || r.Restarts != 1 || r.Crashes != 0 {
		t.Errorf("%d restarts, %d crashes: %+v", r.Restarts, r.Crashes, r.Violations)
	}
	for _, c := range []struct {
		sender   int
		from, to float64
		accepts  bool
	}{
		{0, 0, 1, true}, {0, 1.2, 2.9, false}, {1, 2.2, 3.2, true}, {1, 3.8, 4.5, false}, {0, 3.7, 4.3, false},
		{0, 4.5, 6, true},
	} {
		if n := acceptedBetween(c.sender, c.from, c.to); (n > 0) != c.accepts {
			t.Errorf("n%d accepted %d messages from %v to %v s", c.sender, n, c.from, c.to)
		}
	}
	if firstDeath[1] < 900*time.Millisecond || firstDeath[1] > 1500*time.Millisecond {
		t.Errorf("n1 lost its folder at %v", firstDeath[1])
	}
	text, err := os.ReadFile(filepath.Join(setup.Folder, "n0", "log"))
	if err != nil || !strings.Contains(string(text), "configuration read again") {
		t.Errorf("n0 did not reload its settings: %v\n%s", err, text)
	}
}

// TestSlowStartAcrossTwentyProcesses lets an endpoint recover and warm up. The total rate of twenty processes must stay
// within its limit, although some of them were killed during the outage and don't know of it.
func TestSlowStartAcrossTwentyProcesses(t *testing.T) {
	t.Parallel()
	text, err := os.ReadFile("../../examples/scenarios/fleet-return.star")
	must(t, err)
	script := strings.Replace(string(text), "seconds = 30", "seconds = 13", 1)
	script = strings.Replace(script, "traffic(rate = 500", "traffic(rate = 150", 1)
	script = strings.Replace(script, `at = 6, seconds = 5, part = 0.5`, `at = 2, seconds = 4, part = 0.5`, 1)
	script += "\n[sender(number = n, at = 4, what = \"kill\") for n in (0, 7, 13)]\n"
	path := filepath.Join(t.TempDir(), "return.star")
	must(t, os.WriteFile(path, []byte(script), 0o644))
	args := scenarioArgs{Scenario: path, Set: map[string]float64{"senders": 20}}
	r := runLab(t, args, filepath.Join(t.TempDir(), "run"))
	if r.Overloads != 0 || r.Restarts != 3 || r.Crashes != 0 || r.Overall < 0.5 {
		t.Errorf("%+v", r)
	}
}
