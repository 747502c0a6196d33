package cluster

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// An agentProcess is an agent and the process that runs it.
type agentProcess struct {
	name   string
	script string // path of its settings
	addr   string
	folder string        // of its state
	cmd    *exec.Cmd     // nil: none runs
	ended  chan struct{} // closed when cmd has ended
}

// commandTimeout is how long a command of staff may take: one that watches a plan which never ends must not hang a
// test.
const commandTimeout = 60 * time.Second

// command is a command of the program. Its folder for temporary files is the cluster's own, since hand-over sockets are
// made there.
func (c *Cluster) command(args ...string) *exec.Cmd {
	cmd := exec.Command(c.Program, args...)
	cmd.Env = append(append(os.Environ(), c.Env...), "TMPDIR="+c.tempDir())
	return cmd
}

// tempDir is the cluster's folder for temporary files; its path is short, as socket paths must be.
func (c *Cluster) tempDir() string {
	dir := filepath.Join(os.TempDir(), fmt.Sprintf("cy-%d-%s", os.Getpid(), c.blocks[0].Host(0)))
	os.MkdirAll(dir, 0o700)
	return dir
}

// RunCommand runs the fleet command as staff do, with the addresses of some agents; nil: of all. It returns the
// output and the exit code; -1 if the command could not run.
func (c *Cluster) RunCommand(agents []int, args ...string) (string, int) {
	if agents == nil {
		for i := range c.agents {
			agents = append(agents, i)
		}
	}
	var addresses []string
	for _, i := range agents {
		addresses = append(addresses, c.agents[i].addr)
	}
	cmd := c.command(append([]string{"fleet", "--agent", strings.Join(addresses, ",")}, args...)...)
	timeout := time.AfterFunc(commandTimeout, func() { cmd.Process.Kill() })
	out, err := cmd.CombinedOutput()
	timeout.Stop()
	var exit *exec.ExitError
	switch {
	case errors.As(err, &exit):
		return string(out), exit.ExitCode()
	case err != nil:
		return err.Error(), -1
	}
	return string(out), 0
}

// StartAgent starts the process of an agent that does not run.
func (c *Cluster) StartAgent(i int) error {
	a := c.agents[i]
	log, err := os.OpenFile(filepath.Join(filepath.Dir(a.script), "log"), os.O_WRONLY|os.O_CREATE|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := c.command("agent", "run", "--settings", a.script)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if err := cmd.Start(); err != nil {
		return err
	}
	a.cmd, a.ended = cmd, make(chan struct{})
	go func(ended chan struct{}) { cmd.Wait(); close(ended) }(a.ended)
	return nil
}

// SignalAgent sends a signal to an agent, if it runs. After SIGKILL and SIGTERM it waits until the process has ended.
func (c *Cluster) SignalAgent(i int, s syscall.Signal) {
	a := c.agents[i]
	if a.cmd == nil {
		return
	}
	a.cmd.Process.Signal(s)
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		<-a.ended
		a.cmd = nil
	}
}

// AgentPid returns the process id of an agent; 0 if none runs.
func (c *Cluster) AgentPid(i int) int {
	a := c.agents[i]
	if a.cmd == nil {
		return 0
	}
	select {
	case <-a.ended:
		return 0
	default:
		return a.cmd.Process.Pid
	}
}

// WipeAgent removes the state of an agent that does not run.
func (c *Cluster) WipeAgent(i int) error { return os.RemoveAll(c.agents[i].folder) }

// AgentNames returns the names of the agents, as links know them.
func (c *Cluster) AgentNames() (names []string) {
	for _, a := range c.agents {
		names = append(names, a.name)
	}
	return names
}
