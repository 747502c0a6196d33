// Package handover is how one process of a sender gives way to the next while both run: a Unix socket by which
// the listening socket, and all that is not in the journal, pass from one to the other.
//
// The heir connects and asks. The one that serves lets go, and sends the listening socket with the estate. The
// heir begins to serve and says so; only an acknowledged heir goes on. Then what comes of the forwards that are
// still out follows, one line each. An heir that is gone before it has said so leaves everything with the one that
// had it; a giver that is gone, with an heir that has the whole estate. Should both live and only what they say be cut
// in between, both may believe that they have it: the journal is locked for one process, and the other one ends.
package handover

import (
	"bufio"
	"bytes"
	"context"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"cleathold/internal/ownsock"
	"cleathold/internal/state"
)

const (
	version      = 1
	lineMost     = 4 << 20         // the longest line: an estate
	askSpan      = 2 * time.Second // a connection must ask within this
	giveSpan     = 5 * time.Second // an estate must have come within this
	ReadyTimeout = 6 * time.Second // an heir must serve within this, or everything is taken back
	passSpan     = time.Second     // a line must be taken within this
	pathMost     = 100             // a Unix address is no longer than 107 bytes
	socketName   = "cleathold-%016x.sock"
)

// Path is the socket of the sender with a state folder: the same for each process of it, and for no other's.
func Path(state string) string {
	if abs, err := filepath.Abs(state); err == nil {
		state = abs
	}
	h := fnv.New64a()
	io.WriteString(h, state)
	return filepath.Join(os.TempDir(), fmt.Sprintf(socketName, h.Sum64()))
}

// message is one line, in either direction.
type message struct {
	Version  int                  `json:"v,omitempty"`
	Ask      bool                 `json:"ask,omitempty"`      // heir: give way
	Refused  string               `json:"refused,omitempty"`  // why not
	Estate   *state.HandoverState `json:"estate,omitempty"`   // with the listening socket
	Ready    bool                 `json:"ready,omitempty"`    // heir: it serves
	Yours    bool                 `json:"yours,omitempty"`    // acknowledged
	Returned *state.RemoteResult  `json:"returned,omitempty"` // of a forward that was out
	Last     bool                 `json:"last,omitempty"`     // nothing is out any more
}

func send(c *net.UnixConn, m message, rights []byte, by time.Time) error {
	text, err := json.Marshal(m)
	if err != nil {
		return err
	}
	b := append(binary.BigEndian.AppendUint32(nil, uint32(len(text))), text...)
	c.SetWriteDeadline(by)
	n := 0
	if rights != nil { // with the first byte
		if n, _, err = c.WriteMsgUnix(b[:1], rights, nil); err != nil {
			return err
		}
	}
	_, err = c.Write(b[n:])
	return err
}

func receive(in io.Reader) (m message, err error) {
	var size [4]byte
	if _, err = io.ReadFull(in, size[:]); err != nil {
		return m, err
	}
	n := binary.BigEndian.Uint32(size[:])
	if n > lineMost {
		return m, fmt.Errorf("handover: a line of %d bytes", n)
	}
	b := make([]byte, n)
	if _, err = io.ReadFull(in, b); err != nil {
		return m, err
	}
	return m, json.Unmarshal(b, &m)
}

// A Listener is where the next process asks.
type Listener struct {
	path string
	sock *net.UnixListener
	log  *slog.Logger
	asks chan *Request
	once sync.Once
	quit chan struct{}
}

// Listen takes the place of a desk that was there: of a process that died, or that gave way to this one.
func Listen(path string, log *slog.Logger) (*Listener, error) {
	if len(path) > pathMost {
		return nil, fmt.Errorf("handover: %s: too long for a socket; set TMPDIR to a shorter one", path)
	}
	sock, err := ownsock.Listen(path)
	if err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	d := &Listener{path: path, sock: sock, log: log, asks: make(chan *Request), quit: make(chan struct{})}
	go d.run()
	return d, nil
}

// Requests are the processes that want to take over, one after another.
func (d *Listener) Requests() <-chan *Request {
	if d == nil {
		return nil
	}
	return d.asks
}

// Close ends the desk. Its path stays with the heir, if there is one.
func (d *Listener) Close(heir bool) {
	if d == nil {
		return
	}
	d.once.Do(func() {
		close(d.quit)
		d.sock.Close()
		if !heir {
			os.Remove(d.path)
		}
	})
}

