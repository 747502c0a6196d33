package protocol

import (
	"context"
	"net"
	"testing"
	"time"

	"cleathold/control"
	"cleathold/internal/gossip"
	"cleathold/internal/state"
)

// Gossip of peers arrives with their numbers. Datagrams of strangers, too long, cut short or of another version are
// dropped, and so are the sender's own.
func TestGossipTransport(t *testing.T) {
	open := func() *net.UDPConn {
		c, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		return c
	}
	sibling, stranger, own := open(), open(), open()
	p, err := OpenGossip("127.0.0.1:0", sibling.LocalAddr().String(),
		[]string{own.LocalAddr().String(), sibling.LocalAddr().String()}, 0, discardLog)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	posts, ended := newEventRecorder(), make(chan struct{})
	go func() { defer close(ended); p.Run(ctx, posts) }()
	to := p.conn.LocalAddr().(*net.UDPAddr)
	good := gossip.Encode([]gossip.Observation{{EndpointHash: 5, Kind: control.ObservedRejection,
		Age: 20 * time.Millisecond}})
	stranger.WriteToUDP(good, to)
	own.WriteToUDP(good, to)
	sibling.WriteToUDP(make([]byte, 2*gossip.MaxSize), to)
	sibling.WriteToUDP(good[:4], to)
	sibling.WriteToUDP([]byte{200, 1, 2, 3, 4, 5, 6}, to)
	sibling.WriteToUDP(good, to)
	h := next[state.GossipReceived](t, posts)
	if h.Peer != 1 || len(h.Observations) != 1 || h.Observations[0].EndpointHash != 5 || len(posts.events) > 0 {
		t.Errorf("heard %+v, and %d more", h, len(posts.events))
	}
	if n := p.dropped.Load(); n != 5 {
		t.Errorf("%d dropped, want 5", n)
	}
	p.SendGossip(h.Observations)
	buf := make([]byte, gossip.MaxSize)
	sibling.SetReadDeadline(time.Now().Add(10 * time.Second))
	if n, _, err := sibling.ReadFromUDP(buf); err != nil || string(buf[:n]) != string(good) {
		t.Errorf("told %x, %v", buf[:n], err)
	}
	cancel()
	<-ended
}

func TestOpenGossipErrors(t *testing.T) {
	for _, c := range []struct{ listen, all, peer string }{
		{"127.0.0.1:x", "127.0.0.1:1", "127.0.0.1:2"}, {"127.0.0.1:0", "all", "127.0.0.1:2"}, {"127.0.0.1:0", "127.0.0.1:1",
			"you"},
	} {
		if _, err := OpenGossip(c.listen, c.all, []string{c.peer}, 5, discardLog); err == nil {
			t.Errorf("%+v: no error", c)
		}
	}
}
