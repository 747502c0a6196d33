package harness

import (
	"bufio"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"cleathold/internal/partner"
)

// maxBodyBytes limits the size of a call's body.
const maxBodyBytes = 1 << 20

// A receivedCall is a call as parsed by an endpoint.
type receivedCall struct {
	messages    []partner.Message
	batch       bool // several messages in one call
	healthCheck bool
	closes      bool          // the sender asks to close the connection after the answer
	timeout     time.Duration // how long the sender waits for the answer, from X-Deadline; 0 = not given
}

// A requestError describes an invalid request that is answered with a specific HTTP status.
type requestError struct {
	status int
	text   string
}

// Error returns the reason for which the request is invalid.
func (e *requestError) Error() string { return e.text }

// errorStatus returns the HTTP status with which a call that could not be read is answered.
func errorStatus(err error) int {
	var e *requestError
	if errors.As(err, &e) {
		return e.status
	}
	return http.StatusBadRequest
}

// readCall reads a request in the format that the section 'Senders to endpoints' of PROTOCOL defines. An error that
// is not a *requestError means that no HTTP request could be read.
func readCall(reader *bufio.Reader) (*receivedCall, error) {
	r, err := http.ReadRequest(reader)
	if err != nil {
		return nil, err
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		return nil, err
	}
	c := &receivedCall{closes: r.Close}
	if s, err := strconv.ParseFloat(r.Header.Get("X-Deadline"), 64); err == nil && s > 0 && s < 1e6 {
		c.timeout = time.Duration(s * float64(time.Second))
	}
	switch {
	case r.Method == http.MethodGet && (r.URL.Path == "/ping" || r.URL.Path == "/_load"):
		c.healthCheck = true
	case r.Method == http.MethodPost && r.URL.Path == "/receive":
		id := r.Header.Get("X-Request-Id")
		if id == "" {
			return nil, &requestError{http.StatusBadRequest, "missing X-Request-Id header"}
		}
		c.messages = []partner.Message{{ID: id, Key: r.Header.Get("Idempotency-Key")}}
	case r.Method == http.MethodPost && r.URL.Path == "/receive-many":
		c.batch = true
		if c.messages, err = readBatch(string(body)); err != nil {
			return nil, err
		}
	default:
		return nil, &requestError{http.StatusNotFound, "no such path"}
	}
	return c, nil
}

// readBatch parses the body of a call with several messages. A message id that occurs twice is an error.
func readBatch(body string) ([]partner.Message, error) {
	errMalformed := &requestError{http.StatusBadRequest, "malformed batch body"}
	var messages []partner.Message
	seen := map[string]bool{}
	for body != "" {
		line, rest, found := strings.Cut(body, "\r\n")
		fields := strings.Split(line, " ")
		if !found || len(fields) != 3 || fields[0] == "" || seen[fields[0]] {
			return nil, errMalformed
		}
		n, err := strconv.Atoi(fields[2])
		if err != nil || n < 0 || len(rest) < n+2 || rest[n:n+2] != "\r\n" {
			return nil, errMalformed
		}
		m := partner.Message{ID: fields[0], Key: fields[1]}
		if m.Key == "-" {
			m.Key = ""
		}
		seen[m.ID] = true
		messages, body = append(messages, m), rest[n+2:]
	}
	if len(messages) == 0 {
		return nil, errMalformed
	}
	return messages, nil
}