func (d *Listener) run() {
	for {
		c, err := d.sock.AcceptUnix()
		if err != nil {
			return
		}
		if ownsock.Peer(c) != os.Geteuid() {
			d.log.Warn("handover: asked by another user, refused")
			c.Close()
			continue
		}
		c.SetReadDeadline(time.Now().Add(askSpan))
		m, err := receive(c)
		c.SetReadDeadline(time.Time{})
		switch {
		case err != nil || !m.Ask:
			c.Close()
			continue
		case m.Version != version:
			send(c, message{Refused: fmt.Sprintf("hand-over of version %d is not known here", m.Version)}, nil, time.Now().Add(passSpan))
			c.Close()
			continue
		}
		select {
		case d.asks <- &Request{conn: c}:
		case <-time.After(askSpan):
			send(c, message{Refused: "a hand-over is under way"}, nil, time.Now().Add(passSpan))
			c.Close()
		case <-d.quit:
			c.Close()
			return
		}
	}
}

// An Request is a process that wants to take over.
type Request struct{ conn *net.UnixConn }

// Reject tells it why not.
func (a *Request) Reject(why string) {
	send(a.conn, message{Refused: why}, nil, time.Now().Add(passSpan))
	a.conn.Close()
}

// HandOver hands it the listening socket and the estate, and waits until it serves. After an error everything
// belongs to the giver again.
func (a *Request) HandOver(sock syscall.Conn, e state.HandoverState) error {
	raw, err := sock.SyscallConn()
	if err != nil {
		a.conn.Close()
		return err
	}
	by := time.Now().Add(ReadyTimeout)
	failed := raw.Control(func(fd uintptr) {
		err = send(a.conn, message{Version: version, Estate: &e}, unix.UnixRights(int(fd)), by)
	})
	if err = errors.Join(failed, err); err == nil {
		a.conn.SetReadDeadline(by)
		var m message
		if m, err = receive(a.conn); err == nil && !m.Ready {
			err = errors.New("handover: the heir says something else than that it serves")
		}
	}
	if err == nil {
		err = send(a.conn, message{Yours: true}, nil, time.Now().Add(passSpan))
	}
	if err != nil {
		send(a.conn, message{Refused: "too late"}, nil, time.Now().Add(passSpan))
		a.conn.Close()
	}
	return err
}

// ForwardResults tells it what comes of the forwards that are out, until the last one or until it is gone.
func (a *Request) ForwardResults(ctx context.Context, l *ResultQueue) error {
	defer a.conn.Close()
	return l.each(ctx, func(r *state.RemoteResult, last bool) error {
		return send(a.conn, message{Returned: r, Last: last}, nil, time.Now().Add(passSpan))
	})
}

// A ResultQueue collects what comes of forwards that are out when a loop gives way. As many as the slots at most.
type ResultQueue struct {
	mu   sync.Mutex
	list []state.RemoteResult
	last bool
	news chan struct{} // closed and made anew with each
}

// NewResultQueue returns one in which nothing is known yet.
func NewResultQueue() *ResultQueue { return &ResultQueue{news: make(chan struct{})} }

var _ state.Successor = (*ResultQueue)(nil)

// RemoteResult adds what came of a forward; one without a number only tells that there are no more.
func (l *ResultQueue) RemoteResult(r state.RemoteResult, last bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r.Target != "" {
		l.list = append(l.list, r)
	}
	l.last = l.last || last
	close(l.news)
	l.news = make(chan struct{})
}

// Drained is closed once nothing is out any more.
func (l *ResultQueue) Drained(ctx context.Context) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		l.each(ctx, func(*state.RemoteResult, bool) error { return nil })
	}()
	return done
}

// each goes through all of it as it comes, until the last, the end of the context or an error.
func (l *ResultQueue) each(ctx context.Context, do func(r *state.RemoteResult, last bool) error) error {
	for i := 0; ; i++ {
		r, last, ok := l.next(ctx, i)
		if !ok {
			return ctx.Err()
		}
		if err := do(r, last); err != nil || last {
			return err
		}
	}
}

// next returns the one with that number, waiting for it, and whether it is the last. Nil: there is none, nor will be.
func (l *ResultQueue) next(ctx context.Context, i int) (r *state.RemoteResult, last, ok bool) {
	for {
		l.mu.Lock()
		news := l.news
		switch {
		case i < len(l.list):
			r, last = &l.list[i], l.last && i == len(l.list)-1
			l.mu.Unlock()
			return r, last, true
		case l.last:
			l.mu.Unlock()
			return nil, true, true
		}
		l.mu.Unlock()
		select {
		case <-news:
		case <-ctx.Done():
			return nil, false, false
		}
	}
}

