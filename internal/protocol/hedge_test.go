package protocol

import (
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"cleathold/control"
	"cleathold/internal/httpconn"
	"cleathold/internal/socktest"
	"cleathold/internal/state"
)

// TestNoHedgeWhileCallIsOpen checks that without hedged requests a message is not sent again while its call is in
// flight on an open connection. The call may contain other messages with later deadlines, and all of them wait as long.
func TestNoHedgeWhileCallIsOpen(t *testing.T) {
	repeated := make(chan string, 8)
	addr := serveRepeatsOnly(t, repeated)
	classes := []control.Class{
		{LatencyObjective: 100 * time.Millisecond, Deadline: time.Minute, PriorityWeight: 1, Idempotency: control.Idempotent},
		{LatencyObjective: 100 * time.Millisecond, Deadline: time.Minute, PriorityWeight: 1,
			Idempotency: control.NotIdempotent},
	}
	set := control.Settings{
		FleetSize: 1, Classes: classes, Kinds: []control.Kind{{MaxBatch: 3, SeparateRoutes: true}},
		MaxInFlight: 8, MaxAttempts: 12, HeadroomIndex: -1, LimitIndex: -1,
		OverloadWindow: 2 * time.Second, WarmUp: 10 * time.Second, ColdCapacity: 0.2, OverloadFactor: 2, CanCancel: true,
	}
	var targets []state.Target // two routes to one address, so that the second is available at once
	for _, id := range []string{"s", "t"} {
		target := state.Target{ID: id, Addr: addr}
		target.Endpoint = control.Endpoint{Destination: 7, State: control.Ready}
		targets = append(targets, target)
	}
	l, err := state.NewLoop(state.Setup{
		Settings: set, Dir: t.TempDir(), MaxDiskBytes: 1e6, Log: discardLog,
		InitialList: state.ListUpdate{Kind: control.ListCached, Version: 1, Targets: targets},
	})
	if err != nil {
		t.Fatal(err)
	}
	transport := NewTransport(l, discardLog)
	l.Connect(transport, silentServices{}, silentServices{})
	for i, id := range []string{"repeatable", "unrepeatable"} {
		m := &state.Message{ID: id, Class: i, Destination: 7, Deadline: time.Now().Add(time.Minute), Body: []byte("b")}
		l.Post(state.Submitted{Message: m, Response: make(chan state.Response, 1)})
		l.Post(state.ResponseWritten{ID: id, OK: true})
	}
	runUntilEnd(t, l.Run)
	select {
	case id := <-repeated:
		if id != "repeatable" {
			t.Errorf("sent again: %s", id)
		}
	case <-time.After(20 * time.Second):
		t.Fatal("the repeatable message was not sent again")
	}
}

// serveRepeatsOnly starts an endpoint that never responds to the first copy of a message but responds to later ones. It
// sends the ID of each repeated message to repeated, and whether its first copy was still in flight.
func serveRepeatsOnly(t *testing.T, repeated chan<- string) (addr string) {
	var mu sync.Mutex
	first := map[string]*httpconn.Conn{} // connection of the first copy, by message ID
	return socktest.Accept(t, func(_ int, conn *net.TCPConn) {
		c := httpconn.New(conn)
		c.ReadLimit.N = 1 << 20
		r, err := http.ReadRequest(c.Reader)
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
			switch before := first[id]; {
			case before == nil:
				first[id] = c // no response
			case before.OpenWithoutInput():
				repeated <- id + " while its first copy was in flight"
			default:
				repeated <- id
			}
		}
		if first[ids[0]] != c {
			io.WriteString(conn, socktest.Status(200))
		}
	})
}
