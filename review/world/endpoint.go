package world

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// A Message is one message of a call as an endpoint reads it.
type Message struct {
	ID, Key string
	Bytes   int
}

// A Call is one call, or one probe, that an endpoint has read to its last byte.
type Call struct {
	First    time.Time // when its head had been read
	At       time.Time // when its last byte had been read
	From     string
	Probe    bool
	Single   bool // the call came as /receive
	Messages []Message
	Gone     <-chan struct{} // closed when the sender has closed the connection
}

// IDs returns the ids of the messages of a call.
func (c *Call) IDs() string {
	list := make([]string, len(c.Messages))
	for i, m := range c.Messages {
		list[i] = m.ID
	}
	return strings.Join(list, ",")
}

// An Answer is what an endpoint answers to a call. The zero value stands for 200 with all messages delivered.
type Answer struct {
	Status     int           // 0: 200
	RetryAfter time.Duration // 0: none
	Silent     bool          // no answer; the connection stays open until the sender closes it
}

// An Endpoint is a stand-in of one endpoint of a partner system.
type Endpoint struct {
	ID, Zone, Kind string
	Cell           int
	Weight         float64
	Addr           string

	world  *World
	answer func(*Call) Answer
	server *http.Server

	mu    sync.Mutex
	calls []*Call
	done  []Delivery
	now   int // calls that are open now
	most  int // the largest number of calls that were open at once
}

// NewEndpoint starts an endpoint at a free port. The function decides on each answer, and may sleep for the time that
// the work takes.
func (w *World) NewEndpoint(id string, cell int, kind, zone string, weight float64, answer func(*Call) Answer) (
	*Endpoint, error,
) {
	addr, err := FreeAddr()
	if err != nil {
		return nil, err
	}
	return w.NewEndpointAt(addr, id, cell, kind, zone, weight, answer)
}

// NewEndpointAt starts an endpoint at an address, which another one may have had before.
func (w *World) NewEndpointAt(addr, id string, cell int, kind, zone string, weight float64, answer func(*Call) Answer) (
	*Endpoint, error,
) {
	l, err := net.Listen("tcp4", addr)
	if err != nil {
		return nil, err
	}
	e := &Endpoint{ID: id, Cell: cell, Kind: kind, Zone: zone, Weight: weight, Addr: addr, world: w, answer: answer}
	e.server = &http.Server{Handler: http.HandlerFunc(e.serve), IdleTimeout: 15 * time.Second}
	go e.server.Serve(l)
	return e, nil
}

// A Delivery is a message that an endpoint has answered as delivered.
type Delivery struct {
	ID string
	At time.Time // when the answer was written
}

// Delivered returns the deliveries so far.
func (e *Endpoint) Delivered() []Delivery {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Delivery(nil), e.done...)
}

// Close ends the endpoint: its connections are closed and new ones refused.
func (e *Endpoint) Close() { e.server.Close() }

// Calls returns what the endpoint has read so far.
func (e *Endpoint) Calls() []*Call {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]*Call(nil), e.calls...)
}

// Most returns the largest number of calls that were open at once.
func (e *Endpoint) Most() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.most
}

func (e *Endpoint) enter(c *Call) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.calls = append(e.calls, c)
	e.now++
	e.most = max(e.most, e.now)
}

func (e *Endpoint) leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.now--
}

func (e *Endpoint) serve(out http.ResponseWriter, r *http.Request) {
	first := time.Now()
	body, err := io.ReadAll(http.MaxBytesReader(out, r.Body, 1<<20))
	if err != nil {
		return
	}
	c := &Call{First: first, At: time.Now(), From: r.RemoteAddr, Gone: r.Context().Done()}
	switch {
	case r.Method == http.MethodGet && (r.URL.Path == "/ping" || r.URL.Path == "/_load"):
		c.Probe = true
	case r.Method == http.MethodPost && r.URL.Path == "/receive":
		c.Single = true
		c.Messages = []Message{{r.Header.Get("X-Request-Id"), r.Header.Get("Idempotency-Key"), len(body)}}
	case r.Method == http.MethodPost && r.URL.Path == "/receive-many":
		if c.Messages, err = readMany(body); err != nil {
			e.world.Note("endpoint %s: 400: %v", e.ID, err)
			http.Error(out, err.Error(), http.StatusBadRequest)
			return
		}
	default:
		http.NotFound(out, r)
		return
	}
	e.enter(c)
	defer e.leave()
	a := e.answer(c)
	what := "call " + c.IDs()
	if c.Probe {
		what = "probe"
	}
	if a.Silent {
		e.world.NoteAt(c.At, "endpoint %s read %s, answers nothing", e.ID, what)
		<-c.Gone
		e.world.Note("endpoint %s: sender closed the connection of %s", e.ID, what)
		return
	}
	if a.Status == 0 {
		a.Status = http.StatusOK
	}
	if a.RetryAfter > 0 {
		out.Header().Set("Retry-After", strconv.FormatFloat(a.RetryAfter.Seconds(), 'f', 3, 64))
	}
	e.world.NoteAt(c.At, "endpoint %s read %s, answers %d after %v", e.ID, what, a.Status,
		time.Since(c.At).Round(time.Millisecond))
	out.WriteHeader(a.Status)
	if a.Status == http.StatusOK && !c.Single && !c.Probe {
		for _, m := range c.Messages {
			fmt.Fprintf(out, "%s delivered\n", m.ID)
		}
	}
	if a.Status == http.StatusOK {
		e.mu.Lock()
		defer e.mu.Unlock()
		for _, m := range c.Messages {
			e.done = append(e.done, Delivery{m.ID, time.Now()})
		}
	}
}

// readMany reads the body of a call with several messages.
func readMany(body []byte) (list []Message, err error) {
	for len(body) > 0 {
		head, rest, found := strings.Cut(string(body), "\r\n")
		words := strings.Fields(head)
		if !found || len(words) != 3 {
			return nil, fmt.Errorf("message line %.40q", head)
		}
		n, err := strconv.Atoi(words[2])
		if err != nil || n < 0 || n+2 > len(rest) || rest[n:n+2] != "\r\n" {
			return nil, fmt.Errorf("message length %q", words[2])
		}
		list = append(list, Message{words[0], words[1], n})
		body = []byte(rest[n+2:])
	}
	return list, nil
}
