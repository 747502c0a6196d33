package protocol

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// maxHeaderBytes is the maximum size of a request line or status line including the headers.
const maxHeaderBytes = 16 << 10

// errTooLong is returned for a body that exceeds the size limit.
var errTooLong = errors.New("body exceeds the size limit")

// A response is the part of a response that could be read from a connection.
type response struct {
	firstStatus int // status in the first line, even if nothing else can be read
	status      int // status of a response whose head can be read
	header      http.Header
	body        []byte
	closes      bool // the connection must be closed
}

// readResponse reads a response with a body of at most maxBody bytes. If deadline is not nil, it sets the read deadline
// for the rest of the response, given the status in the first line or 0 if that has not been read yet. This handles
// endpoints that stop in the middle of a response and keep the connection open.
func (c *bufferedConn) readResponse(
	method string, maxBody int64, deadline func(firstStatus int) time.Time,
) (response, error) {
	c.readLimit.N = maxHeaderBytes + maxBody
	setDeadline := func(status int) {
		if deadline != nil {
			c.SetReadDeadline(deadline(status))
		}
	}
	for {
		setDeadline(0)
		firstStatus := c.peekStatus()
		setDeadline(firstStatus)
		resp := response{firstStatus: firstStatus, closes: true}
		r, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil {
			return resp, err
		}
		if r.StatusCode < http.StatusOK {
			continue // an interim response
		}
		resp.status, resp.header = r.StatusCode, r.Header
		resp.body, err = readBody(r.Body, maxBody)
		resp.closes = r.Close || err != nil
		return resp, err
	}
}

// peekStatus returns the status in the first line without consuming it, or 0 if there is none.
func (c *bufferedConn) peekStatus() int {
	for n := 1; n <= c.reader.Size(); n = c.reader.Buffered() + 1 {
		if _, err := c.reader.Peek(n); err != nil {
			return 0
		}
		buffered, _ := c.reader.Peek(c.reader.Buffered())
		if line, _, complete := bytes.Cut(buffered, []byte("\n")); complete {
			return parseStatusLine(string(line))
		}
	}
	return 0
}

// parseStatusLine returns the status in a status line, or 0 if the line is malformed.
func parseStatusLine(line string) int {
	version, rest, _ := strings.Cut(strings.TrimSuffix(line, "\r"), " ")
	code, _, _ := strings.Cut(rest, " ")
	if !strings.HasPrefix(version, "HTTP/1.") || len(code) != 3 {
		return 0
	}
	n, err := strconv.Atoi(code)
	if err != nil || n < 100 {
		return 0
	}
	return n
}

// readBody reads a body of at most limit bytes. It returns errTooLong if the body is longer.
func readBody(from io.Reader, limit int64) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(from, limit+1))
	if err == nil && int64(len(body)) > limit {
		err = errTooLong
	}
	return body, err
}

// formatSeconds formats a duration for a header, in seconds with three decimals. Negative durations become 0.
func formatSeconds(d time.Duration) string {
	return strconv.FormatFloat(max(0, d.Seconds()), 'f', 3, 64)
}

// parseSeconds parses a header value in seconds. It accepts only digits and a decimal point.
func parseSeconds(s string) (time.Duration, bool) {
	for _, c := range s {
		if (c < '0' || c > '9') && c != '.' {
			return 0, false
		}
	}
	v, err := strconv.ParseFloat(s, 64)
	if err != nil {
		return 0, false
	}
	return time.Duration(min(v, 1e9) * float64(time.Second)), true
}
