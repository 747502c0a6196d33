package simulation

import (
	"time"

	"cleathold/internal/gossip"
	"cleathold/internal/state"
)

// MinGossipDelay and MaxGossipDelay bound the network delay of gossip between two senders.
const MinGossipDelay, MaxGossipDelay = 1300 * time.Microsecond, 8700 * time.Microsecond

// A gossipSender sends one sender's gossip to its peers. Each packet is delayed, and may be duplicated or lost.
type gossipSender struct{ *sender }

// SendGossip implements state.GossipSender.
func (g gossipSender) SendGossip(observations []gossip.Observation) {
	packet := gossip.Encode(observations)
	for _, peer := range g.sim.senders {
		if peer != g.sender {
			g.sendTo(peer, packet)
		}
	}
}

// sendTo sends a packet to a peer. It draws whether the packet is lost, duplicated or reordered, and its delay.
func (g gossipSender) sendTo(peer *sender, packet []byte) {
	s := g.sim
	s.result.GossipSent++
	l := s.link(g.name, peer.name)
	if s.rng.Float64() < s.plan.Scenario.GossipLoss || !l.Passes() || l.Loss > 0 && s.rng.Float64() < l.Loss {
		return
	}
	copies := 1
	if l.Duplicate > 0 && s.rng.Float64() < l.Duplicate {
		copies = 2
	}
	for range copies {
		after := MinGossipDelay + time.Duration(s.rng.Int64N(int64(MaxGossipDelay-MinGossipDelay))) + s.extraDelay(l)
		if l.Reorder > 0 && s.rng.Float64() < l.Reorder {
			after += 10 * l.Jitter
		}
		s.at(s.now+after, func() {
			if observations, err := gossip.Decode(packet); err == nil && !peer.dead {
				s.result.GossipReceived++
				peer.step(state.GossipReceived{Peer: g.num, Observations: observations})
			}
		})
	}
}
