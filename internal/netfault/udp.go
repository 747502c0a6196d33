package netfault

import (
	"fmt"
	"net"
	"net/netip"
	"time"
)

const maxDatagramBytes = 2048

// Datagrams are the ways of the senders' notes: each party has an address of its own in the network, which the others
// know it by, and one that reaches all.
type Datagrams struct {
	network   *Net
	names     []string
	listens   []netip.AddrPort // where a party listens
	parties   map[netip.AddrPort]int
	public    []*net.UDPConn // its address in the network, for the others
	broadcast []*net.UDPConn // by which it reaches all
}

// UDP opens the ways between parties that listen at these addresses.
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
	open := func() (*net.UDPConn, error) {
		c, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.ParseIP(host)})
		if err == nil && !n.track(c) {
			err = net.ErrClosed
		}
		return c, err
	}
	for range names {
		k, err := open()
		if err != nil {
			return nil, err
		}
		a, err := open()
		if err != nil {
			return nil, err
		}
		d.public, d.broadcast = append(d.public, k), append(d.broadcast, a)
	}
	for i := range names {
		n.wg.Go(func() { d.receive(d.public[i], []int{i}) })
		rest := make([]int, 0, len(names))
		for k := range names {
			if k != i {
				rest = append(rest, k)
			}
		}
		n.wg.Go(func() { d.receive(d.broadcast[i], rest) })
	}
	return d, nil
}

// Peers are the addresses in the network of all parties, by their numbers.
func (d *Datagrams) Peers() (list []string) {
	for _, c := range d.public {
		list = append(list, c.LocalAddr().String())
	}
	return list
}

// All is the address by which a party reaches all others.
func (d *Datagrams) All(party int) string { return d.broadcast[party].LocalAddr().String() }

// receive passes what comes to an address on to parties, from the address that they know its sender by.
func (d *Datagrams) receive(c *net.UDPConn, to []int) {
	b := make([]byte, maxDatagramBytes)
	for {
		k, from, err := c.ReadFromUDPAddrPort(b)
		if err != nil {
			return
		}
		sender, known := d.parties[netip.AddrPortFrom(from.Addr().Unmap(), from.Port())]
		if !known {
			continue // of nobody here
		}
		data := append([]byte(nil), b[:k]...)
		for _, t := range to {
			d.forward(sender, t, data)
		}
	}
}

// forward has a datagram arrive, or not, once or twice, now or later.
func (d *Datagrams) forward(from, to int, data []byte) {
	w := direction{d.names[from], d.names[to]}
	s, _ := d.network.currentState(w)
	if s.Cut || s.Silent || d.network.chance(s.Loss) {
		d.network.recordPassed(w, 0, true)
		return
	}
	times := 1
	if d.network.chance(s.Duplicate) {
		times = 2
	}
	for range times {
		after := s.Delay + d.network.randomDelay(s.Jitter)
		if d.network.chance(s.Reorder) {
			after += 10 * s.Jitter
		}
		send := func() {
			d.network.recordPassed(w, len(data), false)
			d.public[from].WriteToUDPAddrPort(data, d.listens[to]) // one that can't be sent is lost
		}
		if after == 0 {
			send()
		} else {
			time.AfterFunc(after, send)
		}
	}
}
