package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"cleathold/internal/socktest"
)

const (
	serviceTime     = 30 * time.Millisecond // from a call's last byte to its response
	messageLifetime = 1500 * time.Millisecond
	reportSlack     = 350 * time.Millisecond // a delivery report is due this long after the end of a message's lifetime
)

// extraResponses holds, by name, when an endpoint writes bytes that answer no request: write gets the text of the
// connection's previous response, or of a typical one.
var extraResponses = map[string]func(c *endpointConn, previous string){
	"with the next request out": func(c *endpointConn, previous string) {
		if c.requests > 1 {
			io.WriteString(c, previous)
		}
	},
	"one call later": func(c *endpointConn, previous string) {
		if c.requests > 2 {
			io.WriteString(c, c.responses[len(c.responses)-2])
		}
	},
	"in pieces, with the next request out": func(c *endpointConn, previous string) {
		if c.requests > 1 {
			io.WriteString(c, previous[:len(previous)/2])
			time.Sleep(serviceTime / 4)
			io.WriteString(c, previous[len(previous)/2:])
		}
	},
	"behind an interim response": func(c *endpointConn, previous string) {
		if c.requests > 1 {
			io.WriteString(c, "HTTP/1.1 103 Early Hints\r\n\r\n"+previous)
		}
	},
	"before any request, 200": func(c *endpointConn, _ string) {
		if c.requests == 1 {
			io.WriteString(c, socktest.Status(200))
		}
	},
	"before any request, 503": func(c *endpointConn, _ string) {
		if c.requests == 1 {
			io.WriteString(c, socktest.Status(503))
		}
	},
	"before any request, cut short": func(c *endpointConn, _ string) {
		if c.requests == 1 {
			io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Le")
		}
	},
}

// trailingBytes holds, by name, what an endpoint writes after each response, and how long after it.
var trailingBytes = map[string]struct {
	text  func(response string) string
	delay time.Duration
}{
	"at once":                       {func(response string) string { return response }, 0},
	"while the connection is idle":  {func(response string) string { return response }, 5 * time.Millisecond},
	"too long":                      {func(string) string { return "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\nmore" }, 0},
	"the opposite, at once":         {func(response string) string { return socktest.Status(otherStatus(response)) }, 0},
	"the opposite, after a moment":  {func(response string) string { return socktest.Status(otherStatus(response)) }, 2 * time.Millisecond},
	"a first line, after a moment":  {func(string) string { return "HTTP/1.1 200 OK\r\n" }, 2 * time.Millisecond},
	"an empty line, after a moment": {func(string) string { return "\r\n" }, 2 * time.Millisecond},
}

// otherStatus returns 503 for a response with 200, and 200 for any other.
func otherStatus(response string) int {
	if strings.HasPrefix(response, "HTTP/1.1 200") {
		return http.StatusServiceUnavailable
	}
	return http.StatusOK
}

// duplicatingEndpoint is an endpoint that answers calls with 200 and 503 in turn and writes bytes that answer no
// request. It records what became of each message.
type duplicatingEndpoint struct {
	before func(c *endpointConn, previous string)
	after  func(c *endpointConn, response string)
	mute   int // after so many calls, calls are processed and the connection is closed in order without a response

	mu        sync.Mutex
	calls     int
	processed map[string]int  // calls with the message that were answered 200 or left without a response
	delivered map[string]bool // messages whose own call was answered 200
}

// endpointConn is the endpoint's side of a connection.
type endpointConn struct {
	net.Conn
	requests  int
	responses []string
}

// serve answers the calls on a connection. Bytes that are due before any request are written while the first request
// is on its way.
func (e *duplicatingEndpoint) serve(_ int, conn *net.TCPConn) {
	c := &endpointConn{Conn: conn, requests: 1}
	defer conn.Close()
	in := bufio.NewReader(conn)
	for ; ; c.requests++ {
		previous := socktest.Status(http.StatusOK)
		if len(c.responses) > 0 {
			previous = c.responses[len(c.responses)-1]
		}
		if c.requests == 1 && !e.answers() {
			io.WriteString(conn, socktest.Status([]int{200, 503}[time.Now().UnixMilli()%2]))
		}
		if c.requests == 1 {
			e.before(c, previous)
		}
		request, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		io.Copy(io.Discard, request.Body)
		if c.requests > 1 {
			e.before(c, previous)
		}
		time.Sleep(serviceTime)
		if !e.answers() {
			e.process(request.Header.Get("X-Request-Id"))
			return
		}
		response := e.respond(request.Header.Get("X-Request-Id"))
		if request.Close {
			response = strings.Replace(response, "\r\n", "\r\nConnection: close\r\n", 1)
		}
		if _, err := io.WriteString(conn, response); err != nil {
			return
		}
		c.responses = append(c.responses, response)
		e.after(c, response)
		if request.Close {
			return
		}
	}
}

