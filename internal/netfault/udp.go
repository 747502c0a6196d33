package netfault

import (
	"fmt"
	"net"
	"net/netip"
	"slices"
	"time"
)

const (
	maxDatagramBytes = 2048
	reorderFactor    = 10 // a reordered datagram is delayed by this multiple of the jitter
)

// Datagrams are the UDP links between parties that exchange gossip. Each party has two addresses in the network: a
// public address at which the others reach it, and a broadcast address at which it reaches all others.
type Datagrams struct {
	network   *Net
	names     []string
	listens   []netip.AddrPort // where the parties listen
	parties   map[netip.AddrPort]int
	public    []*net.UDPConn // by party: address at which the others reach it
	broadcast []*net.UDPConn // by party: address at which it reaches all others
}

// UDP opens links between parties that listen at the given addresses. The links are closed with the network.
func (n *Net) UDP(host string, names, listens []string) (*Datagrams, error) {
	d := &Datagrams{network: n, names: names, parties: map[netip.AddrPort]int{}}
	for i, l := range listens {
		a, err := netip.ParseAddrPort(l)
		if err != nil {
			return nil, fmt.Errorf("netfault: %w", err)
		}
		d.listens = append(d.listens, a)
		d.parties[a] = i
	}
	for range names {
		public, err := n.listenUDP(host)
		if err != nil {
			return nil, err
		}
		broadcast, err := n.listenUDP(host)
		if err != nil {
			return nil, err
		}
		d.public, d.broadcast = append(d.public, public), append(d.broadcast, broadcast)
	}
	for i := range names {
		n.wg.Go(func() { d.receive(d.public[i], []int{i}) })
		others := make([]int, 0, len(names))
		for k := range names {
			if k != i {
				others = append(others, k)
			}
		}
		n.wg.Go(func() { d.receive(d.broadcast[i], others) })
	}
	return d, nil
}

func (n *Net) listenUDP(host string) (*net.UDPConn, error) {
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.ParseIP(host)})
	if err != nil {
		return nil, err
	}
	if !n.track(conn) {
		return nil, net.ErrClosed
	}
	return conn, nil
}

// Peers returns the public addresses of all parties, by party number.
func (d *Datagrams) Peers() (addresses []string) {
	for _, conn := range d.public {
		addresses = append(addresses, conn.LocalAddr().String())
	}
	return addresses
}

// All returns the address at which a party reaches all others.
func (d *Datagrams) All(party int) string { return d.broadcast[party].LocalAddr().String() }

// receive forwards the datagrams that arrive at an address to the given parties, until the address is closed. Datagrams
// from unknown addresses are dropped.
func (d *Datagrams) receive(conn *net.UDPConn, to []int) {
	buffer := make([]byte, maxDatagramBytes)
	for {
		size, addr, err := conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		from, known := d.parties[netip.AddrPortFrom(addr.Addr().Unmap(), addr.Port())]
		if !known {
			continue
		}
		data := slices.Clone(buffer[:size])
		for _, party := range to {
			d.forward(from, party, data)
		}
	}
}

// forward delivers a datagram according to the state of its direction: it may be lost, duplicated or delayed. The
// datagram is sent from the public address of its sender.
func (d *Datagrams) forward(from, to int, data []byte) {
	n, dir := d.network, direction{d.names[from], d.names[to]}
	s, _ := n.currentState(dir)
	if s.Cut || s.Silent || n.randomBool(s.Loss) {
		n.recordLost(dir)
		return
	}
	count := 1
	if n.randomBool(s.Duplicate) {
		count = 2
	}
	for range count {
		delay := s.Delay + n.randomDelay(s.Jitter)
		if n.randomBool(s.Reorder) {
			delay += reorderFactor * s.Jitter
		}
		send := func() {
			n.recordPassed(dir, len(data))
			d.public[from].WriteToUDPAddrPort(data, d.listens[to]) // an error counts as a loss
		}
		if delay == 0 {
			send()
		} else {
			time.AfterFunc(delay, send)
		}
	}
}
