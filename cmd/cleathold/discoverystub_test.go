package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os/exec"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"cleathold/internal/socktest"
)

// discoveryStub is a stand-in of discovery for one target, whose answers about a change can fail in the middle.
type discoveryStub struct {
	mu            sync.Mutex
	version       int
	state         string
	target        string
	changed       chan struct{}                     // closed with the next change
	notified      time.Time                         // when the first byte of an answer about the latest change was written
	faultyAnswers int                               // so many answers about it fail...
	faultyUntil   time.Time                         // ...and all until then
	fail          func(c *net.TCPConn, text string) // writes one that fails
	silent        atomic.Bool                       // polls get no answer
}

// newDiscoveryStub returns a stub whose target is up.
func newDiscoveryStub(target string, fail func(c *net.TCPConn, text string)) *discoveryStub {
	return &discoveryStub{version: 1, state: "up", target: target, changed: make(chan struct{}), fail: fail}
}

// setState changes the state of the target. So many answers about the change fail, and all for a time.
func (stub *discoveryStub) setState(state string, faultyAnswers int, duration time.Duration) {
	stub.mu.Lock()
	defer stub.mu.Unlock()
	stub.version++
	stub.state, stub.notified, stub.faultyAnswers, stub.faultyUntil =
		state, time.Time{}, faultyAnswers, time.Now().Add(duration)
	close(stub.changed)
	stub.changed = make(chan struct{})
}

// notifiedAt returns when an answer about the latest change began; zero if none has.
func (stub *discoveryStub) notifiedAt() time.Time {
	stub.mu.Lock()
	defer stub.mu.Unlock()
	return stub.notified
}

// serve answers on one connection, as discovery and as the platform that accepts delivery reports.
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
			continue
		}
		if stub.silent.Load() || !stub.answer(c, r) {
			return
		}
	}
}

// answer answers one poll, and returns whether another may follow.
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

// writePrefix writes the first bytes of an answer and leaves the connection open.
func writePrefix(n int) func(*net.TCPConn, string) {
	return func(c *net.TCPConn, text string) { io.WriteString(c, text[:(n+len(text))%len(text)]) }
}

// drainEnvironment is a sender with a discovery stub and one target, whose calls are counted.
type drainEnvironment struct {
	*environment
	*discoveryStub
	process   *exec.Cmd
	mu        sync.Mutex
	lastCall  time.Time
	callCount int
}

// newDrainEnvironment starts a sender in a fleet of some size, with a grace for drains, whose configuration lists the
// target.
func newDrainEnvironment(
	t *testing.T, fail func(*net.TCPConn, string), grace time.Duration, siblings int,
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
		settings["siblings"] = siblings
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

// callStats returns when the latest call came, and how many did.
func (env *drainEnvironment) callStats() (last time.Time, count int) {
	env.mu.Lock()
	defer env.mu.Unlock()
	return env.lastCall, env.callCount
}

// submitUntil submits messages until a time.
func (env *drainEnvironment) submitUntil(round string, until time.Time) {
	for i := 0; time.Now().Before(until); i++ {
		env.roundTrip(messageRequest("safe", round+strconv.Itoa(i), "hi"))
		time.Sleep(10 * time.Millisecond)
	}
}

// awaitCalls waits until there are more calls than before.
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
