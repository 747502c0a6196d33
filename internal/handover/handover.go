// Package handover is how one process of a sender hands over to the next while both run: a Unix socket by which the
// listening socket, and all that is not in the write-ahead log, pass from one to the other. It moves state and
// decides nothing about it; what the state means is internal/state's and internal/lifecycle's.
//
// The successor connects and requests. The process that serves, the predecessor, lets go and sends the listening
// socket with its state. The successor begins to serve and says so; only a confirmed successor goes on. Then the
// results of the attempts that are still in flight follow, one message each. A successor that is gone before it has
// said so leaves everything with the predecessor; a predecessor that is gone leaves it with a successor that has the
// whole state. Should both live and only the connection between them be cut, both may believe that they have it: the
// log is locked for one process, and the other one ends.
package handover

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"os"
	"path/filepath"
	"time"

	"cleathold/internal/state"
)

const (
	version         = 1
	maxMessageBytes = 4 << 20         // the longest message: a state
	requestTimeout  = 2 * time.Second // a connection must have requested within this
	stateTimeout    = 5 * time.Second // a state must have come within this
	writeTimeout    = time.Second     // a message must be taken within this
	maxPathLength   = 100             // a Unix address is no longer than 107 bytes
	socketName      = "cleathold-%016x.sock"
)

// ReadyTimeout is within what time a successor must serve, or everything is taken back.
const ReadyTimeout = 6 * time.Second

// The errors that callers tell apart.
var (
	// ErrRejected tells that the process that serves does not hand over. The text after it says why.
	ErrRejected = errors.New("handover: refused")
	// ErrNotReady tells that a successor answered the state without saying that it serves.
	ErrNotReady = errors.New("handover: the successor did not say that it serves")
	// ErrNoSocket tells that a state came without a listening socket.
	ErrNoSocket = errors.New("handover: no listening socket came along")
	// ErrNoState tells that a request was answered by something else than a state.
	ErrNoState = errors.New("handover: the answer holds no state")
)

// Path returns the path of the socket of the sender with a state folder: the same for each process of it, and for no
// other's.
func Path(state string) string {
	if abs, err := filepath.Abs(state); err == nil {
		state = abs
	}
	h := fnv.New64a()
	io.WriteString(h, state)
	return filepath.Join(os.TempDir(), fmt.Sprintf(socketName, h.Sum64()))
}

// message is one message, in either direction: JSON with its length before it.
type message struct {
	Version   int                  `json:"v,omitempty"`
	Request   bool                 `json:"ask,omitempty"`      // successor: hand over
	Rejection string               `json:"refused,omitempty"`  // why not
	State     *state.HandoverState `json:"estate,omitempty"`   // with the listening socket
	Ready     bool                 `json:"ready,omitempty"`    // successor: it serves
	Confirmed bool                 `json:"yours,omitempty"`    // all is the successor's
	Result    *state.RemoteResult  `json:"returned,omitempty"` // of an attempt that was in flight
	Last      bool                 `json:"last,omitempty"`     // nothing is in flight any more
}

// writeMessage sends a message, and rights with its first byte where there are any.
func writeMessage(c *net.UnixConn, m message, rights []byte, deadline time.Time) error {
	text, err := json.Marshal(m)
	if err != nil {
		return err
	}
	b := append(binary.BigEndian.AppendUint32(nil, uint32(len(text))), text...)
	c.SetWriteDeadline(deadline)
	n := 0
	if rights != nil {
		if n, _, err = c.WriteMsgUnix(b[:1], rights, nil); err != nil {
			return err
		}
	}
	_, err = c.Write(b[n:])
	return err
}

// writeWithTimeout is writeMessage without rights, to a process that must take it within writeTimeout.
func writeWithTimeout(c *net.UnixConn, m message) error {
	return writeMessage(c, m, nil, time.Now().Add(writeTimeout))
}

// reject tells the other process why not, as far as it still listens, and closes the connection.
func reject(c *net.UnixConn, reason string) {
	writeWithTimeout(c, message{Rejection: reason})
	c.Close()
}

func readMessage(in io.Reader) (m message, err error) {
	var size [4]byte
	if _, err = io.ReadFull(in, size[:]); err != nil {
		return m, err
	}
	n := binary.BigEndian.Uint32(size[:])
	if n > maxMessageBytes {
		return m, fmt.Errorf("handover: a message of %d bytes, %d at most", n, maxMessageBytes)
	}
	b := make([]byte, n)
	if _, err = io.ReadFull(in, b); err != nil {
		return m, err
	}
	return m, json.Unmarshal(b, &m)
}
