package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"time"
)

// A sender is one sender, with the processes that run for it.
type sender struct {
	world    *world
	dir      string
	run      string // command of the deploy file
	settings map[string]any
	listen   string
	admin    string
	env      []string
	process  *exec.Cmd
	ended    chan struct{}
	starts   int
}

// runCommand returns the command that the deploy file names for a sender.
func runCommand(root string) (string, error) {
	text, err := os.ReadFile(filepath.Join(root, "deploy", "balancer.toml"))
	if err != nil {
		return "", err
	}
	m := regexp.MustCompile(`(?m)^run = "(.*?)"`).FindSubmatch(text)
	if m == nil {
		return "", errors.New("deploy/balancer.toml names no run")
	}
	return string(m[1]), nil
}

// freeAddress returns a free loopback address.
func freeAddress() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "127.0.0.1:0"
	}
	defer l.Close()
	return l.Addr().String()
}

// newSender returns a sender that is not started yet.
func (w *world) newSender(settings map[string]any) (*sender, error) {
	run, err := runCommand(w.root)
	if err != nil {
		return nil, err
	}
	s := &sender{world: w, dir: w.dir, run: run, settings: settings, listen: freeAddress()}
	return s, os.MkdirAll(filepath.Join(w.dir, "state"), 0o700)
}

// writeConfig writes the configuration as the platform gives it, with the list as this sender last held it.
func (s *sender) writeConfig() error {
	config := map[string]any{
		"name": "n0", "listen": s.listen, "discovery": s.world.platform.addr, "state": filepath.Join(s.dir, "state"),
		"seed":   fmt.Sprintf("%016x", time.Now().UnixNano()),
		"limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024, "disk_mb": 3},
		"known":  s.world.platform.known(), "settings": s.settings,
	}
	text, err := json.Marshal(config)
	if err != nil {
		return err
	}
	path := filepath.Join(s.dir, "config.json")
	if err := os.WriteFile(path+".new", text, 0o600); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}

// launch starts a process of the sender. It does not wait until the process is ready.
func (s *sender) launch() (*exec.Cmd, chan struct{}, error) {
	if err := s.writeConfig(); err != nil {
		return nil, nil, err
	}
	s.starts++
	log, err := os.Create(filepath.Join(s.dir, fmt.Sprintf("sender-%d.log", s.starts)))
	if err != nil {
		return nil, nil, err
	}
	defer log.Close()
	tmp := filepath.Join(s.dir, "tmp")
	os.MkdirAll(tmp, 0o700)
	c := exec.Command("/bin/sh", "-c", s.run)
	c.Dir, c.Stdout, c.Stderr = s.world.root, log, log
	c.Env = append(os.Environ(), "LB_NAME=n0", "LB_LISTEN="+s.listen, "LB_DISCOVERY="+s.world.platform.addr,
		"LB_STATE="+filepath.Join(s.dir, "state"), "LB_CONFIG="+filepath.Join(s.dir, "config.json"), "TMPDIR="+tmp)
	if s.admin != "" {
		c.Env = append(c.Env, "LB_ADMIN="+s.admin)
	}
	c.Env = append(c.Env, s.env...)
	if err := c.Start(); err != nil {
		return nil, nil, err
	}
	ended := make(chan struct{})
	go func() {
		err := c.Wait()
		s.world.rec.note("process %d ended: %v", c.Process.Pid, err)
		close(ended)
	}()
	s.world.rec.note("process %d started", c.Process.Pid)
	return c, ended, nil
}

// start starts the sender and waits until it is ready: its second address says so, if it has one, or else the health
// check.
func (s *sender) start() error {
	c, ended, err := s.launch()
	if err != nil {
		return err
	}
	s.process, s.ended = c, ended
	for deadline := time.Now().Add(30 * time.Second); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		if s.admin != "" && s.order(s.admin, http.MethodGet, "/v1/readyz") == http.StatusOK ||
			s.admin == "" && s.health() == http.StatusOK {
			s.world.rec.note("sender is ready")
			return nil
		}
		select {
		case <-ended:
			return errors.New("the sender ended before it was ready")
		default:
		}
	}
	return errors.New("the sender is not ready after 30 s")
}

// restart ends the sender by SIGKILL, and starts it again 0.6 s later.
func (s *sender) restart() error {
	s.world.rec.note("SIGKILL")
	s.process.Process.Kill()
	<-s.ended
	s.world.platform.dropWatches()
	time.Sleep(600 * time.Millisecond)
	return s.start()
}

// health returns the status of the answer to a health check, or 0.
func (s *sender) health() int {
	c, err := net.DialTimeout("tcp", s.listen, 300*time.Millisecond)
	if err != nil {
		return 0
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(time.Second))
	fmt.Fprintf(c, "GET /_health HTTP/1.1\r\nHost: app.svc\r\nConnection: close\r\n\r\n")
	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	return r.StatusCode
}

// order sends a request to the second address and returns the status of the answer, or 0.
func (s *sender) order(admin, method, path string) int {
	c, err := net.DialTimeout("tcp", admin, 300*time.Millisecond)
	if err != nil {
		return 0
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(time.Second))
	fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: admin\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", method, path)
	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	return r.StatusCode
}

// stop ends the sender's processes.
func (s *sender) stop() {
	if s == nil || s.process == nil {
		return
	}
	s.process.Process.Kill()
	select {
	case <-s.ended:
	case <-time.After(5 * time.Second):
	}
}
