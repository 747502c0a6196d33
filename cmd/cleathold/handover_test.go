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

// The next process takes over while calls are out at the one before. What comes of those the old one passes on:
// served, nothing is sent twice; refused, they never ran, and the new one sends them again. Killed before that, the old
// one leaves them as ones that may have run.
func TestHandoverWithCallsInFlight(t *testing.T) {
	for _, callResult := range []string{"served", "refused", "killed"} {
		t.Run(callResult, func(t *testing.T) {
			answer := make(chan struct{})
			var once sync.Once
			release := func() { once.Do(func() { close(answer) }) }
			defer release()
			var upgraded atomic.Bool
			env := newHandoverEnvironment(t, func(string) string {
				if upgraded.Load() {
					return socktest.Status(200)
				}
				<-answer
				return socktest.Status(map[string]int{"served": 200, "refused": 503, "killed": 500}[callResult])
			})
			first, at := env.startProcess()
			awaitReady(t, at)
			env.submitAndAwait("safe", "s1")
			env.submitAndAwait("unsafe", "u1")
			_, at = env.startProcess()
			awaitReady(t, at)
			upgraded.Store(true)
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
					t.Errorf("the one before: %v", err)
				}
			}
			if callResult == "refused" {
				if a, b := receive(t, env.calls), receive(t, env.calls); a+b != "s1u1" && a+b != "u1s1" {
					t.Errorf("sent again: %s, %s", a, b)
				}
			}
			env.submitAndAwait("unsafe", "u2")
			env.requireNoNotice()
		})
	}
}

// A call waits for its connection as the next process takes over, and discovery tells that one of a drain. Up at last, the
// connection carries nothing: the old process knows no drain, and the message is the next one's, as one that never ran.
func TestHandoverWhileCallConnects(t *testing.T) {
	env := newHandoverEnvironment(t, func(string) string { return "" })
	addr, open := socktest.Full(t)
	env.targetAddr = addr
	first, at := env.startProcess()
	awaitReady(t, at)
	receive(t, env.polls)
	receive(t, env.polls) // the watch: the list has come
	env.submit("safe", "s")
	env.targetDraining.Store(true)
	_, at = env.startProcess()
	awaitReady(t, at)
	receive(t, env.polls)
	receive(t, env.polls) // the next one's watch: it knows of the drain
	called := make(chan string, 8)
	open(func(_ int, c *net.TCPConn) {
		if line, err := bufio.NewReader(c).ReadString('\n'); err == nil {
			called <- line
		}
	})
	if err := awaitExit(t, first); err != nil {
		t.Errorf("the one before: %v", err)
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

// Two upgrades in a row while messages come in on new connections without a pause: each is taken on and delivered,
// once if it must not be repeated. A drain that was ordered before holds in the process after.
func TestHandoversUnderLoad(t *testing.T) {
	var mu sync.Mutex
	sends := map[string]int{}
	seen := map[string]chan struct{}{}
	env := newHandoverEnvironment(t, func(string) string { return "" })
	env.respond = func(r *http.Request) string {
		mu.Lock()
		defer mu.Unlock()
		id := r.Header.Get("X-Request-Id")
		if sends[id]++; sends[id] == 1 {
			close(seen[id])
		}
		return socktest.Status(200)
	}
	last, at := env.startProcess()
	awaitReady(t, at)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	var accepted, rejected atomic.Int64
	submitAndWait := func(class, id string) bool {
		text := "POST /%s HTTP/1.1\r\nHost: h\r\nX-Request-Id: %s\r\nX-Deadline: 60\r\nX-Addressing: dest=7\r\nContent-Length: 2\r\n\r\nhi"
		came := make(chan struct{})
		mu.Lock()
		seen[id] = came
		mu.Unlock()
		status := env.roundTrip(fmt.Sprintf(text, class, id))
		if status != http.StatusAccepted {
			return false
		}
		select { // the next one only when this one is delivered: the target sets the pace
		case <-came:
		case <-time.After(20 * time.Second):
			t.Errorf("%s is lost", id)
		}
		return true
	}
	for n := range 4 {
		wg.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				default:
				}
				class := []string{"safe", "unsafe"}[i%2]
				id := fmt.Sprintf("%s-%d-%d", class, n, i)
				// A close that crosses a request is no answer: the client sends it once more.
				if submitAndWait(class, id) || submitAndWait(class, id+"-again") {
					accepted.Add(1)
				} else {
					rejected.Add(1)
				}
			}
		})
	}
	for range 2 {
		for was := accepted.Load(); accepted.Load() < was+20 && !t.Failed(); {
			time.Sleep(time.Millisecond)
		}
		before := last
		last, at = env.startProcess()
		awaitReady(t, at)
		if err := awaitExit(t, before); err != nil {
			t.Errorf("the one before: %v", err)
		}
	}
	close(stop)
	wg.Wait()
	mu.Lock()
	for id, n := range sends {
		if n > 1 && strings.HasPrefix(id, "unsafe") {
			t.Errorf("%s was sent %d times", id, n)
		}
	}
	mu.Unlock()
	if rejected.Load() > 0 {
		t.Errorf("%d of %d ended at the door", rejected.Load(), accepted.Load()+rejected.Load())
	}
	if got := callAdmin(http.MethodPut, at, "/v1/sender/drain"); got != http.StatusOK {
		t.Errorf("drain: %d", got)
	}
	_, at = env.startProcess()
	awaitReady(t, at)
	if got := env.roundTrip("GET /_health HTTP/1.1\r\nHost: h\r\n\r\n"); got != http.StatusServiceUnavailable {
		t.Errorf("health after a drain and an upgrade: %d", got)
	}
	if got := callAdmin(http.MethodPut, at, "/v1/sender/activate"); got != http.StatusOK {
		t.Errorf("activate: %d", got)
	}
	if got := env.roundTrip("GET /_health HTTP/1.1\r\nHost: h\r\n\r\n"); got != http.StatusOK {
		t.Errorf("health after activate: %d", got)
	}
}

