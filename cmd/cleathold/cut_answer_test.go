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

// A catalog is a stand-in of discovery for one target, whose answers about a change can fail in the middle.
type catalog struct {
	mu      sync.Mutex
	version int
	state   string
	target  string
	changed chan struct{}                     // closed with the next change
	told    time.Time                         // when the first byte of an answer about the latest change was written
	faulty  int                               // so many answers about it fail...
	until   time.Time                         // ...and all until then
	fail    func(c *net.TCPConn, text string) // writes one that fails
	silent  atomic.Bool                       // questions get no answer
}

func newCatalog(target string, fail func(c *net.TCPConn, text string)) *catalog {
	return &catalog{version: 1, state: "up", target: target, changed: make(chan struct{}), fail: fail}
}

// change tells a new state of the target; so many answers about it fail, and all for a time.
func (d *catalog) change(state string, faulty int, span time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.version++
	d.state, d.told, d.faulty, d.until = state, time.Time{}, faulty, time.Now().Add(span)
	close(d.changed)
	d.changed = make(chan struct{})
}

// toldAt is when the latest change was told; zero where it was not.
func (d *catalog) toldAt() time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.told
}

func (d *catalog) serve(_ int, c *net.TCPConn) {
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
		if d.silent.Load() || !d.answer(c, r) {
			return
		}
	}
}

