package harness

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"

	"cleathold/control"
	"cleathold/internal/abuse"
	"cleathold/internal/audit"
)

// drawAnswerFailure randomly decides whether a discovery answer that is due now fails, and returns the failure mode,
// or the empty string if it does not fail. The caller must hold env.mu.
func (env *Environment) drawAnswerFailure() AnswerFailure {
	now := env.now()
	for _, f := range env.faults.Answers {
		if now >= f.From && now < f.To && env.faultRNG.Float64() < f.Fraction {
			return f.Failure
		}
	}
	return ""
}

// writeFailedAnswer writes an answer according to its failure mode, and then closes the connection or waits until the
// sender closes it.
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
	fields := ""
	if a.failure == Garbles || a.failure == Bloats {
		body = append([]byte(`{"version":`), make([]byte, len(body))...)
	}
	if a.failure == Bloats {
		fields = abuse.ShortFields(bloatedAnswerBytes)
	}
	text := fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n%sContent-Length: %d\r\n\r\n%s",
		fields, len(body), body)
	prefix := text[:1+int(a.fraction*float64(len(text)-2))]
	switch a.failure {
	case Garbles, Bloats:
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
	io.Copy(io.Discard, conn) // returns when the sender closes the connection
}

// writeSlowly writes text in small pieces, spread over slowAnswerDuration.
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

// recordWatchTail records, after watchTailWindow, the endpoint changes since the given version as notified. According
// to PROTOCOL, a watch still covers changes that occur shortly after its answer.
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
			return // the sender is unreachable, or its next watch is open and will notify it
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
