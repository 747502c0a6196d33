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

// writeTruncatedLog returns a folder with the first n bytes of a log, as a kill of the process may leave it.
func writeTruncatedLog(t *testing.T, name string, content []byte, n int) string {
	t.Helper()
	dir := t.TempDir()
	if err := os.WriteFile(filepath.Join(dir, filepath.Base(name)), content[:n], 0o600); err != nil {
		t.Fatal(err)
	}
	return dir
}

// messageLog is the log of one message that was served, with its size after each write.
type messageLog struct {
	class                 int
	name                  string
	content               []byte
	accepted, sent, ended int
}

// writeMessageLog runs a loop that serves one message, and returns the loop's log.
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
	// sizeAbove waits for the write that follows an event: the loop writes the log at the end of its iteration, which may
	// be after it has answered Idle.
	sizeAbove := func(previous int) int {
		for until := time.Now().Add(20 * time.Second); time.Now().Before(until); time.Sleep(time.Millisecond) {
			if size := len(read()); size > previous {
				return size
			}
		}
		t.Fatalf("the log did not grow beyond %d bytes", previous)
		return 0
	}
	written := &messageLog{class: class}
	v := make(chan Response, 1)
	l.Post(Submitted{Message: newMessage("a", class, time.Minute), Response: v})
	if !receive(t, v).Accepted {
		t.Fatal("not accepted")
	}
	written.accepted = sizeAbove(0)
	l.Post(ResponseWritten{"a", true})
	call := receive(t, o.calls)
	written.sent = sizeAbove(written.accepted)
	l.Post(endedWith(call, AttemptResult{Result: control.Served, Final: true}))
	written.ended = sizeAbove(written.sent)
	cancel()
	<-l.finished
	written.name, written.content = logFile(t, dir), read()
	if !(written.accepted < written.sent && written.sent < written.ended && written.ended <= len(written.content)) {
		t.Fatalf("sizes of the log: %d, %d, %d; %d at the end",
			written.accepted, written.sent, written.ended, len(written.content))
	}
	return written
}

// restartTruncated starts a loop on the first n bytes of the log while discovery is down, and checks which calls and
// reports follow once it has an endpoint list.
func (w *messageLog) restartTruncated(t *testing.T, n int) {
	t.Helper()
	l, o := newTestLoopWithoutList(t, writeTruncatedLog(t, w.name, w.content, n))
	ctx, cancel := context.WithCancel(t.Context())
	go l.Run(ctx)
	l.Idle()
	if len(o.calls) > 0 {
		t.Fatalf("truncated at %d of %d: call sent without an endpoint list", n, len(w.content))
	}
	other := Target{ID: "other", Addr: "elsewhere", Endpoint: control.Endpoint{Destination: 7, State: control.Ready}}
	l.Post(ListUpdate{Kind: control.ListFull, Version: 2, Targets: []Target{other}})
	l.Idle()
	at := fmt.Sprintf("class %d, truncated at %d, sizes %d, %d, %d", w.class, n, w.accepted, w.sent, w.ended)
	switch {
	case n >= w.accepted && n < w.sent, n >= w.sent && n < w.ended && w.class == 0:
		if call := receive(t, o.calls); call.Target.ID != "other" || call.Attempts[0].Message.ID != "a" {
			t.Errorf("%s: %+v", at, call)
		}
	case n >= w.sent && n < w.ended:
		if report := receive(t, o.reports); report.outcome() != "undeliverable" {
			t.Errorf("%s: %+v", at, report)
		}
	case n < w.accepted && len(o.calls) > 0: // the client has no response yet: the message may be kept or lost
		<-o.calls
	}
	if len(o.calls)+len(o.reports) > 0 {
		t.Errorf("%s: %d further calls and %d further reports", at, len(o.calls), len(o.reports))
	}
	cancel()
	<-l.finished
}

// TestKilledAtEachWrite kills a process at any byte of its log, restarts it while discovery is down and then lists
// another endpoint. A message that was accepted and not attempted is sent to that endpoint. One that was attempted is
// sent again if its class allows it, and otherwise ends with a report. A message that has ended is not sent.
func TestKilledAtEachWrite(t *testing.T) {
	for _, class := range []int{0, 2} { // idempotent, not idempotent
		w := writeMessageLog(t, class)
		for n := range len(w.content) + 1 {
			w.restartTruncated(t, n)
		}
	}
}
