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

// Station is the sender as those see it who run it.
type Station interface {
	// Ready tells whether this process can serve.
	Ready() error
	// Drain sends clients away, Activate takes them back. Either may be asked for again.
	Drain() error
	Activate() error
}

// The calls of the station, behind both fronts of the plane.
const (
	ReadyPath    = "/v1/readyz"
	DrainPath    = "/v1/sender/drain"
	ActivatePath = "/v1/sender/activate"
)

const (
	FrontPlaces = 32                     // connections at the second address; the oldest gives way to the next
	frontSpan   = 2 * time.Second        // a call must have come within this
	frontHead   = 8 << 10                // and its head may hold so much
	replySpan   = 500 * time.Millisecond // an answer must be taken within this
)

// stationCalls are the handlers of a station's calls by their patterns.
func stationCalls(s Station) map[string]http.HandlerFunc {
	act := func(do func() error, done string) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			if err := do(); err != nil {
				http.Error(w, err.Error(), http.StatusServiceUnavailable)
				return
			}
			fmt.Fprintln(w, done)
		}
	}
	return map[string]http.HandlerFunc{
		"GET " + ReadyPath: act(s.Ready, "ready"), "PUT " + DrainPath: act(s.Drain, "draining"),
		"PUT " + ActivatePath: act(s.Activate, "active"),
	}
}

// Front serves the station's calls alone at a TCP address: there nobody can be told apart.
type Front struct {
	sock *places
	http *http.Server
	log  *slog.Logger
}

// ListenTCP binds the second address.
func ListenTCP(addr string, s Station, log *slog.Logger) (*Front, error) {
	sock, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("admin: %w", err)
	}
	mux := http.NewServeMux()
	for pattern, h := range stationCalls(s) {
		mux.HandleFunc(pattern, h)
	}
	f := &Front{sock: &places{Listener: sock, most: FrontPlaces}, log: log, http: &http.Server{
		Handler: mux, ReadHeaderTimeout: frontSpan, ReadTimeout: frontSpan, WriteTimeout: frontSpan + replySpan,
		MaxHeaderBytes: frontHead, ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelDebug),
	}}
	f.http.SetKeepAlivesEnabled(false) // one call a connection
	return f, nil
}

// Addr is the address that it listens on.
func (f *Front) Addr() net.Addr { return f.sock.Addr() }

// Serve serves until Close.
func (f *Front) Serve() {
	if err := f.http.Serve(f.sock); !errors.Is(err, http.ErrServerClosed) {
		f.log.Error("second address ended", "err", err)
	}
}

// Close ends it at once.
func (f *Front) Close() { f.http.Close() }

// places bounds the connections of a listener. Where all places are taken the oldest connection
// is closed: who has sent no whole call for so long must not keep out one who will.
type places struct {
	net.Listener
	most int

	mu   sync.Mutex
	open []*place // the oldest first
}

// A place is a connection that gives its place back when it is closed.
type place struct {
	net.Conn
	of *places
}

func (p *places) Accept() (net.Conn, error) {
	c, err := p.Listener.Accept()
	if err != nil {
		return nil, err
	}
	k := &place{c, p}
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.open) >= p.most {
		p.open[0].Conn.Close()
		p.open = p.open[1:]
	}
	p.open = append(p.open, k)
	return k, nil
}

func (k *place) Close() error {
	k.of.mu.Lock()
	if i := slices.Index(k.of.open, k); i >= 0 {
		k.of.open = slices.Delete(k.of.open, i, i+1)
	}
	k.of.mu.Unlock()
	return k.Conn.Close()
}
