package main

import (
	"fmt"
	"os"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"cleathold/internal/socktest"
)

// TestMain runs the program instead of the tests in all processes that tests start from the test binary.
func TestMain(m *testing.M) {
	if os.Getenv("CLEATHOLD_CHILD") != "" {
		injectFault(os.Getenv("CLEATHOLD_FAULT"))
		main()
		return
	}
	os.Setenv("CLEATHOLD_CHILD", "1") // for all processes that tests start
	os.Exit(m.Run())
}

// TestKilled kills a process with attempts in flight. Their messages must be sent again if they may be repeated, and
// must otherwise be undeliverable and not be sent again.
func TestKilled(t *testing.T) {
	var answers atomic.Bool
	env := newEnvironment(t, func(string) string {
		if !answers.Load() {
			return socktest.Hang
		}
		return socktest.Status(200)
	})
	c := env.start()
	env.submit("safe", "s1")
	env.submit("unsafe", "u1")
	receive(t, env.calls)
	receive(t, env.calls)
	env.kill(c)
	answers.Store(true)
	env.start()
	if id := receive(t, env.calls); id != "s1" {
		t.Errorf("sent again: %s", id)
	}
	if n := receive(t, env.reports); n != `{"id":"u1","status":"undeliverable"}`+"\n" {
		t.Errorf("delivery report %q", n)
	}
	env.submit("safe", "s2") // it continues to serve, and u1 is not sent
	if id := receive(t, env.calls); id != "s2" {
		t.Errorf("sent: %s", id)
	}
}

// TestKilledRepeatedly kills the program repeatedly while messages are submitted. No accepted message may be lost, and
// no unsafe message may be sent twice.
func TestKilledRepeatedly(t *testing.T) {
	env := newEnvironment(t, func(string) string { return socktest.Status(200) })
	unfinished := map[string]bool{}
	sends := map[string]int{}
	recordSend := func(id string) {
		sends[id]++
		delete(unfinished, id)
	}
	for round := range 4 {
		c := env.start()
		for i := range 10 + 3*round { // so that each kill happens at another point
			id := fmt.Sprintf("%c%d-%d", "su"[i%2], round, i)
			unfinished[id] = true
			env.submit([]string{"safe", "unsafe"}[i%2], id)
		}
		env.kill(c)
	}
	env.start()
	for len(unfinished) > 0 {
		select {
		case id := <-env.calls:
			recordSend(id)
		case lines := <-env.reports:
			for id := range unfinished {
				if strings.Contains(lines, `"`+id+`"`) {
					delete(unfinished, id)
				}
			}
		case <-time.After(20 * time.Second):
			t.Fatalf("no call and no delivery report for %v", unfinished)
		}
	}
	for id, n := range sends {
		if n > 1 && id[0] == 'u' {
			t.Errorf("%s was sent %d times", id, n)
		}
	}
}

// TestDeliveryReportSurvivesKill checks that a delivery report survives a kill of the process if the platform has not
// acknowledged it.
func TestDeliveryReportSurvivesKill(t *testing.T) {
	env := newEnvironment(t, func(string) string { return socktest.Status(500) })
	env.failReports.Store(true)
	c := env.start()
	env.submit("unsafe", "u1")
	receive(t, env.reports)
	env.kill(c)
	env.failReports.Store(false)
	for len(env.reports) > 0 {
		<-env.reports
	}
	env.start()
	if n := receive(t, env.reports); n != `{"id":"u1","status":"undeliverable"}`+"\n" {
		t.Errorf("delivery report %q", n)
	}
}

// TestReload checks that after SIGHUP discovery is polled and delivery reports are sent at the new address, and that an
// invalid file neither changes the configuration nor ends the process.
func TestReload(t *testing.T) {
	env := newEnvironment(t, func(string) string { return socktest.Status(500) })
	c := env.start()
	for receive(t, env.polls) != "first" {
	}
	before, err := os.ReadFile(env.config)
	must(t, err)
	env.firstRejectsReports.Store(true)
	env.configure(env.secondAddr)
	c.Process.Signal(syscall.SIGHUP)
	for receive(t, env.polls) != "second" {
	}
	// The first file is not valid JSON, the second lacks a key. Not even its discovery address may be used.
	for _, invalid := range []string{"what", strings.Replace(string(before), `"send-cap":12`, `"x":12`, 1)} {
		must(t, os.WriteFile(env.config, []byte(invalid), 0o600))
		c.Process.Signal(syscall.SIGHUP)
	}
	env.submit("unsafe", "u1")
	if n := receive(t, env.reports); n != `{"id":"u1","status":"undeliverable"}`+"\n" {
		t.Errorf("delivery report %q", n)
	}
	c.Process.Signal(syscall.SIGTERM)
	if err := c.Wait(); err != nil { // fails if SIGHUP has ended the process
		t.Error(err)
	}
	for len(env.polls) > 0 {
		if name := <-env.polls; name != "second" {
			t.Errorf("discovery was polled at %s again", name)
		}
	}
}

// TestTerminated checks that after SIGTERM calls in flight are completed and the program exits with 0.
func TestTerminated(t *testing.T) {
	answer := make(chan struct{})
	env := newEnvironment(t, func(string) string { <-answer; return socktest.Status(200) })
	c := env.start()
	env.submit("unsafe", "u1")
	receive(t, env.calls)
	c.Process.Signal(syscall.SIGTERM)
	close(answer)
	if err := c.Wait(); err != nil {
		t.Error(err)
	}
	out := &strings.Builder{}
	if err := (&pendingCmd{State: env.stateFolder}).Run(out, nil); err != nil || out.String() != "0 pending\n" {
		t.Errorf("%v, pending: %s", err, out)
	}
}
