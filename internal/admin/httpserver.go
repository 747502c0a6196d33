package admin

import (
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"time"

	"cleathold/internal/connbudget"
)

const (
	callTimeout   = 2 * time.Second        // for reading the whole request
	maxHeaderSize = 8 << 10                // bytes
	writeTimeout  = 500 * time.Millisecond // for the response

	evictionsPerSecond = 2000     // connections without a whole call that give way to new ones
	maxBodyBytes       = 32 << 20 // of the calls that are read or answered, together
)

// MaxHTTPConnections bounds the connections at the TCP admin address. A further connection takes the place of one
// without a whole call.
const MaxHTTPConnections = 32

// HTTPServer serves calls at a TCP address, where callers can't be identified.
type HTTPServer struct {
	listener *limitedListener
	http     *http.Server
	log      *slog.Logger
}

// ListenTCP binds the TCP admin address. It serves only the calls of the lifecycle, one call per connection.
func ListenTCP(addr string, lifecycle Lifecycle, log *slog.Logger) (*HTTPServer, error) {
	return ListenCalls(addr, lifecycleCalls(lifecycle), MaxHTTPConnections, callTimeout, log)
}

// ListenCalls binds a TCP address and serves calls by their patterns (see http.ServeMux), on at most maxConns
// connections with one call each. A request must arrive within the timeout, and its response must be written within the
// timeout plus writeTimeout.
func ListenCalls(
	addr string, calls map[string]http.HandlerFunc, maxConns int, timeout time.Duration, log *slog.Logger,
) (*HTTPServer, error) {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("admin: %w", err)
	}
	budget := connbudget.New(connbudget.Limits{
		Connections: maxConns, BufferBytes: maxBodyBytes, EvictionsPerSecond: evictionsPerSecond,
	})
	mux := http.NewServeMux()
	for pattern, h := range calls {
		mux.HandleFunc(pattern, limitBody(budget, h))
	}
	server := &HTTPServer{listener: newLimitedListener(listener, budget), log: log, http: &http.Server{
		Handler: mux, ReadHeaderTimeout: callTimeout, ReadTimeout: timeout, MaxHeaderBytes: maxHeaderSize,
		WriteTimeout: timeout + writeTimeout, IdleTimeout: idleTimeout,
		ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelDebug),
	}}
	server.http.SetKeepAlivesEnabled(false)
	return server, nil
}

// Addr returns the address at which the server listens.
func (s *HTTPServer) Addr() net.Addr { return s.listener.Addr() }

// Serve serves requests until Close is called.
func (s *HTTPServer) Serve() {
	if err := s.http.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
		s.log.Error("admin address failed", "err", err)
	}
}

// Close stops the server and closes its connections at once.
func (s *HTTPServer) Close() { s.http.Close() }
