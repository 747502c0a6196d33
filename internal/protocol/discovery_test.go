package protocol

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"cleathold/control"
	"cleathold/internal/httpconn"
	"cleathold/internal/socktest"
	"cleathold/internal/state"
)

// startDiscovery runs a discovery client that posts to the recorder.
func startDiscovery(t *testing.T, recorder *eventRecorder, c DiscoveryConfig) *Discovery {
	c.Names, c.Log = testNames, discardLog
	d := NewDiscovery(recorder, c)
	runUntilEnd(t, d.Run)
	return d
}

// TestResponseFromOldAddress checks that a response from the old address that arrives after SetAddress is ignored, and
// that the full list is polled at the new address.
func TestResponseFromOldAddress(t *testing.T) {
	list := func(id string) string {
		return socktest.JSON(`{"version":4,"full":true,"servers":[{"id":"` + id + `","state":"up","cell":1}]}`)
	}
	watched, moved := make(chan struct{}), make(chan struct{})
	old := socktest.Serve(t, func(_ int, r *http.Request, _ string) string {
		close(watched)
		<-moved
		return list("old")
	})
	addr := socktest.Serve(t, func(_ int, r *http.Request, _ string) string {
		if r.URL.Query().Has("since") {
			return socktest.Hang
		}
		return list("new")
	})
	recorder := newEventRecorder()
	d := startDiscovery(t, recorder, DiscoveryConfig{Addr: old, MaxPollInterval: 10 * time.Second})
	d.Watch(true, 3)
	<-watched
	d.SetAddress(addr)
	close(moved)
	if n := next[state.ListUpdate](t, recorder); n.Kind != control.ListFull || n.Targets[0].ID != "new" {
		t.Errorf("%+v", n)
	}
}

// TestSetAddressToSlowServer checks that the discovery client itself retries failed polls at a new address, instead of
// leaving that to the controller: 4 s after the change the sender counts as notified of the list there.
func TestSetAddressToSlowServer(t *testing.T) {
	old := socktest.Serve(t, func(int, *http.Request, string) string { return socktest.Hang })
	var queries atomic.Int32
	addr := socktest.Serve(t, func(_ int, r *http.Request, _ string) string {
		if r.URL.Query().Has("since") {
			return socktest.Hang
		}
		switch queries.Add(1) {
		case 1:
			return socktest.Hang
		case 2:
			return socktest.Status(http.StatusServiceUnavailable)
		}
		return socktest.JSON(`{"version":4,"full":true,"servers":[{"id":"new","state":"up","cell":1}]}`)
	})
	recorder := newEventRecorder()
	d := startDiscovery(t, recorder, DiscoveryConfig{Addr: old, MaxPollInterval: 10 * time.Second,
		PollSpread: 4 * time.Second, DrainGrace: 2 * time.Second})
	d.Watch(true, 3)
	moved := time.Now()
	d.SetAddress(addr)
	if n := next[state.ListUpdate](t, recorder); n.Kind != control.ListFull || n.Targets[0].ID != "new" {
		t.Errorf("%+v", n)
	}
	if took := time.Since(moved); took > 4*time.Second {
		t.Errorf("list received %v after the change of address", took)
	}
}

// TestUnresponsivePoll checks that an unresponsive poll is repeated as an immediate one. If it stalls before the
// response, missed changes must arrive within 6 s, after which the sender counts as notified of them. If it stalls
// within the response, the limit is one second, because the sender counts as notified once a response has begun.
func TestUnresponsivePoll(t *testing.T) {
	answer := socktest.JSON(changedList)
	for _, c := range []struct {
		name, first string
		unreadable  bool
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
			queries := make(chan [2]string, 8)
			addr := socktest.Serve(t, func(conn int, r *http.Request, _ string) string {
				queries <- [2]string{r.URL.Query().Get("since"), r.URL.Query().Get("timeout_ms")}
				if conn == 0 {
					return c.first
				}
				if r.URL.Query().Get("since") == "9" {
					return socktest.Hang
				}
				return answer
			})
			recorder := newEventRecorder()
			d := startDiscovery(t, recorder, DiscoveryConfig{Addr: addr, MaxPollInterval: 10 * time.Second})
			startedAt := time.Now()
			d.Watch(true, 4)
			if c.unreadable {
				if u := next[state.ListUnreadable](t, recorder); u.StartedAt.Sub(startedAt) > 200*time.Millisecond {
					t.Errorf("the response began %v after the poll", u.StartedAt.Sub(startedAt))
				}
			}
			if n := next[state.ListUpdate](t, recorder); n.Kind != control.ListDelta || n.Version != 9 {
				t.Errorf("%+v", n)
			}
			if took := time.Since(startedAt); took > c.within {
				t.Errorf("known after %v", took)
			}
			if len(queries) < 2 {
				t.Fatalf("asked %d times", len(queries))
			}
			if a, b := <-queries, <-queries; a != [2]string{"4", "3000"} || b != [2]string{"4", "1"} {
				t.Errorf("asked since %v, then %v", a, b)
			}
		})
	}
}

