package world

import (
	"bufio"
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// An Entry is one line of discovery's list.
type Entry struct {
	ID      string  `json:"id"`
	Addr    string  `json:"addr"`
	Zone    string  `json:"zone"`
	Kind    string  `json:"kind"`
	Cell    int     `json:"cell"`
	State   string  `json:"state"`
	Weight  float64 `json:"weight"`
	Started int64   `json:"started_ms"`
	version int
}

// A List is an answer of discovery.
type List struct {
	Version int     `json:"version"`
	Full    bool    `json:"full"`
	Servers []Entry `json:"servers"`
}

// A Notice is a notice as the platform read it.
type Notice struct {
	At     time.Time
	ID     string `json:"id"`
	Status string `json:"status"`
}

// A Platform is a stand-in of discovery and of the address for notices.
type Platform struct {
	Addr string

	world  *World
	server *http.Server

	mu      sync.Mutex
	version int
	entries map[string]Entry
	order   []string
	changed chan struct{}
	notices []Notice
	polls   int
	told    map[string]time.Time // by "id state": when an answer with it was written
}

// NewPlatform starts a platform at a free port.
func (w *World) NewPlatform() (*Platform, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Platform{
		Addr: l.Addr().String(), world: w, version: 1, entries: map[string]Entry{}, changed: make(chan struct{}),
		told: map[string]time.Time{},
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /catalog/members", p.members)
	mux.HandleFunc("POST /status", p.status)
	p.server = &http.Server{Handler: mux}
	go p.server.Serve(l)
	return p, nil
}

// Move serves at another address, and closes the old one after 1.5 s.
func (p *Platform) Move() error {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return err
	}
	old := p.server
	p.server, p.Addr = &http.Server{Handler: old.Handler}, l.Addr().String()
	go p.server.Serve(l)
	time.AfterFunc(1500*time.Millisecond, func() { old.Close() })
	return nil
}

// Close ends the platform.
func (p *Platform) Close() { p.server.Close() }

// Set lists an endpoint in a state: up, draining or removed.
func (p *Platform) Set(e *Endpoint, state string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.version++
	if _, known := p.entries[e.ID]; !known {
		p.order = append(p.order, e.ID)
	}
	p.entries[e.ID] = Entry{
		ID: e.ID, Addr: e.Addr, Zone: e.Zone, Kind: e.Kind, Cell: e.Cell, State: state, Weight: e.Weight, version: p.version,
	}
	p.world.Note("discovery: %s (%s, destination %d) is %s, version %d", e.ID, e.Addr, e.Cell, state, p.version)
	close(p.changed)
	p.changed = make(chan struct{})
}

// Full returns the whole list.
func (p *Platform) Full() List {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := List{Version: p.version, Full: true, Servers: []Entry{}}
	for _, id := range p.order {
		if e := p.entries[id]; e.State != "removed" {
			l.Servers = append(l.Servers, e)
		}
	}
	return l
}

// since returns the changes after a version, and a channel that is closed at the next one.
func (p *Platform) since(version int) (List, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := List{Version: p.version, Servers: []Entry{}}
	for _, id := range p.order {
		if e := p.entries[id]; e.version > version {
			l.Servers = append(l.Servers, e)
		}
	}
	return l, p.changed
}

// Polls returns how many calls discovery has had.
func (p *Platform) Polls() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.polls
}

// Told returns when an answer that gives an endpoint this state was first written, or the zero time.
func (p *Platform) Told(id, state string) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.told[id+" "+state]
}

// Notices returns the notices so far.
func (p *Platform) Notices() []Notice {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]Notice(nil), p.notices...)
}

func (p *Platform) members(out http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	p.polls++
	p.mu.Unlock()
	query := r.URL.Query()
	list := p.Full()
	if query.Has("since") {
		since, err1 := strconv.Atoi(query.Get("since"))
		ms, err2 := strconv.Atoi(query.Get("timeout_ms"))
		if err1 != nil || err2 != nil {
			http.Error(out, "since and timeout_ms", http.StatusBadRequest)
			return
		}
		end := time.After(min(time.Duration(ms)*time.Millisecond, time.Minute))
		for waiting := true; waiting; {
			var changed <-chan struct{}
			if list, changed = p.since(since); len(list.Servers) > 0 {
				break
			}
			select {
			case <-changed:
			case <-end:
				waiting = false
			case <-r.Context().Done():
				return
			}
		}
	}
	text, err := json.Marshal(list)
	if err != nil {
		return
	}
	out.Header().Set("Content-Type", "application/json")
	out.Header().Set("Content-Length", strconv.Itoa(len(text)))
	if _, err := out.Write(text); err != nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, e := range list.Servers {
		if key := e.ID + " " + e.State; p.told[key].IsZero() {
			p.told[key] = time.Now()
			p.world.Note("discovery has written to %s: %s", r.RemoteAddr, key)
		}
	}
}

func (p *Platform) status(out http.ResponseWriter, r *http.Request) {
	at := time.Now()
	var read []Notice
	for lines := bufio.NewScanner(r.Body); lines.Scan(); {
		n := Notice{At: at}
		if json.Unmarshal(lines.Bytes(), &n) != nil || n.ID == "" || n.Status != "deferred" && n.Status != "undeliverable" {
			http.Error(out, "unreadable", http.StatusBadRequest)
			return
		}
		read = append(read, n)
	}
	p.mu.Lock()
	p.notices = append(p.notices, read...)
	p.mu.Unlock()
	for _, n := range read {
		p.world.NoteAt(at, "notice: %s %s", n.ID, n.Status)
	}
	out.WriteHeader(http.StatusNoContent)
}
