package main

import (
	"fmt"
	"net"
	"time"
)

func init() { cases["address-reused"] = addressReused }

// addressReused: the endpoint of destination 1 refuses connections for 7 s and is replaced by one with another address. Its own
// address is taken by a new endpoint of destination 2. Between the two, the sender is killed and started again.
func addressReused(w *world) (verdict, error) {
	if err := w.newPlatform(60 * time.Millisecond); err != nil {
		return verdict{}, err
	}
	old, err := w.listEndpoint("s-old", 1)
	if err != nil {
		return verdict{}, err
	}
	if err := w.others(); err != nil {
		return verdict{}, err
	}
	if w.sender, err = w.newSender(hollow()); err != nil {
		return verdict{}, err
	}
	if err := w.sender.start(); err != nil {
		return verdict{}, err
	}
	defer w.traffic()()
	time.Sleep(1500 * time.Millisecond)
	w.submit("fee-payment", 1, 8*time.Second, []byte("before"))
	time.Sleep(500 * time.Millisecond)
	w.rec.note("s-old refuses connections")
	old.listener.Close()
	for range 7 {
		w.submit("fee-payment", 1, 16*time.Second, []byte("for destination 1"))
		time.Sleep(time.Second)
	}
	share := w.share(1)
	restarted := make(chan error, 1)
	if w.trouble {
		go func() { restarted <- w.sender.restart() }()
	} else {
		restarted <- nil
	}
	// While the sender is down, s-old leaves the list, and its address is taken.
	time.Sleep(150 * time.Millisecond)
	w.platform.set(old.id, 1, old.addr, "removed")
	if _, err := w.listEndpoint("s-new", 1); err != nil {
		return verdict{}, err
	}
	time.Sleep(250 * time.Millisecond)
	l, err := net.Listen("tcp", old.addr)
	if err != nil {
		return verdict{}, fmt.Errorf("the address was taken by another process: %w", err)
	}
	w.adopt("s-taker", 2, l)
	w.platform.set("s-taker", 2, old.addr, "up")
	if err := <-restarted; err != nil {
		return verdict{}, err
	}
	time.Sleep(5 * time.Second)
	foreign := 0
	w.mu.Lock()
	for id, calls := range w.served {
		for _, s := range calls {
			if m := w.messages[id]; m != nil && m.dest != s.cell {
				foreign++
				w.rec.note("%s for destination %d was sent to %s of destination %d", id, m.dest, s.endpoint, s.cell)
			}
		}
	}
	w.mu.Unlock()
	return verdict{foreign > 0, fmt.Sprintf("%d messages were sent to an endpoint of another destination; destination 1 had %d%% of the traffic",
		foreign, share)}, nil
}
