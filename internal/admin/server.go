// Package admin is the admin plane: HTTP on a Unix socket, and its client. What
// it offers stands in Plane; a stopped sender's folder offers the part of it that
// only reads.
package admin

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"time"

	"cleathold/internal/deadletter"
	"cleathold/internal/ownsock"
)

const (
	bodyMost       = 8 << 20          // bytes of a request: an import's page
	actSpan        = 30 * time.Second // an act may wait so long for the store
	headSpan       = 2 * time.Second
	idleSpan       = 30 * time.Second
	callsMost      = 4 // requests at once; each may hold a page in memory
	MaxImportLines = 64
)

// DeadLetterQueue is what the plane works on.
type DeadLetterQueue interface {
	View(func(*deadletter.Tx) error) error
	Redeliver(ctx context.Context, by string, sel deadletter.Selection, within time.Duration, dry bool) (deadletter.Outcome, error)
	Drop(ctx context.Context, by string, sel deadletter.Selection, dry bool) (deadletter.Outcome, error)
	Import(ctx context.Context, by string, lines []deadletter.ExportLine, dry bool) (deadletter.Outcome, error)
}

// Order is the body of an act.
type Order struct {
	Selection deadletter.Selection    `json:"selection,omitzero"`
	Lines     []deadletter.ExportLine `json:"lines,omitempty"`
	WithinS   float64                 `json:"within_s,omitempty"`
	DryRun    bool                    `json:"dry_run,omitempty"`
}

// Page is a page of records, or of lines with their bodies.
type Page struct {
	Records []deadletter.Record     `json:"records,omitempty"`
	Lines   []deadletter.ExportLine `json:"lines,omitempty"`
	Next    uint64                  `json:"next,omitempty"`
}

// Server serves the plane until it is closed.
type Server struct {
	path   string
	keeper DeadLetterQueue
	log    *slog.Logger
	sock   *net.UnixListener
	http   *http.Server
	places chan struct{}
}

type peerKey struct{}

// Listen binds the socket, for its owner alone. One that a dead process left is replaced.
// Without a keeper only the lifecycle's calls are served.
func Listen(path string, k DeadLetterQueue, lifecycle Lifecycle, log *slog.Logger) (*Server, error) {
	if c, err := net.Dial("unix", path); err == nil {
		c.Close()
		return nil, fmt.Errorf("admin: %s is in use by another process", path)
	}
	sock, err := ownsock.Listen(path)
	if err != nil {
		return nil, fmt.Errorf("admin: %w", err)
	}
	s := &Server{path: path, keeper: k, log: log, sock: sock, places: make(chan struct{}, callsMost)}
	mux := http.NewServeMux()
	for pattern, h := range lifecycleCalls(lifecycle) {
		mux.HandleFunc(pattern, s.own(h))
	}
	for pattern, h := range map[string]func(r *http.Request) (any, error){
		"GET /held/list": s.list, "GET /held/export": s.export, "GET /held/show/{seq}": s.show, "GET /held/stats": s.stats,
		"GET /held/audit": s.audit, "POST /held/resend": s.resend, "POST /held/drop": s.drop, "POST /held/import": s.imports,
	} {
		if k != nil {
			mux.HandleFunc(pattern, s.handle(h))
		}
	}
	s.http = &http.Server{
		Handler: mux, ReadHeaderTimeout: headSpan, ReadTimeout: actSpan, WriteTimeout: 2 * actSpan, IdleTimeout: idleSpan,
		MaxHeaderBytes: 16 << 10, ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelWarn),
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, peerKey{}, ownsock.Peer(c))
		},
	}
	return s, nil
}

// Serve serves until Close.
func (s *Server) Serve() {
	if err := s.http.Serve(s.sock); !errors.Is(err, http.ErrServerClosed) {
		s.log.Error("admin plane ended", "err", err)
	}
}

// Close ends the plane at once.
func (s *Server) Close() {
	s.http.Close()
	os.Remove(s.path)
}

// A fault is an error with its status.
type fault struct {
	status int
	text   string
}

func (f *fault) Error() string { return f.text }

// own lets the sender's own user through alone.
func (s *Server) own(h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if uid := r.Context().Value(peerKey{}); uid != os.Geteuid() && uid != 0 {
			http.Error(w, "only the sender's own user may ask", http.StatusForbidden)
			return
		}
		h(w, r)
	}
}

// handle runs a request and writes what came of it as JSON.
func (s *Server) handle(h func(*http.Request) (any, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		status := http.StatusOK
		v, err := func() (any, error) {
			if uid := r.Context().Value(peerKey{}); uid != os.Geteuid() && uid != 0 {
				return nil, &fault{http.StatusForbidden, "only the sender's own user may ask"}
			}
			select {
			case s.places <- struct{}{}:
				defer func() { <-s.places }()
			case <-r.Context().Done():
				return nil, r.Context().Err()
			}
			r.Body = http.MaxBytesReader(w, r.Body, bodyMost)
			ctx, cancel := context.WithDeadline(r.Context(), time.Now().Add(actSpan))
			defer cancel()
			return h(r.WithContext(ctx))
		}()
		var f *fault
		switch {
		case err == nil:
		case errors.As(err, &f):
			status = f.status
		case errors.Is(err, deadletter.ErrNotFound):
			status = http.StatusNotFound
		case errors.Is(err, deadletter.ErrNoStore), errors.Is(err, context.DeadlineExceeded):
			status = http.StatusServiceUnavailable
		default:
			status = http.StatusInternalServerError
		}
		if err != nil {
			v = map[string]string{"error": err.Error()}
		}
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(status)
		json.NewEncoder(w).Encode(v)
	}
}

