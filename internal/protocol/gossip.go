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

const (
	// maxDatagramsPerSecond limits the rate at which gossip is read. During a flood the excess stays in the socket buffer,
	// and the kernel drops what doesn't fit.
	maxDatagramsPerSecond = 2000

	// gossipReadBackoff is the delay after a failed read.
	gossipReadBackoff = 100 * time.Millisecond
)

// GossipTransport exchanges gossip with peers over UDP.
type GossipTransport struct {
	log        *slog.Logger
	conn       *net.UDPConn
	broadcast  netip.AddrPort
	peerByAddr map[netip.AddrPort]int // peer numbers

	dropped atomic.Int64
}

// OpenGossip listens for gossip. peers holds the addresses of all senders, indexed by sender number; self is the number
// of this sender. Datagrams sent to the address broadcast reach all senders.
func OpenGossip(listen, broadcast string, peers []string, self int, log *slog.Logger) (*GossipTransport, error) {
	g := &GossipTransport{log: log, peerByAddr: map[netip.AddrPort]int{}}
	var err error
	if g.broadcast, err = netip.ParseAddrPort(broadcast); err != nil {
		return nil, fmt.Errorf("peers_all: %w", err)
	}
	for i, text := range peers {
		addr, err := netip.ParseAddrPort(text)
		if err != nil {
			return nil, fmt.Errorf("peers[%d]: %w", i, err)
		}
		if i != self { // broadcasts also reach this sender; leaving it out drops its own datagrams
			g.peerByAddr[addr] = i
		}
	}
	addr, err := netip.ParseAddrPort(listen)
	if err != nil {
		return nil, fmt.Errorf("peer_listen: %w", err)
	}
	g.conn, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(addr))
	return g, err
}

// SendGossip sends observations to all peers. Send errors are ignored, because UDP delivery is unreliable anyway.
func (g *GossipTransport) SendGossip(observations []gossip.Observation) {
	g.conn.WriteToUDPAddrPort(gossip.Encode(observations), g.broadcast)
}

// Run posts gossip from peers as state.GossipReceived until the context is done. It counts and drops datagrams that are
// from unknown addresses, too long, truncated or of another version.
func (g *GossipTransport) Run(ctx context.Context, events EventPoster) {
	stop := context.AfterFunc(ctx, func() { g.conn.Close() })
	defer stop()
	defer func() {
		if n := g.dropped.Load(); n > 0 {
			g.log.Info("invalid gossip datagrams dropped", "count", n)
		}
	}()
	buf := make([]byte, gossip.MaxSize+1)
	for windowStart, readCount := time.Now(), 0; ; readCount++ {
		n, from, err := g.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			if ctx.Err() != nil {
				return
			}
			sleepUntil(ctx, time.Now().Add(gossipReadBackoff))
			continue
		}
		if readCount >= maxDatagramsPerSecond {
			sleepUntil(ctx, windowStart.Add(time.Second))
		}
		if now := time.Now(); now.Sub(windowStart) >= time.Second {
			windowStart, readCount = now, 0
		}
		peer, known := g.peerByAddr[netip.AddrPortFrom(from.Addr().Unmap(), from.Port())]
		observations, err := gossip.Decode(buf[:n])
		if !known || err != nil {
			g.dropped.Add(1)
			continue
		}
		events.Post(state.GossipReceived{Peer: peer, Observations: observations})
	}
}
