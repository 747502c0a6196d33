package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
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
		if !d.answer(c, r) {
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

func breakOff(t *testing.T, fail func(*net.TCPConn, string), faulty int, span time.Duration) {
	const grace = time.Second
	w := newWorld(t, func(string) string { return socktest.Status(200) })
	var mu sync.Mutex
	var last time.Time // of the calls
	calls := 0
	w.raw = func(*http.Request) string {
		mu.Lock()
		defer mu.Unlock()
		last = time.Now()
		calls++
		return socktest.Status(200)
	}
	d := newCatalog(w.target, fail)
	w.tune = func(config map[string]any) {
		config["settings"].(map[string]any)["guarantees"].(map[string]any)["drain-grace-ms"] = grace.Milliseconds()
	}
	w.configure(socktest.Accept(t, d.serve))
	w.start()
	w.handIn("safe", "first")
	send := func(round string, enough func() bool) {
		for i := 0; !enough(); i++ {
			w.ask(request("safe", round+strconv.Itoa(i), "hi"))
			time.Sleep(10 * time.Millisecond)
		}
	}
	began := time.Now()
	d.change("draining", faulty, span)
	send("a", func() bool { return time.Since(began) > 3500*time.Millisecond })
	told := d.toldAt()
	mu.Lock()
	late, before := last.Sub(told), calls
	mu.Unlock()
	if told.IsZero() {
		t.Fatal("the drain was never told")
	}
	if late > grace+50*time.Millisecond {
		t.Errorf("a call reached the target %v after the drain was told", late)
	}
	d.change("up", 0, 0)
	again := time.Now()
	send("b", func() bool {
		mu.Lock()
		defer mu.Unlock()
		return calls > before || time.Since(again) > 5*time.Second
	})
	mu.Lock()
	defer mu.Unlock()
	if calls == before {
		t.Error("no call within 5 s of the end of the drain")
	}
}
