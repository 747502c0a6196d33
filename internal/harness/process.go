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
	signalInterval  = 40 * time.Millisecond   // between the signals of StopWithSignalSeries
	orderTimeout    = 3 * time.Second
	defaultMemoryMB = 192  // memory limit of a sender
	defaultSockets  = 1024 // file descriptor limit of a sender
	maxLogTail      = 600  // bytes of the sender's log that an error includes
)

// A Process is one sender: its folder, its port, which stays reserved until ReleasePort, and its current process.
type Process struct {
	num        int
	program    string
	dir        string // contains configuration, state and log
	addr       string
	reservedFD int    // the socket that reserves the port
	settings   string // path of the settings script; may be empty
	plan       *scenario.Plan
	spec       ProcessSpec
	wrap       func(sender int, program string) []string // see Faults.WrapCommand

	mu      sync.Mutex
	cmd     *exec.Cmd
	ended   chan struct{} // closed when the process has ended
	exitErr error         // of the last process that ended; nil while one runs
}

// NewProcess prepares a sender's folder without starting a process. The spec's listen address, state folder and limits
// are replaced by those that NewProcess chooses.
func NewProcess(s Setup, num int, dir string, spec ProcessSpec) (*Process, error) {
	if spec.MemoryMB = s.MemoryMB; spec.MemoryMB <= 0 {
		spec.MemoryMB = defaultMemoryMB
	}
	if spec.Sockets = s.Faults.Sockets; spec.Sockets <= 0 {
		spec.Sockets = defaultSockets
	}
	spec.State = filepath.Join(dir, "state")
	if err := os.MkdirAll(spec.State, 0o700); err != nil {
		return nil, fmt.Errorf("harness: %w", err)
	}
	fd, addr, err := reservePort()
	if err != nil {
		return nil, err
	}
	spec.Listen = addr
	p := &Process{
		num: num, program: s.Program, dir: dir, addr: addr, reservedFD: fd,
		settings: s.Settings, plan: s.Plan, spec: spec, wrap: s.Faults.WrapCommand,
	}
	if err := Configure(p.configPath(), s.Plan, num, spec); err != nil {
		p.ReleasePort()
		return nil, err
	}
	return p, nil
}

// ReleasePort closes the socket that reserves the sender's port.
func (p *Process) ReleasePort() { unix.Close(p.reservedFD) }

func (p *Process) configPath() string { return filepath.Join(p.dir, "config.json") }

func (p *Process) logPath() string { return filepath.Join(p.dir, "log") }

// Start starts the program. The kernel kills the process when the harness process ends for whatever reason.
func (p *Process) Start() error {
	log, err := os.OpenFile(p.logPath(), os.O_WRONLY|os.O_CREATE|os.O_APPEND, 0o600)
	if err != nil {
		return fmt.Errorf("harness: %w", err)
	}
	cmd := p.command(log)
	started := make(chan error, 1)
	ended := make(chan struct{})
	p.mu.Lock()
	p.exitErr = nil // must be reset before the process can end
	p.mu.Unlock()
	go func() {
		// The kernel sends the parent-death signal when the thread that started the child ends. Locking the goroutine
		// to its thread keeps the thread alive until the child has ended.
		runtime.LockOSThread()
		defer runtime.UnlockOSThread()
		defer close(ended)
		defer log.Close()
		err := cmd.Start()
		started <- err
		if err != nil {
			return
		}
		err = cmd.Wait()
		p.mu.Lock()
		p.exitErr = err
		p.mu.Unlock()
	}()
	if err := <-started; err != nil {
		return fmt.Errorf("harness: sender n%d: %w", p.num, err)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cmd, p.ended = cmd, ended
	return nil
}

// command returns the command that runs the program, with its output redirected to the log.
func (p *Process) command(log *os.File) *exec.Cmd {
	command := []string{p.program}
	if p.wrap != nil {
		command = p.wrap(p.num, p.program)
	}
	cmd := exec.Command(command[0], append(command[1:], "serve")...)
	cmd.Env = append(os.Environ(), "LB_CONFIG="+p.configPath(), "CLEATHOLD_SETTINGS="+p.settings,
		"LB_LISTEN=", "LB_STATE=", "LB_DISCOVERY=", "LB_NAME=")
	cmd.Stdout, cmd.Stderr = log, log
	// The sender gets its own process group, so that Ctrl-C at the terminal signals only the harness, which stops its
	// senders itself.
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	return cmd
}

// setKnown replaces the endpoint list in the configuration.
func (p *Process) setKnown(list knownList) error {
	return editConfig(p.configPath(), func(config map[string]any) { config["known"] = list })
}

// Ended returns a channel that is closed when the current process has ended. It returns nil before the first start.
func (p *Process) Ended() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ended
}

