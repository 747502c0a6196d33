package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"cleathold/internal/admin"
	"cleathold/internal/deadletter"
	"cleathold/internal/socktest"
)

// A partner is a stand-in for one partner system. It is shut, or returns cold: its
// limit rises from a part of its rate to all of it. It counts effects, by key where
// a message has one, and all that reaches it.
type partner struct {
	mu           sync.Mutex
	rate         float64       // calls a second once warm
	coldFraction float64       // part of that as it returns
	warmUpTime   time.Duration // the time by which it is warm
	openedAt     time.Time     // zero: shut
	resetCalls   bool          // resets connections that bring a call
	calls        []time.Time
	accepted     []time.Time // within the limit
	effects      map[string]int
	firstEffect  map[string]time.Time // of the effects
	flakyAnswer  func() string        // an answer in the place of the ordinary one, or ""
	seenKeys     map[string]time.Time // keys
	doubles      []string
}

func newPartner(rate float64) *partner {
	return &partner{
		rate: rate, coldFraction: 0.22, warmUpTime: warmUpDuration, effects: map[string]int{}, firstEffect: map[string]time.Time{}, seenKeys: map[string]time.Time{},
	}
}

// capacity is what it can do, in calls a second.
func (p *partner) capacity(at time.Time) float64 {
	if p.openedAt.IsZero() {
		return 0
	}
	return p.rate * min(1, p.coldFraction+(1-p.coldFraction)*at.Sub(p.openedAt).Seconds()/p.warmUpTime.Seconds())
}

func (p *partner) answer(r *http.Request) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	if r.URL.Path == "/ping" {
		if p.openedAt.IsZero() {
			return socktest.Status(503)
		}
		return socktest.Status(200)
	}
	id, key := r.Header.Get("X-Request-Id"), r.Header.Get("Idempotency-Key")
	p.calls = append(p.calls, now)
	if p.resetCalls {
		p.effect(id, key, now)
		return ""
	}
	if p.flakyAnswer != nil {
		switch a := p.flakyAnswer(); a {
		case "ordinary":
		case "break":
			p.effect(id, key, now)
			return ""
		default:
			return a
		}
	}
	const span = 250 * time.Millisecond
	for len(p.accepted) > 0 && now.Sub(p.accepted[0]) > span {
		p.accepted = p.accepted[1:]
	}
	if p.openedAt.IsZero() || float64(len(p.accepted)) >= p.capacity(now)*span.Seconds()*1.5+1 {
		return socktest.Status(503)
	}
	p.accepted = append(p.accepted, now)
	p.effect(id, key, now)
	return socktest.Status(200)
}

// effect lets a message take effect, if its key is not remembered. Unsafe ones
// have none, and must have one effect at most.
func (p *partner) effect(id, key string, now time.Time) {
	if key != "" {
		if at, known := p.seenKeys[key]; known && now.Sub(at) < keyRetention {
			return
		}
		p.seenKeys[key] = now
	}
	if p.effects[id] == 0 {
		p.firstEffect[id] = now
	}
	if p.effects[id]++; p.effects[id] > 1 && id[0] != 's' {
		p.doubles = append(p.doubles, id)
	}
}

// maxOverload returns the window in which most arrived over what it could take.
func (p *partner) maxOverload(window time.Duration) (worst float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, from := range p.calls {
		if p.openedAt.IsZero() || from.Before(p.openedAt) {
			continue
		}
		n := 0
		for _, at := range p.calls[i:] {
			if at.Sub(from) >= window {
				break
			}
			n++
		}
		worst = max(worst, float64(n)/(p.capacity(from)*window.Seconds()))
	}
	return worst
}

const (
	keyRetention   = 3 * time.Second
	overloadWindow = 500 * time.Millisecond
	warmUpDuration = 3 * time.Second
)

const holdAllSettings = `
held(folder = "held", queue = 1024)
admin(socket = "a.sock")
resend(share = 0.5, within = 60, max_out = 24)
def hold(record, partner):
    return HOLD
`

