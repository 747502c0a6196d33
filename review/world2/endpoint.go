package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// A behavior is what an endpoint does with a call.
type behavior struct {
	after  time.Duration // time from the last byte of the call to its answer
	status int           // of the answer
}

// usual is the behavior of an endpoint of usual pace without trouble: print-order takes 180 to 310 ms there.
var usual = behavior{after: 250 * time.Millisecond, status: http.StatusOK}

// A served is one message of a call that an endpoint took.
type served struct {
	id, key   string
	endpoint  string
	cell      int
	at        time.Time // the last byte of the call
	ran       bool
	delivered time.Time // the answer 200 was written; zero: it was not
}

// An endpoint is a stand-in for one endpoint of a partner system.
type endpoint struct {
	world    *world
	id       string
	cell     int
	listener net.Listener
	addr     string

	mu      sync.Mutex
	does    behavior
	healthy bool // what /ping answers
}

// newEndpoint starts an endpoint of a destination.
func (w *world) newEndpoint(id string, cell int) (*endpoint, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	return w.adopt(id, cell, l), nil
}

// listEndpoint starts an endpoint and has discovery list it.
func (w *world) listEndpoint(id string, cell int) (*endpoint, error) {
	e, err := w.newEndpoint(id, cell)
	if err == nil {
		w.platform.set(id, cell, e.addr, "up")
	}
	return e, err
}

// adopt has an endpoint serve a listener.
func (w *world) adopt(id string, cell int, l net.Listener) *endpoint {
	e := &endpoint{world: w, id: id, cell: cell, listener: l, addr: l.Addr().String(), healthy: true, does: usual}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go e.handle(c)
		}
	}()
	return e
}

// behave sets what the endpoint does with calls from now on.
func (e *endpoint) behave(healthy bool, b behavior) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.healthy, e.does = healthy, b
}

func (e *endpoint) handle(c net.Conn) {
	defer c.Close()
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, 1<<20))
	if err != nil || int64(len(body)) != r.ContentLength && r.ContentLength > 0 {
		return
	}
	now := time.Now()
	if r.URL.Path == "/ping" {
		e.mu.Lock()
		healthy := e.healthy
		e.mu.Unlock()
		status := http.StatusServiceUnavailable
		if healthy {
			status = http.StatusOK
		}
		e.world.rec.note("probe at %s answered %d", e.id, status)
		answer(c, status, nil)
		return
	}
	var list []*served
	batch := r.URL.Path == "/receive-many"
	if batch {
		list = parseBatch(body)
	} else {
		list = []*served{{id: r.Header.Get("X-Request-Id"), key: r.Header.Get("Idempotency-Key")}}
	}
	ids := make([]string, len(list))
	for i, s := range list {
		s.endpoint, s.cell, s.at = e.id, e.cell, now
		ids[i] = s.id
	}
	e.mu.Lock()
	b := e.does
	e.mu.Unlock()
	ran := b.status != http.StatusServiceUnavailable && b.status != http.StatusTooManyRequests
	for _, s := range list {
		s.ran = ran
	}
	e.world.took(list)
	e.world.rec.note("call at %s %s: ran %t, answer %d after %v", e.id, strings.Join(ids, " "), ran, b.status, b.after)
	time.Sleep(b.after)
	var text strings.Builder
	if batch && b.status == http.StatusOK {
		for _, id := range ids {
			fmt.Fprintf(&text, "%s delivered\r\n", id)
		}
	}
	answer(c, b.status, []byte(text.String()))
	if b.status == http.StatusOK {
		e.world.delivered(list, time.Now())
	}
}

// parseBatch reads the messages of a call with several.
func parseBatch(body []byte) []*served {
	var list []*served
	for len(body) > 0 {
		line, rest, found := strings.Cut(string(body), "\r\n")
		words := strings.Fields(line)
		if !found || len(words) != 3 {
			return list
		}
		n, err := strconv.Atoi(words[2])
		if err != nil || n+2 > len(rest) {
			return list
		}
		key := words[1]
		if key == "-" {
			key = ""
		}
		list = append(list, &served{id: words[0], key: key})
		body = []byte(rest[n+2:])
	}
	return list
}
