package protocol

import (
	"context"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"cleathold/control"
	"cleathold/internal/socktest"
	"cleathold/internal/state"
)

const changedList = `{"version":9,"full":false,"servers":[{"id":"a","state":"draining","cell":1}]}`

// A watch that falls silent is opened anew, without a wait: before an answer so that what it missed is known within the
// 6 s after which that counts as told, in an answer within a second, as what has begun to come counts as told at once.
func TestUnresponsivePoll(t *testing.T) {
	answer := socktest.JSON(changedList)
	for _, c := range []struct {
		name, first string
		unread      bool
		within      time.Duration
	}{
		{"before an answer", socktest.Hang, false, 6 * time.Second},
		{"in the first line", answer[:9], true, time.Second},
		{"in the head", answer[:30], true, time.Second},
		{"at the end of the head", answer[:len(answer)-len(changedList)], true, time.Second},
		{"in the list", answer[:len(answer)-20], true, time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			asked := make(chan [2]string, 8)
			addr := socktest.Serve(t, func(conn int, r *http.Request, _ string) string {
				asked <- [2]string{r.URL.Query().Get("since"), r.URL.Query().Get("timeout_ms")}
				if conn == 0 {
					return c.first
				}
				if r.URL.Query().Get("since") == "9" {
					return socktest.Hang
				}
				return answer
			})
			p := newEventRecorder()
			d := NewDiscovery(p, DiscoveryConfig{Addr: addr, Names: testNames, MaxPollInterval: 10 * time.Second, PollSpread: 0, Log: discardLog})
			ctx, cancel := context.WithCancel(t.Context())
			ended := make(chan struct{})
			go func() { defer close(ended); d.Run(ctx) }()
			defer func() { cancel(); <-ended }()
			began := time.Now()
			d.Watch(true, 4)
			if c.unread {
				if u := next[state.ListUnreadable](t, p); u.At.Sub(began) > 200*time.Millisecond {
					t.Errorf("an answer that began %v after the question", u.At.Sub(began))
				}
			}
			if n := next[state.ListUpdate](t, p); n.Kind != control.ListDelta || n.Version != 9 {
				t.Errorf("%+v", n)
			}
			if took := time.Since(began); took > c.within {
				t.Errorf("known after %v", took)
			}
			if len(asked) < 2 {
				t.Fatalf("asked %d times", len(asked))
			}
			if a, b := <-asked, <-asked; a != [2]string{"4", "3000"} || b != [2]string{"4", "1"} {
				t.Errorf("asked since %v, then %v", a, b)
			}
		})
	}
}

// A discovery that stays silent is a failed ask to the controller, which says when to ask again.
func TestUnresponsiveDiscovery(t *testing.T) {
	asked := make(chan struct{}, 8)
	addr := socktest.Serve(t, func(int, *http.Request, string) string { asked <- struct{}{}; return socktest.Hang })
	p := newEventRecorder()
	d := NewDiscovery(p, DiscoveryConfig{Addr: addr, Names: testNames, MaxPollInterval: 10 * time.Millisecond, PollSpread: 0, Log: discardLog})
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() { defer close(ended); d.Run(ctx) }()
	defer func() { cancel(); <-ended }()
	d.Watch(true, 4)
	if n := next[state.ListUpdate](t, p); n.Kind != control.ListFailed || len(asked) != 2 {
		t.Errorf("%+v after %d asks", n, len(asked))
	}
}

// A list older than the one known does not take its place: the whole list is asked for, and holds whatever its version.
func TestOlderListVersion(t *testing.T) {
	asked := make(chan string, 8)
	addr := socktest.Serve(t, func(_ int, r *http.Request, _ string) string {
		asked <- r.URL.RawQuery
		if r.URL.RawQuery == "" {
			return socktest.JSON(`{"version":3,"full":true,"servers":[{"id":"a","state":"up","cell":1}]}`)
		}
		if r.URL.Query().Get("since") == "3" {
			return socktest.Hang
		}
		return socktest.JSON(`{"version":2,"full":true,"servers":[{"id":"b","state":"up","cell":1}]}`)
	})
	p := newEventRecorder()
	d := NewDiscovery(p, DiscoveryConfig{Addr: addr, Names: testNames, MaxPollInterval: 10 * time.Second, PollSpread: 0, Log: discardLog})
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() { defer close(ended); d.Run(ctx) }()
	defer func() { cancel(); <-ended }()
	d.Watch(true, 4)
	if n := next[state.ListUpdate](t, p); n.Version != 3 || n.Targets[0].ID != "a" {
		t.Errorf("%+v", n)
	}
	if len(asked) < 2 {
		t.Fatalf("asked %d times", len(asked))
	}
	if a, b := <-asked, <-asked; a != "since=4&timeout_ms=3000" || b != "" {
		t.Errorf("asked %q, then %q", a, b)
	}
}

