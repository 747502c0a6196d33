package main

import (
	"bufio"
	"crypto/rand"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// A world holds the stand-ins of a case: the platform, endpoints and clients, and what they have seen.
type world struct {
	rec       *recorder
	root, dir string
	trouble   bool
	platform  *platform
	sender    *sender

	mu       sync.Mutex
	messages map[string]*message
	served   map[string][]*served // by message
}

// A message is one hand-in by a client.
type message struct {
	id, key, class string
	dest           int
	sentAt         time.Time
	deadline       time.Duration
	status         int // of the answer; 0: none
}

// took notes the messages of a call that an endpoint took.
func (w *world) took(list []*served) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, s := range list {
		w.served[s.id] = append(w.served[s.id], s)
	}
}

// delivered notes that an endpoint has answered a call with 200.
func (w *world) delivered(list []*served, at time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, s := range list {
		s.delivered = at
	}
}

// submit hands a message in on a connection of its own, and waits 400 ms for the answer.
func (w *world) submit(class string, dest int, deadline time.Duration, body []byte) *message {
	m := &message{id: rand.Text()[:16], class: class, dest: dest, deadline: deadline}
	if class == "print-order" {
		m.key = rand.Text()
	}
	w.mu.Lock()
	w.messages[m.id] = m
	w.mu.Unlock()
	m.sentAt = time.Now()
	status, err := w.exchange(m, body)
	w.mu.Lock()
	m.status = status
	w.mu.Unlock()
	w.rec.note("client handed in %s %s dest %d for %v: %d %v", m.id, class, dest, deadline, status, err)
	return m
}

// exchange sends a message and returns the status of the answer.
func (w *world) exchange(m *message, body []byte) (int, error) {
	c, err := net.DialTimeout("tcp", w.sender.listen, 400*time.Millisecond)
	if err != nil {
		return 0, err
	}
	defer c.Close()
	c.SetDeadline(m.sentAt.Add(400 * time.Millisecond))
	head := "POST /" + m.class + " HTTP/1.1\r\nHost: app.svc\r\nX-Request-Id: " + m.id + "\r\nX-Tenant: school-bands\r\n" +
		"X-Deadline: " + strconv.FormatFloat(m.deadline.Seconds(), 'f', 3, 64) + "\r\n"
	if m.key != "" {
		head += "Idempotency-Key: " + m.key + "\r\n"
	}
	head += fmt.Sprintf("Connection: close\r\nContent-Length: %d\r\nX-Addressing: dest=%d\r\n\r\n", len(body), m.dest)
	if _, err := c.Write(append([]byte(head), body...)); err != nil {
		return 0, err
	}
	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, err
	}
	return r.StatusCode, nil
}

// An ending is how a message ended, as the endpoints saw it.
type ending struct {
	delivered time.Time
	calls     int // that were sent with it
	effects   int // how often it ran
}

func (w *world) ending(m *message) ending {
	var e ending
	w.mu.Lock()
	for _, s := range w.served[m.id] {
		e.calls++
		if s.ran {
			e.effects++
		}
		if !s.delivered.IsZero() && (e.delivered.IsZero() || s.delivered.Before(e.delivered)) {
			e.delivered = s.delivered
		}
	}
	w.mu.Unlock()
	return e
}

// others starts the endpoints of four more destinations, 2 to 5.
func (w *world) others() error {
	for dest := 2; dest <= 5; dest++ {
		if _, err := w.listEndpoint(fmt.Sprintf("s-other-%d", dest), dest); err != nil {
			return err
		}
	}
	return nil
}

// traffic hands in a message for one of the other destinations every 150 ms until stop is called.
func (w *world) traffic() (stop func()) {
	done, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		for i := 0; ; i++ {
			select {
			case <-done:
				return
			case <-time.After(150 * time.Millisecond):
				w.submit("print-order", 2+i%4, 8*time.Second, []byte("other traffic"))
			}
		}
	}()
	return func() { close(done); <-ended }
}

// share returns the percentage of the messages handed in so far that were for a destination.
func (w *world) share(dest int) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for _, m := range w.messages {
		if m.dest == dest {
			n++
		}
	}
	return 100 * n / max(1, len(w.messages))
}
