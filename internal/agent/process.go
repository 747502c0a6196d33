package agent

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// process is a process of a sender. It may have been started by an agent before this one, or by somebody else: it is
// not its parent who watches it, but whoever holds its descriptor.
type process struct {
	pid        int
	startTime  string // by the kernel's count, so that another process of that number is told from it
	ended      chan struct{}
	exitStatus string // once it has ended; empty where its parent was another
}

// launch runs a program. It outlasts the agent.
func launch(program string, env []string, log string) (*process, error) {
	out, err := openLog(log)
	if err != nil {
		return nil, err
	}
	defer out.Close()
	command := exec.Command(program, "serve")
	command.Env = append(os.Environ(), env...)
	command.Stdout, command.Stderr = out, out
	// Ctrl-C at the agent's terminal is not for its senders.
	command.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
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

// errProcessGone tells that a process is no more.
var errProcessGone = errors.New("agent: no such process")

// adoptProcess watches a process that somebody else has started. Where a start is given it must be the one that it had.
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
		for {
			n, err := unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, -1)
			if n > 0 || err != nil && !errors.Is(err, unix.EINTR) {
				return
			}
		}
	}()
	return p, nil
}

// processStartTime is when a process began, as the kernel counts.
func processStartTime(pid int) (string, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return "", errProcessGone
	}
	_, rest, ok := strings.Cut(string(text), ") ") // the name before may hold anything
	fields := strings.Fields(rest)
	if !ok || len(fields) < 20 || fields[0] == "Z" {
		return "", errProcessGone
	}
	return fields[19], nil
}

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

// signal sends one, if the process runs.
func (p *process) signal(s syscall.Signal) {
	if p.running() {
		if now, err := processStartTime(p.pid); err == nil && (p.startTime == "" || now == p.startTime) {
			unix.Kill(p.pid, s)
		}
	}
}

// A sender is given this long from SIGTERM to its end; then it is killed (PROTOCOL).
const stopTimeout = 3700 * time.Millisecond

// stop ends it in order, or at once where that takes too long.
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

func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.ended
}

const (
	minRestartDelay = 600 * time.Millisecond // the platform's
	maxRestartDelay = 15 * time.Second
	maxStarts       = 6
	startWindow     = time.Minute
)

// unixMillis is a time as orders have it.
func unixMillis(t time.Time) string { return strconv.FormatInt(t.UnixMilli(), 10) }
