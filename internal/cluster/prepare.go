package cluster

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"cleathold/internal/harness"
	"cleathold/internal/netfault"
	"cleathold/internal/scenario"
)

const (
	maxHostsPerBlock = 200 // number of senders whose addresses are taken from one block
	senderMemoryMB   = 192 // memory limit of a sender
)

// defaultScenario is used without a plan. Its endpoints have spare capacity, so that observed problems are caused by
// the fleet and not by the endpoints.
const defaultScenario = `
scenario(name = "fleet", seconds = %g, senders = %d, zones = ["bldg-a", "bldg-b"], hold = (20, 20), slots = (4, 4))
kind(name = "partners", limit = "none", headroom = (4, 4), conns = (200, 200),
  least_conns = (400, 400), endpoints = (2, 2), cv = (0.1, 0.1))
fleet(kind = "partners", destinations = (4, 4))
traffic(rate = %g, zipf = (0.3, 0.3), retries = 3, retry_in = (0.1, 0.3))
message_class(name = "status", share = 0.5, service = (0.02, 0.02), aim = 2, deadline = 20, late = 0.1)
message_class(name = "print-order", share = 0.25, service = (0.02, 0.02), aim = 2, deadline = 30,
  effect = "keyed", memory = 12, late = 0.5)
message_class(name = "fee-payment", share = 0.25, service = (0.02, 0.02), aim = 2, deadline = 30,
  effect = "unsafe", late = 0.5, worth = 3)
tenant(name = "school-bands", share = 1)
`

// prepare opens the environment and writes the files of the senders and agents.
func (c *Cluster) prepare() (err error) {
	for range 1 + c.Senders/maxHostsPerBlock {
		b, err := netfault.NewBlock()
		if err != nil {
			return err
		}
		c.blocks = append(c.blocks, b)
	}
	if c.plan, err = c.choosePlan(); err != nil {
		return err
	}
	if c.Environment, err = harness.NewEnvironment(c.ctx, c.plan, c.Log, c.recordEvent); err != nil {
		return err
	}
	c.Environment.SetNetwork(c.Net)
	if err = c.Environment.OpenEndpoints(); err != nil {
		return err
	}
	platform, err := c.Environment.OpenPlatform()
	if err != nil {
		return err
	}
	addresses, err := c.prepareSenders(platform)
	if err != nil {
		return err
	}
	c.Clients = c.Environment.NewClients(addresses)
	c.Poll = newPoll(c)
	return c.prepareAgents()
}

// choosePlan returns the plan of the setup, or else a plan of defaultScenario.
func (c *Cluster) choosePlan() (*scenario.Plan, error) {
	if c.Plan != nil {
		return c.Plan, nil
	}
	script := fmt.Appendf(nil, defaultScenario+"%s", c.Length.Seconds(), c.Senders, max(c.Rate, 1), c.Script)
	s, err := scenario.Parse("fleet.star", script, nil)
	if err != nil {
		return nil, err
	}
	return s.Plan(c.Seed), nil
}

// prepareSenders writes the senders' configuration files, and returns the addresses at which clients reach them.
func (c *Cluster) prepareSenders(platform []string) (addresses []string, err error) {
	var gossipAddresses []string
	for i := range c.Senders {
		host := c.blocks[i/maxHostsPerBlock].Host(20 + i%maxHostsPerBlock)
		c.Names = append(c.Names, fmt.Sprint("n", i))
		c.senders = append(c.senders, senderAddresses{
			config: filepath.Join(c.Folder, fmt.Sprint("n", i), "config.json"),
			listen: host + ":8080",
			admin:  [2]string{host + ":9001", host + ":9002"},
		})
		gossipAddresses = append(gossipAddresses, host+":7946")
	}
	gossip, err := c.Net.UDP("127.0.0.1", c.Names, gossipAddresses)
	if err != nil {
		return nil, err
	}
	for i, s := range c.senders {
		state := filepath.Join(filepath.Dir(s.config), "state")
		if err := os.MkdirAll(state, 0o700); err != nil {
			return nil, err
		}
		addr, err := c.linkTo(scenario.Clients, c.Names[i], s.listen)
		if err != nil {
			return nil, err
		}
		discovery, err := c.linkTo(c.Names[i], scenario.Discovery, platform[i])
		if err != nil {
			return nil, err
		}
		spec := harness.ProcessSpec{
			Listen: s.listen, Discovery: discovery, State: state, MemoryMB: senderMemoryMB,
			PeerListen: gossipAddresses[i], PeersAll: gossip.All(i), Peers: gossip.Peers(),
		}
		if err := harness.Configure(s.config, c.plan, i, spec); err != nil {
			return nil, err
		}
		addresses = append(addresses, addr)
	}
	return addresses, nil
}