// A process that asks, takes the estate and dies before it serves changes nothing: the one before takes everything
// back, calls that were out end there, and the next one that asks takes over.
func TestSuccessorDiesDuringTakeover(t *testing.T) {
	answer := make(chan struct{})
	var served atomic.Bool
	env := newHandoverEnvironment(t, func(string) string {
		if !served.Load() {
			<-answer
		}
		return socktest.Status(200)
	})
	first, at := env.startProcess()
	awaitReady(t, at)
	for round := range 2 {
		id := fmt.Sprint("u", round)
		served.Store(round > 0)
		env.submitAndAwait("unsafe", id)
		i, err := handover.RequestTakeover(handover.Path(env.stateFolder))
		if err != nil || i == nil {
			t.Fatalf("%v, %v", i, err)
		}
		if out := len(i.State.InFlight); round == 0 && out != 1 {
			t.Errorf("out: %+v", i.State.InFlight)
		}
		i.Listener.Close()
		i.Abort()
		awaitReady(t, at)
		if round == 0 {
			close(answer)
		}
	}
	env.submitAndAwait("safe", "s1")
	_, at = env.startProcess()
	awaitReady(t, at)
	if err := awaitExit(t, first); err != nil {
		t.Errorf("the one before: %v", err)
	}
	env.submitAndAwait("safe", "s2")
	env.requireNoNotice()
}

// A desk that a killed process left, and a folder for temporary files that can't be written, keep nobody from starting.
func TestStaleHandoverSocket(t *testing.T) {
	env := newHandoverEnvironment(t, func(string) string { return socktest.Status(200) })
	first, at := env.startProcess()
	awaitReady(t, at)
	env.kill(first)
	if _, err := os.Stat(handover.Path(env.stateFolder)); err != nil {
		t.Fatalf("no stale desk: %v", err)
	}
	second, at := env.startProcess()
	awaitReady(t, at)
	second.Process.Signal(syscall.SIGTERM)
	if err := awaitExit(t, second); err != nil {
		t.Error(err)
	}
	t.Setenv("TMPDIR", filepath.Join(env.stateFolder, "none"))
	_, at = env.startProcess()
	awaitReady(t, at)
	env.submitAndAwait("safe", "s1")
}
