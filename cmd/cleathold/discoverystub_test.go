package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"cleathold/internal/socktest"
)

// discoveryStub is a test server for discovery with one target. Its answers about a change can fail.
type discoveryStub struct {
	mu            sync.Mutex
	version       int
	state         string
	target        string
	changed       chan struct{}                     // closed at the next change
	notified      time.Time                         // time of the first byte of an answer with the latest change
	faultyAnswers int                               // number of answers with the change that still fail
	faultyUntil   time.Time                         // all answers with the change fail until this time
	fail          func(c *net.TCPConn, text string) // writes an answer that fails
	silent        atomic.Bool                       // polls are not answered
	stalls        bool                              // connections of answers that are cut off stay open
	truncated     chan struct{}                     // closed by an answer that is cut off; nil: none is
}

// newDiscoveryStub returns a stub whose target is up.
func newDiscoveryStub(target string, fail func(c *net.TCPConn, text string)) *discoveryStub {
	return &discoveryStub{version: 1, state: "up", target: target, changed: make(chan struct{}), fail: fail}
}

// setState changes the state of the target. The first faultyAnswers answers with the change fail, and so do all answers
// for a duration.
func (stub *discoveryStub) setState(state string, faultyAnswers int, duration time.Duration) {
	stub.mu.Lock()
	defer stub.mu.Unlock()
	stub.version++
	stub.state, stub.notified, stub.faultyAnswers, stub.faultyUntil =
		state, time.Time{}, faultyAnswers, time.Now().Add(duration)
	close(stub.changed)
	stub.changed = make(chan struct{})
}

// truncateNext cuts off the next answer, whether or not it holds a change, and goes silent with it. The result is closed
// when that has happened.
func (stub *discoveryStub) truncateNext() <-chan struct{} {
	stub.mu.Lock()
	defer stub.mu.Unlock()
	stub.truncated = make(chan struct{})
	return stub.truncated
}

// hasEnded reports whether the other side has closed a connection on which it sends nothing more.
func hasEnded(c net.Conn) bool {
	c.SetReadDeadline(time.Now().Add(time.Millisecond))
	_, err := c.Read(make([]byte, 1))
	c.SetReadDeadline(time.Time{})
	return !errors.Is(err, os.ErrDeadlineExceeded)
}

// notifiedAt returns the time when the first answer with the latest change began, or the zero time if there was none.
func (stub *discoveryStub) notifiedAt() time.Time {
	stub.mu.Lock()
	defer stub.mu.Unlock()
	return stub.notified
}

// serve answers the requests of one connection, both polls of discovery and delivery reports to the platform.
func (stub *discoveryStub) serve(_ int, c *net.TCPConn) {
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		io.Copy(io.Discard, r.Body)
		if r.Method == http.MethodPost {
			io.WriteString(c, socktest.Status(http.StatusNoContent))
		} else if stub.silent.Load() || !stub.answer(c, r) {
			return
		}
		if r.Close {
			c.Close()
			return
		}
	}
}

