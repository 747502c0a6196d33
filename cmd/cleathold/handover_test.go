package main

import (
	"bufio"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"cleathold/internal/handover"
	"cleathold/internal/socktest"
	"cleathold/internal/state"
)

// TestHandoverWithCallsInFlight hands over to another process while calls of the predecessor are in flight. The
// predecessor passes their results on. Served messages must not be sent again. Rejected calls never ran, so the
// successor must send their messages again. If the predecessor is killed before it passes the results on, its calls may
// have run.
func TestHandoverWithCallsInFlight(t *testing.T) {
	for _, callResult := range []string{"served", "rejected", "killed"} {
		t.Run(callResult, func(t *testing.T) {
			answer := make(chan struct{})
			var once sync.Once
			release := func() { once.Do(func() { close(answer) }) }
			defer release()
			var afterHandover atomic.Bool
			env := newHandoverEnvironment(t, func(string) string {
				if afterHandover.Load() {
					return socktest.Status(200)
				}
				<-answer
				return socktest.Status(map[string]int{"served": 200, "rejected": 503, "killed": 500}[callResult])
			})
			first, adminAddr := env.startProcess()
			awaitReady(t, adminAddr)
			env.submitAndAwait("safe", "s1")
			env.submitAndAwait("unsafe", "u1")
			_, adminAddr = env.startProcess()
			awaitReady(t, adminAddr)
			afterHandover.Store(true)
			if callResult == "killed" {
				env.kill(first)
				if id := receive(t, env.calls); id != "s1" {
					t.Errorf("sent again: %s", id)
				}
				if n := receive(t, env.reports); n != `{"id":"u1","status":"undeliverable"}`+"\n" {
					t.Errorf("delivery report %q", n)
				}
			} else {
				env.submitAndAwait("safe", "s2")
				release()
				if err := awaitExit(t, first); err != nil {
					t.Errorf("the predecessor: %v", err)
				}
			}
			if callResult == "rejected" {
				if a, b := receive(t, env.calls), receive(t, env.calls); a+b != "s1u1" && a+b != "u1s1" {
					t.Errorf("sent again: %s, %s", a, b)
				}
			}
			env.submitAndAwait("unsafe", "u2")
			env.requireNoReport()
		})
	}
}

// TestHandoverWhileCallConnects hands over while a call waits for its connection, and while the successor learns that
// the target drains. The predecessor does not know of the drain. It must not use the connection once it is established,
// and the successor must take over the message as one that never ran.
func TestHandoverWhileCallConnects(t *testing.T) {
	env := newHandoverEnvironment(t, func(string) string { return "" })
	addr, open := socktest.Full(t)
	env.targetAddr = addr
	first, adminAddr := env.startProcess()
	awaitReady(t, adminAddr)
	receive(t, env.polls)
	receive(t, env.polls) // the second poll shows that the list was received
	env.submit("safe", "s")
	env.targetDraining.Store(true)
	_, adminAddr = env.startProcess()
	awaitReady(t, adminAddr)
	receive(t, env.polls)
	receive(t, env.polls) // the second poll of the successor shows that it knows of the drain
	called := make(chan string, 8)
	open(func(_ int, c *net.TCPConn) {
		if line, err := bufio.NewReader(c).ReadString('\n'); err == nil {
			called <- line
		}
	})
	if err := awaitExit(t, first); err != nil {
		t.Errorf("the predecessor: %v", err)
	}
	if len(called) > 0 {
		t.Errorf("a draining target was called: %s", <-called)
	}
	for until := time.Now().Add(20 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		list, err := state.ReadPending(env.stateFolder, slog.New(slog.DiscardHandler))
		if err == nil && len(list) == 1 && !list[0].MayHaveRun {
			break
		}
		if time.Now().After(until) {
			t.Fatalf("pending %+v, %v", list, err)
		}
	}
	env.requireNoReport()
}

// TestHandoversUnderLoad makes two hand-overs in a row while messages are submitted on new connections. Each message
// must be accepted and delivered, and unsafe ones must be sent only once. A drain that was ordered before a hand-over
// must still be in force after it.
func TestHandoversUnderLoad(t *testing.T) {
	env := newHandoverEnvironment(t, func(string) string { return "" })
	load := &loadGenerator{t: t, env: env, callCounts: map[string]int{}, delivered: map[string]chan struct{}{}}
	env.respond = load.respond
	last, adminAddr := env.startProcess()
	awaitReady(t, adminAddr)
	stop := load.start()
	for range 2 {
		for before := load.accepted.Load(); load.accepted.Load() < before+20 && !t.Failed(); {
			time.Sleep(time.Millisecond)
		}
		predecessor := last
		last, adminAddr = env.startProcess()
		awaitReady(t, adminAddr)
		if err := awaitExit(t, predecessor); err != nil {
			t.Errorf("the predecessor: %v", err)
		}
	}
	stop()
	load.requireDelivered()
	if got := callAdmin(http.MethodPut, adminAddr, "/v1/sender/drain"); got != http.StatusOK {
		t.Errorf("drain: %d", got)
	}
	_, adminAddr = env.startProcess()
	awaitReady(t, adminAddr)
	if got := env.roundTrip(healthRequest); got != http.StatusServiceUnavailable {
		t.Errorf("health after a drain and a hand-over: %d", got)
	}
	if got := callAdmin(http.MethodPut, adminAddr, "/v1/sender/activate"); got != http.StatusOK {
		t.Errorf("activate: %d", got)
	}
	if got := env.roundTrip(healthRequest); got != http.StatusOK {
		t.Errorf("health after activate: %d", got)
	}
}

