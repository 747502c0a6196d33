package simulation

import (
	"time"

	"cleathold/internal/gossip"
	"cleathold/internal/state"
)

// A gossipSender carries notes to the other senders: each arrives late, or not at all.
type gossipSender struct{ *sender }

// MinGossipDelay and NoteTo are how long a note takes.
const MinGossipDelay, MaxGossipDelay = 1300 * time.Microsecond, 8700 * time.Microsecond

func (t gossipSender) SendGossip(facts []gossip.Observation) {
	s := t.sim
	sent := gossip.Encode(facts)
	for _, x := range s.senders {
		if x == t.sender {
			continue
		}
		s.result.GossipSent++
		w := s.link(t.name, x.name)
		if s.rng.Float64() < s.plan.Scenario.GossipLoss || !w.Passes() || w.Loss > 0 && s.rng.Float64() < w.Loss {
			continue
		}
		times := 1
		if w.Duplicate > 0 && s.rng.Float64() < w.Duplicate {
			times = 2
		}
		for range times {
			after := MinGossipDelay + time.Duration(s.rng.Int64N(int64(MaxGossipDelay-MinGossipDelay))) + s.extraDelay(w)
			if w.Reorder > 0 && s.rng.Float64() < w.Reorder {
				after += 10 * w.Jitter
			}
			s.at(s.now+after, func() {
				if facts, err := gossip.Decode(sent); err == nil && !x.dead {
					s.result.GossipReceived++
					x.step(state.GossipReceived{Peer: t.num, Observations: facts})
				}
			})
		}
	}
}
