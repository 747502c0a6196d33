// Package cluster plays a fleet on one machine: senders and agents as processes of the program, each with loopback
// addresses of its own, links between them that can fail, partners and clients of the rig, and an auditor that
// judges by what it sees from outside.
package cluster

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"cleathold/internal/agent"
	"cleathold/internal/audit"
	"cleathold/internal/harness"
	"cleathold/internal/netfault"
	"cleathold/internal/rollout"
	"cleathold/internal/scenario"
	"cleathold/internal/simulation"
)

// Setup is what a yard is made from.
type Setup struct {
	Program string   // of senders and agents
	Env     []string // more of the environment of both
	Folder  string
	Senders int
	Agents  int
	Rate    float64 // messages a second over all senders; 0 = none come
	Length  time.Duration
	Seed    uint64
	Terms   rollout.Terms
	Restart bool           // versions change by a restart
	Script  string         // more of the scenario: what ails the partners
	Plan    *scenario.Plan // played in the place of a calm day; Rate and Script are its own then
	Links   bool           // clients, discovery and each agent reach senders by links, too
	Log     *slog.Logger
}

// Cluster is a fleet that runs.
type Cluster struct {
	Setup
	Net            *netfault.Net
	blocks         []*netfault.Block
	World          *harness.Environment
	plan           *scenario.Plan
	Clients        *harness.Clients
	Poll           *Poll
	Names          []string // of the senders
	agents         []*agentProcess
	senders        []senderAddresses
	clientsRunning sync.WaitGroup
	mu             sync.Mutex
	lastCalls      map[string]time.Time // the latest call that each endpoint saw
	requested      int                  // messages that clients wanted delivered
	executed       int                  // that took effect
	ctx            context.Context
	cancel         context.CancelFunc
}

// commandTimeout is how long a command of staff may take: one that watches a plan which never ends must not hang a test.
const commandTimeout = 60 * time.Second

// maxHostsPerBlock senders have addresses of one block.
const maxHostsPerBlock = 200

// senderAddresses is where a sender is reached.
type senderAddresses struct {
	config, listen string
	admin          [2]string
}

type agentProcess struct {
	name, script, addr, folder string
	cmd                        *exec.Cmd
	ended                      chan struct{}
}

// calmScenario is the scenario that a yard plays: partners with room, so that what is seen is the fleet's doing.
const calmScenario = `
scenario(name = "fleet", seconds = %g, senders = %d, zones = ["bldg-a", "bldg-b"], hold = (20, 20), slots = (4, 4))
kind(name = "partners", limit = "none", headroom = (4, 4), conns = (200, 200), least_conns = (400, 400), endpoints = (2, 2), cv = (0.1, 0.1))
fleet(kind = "partners", destinations = (4, 4))
traffic(rate = %g, zipf = (0.3, 0.3), retries = 3, retry_in = (0.1, 0.3))
message_class(name = "status", share = 0.5, service = (0.02, 0.02), aim = 2, deadline = 20, late = 0.1)
message_class(name = "print-order", share = 0.25, service = (0.02, 0.02), aim = 2, deadline = 30, effect = "keyed", memory = 12, late = 0.5)
message_class(name = "fee-payment", share = 0.25, service = (0.02, 0.02), aim = 2, deadline = 30, effect = "unsafe", late = 0.5, worth = 3)
tenant(name = "school-bands", share = 1)
`

// Building is where a sender stands.
func (c *Cluster) Building(i int) string {
	zones := c.plan.Scenario.Zones
	return zones[i%len(zones)]
}

// New prepares a yard: folders, links, partners. Nothing of the program runs yet.
func New(ctx context.Context, s Setup) (*Cluster, error) {
	if s.Length == 0 {
		s.Length = 10 * time.Minute // Finish ends the traffic
	}
	if s.Log == nil {
		s.Log = slog.New(slog.DiscardHandler)
	}
	y := &Cluster{Setup: s, Net: netfault.New(s.Seed), lastCalls: map[string]time.Time{}}
	y.ctx, y.cancel = context.WithCancel(ctx)
	err := y.prepare()
	if err != nil {
		y.Close()
		return nil, err
	}
	return y, nil
}

