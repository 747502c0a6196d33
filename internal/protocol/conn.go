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

// maxLingerBytes is the most that is read of a connection between its half-close and its close.
const maxLingerBytes = 16 * state.MaxBody

// pastDeadline is a deadline that ends what waits on a connection at once.
var pastDeadline = time.Unix(1, 0)

// A bufferedConn is one connection with its read buffer. What it reads is bounded by readLimit, as the HTTP parser sets
// no limit to headers.
type bufferedConn struct {
	net.Conn
	readLimit *io.LimitedReader
	reader    *bufio.Reader
	addr      string    // the address it was dialed for
	idleSince time.Time // when it was put into a connPool
}

func newBufferedConn(c net.Conn) *bufferedConn {
	limit := &io.LimitedReader{R: c}
	return &bufferedConn{Conn: c, readLimit: limit, reader: bufio.NewReaderSize(limit, 4<<10)}
}

// dial opens a connection, within the context's time.
func dial(ctx context.Context, addr string) (*bufferedConn, error) {
	conn, err := (&net.Dialer{KeepAlive: -1}).DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	c := newBufferedConn(conn)
	c.addr = addr
	return c, nil
}

// stale reports whether the other side has closed an idle connection, or has sent something unsolicited: a request
// written to it would be lost.
func (c *bufferedConn) stale() bool { return !c.openWithoutInput() || c.reader.Buffered() > 0 }

// openWithoutInput reports whether the connection is open and its socket holds no unread bytes. It takes no lock that a
// reader holds, and so may be asked while another goroutine waits in Read.
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

// closeGracefully half-closes a connection, reads and discards what still comes until a deadline, and closes it. A
// plain close over unread bytes resets the connection, and the other side loses what it has not read of a response.
func (c *bufferedConn) closeGracefully(deadline time.Time) {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok && half.CloseWrite() == nil {
		c.SetReadDeadline(deadline)
		io.CopyN(io.Discard, c.Conn, maxLingerBytes)
	}
	c.Close()
}

// interruptOnDone interrupts reads and writes on a connection when the context ends. stop ends that, and reports
// whether the connection had not been interrupted.
func interruptOnDone(ctx context.Context, c *bufferedConn) (stop func() bool) {
	c.SetDeadline(time.Time{})
	return context.AfterFunc(ctx, func() { c.SetDeadline(pastDeadline) })
}