// TestUnresponsiveDiscovery checks that the controller is notified of a failed poll if discovery doesn't respond to the
// immediate retry either. The controller then decides when to poll again.
func TestUnresponsiveDiscovery(t *testing.T) {
	queries := make(chan struct{}, 8)
	addr := socktest.Serve(t, func(int, *http.Request, string) string { queries <- struct{}{}; return socktest.Hang })
	recorder := newEventRecorder()
	d := startDiscovery(t, recorder, DiscoveryConfig{Addr: addr, MaxPollInterval: 10 * time.Millisecond})
	d.Watch(true, 4)
	if n := next[state.ListUpdate](t, recorder); n.Kind != control.ListFailed || len(queries) != 2 {
		t.Errorf("%+v after %d asks", n, len(queries))
	}
}

// TestOlderListVersion checks that a list older than the known one is ignored, and that the full list is polled instead
// and used whatever its version is.
func TestOlderListVersion(t *testing.T) {
	queries := make(chan string, 8)
	addr := socktest.Serve(t, func(_ int, r *http.Request, _ string) string {
		queries <- r.URL.RawQuery
		if r.URL.RawQuery == "" {
			return socktest.JSON(`{"version":3,"full":true,"servers":[{"id":"a","state":"up","cell":1}]}`)
		}
		if r.URL.Query().Get("since") == "3" {
			return socktest.Hang
		}
		return socktest.JSON(`{"version":2,"full":true,"servers":[{"id":"b","state":"up","cell":1}]}`)
	})
	recorder := newEventRecorder()
	d := startDiscovery(t, recorder, DiscoveryConfig{Addr: addr, MaxPollInterval: 10 * time.Second})
	d.Watch(true, 4)
	if n := next[state.ListUpdate](t, recorder); n.Version != 3 || n.Targets[0].ID != "a" {
		t.Errorf("%+v", n)
	}
	if len(queries) < 2 {
		t.Fatalf("asked %d times", len(queries))
	}
	if a, b := <-queries, <-queries; a != "since=4&timeout_ms=3000" || b != "" {
		t.Errorf("asked %q, then %q", a, b)
	}
}

// TestPollAfterDelay checks that a sender of a large fleet doesn't count its list as up to date after a delay until a
// poll that waits for no change has a response: neither by a poll that hangs nor by one that is rejected.
func TestPollAfterDelay(t *testing.T) {
	for _, c := range []struct {
		name string
		open time.Duration // before it is refused
	}{{"hangs", pollTimeout + 200*time.Millisecond}, {"is refused", 0}} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			addr := socktest.Serve(t, func(_ int, r *http.Request, _ string) string {
				if r.URL.Query().Get("since") == "4" {
					return socktest.JSON(changedList)
				}
				if wait := r.URL.Query().Get("timeout_ms"); wait != "1" {
					t.Errorf("the poll waits for %s ms", wait)
				}
				time.Sleep(c.open)
				return socktest.Status(http.StatusServiceUnavailable)
			})
			recorder := newEventRecorder()
			d := startDiscovery(t, recorder, DiscoveryConfig{Addr: addr, MaxPollInterval: 10 * time.Second,
				PollSpread: 100 * time.Millisecond, DrainGrace: 2 * time.Second})
			d.Watch(true, 4)
			if n := next[state.ListUpdate](t, recorder); !n.PollPaused {
				t.Errorf("%+v", n)
			}
			if u := next[state.PollFailed](t, recorder); time.Since(u.UncertainSince) > c.open+time.Second {
				t.Errorf("uncertain for %v", time.Since(u.UncertainSince))
			}
		})
	}
}

