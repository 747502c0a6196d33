package admin

import (
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	callTimeout   = 2 * time.Second        // for reading the whole request
	maxHeaderSize = 8 << 10                // bytes
	writeTimeout  = 500 * time.Millisecond // for the response
)

// MaxHTTPConnections bounds the connections at the TCP admin address. A further connection closes the oldest one.
const MaxHTTPConnections = 32

// HTTPServer serves calls at a TCP address, where callers can't be identified.
type HTTPServer struct {
	listener *limitedListener
	http     *http.Server
	log      *slog.Logger
}

// ListenTCP binds the TCP admin address. It serves only the calls of the lifecycle, one call per connection.
func ListenTCP(addr string, lifecycle Lifecycle, log *slog.Logger) (*HTTPServer, error) {
	server, err := ListenCalls(addr, lifecycleCalls(lifecycle), MaxHTTPConnections, callTimeout, log)
	if err == nil {
		server.http.SetKeepAlivesEnabled(false)
		server.http.MaxHeaderBytes = maxHeaderSize
	}
	return server, err
}

// ListenCalls binds a TCP address and serves calls by their patterns (see http.ServeMux), on at most maxConns
// connections. A request must arrive within the timeout, and its response must be written within the timeout plus
// writeTimeout.
func ListenCalls(
	addr string, calls map[string]http.HandlerFunc, maxConns int, timeout time.Duration, log *slog.Logger,
) (*HTTPServer, error) {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("admin: %w", err)
	}
	mux := http.NewServeMux()
	for pattern, h := range calls {
		mux.HandleFunc(pattern, h)
	}
	return &HTTPServer{listener: &limitedListener{Listener: listener, max: maxConns}, log: log, http: &http.Server{
		Handler: mux, ReadHeaderTimeout: callTimeout, ReadTimeout: timeout,
		WriteTimeout: timeout + writeTimeout, IdleTimeout: idleTimeout,
		ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelDebug),
	}}, nil
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

// limitedListener limits the open connections of a listener. At the limit it closes the oldest connection, so that
// clients that send no request can't block others.
type limitedListener struct {
	net.Listener
	max int

	mu   sync.Mutex
	open []*limitedConn // oldest first
}

// limitedConn is a connection that removes itself from its listener's open connections on Close.
type limitedConn struct {
	net.Conn
	listener *limitedListener
}

// Accept implements net.Listener.
func (l *limitedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	conn := &limitedConn{c, l}
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.open) >= l.max {
		l.open[0].Conn.Close()
		l.open = l.open[1:]
	}
	l.open = append(l.open, conn)
	return conn, nil
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	c.listener.mu.Lock()
	if i := slices.Index(c.listener.open, c); i >= 0 {
		c.listener.open = slices.Delete(c.listener.open, i, i+1)
	}
	c.listener.mu.Unlock()
	return c.Conn.Close()
}
