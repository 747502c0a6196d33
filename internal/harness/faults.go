package harness

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"cleathold/control"
	"cleathold/internal/audit"
)

// Faults are what a run on sockets does besides its plan.
type Faults struct {
	Answers     []AnswerFault // of discovery
	IdleClients []IdleClients
	// KeepConnections has clients go on using the connections that they have to a sender which is ending, until these end.
	KeepConnections bool
	// WatchTail has changes in the 200 ms after an answer to a watch count as told, as PROTOCOL says of a watch.
	WatchTail bool
	// Wrap returns the command in which a sender's program is started; nil starts the program itself.
	Wrap func(sender int, program string) []string
	// Sockets bounds the descriptors of a sender; 0 = 1,024.
	Sockets int
}

// An AnswerFailure is a way in which an answer of discovery fails.
type AnswerFailure string

// The failures. Cut ones end somewhere in the middle.
const (
	Stalls   AnswerFailure = "stalls"   // cut, and the connection stays open
	Closes   AnswerFailure = "closes"   // cut, and the connection is closed
	Resets   AnswerFailure = "resets"   // cut, and the connection is reset
	Garbles  AnswerFailure = "garbles"  // whole, and its body is no list
	Dribbles AnswerFailure = "dribbles" // in small pieces, over a second
	Delays   AnswerFailure = "delays"   // up to 900 ms late
	Silent   AnswerFailure = "silent"   // nothing of it comes
)

// AnswerFailures are all of them.
var AnswerFailures = []AnswerFailure{Stalls, Closes, Resets, Garbles, Dribbles, Delays, Silent}

// An AnswerFault has a share of discovery's answers fail for a time.
type AnswerFault struct {
	From, To time.Duration
	How      AnswerFailure
	Share    float64
}

// A IdleClients is idle clients that connect to each sender, hold on for a time and say nothing.
type IdleClients struct {
	From, To    time.Duration
	Connections int // to each sender
}

const (
	watchTail    = 200 * time.Millisecond // a watch goes on for so long after an answer
	dribbleParts = 20
	dribbleSpan  = time.Second
	delayMost    = 900 * time.Millisecond
)

// answerFault draws whether an answer that is due now fails; under the lock.
func (w *Environment) answerFault() AnswerFailure {
	now := w.now()
	for _, f := range w.faults.Answers {
		if now >= f.From && now < f.To && w.chance.Float64() < f.Share {
			return f.How
		}
	}
	return ""
}

// spoil writes an answer that fails, and ends its connection or waits until the sender does. The part of the answer that
// is written is drawn.
func (w *Environment) spoil(out http.ResponseWriter, how AnswerFailure, body []byte, cut float64) {
	hijacker, ok := out.(http.Hijacker)
	if !ok {
		return
	}
	conn, _, err := hijacker.Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	defer context.AfterFunc(w.ctx, func() { conn.Close() })()
	if how == Garbles {
		body = append([]byte(`{"version":`), make([]byte, len(body))...)
	}
	text := fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	part := text[:1+int(cut*float64(len(text)-2))]
	switch how {
	case Garbles:
		conn.Write(text)
	case Dribbles:
		w.dribble(conn, text)
	case Stalls:
		conn.Write(part)
	case Closes:
		conn.Write(part)
		return
	case Resets:
		conn.Write(part)
		reset(conn)
		return
	}
	io.Copy(io.Discard, conn) // until the sender ends it
}

// dribble writes a text piece by piece.
func (w *Environment) dribble(to net.Conn, text []byte) {
	size := max(1, len(text)/dribbleParts)
	for len(text) > 0 {
		n := min(size, len(text))
		if _, err := to.Write(text[:n]); err != nil || !w.sleep(dribbleSpan/dribbleParts) {
			return
		}
		text = text[n:]
	}
}

// tail notes what counts as told after an answer to a watch, as the watch goes on for a while.
func (w *Environment) tail(sender int, version int64) {
	if !w.faults.WatchTail {
		return
	}
	w.wg.Go(func() {
		if !w.sleep(watchTail) {
			return
		}
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.cutOff[sender] || w.ground.Watching(sender) {
			return // it can't be told, or what it is told comes by the call that it has open
		}
		lines, _, whole := w.ground.ListChanges(w.now(), sender, version)
		for _, l := range lines {
			if !whole && l.State != control.Ready {
				w.note(audit.Event{Kind: audit.Notified, Sender: sender, Endpoint: l.ID, Dest: l.Dest, Leaves: true})
			}
		}
	})
}

// crowds plays the idle clients against addresses of senders.
func (w *Environment) crowds(addresses []string) {
	for _, c := range w.faults.IdleClients {
		for _, addr := range addresses {
			w.wg.Go(func() { w.crowd(c, addr) })
		}
	}
}

// crowd connects idle clients to one sender. Those that are closed on are gone.
func (w *Environment) crowd(c IdleClients, addr string) {
	if !w.at(c.From) {
		return
	}
	var open []net.Conn
	defer func() {
		for _, conn := range open {
			conn.Close()
		}
	}()
	for range c.Connections {
		conn, err := net.DialTimeout("tcp4", addr, time.Second)
		if err == nil {
			open = append(open, conn)
		}
		if !w.sleep(rand.N(4 * time.Millisecond)) {
			return
		}
	}
	w.at(c.To)
}
