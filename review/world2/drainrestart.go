package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() { cases["drain-restart"] = drainRestart }

// drainRestart: the sender is drained by its second address, and is killed and started again 1 s later.
func drainRestart(w *world) (verdict, error) {
	if err := w.newPlatform(20 * time.Millisecond); err != nil {
		return verdict{}, err
	}
	_, err := w.listEndpoint("s-0", 1)
	if err != nil {
		return verdict{}, err
	}
	if w.sender, err = w.newSender(hollow()); err != nil {
		return verdict{}, err
	}
	w.sender.admin = freeAddress()
	if err := w.sender.start(); err != nil {
		return verdict{}, err
	}
	time.Sleep(time.Second)
	w.submit("status", 1, 4*time.Second, []byte("before"))
	order := w.sender.order(w.sender.admin, http.MethodPut, "/v1/sender/drain")
	drainedAt := time.Now()
	w.rec.note("drain ordered: %d", order)
	if order/100 != 2 {
		return verdict{}, fmt.Errorf("the drain was answered %d", order)
	}
	time.Sleep(time.Second)
	if w.trouble {
		if err := w.sender.restart(); err != nil {
			return verdict{}, err
		}
	}
	time.Sleep(time.Until(drainedAt.Add(4100 * time.Millisecond)))
	yes, taken := 0, 0
	for range 20 {
		status := w.sender.health()
		w.rec.note("health %d", status)
		if status == http.StatusOK {
			yes++
		}
		if w.submit("fee-payment", 1, 4*time.Second, []byte("after")).status == http.StatusAccepted {
			taken++
		}
		time.Sleep(100 * time.Millisecond)
	}
	return verdict{yes > 0, fmt.Sprintf("from 4 s after the drain on: health said yes %d times of 20, %d of 20 taken", yes, taken)}, nil
}
