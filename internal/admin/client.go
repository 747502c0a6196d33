package admin

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"

	"cleathold/internal/deadletter"
	"cleathold/internal/httpconn"
)

// API gives access to dead letters, either through a running sender or, read-only, in the folder of a stopped one.
type API interface {
	List(ctx context.Context, f deadletter.Filter, after uint64, limit int) (Page, error)
	Export(ctx context.Context, f deadletter.Filter, after uint64) (Page, error)
	Show(ctx context.Context, seq uint64) (deadletter.ExportLine, error)
	Stats(ctx context.Context) (deadletter.Stats, error)
	Audit(ctx context.Context, limit int) ([]deadletter.AuditEntry, error)
	Execute(ctx context.Context, verb string, o DeadLetterRequest) (deadletter.Outcome, error)
	Close() error
}

// Errors of an API.
var (
	// ErrUnreachable means that no sender listens at the socket.
	ErrUnreachable = errors.New("no sender answers")
	// ErrReadOnly means that the folder of a stopped sender can't be changed.
	ErrReadOnly = errors.New("the folder of a stopped sender can be read only: start the sender and ask it by --socket")
)

// Dial returns the API of a running sender at its socket. Each call uses a connection of its own.
func Dial(socket string) API {
	dial := func(ctx context.Context, _ string) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, "unix", socket)
	}
	return &client{socket, &http.Client{Transport: &httpconn.RoundTripper{Dial: dial}}}
}

// client implements API for a running sender.
type client struct {
	socket string
	http   *http.Client
}

// Close implements API. There is nothing to close, since each call uses a connection of its own.
func (c *client) Close() error { return nil }

// call makes one request and decodes the response.
func (c *client) call(ctx context.Context, method, path string, body, into any) error {
	ctx, cancel := context.WithTimeout(ctx, 2*requestTimeout)
	defer cancel()
	var content io.Reader
	if body != nil {
		text, err := json.Marshal(body)
		if err != nil {
			return err
		}
		content = bytes.NewReader(text)
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://sender"+path, content)
	if err != nil {
		return err
	}
	response, err := c.http.Do(r)
	if err != nil {
		return fmt.Errorf("%w at %s: %w", ErrUnreachable, c.socket, err)
	}
	defer response.Body.Close()
	if response.StatusCode == http.StatusOK {
		return json.NewDecoder(response.Body).Decode(into)
	}
	var failure struct {
		Error string `json:"error"`
	}
	json.NewDecoder(io.LimitReader(response.Body, 1<<16)).Decode(&failure)
	if response.StatusCode == http.StatusNotFound && failure.Error != "" {
		return fmt.Errorf("%w (%s)", deadletter.ErrNotFound, failure.Error)
	}
	return fmt.Errorf("the sender answers %s: %s", response.Status, failure.Error)
}

func (c *client) List(ctx context.Context, f deadletter.Filter, after uint64, limit int) (p Page, err error) {
	return p, c.call(ctx, http.MethodGet, "/held/list?"+encodeQuery(f, after, limit).Encode(), nil, &p)
}

func (c *client) Export(ctx context.Context, f deadletter.Filter, after uint64) (p Page, err error) {
	return p, c.call(ctx, http.MethodGet, "/held/export?"+encodeQuery(f, after, MaxImportLines).Encode(), nil, &p)
}

func (c *client) Show(ctx context.Context, seq uint64) (l deadletter.ExportLine, err error) {
	return l, c.call(ctx, http.MethodGet, "/held/show/"+strconv.FormatUint(seq, 10), nil, &l)
}

func (c *client) Stats(ctx context.Context) (s deadletter.Stats, err error) {
	return s, c.call(ctx, http.MethodGet, "/held/stats", nil, &s)
}

func (c *client) Audit(ctx context.Context, limit int) (list []deadletter.AuditEntry, err error) {
	return list, c.call(ctx, http.MethodGet, "/held/audit?most="+strconv.Itoa(limit), nil, &list)
}

func (c *client) Execute(ctx context.Context, verb string, o DeadLetterRequest) (out deadletter.Outcome, err error) {
	return out, c.call(ctx, http.MethodPost, "/held/"+verb, o, &out)
}
