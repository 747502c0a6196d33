package harness

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"cleathold/internal/scenario"
	"cleathold/internal/simulation"
)

const (
	readySpan    = 30 * time.Second
	restartSpan  = 600 * time.Millisecond
	killSpan     = 3700 * time.Millisecond // from SIGTERM to SIGKILL
	usualMB      = 192                     // memory of a sender
	usualSockets = 1024
	seriesGap    = 40 * time.Millisecond // between the signals of a series
	orderSpan    = 3 * time.Second
	logTail      = 600 // bytes of its log that go with an error
)

// A Process is one sender: its place, and whoever runs there now.
type Process struct {
	num      int
	program  string
	dir      string // configuration, state and log
	addr     string
	hold     int    // the socket that keeps the port
	settings string // a script of our own; may be empty
	plan     *scenario.Plan
	place    ProcessSpec
	wrap     func(sender int, program string) []string // nil: none

	mu    sync.Mutex
	cmd   *exec.Cmd
	ended chan struct{} // closed when it has ended
	err   error         // how
}

// NewProcess prepares a sender's folder. Where it listens and what it may have is chosen here. Nothing runs yet.
func NewProcess(s Setup, num int, dir string, at ProcessSpec) (*Process, error) {
	if at.MemoryMB = s.MemoryMB; at.MemoryMB <= 0 {
		at.MemoryMB = usualMB
	}
	if at.Sockets = s.Faults.Sockets; at.Sockets <= 0 {
		at.Sockets = usualSockets
	}
	at.State = filepath.Join(dir, "state")
	if err := os.MkdirAll(at.State, 0o700); err != nil {
		return nil, fmt.Errorf("rig: %w", err)
	}
	hold, addr, err := holdPort()
	if err != nil {
		return nil, err
	}
	at.Listen = addr
	x := &Process{num: num, program: s.Program, dir: dir, addr: addr, hold: hold, settings: s.Settings, plan: s.Plan, place: at, wrap: s.Faults.Wrap}
	if err := Configure(x.config(), s.Plan, num, at); err != nil {
		x.Release()
		return nil, err
	}
	return x, nil
}

// A ProcessSpec is where a sender runs, and what it has there. Without a PeerListen it exchanges no notes.
type ProcessSpec struct {
	Listen, Discovery, State string
	MemoryMB                 float64
	Sockets                  int // descriptors; 0 = 1,024
	PeerListen, PeersAll     string
	Peers                    []string
	Admin                    string // its second address; empty: it has none
}

// Configure writes the configuration of a plan's sender.
func Configure(path string, p *scenario.Plan, num int, at ProcessSpec) error {
	if at.Sockets <= 0 {
		at.Sockets = usualSockets
	}
	config := map[string]any{
		"name": fmt.Sprint("n", num), "listen": at.Listen, "discovery": at.Discovery, "state": at.State,
		"limits":   map[string]any{"cores": 1, "memory_mb": at.MemoryMB, "sockets": at.Sockets, "disk_mb": 3},
		"known":    map[string]any{"version": 0, "full": true, "servers": []any{}},
		"settings": simulation.Profile(p, num),
	}
	if at.Admin != "" {
		config["admin"] = at.Admin
	}
	if at.PeerListen != "" {
		config["peer_listen"], config["peers_all"], config["peers"] = at.PeerListen, at.PeersAll, at.Peers
	}
	return write(path, config)
}

func write(path string, config map[string]any) error {
	text, err := json.MarshalIndent(config, "", " ")
	if err == nil { // whole or not at all: a sender may read it now
		err = os.WriteFile(path+".new", text, 0o600)
	}
	if err == nil {
		err = os.Rename(path+".new", path)
	}
	if err != nil {
		return fmt.Errorf("rig: %w", err)
	}
	return nil
}

// Reconfigure puts other settings into the configuration of a plan's sender. Where it listens and what it may have stays.
func Reconfigure(path string, d scenario.PlannedAction, p *scenario.Plan) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("rig: %w", err)
	}
	config := map[string]any{}
	if err := json.Unmarshal(text, &config); err != nil {
		return fmt.Errorf("rig: %s: %w", path, err)
	}
	config["settings"] = simulation.UpdatedSettings(p, d)
	return write(path, config)
}

// retune writes other settings, and has the one that runs read them.
func (x *Process) retune(d scenario.PlannedAction) error {
	if err := Reconfigure(x.config(), d, x.plan); err != nil {
		return err
	}
	x.Signal(syscall.SIGHUP)
	return nil
}

// order gives the one that runs an order by its second address.
func (x *Process) order(verb string) error {
	r, err := http.NewRequest(http.MethodPut, "http://"+x.place.Admin+"/v1/sender/"+verb, nil)
	if err != nil {
		return err
	}
	c := http.Client{Timeout: orderSpan, Transport: &http.Transport{DisableKeepAlives: true}}
	a, err := c.Do(r)
	if err != nil {
		return err
	}
	defer a.Body.Close()
	if a.StatusCode/100 != 2 {
		return fmt.Errorf("rig: sender n%d: %s: %s", x.num, verb, a.Status)
	}
	return nil
}

// wipe loses its folder. Nobody runs there.
func (x *Process) wipe() error {
	return errors.Join(os.RemoveAll(x.place.State), os.MkdirAll(x.place.State, 0o700))
}

func (x *Process) config() string { return filepath.Join(x.dir, "config.json") }

