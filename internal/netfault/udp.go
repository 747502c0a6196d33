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
	reorderFactor    = 10 // times the jitter, by which a reordered datagram is late
)

// Datagrams are the links for gossip between parties: each party has an address in the network by which the others
// know it, and one by which it reaches all of them.
type Datagrams struct {
	network   *Net
	names     []string
	listens   []netip.AddrPort // where the parties listen
	parties   map[netip.AddrPort]int
	public    []*net.UDPConn // by which the others know a party
	broadcast []*net.UDPConn // by which a party reaches all others
}

// UDP opens links between parties that listen at these addresses. They end with the network.
func (n *Net) UDP(host string, names, listens []string) (*Datagrams, error) {
	d := &Datagrams{network: n, names: names, parties: map[netip.AddrPort]int{}}
	for i, l := range listens {
		a, err := netip.ParseAddrPort(l)
		if err != nil {
			return nil, fmt.Errorf("fault: %w", err)
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

// Peers returns the addresses in the network of all parties, by their numbers.
func (d *Datagrams) Peers() (addresses []string) {
	for _, conn := range d.public {
		addresses = append(addresses, conn.LocalAddr().String())
	}
	return addresses
}

// All returns the address by which a party reaches all others.
func (d *Datagrams) All(party int) string { return d.broadcast[party].LocalAddr().String() }

// receive passes on what comes to an address to some parties, until the address is closed. What comes from nobody of
// the network is dropped.
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

// forward has a datagram arrive by the state of its direction: not at all, once or twice, now or later, from the
// address by which the receiver knows the sender.
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
			d.public[from].WriteToUDPAddrPort(data, d.listens[to]) // an error is a loss
		}
		if delay == 0 {
			send()
		} else {
			time.AfterFunc(delay, send)
		}
	}
}
