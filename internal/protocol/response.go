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

// maxHeaderBytes bounds a request line or status line with its headers.
const maxHeaderBytes = 16 << 10

// errTooLong tells of a body that is longer than allowed.
var errTooLong = errors.New("longer than allowed")

// A response is what came back on a connection, as far as it could be read.
type response struct {
	firstStatus int // of the first line, even if nothing else can be read
	status      int // of a response whose head can be read
	header      http.Header
	body        []byte
	closes      bool // the connection can't be used any more
}

// readResponse reads a response with a body of maxBody bytes at most. Once its first byte is in, the rest must follow
// by a time that deadline, if it is not nil, tells from the status of the first line (0: not read yet): an endpoint
// may stop in the middle and keep the connection open.
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

// peekStatus returns the status of the first line without consuming it; 0 if there is none.
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

// parseStatusLine returns the status of a status line; 0 if it is none.
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

// readBody reads a body of limit bytes at most. Its error is errTooLong if there are more.
func readBody(from io.Reader, limit int64) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(from, limit+1))
	if err == nil && int64(len(body)) > limit {
		err = errTooLong
	}
	return body, err
}

// formatSeconds writes a duration in seconds with decimals, as it stands in headers.
func formatSeconds(d time.Duration) string {
	return strconv.FormatFloat(max(0, d.Seconds()), 'f', 3, 64)
}

// parseSeconds reads such a header. Only plain decimals count.
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
