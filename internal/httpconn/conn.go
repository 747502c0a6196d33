package httpconn

import (
	"bufio"
	"context"
	"io"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	clientBufferSize = 4 << 10        // bytes; of the connection of a client, of which there are many
	serverBufferSize = MaxHeaderBytes // bytes; holds a whole head of a response
	maxRecordedBytes = 1 << 10        // of the input of a connection
	maxLingerBytes   = 1 << 20        // bytes discarded from a connection between its half-close and its close
)

// PastDeadline is a deadline in the past, which interrupts pending reads and writes on a connection.
var PastDeadline = time.Unix(1, 0)

// A Conn is a connection with a read buffer. ReadLimit bounds the bytes read, because the HTTP parser doesn't limit the
// size of headers.
type Conn struct {
	net.Conn
	ReadLimit *io.LimitedReader
	Reader    *bufio.Reader
	start     *startRecorder
}

// New returns a connection to a server, whose responses ReadExchange reads through a buffer.
func New(c net.Conn) *Conn { return newConn(c, serverBufferSize) }

// NewFromClient returns a connection that a client has opened, which reads through a small buffer.
func NewFromClient(c net.Conn) *Conn { return newConn(c, clientBufferSize) }

func newConn(c net.Conn, bufferSize int) *Conn {
	start := &startRecorder{from: c}
	limit := &io.LimitedReader{R: start}
	return &Conn{Conn: c, ReadLimit: limit, Reader: bufio.NewReaderSize(limit, bufferSize), start: start}
}

// Through makes the connection read through another reader from now on.
func (c *Conn) Through(r io.Reader) { c.start.from = r }

// A startRecorder keeps the first bytes that are read.
type startRecorder struct {
	from  io.Reader
	bytes []byte
}

// Read implements io.Reader.
func (r *startRecorder) Read(p []byte) (int, error) {
	n, err := r.from.Read(p)
	if room := maxRecordedBytes - len(r.bytes); room > 0 {
		r.bytes = append(r.bytes, p[:min(n, room)]...)
	}
	return n, err
}

// Dial opens a TCP connection. The context bounds only the dial.
func Dial(ctx context.Context, addr string) (*Conn, error) {
	conn, err := (&net.Dialer{KeepAlive: -1}).DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	return New(conn), nil
}

// OpenWithoutInput reports whether the connection is open and its socket has no unread bytes. It doesn't take the read
// lock of the connection, so it may be called while another goroutine is blocked in Read. A connection without a file
// descriptor can't be examined and counts as open.
func (c *Conn) OpenWithoutInput() bool { return OpenWithoutInput(c.Conn) }

// OpenWithoutInput is like the method of Conn, for a connection without a buffer.
func OpenWithoutInput(c net.Conn) bool {
	open := false
	examined, err := examine(c, func(fd int) { open = peek(fd) == inputNone })
	return !examined || err == nil && open
}

// PeerClosed reports whether the other side has closed the connection or has ended its sending, also while there are
// unread bytes in the socket. A connection that can't be examined counts as open.
func (c *Conn) PeerClosed() bool {
	closed := false
	examined, err := examine(c.Conn, func(fd int) {
		switch peek(fd) {
		case inputEnded:
			closed = true
		case inputPending:
			closed = hungUp(fd)
		}
	})
	return examined && (err != nil || closed)
}

// examine calls look with the file descriptor of a connection. It reports false if there is none.
func examine(c net.Conn, look func(fd int)) (examined bool, err error) {
	descriptor, ok := c.(syscall.Conn)
	if !ok {
		return false, nil
	}
	raw, err := descriptor.SyscallConn()
	if err != nil {
		return true, err
	}
	return true, raw.Control(func(fd uintptr) { look(int(fd)) })
}

// An inputState is what a socket holds for its reader.
type inputState int

const (
	inputNone    inputState = iota // open, without unread bytes
	inputPending                   // unread bytes
	inputEnded                     // closed by the other side or broken, without unread bytes
)

// peek returns the input state of a socket. An error other than the lack of input counts as the end.
func peek(fd int) inputState {
	var b [1]byte
	n, _, err := syscall.Recvfrom(fd, b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	switch {
	case err == syscall.EAGAIN:
		return inputNone
	case err == nil && n > 0:
		return inputPending
	}
	return inputEnded
}

// hungUp reports whether the other side of a socket has ended its sending, whatever is unread.
func hungUp(fd int) bool {
	fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
	n, err := unix.Poll(fds, 0)
	return err == nil && n > 0 && fds[0].Revents&unix.POLLRDHUP != 0
}

// CloseGracefully half-closes a connection, discards its input until the deadline, and closes it. Closing a connection
// with unread input would reset it, and the remote side would lose the unread part of a response.
func (c *Conn) CloseGracefully(deadline time.Time) {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok && half.CloseWrite() == nil {
		c.SetReadDeadline(deadline)
		io.CopyN(io.Discard, c.Conn, maxLingerBytes)
	}
	c.Close()
}

// InterruptOnDone interrupts reads and writes on a connection when the context is done. The returned function stops
// that, and reports whether the connection was not interrupted.
func InterruptOnDone(ctx context.Context, c *Conn) (stop func() bool) {
	c.SetDeadline(time.Time{})
	return context.AfterFunc(ctx, func() { c.SetDeadline(PastDeadline) })
}
