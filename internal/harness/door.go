package harness

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"cleathold/internal/audit"
	"cleathold/internal/partner"
	"cleathold/internal/scenario"
	"cleathold/internal/simulation"
)

const (
	bodyMost    = 1 << 20
	requestSpan = 10 * time.Second // by when a request that has begun must be whole
	// A sender that stops waiting this close to the end of the time that it told has
	// timed out; sooner, it has called off.
	timeoutSlack = 30 * time.Millisecond
)

// A door is the address of one endpoint for one sender: who calls is known by it.
// The port is held for as long as the world stands; while its endpoint is down
// nobody listens there, so that connections are refused.
type door struct {
	w        *Environment
	sender   int
	addr     string
	endpoint string // whose address it is now
	zone     int
	dest     int
	listener net.Listener // nil while nobody listens
	hold     int          // a socket that is bound and does not listen; below 0 = none
	conns    map[net.Conn]bool
}

// shared lets two sockets be bound to one port, of which one listens.
var shared = net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
	var err error
	if out := c.Control(func(fd uintptr) { err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1) }); out != nil {
		return out
	}
	return err
}}

// OpenEndpoints opens an address for each endpoint and sender.
func (w *Environment) OpenEndpoints() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i := range w.plan.Scenario.Senders {
		w.doors = append(w.doors, map[string]*door{})
		for j := range w.plan.Dests {
			for _, e := range w.plan.Dests[j].Endpoints {
				if _, err := w.addDoor(i, w.plan.Dests[j].Dest, e); err != nil {
					return err
				}
			}
		}
	}
	return nil
}

func (w *Environment) addDoor(sender, dest int, e partner.EndpointSpec) (*door, error) {
	d := &door{w: w, sender: sender, addr: "127.0.0.1:0", endpoint: e.ID, zone: e.Zone, dest: dest, hold: -1, conns: map[net.Conn]bool{}}
	if err := d.open(); err != nil {
		return nil, err
	}
	w.doors[sender][e.ID] = d
	return d, nil
}

// moveIn gives a new endpoint its doors: new ones, or those at another's address.
func (w *Environment) moveIn(c scenario.Change) {
	for i, doors := range w.doors {
		old := doors[c.Address]
		if c.Address == "" || old == nil {
			if _, err := w.addDoor(i, c.Dest, *c.Joins); err != nil {
				w.end(err)
			}
			continue
		}
		old.endpoint, old.zone, old.dest = c.Joins.ID, c.Joins.Zone, c.Dest
	}
}

// addressOf finds where a sender reaches an endpoint; under the lock.
func (w *Environment) addressOf(sender int, l simulation.ListedEndpoint) string {
	if d := w.doors[sender][l.Address]; d != nil {
		return d.addr
	}
	return "127.0.0.1:9"
}

// refit opens and shuts doors as the model has it; under the lock.
func (w *Environment) refit() {
	for _, doors := range w.doors {
		for _, d := range doors {
			there, back := d.ways()
			listens := w.ground.Model.Listens(d.endpoint) && !there.Cut && !back.Cut
			if listens && d.listener == nil {
				if err := d.open(); err != nil {
					w.end(err)
				}
			} else if !listens && d.listener != nil {
				d.refuse()
			}
		}
	}
}

// ways are those between its sender and its endpoint; under the lock.
func (d *door) ways() (there, back scenario.LinkState) {
	return d.w.way(scenario.Sender(d.sender), d.endpoint), d.w.way(d.endpoint, scenario.Sender(d.sender))
}

// open begins to listen; under the lock.
func (d *door) open() error {
	l, err := shared.Listen(context.Background(), "tcp4", d.addr)
	if err != nil {
		return fmt.Errorf("rig: the address of %s for sender %d: %w", d.endpoint, d.sender, err)
	}
	d.listener, d.addr = l, l.Addr().String()
	d.release()
	d.w.wg.Go(func() { d.accept(l) })
	return nil
}

func (d *door) release() {
	if d.hold >= 0 {
		unix.Close(d.hold)
		d.hold = -1
	}
}

