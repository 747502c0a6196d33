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
	if c.Environment, err = harness.NewEnvironment(c.ctx, plan, c.Log, c.recordEvent); err != nil {
		return err
	}
	c.Environment.UseLinks(c.Net)
	if err = c.Environment.OpenEndpoints(); err != nil {
		return err
	}
	platform, err := c.Environment.OpenPlatform()
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
	c.Clients = c.Environment.NewClients(addresses)
	c.Poll = newPoll(c)
	return c.prepareAgents()
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

// maxHostsPerBlock senders have addresses of one block.
const maxHostsPerBlock = 200

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