func (c *Cluster) prepare() (err error) {
	for range 1 + c.Senders/maxHostsPerBlock {
		b, err := netfault.NewBlock()
		if err != nil {
			return err
		}
		c.blocks = append(c.blocks, b)
	}
	plan := c.Plan
	if plan == nil {
		sc, err := scenario.Parse("fleet.star", fmt.Appendf(nil, calmScenario+"%s", c.Length.Seconds(), c.Senders, max(c.Rate, 1), c.Script), nil)
		if err != nil {
			return err
		}
		plan = sc.Plan(c.Seed)
	}
	c.plan = plan
	if c.World, err = harness.NewEnvironment(c.ctx, plan, c.Log, c.recordEvent); err != nil {
		return err
	}
	c.World.UseLinks(c.Net)
	if err = c.World.OpenEndpoints(); err != nil {
		return err
	}
	platform, err := c.World.OpenPlatform()
	if err != nil {
		return err
	}
	var listens []string
	for i := range c.Senders {
		host := c.blocks[i/maxHostsPerBlock].Host(20 + i%maxHostsPerBlock)
		c.Names = append(c.Names, fmt.Sprint("n", i))
		c.senders = append(c.senders, senderAddresses{
			config: filepath.Join(c.Folder, fmt.Sprint("n", i), "config.json"), listen: host + ":8080", admin: [2]string{host + ":9001", host + ":9002"},
		})
		listens = append(listens, host+":7946")
	}
	ways, err := c.Net.UDP("127.0.0.1", c.Names, listens)
	if err != nil {
		return err
	}
	var addresses []string
	for i, x := range c.senders {
		state := filepath.Join(filepath.Dir(x.config), "state")
		if err := os.MkdirAll(state, 0o700); err != nil {
			return err
		}
		addr, discovery := x.listen, platform[i]
		if c.Links {
			if addr, err = c.Net.TCP(scenario.Clients, c.Names[i], "127.0.0.1", x.listen); err != nil {
				return err
			}
			if discovery, err = c.Net.TCP(c.Names[i], scenario.Discovery, "127.0.0.1", discovery); err != nil {
				return err
			}
		}
		at := harness.ProcessSpec{Listen: x.listen, Discovery: discovery, State: state, MemoryMB: 192, PeerListen: listens[i], PeersAll: ways.All(i), Peers: ways.Peers()}
		if err := harness.Configure(x.config, plan, i, at); err != nil {
			return err
		}
		addresses = append(addresses, addr)
	}
	c.Clients = c.World.NewClients(addresses)
	c.Poll = newPoll(c)
	return c.prepareAgents()
}

// recordEvent notes what partners see.
func (c *Cluster) recordEvent(e audit.Event) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case e.Kind == audit.Sent:
		c.lastCalls[e.Endpoint] = time.Now()
	case e.Kind == audit.Requested:
		c.requested++
	case e.Kind == audit.Executed && e.Cause == "":
		c.executed++
	}
	return nil
}

// deliveryCounts counts messages that clients wanted, and those that took effect.
func (c *Cluster) deliveryCounts() (wanted, came int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.requested, c.executed
}

// LastCall is when an endpoint saw a call last.
func (c *Cluster) LastCall(endpoint string) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastCalls[endpoint]
}

