package world

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// A Config is a sender's configuration as the deploy page has it.
type Config struct {
	Name       string         `json:"name"`
	Listen     string         `json:"listen"`
	Discovery  string         `json:"discovery"`
	Admin      string         `json:"admin,omitempty"`
	Seed       string         `json:"seed"`
	Limits     map[string]any `json:"limits"`
	PeerListen string         `json:"peer_listen,omitempty"`
	Peers      []string       `json:"peers,omitempty"`
	PeersAll   string         `json:"peers_all,omitempty"`
	Known      List           `json:"known"`
	Settings   any            `json:"settings"`
}

// A Sender is one sender of the deployment. Its processes come and go; its folder, name and addresses stay.
type Sender struct {
	Config Config
	Dir    string // holds state/, config.json and the log

	world *World
	run   string

	mu      sync.Mutex
	process *Process
}

// A Process is one process of a sender.
type Process struct {
	cmd    *exec.Cmd
	ended  chan struct{}
	asked  bool // the test has asked it to end
	err    error
	sender *Sender
}

// FreeAddr returns a loopback address with a port that is free now, outside the range from which the system usually
// takes the ports of outgoing connections: it stays free while the sender is down.
func FreeAddr() (string, error) {
	for range 100 {
		addr := fmt.Sprintf("127.0.0.1:%d", 12000+rand.IntN(20000))
		if l, err := net.Listen("tcp4", addr); err == nil {
			l.Close()
			return addr, nil
		}
	}
	return "", errors.New("no free port")
}

// RunCommand returns the command of the deploy file that starts a sender.
func RunCommand(deploy string) (string, error) {
	f, err := os.Open(deploy)
	if err != nil {
		return "", err
	}
	defer f.Close()
	for lines := bufio.NewScanner(f); lines.Scan(); {
		if value, found := strings.CutPrefix(lines.Text(), `run = "`); found {
			command, _, _ := strings.Cut(value, `"`)
			return command, nil
		}
	}
	return "", errors.New("no run command in " + deploy)
}

// NewSender returns a sender that is not started yet. Its folder is made in dir.
func (w *World) NewSender(dir string, c Config) (*Sender, error) {
	run, err := RunCommand("deploy/balancer.toml")
	if err != nil {
		return nil, err
	}
	s := &Sender{Config: c, Dir: filepath.Join(dir, c.Name), world: w, run: run}
	for _, d := range []string{"state", "tmp"} {
		if err := os.MkdirAll(filepath.Join(s.Dir, d), 0o700); err != nil {
			return nil, err
		}
	}
	return s, nil
}

// WriteConfig replaces the configuration file.
func (s *Sender) WriteConfig() error {
	text, err := json.MarshalIndent(s.Config, "", " ")
	if err != nil {
		return err
	}
	path := filepath.Join(s.Dir, "config.json")
	if err := os.WriteFile(path+".new", text, 0o600); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}

// Launch starts a process of the sender and does not wait until it is ready.
func (s *Sender) Launch() (*Process, error) {
	if err := s.WriteConfig(); err != nil {
		return nil, err
	}
	log, err := os.OpenFile(filepath.Join(s.Dir, "log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	cmd := exec.Command("/bin/sh", "-c", s.run)
	cmd.Env = append(os.Environ(),
		"LB_NAME="+s.Config.Name, "LB_LISTEN="+s.Config.Listen, "LB_DISCOVERY="+s.Config.Discovery,
		"LB_STATE="+filepath.Join(s.Dir, "state"), "LB_CONFIG="+filepath.Join(s.Dir, "config.json"),
		"TMPDIR="+filepath.Join(s.Dir, "tmp"))
	if s.Config.Admin != "" {
		cmd.Env = append(cmd.Env, "LB_ADMIN="+s.Config.Admin)
	}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	p := &Process{cmd: cmd, ended: make(chan struct{}), sender: s}
	s.world.Note("sender %s: process %d started", s.Config.Name, cmd.Process.Pid)
	go func() {
		p.err = cmd.Wait()
		s.world.Note("sender %s: process %d ended: %v", s.Config.Name, cmd.Process.Pid, cmd.ProcessState)
		close(p.ended)
	}()
	s.mu.Lock()
	s.process = p
	s.mu.Unlock()
	return p, nil
}

// Process returns the process that was started last.
func (s *Sender) Process() *Process {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.process
}

// Start starts a process and waits until the sender is ready.
func (s *Sender) Start() (*Process, error) {
	p, err := s.Launch()
	if err != nil {
		return nil, err
	}
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		if p.HasEnded() {
			return nil, fmt.Errorf("sender %s ended before it was ready", s.Config.Name)
		}
		if s.Healthy() {
			s.world.Note("sender %s is ready", s.Config.Name)
			return p, nil
		}
	}
	return nil, fmt.Errorf("sender %s not ready in time", s.Config.Name)
}

// Healthy reports whether GET /_health is answered with 200.
func (s *Sender) Healthy() bool {
	client := http.Client{Timeout: 400 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := client.Get("http://" + s.Config.Listen + "/_health")
	if err != nil {
		return false
	}
	r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// Signal sends a signal to the process.
func (p *Process) Signal(sig syscall.Signal) {
	if sig == syscall.SIGTERM || sig == syscall.SIGKILL {
		p.asked = true
	}
	p.sender.world.Note("sender %s: %v to process %d", p.sender.Config.Name, sig, p.cmd.Process.Pid)
	p.cmd.Process.Signal(sig)
}

// HasEnded reports whether the process has ended.
func (p *Process) HasEnded() bool {
	select {
	case <-p.ended:
		return true
	default:
		return false
	}
}

// Ended is closed when the process has ended.
func (p *Process) Ended() <-chan struct{} { return p.ended }

// Crashed reports whether the process has ended although nobody asked it to.
func (p *Process) Crashed() bool { return p.HasEnded() && !p.asked }

// Kill ends the process and waits for its end.
func (p *Process) Kill() {
	if !p.HasEnded() {
		p.Signal(syscall.SIGKILL)
		<-p.ended
	}
}
