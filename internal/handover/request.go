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

// Request is a successor's request to take over. It ends with Reject, with a HandOver that fails, or with
// ForwardResults.
type Request struct{ conn *net.UnixConn }

// Reject sends the reason to the successor and closes the connection.
func (r *Request) Reject(reason string) { reject(r.conn, reason) }

// HandOver sends the listening socket and the state to the successor, and waits until it serves, for at most
// ReadyTimeout. After an error, such as ErrNotReady, the predecessor owns the socket and the state again.
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

// sendState sends the state together with the listening socket, and waits for the successor to be ready.
func (r *Request) sendState(socket syscall.RawConn, s state.HandoverState) error {
	deadline := time.Now().Add(ReadyTimeout)
	var err error
	controlErr := socket.Control(func(fd uintptr) {
		err = writeMessage(r.conn, message{Version: version, State: &s, ListDoubt: s.ListDoubt}, unix.UnixRights(int(fd)), deadline)
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

// ForwardResults sends the results of the attempts in flight to the successor, until the last one or an error of the
// connection or the context, which it returns.
func (r *Request) ForwardResults(ctx context.Context, q *ResultQueue) error {
	defer r.conn.Close()
	return q.forEach(ctx, func(result *state.RemoteResult, last bool) error {
		return writeWithTimeout(r.conn, message{Result: result, Last: last})
	})
}
