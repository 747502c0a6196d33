package harness

import (
	"bufio"
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"go.uber.org/goleak"

	"cleathold/internal/audit"
	"cleathold/internal/partner"
	"cleathold/internal/scenario"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// aWorld is one with doors and a clock that runs.
func aWorld(t *testing.T, more string) (*Environment, *scenario.Plan) {
	t.Helper()
	text, err := os.ReadFile("../../examples/scenarios/building-refuses.star")
	if err != nil {
		t.Fatal(err)
	}
	script, _, _ := strings.Cut(string(text), "trouble(")
	s, err := scenario.Parse("s.star", []byte(script+more), nil)
	if err != nil {
		t.Fatal(err)
	}
	p := s.Plan(1)
	w, err := NewEnvironment(t.Context(), p, slog.New(slog.DiscardHandler), nil)
	if err != nil {
		t.Fatal(err)
	}
	if err := w.OpenEndpoints(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { w.Close() })
	w.Begin()
	return w, p
}

// say sends one request to an address.
func say(t *testing.T, addr, text string) (*http.Response, string, error) {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		return nil, "", err
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(20 * time.Second))
	io.WriteString(c, text)
	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return nil, "", err
	}
	body, err := io.ReadAll(r.Body)
	return r, string(body), err
}

// served says it again until it is served: a limit may turn it away for a while.
func served(t *testing.T, addr, text string) (body string) {
	t.Helper()
	wait(t, "an answer", func() bool {
		r, got, err := say(t, addr, text)
		if err != nil {
			t.Fatal(err)
		}
		body = got
		return r.StatusCode == 200
	})
	return body
}

func receive(id string) string {
	return "POST /receive HTTP/1.1\r\nHost: h\r\nX-Request-Id: " + id + "\r\nX-Deadline: 5\r\nContent-Length: 2\r\n\r\nhi"
}

// with does something under the world's lock.
func (env *Environment) with(do func()) {
	env.mu.Lock()
	defer env.mu.Unlock()
	do()
}

// handIn enters a message that a client handed in to sender 0.
func handIn(w *Environment, id string, dest int) {
	w.recordSubmission(audit.Event{Kind: audit.Submitted, Message: id, Dest: dest, TimeLeft: 8 * time.Second})
	w.Record(audit.Event{Kind: audit.Accepted, Message: id})
}

