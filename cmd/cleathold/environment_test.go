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
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"cleathold/internal/socktest"
)

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

// newHandoverEnvironment is a world whose sender has a second address, and whose folder for temporary files is its own.
func newHandoverEnvironment(t *testing.T, answer func(id string) string) *environment {
	t.Helper()
	temp, err := os.MkdirTemp("", "ct") // a Unix address is short
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { os.RemoveAll(temp) })
	t.Setenv("TMPDIR", temp)
	return newEnvironment(t, answer)
}

// startProcess starts the program with a second address and returns without waiting.
func (env *environment) startProcess() (*exec.Cmd, string) {
	env.t.Helper()
	at := freeAddr(env.t)
	c := exec.Command(os.Args[0], "serve")
	c.Env = append(os.Environ(), "CLEATHOLD_CHILD=1", "LB_CONFIG="+env.config, "LB_ADMIN="+at)
	if err := c.Start(); err != nil {
		env.t.Fatal(err)
	}
	env.t.Cleanup(func() { c.Process.Kill(); c.Wait() })
	return c, at
}

// submitAndAwait hands a message in and wants it to be the next that reaches the target.
func (env *environment) submitAndAwait(class, id string) {
	env.t.Helper()
	env.submit(class, id)
	if got := receive(env.t, env.calls); got != id {
		env.t.Errorf("sent: %s, want %s", got, id)
	}
}

// requireNoNotice wants the platform to have been told nothing more.
func (env *environment) requireNoNotice() {
	env.t.Helper()
	select {
	case n := <-env.notices:
		env.t.Errorf("notice %q", n)
	default:
	}
}

// awaitReady waits until a second address says yes.
func awaitReady(t *testing.T, at string) {
	t.Helper()
	for until := time.Now().Add(20 * time.Second); time.Now().Before(until); time.Sleep(5 * time.Millisecond) {
		if callAdmin(http.MethodGet, at, "/v1/readyz") == http.StatusOK {
			return
		}
	}
	t.Fatal("never ready")
}

// callAdmin makes one call at a second address; 0: it was not to be had.
func callAdmin(method, at, path string) int {
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

// awaitExit waits for a process that ends by itself.
func awaitExit(t *testing.T, c *exec.Cmd) error {
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

const healthRequest = "GET /_health HTTP/1.1\r\nHost: h\r\n\r\n"

// connectClient opens a client's connection that stays open until the test ends, on its side.
func (env *environment) connectClient() net.Conn {
	env.t.Helper()
	conn, err := net.Dial("tcp", env.listen)
	if err != nil {
		env.t.Fatal(err)
	}
	env.t.Cleanup(func() { conn.Close() })
	return conn
}
