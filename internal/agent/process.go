package agent

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// stopTimeout is how long a process may take to end after SIGTERM, according to the platform's protocol. After that it
// is killed.
const stopTimeout = 3700 * time.Millisecond

// errProcessGone is returned if a process does not exist or has ended.
var errProcessGone = errors.New("agent: no such process")

// process is an operating system process of a sender. It need not be a child of this process: an earlier run of the
// agent or another program may have started it. Its end is then detected through a pidfd. A nil process does not run.
type process struct {
	pid        int
	startTime  string        // in clock ticks since boot; distinguishes it from a later process with the same pid
	ended      chan struct{} // closed when the process has ended
	exitStatus string        // valid once ended is closed; empty if another process is the parent
}

// launchProcess starts a program with its output appended to a log file. The process keeps running when the agent ends.
func launchProcess(program string, env []string, log string) (*process, error) {
	out, err := openLog(log)
	if err != nil {
		return nil, err
	}
	defer out.Close()
	command := exec.Command(program, "serve")
	command.Env = append(os.Environ(), env...)
	command.Stdout, command.Stderr = out, out
	command.SysProcAttr = &syscall.SysProcAttr{Setpgid: true} // a Ctrl-C at the agent's terminal must not reach it
	if err := command.Start(); err != nil {
		return nil, fmt.Errorf("agent: %w", err)
	}
	p := &process{pid: command.Process.Pid, ended: make(chan struct{})}
	p.startTime, _ = processStartTime(p.pid)
	go func() {
		defer close(p.ended)
		if err := command.Wait(); err != nil {
			p.exitStatus = err.Error()
		} else {
			p.exitStatus = "exit status 0"
		}
	}()
	return p, nil
}

// adoptProcess returns a running process that this run of the agent has not started. It returns errProcessGone if there
// is no such process, or if startTime is not empty and differs from the process's start time.
func adoptProcess(pid int, startTime string) (*process, error) {
	fd, err := unix.PidfdOpen(pid, 0)
	if err != nil {
		return nil, fmt.Errorf("%w: %d: %w", errProcessGone, pid, err)
	}
	now, err := processStartTime(pid)
	if err != nil || startTime != "" && now != startTime {
		unix.Close(fd)
		return nil, errProcessGone
	}
	p := &process{pid: pid, startTime: now, ended: make(chan struct{})}
	go func() {
		defer close(p.ended)
		defer unix.Close(fd)
		awaitPidfd(fd)
	}()
	return p, nil
}

// awaitPidfd waits until the process that a pidfd refers to has ended.
func awaitPidfd(fd int) {
	for {
		n, err := unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, -1)
		if n > 0 || err != nil && !errors.Is(err, unix.EINTR) {
			return
		}
	}
}

// processStartTime returns the start time of a process from /proc/PID/stat (field 22, see proc(5)). It returns
// errProcessGone if there is no such process or if it is a zombie.
func processStartTime(pid int) (string, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return "", errProcessGone
	}
	_, rest, ok := strings.Cut(string(text), ") ") // skip pid and name: rest starts with field 3
	fields := strings.Fields(rest)
	if !ok || len(fields) < 20 || fields[0] == "Z" {
		return "", errProcessGone
	}
	return fields[19], nil
}

// running reports whether the process runs.
func (p *process) running() bool {
	if p == nil {
		return false
	}
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// signal sends a signal, unless the process has ended.
func (p *process) signal(s syscall.Signal) {
	if p.running() {
		if now, err := processStartTime(p.pid); err == nil && (p.startTime == "" || now == p.startTime) {
			unix.Kill(p.pid, s)
		}
	}
}

// stop sends SIGTERM to the process and waits for its end. After stopTimeout it kills the process.
func (p *process) stop() {
	p.signal(syscall.SIGTERM)
	timer := time.NewTimer(stopTimeout)
	defer timer.Stop()
	select {
	case <-p.ended:
	case <-timer.C:
		p.kill()
	}
}

// kill sends SIGKILL to the process and waits for its end.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.ended
}
