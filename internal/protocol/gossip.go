package protocol

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"cleathold/internal/gossip"
	"cleathold/internal/state"
)

// GossipTransport sends notes to the other senders of the tier, and takes theirs.
type GossipTransport struct {
	log        *slog.Logger
	conn       *net.UDPConn
	broadcast  netip.AddrPort
	peerByAddr map[netip.AddrPort]int // number of the sender at an address

	dropped atomic.Int64
}

// maxDatagramsPerSecond bounds the notes that are read in a second: a flood is left in the
// socket's buffer, where the kernel drops what has no room.
const maxDatagramsPerSecond = 2000

// OpenGossip listens for notes. The addresses are those of all senders by their
// numbers, of which this one has the number me, and the one that reaches all.
func OpenGossip(listen, all string, peers []string, me int, log *slog.Logger) (*GossipTransport, error) {
	p := &GossipTransport{log: log, peerByAddr: map[netip.AddrPort]int{}}
	var err error
	if p.broadcast, err = netip.ParseAddrPort(all); err != nil {
		return nil, fmt.Errorf("peers_all: %w", err)
	}
	for i, text := range peers {
		addr, err := netip.ParseAddrPort(text)
		if err != nil {
			return nil, fmt.Errorf("peers[%d]: %w", i, err)
		}
		if i != me { // what comes back to this sender it knows
			p.peerByAddr[addr] = i
		}
	}
	at, err := netip.ParseAddrPort(listen)
	if err != nil {
		return nil, fmt.Errorf("peer_listen: %w", err)
	}
	p.conn, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(at))
	return p, err
}

// SendGossip sends a note to all. One that can't be sent is lost, as any may be.
func (p *GossipTransport) SendGossip(facts []gossip.Observation) {
	p.conn.WriteToUDPAddrPort(gossip.Encode(facts), p.broadcast)
}

// Run takes notes until the context ends. Those from strangers, too long, cut
// short or in another version are counted and dropped.
func (p *GossipTransport) Run(ctx context.Context, post EventPoster) {
	stop := context.AfterFunc(ctx, func() { p.conn.Close() })
	defer stop()
	defer func() {
		if n := p.dropped.Load(); n > 0 {
			p.log.Info("notes dropped", "count", n)
		}
	}()
	buf := make([]byte, gossip.MaxSize+1)
	for span, read := time.Now(), 0; ; read++ {
		n, from, err := p.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			if ctx.Err() != nil {
				return
			}
			sleepUntil(ctx, time.Now().Add(minPollInterval))
			continue
		}
		if read >= maxDatagramsPerSecond {
			sleepUntil(ctx, span.Add(time.Second))
		}
		if now := time.Now(); now.Sub(span) >= time.Second {
			span, read = now, 0
		}
		sender, known := p.peerByAddr[netip.AddrPortFrom(from.Addr().Unmap(), from.Port())]
		facts, err := gossip.Decode(buf[:n])
		if !known || err != nil {
			p.dropped.Add(1)
			continue
		}
		post.Post(state.GossipReceived{Peer: sender, Observations: facts})
	}
}