// refuse goes down: what is connected breaks, and nobody listens, though the port
// stays this door's.
func (d *door) refuse() {
	port := d.listener.Addr().(*net.TCPAddr).Port
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err == nil {
		d.hold = fd
		err = unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
	}
	if err == nil {
		err = unix.Bind(fd, &unix.SockaddrInet4{Port: port, Addr: [4]byte{127, 0, 0, 1}})
	}
	if err != nil {
		d.w.end(fmt.Errorf("rig: the address of %s: %w", d.endpoint, err))
	}
	l := d.listener
	d.listener = nil
	l.Close()
	for c := range d.conns {
		reset(c)
	}
}

// shut ends a door for good; under the lock.
func (d *door) shut() {
	if l := d.listener; l != nil {
		d.listener = nil
		l.Close()
	}
	d.release()
	for c := range d.conns {
		c.Close()
	}
}

func reset(c net.Conn) {
	if t, is := c.(*net.TCPConn); is {
		t.SetLinger(0)
	}
	c.Close()
}

func (d *door) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			d.w.mu.Lock()
			stands := d.listener == l
			d.w.mu.Unlock()
			if stands { // it was not the plan that ended it
				d.w.end(fmt.Errorf("rig: the partner at %s (%s) died: %w", d.addr, d.endpoint, err))
			}
			return
		}
		d.w.wg.Go(func() { d.serve(c) })
	}
}

// A visit is one connection.
type visit struct {
	d        *door
	conn     net.Conn
	in       *bufio.Reader
	endpoint string
	dest     int
	zone     int
	hop      time.Duration
	crowded  bool
	fresh    bool
	broken   bool // by the model, which counts it no more
}

func (d *door) serve(c net.Conn) {
	w := d.w
	w.mu.Lock()
	v := &visit{d: d, conn: c, in: bufio.NewReader(c), endpoint: d.endpoint, dest: d.dest, zone: d.zone, fresh: true}
	v.hop = simulation.NetworkDelay(d.zone, d.sender%len(w.plan.Scenario.Zones))
	kind := w.ground.Model.Connect(w.now(), v.endpoint)
	v.crowded = kind == partner.ConnectionOverCapacity
	w.conns++
	if d.listener == nil || kind == partner.ConnectionRefused {
		w.mu.Unlock()
		reset(c)
		return
	}
	d.conns[c] = true
	w.mu.Unlock()
	for v.next() {
		v.fresh = false
	}
	w.mu.Lock()
	delete(d.conns, c)
	if !v.crowded && !v.broken {
		w.ground.Model.Disconnect(w.now(), v.endpoint)
	}
	w.mu.Unlock()
	c.Close()
}

// next serves one call; false ends the connection.
func (v *visit) next() bool {
	v.conn.SetReadDeadline(time.Now().Add(idleSpan))
	if _, err := v.in.Peek(1); err != nil {
		return false
	}
	first := v.d.w.nowOf()
	if !v.passes(false, nil) {
		return false
	}
	v.conn.SetReadDeadline(time.Now().Add(requestSpan))
	c, err := readCall(v.in)
	if err != nil {
		fmt.Fprintf(v.conn, "HTTP/1.1 %d no\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", statusOf(err))
		return false
	}
	return v.play(c, first)
}

func (w *Environment) nowOf() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.now()
}

// passes waits until the way from the sender, or back to it, lets something pass; false: the sender has gone meanwhile,
// or the world ends.
func (v *visit) passes(back bool, left <-chan bool) bool {
	w, waited := v.d.w, false
	for {
		w.mu.Lock()
		there, home := v.d.ways()
		turn := w.turn
		w.mu.Unlock()
		if back {
			there = home
		}
		if there.Passes() {
			late := there.Delay
			if there.Jitter > 0 {
				late += rand.N(there.Jitter)
			}
			return !(waited && left == nil && hungUp(v.conn)) && (late == 0 || w.sleep(late))
		}
		waited = true
		select {
		case <-turn:
		case <-left:
			return false
		case <-w.ctx.Done():
			return false
		}
	}
}

// hungUp tells whether the other end of a connection has closed it, though there may still be something to read.
func hungUp(c net.Conn) (gone bool) {
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		return true
	}
	err = raw.Control(func(fd uintptr) {
		ask := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		_, err := unix.Poll(ask, 0)
		gone = err != nil || ask[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
	})
	return gone || err != nil
}

