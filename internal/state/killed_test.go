package state

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"cleathold/control"
)

// writeTruncatedLog is a folder with the log as a kill left it after so many bytes.
func writeTruncatedLog(t *testing.T, name string, content []byte, n int) string {
	t.Helper()
	dir := t.TempDir()
	if err := os.WriteFile(filepath.Join(dir, filepath.Base(name)), content[:n], 0o600); err != nil {
		t.Fatal(err)
	}
	return dir
}

// messageLog is the log of one message that was served, and how long it was after each write.
type messageLog struct {
	class                 int
	name                  string
	content               []byte
	accepted, sent, ended int
}

// writeMessageLog has a loop serve a message, and returns what it wrote.
func writeMessageLog(t *testing.T, class int) *messageLog {
	t.Helper()
	dir := t.TempDir()
	l, o := newTestLoop(t, dir, 1e6)
	ctx, cancel := context.WithCancel(t.Context())
	go l.Run(ctx)
	read := func() []byte {
		content, err := os.ReadFile(logFile(t, dir))
		if err != nil {
			t.Fatal(err)
		}
		return content
	}
	size := func() int {
		l.Idle()
		return len(read())
	}
	w := &messageLog{class: class}
	v := make(chan Response, 1)
	l.Post(Submitted{Message: newMessage("a", class, time.Minute), Response: v})
	if !receive(t, v).Accepted {
		t.Fatal("not accepted")
	}
	w.accepted = size()
	l.Post(ResponseWritten{"a", true})
	call := receive(t, o.calls)
	w.sent = size()
	l.Post(endedWith(call, AttemptResult{Result: control.Served, Final: true}))
	w.ended = size()
	cancel()
	<-l.finished
	w.name, w.content = logFile(t, dir), read()
	if !(w.accepted < w.sent && w.sent < w.ended && w.ended <= len(w.content)) {
		t.Fatalf("the log had %d, %d, %d of %d bytes", w.accepted, w.sent, w.ended, len(w.content))
	}
	return w
}

// restartTruncated starts a loop, while discovery is down, on what a kill left of the log after n bytes, and checks what it
// does once it has a list.
func (w *messageLog) restartTruncated(t *testing.T, n int) {
	t.Helper()
	l, o := newTestLoopWithoutList(t, writeTruncatedLog(t, w.name, w.content, n))
	ctx, cancel := context.WithCancel(t.Context())
	go l.Run(ctx)
	l.Idle()
	if len(o.calls) > 0 {
		t.Fatalf("cut at %d of %d: called without a list", n, len(w.content))
	}
	other := Target{ID: "other", Addr: "elsewhere", Endpoint: control.Endpoint{Destination: 7, State: control.Ready}}
	l.Post(ListUpdate{Kind: control.ListFull, Version: 2, Targets: []Target{other}})
	l.Idle()
	at := fmt.Sprintf("class %d, cut at %d of %d, %d, %d", w.class, n, w.accepted, w.sent, w.ended)
	switch {
	case n >= w.accepted && n < w.sent, n >= w.sent && n < w.ended && w.class == 0:
		if call := receive(t, o.calls); call.Target.ID != "other" || call.Attempts[0].Message.ID != "a" {
			t.Errorf("%s: %+v", at, call)
		}
	case n >= w.sent && n < w.ended:
		if report := receive(t, o.reports); report.outcome() != "undeliverable" {
			t.Errorf("%s: %+v", at, report)
		}
	case n < w.accepted && len(o.calls) > 0: // the client was told nothing yet: it may stand or not
		<-o.calls
	}
	if len(o.calls)+len(o.reports) > 0 {
		t.Errorf("%s: %d calls and %d reports besides", at, len(o.calls), len(o.reports))
	}
	cancel()
	<-l.finished
}

// Killed at any byte of its log, with discovery down at the next start and another list when it is back: a message
// that a client was told of and that was not tried is called, at an endpoint of that list. One that was tried is
// called again if it may be, or given up with a report; what has ended is not called.
func TestKilledAtEachWrite(t *testing.T) {
	for _, class := range []int{0, 2} { // idempotent, not idempotent
		w := writeMessageLog(t, class)
		for n := range len(w.content) + 1 {
			w.restartTruncated(t, n)
		}
	}
}
