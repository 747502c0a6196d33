package main

import (
	"bufio"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"os/exec"
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

var hosts atomic.Int32

// freeAddr is an address that nobody listens on, at a host of its own: a port of 127.0.0.1 that was given back may become
// that of anybody's connection.
func freeAddr(t *testing.T) string {
	t.Helper()
	n := hosts.Add(1)
	free, err := net.Listen("tcp", fmt.Sprintf("127.0.%d.%d:0", 1+n/250, 1+n%250))
	if err != nil {
		t.Fatal(err)
	}
	defer free.Close()
	return free.Addr().String()
}

// operated is a world whose sender has a second address, and whose folder for temporary files is its own.
func operated(t *testing.T, answer func(id string) string) *world {
	t.Helper()
	temp, err := os.MkdirTemp("", "ct") // a Unix address is short
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { os.RemoveAll(temp) })
	t.Setenv("TMPDIR", temp)
	return newWorld(t, answer)
}

// run starts the program with a second address and returns without waiting.
func (w *world) run() (*exec.Cmd, string) {
	w.t.Helper()
	at := freeAddr(w.t)
	c := exec.Command(os.Args[0], "serve")
	c.Env = append(os.Environ(), "CLEATHOLD_CHILD=1", "LB_CONFIG="+w.config, "LB_ADMIN="+at)
	if err := c.Start(); err != nil {
		w.t.Fatal(err)
	}
	w.t.Cleanup(func() { c.Process.Kill(); c.Wait() })
	return c, at
}

// ready waits until a second address says yes.
func ready(t *testing.T, at string) {
	t.Helper()
	for until := time.Now().Add(20 * time.Second); time.Now().Before(until); time.Sleep(5 * time.Millisecond) {
		if order(http.MethodGet, at, "/v1/readyz") == http.StatusOK {
			return
		}
	}
	t.Fatal("never ready")
}

// order makes one call at a second address; 0: it was not to be had.
func order(method, at, path string) int {
	r, err := http.NewRequest(method, "http://"+at+path, nil)
	if err != nil {
		return 0
	}
	a, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 10 * time.Second}).Do(r)
	if err != nil {
		return 0
	}
	a.Body.Close()
	return a.StatusCode
}

// ended waits for a process that ends by itself.
func ended(t *testing.T, c *exec.Cmd) error {
	t.Helper()
	done := make(chan error, 1)
	go func() { done <- c.Wait() }()
	select {
	case err := <-done:
		return err
	case <-time.After(20 * time.Second):
		t.Fatal("it runs on")
		return nil
	}
}

// delivers hands a message in and wants it to be the next that reaches the target.
func (w *world) delivers(class, id string) {
	w.t.Helper()
	w.handIn(class, id)
	if got := wait(w.t, w.calls); got != id {
		w.t.Errorf("sent: %s, want %s", got, id)
	}
}

// noNotice wants the platform to have been told nothing more.
func (w *world) noNotice() {
	w.t.Helper()
	select {
	case n := <-w.told:
		w.t.Errorf("notice %q", n)
	default:
	}
}

// The next process takes over while calls are out at the one before. What comes of those the old one passes on:
// served, nothing is sent twice; refused, they never ran, and the new one sends them again. Killed before that, the old
// one leaves them as ones that may have run.
func TestUpgradeWithCallsOut(t *testing.T) {
	for _, fate := range []string{"served", "refused", "killed"} {
		t.Run(fate, func(t *testing.T) {
			let := make(chan struct{})
			var once sync.Once
			release := func() { once.Do(func() { close(let) }) }
			defer release()
			var upgraded atomic.Bool
			w := operated(t, func(string) string {
				if upgraded.Load() {
					return socktest.Status(200)
				}
				<-let
				return socktest.Status(map[string]int{"served": 200, "refused": 503, "killed": 500}[fate])
			})
			first, at := w.run()
			ready(t, at)
			w.delivers("safe", "s1")
			w.delivers("unsafe", "u1")
			_, at = w.run()
			ready(t, at)
			upgraded.Store(true)
			if fate == "killed" {
				w.kill(first)
				if id := wait(t, w.calls); id != "s1" {
					t.Errorf("sent again: %s", id)
				}
				if n := wait(t, w.told); n != `{"id":"u1","status":"undeliverable"}`+"\n" {
					t.Errorf("notice %q", n)
				}
			} else {
				w.delivers("safe", "s2")
				release()
				if err := ended(t, first); err != nil {
					t.Errorf("the one before: %v", err)
				}
			}
			if fate == "refused" {
				if a, b := wait(t, w.calls), wait(t, w.calls); a+b != "s1u1" && a+b != "u1s1" {
					t.Errorf("sent again: %s, %s", a, b)
				}
			}
			w.delivers("unsafe", "u2")
			w.noNotice()
		})
	}
}

