// Package handover transfers a running sender from one process to the next over a Unix socket. It passes the listening
// socket and all state that is not in the write-ahead log. It transfers state and makes no decisions about it; packages
// state and lifecycle define its meaning.
//
// The successor connects and sends a request. The predecessor, which is the process that serves, stops using its state
// and sends it together with the listening socket. The successor starts to serve, sends Ready, and continues only once
// the predecessor has confirmed it. Then the predecessor sends the results of the attempts still in flight, one message
// each. If the successor ends before it has sent Ready, the predecessor keeps everything. If the predecessor ends, a
// successor that has received the whole state takes over. If both live and only their connection fails, both may
// consider themselves the owner: the write-ahead log is locked for one process, and the other one ends.
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
	maxMessageBytes = 4 << 20         // the longest message is one with a state
	requestTimeout  = 2 * time.Second // for the request on a new connection, and for it to be picked up
	stateTimeout    = 5 * time.Second // for the state to arrive
	writeTimeout    = time.Second     // for writing a message
	maxPathLength   = 100             // the address of a Unix socket has at most 107 bytes
	socketName      = "cleathold-%016x.sock"
)

// ReadyTimeout bounds the time until a successor serves. After it the predecessor takes back its state.
const ReadyTimeout = 6 * time.Second

// Errors that callers distinguish.
var (
	// ErrRejected means that the serving process did not hand over. The wrapping error adds the reason.
	ErrRejected = errors.New("handover: refused")
	// ErrNotReady means that a successor answered the state with a message other than Ready.
	ErrNotReady = errors.New("handover: the successor did not report that it is ready")
	// ErrNoSocket means that a state arrived without a listening socket.
	ErrNoSocket = errors.New("handover: no listening socket received")
	// ErrNoState means that the answer to a request contained no state.
	ErrNoState = errors.New("handover: the answer contains no state")
)

// Path returns the path of the hand-over socket of the sender with the given state folder. All processes of that sender
// use the same path, and other senders use different ones.
func Path(state string) string {
	if abs, err := filepath.Abs(state); err == nil {
		state = abs
	}
	h := fnv.New64a()
	io.WriteString(h, state)
	return filepath.Join(os.TempDir(), fmt.Sprintf(socketName, h.Sum64()))
}

// message is a message in either direction. It is sent as JSON with a length prefix.
type message struct {
	Version   int                  `json:"v,omitempty"`
	Request   bool                 `json:"ask,omitempty"`      // from the successor: requests the hand-over
	Rejection string               `json:"refused,omitempty"`  // reason of a rejection
	State     *state.HandoverState `json:"estate,omitempty"`   // sent with the listening socket
	ListDoubt *state.ListDoubt     `json:"list,omitempty"`     // part of the state; earlier versions don't send it
	Ready     bool                 `json:"ready,omitempty"`    // from the successor: it serves
	Confirmed bool                 `json:"yours,omitempty"`    // the successor owns the state
	Result    *state.RemoteResult  `json:"returned,omitempty"` // of an attempt that was in flight at the hand-over
	Last      bool                 `json:"last,omitempty"`     // no attempt is in flight any more
}

// writeMessage writes a message. The rights, if not nil, are sent as ancillary data with the first byte.
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

// writeWithTimeout writes a message without rights, within writeTimeout.
func writeWithTimeout(c *net.UnixConn, m message) error {
	return writeMessage(c, m, nil, time.Now().Add(writeTimeout))
}

// reject sends a rejection with its reason and closes the connection. A failed write is ignored.
func reject(c *net.UnixConn, reason string) {
	writeWithTimeout(c, message{Rejection: reason})
	c.Close()
}

// readMessage reads a message with its length prefix.
func readMessage(in io.Reader) (m message, err error) {
	var size [4]byte
	if _, err = io.ReadFull(in, size[:]); err != nil {
		return m, err
	}
	n := binary.BigEndian.Uint32(size[:])
	if n > maxMessageBytes {
		return m, fmt.Errorf("handover: message of %d bytes exceeds the limit of %d", n, maxMessageBytes)
	}
	b := make([]byte, n)
	if _, err = io.ReadFull(in, b); err != nil {
		return m, err
	}
	return m, json.Unmarshal(b, &m)
}
