package harness

import (
	"cleathold/internal/netfault"
	"cleathold/internal/scenario"
)

// maxHostsPerBlock is the number of senders whose addresses are taken from one block.
const maxHostsPerBlock = 250

// processSpecs assigns the senders' admin and gossip addresses, and the addresses at which they reach one another and
// discovery. If the plan has link faults, the senders reach discovery through a proxied link, otherwise directly.
// Gossip between several senders always passes through proxied links.
func (r *run) processSpecs(platform []string) ([]ProcessSpec, error) {
	n := r.Plan.Scenario.Senders
	r.links = netfault.New(r.Plan.Seed)
	r.env.SetNetwork(r.links)
	for range 1 + (n-1)/maxHostsPerBlock {
		b, err := netfault.NewBlock()
		if err != nil {
			return nil, err
		}
		r.blocks = append(r.blocks, b)
	}
	specs := make([]ProcessSpec, n)
	var names, gossipAddresses []string
	for i := range specs {
		host := r.blocks[i/maxHostsPerBlock].Host(2 + i%maxHostsPerBlock)
		specs[i] = ProcessSpec{Discovery: platform[i], Admin: host + ":9001"}
		name := scenario.Sender(i)
		if len(r.Plan.Links) > 0 {
			addr, err := r.links.TCP(name, scenario.Discovery, "127.0.0.1", platform[i])
			if err != nil {
				return nil, err
			}
			specs[i].Discovery = addr
		}
		names, gossipAddresses = append(names, name), append(gossipAddresses, host+":7946")
	}
	if n == 1 { // no peers
		return specs, nil
	}
	gossip, err := r.links.UDP("127.0.0.1", names, gossipAddresses)
	if err != nil {
		return nil, err
	}
	for i := range specs {
		specs[i].PeerListen, specs[i].PeersAll, specs[i].Peers = gossipAddresses[i], gossip.All(i), gossip.Peers()
	}
	return specs, nil
}
