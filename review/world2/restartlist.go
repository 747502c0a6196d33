package main

import (
	"errors"
	"fmt"
	"time"
)

func init() { cases["restart-list"] = restartList }

// restartList: discovery ends in the middle of an answer and is down for 8 s; meanwhile the sender is killed and started
// again. Once discovery is back, the list is as it was, and all endpoints are up and answer.
func restartList(w *world) (verdict, error) {
	if err := w.newPlatform(20 * time.Millisecond); err != nil {
		return verdict{}, err
	}
	for i := range 4 {
		if _, err := w.listEndpoint(fmt.Sprintf("s-%d", i), 1+i/2); err != nil {
			return verdict{}, err
		}
	}
	var err error
	if w.sender, err = w.newSender(hollow()); err != nil {
		return verdict{}, err
	}
	if err := w.sender.start(); err != nil {
		return verdict{}, err
	}
	time.Sleep(1500 * time.Millisecond)
	w.submit("status", 1, 4*time.Second, []byte("before"))
	if w.trouble {
		w.platform.dieInNextAnswer()
	}
	// The watch ends within 4 s, by a change or its time.
	for range 50 {
		time.Sleep(100 * time.Millisecond)
		if !w.trouble || w.platform.isDown() {
			break
		}
	}
	if w.trouble && !w.platform.isDown() {
		return verdict{}, errors.New("discovery was asked for no answer in 5 s")
	}
	downSince := time.Now()
	time.Sleep(2500 * time.Millisecond)
	var found, after []*message
	for i := range 6 {
		found = append(found, w.submit("print-order", 1+i%2, 20*time.Second, []byte("found untried by the restart")))
	}
	time.Sleep(time.Until(downSince.Add(3 * time.Second)))
	if w.trouble {
		if err := w.sender.restart(); err != nil {
			return verdict{}, err
		}
	}
	time.Sleep(time.Until(downSince.Add(8 * time.Second)))
	if w.trouble {
		w.platform.setDown(false)
	}
	time.Sleep(6 * time.Second)
	w.rec.note("discovery has been back for 6 s, and the endpoints are up")
	for i := range 20 {
		after = append(after, w.submit("print-order", 1+i%2, 12*time.Second, []byte("after")))
		time.Sleep(250 * time.Millisecond)
	}
	time.Sleep(13 * time.Second)
	foundTaken, foundCalled, _ := w.count(found)
	taken, called, delivered := w.count(after)
	text := fmt.Sprintf("found untried by the restart: %d, called %d; handed in from 6 s after the trouble on: %d taken, %d called, %d delivered",
		foundTaken, foundCalled, taken, called, delivered)
	return verdict{foundCalled == 0 && foundTaken > 0 && called == 0 && taken >= 15, text}, nil
}

// count returns how many messages were taken on, were sent at least once, and were delivered.
func (w *world) count(list []*message) (taken, called, delivered int) {
	for _, m := range list {
		e := w.ending(m)
		if m.status == 202 {
			taken++
		}
		if e.calls > 0 {
			called++
		}
		if !e.delivered.IsZero() {
			delivered++
		}
	}
	return taken, called, delivered
}

// isDown reports whether discovery is down.
func (p *platform) isDown() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.down
}