// answer answers one poll, and reports whether the connection can be used for another one.
func (stub *discoveryStub) answer(c *net.TCPConn, r *http.Request) bool {
	since := r.URL.Query().Get("since")
	wait, _ := strconv.Atoi(r.URL.Query().Get("timeout_ms"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for waiting := true; waiting; {
		stub.mu.Lock()
		hasChange, changed := since != strconv.Itoa(stub.version), stub.changed
		stub.mu.Unlock()
		if waiting = !hasChange; !waiting {
			break
		}
		select {
		case <-changed:
		case <-end:
			waiting = false
		}
	}
	stub.mu.Lock()
	defer stub.mu.Unlock()
	list := "[]"
	if since != strconv.Itoa(stub.version) {
		list = fmt.Sprintf(targetList, stub.target, stub.state)
	}
	text := socktest.JSON(fmt.Sprintf(`{"version":%d,"full":%t,"servers":%s}`, stub.version, since == "", list))
	if stub.truncated != nil && !hasEnded(c) {
		stub.silent.Store(true)
		io.WriteString(c, text[:30]) // a part of the head, so that nothing of the list can be read
		if !stub.stalls {
			c.Close()
		}
		close(stub.truncated)
		stub.truncated = nil
		return false
	}
	if list != "[]" && stub.version > 1 {
		if stub.notified.IsZero() {
			stub.notified = time.Now()
		}
		if stub.faultyAnswers > 0 || time.Now().Before(stub.faultyUntil) {
			stub.faultyAnswers--
			go stub.fail(c, text)
			return false
		}
	}
	io.WriteString(c, text)
	return true
}

// writePrefix returns a function that writes the first n bytes of an answer, or all but the last -n, and leaves the
// connection open.
func writePrefix(n int) func(*net.TCPConn, string) {
	return func(c *net.TCPConn, text string) { io.WriteString(c, text[:(n+len(text))%len(text)]) }
}

// drainEnvironment is a sender with a discovery stub and one target. It counts the calls to the target.
type drainEnvironment struct {
	*environment
	*discoveryStub
	process *exec.Cmd
	temp    string // folder of the hand-over socket; empty: none yet

	mu        sync.Mutex
	lastCall  time.Time
	callCount int
}

// newDrainEnvironment starts a sender whose configuration lists the target. The sender is part of a fleet of the given
// size and has the given grace period for drains.
func newDrainEnvironment(
	t *testing.T, fail func(*net.TCPConn, string), grace time.Duration, siblings int,
) *drainEnvironment {
	return startDrainEnvironment(t, fail, map[string]any{"siblings": siblings}, grace)
}

// newPushEnvironment starts a sender to which lists are pushed: the discovery stub is its agent.
func newPushEnvironment(t *testing.T, grace time.Duration) *drainEnvironment {
	env := startDrainEnvironment(t, nil, map[string]any{"discovery": "push"}, grace)
	env.awaitCalls(t, 0)
	return env
}

// startDrainEnvironment starts a sender with the given settings besides those of all senders.
func startDrainEnvironment(
	t *testing.T, fail func(*net.TCPConn, string), ownSettings map[string]any, grace time.Duration,
) *drainEnvironment {
	env := &drainEnvironment{environment: newEnvironment(t, nil)}
	env.respond = func(*http.Request) string {
		env.mu.Lock()
		defer env.mu.Unlock()
		env.lastCall = time.Now()
		env.callCount++
		return socktest.Status(http.StatusOK)
	}
	env.discoveryStub = newDiscoveryStub(env.environment.targetAddr, fail)
	env.tune = func(config map[string]any) {
		settings := config["settings"].(map[string]any)
		maps.Copy(settings, ownSettings)
		config["known"] = map[string]any{"version": 1, "full": true, "servers": []map[string]any{
			{"id": "s", "addr": env.environment.targetAddr, "zone": "z", "kind": "k", "cell": 7, "state": "up", "weight": 150},
		}}
		settings["guarantees"].(map[string]any)["drain-grace-ms"] = grace.Milliseconds()
	}
	env.configure(socktest.Accept(t, env.serve))
	env.process = env.start()
	env.submit("safe", "first")
	return env
}

// callStats returns the time of the latest call and the number of calls.
func (env *drainEnvironment) callStats() (last time.Time, count int) {
	env.mu.Lock()
	defer env.mu.Unlock()
	return env.lastCall, env.callCount
}

// submitUntil submits messages until the given time.
func (env *drainEnvironment) submitUntil(round string, until time.Time) {
	for i := 0; time.Now().Before(until); i++ {
		env.roundTrip(messageRequest("safe", round+strconv.Itoa(i), "hi"))
		time.Sleep(10 * time.Millisecond)
	}
}

// awaitCalls submits messages until the number of calls has grown.
func (env *drainEnvironment) awaitCalls(t *testing.T, before int) {
	t.Helper()
	for round, until := 0, time.Now().Add(5*time.Second); time.Now().Before(until); round++ {
		env.submitUntil(fmt.Sprint("again", round, "-"), time.Now().Add(100*time.Millisecond))
		if _, count := env.callStats(); count > before {
			return
		}
	}
	t.Error("no call within 5 s of the end of the drain")
}