// TestPoll checks that a watch polls again after each response until a poll fails, and that each poll requests the
// changes since the latest version.
func TestPoll(t *testing.T) {
	queries := make(chan string, 8)
	addr := socktest.Serve(t, func(_ int, r *http.Request, _ string) string {
		queries <- r.URL.Query().Get("since")
		if r.URL.Query().Get("since") == "9" {
			return socktest.Status(503)
		}
		const list = `{"version":9,"full":true,"servers":[]}`
		return fmt.Sprintf("HTTP/1.1 200 x\r\nContent-Length: %d\r\n\r\n%s", len(list), list)
	})
	recorder := newEventRecorder()
	d := startDiscovery(t, recorder, DiscoveryConfig{Addr: addr, MaxPollInterval: time.Second})
	d.Watch(true, 4)
	if n := next[state.ListUpdate](t, recorder); n.Kind != control.ListFull || n.Version != 9 {
		t.Errorf("first %+v", n)
	}
	if n := next[state.ListUpdate](t, recorder); n.Kind != control.ListFailed {
		t.Errorf("then %+v", n)
	}
	if a, b := <-queries, <-queries; a != "4" || b != "9" {
		t.Errorf("asked since %s and %s", a, b)
	}
}

// TestPollFromVersionZero checks that zero is a valid version, from which a watch polls for changes, and that the full
// list is polled only if no version is known. It also checks that a sender of a large fleet delays the poll after a
// change.
func TestPollFromVersionZero(t *testing.T) {
	type query struct {
		path string
		at   time.Time
	}
	queries := make(chan query, 8)
	addr := socktest.Serve(t, func(_ int, r *http.Request, _ string) string {
		queries <- query{r.URL.RawQuery, time.Now()}
		const list = `{"version":0,"full":true,"servers":[{"id":"a","state":"up"}]}`
		return fmt.Sprintf("HTTP/1.1 200 x\r\nContent-Length: %d\r\n\r\n%s", len(list), list)
	})
	const pollSpread = 100 * time.Millisecond
	for _, c := range []struct {
		since       int64
		first, then string
	}{{0, "since=0&timeout_ms=1000", "since=0&timeout_ms=1000"}, {state.NoVersion, "", "since=0&timeout_ms=1000"}} {
		ctx, cancel := context.WithCancel(t.Context())
		d := NewDiscovery(newEventRecorder(), DiscoveryConfig{Addr: addr, Names: testNames, MaxPollInterval: time.Second,
			PollSpread: pollSpread, Log: discardLog})
		ended := make(chan struct{})
		go func() { defer close(ended); d.Run(ctx) }()
		d.Watch(true, c.since)
		a, b := <-queries, <-queries
		if a.path != c.first || b.path != c.then {
			t.Errorf("since %d: asked %q, then %q", c.since, a.path, b.path)
		}
		if gap := b.at.Sub(a.at); gap < pollSpread/2 {
			t.Errorf("asked again %v after news, wanted a rest of %v at least", gap, pollSpread/2)
		}
		cancel()
		<-ended
		for len(queries) > 0 {
			<-queries
		}
	}
}

// TestDoubtfulListResponse guards against a list that may answer another poll: endpoints that any response names as
// leaving are reported, and the list is polled again at once.
func TestDoubtfulListResponse(t *testing.T) {
	old := socktest.JSON(`{"version":4,"full":false,"servers":[]}`)
	for _, doubtful := range []string{old + socktest.JSON(changedList), socktest.JSON(changedList) + old} {
		addr := socktest.Serve(t, func(conn int, r *http.Request, _ string) string {
			switch {
			case conn == 0:
				return doubtful
			case r.URL.Query().Get("since") == "4":
				return socktest.JSON(changedList)
			}
			return socktest.Hang
		})
		recorder := newEventRecorder()
		d := startDiscovery(t, recorder, DiscoveryConfig{Addr: addr, MaxPollInterval: 10 * time.Second})
		startedAt := time.Now()
		d.Watch(true, 4)
		if u := next[state.ListUnreadable](t, recorder); len(u.Departing) != 1 || u.Departing[0].ID != "a" {
			t.Errorf("%q: %+v", doubtful, u)
		}
		if n := next[state.ListUpdate](t, recorder); n.Version != 9 || time.Since(startedAt) > time.Second {
			t.Errorf("%q: %+v after %v", doubtful, n, time.Since(startedAt))
		}
	}
}

