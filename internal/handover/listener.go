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

// Listener accepts hand-over requests from successor processes. A nil Listener receives no requests.
type Listener struct {
	path     string
	socket   *net.UnixListener
	log      *slog.Logger
	requests chan *Request
	once     sync.Once
	closed   chan struct{}
}

// Listen binds the hand-over socket. It replaces the socket of a process that has died or has handed over to this one.
// It returns an error if the path is too long or the socket can't be bound.
func Listen(path string, log *slog.Logger) (*Listener, error) {
	if len(path) > maxPathLength {
		return nil, fmt.Errorf("handover: %s: path too long for a Unix socket; set TMPDIR to a shorter folder", path)
	}
	socket, err := usersocket.Listen(path)
	if err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	l := &Listener{path: path, socket: socket, log: log, requests: make(chan *Request), closed: make(chan struct{})}
	go l.run()
	return l, nil
}

// Requests returns a channel of hand-over requests, which are delivered one at a time.
func (l *Listener) Requests() <-chan *Request {
	if l == nil {
		return nil
	}
	return l.requests
}

// Close closes the listener. It removes the socket's path unless a successor has taken over and bound it.
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

// validRequest reads the request of a connection and reports whether it is valid. It closes a connection of another
// user, without a request, or with another protocol version.
func (l *Listener) validRequest(c *net.UnixConn) bool {
	if usersocket.PeerUID(c) != os.Geteuid() {
		l.log.Warn("rejected hand-over request from another user")
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
