package cluster

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

const (
	statusTimeout = time.Second
	maxLogTail    = 2500 // bytes of each log that WriteLogs writes
)

// A senderAddresses contains the configuration path and the addresses of a sender.
type senderAddresses struct {
	config string // path of its configuration file
	listen string
	admin  [2]string // addresses of the admin API: two, since two processes run during a hand-over
}

// Pid returns the id of a sender's serving or drained process; 0 if no process answers.
func (c *Cluster) Pid(i int) int {
	client := &http.Client{Timeout: statusTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	for _, addr := range c.senders[i].admin {
		r, err := client.Get("http://" + addr + "/v1/sender/status")
		if err != nil {
			continue
		}
		var s struct {
			Pid   int
			Phase string
		}
		err = json.NewDecoder(r.Body).Decode(&s)
		r.Body.Close()
		if err == nil && (s.Phase == "serving" || s.Phase == "drained") {
			return s.Pid
		}
	}
	return 0
}

// Admin returns the addresses of a sender's admin API.
func (c *Cluster) Admin(i int) []string { return c.senders[i].admin[:] }

// Config returns the path of a sender's configuration file.
func (c *Cluster) Config(i int) string { return c.senders[i].config }

// AnyPid returns the id of any process of a sender, whether it answers or not; 0 if there is none.
func (c *Cluster) AnyPid(i int) int {
	for pid, config := range c.processes() {
		if config == c.senders[i].config {
			return pid
		}
	}
	return 0
}

// ReplaceProcess kills a sender's process and starts another one in its place without involving the sender's agent, as
// an operator might do by mistake.
func (c *Cluster) ReplaceProcess(i int) error {
	pid := c.AnyPid(i)
	env, err := os.ReadFile(fmt.Sprintf("/proc/%d/environ", pid))
	if err != nil {
		return err
	}
	c.Poll.recordSignal(i, syscall.SIGKILL)
	syscall.Kill(pid, syscall.SIGKILL)
	cmd := c.command("serve")
	cmd.Env = strings.Split(strings.TrimRight(string(env), "\x00"), "\x00")
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if err := cmd.Start(); err != nil {
		return err
	}
	go cmd.Wait() // the process is killed by Close
	return nil
}

// SignalSender sends a signal to the process that Pid returns, and reports whether there is one.
func (c *Cluster) SignalSender(i int, s syscall.Signal) bool {
	pid := c.Pid(i)
	if pid > 0 {
		c.Poll.recordSignal(i, s)
		syscall.Kill(pid, s)
	}
	return pid > 0
}

// processes returns the configuration paths of all sender processes of the cluster, by process id. The agents start
// these processes, so they are identified by their environment variables.
func (c *Cluster) processes() map[int]string {
	pids := map[int]string{}
	dirs, _ := filepath.Glob("/proc/[0-9]*")
	for _, d := range dirs {
		env, err := os.ReadFile(d + "/environ")
		if err != nil {
			continue
		}
		for variable := range strings.SplitSeq(string(env), "\x00") {
			if config, ok := strings.CutPrefix(variable, "LB_CONFIG="); ok && strings.HasPrefix(config, c.Folder+"/") {
				var pid int
				fmt.Sscanf(filepath.Base(d), "%d", &pid)
				pids[pid] = config
			}
		}
	}
	return pids
}

// WriteLogs writes the end of each log, for the output of a failed test.
func (c *Cluster) WriteLogs(out io.Writer) {
	for _, pattern := range []string{"a*/log", "a*/state/*.log"} {
		files, _ := filepath.Glob(filepath.Join(c.Folder, pattern))
		for _, f := range files {
			text, _ := os.ReadFile(f)
			fmt.Fprintf(out, "== %s\n%s\n", f, text[max(0, len(text)-maxLogTail):])
		}
	}
}