func TestDoor(t *testing.T) {
	w, p := aWorld(t, "")
	d := p.Dests[0]
	door := w.listeners[0][d.Endpoints[0].ID]
	handIn(w, "a", d.Dest)
	handIn(w, "b", d.Dest)
	served(t, door.addr, receive("a"))
	if body := served(t, door.addr, "POST /receive-many HTTP/1.1\r\nHost: h\r\nContent-Length: 11\r\n\r\nb - 2\r\nhi\r\n"); body != "b delivered\r\n" {
		t.Errorf("%q", body)
	}
	for name, c := range map[string]struct {
		text string
		want int
	}{
		"no id":       {"POST /receive HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n", 400},
		"twice in it": {"POST /receive-many HTTP/1.1\r\nHost: h\r\nContent-Length: 22\r\n\r\nb - 2\r\nhi\r\nb - 2\r\nhi\r\n", 400},
		"odd path":    {"GET /x HTTP/1.1\r\nHost: h\r\n\r\n", 404},
		"no request":  {"what\r\n\r\n", 400},
	} {
		if r, _, err := say(t, door.addr, c.text); err != nil || r.StatusCode != c.want {
			t.Errorf("%s: %v %v", name, r, err)
		}
	}
	set := func(tr partner.Fault) {
		w.with(func() {
			w.simulated.Model.SetFault(w.now(), door.endpoint, tr)
			w.updateListeners()
			w.dispatchAndWake()
		})
	}
	set(partner.Fault{Mode: partner.Shut, Until: time.Hour})
	if r, _, err := say(t, door.addr, "GET /ping HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil || r.StatusCode != 503 && r.StatusCode != 429 {
		t.Errorf("shut: %v %v", r, err)
	}
	idle, err := net.Dial("tcp", door.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer idle.Close()
	// Down: connections that stand break, new ones are refused, the port is kept.
	addr := door.addr
	set(partner.Fault{Mode: partner.Down})
	if _, err := idle.Read(make([]byte, 1)); err == nil {
		t.Error("a connection outlives its endpoint")
	}
	for range 3 {
		if _, _, err := say(t, addr, "GET /ping HTTP/1.1\r\nHost: h\r\n\r\n"); !errors.Is(err, syscall.ECONNREFUSED) {
			t.Errorf("down: %v", err)
		}
	}
	if l, err := net.Listen("tcp4", addr); err == nil {
		l.Close()
		t.Error("somebody else got its port")
	}
	set(partner.Fault{})
	served(t, addr, "GET /ping HTTP/1.1\r\nHost: h\r\n\r\n")
}

// A call is called off and takes effect all the same: it is a late effect of one
// call, and no second one.
func TestCalledOff(t *testing.T) {
	w, p := aWorld(t, "")
	d := p.Dests[0]
	door := w.listeners[0][d.Endpoints[0].ID]
	w.with(func() { w.simulated.Model.SetFault(w.now(), door.endpoint, partner.Fault{Mode: partner.Unresponsive}) })
	handIn(w, "a", d.Dest)
	c, err := net.Dial("tcp", door.addr)
	if err != nil {
		t.Fatal(err)
	}
	io.WriteString(c, receive("a"))
	running := func() (n int) {
		w.with(func() { n = len(w.pendingAnswers) })
		return n
	}
	wait(t, "the call", func() bool { return running() == 1 })
	c.Close()
	wait(t, "its end", func() bool { return running() == 0 })
	wait(t, "its effect", func() bool {
		n := 0
		w.with(func() { s, _ := w.auditor.Totals(); n = s.Effects })
		return n == 1
	})
}

func wait(t *testing.T, what string, until func() bool) {
	t.Helper()
	for limit := time.Now().Add(20 * time.Second); !until(); time.Sleep(time.Millisecond) {
		if time.Now().After(limit) {
			t.Fatalf("%s: never", what)
		}
	}
}

// Discovery on sockets: the whole list, a watch that waits, a change that is told
// late, an address taken over by a new id, and a time in which nobody answers.
func TestPlatform(t *testing.T) {
	w, p := aWorld(t, "discovery_out(at = 10000, seconds = 1)\n")
	addresses, err := w.OpenPlatform()
	if err != nil {
		t.Fatal(err)
	}
	get := func(path string) (int, string) {
		r, body, err := say(t, addresses[0], "GET /catalog/members"+path+" HTTP/1.1\r\nHost: h\r\n\r\n")
		if err != nil {
			t.Fatal(err)
		}
		return r.StatusCode, body
	}
	e := p.Dests[0].Endpoints[0]
	if status, body := get(""); status != 200 || !strings.Contains(body, `"full":true`) || !strings.Contains(body, `"id":"`+e.ID+`","addr":"`+w.listeners[0][e.ID].addr) {
		t.Errorf("%d %s", status, body)
	}
	if status, body := get("?since=1&timeout_ms=20"); status != 200 || !strings.Contains(body, `"version":1,"full":false,"servers":[]`) {
		t.Errorf("a watch without news: %d %s", status, body)
	}
	w.with(func() {
		w.applyChange(scenario.Change{Endpoint: e.ID, Dest: 1, Drains: true})
		w.applyChange(scenario.Change{Endpoint: e.ID, Dest: 1, Leaves: true})
		w.applyChange(scenario.Change{Endpoint: "new", Dest: 1, Joins: &partner.EndpointSpec{ID: "new"}, Address: e.ID})
	})
	at, seen := 1, ""
	for range 3 { // one answer or more, as they are told
		_, body := get("?since=" + strconv.Itoa(at) + "&timeout_ms=10000")
		for v := 4; v > at; v-- {
			if strings.Contains(body, `"version":`+strconv.Itoa(v)) {
				at = v
			}
		}
		if seen += body; at == 4 {
			break
		}
	}
	for _, want := range []string{`"state":"removed"`, `"id":"new","addr":"` + w.listeners[0][e.ID].addr} {
		if !strings.Contains(seen, want) {
			t.Errorf("no %s in %s", want, seen)
		}
	}
	served(t, w.listeners[0][e.ID].addr, "GET /ping HTTP/1.1\r\nHost: h\r\n\r\n") // the new one at the old address
	w.with(func() { w.plan.DiscoveryOutages = []scenario.Span{{From: 0, To: time.Hour}}; w.notifyListChanged() })
	if status, _ := get("?since=4&timeout_ms=10000"); status != 503 {
		t.Errorf("down: %d", status)
	}
	body := `{"id":"x","status":"deferred","again_ms":500}` + "\n" + `{"id":"y","status":"undeliverable"}` + "\n"
	r, _, err := say(t, addresses[0], "POST /status HTTP/1.1\r\nHost: h\r\nContent-Length: "+strconv.Itoa(len(body))+"\r\n\r\n"+body)
	if err != nil || r.StatusCode != 204 {
		t.Errorf("notices while it is down: %v %v", r, err)
	}
	if r, _, err := say(t, addresses[0], "POST /status HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\n{"); err != nil || r.StatusCode != 400 {
		t.Errorf("no notice: %v %v", r, err)
	}
}

// A partner of the rig's that dies ends the run, and is named.
func TestDeadPartner(t *testing.T) {
	w, p := aWorld(t, "")
	door := w.listeners[1][p.Dests[0].Endpoints[0].ID]
	door.listener.Close()
	<-w.ctx.Done()
	if err := context.Cause(w.ctx); err == nil || !strings.Contains(err.Error(), door.addr) {
		t.Errorf("%v", err)
	}
}

// The clients' latency counts from the time at which a message was wanted: one that
// stalls does not hide the wait of those behind it.
func TestOpenLoop(t *testing.T) {
	w, _ := aWorld(t, "")
	stall := make(chan struct{})
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	asked := make(chan struct{}, 1000)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				in := bufio.NewReader(c)
				for {
					r, err := http.ReadRequest(in)
					if err != nil {
						return
					}
					io.Copy(io.Discard, r.Body)
					asked <- struct{}{}
					<-stall
					io.WriteString(c, "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n")
				}
			}()
		}
	}()
	c := w.NewClients([]string{l.Addr().String()})
	defer c.Close()
	w.wg.Go(c.Run)
	for range 5 { // others come though the first has no answer
		<-asked
	}
	close(stall)
	wait(t, "answers", func() bool { return c.Stats().Answers[202]+c.Stats().Answers[0] >= 5 })
	if s := c.Stats(); s.ResponseTime.Max < 5 {
		t.Errorf("the wait does not show: %+v", s)
	}
}