// linkTo returns the address at which one party reaches another: the address of a proxied link if Links is set,
// otherwise the other party's own address.
func (c *Cluster) linkTo(from, to, addr string) (string, error) {
	if !c.Links {
		return addr, nil
	}
	return c.Net.TCP(from, to, "127.0.0.1", addr)
}

// prepareAgents writes the agents' settings scripts and initializes their folders with the found command. Agents reach
// each other through proxied links.
func (c *Cluster) prepareAgents() error {
	for i := range c.Agents {
		name := fmt.Sprint("a", i)
		folder := filepath.Join(c.Folder, name)
		if err := os.MkdirAll(folder, 0o700); err != nil {
			return err
		}
		c.agents = append(c.agents, &agentProcess{
			name: name, script: filepath.Join(folder, "agent.star"), addr: c.blocks[0].Host(2+i) + ":7000",
			folder: filepath.Join(folder, "state"),
		})
	}
	for i, a := range c.agents {
		script, err := c.agentScript(i)
		if err != nil {
			return err
		}
		if err := os.WriteFile(a.script, []byte(script), 0o600); err != nil {
			return err
		}
		if out, err := c.command("agent", "found", "--settings", a.script).CombinedOutput(); err != nil {
			return fmt.Errorf("found: %w: %s", err, out)
		}
	}
	return nil
}

// agentScript opens the links of an agent and returns its settings script.
func (c *Cluster) agentScript(i int) (string, error) {
	a := c.agents[i]
	var agents []string
	for _, b := range c.agents {
		addr := b.addr
		if a != b {
			var err error
			if addr, err = c.Net.TCP(a.name, b.name, c.blocks[0].Host(2+i), b.addr); err != nil {
				return "", err
			}
		}
		agents = append(agents, fmt.Sprintf("%q: %q", b.name, addr))
	}
	var text strings.Builder
	fmt.Fprintf(&text, "agent(name = %q, listen = %q, folder = %q, agents = {%s}, version = \"v1\", program = %q)\n",
		a.name, a.addr, a.folder, strings.Join(agents, ", "), c.Program)
	b, t := c.Terms.Budget, c.Terms.Timing
	fmt.Fprintf(&text, "budget(fleet = %d, building = %d, serving = %d, endpoints = %d, kind = %d)\n",
		b.Fleet, b.Building, b.Serving, b.Endpoints, b.Kind)
	fmt.Fprintf(&text, "timing(fresh = %g, accept = %g, lease = %g, clock_error = %g)\n",
		t.MaxObservationAge.Seconds(), t.TakeTimeout.Seconds(), t.Lease.Seconds(), t.MaxClockError.Seconds())
	versionChange := "handover"
	if c.Restart {
		versionChange = "restart"
	}
	for k := i; k < len(c.senders); k += c.Agents { // the senders of this agent
		s := c.senders[k]
		reach := s.admin
		for j := range reach {
			var err error
			if reach[j], err = c.linkTo(a.name, c.Names[k], s.admin[j]); err != nil {
				return "", err
			}
		}
		fmt.Fprintf(&text,
			"sender(name = %q, building = %q, config = %q, admin = [%q, %q], reach = [%q, %q], change = %q)\n",
			c.Names[k], c.Building(k), s.config, s.admin[0], s.admin[1], reach[0], reach[1], versionChange)
	}
	return text.String(), nil
}
