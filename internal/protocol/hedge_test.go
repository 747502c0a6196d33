package protocol

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"cleathold/control"
	"cleathold/internal/socktest"
	"cleathold/internal/state"
)

// Where hedged requests are not allowed, a message whose call is out on an open connection is not sent again: its
// call may hold others that are awaited for longer, and all of them wait as long.
func TestNoHedgeWhileCallIsOpen(t *testing.T) {
	var mu sync.Mutex
	out := map[string]*bufferedConn{} // by message: the connection on which it came first
	repeated := make(chan string, 8)
	sock, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer sock.Close()
	go func() {
		for {
			c, err := sock.Accept()
			if err != nil {
				return
			}
			go func() {
				k := newBufferedConn(c)
				k.readLimit.N = 1 << 20
				r, err := http.ReadRequest(k.reader)
				if err != nil {
					return
				}
				body, _ := io.ReadAll(r.Body)
				ids := []string{r.Header.Get("X-Request-Id")}
				if ids[0] == "" {
					ids = batchIDs(string(body))
				}
				mu.Lock()
				defer mu.Unlock()
				for _, id := range ids {
					switch first := out[id]; {
					case first == nil:
						out[id] = k // and hangs
					case first.openWithoutInput():
						repeated <- id + " while its first copy was out"
					default:
						repeated <- id
					}
				}
				if out[ids[0]] != k {
					io.WriteString(c, socktest.Status(200))
				}
			}()
		}
	}()

	classes := []control.Class{
		{LatencyObjective: 100 * time.Millisecond, Deadline: time.Minute, PriorityWeight: 1, Idempotency: control.Idempotent},
		{LatencyObjective: 100 * time.Millisecond, Deadline: time.Minute, PriorityWeight: 1, Idempotency: control.NotIdempotent},
	}
	set := control.Settings{
		FleetSize: 1, Classes: classes, Kinds: []control.Kind{{MaxBatch: 3, SeparateRoutes: true}}, MaxInFlight: 8, MaxAttempts: 12, HeadroomIndex: -1, LimitIndex: -1,
		OverloadWindow: 2 * time.Second, WarmUp: 10 * time.Second, ColdCapacity: 0.2, OverloadFactor: 2, CanCancel: true,
	}
	var targets []state.Target // two routes to one address: the other is open at once
	for _, id := range []string{"s", "t"} {
		target := state.Target{ID: id, Addr: sock.Addr().String()}
		target.Endpoint = control.Endpoint{Destination: 7, State: control.Ready}
		targets = append(targets, target)
	}
	l, err := state.NewLoop(state.Setup{
		Settings: set, Dir: t.TempDir(), DiskBytes: 1e6, Log: discardLog,
		Known: state.ListUpdate{Kind: control.ListCached, Version: 1, Targets: targets},
	})
	if err != nil {
		t.Fatal(err)
	}
	s := NewTransport(l, time.Minute, 8, discardLog)
	l.Connect(s, noPeers{}, noPeers{})
	for i, id := range []string{"repeatable", "unrepeatable"} {
		m := &state.Message{ID: id, Class: i, Destination: 7, Deadline: time.Now().Add(time.Minute), Body: []byte("b")}
		l.Post(state.Submitted{Message: m, Response: make(chan state.Response, 1)})
		l.Post(state.ResponseWritten{ID: id, OK: true})
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { defer close(ended); l.Run(ctx) }()
	defer func() { cancel(); <-ended }()
	select {
	case id := <-repeated:
		if id != "repeatable" {
			t.Errorf("sent again: %s", id)
		}
	case <-time.After(20 * time.Second):
		t.Fatal("the repeatable message was not sent again")
	}
}
