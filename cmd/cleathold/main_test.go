package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"cleathold/internal/socktest"
)

// TestMain lets the test's own binary be the program.
func TestMain(m *testing.M) {
	if os.Getenv("CLEATHOLD_CHILD") != "" {
		injectFault(os.Getenv("CLEATHOLD_FAULT"))
		main()
		return
	}
	os.Setenv("CLEATHOLD_CHILD", "1") // of all that tests start
	os.Exit(m.Run())
}

// A environment is the platform and one target around a real process.
type environment struct {
	t              *testing.T
	stateFolder    string
	listen         string
	config         string
	calls          chan string // ids, as they reach the target
	notices        chan string // notices
	answer         func(id string) string
	failNotices    atomic.Bool // the platform fails notices
	noticesMoved   atomic.Bool // the first platform takes no notices any more
	discoveryDown  atomic.Bool // discovery closes each connection without an answer
	platformSilent atomic.Bool // the platform says nothing at all
	polls          chan string // questions to discovery, by the platform's name
	firstAddr      string      // the platform's address
	secondAddr     string      // the address of its other name
	settingsScript string      // settings of our own
	tune           func(config map[string]any)
	respond        func(r *http.Request) string // answers in the place of answer
	targetAddr     string
	targetDraining atomic.Bool // the list that follows the first has the target draining
}

func newEnvironment(t *testing.T, answer func(id string) string) *environment {
	w := &environment{t: t, stateFolder: t.TempDir(), calls: make(chan string, 256), notices: make(chan string, 256), polls: make(chan string, 256), answer: answer}
	w.targetAddr = socktest.Serve(t, func(_ int, r *http.Request, _ string) string {
		if w.respond != nil {
			return w.respond(r)
		}
		id := r.Header.Get("X-Request-Id")
		w.calls <- id
		return w.answer(id)
	})
	platform := func(name string) string {
		return socktest.Serve(t, func(_ int, r *http.Request, body string) string { return w.platform(name, r, body) })
	}
	w.firstAddr = platform("first")
	w.secondAddr = platform("second")
	w.listen = freeAddr(t)
	w.config = filepath.Join(t.TempDir(), "config.json")
	w.configure(w.firstAddr)
	return w
}

// addSender is another sender of the same platform.
func (env *environment) addSender() *environment {
	sender := &environment{t: env.t, stateFolder: env.t.TempDir(), listen: freeAddr(env.t), config: filepath.Join(env.t.TempDir(), "config.json"), firstAddr: env.firstAddr, tune: env.tune}
	sender.configure(sender.firstAddr)
	return sender
}

// platform answers for discovery and takes notices.
func (env *environment) platform(name string, r *http.Request, body string) string {
	switch {
	case env.platformSilent.Load():
		return socktest.Hang
	case r.Method == http.MethodGet && env.discoveryDown.Load():
		return ""
	case r.Method == http.MethodPost && name == "first" && env.noticesMoved.Load():
		return socktest.Status(503)
	case r.Method == http.MethodPost && env.failNotices.Load():
		env.notices <- "unheard"
		return socktest.Status(503)
	case r.Method == http.MethodPost:
		env.notices <- body
		return socktest.Status(204)
	}
	env.polls <- name
	version, state := 1, "up"
	if env.targetDraining.Load() {
		version, state = 2, "draining"
	}
	if since := r.URL.Query().Get("since"); since == fmt.Sprint(version) {
		return socktest.Hang
	}
	return socktest.JSON(fmt.Sprintf(`{"version":%d,"full":true,"servers":[{"id":"s","addr":%q,"zone":"z","kind":"k","cell":7,"state":%q,"weight":150}]}`, version, env.targetAddr, state))
}