// A call waits for its connection as the next process takes over, and discovery tells that one of a drain. Up at last, the
// connection carries nothing: the old process knows no drain, and the message is the next one's, as one that never ran.
func TestUpgradeWhileACallConnects(t *testing.T) {
	w := operated(t, func(string) string { return "" })
	addr, open := socktest.Full(t)
	w.target = addr
	first, at := w.run()
	ready(t, at)
	wait(t, w.asked)
	wait(t, w.asked) // the watch: the list has come
	w.handIn("safe", "s")
	w.drains.Store(true)
	_, at = w.run()
	ready(t, at)
	wait(t, w.asked)
	wait(t, w.asked) // the next one's watch: it knows of the drain
	called := make(chan string, 8)
	open(func(_ int, c *net.TCPConn) {
		if line, err := bufio.NewReader(c).ReadString('\n'); err == nil {
			called <- line
		}
	})
	if err := ended(t, first); err != nil {
		t.Errorf("the one before: %v", err)
	}
	if len(called) > 0 {
		t.Errorf("a draining target was called: %s", <-called)
	}
	for until := time.Now().Add(20 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		list, err := state.ReadPending(w.dir, slog.New(slog.DiscardHandler))
		if err == nil && len(list) == 1 && !list[0].MayHaveRun {
			break
		}
		if time.Now().After(until) {
			t.Fatalf("pending %+v, %v", list, err)
		}
	}
	w.noNotice()
}

// Two upgrades in a row while messages come in on new connections without a pause: each is taken on and delivered,
// once if it must not be repeated. A drain that was ordered before holds in the process after.
func TestUpgradesUnderLoad(t *testing.T) {
	var mu sync.Mutex
	sends := map[string]int{}
	seen := map[string]chan struct{}{}
	w := operated(t, func(string) string { return "" })
	w.raw = func(r *http.Request) string {
		mu.Lock()
		defer mu.Unlock()
		id := r.Header.Get("X-Request-Id")
		if sends[id]++; sends[id] == 1 {
			close(seen[id])
		}
		return socktest.Status(200)
	}
	last, at := w.run()
	ready(t, at)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	var taken, refused atomic.Int64
	hand := func(class, id string) bool {
		text := "POST /%s HTTP/1.1\r\nHost: h\r\nX-Request-Id: %s\r\nX-Deadline: 60\r\nX-Addressing: dest=7\r\nContent-Length: 2\r\n\r\nhi"
		came := make(chan struct{})
		mu.Lock()
		seen[id] = came
		mu.Unlock()
		status := w.ask(fmt.Sprintf(text, class, id))
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
				if hand(class, id) || hand(class, id+"-again") {
					taken.Add(1)
				} else {
					refused.Add(1)
				}
			}
		})
	}
	for range 2 {
		for was := taken.Load(); taken.Load() < was+20 && !t.Failed(); {
			time.Sleep(time.Millisecond)
		}
		before := last
		last, at = w.run()
		ready(t, at)
		if err := ended(t, before); err != nil {
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
	if refused.Load() > 0 {
		t.Errorf("%d of %d ended at the door", refused.Load(), taken.Load()+refused.Load())
	}
	if got := order(http.MethodPut, at, "/v1/sender/drain"); got != http.StatusOK {
		t.Errorf("drain: %d", got)
	}
	_, at = w.run()
	ready(t, at)
	if got := w.ask("GET /_health HTTP/1.1\r\nHost: h\r\n\r\n"); got != http.StatusServiceUnavailable {
		t.Errorf("health after a drain and an upgrade: %d", got)
	}
	if got := order(http.MethodPut, at, "/v1/sender/activate"); got != http.StatusOK {
		t.Errorf("activate: %d", got)
	}
	if got := w.ask("GET /_health HTTP/1.1\r\nHost: h\r\n\r\n"); got != http.StatusOK {
		t.Errorf("health after activate: %d", got)
	}
}

// A process that asks, takes the estate and dies before it serves changes nothing: the one before takes everything
// back, calls that were out end there, and the next one that asks takes over.
func TestHeirThatDies(t *testing.T) {
	let := make(chan struct{})
	var served atomic.Bool
	w := operated(t, func(string) string {
		if !served.Load() {
			<-let
		}
		return socktest.Status(200)
	})
	first, at := w.run()
	ready(t, at)
	for round := range 2 {
		id := fmt.Sprint("u", round)
		served.Store(round > 0)
		w.delivers("unsafe", id)
		i, err := handover.RequestTakeover(handover.Path(w.dir))
		if err != nil || i == nil {
			t.Fatalf("%v, %v", i, err)
		}
		if out := len(i.State.InFlight); round == 0 && out != 1 {
			t.Errorf("out: %+v", i.State.InFlight)
		}
		i.Listener.Close()
		i.Abort()
		ready(t, at)
		if round == 0 {
			close(let)
		}
	}
	w.delivers("safe", "s1")
	_, at = w.run()
	ready(t, at)
	if err := ended(t, first); err != nil {
		t.Errorf("the one before: %v", err)
	}
	w.delivers("safe", "s2")
	w.noNotice()
}

// A desk that a killed process left, and a folder for temporary files that can't be written, keep nobody from starting.
func TestStaleDesk(t *testing.T) {
	w := operated(t, func(string) string { return socktest.Status(200) })
	first, at := w.run()
	ready(t, at)
	w.kill(first)
	if _, err := os.Stat(handover.Path(w.dir)); err != nil {
		t.Fatalf("no stale desk: %v", err)
	}
	second, at := w.run()
	ready(t, at)
	second.Process.Signal(syscall.SIGTERM)
	if err := ended(t, second); err != nil {
		t.Error(err)
	}
	t.Setenv("TMPDIR", filepath.Join(w.dir, "none"))
	_, at = w.run()
	ready(t, at)
	w.delivers("safe", "s1")
}