// Serve writes what a sender needs, ends when it is told to, and judges nothing that it
// can't see.
func TestServe(t *testing.T) {
	s, err := scenario.Load("../../examples/scenarios/building-refuses.star", nil)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	read, write := io.Pipe()
	done := make(chan Result, 1)
	go func() {
		r, err := Serve(ctx, Setup{Plan: s.Plan(1), Folder: t.TempDir(), Log: slog.New(slog.DiscardHandler)}, write)
		if err != nil {
			t.Error(err)
		}
		done <- r
	}()
	lines := bufio.NewScanner(read)
	for range s.Senders {
		if !lines.Scan() || !strings.Contains(lines.Text(), "LB_CONFIG=") {
			t.Fatalf("%q", lines.Text())
		}
	}
	cancel()
	if r := <-done; len(r.Violations) > 0 || len(r.Warnings) == 0 {
		t.Errorf("%+v", r)
	}
}

// How a program ended is known, however soon it does.
func TestQuickEnd(t *testing.T) {
	x := &Process{program: "/bin/false", dir: t.TempDir()}
	// Others keep the processors busy, so that who starts it may be the last to go on.
	stop := make(chan struct{})
	var wg sync.WaitGroup
	defer wg.Wait()
	defer close(stop)
	for range 4 * runtime.GOMAXPROCS(0) {
		wg.Go(func() {
			for busy := true; busy; {
				select {
				case <-stop:
					busy = false
				default: // it spins: the processor is to be busy
					runtime.Gosched()
				}
			}
		})
	}
	for range 40 {
		if err := x.Start(); err != nil {
			t.Fatal(err)
		}
		<-x.Ended()
		if x.exitError() == nil {
			t.Fatal("it ended with exit status 1, and nothing is known of it")
		}
	}
}