// configure writes the configuration, with that address of discovery.
func (env *environment) configure(platform string) {
	config := map[string]any{
		"name": "n0", "listen": env.listen, "discovery": platform, "state": env.stateFolder,
		"limits": map[string]any{"cores": 1, "memory_mb": 192, "sockets": 256, "disk_mb": 1},
		"settings": map[string]any{
			"siblings": 1, "zones": []string{"z"}, "kinds": []string{"k"}, "discovery": "ask",
			"profiles": []map[string]any{
				{"name": "safe", "aim-ms": 2000, "deadline-ms": 60000, "effect": "safe"},
				{"name": "unsafe", "aim-ms": 2000, "deadline-ms": 60000, "effect": "unsafe"},
			},
			"specifics":  map[string]any{"max-calls": 8},
			"limits":     map[string]any{"open-cap": 50, "send-cap": 12, "conn-idle-ms": 15000, "connect-timeout-ms": 1500, "cancel": true, "second-copies": true},
			"guarantees": map[string]any{"must-ask-in-ms": 10000, "fall-ms": 2000, "fall-multiple": 2, "cold-ms": 10000, "cold-from": 0.2},
		},
	}
	if env.tune != nil {
		env.tune(config)
	}
	text, _ := json.Marshal(config)
	if err := os.WriteFile(env.config, text, 0o600); err != nil {
		env.t.Fatal(err)
	}
}

// start starts the program and waits until it is ready.
func (env *environment) start() *exec.Cmd {
	env.t.Helper()
	c := exec.Command(os.Args[0], "serve")
	c.Env = append(os.Environ(), "CLEATHOLD_CHILD=1", "LB_CONFIG="+env.config, "CLEATHOLD_SETTINGS="+env.settingsScript)
	if err := c.Start(); err != nil {
		env.t.Fatal(err)
	}
	env.t.Cleanup(func() { c.Process.Kill(); c.Wait() })
	for until := time.Now().Add(20 * time.Second); time.Now().Before(until); time.Sleep(5 * time.Millisecond) {
		if r := env.roundTrip("GET /_health HTTP/1.1\r\nHost: h\r\n\r\n"); r == 200 {
			return c
		}
	}
	env.t.Fatal("never ready")
	return nil
}

// roundTrip sends one request and returns the status of the answer, or 0.
func (env *environment) roundTrip(text string) int {
	conn, err := net.Dial("tcp", env.listen)
	if err != nil {
		return 0
	}
	defer conn.Close()
	return exchange(conn, bufio.NewReader(conn), text)
}

// exchange sends one request on a connection and returns the status of the answer, or 0.
func exchange(conn net.Conn, in *bufio.Reader, text string) int {
	conn.SetDeadline(time.Now().Add(20 * time.Second))
	io.WriteString(conn, text)
	r, err := http.ReadResponse(in, nil)
	if err != nil {
		return 0
	}
	io.Copy(io.Discard, r.Body)
	return r.StatusCode
}

// messageRequest is one with a message.
func messageRequest(class, id, body string) string {
	return fmt.Sprintf("POST /%s HTTP/1.1\r\nHost: h\r\nX-Request-Id: %s\r\nX-Deadline: 60\r\nX-Addressing: dest=7\r\nContent-Length: %d\r\n\r\n%s", class, id, len(body), body)
}

func (env *environment) submit(class, id string) {
	env.t.Helper()
	if got := env.roundTrip(messageRequest(class, id, "hi")); got != 202 {
		env.t.Fatalf("%s: %d", id, got)
	}
}

func (env *environment) kill(c *exec.Cmd) {
	c.Process.Signal(syscall.SIGKILL)
	c.Wait()
}

func receive(t *testing.T, from chan string) string {
	t.Helper()
	select {
	case s := <-from:
		return s
	case <-time.After(20 * time.Second):
		t.Fatal("nothing came")
		return ""
	}
}

// A process killed with forwards out owes their messages an end: what may be
// repeated is sent again, what may not is undeliverable, and no more is sent.
func TestKilled(t *testing.T) {
	var answers atomic.Bool
	env := newEnvironment(t, func(string) string {
		if !answers.Load() {
			return socktest.Hang
		}
		return socktest.Status(200)
	})
	c := env.start()
	env.submit("safe", "s1")
	env.submit("unsafe", "u1")
	receive(t, env.calls)
	receive(t, env.calls)
	env.kill(c)
	answers.Store(true)
	env.start()
	if id := receive(t, env.calls); id != "s1" {
		t.Errorf("sent again: %s", id)
	}
	if n := receive(t, env.notices); n != `{"id":"u1","status":"undeliverable"}`+"\n" {
		t.Errorf("notice %q", n)
	}
	env.submit("safe", "s2") // serves on, with nothing of u1 before it
	if id := receive(t, env.calls); id != "s2" {
		t.Errorf("sent: %s", id)
	}
}