// newDeadLetterEnvironment is a world whose sender keeps what it can't deliver.
func newDeadLetterEnvironment(t *testing.T, p *partner, script string) *environment {
	env := newEnvironment(t, func(string) string { return "" })
	env.settingsScript = filepath.Join(t.TempDir(), "s.star")
	if err := os.WriteFile(env.settingsScript, []byte(script), 0o600); err != nil {
		t.Fatal(err)
	}
	env.respond = p.answer
	env.tune = func(c map[string]any) {
		c["limits"].(map[string]any)["disk_mb"] = 8
		c["limits"].(map[string]any)["sockets"] = 1024
		set := c["settings"].(map[string]any)
		set["profiles"] = []map[string]any{
			{"name": "safe", "aim-ms": 400, "deadline-ms": 4000, "effect": "safe", "late-worth": 0.5, "worth": 1},
			{"name": "keyed", "aim-ms": 400, "deadline-ms": 4000, "effect": "keyed", "memory-span-ms": keyRetention.Milliseconds(), "late-worth": 0.5, "worth": 1},
			{"name": "unsafe", "aim-ms": 400, "deadline-ms": 4000, "effect": "unsafe", "late-worth": 0.5, "worth": 1},
		}
		set["weights"] = "rough"
		set["specifics"] = map[string]any{"max-calls": 48}
		set["limits"] = map[string]any{"open-cap": 1500, "send-cap": 0, "conn-idle-ms": 15000, "connect-timeout-ms": 1500, "cancel": true, "probes": true, "second-copies": true}
		set["guarantees"] = map[string]any{"must-ask-in-ms": 10000, "fall-ms": overloadWindow.Milliseconds(), "fall-multiple": 2, "cold-ms": warmUpDuration.Milliseconds(), "cold-from": 0.22}
	}
	env.configure(env.secondAddr)
	return env
}

func (env *environment) adminAPI() admin.API {
	p := admin.Dial(filepath.Join(filepath.Dir(env.settingsScript), "a.sock"))
	env.t.Cleanup(func() { p.Close() })
	return p
}

// client hands messages in on one connection.
type client struct {
	conn net.Conn
	in   *bufio.Reader
}

func (env *environment) client() *client {
	conn, err := net.Dial("tcp", env.listen)
	if err != nil {
		env.t.Fatal(err)
	}
	env.t.Cleanup(func() { conn.Close() })
	return &client{conn, bufio.NewReader(conn)}
}

func (c *client) submit(class, id, key string, seconds float64) (int, error) {
	text := fmt.Sprintf("POST /%s HTTP/1.1\r\nHost: h\r\nX-Request-Id: %s\r\nX-Deadline: %g\r\nX-Addressing: dest=7\r\nContent-Length: 2\r\n", class, id, seconds)
	if key != "" {
		text += "Idempotency-Key: " + key + "\r\n"
	}
	if _, err := io.WriteString(c.conn, text+"\r\nhi"); err != nil {
		return 0, err
	}
	r, err := http.ReadResponse(c.in, nil)
	if err != nil {
		return 0, err
	}
	io.Copy(io.Discard, r.Body)
	return r.StatusCode, nil
}

// testMessage returns the class of the n-th message and the key that goes with it.
func testMessage(n int) (name, id, key string) {
	switch n % 3 {
	case 0:
		return "safe", fmt.Sprint("s", n), ""
	case 1:
		return "keyed", fmt.Sprint("k", n), fmt.Sprint("key", n)
	}
	return "unsafe", fmt.Sprint("u", n), ""
}

// awaitStats asks until a condition holds.
func (env *environment) awaitStats(p admin.API, what string, done func(states map[string]int, s deadletter.Stats) bool) map[string]int {
	env.t.Helper()
	states := map[string]int{}
	for until := time.Now().Add(60 * time.Second); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		s, err := p.Stats(context.Background())
		if err != nil {
			continue
		}
		states = map[string]int{}
		for _, g := range s.States {
			states[g.Name] = g.Records
		}
		if done(states, s) {
			return states
		}
	}
	env.t.Fatalf("%s: %v", what, states)
	return nil
}

// collectNotices keeps the channels of a world empty and returns the notices by id.
func (env *environment) collectNotices() (undeliverable func(id string) bool) {
	var mu sync.Mutex
	ids := map[string]bool{}
	go func() {
		for {
			select {
			case <-env.calls:
			case <-env.polls:
			case text := <-env.notices:
				mu.Lock()
				for _, line := range strings.Split(strings.TrimSpace(text), "\n") {
					var n struct{ ID, Status string }
					if json.Unmarshal([]byte(line), &n) == nil && n.Status == "undeliverable" {
						ids[n.ID] = true
					}
				}
				mu.Unlock()
			}
		}
	}()
	return func(id string) bool { mu.Lock(); defer mu.Unlock(); return ids[id] }
}

// held runs a command of the program as a process.
func (env *environment) runCommand(args ...string) (string, int) {
	c := exec.Command(os.Args[0], args...)
	c.Env = append(os.Environ(), "CLEATHOLD_CHILD=1", "CLEATHOLD_SETTINGS="+env.settingsScript)
	var out bytes.Buffer
	c.Stdout, c.Stderr = &out, &out
	c.Run()
	return out.String(), c.ProcessState.ExitCode()
}

// senderStatusAt is what a sender says at its second address.
func senderStatusAt(t *testing.T, at string) (s admin.Status) {
	t.Helper()
	r, err := http.Get("http://" + at + admin.StatusPath)
	must(t, err)
	defer r.Body.Close()
	must(t, json.NewDecoder(r.Body).Decode(&s))
	return s
}