// play brings a call to the model, and its answer back.
func (v *visit) play(c *inCall, first time.Duration) bool {
	w := v.d.w
	answer := make(chan partner.Answer, 1)
	call := partner.Call{Sender: v.d.sender, Endpoint: v.endpoint, Fresh: v.fresh, OverCapacity: v.crowded, HealthCheck: c.probe}
	var ids []string
	w.mu.Lock()
	w.calls++
	call.ID = w.calls
	for _, m := range c.messages {
		m.Class = w.handed[m.ID].class
		call.Messages = append(call.Messages, m)
		ids = append(ids, m.ID)
	}
	w.answers[call.ID] = answer
	w.note(audit.Event{Kind: audit.Sent, Sender: v.d.sender, Call: call.ID, Endpoint: v.endpoint, Zone: v.zone, Dest: v.dest, Messages: ids, First: first})
	w.mu.Unlock()

	v.conn.SetReadDeadline(time.Time{})
	left := make(chan bool, 1) // whether the sender has gone, or the reader was called back
	go func() {
		_, err := v.in.Peek(1)
		left <- err != nil && !errors.Is(err, os.ErrDeadlineExceeded)
	}()
	reach := v.hop
	if v.fresh {
		reach += 2 * v.hop // the connection was up at once
	}
	if !w.sleep(reach) {
		return v.recall(left)
	}
	w.mu.Lock()
	if err := w.ground.Model.Call(w.now(), call); err != nil {
		answer <- partner.Answer{Call: call.ID, Kind: partner.Reset}
		delete(w.answers, call.ID)
	}
	w.settle()
	w.mu.Unlock()

	select {
	case <-left:
		v.broken = true
		v.over(call.ID, first, c.limit)
		if w.sleep(v.hop) {
			w.mu.Lock()
			w.ground.Model.Cancel(w.now(), call.ID, v.endpoint)
			w.settle()
			w.mu.Unlock()
		}
		return false
	case <-w.ctx.Done():
		return v.recall(left)
	case a := <-answer:
		if !w.sleep(v.hop) {
			return v.recall(left)
		}
		select {
		case <-left: // it left as the answer was on its way
			v.over(call.ID, first, c.limit)
			return false
		default:
		}
		if hungUp(v.conn) { // it gave up in this instant: what would be written is told to nobody
			v.over(call.ID, first, c.limit)
			return false
		}
		v.ended(call.ID, a, ids)
		if !v.passes(true, left) {
			return false
		}
		ok := v.write(a, c)
		return !v.recall(left) && ok
	}
}

// recall has the reader of a connection stop, and tells whether the sender has gone.
func (v *visit) recall(left <-chan bool) bool {
	v.conn.SetReadDeadline(time.Unix(1, 0))
	return <-left
}

// over notes that a sender waits no more for a call.
func (v *visit) over(id uint64, first, limit time.Duration) {
	w := v.d.w
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.answers, id)
	cause := "cancelled"
	if limit > 0 && w.now()-first >= limit-timeoutSlack {
		cause = "timeout"
		w.note(audit.Event{Kind: audit.FailureSeen, Sender: v.d.sender, Dest: v.dest, Endpoint: v.endpoint})
	}
	w.note(audit.Event{Kind: audit.Ended, Sender: v.d.sender, Call: id, Outcome: audit.Failed, Cause: cause})
}

// ended notes an answer just before it is written.
func (v *visit) ended(id uint64, a partner.Answer, ids []string) {
	w := v.d.w
	outcome, cause := simulation.OutcomeOf(a.Kind)
	w.mu.Lock()
	w.note(audit.Event{Kind: audit.Ended, Sender: v.d.sender, Call: id, Outcome: outcome, RetryAfter: a.RetryAfter, Cause: cause})
	if _, back := v.d.ways(); a.Kind != partner.Delivered && back.Passes() {
		w.note(audit.Event{Kind: audit.FailureSeen, Sender: v.d.sender, Dest: v.dest, Endpoint: v.endpoint})
	}
	w.mu.Unlock()
	if a.Kind == partner.Delivered && len(ids) > 0 {
		w.served(ids)
	}
}