// answer answers one question, and tells whether another may follow.
func (d *catalog) answer(c *net.TCPConn, r *http.Request) bool {
	since := r.URL.Query().Get("since")
	wait, _ := strconv.Atoi(r.URL.Query().Get("timeout_ms"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for waiting := true; waiting; {
		d.mu.Lock()
		news, changed := since != strconv.Itoa(d.version), d.changed
		d.mu.Unlock()
		if waiting = !news; !waiting {
			break
		}
		select {
		case <-changed:
		case <-end:
			waiting = false
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	list := "[]"
	if since != strconv.Itoa(d.version) {
		list = fmt.Sprintf(`[{"id":"s","addr":%q,"zone":"z","kind":"k","cell":7,"state":%q,"weight":150}]`, d.target, d.state)
	}
	text := socktest.JSON(fmt.Sprintf(`{"version":%d,"full":%t,"servers":%s}`, d.version, since == "", list))
	if list != "[]" && d.version > 1 {
		if d.told.IsZero() {
			d.told = time.Now()
		}
		if d.faulty > 0 || time.Now().Before(d.until) {
			d.faulty--
			go d.fail(c, text)
			return false
		}
	}
	io.WriteString(c, text)
	return true
}

// upTo writes the first bytes of an answer and leaves the connection open.
func upTo(n int) func(*net.TCPConn, string) {
	return func(c *net.TCPConn, text string) { io.WriteString(c, text[:(n+len(text))%len(text)]) }
}

// What discovery has begun to tell counts as told, whatever becomes of its answer: no call reaches a draining target later
// than the grace of drains, and service goes on once the target is up again.
func TestAnswersOfDiscoveryThatBreakOff(t *testing.T) {
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
		{"stops in its first line", upTo(9), 1, 0},
		{"stops in its head", upTo(25), 1, 0},
		{"stops in its list", upTo(-9), 1, 0},
		{"stops in its list twice", upTo(-9), 2, 0},
		{"each stops before its list for 3 s", upTo(60), 0, 3 * time.Second},
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
			breakOff(t, x.fail, x.faulty, x.span)
		})
	}
}

// A watch goes on for 200 ms after an answer: a change in that time counts as told, also where a large fleet's sender
// rests before it asks again.
func TestChangeRightAfterAnAnswer(t *testing.T) {
	t.Parallel()
	const grace = 2 * time.Second
	x := newDrainWorld(t, nil, grace, 50)
	x.change("up", 0, 0)
	for until := time.Now().Add(10 * time.Second); x.toldAt().IsZero(); time.Sleep(time.Millisecond) {
		if time.Now().After(until) {
			t.Fatal("no question to discovery")
		}
	}
	time.Sleep(100 * time.Millisecond)
	x.change("draining", 0, 0)
	told := time.Now()
	x.send("a", told.Add(4*time.Second))
	if last, _ := x.calls(); last.Sub(told) > grace+50*time.Millisecond {
		t.Errorf("a call reached the target %v after the drain was told", last.Sub(told))
	}
}

// A process that is started with the list of its configuration, while discovery says nothing, sends nothing to a target
// of which the process before it was told that it drains.
func TestRestartKnowsWhatLeft(t *testing.T) {
	t.Parallel()
	x := newDrainWorld(t, nil, time.Second, 1)
	x.change("draining", 0, 0)
	for until := time.Now().Add(10 * time.Second); x.toldAt().IsZero(); time.Sleep(time.Millisecond) {
		if time.Now().After(until) {
			t.Fatal("the drain was never told")
		}
	}
	x.send("a", time.Now().Add(1200*time.Millisecond))
	x.silent.Store(true)
	x.kill(x.process)
	x.process = x.start()
	_, before := x.calls()
	x.send("b", time.Now().Add(2*time.Second))
	if _, count := x.calls(); count != before {
		t.Errorf("%d calls reached the target after the restart", count-before)
	}
	x.silent.Store(false)
	x.change("up", 0, 0)
	x.serves(t, before)
}

// A drainWorld is a sender with a catalog and one target, whose calls are counted.
type drainWorld struct {
	*world
	*catalog
	process *exec.Cmd
	mu      sync.Mutex
	last    time.Time
	count   int
}

func newDrainWorld(t *testing.T, fail func(*net.TCPConn, string), grace time.Duration, siblings int) *drainWorld {
	x := &drainWorld{world: newWorld(t, nil)}
	x.raw = func(*http.Request) string {
		x.mu.Lock()
		defer x.mu.Unlock()
		x.last = time.Now()
		x.count++
		return socktest.Status(http.StatusOK)
	}
	x.catalog = newCatalog(x.world.target, fail)
	x.tune = func(config map[string]any) {
		set := config["settings"].(map[string]any)
		set["siblings"] = siblings
		config["known"] = map[string]any{"version": 1, "full": true, "servers": []map[string]any{
			{"id": "s", "addr": x.world.target, "zone": "z", "kind": "k", "cell": 7, "state": "up", "weight": 150},
		}}
		set["guarantees"].(map[string]any)["drain-grace-ms"] = grace.Milliseconds()
	}
	x.configure(socktest.Accept(t, x.serve))
	x.process = x.start()
	x.handIn("safe", "first")
	return x
}

// calls tells when the latest call came, and how many did.
func (x *drainWorld) calls() (last time.Time, count int) {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.last, x.count
}

// send hands messages in until a time.
func (x *drainWorld) send(round string, until time.Time) {
	for i := 0; time.Now().Before(until); i++ {
		x.ask(request("safe", round+strconv.Itoa(i), "hi"))
		time.Sleep(10 * time.Millisecond)
	}
}

func breakOff(t *testing.T, fail func(*net.TCPConn, string), faulty int, span time.Duration) {
	const grace = time.Second
	x := newDrainWorld(t, fail, grace, 1)
	x.change("draining", faulty, span)
	x.send("a", time.Now().Add(3500*time.Millisecond))
	told := x.toldAt()
	if told.IsZero() {
		t.Fatal("the drain was never told")
	}
	last, before := x.calls()
	if late := last.Sub(told); late > grace+50*time.Millisecond {
		t.Errorf("a call reached the target %v after the drain was told", late)
	}
	x.change("up", 0, 0)
	x.serves(t, before)
}

// serves waits until there are more calls than before.
func (x *drainWorld) serves(t *testing.T, before int) {
	t.Helper()
	for round, until := 0, time.Now().Add(5*time.Second); time.Now().Before(until); round++ {
		x.send(fmt.Sprint("again", round, "-"), time.Now().Add(100*time.Millisecond))
		if _, count := x.calls(); count > before {
			return
		}
	}
	t.Error("no call within 5 s of the end of the drain")
}
