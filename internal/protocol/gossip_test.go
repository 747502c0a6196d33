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

// TestGossipTransport checks that gossip of peers is posted with their numbers, and that datagrams from the sender
// itself, from unknown addresses, too long, truncated or of another version are dropped.
func TestGossipTransport(t *testing.T) {
	open := func() *net.UDPConn {
		c, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		return c
	}
	peer, stranger, own := open(), open(), open()
	transport, err := OpenGossip("127.0.0.1:0", peer.LocalAddr().String(),
		[]string{own.LocalAddr().String(), peer.LocalAddr().String()}, 0, discardLog)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	recorder, ended := newEventRecorder(), make(chan struct{})
	go func() { defer close(ended); transport.Run(ctx, recorder) }()
	to := transport.conn.LocalAddr().(*net.UDPAddr)
	valid := gossip.Encode([]gossip.Observation{{EndpointHash: 5, Kind: control.ObservedRejection,
		Age: 20 * time.Millisecond}})
	stranger.WriteToUDP(valid, to)
	own.WriteToUDP(valid, to)
	peer.WriteToUDP(make([]byte, 2*gossip.MaxSize), to)
	peer.WriteToUDP(valid[:4], to)
	peer.WriteToUDP([]byte{200, 1, 2, 3, 4, 5, 6}, to)
	peer.WriteToUDP(valid, to)
	received := next[state.GossipReceived](t, recorder)
	if received.Peer != 1 || len(received.Observations) != 1 || received.Observations[0].EndpointHash != 5 ||
		len(recorder.events) > 0 {
		t.Errorf("received %+v, and %d more events", received, len(recorder.events))
	}
	if n := transport.dropped.Load(); n != 5 {
		t.Errorf("%d dropped, want 5", n)
	}
	transport.SendGossip(received.Observations)
	buf := make([]byte, gossip.MaxSize)
	peer.SetReadDeadline(time.Now().Add(10 * time.Second))
	if n, _, err := peer.ReadFromUDP(buf); err != nil || string(buf[:n]) != string(valid) {
		t.Errorf("sent %x, %v", buf[:n], err)
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
