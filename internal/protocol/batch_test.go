package protocol

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"cleathold/control"
	"cleathold/internal/socktest"
	"cleathold/internal/state"
)

func TestParseBatchResults(t *testing.T) {
	got := parseBatchResults([]byte("a delivered\r\nb failed\nc refused\nd over\ne spent\n"))
	for id, want := range map[string]state.AttemptResult{
		"a": {Result: control.Served, Final: true}, "b": {Result: control.Failed}, "c": {Result: control.Rejected},
		"d": {Result: control.NotSent, Final: true}, "e": {Result: control.NotSent},
	} {
		if got[id] != want {
			t.Errorf("%s: %+v, want %+v", id, got[id], want)
		}
	}
	for _, malformed := range []string{"a delivered\nb what\n", "a refused\nnonsense\n", "a refused\na refused\n",
		"a refused\nb deliv"} {
		if got := parseBatchResults([]byte(malformed)); len(got) > 0 {
			t.Errorf("%q: %+v", malformed, got)
		}
	}
}

func TestEncodeBatchAndReports(t *testing.T) {
	body := encodeBatch([]*state.Attempt{
		{Message: &state.Message{ID: "a", Body: []byte("he\r\nlo")}}, {Message: &state.Message{ID: "b", Key: "k"}},
	})
	if want := "a - 6\r\nhe\r\nlo\r\nb k 0\r\n\r\n"; string(body) != want {
		t.Errorf("frames %q, want %q", body, want)
	}
	reports := encodeReports([]state.DeliveryReport{{ID: "a", Deferred: true, RetryAfter: 500 * time.Millisecond},
		{ID: "b"}})
	want := `{"id":"a","status":"deferred","again_ms":500}` + "\n" + `{"id":"b","status":"undeliverable"}` + "\n"
	if string(reports) != want {
		t.Errorf("notices %q, want %q", reports, want)
	}
}

// TestBatchResults checks that each message of a batch gets its own result, and that a message whose deadline passes
// first times out alone while the others still get their results.
func TestBatchResults(t *testing.T) {
	recorder := newEventRecorder()
	transport := NewTransport(recorder, discardLog)
	respond := make(chan struct{})
	addr := socktest.Serve(t, func(_ int, r *http.Request, body string) string {
		if r.URL.Path != "/receive-many" || !strings.HasPrefix(body, "a k-a 9\r\nbody of a\r\nb k-b 9\r\n") {
			t.Errorf("target got %v %q", r, body)
		}
		<-respond
		const ends = "a delivered\r\nb refused\r\nc delivered\r\n"
		return fmt.Sprintf("HTTP/1.1 200 x\r\nRetry-After: 2\r\nContent-Length: %d\r\n\r\n%s", len(ends), ends)
	})
	c := callTo(addr, time.Minute, "a", "b", "c")
	c.Attempts[2].Deadline = time.Now().Add(20 * time.Millisecond)
	transport.Send(c)
	first := next[state.CallEnded](t, recorder).Results
	if len(first) != 1 || first[0].Attempt != c.Attempts[2] || first[0].Result != control.TimedOut {
		t.Fatalf("first %+v", first)
	}
	close(respond)
	rest := next[state.CallEnded](t, recorder).Results
	if len(rest) != 2 || rest[0].Result != control.Served || rest[1].Result != control.Rejected ||
		rest[1].RetryAfter != 2*time.Second {
		t.Fatalf("then %+v", rest)
	}
}

// TestMalformedBatchResponse checks that a malformed response to a batch ends all messages of the batch with the same
// result.
func TestMalformedBatchResponse(t *testing.T) {
	for _, answer := range []string{
		"HTTP/1.1 200 x\r\nContent-Length: 13\r\n\r\na delivered\r\n", // no result for b
		"HTTP/1.1 200 x\r\nContent-Length: 90\r\n\r\na delivered\r\nb deli",
		"HTTP/1.1 200 x\r\nContent-Length: -1\r\n\r\n",
		socktest.JSON("a delivered\r\na delivered\r\nb delivered\r\n"),
		socktest.JSON("a deliv\r\nb delivered\r\n"),
	} {
		recorder := newEventRecorder()
		transport := NewTransport(recorder, discardLog)
		addr := socktest.Serve(t, func(int, *http.Request, string) string { return answer })
		transport.Send(callTo(addr, time.Minute, "a", "b"))
		results := next[state.CallEnded](t, recorder).Results
		if len(results) != 2 || results[0].Result != control.Failed || results[1].Result != control.Failed {
			t.Errorf("%q: %+v", answer, results)
		}
	}
}
