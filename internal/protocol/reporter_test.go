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

// A report on a connection that has become unresponsive goes again on a new one in time: it is due 300 ms after its
// message's time.
func TestReportOnUnresponsiveConnection(t *testing.T) {
	received := make(chan int, 8)
	addr := socktest.Serve(t, func(conn int, _ *http.Request, _ string) string {
		received <- conn
		if conn == 0 && len(received) > 1 {
			return socktest.Hang
		}
		return socktest.Status(204)
	})
	p := newEventRecorder()
	n := NewReporter(p, addr, discardLog)
	runUntilEnd(t, n.Run)
	n.Report(state.DeliveryReport{Number: 1, ID: "a"})
	next[state.ReportsAcknowledged](t, p)
	began := time.Now()
	n.Report(state.DeliveryReport{Number: 2, ID: "b"})
	next[state.ReportsAcknowledged](t, p)
	if took := time.Since(began); took > 300*time.Millisecond {
		t.Errorf("acknowledged after %v", took)
	}
	if a, b, c := <-received, <-received, <-received; a != 0 || b != 0 || c != 1 {
		t.Errorf("told on connections %d, %d, %d", a, b, c)
	}
}

// A platform that could not be reached for a while gets reports soon after it can be: they are due 300 ms after the
// time of their messages, which may fall into that while.
func TestReportAfterPlatformRecovers(t *testing.T) {
	var back atomic.Pointer[time.Time]
	received := make(chan time.Time, 8)
	addr := socktest.Serve(t, func(_ int, r *http.Request, _ string) string {
		if at := back.Load(); at == nil || time.Now().Before(*at) {
			return ""
		}
		received <- time.Now()
		return socktest.Status(204)
	})
	p := newEventRecorder()
	n := NewReporter(p, addr, discardLog)
	runUntilEnd(t, n.Run)
	at := time.Now().Add(1500 * time.Millisecond)
	back.Store(&at)
	n.Report(state.DeliveryReport{Number: 1, ID: "a"})
	next[state.ReportsAcknowledged](t, p)
	if late := (<-received).Sub(at); late > 200*time.Millisecond {
		t.Errorf("told %v after the platform could be reached", late)
	}
}

// Reports go out in order and again until 204; one that can't be read is dropped.
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
	p := newEventRecorder()
	n := NewReporter(p, addr, discardLog)
	for i, id := range []string{"a", "b", "c"} {
		n.Report(state.DeliveryReport{Number: control.MessageID(i), ID: id})
	}
	runUntilEnd(t, n.Run)
	var nums []control.MessageID
	for len(nums) < 3 {
		nums = append(nums, next[state.ReportsAcknowledged](t, p).Numbers...)
	}
	if nums[0] != 0 || nums[1] != 1 || nums[2] != 2 || !strings.Contains(strings.Join(got, ""), `"a"`) ||
		!strings.Contains(strings.Join(got, ""), `"c"`) {
		t.Errorf("acknowledged %v, told %q", nums, got)
	}
}
