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

// TestHandoverWithCallsInFlight has the next process take over while calls of the predecessor are in flight, which
// passes their results on: served, nothing is sent twice; rejected, they never ran, and the successor sends them again.
// Killed before that, the predecessor leaves them as ones that may have run.
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
				if n := receive(t, env.notices); n != `{"id":"u1","status":"undeliverable"}`+"\n" {
					t.Errorf("notice %q", n)
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
			env.requireNoNotice()
		})
	}
}

// TestHandoverWhileCallConnects has a call wait for its connection as the next process takes over, and discovery tell
// that one of a drain. Once established, the connection carries nothing: the predecessor knows of no drain, and the
// message is the successor's, as one that never ran.
func TestHandoverWhileCallConnects(t *testing.T) {
	env := newHandoverEnvironment(t, func(string) string { return "" })
	addr, open := socktest.Full(t)
	env.targetAddr = addr
	first, adminAddr := env.startProcess()
	awaitReady(t, adminAddr)
	receive(t, env.polls)
	receive(t, env.polls) // the watch: the list has come
	env.submit("safe", "s")
	env.targetDraining.Store(true)
	_, adminAddr = env.startProcess()
	awaitReady(t, adminAddr)
	receive(t, env.polls)
	receive(t, env.polls) // the next one's watch: it knows of the drain
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
	env.requireNoNotice()
}

// TestHandoversUnderLoad makes two hand-overs in a row while messages come in on new connections without a pause: each
// is accepted and delivered, once if it must not be repeated. A drain that was ordered before holds in the process
// after.
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

// loadGenerator submits messages and is the target that they reach.
type loadGenerator struct {
	t                  *testing.T
	env                *environment
	accepted, rejected atomic.Int64

	mu         sync.Mutex
	callCounts map[string]int
	delivered  map[string]chan struct{} // closed with the first send of a message
}

// respond counts a call and serves it.
func (l *loadGenerator) respond(r *http.Request) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	id := r.Header.Get("X-Request-Id")
	if l.callCounts[id]++; l.callCounts[id] == 1 {
		close(l.delivered[id])
	}
	return socktest.Status(200)
}

// start starts four clients, which submit one message after the other until stop is called.
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
				// A close that crosses a request is no answer: the client sends it once more.
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

// submit submits a message and returns whether it was accepted. It waits for its delivery: the target sets the pace.
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

// requireDelivered checks that no message was rejected, and none sent twice that must not be repeated.
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

// TestSuccessorDiesDuringTakeover has a process ask, take the state and die before it serves, which changes nothing:
// the predecessor takes everything back, calls that were in flight end there, and the next one that asks takes over.
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
			t.Errorf("out: %+v", takeover.State.InFlight)
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
	env.requireNoNotice()
}

// TestStaleHandoverSocket checks that a socket that a killed process left, and a folder for temporary files that can't
// be written, keep no process from starting.
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
