package handover

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"cleathold/internal/state"
)

// Request is a process that wants to take over. It ends with Reject, a HandOver that fails, or ForwardResults.
type Request struct{ conn *net.UnixConn }

// Reject tells it why not.
func (r *Request) Reject(reason string) { reject(r.conn, reason) }

// HandOver hands it the listening socket and the state, and waits until it serves, for ReadyTimeout at most. After an
// error everything belongs to the predecessor again; ErrNotReady is such.
func (r *Request) HandOver(socket syscall.Conn, s state.HandoverState) error {
	raw, err := socket.SyscallConn()
	if err != nil {
		r.conn.Close()
		return err
	}
	err = r.sendState(raw, s)
	if err == nil {
		err = writeWithTimeout(r.conn, message{Confirmed: true})
	}
	if err != nil {
		reject(r.conn, "too late")
	}
	return err
}

// sendState sends the listening socket with the state, and waits for the answer.
func (r *Request) sendState(socket syscall.RawConn, s state.HandoverState) error {
	deadline := time.Now().Add(ReadyTimeout)
	var err error
	controlErr := socket.Control(func(fd uintptr) {
		err = writeMessage(r.conn, message{Version: version, State: &s}, unix.UnixRights(int(fd)), deadline)
	})
	if err = errors.Join(controlErr, err); err != nil {
		return err
	}
	r.conn.SetReadDeadline(deadline)
	m, err := readMessage(r.conn)
	if err == nil && !m.Ready {
		err = ErrNotReady
	}
	return err
}

// ForwardResults tells it the results of the attempts that are in flight, until the last one or until it is gone. The
// error is one of the connection or of the context.
func (r *Request) ForwardResults(ctx context.Context, q *ResultQueue) error {
	defer r.conn.Close()
	return q.forEach(ctx, func(result *state.RemoteResult, last bool) error {
		return writeWithTimeout(r.conn, message{Result: result, Last: last})
	})
}
