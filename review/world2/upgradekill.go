package main

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"
)

func init() { cases["upgrade-kill"] = upgradeKill }

// upgradeKill: a new version is started beside the running process. While it takes over, the old process is killed.
func upgradeKill(w *world) (verdict, error) {
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
	s := w.sender
	s.admin = freeAddress()
	if err := s.start(); err != nil {
		return verdict{}, err
	}
	time.Sleep(1500 * time.Millisecond)
	// A client sends a message in pieces over 1.5 s.
	go func() {
		c, err := net.Dial("tcp", s.listen)
		if err != nil {
			return
		}
		defer c.Close()
		fmt.Fprintf(c, "POST /status HTTP/1.1\r\nHost: app.svc\r\nX-Request-Id: slow-1\r\nX-Tenant: school-bands\r\n")
		time.Sleep(1500 * time.Millisecond)
		fmt.Fprintf(c, "X-Deadline: 4.000\r\nX-Addressing: dest=1\r\nContent-Length: 1\r\n\r\nx")
		time.Sleep(300 * time.Millisecond)
	}()
	for range 20 {
		w.submit("fee-payment", 1, 8*time.Second, []byte("pay"))
	}
	old, oldEnded, oldAdmin := s.process, s.ended, s.admin
	s.admin = freeAddress()
	c, ended, err := s.launch()
	if err != nil {
		return verdict{}, err
	}
	s.process, s.ended = c, ended
	defer old.Process.Kill()
	for deadline := time.Now().Add(3 * time.Second); ; time.Sleep(2 * time.Millisecond) {
		if s.order(oldAdmin, http.MethodGet, "/v1/readyz") == http.StatusServiceUnavailable {
			break
		}
		if time.Now().After(deadline) {
			return verdict{}, errors.New("the old process was not seen to hand over")
		}
	}
	w.rec.note("the old process hands over")
	if w.trouble {
		time.Sleep(50 * time.Millisecond)
		w.rec.note("SIGKILL for the old process")
		old.Process.Kill()
		<-oldEnded
	}
	ready := false
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline) && !ready; time.Sleep(10 * time.Millisecond) {
		ready = s.order(s.admin, http.MethodGet, "/v1/readyz") == 200
	}
	crashed := false
	select {
	case <-ended:
		crashed = true
	default:
	}
	return verdict{crashed, fmt.Sprintf("the new process: ready %t, ended %t", ready, crashed)}, nil
}
