package handover

import (
	"fmt"
	"log/slog"
	"net"
	"os"
	"sync"
	"time"

	"cleathold/internal/usersocket"
)

// Listener is where the next process requests the hand-over. A nil one has no requests.
type Listener struct {
	path     string
	socket   *net.UnixListener
	log      *slog.Logger
	requests chan *Request
	once     sync.Once
	closed   chan struct{}
}

// Listen takes the place of a listener that was there: of a process that died, or that handed over to this one. The
// error is one of the path or the socket.
func Listen(path string, log *slog.Logger) (*Listener, error) {
	if len(path) > maxPathLength {
		return nil, fmt.Errorf("handover: %s: too long for a socket; set TMPDIR to a shorter one", path)
	}
	socket, err := usersocket.Listen(path)
	if err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	l := &Listener{path: path, socket: socket, log: log, requests: make(chan *Request), closed: make(chan struct{})}
	go l.run()
	return l, nil
}

// Requests returns the processes that want to take over, one after another.
func (l *Listener) Requests() <-chan *Request {
	if l == nil {
		return nil
	}
	return l.requests
}

// Close ends the listener. Its path stays with the successor, if there is one.
func (l *Listener) Close(successor bool) {
	if l == nil {
		return
	}
	l.once.Do(func() {
		close(l.closed)
		l.socket.Close()
		if !successor {
			os.Remove(l.path)
		}
	})
}

// run accepts connections until the listener is closed.
func (l *Listener) run() {
	for {
		c, err := l.socket.AcceptUnix()
		if err != nil {
			return
		}
		if !l.validRequest(c) {
			continue
		}
		select {
		case l.requests <- &Request{conn: c}:
		case <-time.After(requestTimeout):
			reject(c, "a hand-over is under way")
		case <-l.closed:
			c.Close()
			return
		}
	}
}

// validRequest reads what a connection wants. One that is not a request of this user in the known version is closed.
func (l *Listener) validRequest(c *net.UnixConn) bool {
	if usersocket.PeerUID(c) != os.Geteuid() {
		l.log.Warn("hand-over request of another user rejected")
		c.Close()
		return false
	}
	c.SetReadDeadline(time.Now().Add(requestTimeout))
	m, err := readMessage(c)
	c.SetReadDeadline(time.Time{})
	switch {
	case err != nil || !m.Request:
		c.Close()
		return false
	case m.Version != version:
		reject(c, fmt.Sprintf("hand-over of version %d is not known here", m.Version))
		return false
	}
	return true
}