// prepareAgents writes their scripts and founds their folders. Each reaches each other one by a link of its own.
func (c *Cluster) prepareAgents() error {
	for i := range c.Agents {
		name := fmt.Sprint("a", i)
		folder := filepath.Join(c.Folder, name)
		if err := os.MkdirAll(folder, 0o700); err != nil {
			return err
		}
		c.agents = append(c.agents, &agentProcess{name: name, script: filepath.Join(folder, "agent.star"), addr: c.blocks[0].Host(2+i) + ":7000", folder: filepath.Join(folder, "state")})
	}
	for i, a := range c.agents {
		var others []string
		for _, b := range c.agents {
			addr := b.addr
			if a != b {
				var err error
				if addr, err = c.Net.TCP(a.name, b.name, c.blocks[0].Host(2+i), b.addr); err != nil {
					return err
				}
			}
			others = append(others, fmt.Sprintf("%q: %q", b.name, addr))
		}
		t := c.Terms.Timing
		text := fmt.Sprintf("agent(name = %q, listen = %q, folder = %q, agents = {%s}, version = \"v1\", program = %q)\n", a.name, a.addr, a.folder, strings.Join(others, ", "), c.Program)
		text += fmt.Sprintf("budget(fleet = %d, building = %d, serving = %d, endpoints = %d, kind = %d)\n", c.Terms.Budget.Fleet, c.Terms.Budget.Building, c.Terms.Budget.Serving,
			c.Terms.Budget.Endpoints, c.Terms.Budget.Kind)
		text += fmt.Sprintf("timing(fresh = %g, accept = %g, lease = %g, clock_error = %g)\n", t.Fresh.Seconds(), t.Accept.Seconds(), t.Lease.Seconds(), t.Error.Seconds())
		change := "handover"
		if c.Restart {
			change = "restart"
		}
		for k, x := range c.senders {
			if k%c.Agents == i {
				reach := x.admin
				for j := range reach {
					if !c.Links {
						break
					}
					var err error
					if reach[j], err = c.Net.TCP(a.name, c.Names[k], "127.0.0.1", x.admin[j]); err != nil {
						return err
					}
				}
				text += fmt.Sprintf("sender(name = %q, building = %q, config = %q, admin = [%q, %q], reach = [%q, %q], change = %q)\n", c.Names[k], c.Building(k), x.config,
					x.admin[0], x.admin[1], reach[0], reach[1], change)
			}
		}
		if err := os.WriteFile(a.script, []byte(text), 0o600); err != nil {
			return err
		}
		if out, err := c.command("agent", "found", "--settings", a.script).CombinedOutput(); err != nil {
			return fmt.Errorf("found: %w: %s", err, out)
		}
	}
	return nil
}

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

// View is how one agent sees the fleet: by its own means alone, or by way of the leader.
func (c *Cluster) View(i int, own bool) (agent.View, error) {
	ctx, cancel := context.WithDeadline(c.ctx, time.Now().Add(3*time.Second))
	defer cancel()
	if own {
		return agent.FetchOwnView(ctx, c.agents[i].addr)
	}
	return agent.FetchView(ctx, c.agents[i].addr)
}

// Leader is the number of the agent that leads, by the word of most; -1 while there is none.
func (c *Cluster) Leader() int {
	terms := map[int]uint64{}
	for i, a := range c.agents {
		if a.cmd == nil {
			continue
		}
		if v, err := c.View(i, true); err == nil && v.Quorum != nil && v.Quorum.Leads {
			terms[i] = v.Quorum.Term
		}
	}
	best := -1
	for i, term := range terms {
		if best < 0 || term > terms[best] {
			best = i
		}
	}
	return best
}

// Begin starts all agents, waits until all senders are known to serve, and lets the clients come.
func (c *Cluster) Begin() error {
	for i := range c.agents {
		if err := c.StartAgent(i); err != nil {
			return err
		}
	}
	err := c.Await(60*time.Second, "all senders serve", func(v agent.View) bool {
		seen := 0
		for _, name := range c.Names {
			if s := v.Observations[name]; s.Serving && v.State.Members[name] != nil {
				seen++
			}
		}
		return seen == c.Senders && v.State.Terms.Budget.Fleet > 0
	})
	if err != nil {
		return err
	}
	c.Poll.begin()
	c.World.Begin()
	if c.Rate > 0 {
		c.clientsRunning.Go(c.Clients.Run)
	}
	return nil
}