// loadGenerator submits messages, and is the target that receives them.
type loadGenerator struct {
	t                  *testing.T
	env                *environment
	accepted, rejected atomic.Int64

	mu         sync.Mutex
	callCounts map[string]int
	delivered  map[string]chan struct{} // by message, closed when its first call arrives
}

// respond counts a call and responds to it with success.
func (l *loadGenerator) respond(r *http.Request) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	id := r.Header.Get("X-Request-Id")
	if l.callCounts[id]++; l.callCounts[id] == 1 {
		close(l.delivered[id])
	}
	return socktest.Status(200)
}

// start starts four clients, each of which submits messages one after the other until stop is called.
func (l *loadGenerator) start() (stop func()) {
	stopped := make(chan struct{})
	var wg sync.WaitGroup
	for n := range 4 {
		wg.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stopped:
					return
				default:
				}
				class := []string{"safe", "unsafe"}[i%2]
				id := fmt.Sprintf("%s-%d-%d", class, n, i)
				// The sender may close a connection before it reads the request, so the client retries once.
				if l.submit(class, id) || l.submit(class, id+"-again") {
					l.accepted.Add(1)
				} else {
					l.rejected.Add(1)
				}
			}
		})
	}
	return func() {
		close(stopped)
		wg.Wait()
	}
}

// submit submits a message, waits for its delivery so that the target limits the rate, and reports whether the message
// was accepted.
func (l *loadGenerator) submit(class, id string) bool {
	delivered := make(chan struct{})
	l.mu.Lock()
	l.delivered[id] = delivered
	l.mu.Unlock()
	if l.env.roundTrip(messageRequest(class, id, "hi")) != http.StatusAccepted {
		return false
	}
	select {
	case <-delivered:
	case <-time.After(20 * time.Second):
		l.t.Errorf("%s is lost", id)
	}
	return true
}

// requireDelivered checks that no message was rejected, and that no unsafe message was sent twice.
func (l *loadGenerator) requireDelivered() {
	l.t.Helper()
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, n := range l.callCounts {
		if n > 1 && strings.HasPrefix(id, "unsafe") {
			l.t.Errorf("%s was sent %d times", id, n)
		}
	}
	if l.rejected.Load() > 0 {
		l.t.Errorf("%d of %d were rejected", l.rejected.Load(), l.accepted.Load()+l.rejected.Load())
	}
}

// TestSuccessorDiesDuringTakeover simulates a successor that requests the takeover, receives the state and dies before
// it serves. The predecessor must continue to serve and complete the calls in flight, and the next successor must be
// able to take over.
func TestSuccessorDiesDuringTakeover(t *testing.T) {
	answer := make(chan struct{})
	var served atomic.Bool
	env := newHandoverEnvironment(t, func(string) string {
		if !served.Load() {
			<-answer
		}
		return socktest.Status(200)
	})
	first, adminAddr := env.startProcess()
	awaitReady(t, adminAddr)
	for round := range 2 {
		id := fmt.Sprint("u", round)
		served.Store(round > 0)
		env.submitAndAwait("unsafe", id)
		takeover, err := handover.RequestTakeover(handover.Path(env.stateFolder))
		if err != nil || takeover == nil {
			t.Fatalf("%v, %v", takeover, err)
		}
		if inFlight := len(takeover.State.InFlight); round == 0 && inFlight != 1 {
			t.Errorf("calls in flight: %+v", takeover.State.InFlight)
		}
		takeover.Listener.Close()
		takeover.Abort()
		awaitReady(t, adminAddr)
		if round == 0 {
			close(answer)
		}
	}
	env.submitAndAwait("safe", "s1")
	_, adminAddr = env.startProcess()
	awaitReady(t, adminAddr)
	if err := awaitExit(t, first); err != nil {
		t.Errorf("the predecessor: %v", err)
	}
	env.submitAndAwait("safe", "s2")
	env.requireNoReport()
}

// TestStaleHandoverSocket checks that a process starts even if a killed process has left its hand-over socket, or if
// the folder for temporary files is not writable.
func TestStaleHandoverSocket(t *testing.T) {
	env := newHandoverEnvironment(t, func(string) string { return socktest.Status(200) })
	first, adminAddr := env.startProcess()
	awaitReady(t, adminAddr)
	env.kill(first)
	if _, err := os.Stat(handover.Path(env.stateFolder)); err != nil {
		t.Fatalf("no stale socket: %v", err)
	}
	second, adminAddr := env.startProcess()
	awaitReady(t, adminAddr)
	second.Process.Signal(syscall.SIGTERM)
	if err := awaitExit(t, second); err != nil {
		t.Error(err)
	}
	t.Setenv("TMPDIR", filepath.Join(env.stateFolder, "none"))
	_, adminAddr = env.startProcess()
	awaitReady(t, adminAddr)
	env.submitAndAwait("safe", "s1")
}