// EventPoster takes events; the loop is one.
type EventPoster interface{ Post(event state.Event) }

// PostTo posts all of it to the loop of a process that took back what it gave.
func (l *ResultQueue) PostTo(ctx context.Context, to EventPoster) {
	l.each(ctx, func(r *state.RemoteResult, last bool) error {
		if r != nil {
			to.Post(*r)
		}
		if last {
			to.Post(state.PredecessorLost{})
		}
		return nil
	})
}

// An Takeover is what an heir got.
type Takeover struct {
	State    state.HandoverState
	Listener net.Listener
	conn     *net.UnixConn
	in       *bufio.Reader
}

// ErrRejected tells that the process that serves does not give way.
var ErrRejected = errors.New("handover: refused")

// RequestTakeover asks the process at a desk to give way. Nil without an error: there is none.
func RequestTakeover(path string) (*Takeover, error) {
	conn, err := net.Dial("unix", path)
	if err != nil {
		return nil, nil // whoever was there is dead, or there never was one
	}
	c := conn.(*net.UnixConn)
	if err := send(c, message{Version: version, Ask: true}, nil, time.Now().Add(passSpan)); err != nil {
		c.Close()
		return nil, nil
	}
	c.SetReadDeadline(time.Now().Add(giveSpan))
	first, oob := make([]byte, 1), make([]byte, unix.CmsgSpace(4))
	_, n, _, _, err := c.ReadMsgUnix(first, oob)
	if err != nil {
		c.Close()
		return nil, fmt.Errorf("handover: the process that serves gave nothing: %w", err)
	}
	in := bufio.NewReader(c)
	m, err := receive(io.MultiReader(bytes.NewReader(first), in))
	if err != nil || m.Estate == nil {
		c.Close()
		if m.Refused != "" {
			return nil, fmt.Errorf("%w: %s", ErrRejected, m.Refused)
		}
		return nil, fmt.Errorf("handover: the estate can't be read: %w", err)
	}
	sock, err := listenerOf(oob[:n])
	if err != nil {
		c.Close()
		return nil, err
	}
	c.SetReadDeadline(time.Time{})
	return &Takeover{State: *m.Estate, Listener: sock, conn: c, in: in}, nil
}

// listenerOf makes a listener of the descriptor that came along.
func listenerOf(oob []byte) (net.Listener, error) {
	list, err := unix.ParseSocketControlMessage(oob)
	if err != nil || len(list) != 1 {
		return nil, errors.New("handover: no listening socket came along")
	}
	fds, err := unix.ParseUnixRights(&list[0])
	if err != nil || len(fds) != 1 {
		return nil, errors.New("handover: no listening socket came along")
	}
	unix.CloseOnExec(fds[0])
	f := os.NewFile(uintptr(fds[0]), "listener")
	defer f.Close()
	sock, err := net.FileListener(f)
	if err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	return sock, nil
}

// ConfirmReady tells the one that gave that this process serves. An error means that it has taken everything back, and
// this process must end; one that is gone can't.
func (i *Takeover) ConfirmReady() error {
	if err := send(i.conn, message{Ready: true}, nil, time.Now().Add(passSpan)); err != nil {
		return nil
	}
	i.conn.SetReadDeadline(time.Now().Add(passSpan))
	defer i.conn.SetReadDeadline(time.Time{})
	m, err := receive(i.in)
	if err == nil && !m.Yours {
		return fmt.Errorf("%w: %s", ErrRejected, m.Refused)
	}
	return nil
}

// Run posts what comes of the forwards that are out at the other process, until the last one or until it ends.
func (i *Takeover) Run(ctx context.Context, to EventPoster) {
	stop := context.AfterFunc(ctx, func() { i.conn.Close() })
	defer stop()
	defer i.conn.Close()
	for {
		m, err := receive(i.in)
		if m.Returned != nil {
			to.Post(*m.Returned)
		}
		if err != nil || m.Last {
			to.Post(state.PredecessorLost{})
			return
		}
	}
}

// Abort gives up what was taken before this process served: the other one goes on.
func (i *Takeover) Abort() { i.conn.Close() }
