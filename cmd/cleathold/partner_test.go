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

const (
	keyRetention   = 3 * time.Second        // how long the partner ignores repeated keys
	overloadWindow = 500 * time.Millisecond // window for the measurement of overload
	warmUpDuration = 3 * time.Second
	warmUpFraction = 0.22                   // fraction of the rate when the partner returns
	limitWindow    = 250 * time.Millisecond // window in which the partner counts calls against its limit
)

// partner simulates one partner system. It rejects all calls, or returns cold: its limit then rises from warmUpFraction
// of its rate to the full rate. It records all calls, and counts the effects of each message, with repeated keys
// ignored.
type partner struct {
	mu            sync.Mutex
	rate          float64     // calls per second when warm
	openedAt      time.Time   // zero if the partner rejects all calls
	resetCalls    bool        // each call takes effect and its connection is closed
	calls         []time.Time // times of all calls
	accepted      []time.Time // times of the accepted calls in the latest window
	effects       map[string]int
	firstEffect   map[string]time.Time
	flakyAnswer   func() string        // returns "ordinary", "break" or a response; guarded by mu
	seenKeys      map[string]time.Time // time of the last effect, by key
	excessEffects []string             // ids of messages with more effects than their class allows
}

// newPartner returns a partner that rejects all calls.
func newPartner(rate float64) *partner {
	return &partner{
		rate: rate, effects: map[string]int{}, firstEffect: map[string]time.Time{}, seenKeys: map[string]time.Time{},
	}
}

// open makes the partner return cold, and discards the record of earlier calls.
func (p *partner) open() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.openedAt = time.Now()
	p.calls = nil
}

// capacity returns the partner's capacity at a time, in calls per second.
func (p *partner) capacity(at time.Time) float64 {
	if p.openedAt.IsZero() {
		return 0
	}
	return p.rate * min(1, warmUpFraction+(1-warmUpFraction)*at.Sub(p.openedAt).Seconds()/warmUpDuration.Seconds())
}

// answer responds to a call or a health check.
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
		p.applyEffect(id, key, now)
		return ""
	}
	if p.flakyAnswer != nil {
		switch a := p.flakyAnswer(); a {
		case "ordinary":
		case "break":
			p.applyEffect(id, key, now)
			return ""
		default:
			return a
		}
	}
	for len(p.accepted) > 0 && now.Sub(p.accepted[0]) > limitWindow {
		p.accepted = p.accepted[1:]
	}
	if p.openedAt.IsZero() || float64(len(p.accepted)) >= p.capacity(now)*limitWindow.Seconds()*1.5+1 {
		return socktest.Status(503)
	}
	p.accepted = append(p.accepted, now)
	p.applyEffect(id, key, now)
	return socktest.Status(200)
}

// applyEffect records an effect of a message unless its key was used within keyRetention. Only safe messages may have
// more than one effect.
func (p *partner) applyEffect(id, key string, now time.Time) {
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
		p.excessEffects = append(p.excessEffects, id)
	}
}

// maxOverload returns the largest number of calls in a window since the partner returned, as a multiple of its capacity
// at the start of that window.
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

// holdAllSettings is a settings script that holds all undeliverable messages.
const holdAllSettings = `
held(folder = "held", queue = 1024)
admin(socket = "a.sock")
resend(share = 0.5, within = 60, max_out = 24)
def hold(record, partner):
    return HOLD
`

