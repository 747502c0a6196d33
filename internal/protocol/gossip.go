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
	// maxDatagramsPerSecond bounds how much gossip is read: a flood is left in the socket's buffer, where the kernel drops
	// what does not fit.
	maxDatagramsPerSecond = 2000

	// gossipReadBackoff is waited after a read that failed.
	gossipReadBackoff = 100 * time.Millisecond
)

// GossipTransport sends gossip to the peers over UDP, and receives theirs.
type GossipTransport struct {
	log        *slog.Logger
	conn       *net.UDPConn
	broadcast  netip.AddrPort
	peerByAddr map[netip.AddrPort]int // the peer's number

	dropped atomic.Int64
}

// OpenGossip listens for gossip. peers are the addresses of all senders by their numbers, of which this one has the
// number me, and all is the address that reaches all.
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
		if i != self { // its own datagrams come back, too
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

// SendGossip sends observations to all peers. A datagram that can't be sent is lost, as any may be.
func (g *GossipTransport) SendGossip(observations []gossip.Observation) {
	g.conn.WriteToUDPAddrPort(gossip.Encode(observations), g.broadcast)
}

// Run posts what peers tell as state.GossipReceived until the context ends. Datagrams from strangers, too long, cut
// short or of another version are counted and dropped.
func (g *GossipTransport) Run(ctx context.Context, events EventPoster) {
	stop := context.AfterFunc(ctx, func() { g.conn.Close() })
	defer stop()
	defer func() {
		if n := g.dropped.Load(); n > 0 {
			g.log.Info("gossip dropped", "count", n)
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
