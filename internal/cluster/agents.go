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

// An agentProcess is an agent with its process.
type agentProcess struct {
	name   string
	script string // path of the settings script
	addr   string
	folder string        // state folder
	cmd    *exec.Cmd     // nil = no process runs
	ended  chan struct{} // closed when cmd has ended
}

// commandTimeout limits the duration of an operator's command. Without it, a command that watches a plan that never
// ends would block the test.
const commandTimeout = 60 * time.Second

// command returns a command that runs the program with the given arguments. Its temporary directory is the cluster's
// own, since hand-over sockets are created there.
func (c *Cluster) command(args ...string) *exec.Cmd {
	cmd := exec.Command(c.Program, args...)
	cmd.Env = append(append(os.Environ(), c.Env...), "TMPDIR="+c.tempDir())
	return cmd
}

// tempDir returns the cluster's temporary directory and creates it if needed. Its path is short because the length of
// socket paths is limited.
func (c *Cluster) tempDir() string {
	dir := filepath.Join(os.TempDir(), fmt.Sprintf("cy-%d-%s", os.Getpid(), c.blocks[0].Host(0)))
	os.MkdirAll(dir, 0o700)
	return dir
}

// RunCommand runs the fleet command as operators do, with the addresses of the given agents, or of all agents if agents
// is nil. It returns the output and the exit code; -1 if the command could not be run.
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

// StartAgent starts the process of an agent that is not running.
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

// SignalAgent sends a signal to an agent if it is running. After SIGKILL and SIGTERM it waits until the process has
// ended.
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

// AgentPid returns the process id of an agent; 0 if it is not running.
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

// WipeAgent deletes the state of an agent that is not running.
func (c *Cluster) WipeAgent(i int) error { return os.RemoveAll(c.agents[i].folder) }

// AgentNames returns the agents' names, which are also their names in the network of links.
func (c *Cluster) AgentNames() (names []string) {
	for _, a := range c.agents {
		names = append(names, a.name)
	}
	return names
}
