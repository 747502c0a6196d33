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
	"time"

	"cleathold/internal/deadletter"
)

// API is what may be asked of held messages.
type API interface {
	List(ctx context.Context, f deadletter.Filter, after uint64, most int) (Page, error)
	Export(ctx context.Context, f deadletter.Filter, after uint64) (Page, error)
	Show(ctx context.Context, seq uint64) (deadletter.ExportLine, error)
	Stats(ctx context.Context) (deadletter.Stats, error)
	Audit(ctx context.Context, most int) ([]deadletter.AuditEntry, error)
	Act(ctx context.Context, verb string, o Order) (deadletter.Outcome, error)
	Close() error
}

// Errors of a plane.
var (
	ErrUnreachable = errors.New("no sender answers")
	ErrReadOnly    = errors.New("the folder of a stopped sender can be read only: start the sender and ask it by --socket")
)

// Dial returns the plane of a running sender.
func Dial(socket string) API {
	return &remote{socket, &http.Client{Transport: &http.Transport{
		DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
			var d net.Dialer
			return d.DialContext(ctx, "unix", socket)
		},
	}}}
}

type remote struct {
	socket string
	http   *http.Client
}

func (c *remote) Close() error {
	c.http.CloseIdleConnections()
	return nil
}

// ask makes one request and reads its answer.
func (c *remote) ask(ctx context.Context, method, path string, body, into any) error {
	ctx, cancel := context.WithDeadline(ctx, time.Now().Add(2*actSpan))
	defer cancel()
	var send io.Reader
	if body != nil {
		text, err := json.Marshal(body)
		if err != nil {
			return err
		}
		send = bytes.NewReader(text)
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://sender"+path, send)
	if err != nil {
		return err
	}
	answer, err := c.http.Do(r)
	if err != nil {
		return fmt.Errorf("%w at %s: %w", ErrUnreachable, c.socket, err)
	}
	defer answer.Body.Close()
	if answer.StatusCode == http.StatusOK {
		return json.NewDecoder(answer.Body).Decode(into)
	}
	var fault struct{ Error string }
	json.NewDecoder(io.LimitReader(answer.Body, 1<<16)).Decode(&fault)
	if answer.StatusCode == http.StatusNotFound && fault.Error != "" {
		return fmt.Errorf("%w (%s)", deadletter.ErrNotFound, fault.Error)
	}
	return fmt.Errorf("the sender answers %s: %s", answer.Status, fault.Error)
}

func (c *remote) List(ctx context.Context, f deadletter.Filter, after uint64, most int) (p Page, err error) {
	return p, c.ask(ctx, http.MethodGet, "/held/list?"+query(f, after, most).Encode(), nil, &p)
}

func (c *remote) Export(ctx context.Context, f deadletter.Filter, after uint64) (p Page, err error) {
	return p, c.ask(ctx, http.MethodGet, "/held/export?"+query(f, after, MaxImportLines).Encode(), nil, &p)
}

func (c *remote) Show(ctx context.Context, seq uint64) (l deadletter.ExportLine, err error) {
	return l, c.ask(ctx, http.MethodGet, "/held/show/"+strconv.FormatUint(seq, 10), nil, &l)
}

func (c *remote) Stats(ctx context.Context) (s deadletter.Stats, err error) {
	return s, c.ask(ctx, http.MethodGet, "/held/stats", nil, &s)
}

func (c *remote) Audit(ctx context.Context, most int) (list []deadletter.AuditEntry, err error) {
	return list, c.ask(ctx, http.MethodGet, "/held/audit?most="+strconv.Itoa(most), nil, &list)
}

func (c *remote) Act(ctx context.Context, verb string, o Order) (out deadletter.Outcome, err error) {
	return out, c.ask(ctx, http.MethodPost, "/held/"+verb, o, &out)
}

// OpenFolder returns the plane of a stopped sender's folder.
func OpenFolder(folder string) (API, error) {
	s, err := deadletter.OpenReading(folder)
	if err != nil {
		return nil, err
	}
	return local{s}, nil
}

type local struct{ store *deadletter.Store }

func (l local) Close() error { return l.store.Close() }

func (l local) List(_ context.Context, f deadletter.Filter, after uint64, most int) (p Page, err error) {
	err = l.store.View(func(t *deadletter.Tx) (err error) {
		p.Records, p.Next, err = t.List(f, after, min(most, deadletter.MaxPageSize))
		return
	})
	return
}

func (l local) Export(_ context.Context, f deadletter.Filter, after uint64) (p Page, err error) {
	err = l.store.View(func(t *deadletter.Tx) (err error) { p.Lines, p.Next, err = t.Export(f, after, MaxImportLines); return })
	return
}

func (l local) Show(_ context.Context, seq uint64) (line deadletter.ExportLine, err error) {
	err = l.store.View(func(t *deadletter.Tx) (err error) { line, err = show(t, seq); return })
	return
}

func (l local) Stats(context.Context) (s deadletter.Stats, err error) {
	err = l.store.View(func(t *deadletter.Tx) (err error) { s, err = t.Stats(); return })
	return
}

func (l local) Audit(_ context.Context, most int) (list []deadletter.AuditEntry, err error) {
	err = l.store.View(func(t *deadletter.Tx) (err error) { list, err = t.Audit(most); return })
	return
}

func (l local) Act(context.Context, string, Order) (deadletter.Outcome, error) {
	return deadletter.Outcome{}, ErrReadOnly
}