// A way between a sender and a partner: cut it refuses and breaks, silent in either direction nothing is answered until
// it is healed, and a call whose sender has gone meanwhile never was. Another sender notices nothing.
func TestWayToPartner(t *testing.T) {
	for _, c := range []struct{ link, want string }{
		{`of = "n0", to = "partners", what = "CUT"`, "refused"},
		{`of = "n0", to = "partners", what = "SILENT", one_way = True`, "late"},
		{`of = "partners", to = "n0", what = "SILENT", one_way = True`, "late"},
		{`of = "n1", to = "partners", what = "CUT"`, "served"},
	} {
		w, p := aWorld(t, "link(at = 0, seconds = 1, "+c.link+")\n")
		d := p.Dests[0]
		door := w.listeners[0][d.Endpoints[0].ID]
		wait(t, "the fault", func() (ails bool) {
			w.with(func() {
				there, back := door.linkStates()
				ails = !there.Passes() || !back.Passes() || c.want == "served"
				ails = ails && (door.listener == nil) == (c.want == "refused")
			})
			return ails
		})
		handIn(w, "a", d.Dest)
		if c.want == "late" { // its sender waits no longer
			gone, err := net.Dial("tcp", door.addr)
			if err != nil {
				t.Fatal(err)
			}
			io.WriteString(gone, receive("a"))
			gone.Close()
		}
		_, _, err := say(t, door.addr, receive("a"))
		got := "served"
		switch healed := w.currentTime() >= time.Second; {
		case err != nil:
			got = "refused"
		case healed: // whether served, or turned away by a limit
			got = "late"
		}
		if got != c.want {
			t.Errorf("%s: %s, want %s (%v)", c.link, got, c.want, err)
		}
		if c.want == "refused" {
			wait(t, "the door to open again", func() (open bool) { w.with(func() { open = door.listener != nil }); return open })
			served(t, door.addr, receive("a"))
		}
		calls := 0
		w.with(func() { s, _ := w.auditor.Totals(); calls = s.Effects + s.Dropped })
		if strings.HasPrefix(c.link, `of = "n0", to = "partners", what = "SILENT"`) && calls != 1 {
			t.Errorf("%s: %d calls took effect", c.link, calls)
		}
	}
}

// A sender that discovery does not reach waits for the list, and is told it as the way is healed.
func TestWayToDiscovery(t *testing.T) {
	w, _ := aWorld(t, `link(at = 0, seconds = 1, of = "n0", to = "discovery", what = "SILENT")`+"\n")
	wait(t, "the fault", func() (off bool) { w.with(func() { off = w.discoveryCut[0] }); return off })
	list, err := w.OpenPlatform()
	if err != nil {
		t.Fatal(err)
	}
	for i, late := range []bool{true, false} {
		r, _, err := say(t, list[1-i], "GET /catalog/members HTTP/1.1\r\nHost: h\r\n\r\n")
		if err != nil || r.StatusCode != 200 || w.currentTime() >= time.Second == late {
			t.Errorf("sender %d: %v at %v", 1-i, err, w.currentTime())
		}
	}
}
