package protocol

import (
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"cleathold/control"
	"cleathold/internal/socktest"
	"cleathold/internal/state"
)

// TestReportOnUnresponsiveConnection checks that a report sent on an unresponsive connection is repeated on another one
// in time: it is due 300 ms after the deadline of its message.
func TestReportOnUnresponsiveConnection(t *testing.T) {
	received := make(chan int, 8)
	addr := socktest.Serve(t, func(conn int, _ *http.Request, _ string) string {
		received <- conn
		if conn == 1 {
			return socktest.Hang
		}
		return socktest.Status(204)
	})
	recorder := newEventRecorder()
	reporter := NewReporter(recorder, addr, discardLog)
	runUntilEnd(t, reporter.Run)
	reporter.Report(state.DeliveryReport{Number: 1, ID: "a"})
	next[state.ReportsAcknowledged](t, recorder)
	startedAt := time.Now()
	reporter.Report(state.DeliveryReport{Number: 2, ID: "b"})
	next[state.ReportsAcknowledged](t, recorder)
	if took := time.Since(startedAt); took > 300*time.Millisecond {
		t.Errorf("acknowledged after %v", took)
	}
	if a, b, c := <-received, <-received, <-received; a != 0 || b != 1 || c != 2 {
		t.Errorf("received on connections %d, %d, %d", a, b, c)
	}
}

// TestReportAfterPlatformRecovers checks that reports arrive soon after an outage of the platform: they are due 300 ms
// after the deadlines of their messages, which may pass during the outage.
func TestReportAfterPlatformRecovers(t *testing.T) {
	var recoversAt atomic.Pointer[time.Time]
	received := make(chan time.Time, 8)
	addr := socktest.Serve(t, func(_ int, r *http.Request, _ string) string {
		if at := recoversAt.Load(); at == nil || time.Now().Before(*at) {
			return ""
		}
		received <- time.Now()
		return socktest.Status(204)
	})
	recorder := newEventRecorder()
	reporter := NewReporter(recorder, addr, discardLog)
	runUntilEnd(t, reporter.Run)
	at := time.Now().Add(1500 * time.Millisecond)
	recoversAt.Store(&at)
	reporter.Report(state.DeliveryReport{Number: 1, ID: "a"})
	next[state.ReportsAcknowledged](t, recorder)
	if late := (<-received).Sub(at); late > 200*time.Millisecond {
		t.Errorf("report received %v after the platform recovered", late)
	}
}

// TestReports checks that reports are sent in order and repeated until the platform responds with 204, and that one
// rejected as malformed is dropped.
func TestReports(t *testing.T) {
	var got []string
	calls := 0
	addr := socktest.Serve(t, func(_ int, r *http.Request, body string) string {
		if calls++; calls == 1 {
			return socktest.Status(503)
		}
		if strings.Contains(body, `"b"`) {
			return socktest.Status(400)
		}
		got = append(got, body)
		return socktest.Status(204)
	})
	recorder := newEventRecorder()
	reporter := NewReporter(recorder, addr, discardLog)
	for i, id := range []string{"a", "b", "c"} {
		reporter.Report(state.DeliveryReport{Number: control.MessageID(i), ID: id})
	}
	runUntilEnd(t, reporter.Run)
	var numbers []control.MessageID
	for len(numbers) < 3 {
		numbers = append(numbers, next[state.ReportsAcknowledged](t, recorder).Numbers...)
	}
	if numbers[0] != 0 || numbers[1] != 1 || numbers[2] != 2 || !strings.Contains(strings.Join(got, ""), `"a"`) ||
		!strings.Contains(strings.Join(got, ""), `"c"`) {
		t.Errorf("acknowledged %v, received %q", numbers, got)
	}
}

// TestDoubtfulReportResponse guards against a report counting as received by a response that may belong to another
// request: one that is followed by a different one, or cut short.
func TestDoubtfulReportResponse(t *testing.T) {
	for _, doubtful := range []string{
		socktest.Status(204) + socktest.Status(503), "HTTP/1.1 204 x\r\n", socktest.Status(400) + socktest.Status(204),
	} {
		received := make(chan string, 8)
		addr := socktest.Serve(t, func(conn int, _ *http.Request, body string) string {
			received <- body
			if conn == 0 {
				return doubtful
			}
			return socktest.Status(204) + socktest.Status(204)
		})
		recorder := newEventRecorder()
		reporter := NewReporter(recorder, addr, discardLog)
		runUntilEnd(t, reporter.Run)
		reporter.Report(state.DeliveryReport{Number: 1, ID: "a"})
		next[state.ReportsAcknowledged](t, recorder)
		if a, b := <-received, <-received; a != b {
			t.Errorf("%q: received %q and %q", doubtful, a, b)
		}
	}
}
