package protocol

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"cleathold/control"
	"cleathold/internal/state"
)

const (
	healthPath = "/_health"

	// healthCheck is returned by classOfRequest instead of a class number if the request is a health check.
	healthCheck = -1

	// maxDeadline is the upper limit for the time until a message's deadline, even if the deadline of its class is longer.
	maxDeadline = 24 * time.Hour
)

// Names maps the names in the settings to the numbers that package control uses for them.
type Names struct {
	Classes, Tenants, Zones, Kinds map[string]int
}

// A requestError is the error response to a request that is rejected without involving the event loop.
type requestError struct {
	status int
	text   string
	closes bool // the connection must be closed, because the start of the next request on it is unknown
}

// Error returns the text that is sent to the client.
func (e *requestError) Error() string { return e.text }

func badRequest(text string) error { return &requestError{status: http.StatusBadRequest, text: text} }

// parseMessage reads the body of a request with readBody and returns the message in it. It returns nil without an error
// for a health check.
func parseMessage(
	r *http.Request, readBody func() ([]byte, error), arrived time.Time, n Names, classes []control.Class,
) (*state.Message, error) {
	if err := validateFraming(r); err != nil {
		return nil, err
	}
	class, err := classOfRequest(r, n)
	if err != nil || class == healthCheck {
		return nil, err
	}
	if r.ContentLength > state.MaxBody {
		return nil, &requestError{http.StatusRequestEntityTooLarge, "body too large", true}
	}
	body, err := readBody()
	if err != nil {
		return nil, err
	}
	m := &state.Message{
		ID: r.Header.Get("X-Request-Id"), Key: r.Header.Get("Idempotency-Key"), Class: class, Body: body,
	}
	if !validToken(m.ID) {
		return nil, badRequest("X-Request-Id missing or malformed")
	}
	// A message that is idempotent by key can't be retried safely without a key.
	if m.Key == "" && classes[class].Idempotency == control.IdempotentByKey {
		return nil, badRequest("Idempotency-Key missing")
	}
	if m.Key != "" && (!validToken(m.Key) || m.Key == emptyKeyPlaceholder) {
		return nil, badRequest("Idempotency-Key malformed")
	}
	var known bool
	if m.Tenant, known = n.Tenants[r.Header.Get("X-Tenant")]; !known && len(n.Tenants) > 0 {
		return nil, badRequest("unknown tenant")
	}
	remaining, ok := parseSeconds(r.Header.Get("X-Deadline"))
	if !ok {
		return nil, badRequest("X-Deadline unparsable")
	}
	m.Deadline = arrived.Add(min(remaining, classes[class].Deadline, maxDeadline))
	if m.Destination, ok = parseDestination(r.Header.Get("X-Addressing")); !ok {
		return nil, badRequest("dest unparsable")
	}
	retry := r.Header.Get("X-Retry")
	m.Resubmitted, m.Inherited = retry == "1", retry == "again"
	return m, nil
}

// validateFraming rejects requests with an unknown expectation, with chunked encoding or with several values of a header that is used. A chunked
// request may also have a Content-Length, which the parser drops. The end of the body is ambiguous then, which allows
// request smuggling. Chunked encoding is rejected in general, as clients know the length of their messages.
func validateFraming(r *http.Request) error {
	expect := r.Header.Get("Expect")
	switch {
	case expect != "" && !strings.EqualFold(expect, "100-continue"):
		return &requestError{http.StatusExpectationFailed, "expectation unknown", true}
	case !r.ProtoAtLeast(1, 1):
		return &requestError{http.StatusHTTPVersionNotSupported, "HTTP/1.1 wanted", true}
	case len(r.TransferEncoding) > 0:
		return &requestError{http.StatusLengthRequired, "Content-Length alone wanted", true}
	}
	for _, name := range []string{"X-Request-Id", "Idempotency-Key", "X-Tenant", "X-Deadline", "X-Addressing"} {
		if len(r.Header[name]) > 1 {
			return badRequest(name + " twice")
		}
	}
	return nil
}

// classOfRequest returns the class number for the request's path, or healthCheck for a health check.
func classOfRequest(r *http.Request, n Names) (int, error) {
	first, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	class, known := n.Classes[first]
	switch {
	case r.URL.Path == healthPath && r.Method == http.MethodGet:
		return healthCheck, nil
	case r.URL.Path == healthPath, known && r.Method != http.MethodPost:
		return 0, &requestError{status: http.StatusMethodNotAllowed, text: "method not allowed"}
	case known:
		return class, nil
	case r.Method == http.MethodPost && first != "" && !strings.HasPrefix(first, "_"):
		return 0, badRequest("unknown class")
	}
	return 0, &requestError{status: http.StatusNotFound, text: "no such path"}
}

// parseDestination returns the value of the dest field in the X-Addressing header.
func parseDestination(s string) (int, bool) {
	for field := range strings.FieldsFuncSeq(s, func(r rune) bool { return r == ',' || r == ';' || r == ' ' }) {
		if v, found := strings.CutPrefix(field, "dest="); found {
			n, err := strconv.ParseUint(v, 10, 16)
			return int(n), err == nil
		}
	}
	return 0, false
}

// validToken reports whether a header value can be used in a batch frame: it must have 1 to 256 bytes and contain only
// printable ASCII characters without spaces.
func validToken(s string) bool {
	for i := 0; i < len(s); i++ {
		if s[i] <= ' ' || s[i] >= 0x7f {
			return false
		}
	}
	return len(s) > 0 && len(s) <= 256
}
