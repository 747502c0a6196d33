package harness

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"

	"cleathold/control"
	"cleathold/internal/audit"
)

// drawAnswerFailure draws whether an answer that is due now fails; under the lock.
func (env *Environment) drawAnswerFailure() AnswerFailure {
	now := env.now()
	for _, f := range env.faults.Answers {
		if now >= f.From && now < f.To && env.faultRNG.Float64() < f.Share {
			return f.How
		}
	}
	return ""
}

// writeFailedAnswer writes an answer that fails, and ends its connection or waits until the sender does. The part of
// the answer that is written is drawn.
func (env *Environment) writeFailedAnswer(out http.ResponseWriter, how AnswerFailure, body []byte, cut float64) {
	hijacker, ok := out.(http.Hijacker)
	if !ok {
		return
	}
	conn, _, err := hijacker.Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	defer context.AfterFunc(env.ctx, func() { conn.Close() })()
	if how == Garbles {
		body = append([]byte(`{"version":`), make([]byte, len(body))...)
	}
	text := fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	part := text[:1+int(cut*float64(len(text)-2))]
	switch how {
	case Garbles:
		conn.Write(text)
	case Dribbles:
		env.writeSlowly(conn, text)
	case Stalls:
		conn.Write(part)
	case Closes:
		conn.Write(part)
		return
	case Resets:
		conn.Write(part)
		resetConn(conn)
		return
	}
	io.Copy(io.Discard, conn) // until the sender ends it
}

// writeSlowly writes a text piece by piece.
func (env *Environment) writeSlowly(to net.Conn, text []byte) {
	size := max(1, len(text)/slowAnswerParts)
	for len(text) > 0 {
		n := min(size, len(text))
		if _, err := to.Write(text[:n]); err != nil || !env.sleep(slowAnswerDuration/slowAnswerParts) {
			return
		}
		text = text[n:]
	}
}

// recordWatchTail notes what counts as told after an answer to a watch, as the watch goes on for a while.
func (env *Environment) recordWatchTail(sender int, version int64) {
	if !env.faults.WatchTail {
		return
	}
	env.wg.Go(func() {
		if !env.sleep(watchTailWindow) {
			return
		}
		env.mu.Lock()
		defer env.mu.Unlock()
		if env.discoveryCut[sender] || env.simulated.Watching(sender) {
			return // it can't be told, or what it is told comes by the call that it has open
		}
		lines, _, whole := env.simulated.ListChanges(env.now(), sender, version)
		for _, l := range lines {
			if !whole && l.State != control.Ready {
				env.record(audit.Event{Kind: audit.Notified, Sender: sender, Endpoint: l.ID, Dest: l.Dest, Leaves: true})
			}
		}
	})
}
