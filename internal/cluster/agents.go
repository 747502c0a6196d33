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

type agentProcess struct {
	name, script, addr, folder string
	cmd                        *exec.Cmd
	ended                      chan struct{}
}

// commandTimeout is how long a command of staff may take: one that watches a plan which never ends must not hang a test.
const commandTimeout = 60 * time.Second

// command is one of the program. Its folder for temporary files is the yard's own: desks stand there.
func (c *Cluster) command(args ...string) *exec.Cmd {
	cmd := exec.Command(c.Program, args...)
	cmd.Env = append(append(os.Environ(), c.Env...), "TMPDIR="+c.tempDir())
	return cmd
}

func (c *Cluster) tempDir() string {
	dir := filepath.Join(os.TempDir(), fmt.Sprintf("cy-%d-%s", os.Getpid(), c.blocks[0].Host(0)))
	os.MkdirAll(dir, 0o700)
	return dir
}

// RunCommand runs the program as staff do, with the addresses of agents; none named: all of them.
func (c *Cluster) RunCommand(agents []int, args ...string) (string, int) {
	if agents == nil {
		for i := range c.agents {
			agents = append(agents, i)
		}
	}
	var list []string
	for _, i := range agents {
		list = append(list, c.agents[i].addr)
	}
	cmd := c.command(append([]string{"fleet", "--agent", strings.Join(list, ",")}, args...)...)
	late := time.AfterFunc(commandTimeout, func() { cmd.Process.Kill() })
	out, err := cmd.CombinedOutput()
	late.Stop()
	code := 0
	var e *exec.ExitError
	if errors.As(err, &e) {
		code = e.ExitCode()
	} else if err != nil {
		return err.Error(), -1
	}
	return string(out), code
}

// StartAgent starts one that does not run.
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

// SignalAgent sends a signal to an agent. One that is killed is waited for.
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

// AgentPid is the process of an agent; 0: none runs.
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

// WipeAgent loses the folder of an agent that does not run.
func (c *Cluster) WipeAgent(i int) error { return os.RemoveAll(c.agents[i].folder) }

// AgentNames are the agents, for links.
func (c *Cluster) AgentNames() (list []string) {
	for _, a := range c.agents {
		list = append(list, a.name)
	}
	return list
}