// TestEarlyListResponse checks that a list that arrives before the poll is not taken for its response, that no poll is
// sent after it, and that the endpoints that it names as leaving are reported.
func TestEarlyListResponse(t *testing.T) {
	received := make(chan []byte, 1)
	addr := socktest.Accept(t, func(_ int, conn *net.TCPConn) {
		io.WriteString(conn, socktest.JSON(changedList))
		conn.CloseWrite()
		b, _ := io.ReadAll(conn)
		received <- b
	})
	client := &httpClient{addr: addr, maxBody: maxListBytes, dial: func(ctx context.Context, addr string) (*httpconn.Conn, error) {
		conn, err := httpconn.Dial(ctx, addr)
		for err == nil && conn.OpenWithoutInput() {
			time.Sleep(time.Millisecond)
		}
		return conn, err
	}}
	d := NewDiscovery(newEventRecorder(), DiscoveryConfig{Names: testNames, Log: discardLog})
	_, err := d.poll(t.Context(), client, pollRequest{watch: true, since: 4})
	var broken *brokenResponseError
	if !errors.As(err, &broken) || len(broken.departing(testNames, 0)) != 1 {
		t.Errorf("%v", err)
	}
	if b := <-received; len(b) > 0 {
		t.Errorf("%q was sent", b)
	}
}

// TestInterruptedResponse guards against a change that nobody knows of: a response has begun when its poll is canceled, as
// the address changes or another process takes over. What it tells counts as known from its first byte on.
func TestInterruptedResponse(t *testing.T) {
	for _, pushed := range []bool{false, true} {
		begun := make(chan struct{}, 1)
		addr := socktest.Accept(t, func(_ int, c *net.TCPConn) {
			io.WriteString(c, "HTTP/1.1 200 OK\r\n")
			begun <- struct{}{}
		})
		recorder := newEventRecorder()
		d := NewDiscovery(recorder, DiscoveryConfig{
			Addr: addr, MaxPollInterval: 10 * time.Second, Pushed: pushed, Names: testNames, Log: discardLog,
		})
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		running.Go(func() { d.Run(ctx) })
		d.Watch(true, 4)
		<-begun
		time.Sleep(50 * time.Millisecond) // the first bytes are read
		cancel()
		running.Wait()
		if u := next[state.ListUnreadable](t, recorder); time.Since(u.StartedAt) > time.Second {
			t.Errorf("pushed %t: %+v", pushed, u)
		}
	}
}

// TestSlowResponse guards against a process that ends while it reads a response, and leaves no doubt about what that told:
// a slow response is announced, and its end is posted after what it told.
func TestSlowResponse(t *testing.T) {
	for _, pushed := range []bool{false, true} {
		addr := socktest.Accept(t, func(_ int, c *net.TCPConn) {
			http.ReadRequest(bufio.NewReader(c))
			text := socktest.JSON(changedList)
			io.WriteString(c, text[:40])
			time.Sleep(20 * slowResponseDelay)
			io.WriteString(c, text[40:])
			c.Close()
		})
		recorder := newEventRecorder()
		d := startDiscovery(t, recorder, DiscoveryConfig{Addr: addr, MaxPollInterval: 10 * time.Second, Pushed: pushed})
		d.Watch(true, 4)
		for _, want := range []string{"state.ListResponseBegan", "state.ListUpdate", "state.ListResponseEnded"} {
			select {
			case e := <-recorder.events:
				if got := fmt.Sprintf("%T", e); got != want {
					t.Errorf("pushed %t: %s, want %s", pushed, got, want)
				}
			case <-time.After(10 * time.Second):
				t.Fatalf("pushed %t: no %s", pushed, want)
			}
		}
	}
}
