package state

import (
	"context"
	"os"
	"path/filepath"
	"testing"
	"time"

	"cleathold/control"
)

// cutShort is a folder with the log as a kill left it after so many bytes.
func cutShort(t *testing.T, name string, content []byte, n int) string {
	t.Helper()
	dir := t.TempDir()
	if err := os.WriteFile(filepath.Join(dir, filepath.Base(name)), content[:n], 0o600); err != nil {
		t.Fatal(err)
	}
	return dir
}

// Killed at any byte of its log, with discovery down at the next start and another list when it is back: a message
// that a client was told of and that was not tried is called, at an endpoint of that list. One that was tried is
// called again if it may be, or given up with a report; what has ended is not called.
func TestKilledAtEachWrite(t *testing.T) {
	for _, class := range []int{0, 2} { // safe, unsafe
		dir := t.TempDir()
		l, o := newTestLoop(t, dir, 1e6)
		ctx, cancel := context.WithCancel(t.Context())
		go l.Run(ctx)
		size := func() int {
			l.Idle()
			text, err := os.ReadFile(logFile(t, dir))
			if err != nil {
				t.Fatal(err)
			}
			return len(text)
		}
		v := make(chan Response, 1)
		l.Post(Submitted{Message: newMessage("a", class, time.Minute), Response: v})
		if !receive(t, v).Accepted {
			t.Fatal("not accepted")
		}
		taken := size()
		l.Post(ResponseWritten{"a", true})
		call := receive(t, o.calls)
		sent := size()
		l.Post(endedWith(call, AttemptResult{Result: control.Served, Final: true}))
		ended := size()
		cancel()
		<-l.finished
		name := logFile(t, dir)
		content, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		if !(taken < sent && sent < ended && ended <= len(content)) {
			t.Fatalf("the log had %d, %d, %d of %d bytes", taken, sent, ended, len(content))
		}
		for n := range len(content) + 1 {
			l, o := newTestLoopWithoutList(t, cutShort(t, name, content, n))
			ctx, cancel := context.WithCancel(t.Context())
			go l.Run(ctx)
			l.Idle()
			if len(o.calls) > 0 {
				t.Fatalf("cut at %d of %d: called without a list", n, len(content))
			}
			other := Target{ID: "other", Addr: "elsewhere", Endpoint: control.Endpoint{Destination: 7, State: control.Ready}}
			l.Post(ListUpdate{Kind: control.ListFull, Version: 2, Targets: []Target{other}})
			l.Idle()
			switch {
			case n >= taken && n < sent, n >= sent && n < ended && class == 0:
				if call := receive(t, o.calls); call.Target.ID != "other" || call.Attempts[0].Message.ID != "a" {
					t.Errorf("class %d, cut at %d of %d, %d, %d: %+v", class, n, taken, sent, ended, call)
				}
			case n >= sent && n < ended:
				if notice := receive(t, o.notices); notice.outcome() != "undeliverable" {
					t.Errorf("class %d, cut at %d of %d, %d, %d: %+v", class, n, taken, sent, ended, notice)
				}
			case n < taken && len(o.calls) > 0: // the client was told nothing yet: it may stand or not
				<-o.calls
			}
			if len(o.calls)+len(o.notices) > 0 {
				t.Errorf("class %d, cut at %d of %d, %d, %d: %d calls and %d notices besides", class, n, taken, sent, ended,
					len(o.calls), len(o.notices))
			}
			cancel()
			<-l.finished
		}
	}
}