// exitError returns the exit error of the last process; nil while a process runs and after exit status 0.
func (p *Process) exitError() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.exitErr
}

// Signal sends a signal to the process if one runs.
func (p *Process) Signal(s os.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil && p.cmd.Process != nil {
		p.cmd.Process.Signal(s) // an error means that the process has ended
	}
}

// Stop ends the process and waits until it has ended. If orderly, it sends SIGTERM, and SIGKILL after killTimeout;
// otherwise it sends SIGKILL at once.
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

// StopWithSignalSeries sends several signals in quick succession, as when several operators act at the same time, and
// waits until the process has ended.
func (p *Process) StopWithSignalSeries() {
	for _, s := range []os.Signal{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGINT} {
		p.Signal(s)
		time.Sleep(signalInterval)
	}
	p.Stop(true)
}

// AwaitReady waits until the sender's health check succeeds. It returns an error if the process ends first or the
// deadline passes, and the context's cause if the context ends.
func (p *Process) AwaitReady(ctx context.Context, deadline time.Time) error {
	for ctx.Err() == nil {
		if p.healthy() {
			return nil
		}
		select {
		case <-p.Ended():
			return fmt.Errorf("harness: sender n%d ended before it was ready: %v; its log ends: %s",
				p.num, p.exitError(), p.logTail())
		case <-ctx.Done():
		case <-time.After(10 * time.Millisecond):
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("harness: sender n%d is not ready in time; its log ends: %s", p.num, p.logTail())
		}
	}
	return context.Cause(ctx)
}

func (p *Process) healthy() bool {
	deadline := time.Now().Add(time.Second)
	c, err := (&senderPool{addr: p.addr}).dial(deadline)
	if err != nil {
		return false
	}
	defer c.Close()
	r, err := c.roundTrip([]byte("GET /_health HTTP/1.1\r\nHost: app.svc\r\n\r\n"), deadline)
	return err == nil && r.StatusCode == http.StatusOK
}

// logTail returns the end of the sender's log.
func (p *Process) logTail() string {
	f, err := os.Open(p.logPath())
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

// PeakMB returns the peak resident set size of the process in MiB; 0 if no process runs.
func (p *Process) PeakMB() float64 {
	p.mu.Lock()
	cmd := p.cmd
	p.mu.Unlock()
	if cmd == nil || cmd.Process == nil {
		return 0
	}
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", cmd.Process.Pid))
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

// reconfigure writes the settings of a planned action to the configuration file, and sends SIGHUP to the process to
// reload it.
func (p *Process) reconfigure(a scenario.PlannedAction) error {
	if err := Reconfigure(p.configPath(), a, p.plan); err != nil {
		return err
	}
	p.Signal(syscall.SIGHUP)
	return nil
}

// sendOrder sends an operator's order to the admin API of the process.
func (p *Process) sendOrder(verb string) error {
	request, err := http.NewRequest(http.MethodPut, "http://"+p.adminAddr()+"/v1/sender/"+verb, nil)
	if err != nil {
		return err
	}
	client := http.Client{Timeout: orderTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode/100 != 2 {
		return fmt.Errorf("harness: sender n%d: %s: %s", p.num, verb, response.Status)
	}
	return nil
}

// wipeState deletes the contents of the sender's state folder. The process must have ended.
func (p *Process) wipeState() error {
	return errors.Join(os.RemoveAll(p.spec.State), os.MkdirAll(p.spec.State, 0o700))
}