// Await looks at the fleet by way of any agent until it is as wanted.
func (c *Cluster) Await(span time.Duration, what string, so func(v agent.View) bool) error {
	var last agent.View
	for until := time.Now().Add(span); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		for i := range c.agents {
			if c.agents[i].cmd == nil {
				continue
			}
			v, err := c.View(i, false)
			if err != nil || v.Quorum == nil || !v.Quorum.Leads {
				continue
			}
			if last = v; so(v) {
				return nil
			}
		}
		if c.ctx.Err() != nil {
			return c.ctx.Err()
		}
	}
	text, _ := json.Marshal(last)
	return fmt.Errorf("not within %v: %s; last seen: %.3000s", span, what, text)
}

// AwaitPlan waits until a plan is in one of some phases, and returns it.
func (c *Cluster) AwaitPlan(span time.Duration, id uint64, phases ...rollout.Phase) (p *rollout.Plan, err error) {
	err = c.Await(span, fmt.Sprintf("plan %d is %v", id, phases), func(v agent.View) bool {
		p = v.State.Plan(id)
		return p != nil && slices.Contains(phases, p.Phase)
	})
	return p, err
}

// Order has something done by way of an agent; a refusal is an error.
func (c *Cluster) Order(i int, command rollout.Command) (uint64, error) {
	r, err := c.sendOrder(i, command)
	if err == nil && r.Text != "" {
		err = fmt.Errorf("%s: %s", r.Kind, r.Text)
	}
	return r.Index, err
}

func (c *Cluster) sendOrder(i int, command rollout.Command) (agent.Result, error) {
	ctx, cancel := context.WithDeadline(c.ctx, time.Now().Add(20*time.Second))
	defer cancel()
	if command.By == "" {
		command.By = "yard"
	}
	if command.Reason == "" {
		command.Reason = "a test"
	}
	return agent.SendCommand(ctx, c.agents[i].addr, agent.Call{Command: command})
}

// OrderAny asks one agent after the other, as staff's tool does, for as long as nobody takes the order: one that was killed may not
// listen again yet, and no agent may lead. An order that may have been taken is not given twice.
func (c *Cluster) OrderAny(command rollout.Command) (uint64, error) {
	var r agent.Result
	var err error
	for until := time.Now().Add(20 * time.Second); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		for i := range c.agents {
			r, err = c.sendOrder(i, command)
			var dial *net.OpError
			switch {
			case errors.As(err, &dial) && dial.Op == "dial", err == nil && r.Kind == agent.KindNoMajority:
				continue
			case err == nil && r.Text != "":
				err = fmt.Errorf("%s: %s", r.Kind, r.Text)
			}
			return r.Index, err
		}
	}
	return 0, fmt.Errorf("nobody takes an order: %s %w", r.Text, err)
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

// Report is what a yard showed in the end.
type Report struct {
	simulation.Result
	OverBudget []BudgetExceeded // instants at which an order took one out too many
	Clients    harness.ClientStats
	Orders     int // times that a sender went out by order, as seen from outside
	MaxOut     int // senders out by order at once
}

// Finish ends the traffic, waits for what is owed, and judges.
func (c *Cluster) Finish() Report {
	c.Clients.Stop()
	c.clientsRunning.Wait()
	for until := time.Now().Add(40 * time.Second); time.Now().Before(until) && (c.World.Open() > 0 || !c.Clients.Idle()); {
		time.Sleep(20 * time.Millisecond)
	}
	c.Poll.stop()
	r := Report{Clients: c.Clients.Stats()}
	r.OverBudget, r.Orders, r.MaxOut = c.Poll.evaluate()
	r.Result = c.World.Close()
	return r
}

// Close ends all processes of the yard.
func (c *Cluster) Close() {
	c.Poll.stop()
	for i := range c.agents {
		c.SignalAgent(i, syscall.SIGCONT)
		c.SignalAgent(i, syscall.SIGKILL)
	}
	if len(c.blocks) > 0 {
		for pid := range c.processes() {
			syscall.Kill(pid, syscall.SIGKILL)
		}
	}
	c.cancel()
	if c.Clients != nil {
		c.Clients.Close()
	}
	if c.World != nil {
		c.World.Close()
	}
	c.Net.Close()
	if len(c.blocks) > 0 {
		os.RemoveAll(c.tempDir())
	}
	for _, b := range c.blocks {
		b.Close()
	}
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
