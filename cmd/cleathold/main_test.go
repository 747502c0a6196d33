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

// TestMain lets the test's own binary be the program, for all processes that tests start.
func TestMain(m *testing.M) {
	if os.Getenv("CLEATHOLD_CHILD") != "" {
		injectFault(os.Getenv("CLEATHOLD_FAULT"))
		main()
		return
	}
	os.Setenv("CLEATHOLD_CHILD", "1") // of all that tests start
	os.Exit(m.Run())
}

// TestKilled kills a process with attempts in flight: of their messages, those that may be repeated are sent again, the
// others are undeliverable, and no more is sent.
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
	if n := receive(t, env.notices); n != `{"id":"u1","status":"undeliverable"}`+"\n" {
		t.Errorf("notice %q", n)
	}
	env.submit("safe", "s2") // serves on, with nothing of u1 before it
	if id := receive(t, env.calls); id != "s2" {
		t.Errorf("sent: %s", id)
	}
}

// TestKilledRepeatedly kills the program again and again while messages come in: it loses none that it has accepted,
// and sends none twice that must not be repeated.
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
		for i := range 10 + 3*round { // the kill falls elsewhere each time
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
		case lines := <-env.notices:
			for id := range unfinished {
				if strings.Contains(lines, `"`+id+`"`) {
					delete(unfinished, id)
				}
			}
		case <-time.After(20 * time.Second):
			t.Fatalf("lost: %v", unfinished)
		}
	}
	for id, n := range sends {
		if n > 1 && id[0] == 'u' {
			t.Errorf("%s was sent %d times", id, n)
		}
	}
}

// TestNoticeSurvivesKill checks that a delivery report outlasts the process until the platform has it.
func TestNoticeSurvivesKill(t *testing.T) {
	env := newEnvironment(t, func(string) string { return socktest.Status(500) })
	env.failNotices.Store(true)
	c := env.start()
	env.submit("unsafe", "u1")
	receive(t, env.notices)
	env.kill(c)
	env.failNotices.Store(false)
	for len(env.notices) > 0 {
		<-env.notices
	}
	env.start()
	if n := receive(t, env.notices); n != `{"id":"u1","status":"undeliverable"}`+"\n" {
		t.Errorf("notice %q", n)
	}
}

// TestReload checks SIGHUP: discovery is polled and delivery reports are sent at the address that the file names now,
// and a file that can't be read changes nothing and ends nothing.
func TestReload(t *testing.T) {
	env := newEnvironment(t, func(string) string { return socktest.Status(500) })
	c := env.start()
	for receive(t, env.polls) != "first" {
	}
	before, err := os.ReadFile(env.config)
	must(t, err)
	env.noticesMoved.Store(true)
	env.configure(env.secondAddr)
	c.Process.Signal(syscall.SIGHUP)
	for receive(t, env.polls) != "second" {
	}
	// What can't be read, and what lacks a key that was there: not even its address of discovery is taken over.
	for _, invalid := range []string{"what", strings.Replace(string(before), `"send-cap":12`, `"x":12`, 1)} {
		must(t, os.WriteFile(env.config, []byte(invalid), 0o600))
		c.Process.Signal(syscall.SIGHUP)
	}
	env.submit("unsafe", "u1")
	if n := receive(t, env.notices); n != `{"id":"u1","status":"undeliverable"}`+"\n" {
		t.Errorf("notice %q", n)
	}
	c.Process.Signal(syscall.SIGTERM)
	if err := c.Wait(); err != nil { // an end by SIGHUP would show here
		t.Error(err)
	}
	for len(env.polls) > 0 {
		if name := <-env.polls; name != "second" {
			t.Errorf("discovery asked at %s again", name)
		}
	}
}

// TestTerminated checks SIGTERM: calls in flight are finished, and the program ends with 0.
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
		t.Errorf("%v, left: %s", err, out)
	}
}
