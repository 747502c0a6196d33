package netfault

import (
	"fmt"
	"net"
	"net/netip"
	"time"
)

const datagramMost = 2048

// Datagrams are the ways of the senders' notes: each party has an address of its own in the network, which the others
// know it by, and one that reaches all.
type Datagrams struct {
	n     *Net
	names []string
	real  []netip.AddrPort // where a party listens
	whose map[netip.AddrPort]int
	known []*net.UDPConn // its address in the network, for the others
	all   []*net.UDPConn // by which it reaches all
}

// UDP opens the ways between parties that listen at these addresses.
func (n *Net) UDP(host string, names, listens []string) (*Datagrams, error) {
	d := &Datagrams{n: n, names: names, whose: map[netip.AddrPort]int{}}
	for i, l := range listens {
		a, err := netip.ParseAddrPort(l)
		if err != nil {
			return nil, fmt.Errorf("fault: %w", err)
		}
		d.real = append(d.real, a)
		d.whose[a] = i
	}
	open := func() (*net.UDPConn, error) {
		c, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.ParseIP(host)})
		if err == nil && !n.keep(c) {
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
		d.known, d.all = append(d.known, k), append(d.all, a)
	}
	for i := range names {
		n.wg.Go(func() { d.listen(d.known[i], []int{i}) })
		rest := make([]int, 0, len(names))
		for k := range names {
			if k != i {
				rest = append(rest, k)
			}
		}
		n.wg.Go(func() { d.listen(d.all[i], rest) })
	}
	return d, nil
}

// Peers are the addresses in the network of all parties, by their numbers.
func (d *Datagrams) Peers() (list []string) {
	for _, c := range d.known {
		list = append(list, c.LocalAddr().String())
	}
	return list
}

// All is the address by which a party reaches all others.
func (d *Datagrams) All(party int) string { return d.all[party].LocalAddr().String() }

// listen passes what comes to an address on to parties, from the address that they know its sender by.
func (d *Datagrams) listen(c *net.UDPConn, to []int) {
	b := make([]byte, datagramMost)
	for {
		k, from, err := c.ReadFromUDPAddrPort(b)
		if err != nil {
			return
		}
		sender, known := d.whose[netip.AddrPortFrom(from.Addr().Unmap(), from.Port())]
		if !known {
			continue // of nobody here
		}
		data := append([]byte(nil), b[:k]...)
		for _, t := range to {
			d.pass(sender, t, data)
		}
	}
}

// pass has a datagram arrive, or not, once or twice, now or later.
func (d *Datagrams) pass(from, to int, data []byte) {
	w := way{d.names[from], d.names[to]}
	s, _ := d.n.state(w)
	if s.Cut || s.Silent || d.n.draw(s.Loss) {
		d.n.count(w, 0, true)
		return
	}
	times := 1
	if d.n.draw(s.Duplicate) {
		times = 2
	}
	for range times {
		after := s.Delay + d.n.between(s.Jitter)
		if d.n.draw(s.Reorder) {
			after += 10 * s.Jitter
		}
		send := func() {
			d.n.count(w, len(data), false)
			d.known[from].WriteToUDPAddrPort(data, d.real[to]) // one that can't be sent is lost
		}
		if after == 0 {
			send()
		} else {
			time.AfterFunc(after, send)
		}
	}
}
