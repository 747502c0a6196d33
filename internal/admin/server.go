// Package admin implements the admin API of a sender: an HTTP server on a Unix socket with the calls of the lifecycle
// and of the dead-letter queue, its client, and an HTTP server at the TCP admin address with the calls of the lifecycle
// alone. It owns the limits and formats of these calls. The state of the sender stays behind the interfaces Lifecycle
// and DeadLetterQueue.
package admin

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"time"

	"cleathold/internal/deadletter"
	"cleathold/internal/usersocket"
)

const (
	maxBodySize        = 8 << 20          // bytes of a request body; the largest contains a page of an import
	requestTimeout     = 30 * time.Second // includes the wait for the dead-letter store
	headerTimeout      = 2 * time.Second
	idleTimeout        = 30 * time.Second
	maxConcurrentCalls = 4        // each may keep a page in memory
	maxSocketHeader    = 16 << 10 // bytes of a request's header
)

// MaxImportLines is the maximum number of lines in a page of an export or import.
const MaxImportLines = 64

// DeadLetterQueue is the dead-letter queue that the API gives access to. The parameter by is the name of the caller in
// the audit trail. With dry set, a call changes nothing and returns what it would do.
type DeadLetterQueue interface {
	View(func(*deadletter.Tx) error) error
	Redeliver(
		ctx context.Context, by string, sel deadletter.Selection, within time.Duration, dry bool,
	) (deadletter.Outcome, error)
	Drop(ctx context.Context, by string, sel deadletter.Selection, dry bool) (deadletter.Outcome, error)
	Import(ctx context.Context, by string, lines []deadletter.ExportLine, dry bool) (deadletter.Outcome, error)
}

// DeadLetterRequest is the body of a request that changes dead letters.
type DeadLetterRequest struct {
	Selection     deadletter.Selection    `json:"selection,omitzero"`
	Lines         []deadletter.ExportLine `json:"lines,omitempty"`
	WithinSeconds float64                 `json:"within_s,omitempty"`
	DryRun        bool                    `json:"dry_run,omitempty"`
}

// Page is a page of records or of exported lines. Next is the position after the page, or 0 for the last page.
type Page struct {
	Records []deadletter.Record     `json:"records,omitempty"`
	Lines   []deadletter.ExportLine `json:"lines,omitempty"`
	Next    uint64                  `json:"next,omitempty"`
}

// Server serves the API on a Unix socket.
type Server struct {
	path        string
	deadLetters DeadLetterQueue
	log         *slog.Logger
	listener    *net.UnixListener
	http        *http.Server
	slots       chan struct{}
}

// peerUIDKey is the key of the caller's user id in a request's context.
type peerUIDKey struct{}

// Listen binds the Unix socket for its owner alone and replaces the socket of a process that has ended. Without a queue
// it serves only the calls of the lifecycle.
func Listen(path string, queue DeadLetterQueue, lifecycle Lifecycle, log *slog.Logger) (*Server, error) {
	if c, err := net.Dial("unix", path); err == nil {
		c.Close()
		return nil, fmt.Errorf("admin: %s is in use by another process", path)
	}
	sock, err := usersocket.Listen(path)
	if err != nil {
		return nil, fmt.Errorf("admin: %w", err)
	}
	s := &Server{path: path, deadLetters: queue, log: log, listener: sock, slots: make(chan struct{}, maxConcurrentCalls)}
	mux := http.NewServeMux()
	for pattern, h := range lifecycleCalls(lifecycle) {
		mux.HandleFunc(pattern, ownerOnly(h))
	}
	for pattern, h := range map[string]func(r *http.Request) (any, error){
		"GET /held/list": s.list, "GET /held/export": s.export, "GET /held/show/{seq}": s.show, "GET /held/stats": s.stats,
		"GET /held/audit": s.audit, "POST /held/resend": s.redeliver, "POST /held/drop": s.drop,
		"POST /held/import": s.importLines,
	} {
		if queue != nil {
			mux.HandleFunc(pattern, s.handleJSON(h))
		}
	}
	s.http = &http.Server{
		Handler: mux, ReadHeaderTimeout: headerTimeout, ReadTimeout: requestTimeout, WriteTimeout: 2 * requestTimeout,
		IdleTimeout:    idleTimeout,
		MaxHeaderBytes: maxSocketHeader, ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelWarn),
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, peerUIDKey{}, usersocket.PeerUID(c))
		},
	}
	return s, nil
}

// Serve serves requests until Close is called.
func (s *Server) Serve() {
	if err := s.http.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
		s.log.Error("admin socket failed", "err", err)
	}
}

// Close stops the server at once and removes the socket.
func (s *Server) Close() {
	s.http.Close()
	os.Remove(s.path)
}

// statusError is an error with the HTTP status of its response.
type statusError struct {
	status int
	text   string
}

// Error implements error.
func (e *statusError) Error() string { return e.text }

// notOwnerText is the error text for callers that are neither the sender's user nor root.
const notOwnerText = "only the sender's own user may ask"

// fromOwner reports whether a request was made by the sender's own user or root.
func fromOwner(r *http.Request) bool {
	uid := r.Context().Value(peerUIDKey{})
	return uid == os.Geteuid() || uid == 0
}

// ownerOnly restricts a handler to the sender's own user and root. Other callers get status 403 with a plain text.
func ownerOnly(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if !fromOwner(r) {
			http.Error(w, notOwnerText, http.StatusForbidden)
			return
		}
		next(w, r)
	}
}

// handleJSON returns a handler that writes the result or the error of h as JSON.
func (s *Server) handleJSON(h func(*http.Request) (any, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		r.Body = http.MaxBytesReader(w, r.Body, maxBodySize)
		v, err := s.runLimited(r, h)
		if err != nil {
			v = map[string]string{"error": err.Error()}
		}
		writeJSON(w, statusOf(err), v)
	}
}

// runLimited calls h for a request of the owner, within maxConcurrentCalls and requestTimeout.
func (s *Server) runLimited(r *http.Request, h func(*http.Request) (any, error)) (any, error) {
	if !fromOwner(r) {
		return nil, &statusError{http.StatusForbidden, notOwnerText}
	}
	select {
	case s.slots <- struct{}{}:
		defer func() { <-s.slots }()
	case <-r.Context().Done():
		return nil, r.Context().Err()
	}
	ctx, cancel := context.WithTimeout(r.Context(), requestTimeout)
	defer cancel()
	return h(r.WithContext(ctx))
}

// statusOf returns the HTTP status for an error, which may be nil.
func statusOf(err error) int {
	var withStatus *statusError
	switch {
	case err == nil:
		return http.StatusOK
	case errors.As(err, &withStatus):
		return withStatus.status
	case errors.Is(err, deadletter.ErrNotFound):
		return http.StatusNotFound
	case errors.Is(err, deadletter.ErrNoStore), errors.Is(err, context.DeadlineExceeded):
		return http.StatusServiceUnavailable
	}
	return http.StatusInternalServerError
}
