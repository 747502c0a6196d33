package netfault

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// startEchoServer starts a server that sends back what it reads, and returns its address.
func startEchoServer(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() { defer c.Close(); io.Copy(c, c) }()
		}
	}()
	return l.Addr().String()
}

// A lineConn is a connection that exchanges lines.
type lineConn struct {
	t *testing.T
	net.Conn
	reader *bufio.Reader
}

func dial(t *testing.T, addr string) *lineConn {
	t.Helper()
	c, err := net.Dial("tcp4", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return &lineConn{t, c, bufio.NewReader(c)}
}

// exchange sends a line and reads the echo within a timeout.
func (l *lineConn) exchange(text string, timeout time.Duration) error {
	l.SetDeadline(time.Now().Add(timeout))
	if _, err := fmt.Fprintln(l, text); err != nil {
		return err
	}
	got, err := l.reader.ReadString('\n')
	if err == nil && got != text+"\n" {
		l.t.Errorf("sent %q, received %q", text, got)
	}
	return err
}

func isTimeout(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }

// TestTCP checks a connection with faults in each direction: data that is sent while a direction is silent arrives when
// it is healed, a cut resets the connection and later ones, and a delay applies in both directions.
func TestTCP(t *testing.T) {
	n := New(1)
	defer n.Close()
	addr, err := n.TCP("a", "b", "127.0.0.1", startEchoServer(t))
	if err != nil {
		t.Fatal(err)
	}
	const soon, long = 50 * time.Millisecond, 20 * time.Second
	for _, silent := range [][2]string{{"a", "b"}, {"b", "a"}} {
		c := dial(t, addr)
		if err := c.exchange("one", long); err != nil {
			t.Fatal(err)
		}
		n.Set(silent[0], silent[1], State{Silent: true})
		if err := c.exchange("two", soon); !isTimeout(err) {
			t.Errorf("silent from %s: %v", silent[0], err)
		}
		n.Heal()
		c.SetDeadline(time.Now().Add(long))
		if got, err := c.reader.ReadString('\n'); got != "two\n" || err != nil {
			t.Errorf("healed: %q, %v", got, err)
		}
	}
	c := dial(t, addr)
	c.exchange("one", long)
	n.Set("b", "a", State{Cut: true})
	if err := c.exchange("two", long); err == nil || isTimeout(err) {
		t.Errorf("cut: %v", err)
	}
	n.Set("a", "b", State{Cut: true})
	// The reset may occur while the kernel is still connecting.
	if c, err := net.Dial("tcp4", addr); err == nil {
		l := &lineConn{t, c, bufio.NewReader(c)}
		if err := l.exchange("one", long); err == nil || isTimeout(err) {
			t.Errorf("a new connection during the cut: %v", err)
		}
		c.Close()
	}
	n.SetBoth("a", "b", State{Delay: 30 * time.Millisecond})
	began := time.Now()
	if err := dial(t, addr).exchange("one", long); err != nil || time.Since(began) < 60*time.Millisecond {
		t.Errorf("slow: %v after %v", err, time.Since(began))
	}
}

// udpParties are three parties n0 to n2 that exchange datagrams through a network.
type udpParties struct {
	t         *testing.T
	network   *Net
	datagrams *Datagrams
	conns     []*net.UDPConn
}

func newUDPParties(t *testing.T) *udpParties {
	t.Helper()
	p := &udpParties{t: t, network: New(1)}
	t.Cleanup(p.network.Close)
	var names, listens []string
	for i := range 3 {
		c, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		p.conns, names = append(p.conns, c), append(names, fmt.Sprint("n", i))
		listens = append(listens, c.LocalAddr().String())
	}
	var err error
	if p.datagrams, err = p.network.UDP("127.0.0.1", names, listens); err != nil {
		t.Fatal(err)
	}
	return p
}

// send sends text from a party to an address.
func (p *udpParties) send(from int, to, text string) {
	a, _ := net.ResolveUDPAddr("udp4", to)
	p.conns[from].WriteTo([]byte(text), a)
}

// receive returns the next datagram that a party receives, prefixed with the number of its sender; the empty string if
// none arrives before the timeout.
func (p *udpParties) receive(at int, timeout time.Duration) string {
	b := make([]byte, 100)
	p.conns[at].SetReadDeadline(time.Now().Add(timeout))
	k, from, err := p.conns[at].ReadFrom(b)
	if err != nil {
		return ""
	}
	for i, peer := range p.datagrams.Peers() {
		if peer == from.String() {
			return fmt.Sprintf("%d:%s", i, b[:k])
		}
	}
	return "unknown sender"
}

// TestUDP checks that datagrams arrive from the public address of their sender, and that they are lost or duplicated
// according to the state of their direction.
func TestUDP(t *testing.T) {
	p := newUDPParties(t)
	n, d := p.network, p.datagrams
	const soon, long = 50 * time.Millisecond, 20 * time.Second
	p.send(0, d.All(0), "x")
	if a, b, c := p.receive(1, long), p.receive(2, long), p.receive(0, soon); a != "0:x" || b != "0:x" || c != "" {
		t.Errorf("to all: %q, %q, and back at the sender %q", a, b, c)
	}
	p.send(2, d.Peers()[1], "y")
	if a, c := p.receive(1, long), p.receive(0, soon); a != "2:y" || c != "" {
		t.Errorf("to one: %q, at another %q", a, c)
	}
	n.Set("n0", "n1", State{Cut: true})
	p.send(0, d.All(0), "x")
	if a, b := p.receive(2, long), p.receive(1, soon); a != "0:x" || b != "" {
		t.Errorf("cut one way: %q, %q", a, b)
	}
	p.send(1, d.Peers()[0], "back")
	if a := p.receive(0, long); a != "1:back" {
		t.Errorf("opposite direction: %q", a)
	}
	n.Heal()
	n.Set("n0", "n1", State{Duplicate: 1})
	p.send(0, d.Peers()[1], "x")
	if a, b := p.receive(1, long), p.receive(1, long); a != "0:x" || b != "0:x" {
		t.Errorf("duplicated: %q, %q", a, b)
	}
}

// TestUDPLoss checks that datagrams are lost with the configured probability, and that all others arrive.
func TestUDPLoss(t *testing.T) {
	p := newUDPParties(t)
	n, d := p.network, p.datagrams
	const long = 20 * time.Second
	n.Set("n0", "n1", State{Loss: 0.5})
	// Datagrams are sent one at a time: a socket's buffer holds fewer than 400 datagrams, and the kernel would silently
	// drop the others.
	c := n.Counts("n0", "n1")
	previous, previouslyPassed := c.Chunks+c.Lost, c.Chunks
	for i := range int64(400) {
		p.send(0, d.Peers()[1], "x")
		for until := time.Now().Add(long); c.Chunks+c.Lost <= previous+i; c = n.Counts("n0", "n1") {
			if time.Now().After(until) {
				t.Fatalf("datagram %d neither passed nor is lost", i)
			}
			time.Sleep(50 * time.Microsecond)
		}
		if c.Chunks > previouslyPassed {
			previouslyPassed = c.Chunks
			if p.receive(1, long) == "" {
				t.Fatalf("datagram %d passed and did not arrive", i)
			}
		}
	}
	if c.Lost < 140 || c.Lost > 260 {
		t.Errorf("half lost: %+v", c)
	}
}

// TestBlock checks that two blocks have no address in common and that their hosts can be bound at the same time.
func TestBlock(t *testing.T) {
	a, err := NewBlock()
	if err != nil {
		t.Fatal(err)
	}
	defer a.Close()
	b, err := NewBlock()
	if err != nil {
		t.Fatal(err)
	}
	defer b.Close()
	for _, host := range []string{a.Host(2), a.Host(3), b.Host(2)} {
		l, err := net.Listen("tcp4", host+":8080")
		if err != nil {
			t.Fatal(err)
		}
		defer l.Close()
	}
}