// Killed again and again while messages come in, the program loses none of
// those that it has taken on, and sends none twice that must not be repeated.
func TestKilledRepeatedly(t *testing.T) {
	env := newEnvironment(t, func(string) string { return socktest.Status(200) })
	owed := map[string]bool{}
	sends := map[string]int{}
	seen := func(id string) {
		sends[id]++
		delete(owed, id)
	}
	for round := range 4 {
		c := env.start()
		for i := range 10 + 3*round { // the kill falls elsewhere each time
			id := fmt.Sprintf("%c%d-%d", "su"[i%2], round, i)
			owed[id] = true
			env.submit([]string{"safe", "unsafe"}[i%2], id)
		}
		env.kill(c)
	}
	env.start()
	for len(owed) > 0 {
		select {
		case id := <-env.calls:
			seen(id)
		case lines := <-env.notices:
			for id := range owed {
				if strings.Contains(lines, `"`+id+`"`) {
					delete(owed, id)
				}
			}
		case <-time.After(20 * time.Second):
			t.Fatalf("lost: %v", owed)
		}
	}
	for id, n := range sends {
		if n > 1 && id[0] == 'u' {
			t.Errorf("%s was sent %d times", id, n)
		}
	}
}

// A notice outlasts the process until the platform has it.
func TestNoticeSurvivesKill(t *testing.T) {
	env := newEnvironment(t, func(string) string { return socktest.Status(500) })
	env.failNotices.Store(true)
	c := env.start()
	env.submit("unsafe", "u1")
	receive(t, env.notices)
	env.kill(c)
	env.failNotices.Store(false)
	for len(env.notices) > 0 {
		<-env.notices
	}
	env.start()
	if n := receive(t, env.notices); n != `{"id":"u1","status":"undeliverable"}`+"\n" {
		t.Errorf("notice %q", n)
	}
}

// SIGHUP: discovery is asked and notices are sent at the address that the file
// names now, and a file that can't be read changes nothing and ends nothing.
func TestReload(t *testing.T) {
	env := newEnvironment(t, func(string) string { return socktest.Status(500) })
	c := env.start()
	for receive(t, env.polls) != "first" {
	}
	before, err := os.ReadFile(env.config)
	if err != nil {
		t.Fatal(err)
	}
	env.noticesMoved.Store(true)
	env.configure(env.secondAddr)
	c.Process.Signal(syscall.SIGHUP)
	for receive(t, env.polls) != "second" {
	}
	// What can't be read, and what lacks a key that was there: not even its address of discovery is taken over.
	for _, invalid := range []string{"what", strings.Replace(string(before), `"send-cap":12`, `"x":12`, 1)} {
		if err := os.WriteFile(env.config, []byte(invalid), 0o600); err != nil {
			t.Fatal(err)
		}
		c.Process.Signal(syscall.SIGHUP)
	}
	env.submit("unsafe", "u1")
	if n := receive(t, env.notices); n != `{"id":"u1","status":"undeliverable"}`+"\n" {
		t.Errorf("notice %q", n)
	}
	c.Process.Signal(syscall.SIGTERM)
	if err := c.Wait(); err != nil { // an end by SIGHUP would show here
		t.Error(err)
	}
	for len(env.polls) > 0 {
		if name := <-env.polls; name != "second" {
			t.Errorf("discovery asked at %s again", name)
		}
	}
}

// SIGTERM: the calls out are finished, and the program ends with 0.
func TestTerminated(t *testing.T) {
	answer := make(chan struct{})
	env := newEnvironment(t, func(string) string { <-answer; return socktest.Status(200) })
	c := env.start()
	env.submit("unsafe", "u1")
	receive(t, env.calls)
	c.Process.Signal(syscall.SIGTERM)
	close(answer)
	if err := c.Wait(); err != nil {
		t.Error(err)
	}
	out := &strings.Builder{}
	if err := (&pendingCmd{State: env.stateFolder}).Run(out, nil); err != nil || out.String() != "0 pending\n" {
		t.Errorf("%v, left: %s", err, out)
	}
}