// answers reports whether the endpoint answers calls.
func (e *duplicatingEndpoint) answers() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.mute == 0 || e.calls < e.mute
}

// process records a call that gets no response.
func (e *duplicatingEndpoint) process(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.calls++
	e.processed[id]++
}

// respond records a call and returns its response.
func (e *duplicatingEndpoint) respond(id string) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.calls++; e.calls%2 == 0 {
		return socktest.Status(http.StatusServiceUnavailable)
	}
	e.processed[id]++
	e.delivered[id] = true
	return socktest.Status(http.StatusOK)
}

// TestDuplicatedResponse guards against a second copy of a response, or other bytes that answer no request, being
// taken for the response to another request (operators' report 4ac94a): such a copy must neither end a message that was
// not delivered nor repeat one that may not be repeated.
func TestDuplicatedResponse(t *testing.T) {
	nothing := func(*endpointConn, string) {}
	for name, before := range extraResponses {
		t.Run(name, func(t *testing.T) { testDuplicatedResponse(t, before, nothing) })
	}
	for name, trailing := range trailingBytes {
		t.Run(name, func(t *testing.T) {
			testDuplicatedResponse(t, nothing, func(c *endpointConn, response string) {
				time.Sleep(trailing.delay)
				io.WriteString(c, trailing.text(response))
			})
		})
	}
}

// TestEarlyResponseThenClose guards against a response that the endpoint sent before it read the request being believed
// if the endpoint then processes the request and closes the connection in order without a response to it.
func TestEarlyResponseThenClose(t *testing.T) {
	nothing := func(*endpointConn, string) {}
	endpoint := &duplicatingEndpoint{before: nothing, after: nothing, mute: 8}
	playDuplicatedResponses(t, endpoint, 10)
}

// testDuplicatedResponse is one case of TestDuplicatedResponse.
func testDuplicatedResponse(t *testing.T, before, after func(c *endpointConn, text string)) {
	t.Parallel()
	playDuplicatedResponses(t, &duplicatingEndpoint{before: before, after: after}, 48)
}

// playDuplicatedResponses submits messages to a sender with an endpoint, and checks the end of each.
func playDuplicatedResponses(t *testing.T, endpoint *duplicatingEndpoint, messages int) {
	endpoint.processed, endpoint.delivered = map[string]int{}, map[string]bool{}
	env := newEnvironment(t, nil)
	env.targetAddr = socktest.Accept(t, endpoint.serve)
	env.reports = make(chan string, 1024)
	env.start()
	accepted := submitForDuplication(t, env, messages)
	time.Sleep(messageLifetime + reportSlack)
	reported := map[string]bool{}
	for len(env.reports) > 0 {
		for line := range strings.Lines(<-env.reports) {
			reported[reportedID(line)] = true
		}
	}
	endpoint.mu.Lock()
	defer endpoint.mu.Unlock()
	for _, id := range accepted {
		if !endpoint.delivered[id] && !reported[id] {
			t.Errorf("%s was accepted, and neither delivered nor reported", id)
		}
		if n := endpoint.processed[id]; n > 1 && strings.HasPrefix(id, "unsafe") {
			t.Errorf("%s was processed %d times", id, n)
		}
	}
	if len(accepted) == 0 || len(endpoint.delivered) == 0 {
		t.Errorf("%d messages accepted, %d delivered", len(accepted), len(endpoint.delivered))
	}
}

// submitForDuplication submits messages of both classes, some at a time, and returns the ids of the accepted ones.
func submitForDuplication(t *testing.T, env *environment, count int) (accepted []string) {
	for i := range count {
		class := []string{"safe", "unsafe"}[i%2]
		id := fmt.Sprintf("%s-%d", class, i)
		request := strings.Replace(messageRequest(class, id, "hi"), "X-Deadline: 60",
			fmt.Sprintf("X-Deadline: %.3f", messageLifetime.Seconds()), 1)
		switch status := env.roundTrip(request); status {
		case http.StatusAccepted:
			accepted = append(accepted, id)
		case 0:
			t.Error(errors.New("no response to a submission"))
		}
		time.Sleep(serviceTime / 2)
	}
	return accepted
}

// reportedID returns the id of the message in a delivery report.
func reportedID(line string) string {
	_, rest, _ := strings.Cut(line, `"id":"`)
	id, _, _ := strings.Cut(rest, `"`)
	return id
}
