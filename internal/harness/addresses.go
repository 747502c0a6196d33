package harness

import (
	"cleathold/internal/netfault"
	"cleathold/internal/scenario"
)

// processSpecs chooses where senders have their other addresses, and how they reach one another and discovery. What
// the plan lets fail passes through links; what it does not goes straight.
func (r *run) processSpecs(platform []string) ([]ProcessSpec, error) {
	n := r.Plan.Scenario.Senders
	r.links = netfault.New(r.Plan.Seed)
	r.env.UseLinks(r.links)
	for range 1 + (n-1)/maxHostsPerBlock {
		b, err := netfault.NewBlock()
		if err != nil {
			return nil, err
		}
		r.blocks = append(r.blocks, b)
	}
	places := make([]ProcessSpec, n)
	var names, listens []string
	for i := range places {
		host := r.blocks[i/maxHostsPerBlock].Host(2 + i%maxHostsPerBlock)
		places[i] = ProcessSpec{Discovery: platform[i], Admin: host + ":9001"}
		if len(r.Plan.Links) > 0 {
			var err error
			if places[i].Discovery, err = r.links.TCP(scenario.Sender(i), scenario.Discovery, "127.0.0.1", platform[i]); err != nil {
				return nil, err
			}
		}
		names, listens = append(names, scenario.Sender(i)), append(listens, host+":7946")
	}
	if n == 1 {
		return places, nil
	}
	ways, err := r.links.UDP("127.0.0.1", names, listens)
	if err != nil {
		return nil, err
	}
	for i := range places {
		places[i].PeerListen, places[i].PeersAll, places[i].Peers = listens[i], ways.All(i), ways.Peers()
	}
	return places, nil
}

// maxHostsPerBlock senders have their addresses in one block.
const maxHostsPerBlock = 250