// holdPort takes a free port for as long as the socket is open that it returns.
// Nobody but the process that is meant listens there: the port is bound for us alone
// first, so that another rig gets another, and only then opened to those that bind
// with SO_REUSEADDR, as every listener of net does. A bound socket that does not
// listen refuses connections, as the port of a dead process does.
func holdPort() (fd int, addr string, err error) {
	fd, err = unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return -1, "", fmt.Errorf("rig: %w", err)
	}
	err = unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}})
	if err == nil {
		err = unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1)
	}
	var name unix.Sockaddr
	if err == nil {
		name, err = unix.Getsockname(fd)
	}
	if err != nil {
		unix.Close(fd)
		return -1, "", fmt.Errorf("rig: a port for a sender: %w", err)
	}
	return fd, fmt.Sprintf("127.0.0.1:%d", name.(*unix.SockaddrInet4).Port), nil
}

// Release lets go of the sender's port.
func (x *Process) Release() { unix.Close(x.hold) }

// Start starts the program. It dies with this process, however that ends.
func (x *Process) Start() error {
	log, err := os.OpenFile(filepath.Join(x.dir, "log"), os.O_WRONLY|os.O_CREATE|os.O_APPEND, 0o600)
	if err != nil {
		return fmt.Errorf("rig: %w", err)
	}
	command := []string{x.program}
	if x.wrap != nil {
		command = x.wrap(x.num, x.program)
	}
	c := exec.Command(command[0], append(command[1:], "serve")...)
	c.Env = append(os.Environ(), "LB_CONFIG="+x.config(), "CLEATHOLD_SETTINGS="+x.settings, "LB_LISTEN=", "LB_STATE=", "LB_DISCOVERY=", "LB_NAME=")
	c.Stdout, c.Stderr = log, log
	// Ctrl-C at the terminal is for the rig, which ends its senders itself.
	c.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	started := make(chan error, 1)
	ended := make(chan struct{})
	x.mu.Lock()
	x.err = nil // before it can end, or how it ended would be forgotten
	x.mu.Unlock()
	go func() {
		// The kernel sends the death signal when the thread ends that started the
		// child: this one stays until the child has ended.
		runtime.LockOSThread()
		defer runtime.UnlockOSThread()
		defer close(ended)
		defer log.Close()
		err := c.Start()
		started <- err
		if err != nil {
			return
		}
		err = c.Wait()
		x.mu.Lock()
		x.err = err
		x.mu.Unlock()
	}()
	if err := <-started; err != nil {
		return fmt.Errorf("rig: sender n%d: %w", x.num, err)
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	x.cmd, x.ended = c, ended
	return nil
}

// Ended is closed when the one that runs now has ended.
func (x *Process) Ended() <-chan struct{} {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.ended
}

// Signal sends a signal to the one that runs.
func (x *Process) Signal(s os.Signal) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.cmd != nil && x.cmd.Process != nil {
		x.cmd.Process.Signal(s) // one that has ended needs none
	}
}

// Ready waits until the sender answers that it is.
func (x *Process) Ready(ctx context.Context, until time.Time) error {
	for ctx.Err() == nil {
		if x.healthy() {
			return nil
		}
		select {
		case <-x.Ended():
			return fmt.Errorf("rig: sender n%d ended before it was ready: %v; its log ends: %s", x.num, x.outcome(), x.tail())
		case <-ctx.Done():
		case <-time.After(10 * time.Millisecond):
		}
		if time.Now().After(until) {
			return fmt.Errorf("rig: sender n%d is not ready in time; its log ends: %s", x.num, x.tail())
		}
	}
	return context.Cause(ctx)
}

func (x *Process) outcome() error {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.err
}

func (x *Process) healthy() bool {
	limit := time.Now().Add(time.Second)
	c, err := (&front{addr: x.addr}).dial(limit)
	if err != nil {
		return false
	}
	defer c.Close()
	r, err := c.ask([]byte("GET /_health HTTP/1.1\r\nHost: app.svc\r\n\r\n"), limit)
	return err == nil && r.StatusCode == http.StatusOK
}

// tail is the end of its log.
func (x *Process) tail() string {
	f, err := os.Open(filepath.Join(x.dir, "log"))
	if err != nil {
		return err.Error()
	}
	defer f.Close()
	if info, err := f.Stat(); err == nil && info.Size() > logTail {
		f.Seek(-logTail, io.SeekEnd)
	}
	text, _ := io.ReadAll(io.LimitReader(f, logTail))
	return string(bytes.TrimSpace(text))
}

// PeakMB is the most memory that the one that runs has had; 0 where nobody runs.
func (x *Process) PeakMB() float64 {
	x.mu.Lock()
	c := x.cmd
	x.mu.Unlock()
	if c == nil || c.Process == nil {
		return 0
	}
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", c.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range bytes.Lines(text) {
		var kb float64
		if n, _ := fmt.Sscanf(string(line), "VmHWM: %f", &kb); n == 1 {
			return kb / 1024
		}
	}
	return 0
}

// StopBySeries ends the one that runs by signals that come one behind the other, as from several hands.
func (x *Process) StopBySeries() {
	for _, s := range []os.Signal{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGINT} {
		x.Signal(s)
		time.Sleep(seriesGap)
	}
	x.Stop(true)
}

// Stop ends the one that runs: in order, or at once.
func (x *Process) Stop(orderly bool) {
	ended := x.Ended()
	if ended == nil {
		return
	}
	if orderly {
		x.Signal(syscall.SIGTERM)
		select {
		case <-ended:
			return
		case <-time.After(killSpan):
		}
	}
	x.Signal(syscall.SIGKILL)
	<-ended
}
