package harness

import (
	"bytes"
	"context"
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
)

const (
	readyTimeout    = 30 * time.Second
	restartDelay    = 600 * time.Millisecond
	killTimeout     = 3700 * time.Millisecond // from SIGTERM to SIGKILL
	defaultMemoryMB = 192                     // memory of a sender
	defaultSockets  = 1024
	signalInterval  = 40 * time.Millisecond // between the signals of a series
	orderTimeout    = 3 * time.Second
	maxLogTail      = 600 // bytes of its log that go with an error
)

// A Process is one sender: its place, and whoever runs there now.
type Process struct {
	num        int
	program    string
	dir        string // configuration, state and log
	addr       string
	reservedFD int    // the socket that keeps the port
	settings   string // a script of our own; may be empty
	plan       *scenario.Plan
	spec       ProcessSpec
	wrap       func(sender int, program string) []string // nil: none

	mu      sync.Mutex
	cmd     *exec.Cmd
	ended   chan struct{} // closed when it has ended
	exitErr error         // how
}

// NewProcess prepares a sender's folder. Where it listens and what it may have is chosen here. Nothing runs yet.
func NewProcess(s Setup, num int, dir string, at ProcessSpec) (*Process, error) {
	if at.MemoryMB = s.MemoryMB; at.MemoryMB <= 0 {
		at.MemoryMB = defaultMemoryMB
	}
	if at.Sockets = s.Faults.Sockets; at.Sockets <= 0 {
		at.Sockets = defaultSockets
	}
	at.State = filepath.Join(dir, "state")
	if err := os.MkdirAll(at.State, 0o700); err != nil {
		return nil, fmt.Errorf("rig: %w", err)
	}
	hold, addr, err := reservePort()
	if err != nil {
		return nil, err
	}
	at.Listen = addr
	x := &Process{num: num, program: s.Program, dir: dir, addr: addr, reservedFD: hold, settings: s.Settings, plan: s.Plan, spec: at, wrap: s.Faults.Wrap}
	if err := Configure(x.configPath(), s.Plan, num, at); err != nil {
		x.Release()
		return nil, err
	}
	return x, nil
}

// reconfigure writes other settings, and has the one that runs read them.
func (p *Process) reconfigure(d scenario.PlannedAction) error {
	if err := Reconfigure(p.configPath(), d, p.plan); err != nil {
		return err
	}
	p.Signal(syscall.SIGHUP)
	return nil
}

// sendOrder gives the one that runs an order by its second address.
func (p *Process) sendOrder(verb string) error {
	r, err := http.NewRequest(http.MethodPut, "http://"+p.spec.Admin+"/v1/sender/"+verb, nil)
	if err != nil {
		return err
	}
	c := http.Client{Timeout: orderTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	a, err := c.Do(r)
	if err != nil {
		return err
	}
	defer a.Body.Close()
	if a.StatusCode/100 != 2 {
		return fmt.Errorf("rig: sender n%d: %s: %s", p.num, verb, a.Status)
	}
	return nil
}

// wipeState loses its folder. Nobody runs there.
func (p *Process) wipeState() error {
	return errors.Join(os.RemoveAll(p.spec.State), os.MkdirAll(p.spec.State, 0o700))
}

func (p *Process) configPath() string { return filepath.Join(p.dir, "config.json") }

// Release lets go of the sender's port.
func (p *Process) Release() { unix.Close(p.reservedFD) }

// Start starts the program. It dies with this process, however that ends.
func (p *Process) Start() error {
	log, err := os.OpenFile(filepath.Join(p.dir, "log"), os.O_WRONLY|os.O_CREATE|os.O_APPEND, 0o600)
	if err != nil {
		return fmt.Errorf("rig: %w", err)
	}
	command := []string{p.program}
	if p.wrap != nil {
		command = p.wrap(p.num, p.program)
	}
	c := exec.Command(command[0], append(command[1:], "serve")...)
	c.Env = append(os.Environ(), "LB_CONFIG="+p.configPath(), "CLEATHOLD_SETTINGS="+p.settings, "LB_LISTEN=", "LB_STATE=", "LB_DISCOVERY=", "LB_NAME=")
	c.Stdout, c.Stderr = log, log
	// Ctrl-C at the terminal is for the rig, which ends its senders itself.
	c.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	started := make(chan error, 1)
	ended := make(chan struct{})
	p.mu.Lock()
	p.exitErr = nil // before it can end, or how it ended would be forgotten
	p.mu.Unlock()
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
		p.mu.Lock()
		p.exitErr = err
		p.mu.Unlock()
	}()
	if err := <-started; err != nil {
		return fmt.Errorf("rig: sender n%d: %w", p.num, err)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cmd, p.ended = c, ended
	return nil
}

// Ended is closed when the one that runs now has ended.
func (p *Process) Ended() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ended
}

// Signal sends a signal to the one that runs.
func (p *Process) Signal(s os.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil && p.cmd.Process != nil {
		p.cmd.Process.Signal(s) // one that has ended needs none
	}
}

// Ready waits until the sender answers that it is.
func (p *Process) Ready(ctx context.Context, until time.Time) error {
	for ctx.Err() == nil {
		if p.healthy() {
			return nil
		}
		select {
		case <-p.Ended():
			return fmt.Errorf("rig: sender n%d ended before it was ready: %v; its log ends: %s", p.num, p.exitError(), p.logTail())
		case <-ctx.Done():
		case <-time.After(10 * time.Millisecond):
		}
		if time.Now().After(until) {
			return fmt.Errorf("rig: sender n%d is not ready in time; its log ends: %s", p.num, p.logTail())
		}
	}
	return context.Cause(ctx)
}

func (p *Process) exitError() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.exitErr
}

func (p *Process) healthy() bool {
	limit := time.Now().Add(time.Second)
	c, err := (&senderPool{addr: p.addr}).dial(limit)
	if err != nil {
		return false
	}
	defer c.Close()
	r, err := c.roundTrip([]byte("GET /_health HTTP/1.1\r\nHost: app.svc\r\n\r\n"), limit)
	return err == nil && r.StatusCode == http.StatusOK
}

// logTail is the end of its log.
func (p *Process) logTail() string {
	f, err := os.Open(filepath.Join(p.dir, "log"))
	if err != nil {
		return err.Error()
	}
	defer f.Close()
	if info, err := f.Stat(); err == nil && info.Size() > maxLogTail {
		f.Seek(-maxLogTail, io.SeekEnd)
	}
	text, _ := io.ReadAll(io.LimitReader(f, maxLogTail))
	return string(bytes.TrimSpace(text))
}

// PeakMB is the most memory that the one that runs has had; 0 where nobody runs.
func (p *Process) PeakMB() float64 {
	p.mu.Lock()
	c := p.cmd
	p.mu.Unlock()
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
func (p *Process) StopBySeries() {
	for _, s := range []os.Signal{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGINT} {
		p.Signal(s)
		time.Sleep(signalInterval)
	}
	p.Stop(true)
}

// Stop ends the one that runs: in order, or at once.
func (p *Process) Stop(orderly bool) {
	ended := p.Ended()
	if ended == nil {
		return
	}
	if orderly {
		p.Signal(syscall.SIGTERM)
		select {
		case <-ended:
			return
		case <-time.After(killTimeout):
		}
	}
	p.Signal(syscall.SIGKILL)
	<-ended
}
