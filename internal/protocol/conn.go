package protocol

import (
	"bufio"
	"context"
	"io"
	"net"
	"syscall"
	"time"

	"cleathold/internal/state"
)

// maxLingerBytes is the maximum number of bytes discarded from a connection between its half-close and its close.
const maxLingerBytes = 16 * state.MaxBody

// pastDeadline is a deadline in the past, which interrupts pending reads and writes on a connection.
var pastDeadline = time.Unix(1, 0)

// A bufferedConn is a connection with a read buffer. readLimit bounds the bytes read, because the HTTP parser doesn't
// limit the size of headers.
type bufferedConn struct {
	net.Conn
	readLimit *io.LimitedReader
	reader    *bufio.Reader
	addr      string    // the dialed address
	idleSince time.Time // when the connection was returned to a connPool
}

func newBufferedConn(c net.Conn) *bufferedConn {
	limit := &io.LimitedReader{R: c}
	return &bufferedConn{Conn: c, readLimit: limit, reader: bufio.NewReaderSize(limit, 4<<10)}
}

// dial opens a TCP connection. The context bounds only the dial.
func dial(ctx context.Context, addr string) (*bufferedConn, error) {
	conn, err := (&net.Dialer{KeepAlive: -1}).DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	c := newBufferedConn(conn)
	c.addr = addr
	return c, nil
}

// stale reports whether the remote side has closed an idle connection or sent unsolicited data. A request written to
// such a connection would be lost.
func (c *bufferedConn) stale() bool { return !c.openWithoutInput() || c.reader.Buffered() > 0 }

// openWithoutInput reports whether the connection is open and its socket has no unread bytes. It doesn't take the read
// lock of the connection, so it may be called while another goroutine is blocked in Read.
func (c *bufferedConn) openWithoutInput() bool {
	raw, err := c.Conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, e := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = e == syscall.EAGAIN
	})
	return err == nil && open
}

// closeGracefully half-closes a connection, discards its input until the deadline, and closes it. Closing a connection
// with unread input would reset it, and the remote side would lose the unread part of a response.
func (c *bufferedConn) closeGracefully(deadline time.Time) {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok && half.CloseWrite() == nil {
		c.SetReadDeadline(deadline)
		io.CopyN(io.Discard, c.Conn, maxLingerBytes)
	}
	c.Close()
}

// interruptOnDone interrupts reads and writes on a connection when the context is done. The returned function stops
// that, and reports whether the connection was not interrupted.
func interruptOnDone(ctx context.Context, c *bufferedConn) (stop func() bool) {
	c.SetDeadline(time.Time{})
	return context.AfterFunc(ctx, func() { c.SetDeadline(pastDeadline) })
}