// write writes an answer in PROTOCOL's form; false where the connection ends with it.
func (v *visit) write(a partner.Answer, c *inCall) bool {
	status, body := http.StatusOK, ""
	head := ""
	switch a.Kind {
	case partner.Delivered:
		if c.many {
			var lines strings.Builder
			for _, m := range c.messages {
				lines.WriteString(m.ID + " delivered\r\n")
			}
			body = lines.String()
		}
	case partner.Errored:
		status = http.StatusInternalServerError
	case partner.Rejected:
		status = http.StatusServiceUnavailable
		if a.RetryAfter > 0 {
			status = http.StatusTooManyRequests
			head = "Retry-After: " + strconv.FormatFloat(a.RetryAfter.Seconds(), 'f', 6, 64) + "\r\n"
		}
	case partner.Unprocessable:
		status = http.StatusRequestEntityTooLarge
	case partner.Garbled:
		io.WriteString(v.conn, "HTTP/9.9 what\r\n\x00\x01\r\n\r\n")
		return false
	case partner.Reset:
		v.broken = a.At > 0 && !v.d.w.listensStill(v.endpoint)
		reset(v.conn)
		return false
	}
	_, err := fmt.Fprintf(v.conn, "HTTP/1.1 %d %s\r\n%sContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), head, len(body), body)
	return err == nil && !v.crowded
}

func (w *Environment) listensStill(id string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.ground.Model.Listens(id)
}

// inCall is a call as it was read.
type inCall struct {
	messages []partner.Message
	many     bool
	probe    bool
	limit    time.Duration // how long the sender waits; 0 = not told
}

// badCall is a call that gets an answer of its own.
type badCall struct {
	status int
	text   string
}

func (b *badCall) Error() string { return b.text }

func statusOf(err error) int {
	var b *badCall
	if errors.As(err, &b) {
		return b.status
	}
	return http.StatusBadRequest
}

// readCall reads a request of PROTOCOL's 'Senders to endpoints'.
func readCall(in *bufio.Reader) (*inCall, error) {
	r, err := http.ReadRequest(in)
	if err != nil {
		return nil, err
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, bodyMost))
	if err != nil {
		return nil, err
	}
	c := &inCall{}
	if s, err := strconv.ParseFloat(r.Header.Get("X-Deadline"), 64); err == nil && s > 0 && s < 1e6 {
		c.limit = time.Duration(s * float64(time.Second))
	}
	switch {
	case r.Method == http.MethodGet && (r.URL.Path == "/ping" || r.URL.Path == "/_load"):
		c.probe = true
	case r.Method == http.MethodPost && r.URL.Path == "/receive":
		id := r.Header.Get("X-Request-Id")
		if id == "" {
			return nil, &badCall{http.StatusBadRequest, "no X-Request-Id"}
		}
		c.messages = []partner.Message{{ID: id, Key: r.Header.Get("Idempotency-Key")}}
	case r.Method == http.MethodPost && r.URL.Path == "/receive-many":
		c.many = true
		if c.messages, err = readMany(string(body)); err != nil {
			return nil, err
		}
	default:
		return nil, &badCall{http.StatusNotFound, "no such path"}
	}
	return c, nil
}

// readMany reads the body of a call with several messages.
func readMany(body string) ([]partner.Message, error) {
	wrong := &badCall{http.StatusBadRequest, "body of several messages unreadable"}
	var list []partner.Message
	seen := map[string]bool{}
	for body != "" {
		line, rest, found := strings.Cut(body, "\r\n")
		fields := strings.Split(line, " ")
		if !found || len(fields) != 3 || fields[0] == "" || seen[fields[0]] {
			return nil, wrong
		}
		n, err := strconv.Atoi(fields[2])
		if err != nil || n < 0 || len(rest) < n+2 || rest[n:n+2] != "\r\n" {
			return nil, wrong
		}
		m := partner.Message{ID: fields[0], Key: fields[1]}
		if m.Key == "-" {
			m.Key = ""
		}
		seen[m.ID] = true
		list, body = append(list, m), rest[n+2:]
	}
	if len(list) == 0 {
		return nil, wrong
	}
	return list, nil
}
