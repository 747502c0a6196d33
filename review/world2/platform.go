package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// A member is an entry of discovery's list, in the form of PROTOCOL.
type member struct {
	ID      string  `json:"id"`
	Addr    string  `json:"addr"`
	Zone    string  `json:"zone"`
	Kind    string  `json:"kind"`
	Cell    int     `json:"cell"`
	State   string  `json:"state"`
	Weight  float64 `json:"weight"`
	Started int64   `json:"started_ms"`

	changed int64 // version of its latest change
}

type memberList struct {
	Version int64    `json:"version"`
	Full    bool     `json:"full"`
	Servers []member `json:"servers"`
}

// A platform is a stand-in for discovery and for the address that takes notices. It listens on one address. Each
// connection carries one request, as the sender asks for.
type platform struct {
	rec     *recorder
	addr    string
	latency time.Duration // from a call for the list to its answer

	mu      sync.Mutex
	changed chan struct{}
	version int64
	members []member // with removed ones
	down    bool
	dying   bool // the next answer to a watch is cut off within its head, and discovery is down from then on
	watches map[net.Conn]bool
	process int        // counts the processes of the sender: what is written to one that has ended is not told
	last    memberList // the list as the sender last held it
}

// newPlatform starts the platform of a world. Discovery takes the given time for an answer.
func (w *world) newPlatform(latency time.Duration) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	p := &platform{
		rec: w.rec, addr: l.Addr().String(), latency: latency, changed: make(chan struct{}), version: 40,
		watches: map[net.Conn]bool{},
	}
	go p.serve(l)
	w.platform = p
	return nil
}

func (p *platform) serve(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go p.handle(c)
	}
}

// set adds or changes an entry.
func (p *platform) set(id string, cell int, addr, state string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.version++
	m := member{ID: id, Addr: addr, Zone: "bldg-a", Kind: "small-partners", Cell: cell, State: state, Weight: 20, changed: p.version}
	for i := range p.members {
		if p.members[i].ID == m.ID {
			p.members[i] = m
			p.announce(m)
			return
		}
	}
	p.members = append(p.members, m)
	p.announce(m)
}

func (p *platform) announce(m member) {
	p.rec.note("list %d: %s cell %d at %s is %s", p.version, m.ID, m.Cell, m.Addr, m.State)
	close(p.changed)
	p.changed = make(chan struct{})
}

// setDown takes discovery down, which ends watches, or brings it back.
func (p *platform) setDown(down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.takeDown(down)
}

func (p *platform) takeDown(down bool) {
	p.down, p.dying = down, false
	p.rec.note("discovery is down: %t", down)
	if down {
		for c := range p.watches {
			reset(c)
		}
		clear(p.watches)
	}
	close(p.changed)
	p.changed = make(chan struct{})
}

// dieInNextAnswer has discovery end in the middle of the next answer that it writes to a watch.
func (p *platform) dieInNextAnswer() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dying = true
	p.rec.note("discovery will end in the middle of its next answer")
}

// dropWatches ends the watches of a process that has ended: nothing that is written to them is told.
func (p *platform) dropWatches() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.watches {
		c.Close()
	}
	clear(p.watches)
	p.process++
}

// list returns the whole list, or the changes after a version.
func (p *platform) list(since int64, full bool) memberList {
	l := memberList{Version: p.version, Full: full, Servers: []member{}}
	for _, m := range p.members {
		if full && m.State != "removed" || !full && m.changed > since {
			l.Servers = append(l.Servers, m)
		}
	}
	return l
}

// known returns the list as the sender last held it.
func (p *platform) known() memberList {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.last.Servers == nil { // the first start
		p.last = p.list(0, true)
	}
	return p.last
}

func (p *platform) handle(c net.Conn) {
	defer c.Close()
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	switch {
	case r.Method == http.MethodPost && r.URL.Path == "/status":
		p.takeNotices(c, r)
	case r.Method == http.MethodGet && r.URL.Path == "/catalog/members":
		p.answerList(c, r)
	default:
		answer(c, http.StatusNotFound, nil)
	}
}

func (p *platform) takeNotices(c net.Conn, r *http.Request) {
	body := make([]byte, max(0, r.ContentLength))
	if _, err := io.ReadFull(r.Body, body); err != nil {
		return
	}
	p.mu.Lock()
	for line := range strings.Lines(string(body)) {
		var n struct{ ID, Status string }
		if json.Unmarshal([]byte(line), &n) != nil {
			p.mu.Unlock()
			answer(c, http.StatusBadRequest, nil)
			return
		}
		p.rec.note("notice %s %s", n.ID, n.Status)
	}
	p.mu.Unlock()
	answer(c, http.StatusNoContent, nil)
}

func (p *platform) answerList(c net.Conn, r *http.Request) {
	since, err := strconv.ParseInt(r.URL.Query().Get("since"), 10, 64)
	full := err != nil
	wait, _ := strconv.Atoi(r.URL.Query().Get("timeout_ms"))
	until := time.Now().Add(time.Duration(wait) * time.Millisecond)
	p.mu.Lock()
	process := p.process
	p.mu.Unlock()
	time.Sleep(p.latency)
	for {
		p.mu.Lock()
		if p.process != process { // the process that asked has ended
			p.mu.Unlock()
			return
		}
		down, changed := p.down, p.changed
		if down {
			p.mu.Unlock()
			p.rec.note("discovery answers 503")
			answer(c, http.StatusServiceUnavailable, nil)
			return
		}
		l := p.list(since, full)
		left := time.Until(until)
		if full || len(l.Servers) > 0 || left <= 0 {
			if p.dying && !full {
				p.rec.note("discovery ends in the middle of an answer")
				fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Le")
				reset(c)
				p.takeDown(true)
				p.mu.Unlock()
				return
			}
			p.remember(l, full)
			delete(p.watches, c)
			p.mu.Unlock()
			body, _ := json.Marshal(l)
			if len(l.Servers) > 0 || full {
				p.rec.note("discovery answers since=%d with %s", since, body)
			}
			answer(c, http.StatusOK, body)
			return
		}
		p.watches[c] = true
		p.mu.Unlock()
		timer := time.NewTimer(max(left, 10*time.Millisecond))
		select {
		case <-changed:
		case <-timer.C:
		}
		timer.Stop()
		p.mu.Lock()
		open := p.watches[c]
		p.mu.Unlock()
		if !open {
			return // it was reset
		}
	}
}

// remember keeps the list that the sender holds after an answer.
func (p *platform) remember(l memberList, full bool) {
	if full {
		p.last = l
		return
	}
	byID := map[string]int{}
	for i, m := range p.last.Servers {
		byID[m.ID] = i
	}
	next := memberList{Version: l.Version, Full: true, Servers: append([]member{}, p.last.Servers...)}
	for _, m := range l.Servers {
		if i, known := byID[m.ID]; known {
			next.Servers[i] = m
		} else {
			next.Servers = append(next.Servers, m)
		}
	}
	kept := next.Servers[:0]
	for _, m := range next.Servers {
		if m.State != "removed" {
			kept = append(kept, m)
		}
	}
	next.Servers = kept
	p.last = next
}

// reset closes a connection with a reset, as the end of a process does.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		t.SetLinger(0)
	}
	c.Close()
}

// answer writes a response after which the connection closes.
func answer(c net.Conn, status int, body []byte) {
	var b strings.Builder
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\nConnection: close\r\n", status, http.StatusText(status))
	if status != http.StatusNoContent {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	b.WriteString("\r\n")
	b.Write(body)
	c.Write([]byte(b.String()))
}