// A notice on a connection that has fallen silent goes again on a new one in time: it is due 300 ms after its
// message's.
func TestReportOnUnresponsiveConnection(t *testing.T) {
	told := make(chan int, 8)
	addr := socktest.Serve(t, func(conn int, _ *http.Request, _ string) string {
		told <- conn
		if conn == 0 && len(told) > 1 {
			return socktest.Hang
		}
		return socktest.Status(204)
	})
	p := newEventRecorder()
	n := NewReporter(p, addr, discardLog)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() { defer close(ended); n.Run(ctx) }()
	defer func() { cancel(); <-ended }()
	n.Report(state.DeliveryReport{Num: 1, ID: "a"})
	next[state.ReportsAcknowledged](t, p)
	began := time.Now()
	n.Report(state.DeliveryReport{Num: 2, ID: "b"})
	next[state.ReportsAcknowledged](t, p)
	if took := time.Since(began); took > 300*time.Millisecond {
		t.Errorf("acknowledged after %v", took)
	}
	if a, b, c := <-told, <-told, <-told; a != 0 || b != 0 || c != 1 {
		t.Errorf("told on connections %d, %d, %d", a, b, c)
	}
}

// Of an answer that broke off, the targets that are named whole as draining or gone are known, and one that could only
// have told the version that is known has told nothing.
func TestTruncatedList(t *testing.T) {
	const list = `{"version":41,"full":false,"servers":[{"id":"a","state":"draining","cell":1},{"id":"b","state":"up","cell":1},{"id":"c","state":"removed","cell":1}]}`
	for cut := range len(list) {
		part := []byte(list[:cut])
		var ids string
		for _, target := range parseDraining(part, testNames) {
			ids += target.ID
		}
		want := ""
		if cut >= strings.Index(list, `},{"id":"b"`)+1 {
			want = "a"
		}
		if cut >= strings.Index(list, `}]}`)+1 {
			want = "ac"
		}
		if ids != want {
			t.Errorf("of %s: %q leave, want %q", part, ids, want)
		}
		if is, want := isUnchanged(part, 41), cut > strings.Index(list, "41,")+2; is != want {
			t.Errorf("%s tells nothing new: %t", part, is)
		}
		if isUnchanged(part, 4) {
			t.Errorf("%s is taken for version 4", part)
		}
	}
}

// A platform that could not be reached for a while is told soon after it can be: a notice is due 300 ms after the
// time of its message, which may fall into that while.
func TestReportAfterPlatformRecovers(t *testing.T) {
	var back atomic.Pointer[time.Time]
	told := make(chan time.Time, 8)
	addr := socktest.Serve(t, func(_ int, r *http.Request, _ string) string {
		if at := back.Load(); at == nil || time.Now().Before(*at) {
			return ""
		}
		told <- time.Now()
		return socktest.Status(204)
	})
	p := newEventRecorder()
	n := NewReporter(p, addr, discardLog)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() { defer close(ended); n.Run(ctx) }()
	defer func() { cancel(); <-ended }()
	at := time.Now().Add(1500 * time.Millisecond)
	back.Store(&at)
	n.Report(state.DeliveryReport{Num: 1, ID: "a"})
	next[state.ReportsAcknowledged](t, p)
	if late := (<-told).Sub(at); late > 200*time.Millisecond {
		t.Errorf("told %v after the platform could be reached", late)
	}
}

// In a large fleet the list is known once the watch after a rest has been open for a while. A watch that ends later was
// received; one that is refused at once leaves what was told before it unknown.
func TestPollAfterPause(t *testing.T) {
	for _, c := range []struct {
		name string
		open time.Duration // before it is refused
	}{{"ends later", pollTimeout + 200*time.Millisecond}, {"is refused", 0}} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			addr := socktest.Serve(t, func(_ int, r *http.Request, _ string) string {
				if r.URL.Query().Get("since") == "4" {
					return socktest.JSON(changedList)
				}
				time.Sleep(c.open)
				return socktest.Status(http.StatusServiceUnavailable)
			})
			p := newEventRecorder()
			d := NewDiscovery(p, DiscoveryConfig{Addr: addr, Names: testNames, MaxPollInterval: 10 * time.Second, PollSpread: 100 * time.Millisecond, DrainGrace: 2 * time.Second, Log: discardLog})
			ctx, cancel := context.WithCancel(t.Context())
			ended := make(chan struct{})
			go func() { defer close(ended); d.Run(ctx) }()
			defer func() { cancel(); <-ended }()
			d.Watch(true, 4)
			if n := next[state.ListUpdate](t, p); !n.PollPaused {
				t.Errorf("%+v", n)
			}
			if c.open > 0 {
				next[state.PollOpen](t, p)
				next[state.ListUpdate](t, p)
				return
			}
			if u := next[state.PollFailed](t, p); time.Since(u.Since) > time.Second {
				t.Errorf("uncertain for %v", time.Since(u.Since))
			}
		})
	}
}
