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

// drawAnswerFailure draws whether an answer that is due now fails, and how; empty: it does not. The caller holds the
// lock.
func (env *Environment) drawAnswerFailure() AnswerFailure {
	now := env.now()
	for _, f := range env.faults.Answers {
		if now >= f.From && now < f.To && env.faultRNG.Float64() < f.Share {
			return f.How
		}
	}
	return ""
}

// writeFailedAnswer writes an answer as it fails, and closes its connection or waits until the sender does.
func (env *Environment) writeFailedAnswer(w http.ResponseWriter, a listAnswer) {
	hijacker, ok := w.(http.Hijacker)
	if !ok {
		return
	}
	conn, _, err := hijacker.Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	defer context.AfterFunc(env.ctx, func() { conn.Close() })()
	body := a.body
	if a.failure == Garbles {
		body = append([]byte(`{"version":`), make([]byte, len(body))...)
	}
	text := fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s",
		len(body), body)
	prefix := text[:1+int(a.fraction*float64(len(text)-2))]
	switch a.failure {
	case Garbles:
		conn.Write(text)
	case Dribbles:
		env.writeSlowly(conn, text)
	case Stalls:
		conn.Write(prefix)
	case Closes:
		conn.Write(prefix)
		return
	case Resets:
		conn.Write(prefix)
		resetConn(conn)
		return
	}
	io.Copy(io.Discard, conn) // until the sender closes it
}

// writeSlowly writes a text in small pieces, spread over slowAnswerDuration.
func (env *Environment) writeSlowly(conn net.Conn, text []byte) {
	size := max(1, len(text)/slowAnswerParts)
	for len(text) > 0 {
		n := min(size, len(text))
		if _, err := conn.Write(text[:n]); err != nil || !env.sleep(slowAnswerDuration/slowAnswerParts) {
			return
		}
		text = text[n:]
	}
}

// recordWatchTail records the changes that count as notified after an answer to a watch, as the watch goes on for a
// while.
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
			return // nothing reaches the sender, or its open watch notifies it
		}
		lines, _, full := env.simulated.ListChanges(env.now(), sender, version)
		for _, l := range lines {
			if !full && l.State != control.Ready {
				env.record(audit.Event{
					Kind: audit.Notified, Sender: sender, Endpoint: l.ID, Dest: l.Dest, Leaves: true,
				})
			}
		}
	})
}
