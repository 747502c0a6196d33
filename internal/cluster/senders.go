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

// senderAddresses is where a sender is reached.
type senderAddresses struct {
	config, listen string
	admin          [2]string
}

// Pid is that of the process which serves for a sender; 0: nobody answers.
func (c *Cluster) Pid(i int) int {
	for _, addr := range c.senders[i].admin {
		client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
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

// Admin are the second addresses of a sender.
func (c *Cluster) Admin(i int) []string { return c.senders[i].admin[:] }

// Config is its configuration file.
func (c *Cluster) Config(i int) string { return c.senders[i].config }

// LastPid is that of a process of a sender which may not answer; 0: none is there.
func (c *Cluster) LastPid(i int) int {
	for pid, config := range c.processes() {
		if config == c.senders[i].config {
			return pid
		}
	}
	return 0
}

// Replace ends a sender's process and starts another in its place, as somebody would who does not know of its agent.
func (c *Cluster) Replace(i int) error {
	pid := c.LastPid(i)
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
	go cmd.Wait()
	return nil
}

// SignalSender sends a signal to the process that serves for a sender.
func (c *Cluster) SignalSender(i int, s syscall.Signal) bool {
	pid := c.Pid(i)
	if pid > 0 {
		c.Poll.recordSignal(i, s)
		syscall.Kill(pid, s)
	}
	return pid > 0
}

// processes are the configurations of the yard's senders by their pids, as their environment says.
func (c *Cluster) processes() map[int]string {
	pids := map[int]string{}
	dirs, _ := filepath.Glob("/proc/[0-9]*")
	for _, d := range dirs {
		env, err := os.ReadFile(d + "/environ")
		if err != nil {
			continue
		}
		for word := range strings.SplitSeq(string(env), "\x00") {
			if config, is := strings.CutPrefix(word, "LB_CONFIG="); is && strings.HasPrefix(config, c.Folder+"/") {
				var pid int
				fmt.Sscanf(filepath.Base(d), "%d", &pid)
				pids[pid] = config
			}
		}
	}
	return pids
}

// Logs copies the end of each log, for a failure's report.
func (c *Cluster) Logs(out io.Writer) {
	for _, pattern := range []string{"a*/log", "a*/state/*.log"} {
		files, _ := filepath.Glob(filepath.Join(c.Folder, pattern))
		for _, f := range files {
			text, _ := os.ReadFile(f)
			fmt.Fprintf(out, "== %s\n%s\n", f, text[max(0, len(text)-2500):])
		}
	}
}