// by names who asks, for the audit trail.
func by(r *http.Request) string { return fmt.Sprintf("uid %d", r.Context().Value(peerKey{})) }

// query is a filter as it stands in a URL, and the page.
func query(f deadletter.Filter, after uint64, most int) url.Values {
	v := url.Values{}
	set := func(name, value string) {
		if value != "" {
			v.Set(name, value)
		}
	}
	if f.Destination != nil {
		set("destination", strconv.Itoa(*f.Destination))
	}
	set("class", f.Class)
	set("tenant", f.Tenant)
	set("reason", f.Reason)
	set("state", string(f.State))
	if !f.Since.IsZero() {
		set("since", f.Since.Format(time.RFC3339Nano))
	}
	if !f.Before.IsZero() {
		set("before", f.Before.Format(time.RFC3339Nano))
	}
	set("after", strconv.FormatUint(after, 10))
	set("most", strconv.Itoa(most))
	return v
}

func parseQuery(v url.Values) (f deadletter.Filter, after uint64, most int, err error) {
	f = deadletter.Filter{Class: v.Get("class"), Tenant: v.Get("tenant"), Reason: v.Get("reason"), State: deadletter.State(v.Get("state"))}
	read := func(name string, take func(string) error) {
		if text := v.Get(name); text != "" && err == nil {
			if e := take(text); e != nil {
				err = &fault{http.StatusBadRequest, name + ": " + e.Error()}
			}
		}
	}
	read("destination", func(s string) error {
		n, err := strconv.Atoi(s)
		f.Destination = &n
		return err
	})
	read("since", func(s string) (err error) { f.Since, err = time.Parse(time.RFC3339Nano, s); return })
	read("before", func(s string) (err error) { f.Before, err = time.Parse(time.RFC3339Nano, s); return })
	read("after", func(s string) (err error) { after, err = strconv.ParseUint(s, 10, 64); return })
	read("most", func(s string) (err error) { most, err = strconv.Atoi(s); return })
	return f, after, min(max(most, 1), deadletter.MaxPageSize), err
}

func (s *Server) list(r *http.Request) (any, error) {
	return s.page(r, func(t *deadletter.Tx, f deadletter.Filter, after uint64, most int) (p Page, err error) {
		p.Records, p.Next, err = t.List(f, after, most)
		return
	})
}

func (s *Server) export(r *http.Request) (any, error) {
	return s.page(r, func(t *deadletter.Tx, f deadletter.Filter, after uint64, most int) (p Page, err error) {
		p.Lines, p.Next, err = t.Export(f, after, min(most, MaxImportLines))
		return
	})
}

func (s *Server) page(r *http.Request, get func(*deadletter.Tx, deadletter.Filter, uint64, int) (Page, error)) (any, error) {
	f, after, most, err := parseQuery(r.URL.Query())
	if err != nil {
		return nil, err
	}
	var p Page
	err = s.keeper.View(func(t *deadletter.Tx) (err error) { p, err = get(t, f, after, most); return })
	return p, err
}

func (s *Server) show(r *http.Request) (any, error) {
	seq, err := strconv.ParseUint(r.PathValue("seq"), 10, 64)
	if err != nil {
		return nil, &fault{http.StatusBadRequest, "a number is wanted"}
	}
	var line deadletter.ExportLine
	err = s.keeper.View(func(t *deadletter.Tx) (err error) { line, err = show(t, seq); return })
	return line, err
}

// show is one record whole.
func show(t *deadletter.Tx, seq uint64) (deadletter.ExportLine, error) {
	rec, err := t.Get(seq)
	if err != nil {
		return deadletter.ExportLine{}, err
	}
	var body []byte
	if !rec.BodyMissing {
		if body, err = t.Body(seq); err != nil {
			return deadletter.ExportLine{}, err
		}
	}
	return deadletter.NewExportLine(rec, body), nil
}

func (s *Server) stats(*http.Request) (any, error) {
	var v deadletter.Stats
	err := s.keeper.View(func(t *deadletter.Tx) (err error) { v, err = t.Stats(); return })
	return v, err
}

func (s *Server) audit(r *http.Request) (any, error) {
	most, _ := strconv.Atoi(r.URL.Query().Get("most"))
	var list []deadletter.AuditEntry
	err := s.keeper.View(func(t *deadletter.Tx) (err error) {
		list, err = t.Audit(min(max(most, 1), deadletter.MaxPageSize))
		return
	})
	return list, err
}

// order reads the body of an act.
func order(r *http.Request) (o Order, err error) {
	d := json.NewDecoder(r.Body)
	d.DisallowUnknownFields()
	if err := d.Decode(&o); err != nil {
		return o, &fault{http.StatusBadRequest, "order: " + err.Error()}
	}
	if o.WithinS < 0 || o.WithinS > 365*86400 {
		return o, &fault{http.StatusBadRequest, "within_s out of range"}
	}
	return o, nil
}

func (s *Server) resend(r *http.Request) (any, error) {
	o, err := order(r)
	if err != nil {
		return nil, err
	}
	return s.keeper.Redeliver(r.Context(), by(r), o.Selection, time.Duration(o.WithinS*float64(time.Second)), o.DryRun)
}

func (s *Server) drop(r *http.Request) (any, error) {
	o, err := order(r)
	if err != nil {
		return nil, err
	}
	return s.keeper.Drop(r.Context(), by(r), o.Selection, o.DryRun)
}

func (s *Server) imports(r *http.Request) (any, error) {
	o, err := order(r)
	if err != nil {
		return nil, err
	}
	return s.keeper.Import(r.Context(), by(r), o.Lines, o.DryRun)
}
