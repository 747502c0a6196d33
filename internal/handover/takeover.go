package handover

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"time"

	"golang.org/x/sys/unix"

	"cleathold/internal/state"
)

// Takeover is the successor's side of a hand-over after it has received the state. It ends with Abort or Run.
type Takeover struct {
	State    state.HandoverState
	Listener net.Listener
	conn     *net.UnixConn
	in       *bufio.Reader
}

// RequestTakeover requests the hand-over from the process that listens at the path. It returns nil without an error if
// there is no such process. Errors are ErrRejected, ErrNoState, ErrNoSocket and those of the connection.
func RequestTakeover(path string) (*Takeover, error) {
	conn, err := net.Dial("unix", path)
	if err != nil {
		return nil, nil // the process has ended, or there never was one
	}
	c := conn.(*net.UnixConn)
	if err := writeWithTimeout(c, message{Version: version, Request: true}); err != nil {
		c.Close()
		return nil, nil
	}
	t, err := readTakeover(c)
	if err != nil {
		c.Close()
		return nil, err
	}
	return t, nil
}

// readTakeover reads the answer to a request: a state, with the listening socket as ancillary data of its first byte.
func readTakeover(c *net.UnixConn) (*Takeover, error) {
	c.SetReadDeadline(time.Now().Add(stateTimeout))
	first, oob := make([]byte, 1), make([]byte, unix.CmsgSpace(4))
	_, n, _, _, err := c.ReadMsgUnix(first, oob)
	if err != nil {
		return nil, fmt.Errorf("handover: no answer from the serving process: %w", err)
	}
	in := bufio.NewReader(c)
	m, err := readMessage(io.MultiReader(bytes.NewReader(first), in))
	switch {
	case m.Rejection != "" && (err != nil || m.State == nil):
		return nil, fmt.Errorf("%w: %s", ErrRejected, m.Rejection)
	case err != nil:
		return nil, fmt.Errorf("handover: can't read the state: %w", err)
	case m.State == nil:
		return nil, ErrNoState
	}
	listener, err := listenerFromRights(oob[:n])
	if err != nil {
		return nil, err
	}
	c.SetReadDeadline(time.Time{})
	m.State.ListDoubt = m.ListDoubt
	return &Takeover{State: *m.State, Listener: listener, conn: c, in: in}, nil
}

// listenerFromRights returns a listener for the file descriptor in the ancillary data.
func listenerFromRights(oob []byte) (net.Listener, error) {
	list, err := unix.ParseSocketControlMessage(oob)
	if err != nil || len(list) != 1 {
		return nil, ErrNoSocket
	}
	fds, err := unix.ParseUnixRights(&list[0])
	if err != nil || len(fds) != 1 {
		return nil, ErrNoSocket
	}
	unix.CloseOnExec(fds[0])
	f := os.NewFile(uintptr(fds[0]), "listener")
	defer f.Close()
	listener, err := net.FileListener(f)
	if err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	return listener, nil
}

// ConfirmReady notifies the predecessor that this process serves. It returns ErrRejected if the predecessor has taken
// back its state; this process must then end. If the predecessor has ended, ConfirmReady returns nil, because only a
// running predecessor can take back its state.
func (t *Takeover) ConfirmReady() error {
	if err := writeWithTimeout(t.conn, message{Ready: true}); err != nil {
		return nil
	}
	t.conn.SetReadDeadline(time.Now().Add(writeTimeout))
	defer t.conn.SetReadDeadline(time.Time{})
	m, err := readMessage(t.in)
	if err == nil && !m.Confirmed {
		return fmt.Errorf("%w: %s", ErrRejected, m.Rejection)
	}
	return nil
}

// Run posts the results of the predecessor's attempts in flight, until the last one or until the predecessor ends. Then
// it posts state.PredecessorLost.
func (t *Takeover) Run(ctx context.Context, poster EventPoster) {
	stop := context.AfterFunc(ctx, func() { t.conn.Close() })
	defer stop()
	defer t.conn.Close()
	for {
		m, err := readMessage(t.in)
		if m.Result != nil {
			poster.Post(*m.Result)
		}
		if err != nil || m.Last {
			poster.Post(state.PredecessorLost{})
			return
		}
	}
}

// Abort cancels the takeover before this process serves. The predecessor continues.
func (t *Takeover) Abort() { t.conn.Close() }