// newDeadLetterEnvironment returns an environment whose sender has a dead-letter queue and whose target is the partner.
func newDeadLetterEnvironment(t *testing.T, p *partner, script string) *environment {
	env := newEnvironment(t, func(string) string { return "" })
	env.settingsScript = filepath.Join(t.TempDir(), "s.star")
	must(t, os.WriteFile(env.settingsScript, []byte(script), 0o600))
	env.respond = p.answer
	env.tune = func(c map[string]any) {
		c["limits"].(map[string]any)["disk_mb"] = 8
		c["limits"].(map[string]any)["sockets"] = 1024
		settings := c["settings"].(map[string]any)
		settings["profiles"] = []map[string]any{
			{"name": "safe", "aim-ms": 400, "deadline-ms": 4000, "effect": "safe", "late-worth": 0.5, "worth": 1},
			{
				"name": "keyed", "aim-ms": 400, "deadline-ms": 4000, "effect": "keyed",
				"memory-span-ms": keyRetention.Milliseconds(), "late-worth": 0.5, "worth": 1,
			},
			{"name": "unsafe", "aim-ms": 400, "deadline-ms": 4000, "effect": "unsafe", "late-worth": 0.5, "worth": 1},
		}
		settings["weights"] = "rough"
		settings["specifics"] = map[string]any{"max-calls": 48}
		settings["limits"] = map[string]any{
			"open-cap": 1500, "send-cap": 0, "conn-idle-ms": 15000, "connect-timeout-ms": 1500, "cancel": true,
			"probes": true, "second-copies": true,
		}
		settings["guarantees"] = map[string]any{
			"must-ask-in-ms": 10000, "fall-ms": overloadWindow.Milliseconds(), "fall-multiple": 2,
			"cold-ms": warmUpDuration.Milliseconds(), "cold-from": warmUpFraction,
		}
	}
	env.configure(env.secondAddr)
	return env
}

// adminAPI returns a client for the admin API at the sender's socket.
func (env *environment) adminAPI() admin.API {
	api := admin.Dial(filepath.Join(filepath.Dir(env.settingsScript), "a.sock"))
	env.t.Cleanup(func() { api.Close() })
	return api
}

// client submits messages on one connection.
type client struct {
	conn net.Conn
	in   *bufio.Reader
}

// client connects a client to the sender.
func (env *environment) client() *client {
	conn := env.connectClient()
	return &client{conn, bufio.NewReader(conn)}
}

// submit submits a message with a deadline, and returns the status of the response.
func (c *client) submit(class, id, key string, deadlineSeconds float64) (int, error) {
	text := fmt.Sprintf("POST /%s HTTP/1.1\r\nHost: h\r\nX-Request-Id: %s\r\nX-Deadline: %g\r\n"+
		"X-Addressing: dest=7\r\nContent-Length: 2\r\n", class, id, deadlineSeconds)
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

// testMessage returns the class, the id and the key of message n.
func testMessage(n int) (name, id, key string) {
	switch n % 3 {
	case 0:
		return "safe", fmt.Sprint("s", n), ""
	case 1:
		return "keyed", fmt.Sprint("k", n), fmt.Sprint("key", n)
	}
	return "unsafe", fmt.Sprint("u", n), ""
}

// awaitStats polls the dead-letter queue until a condition holds, and returns the number of records by state.
func (env *environment) awaitStats(
	api admin.API, description string, condition func(states map[string]int, s deadletter.Stats) bool,
) map[string]int {
	env.t.Helper()
	states := map[string]int{}
	for until := time.Now().Add(60 * time.Second); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		s, err := api.Stats(context.Background())
		if err != nil {
			continue
		}
		states = map[string]int{}
		for _, g := range s.States {
			states[g.Name] = g.Records
		}
		if condition(states, s) {
			return states
		}
	}
	env.t.Fatalf("%s: %v", description, states)
	return nil
}

// collectReports starts a goroutine that drains the channels of the environment. The returned function reports whether
// the platform has received a delivery report that a message is undeliverable.
func (env *environment) collectReports() (undeliverable func(id string) bool) {
	var mu sync.Mutex
	ids := map[string]bool{}
	go func() {
		for {
			select {
			case <-env.calls:
			case <-env.polls:
			case text := <-env.reports:
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
	return func(id string) bool {
		mu.Lock()
		defer mu.Unlock()
		return ids[id]
	}
}

// runCommand runs a command of the program as a process, and returns its output and exit code.
func (env *environment) runCommand(args ...string) (string, int) {
	c := exec.Command(os.Args[0], args...)
	c.Env = append(os.Environ(), "CLEATHOLD_CHILD=1", "CLEATHOLD_SETTINGS="+env.settingsScript)
	var out bytes.Buffer
	c.Stdout, c.Stderr = &out, &out
	c.Run()
	return out.String(), c.ProcessState.ExitCode()
}

// statusOf returns the status of a sender from its admin address.
func statusOf(t *testing.T, adminAddr string) (s admin.Status) {
	t.Helper()
	r, err := http.Get("http://" + adminAddr + admin.StatusPath)
	must(t, err)
	defer r.Body.Close()
	must(t, json.NewDecoder(r.Body).Decode(&s))
	return s
}
