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

// receivedCall is a call as it was read.
type receivedCall struct {
	messages    []partner.Message
	batch       bool
	healthCheck bool
	timeout     time.Duration // how long the sender waits; 0 = not told
}

// requestError is a call that gets an answer of its own.
type requestError struct {
	status int
	text   string
}

func (b *requestError) Error() string { return b.text }

func errorStatus(err error) int {
	var b *requestError
	if errors.As(err, &b) {
		return b.status
	}
	return http.StatusBadRequest
}

// readCall reads a request of PROTOCOL's 'Senders to endpoints'.
func readCall(in *bufio.Reader) (*receivedCall, error) {
	r, err := http.ReadRequest(in)
	if err != nil {
		return nil, err
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		return nil, err
	}
	c := &receivedCall{}
	if s, err := strconv.ParseFloat(r.Header.Get("X-Deadline"), 64); err == nil && s > 0 && s < 1e6 {
		c.timeout = time.Duration(s * float64(time.Second))
	}
	switch {
	case r.Method == http.MethodGet && (r.URL.Path == "/ping" || r.URL.Path == "/_load"):
		c.healthCheck = true
	case r.Method == http.MethodPost && r.URL.Path == "/receive":
		id := r.Header.Get("X-Request-Id")
		if id == "" {
			return nil, &requestError{http.StatusBadRequest, "no X-Request-Id"}
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

// readBatch reads the body of a call with several messages.
func readBatch(body string) ([]partner.Message, error) {
	wrong := &requestError{http.StatusBadRequest, "body of several messages unreadable"}
	var list []partner.Message
	seen := map[string]bool{}
	for body != "" {
		line, rest, found := strings.Cut(body, "\r\n")
		fields := strings.Split(line, " ")
		if !found || len(fields) != 3 || fields[0] == "" || seen[fields[0]] {
			return nil, wrong
		}
		n, err := strconv.Atoi(fields[2])
		if err != nil || n < 0 || len(rest) < n+2 || rest[n:n+2] != "\r\n" {
			return nil, wrong
		}
		m := partner.Message{ID: fields[0], Key: fields[1]}
		if m.Key == "-" {
			m.Key = ""
		}
		seen[m.ID] = true
		list, body = append(list, m), rest[n+2:]
	}
	if len(list) == 0 {
		return nil, wrong
	}
	return list, nil
}
