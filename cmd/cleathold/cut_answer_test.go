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

// A discoveryStub is a stand-in of discovery for one target, whose answers about a change can fail in the middle.
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
	silent        atomic.Bool                       // questions get no answer
}

func newDiscoveryStub(target string, fail func(c *net.TCPConn, text string)) *discoveryStub {
	return &discoveryStub{version: 1, state: "up", target: target, changed: make(chan struct{}), fail: fail}
}

// setState tells a new state of the target; so many answers about it fail, and all for a time.
func (stub *discoveryStub) setState(state string, faulty int, span time.Duration) {
	stub.mu.Lock()
	defer stub.mu.Unlock()
	stub.version++
	stub.state, stub.notified, stub.faultyAnswers, stub.faultyUntil = state, time.Time{}, faulty, time.Now().Add(span)
	close(stub.changed)
	stub.changed = make(chan struct{})
}

// notifiedAt is when the latest change was told; zero where it was not.
func (stub *discoveryStub) notifiedAt() time.Time {
	stub.mu.Lock()
	defer stub.mu.Unlock()
	return stub.notified
}

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

// answer answers one question, and tells whether another may follow.
func (stub *discoveryStub) answer(c *net.TCPConn, r *http.Request) bool {
	since := r.URL.Query().Get("since")
	wait, _ := strconv.Atoi(r.URL.Query().Get("timeout_ms"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for waiting := true; waiting; {
		stub.mu.Lock()
		changedSince, changed := since != strconv.Itoa(stub.version), stub.changed
		stub.mu.Unlock()
		if waiting = !changedSince; !waiting {
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
		list = fmt.Sprintf(`[{"id":"s","addr":%q,"zone":"z","kind":"k","cell":7,"state":%q,"weight":150}]`, stub.target, stub.state)
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

// What discovery has begun to tell counts as told, whatever becomes of its answer: no call reaches a draining target later
// than the grace of drains, and service goes on once the target is up again.
func TestTruncatedDiscoveryAnswers(t *testing.T) {
	t.Parallel()
	closes := func(end func(*net.TCPConn)) func(*net.TCPConn, string) {
		return func(c *net.TCPConn, text string) { io.WriteString(c, text[:len(text)-9]); end(c) }
	}
	for _, x := range []struct {
		name   string
		fail   func(c *net.TCPConn, text string)
		faulty int
		span   time.Duration
	}{
		{"stops in its first line", writePrefix(9), 1, 0},
		{"stops in its head", writePrefix(25), 1, 0},
		{"stops in its list", writePrefix(-9), 1, 0},
		{"stops in its list twice", writePrefix(-9), 2, 0},
		{"each stops before its list for 3 s", writePrefix(60), 0, 3 * time.Second},
		{"closes in its list twice", closes(func(c *net.TCPConn) { c.Close() }), 2, 0},
		{"resets in its list twice", closes(func(c *net.TCPConn) { c.SetLinger(0); c.Close() }), 2, 0},
		{"can't be read", func(c *net.TCPConn, text string) { io.WriteString(c, socktest.JSON(`{"version":2,"servers":}`)) }, 1, 0},
		{"comes byte by byte", func(c *net.TCPConn, text string) {
			for i := range text {
				io.WriteString(c, text[i:i+1])
				time.Sleep(100 * time.Millisecond)
			}
		}, 1, 0},
	} {
		t.Run(x.name, func(t *testing.T) {
			t.Parallel()
			testBrokenAnswer(t, x.fail, x.faulty, x.span)
		})
	}
}

// A watch goes on for 200 ms after an answer: a change in that time counts as told, also where a large fleet's sender
// rests before it asks again.
func TestChangeRightAfterAnswer(t *testing.T) {
	t.Parallel()
	const grace = 2 * time.Second
	env := newDrainEnvironment(t, nil, grace, 50)
	env.setState("up", 0, 0)
	for until := time.Now().Add(10 * time.Second); env.notifiedAt().IsZero(); time.Sleep(time.Millisecond) {
		if time.Now().After(until) {
			t.Fatal("no question to discovery")
		}
	}
	time.Sleep(100 * time.Millisecond)
	env.setState("draining", 0, 0)
	notified := time.Now()
	env.submitUntil("a", notified.Add(4*time.Second))
	if last, _ := env.calls(); last.Sub(notified) > grace+50*time.Millisecond {
		t.Errorf("a call reached the target %v after the drain was told", last.Sub(notified))
	}
}

// A process that is started with the list of its configuration, while discovery says nothing, sends nothing to a target
// of which the process before it was told that it drains.
func TestRestartKnowsDrainedTarget(t *testing.T) {
	t.Parallel()
	env := newDrainEnvironment(t, nil, time.Second, 1)
	env.setState("draining", 0, 0)
	for until := time.Now().Add(10 * time.Second); env.notifiedAt().IsZero(); time.Sleep(time.Millisecond) {
		if time.Now().After(until) {
			t.Fatal("the drain was never told")
		}
	}
	env.submitUntil("a", time.Now().Add(1200*time.Millisecond))
	env.silent.Store(true)
	env.kill(env.process)
	env.process = env.start()
	_, before := env.calls()
	env.submitUntil("b", time.Now().Add(2*time.Second))
	if _, count := env.calls(); count != before {
		t.Errorf("%d calls reached the target after the restart", count-before)
	}
	env.silent.Store(false)
	env.setState("up", 0, 0)
	env.awaitCalls(t, before)
}

// A drainEnvironment is a sender with a catalog and one target, whose calls are counted.
type drainEnvironment struct {
	*environment
	*discoveryStub
	process   *exec.Cmd
	mu        sync.Mutex
	lastCall  time.Time
	callCount int
}

func newDrainEnvironment(t *testing.T, fail func(*net.TCPConn, string), grace time.Duration, siblings int) *drainEnvironment {
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
		set := config["settings"].(map[string]any)
		set["siblings"] = siblings
		config["known"] = map[string]any{"version": 1, "full": true, "servers": []map[string]any{
			{"id": "s", "addr": env.environment.targetAddr, "zone": "z", "kind": "k", "cell": 7, "state": "up", "weight": 150},
		}}
		set["guarantees"].(map[string]any)["drain-grace-ms"] = grace.Milliseconds()
	}
	env.configure(socktest.Accept(t, env.serve))
	env.process = env.start()
	env.submit("safe", "first")
	return env
}

// calls tells when the latest call came, and how many did.
func (env *drainEnvironment) calls() (last time.Time, count int) {
	env.mu.Lock()
	defer env.mu.Unlock()
	return env.lastCall, env.callCount
}

// submitUntil hands messages in until a time.
func (env *drainEnvironment) submitUntil(round string, until time.Time) {
	for i := 0; time.Now().Before(until); i++ {
		env.roundTrip(messageRequest("safe", round+strconv.Itoa(i), "hi"))
		time.Sleep(10 * time.Millisecond)
	}
}

func testBrokenAnswer(t *testing.T, fail func(*net.TCPConn, string), faulty int, span time.Duration) {
	const grace = time.Second
	env := newDrainEnvironment(t, fail, grace, 1)
	env.setState("draining", faulty, span)
	env.submitUntil("a", time.Now().Add(3500*time.Millisecond))
	notified := env.notifiedAt()
	if notified.IsZero() {
		t.Fatal("the drain was never told")
	}
	last, before := env.calls()
	if lateness := last.Sub(notified); lateness > grace+50*time.Millisecond {
		t.Errorf("a call reached the target %v after the drain was told", lateness)
	}
	env.setState("up", 0, 0)
	env.awaitCalls(t, before)
}

// awaitCalls waits until there are more calls than before.
func (env *drainEnvironment) awaitCalls(t *testing.T, before int) {
	t.Helper()
	for round, until := 0, time.Now().Add(5*time.Second); time.Now().Before(until); round++ {
		env.submitUntil(fmt.Sprint("again", round, "-"), time.Now().Add(100*time.Millisecond))
		if _, count := env.calls(); count > before {
			return
		}
	}
	t.Error("no call within 5 s of the end of the drain")
}
