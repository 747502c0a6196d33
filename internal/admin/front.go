package admin

import (
	"crypto/sha256"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"sync"
	"time"

	"cleathold/internal/lease"
	"cleathold/internal/protocol"
	"cleathold/internal/state"
)

// Lifecycle is the sender as those see it who run it.
type Lifecycle interface {
	// Ready tells whether this process can serve.
	Ready() error
	// Drain sends clients away, Activate takes them back. Either may be asked for again.
	Drain() error
	Activate() error
	// Take, Renew and End are what an agent asks for, by what the agents have agreed on.
	Take(o lease.Order) error
	Renew(epoch uint64, until time.Time) error
	End(epoch uint64) error
	// SetExclusions takes which targets operators have taken out, all of them, as of an epoch.
	SetExclusions(epoch uint64, ids []string, until time.Time) error
	Status() Status
	Targets() []state.ListedTarget
}

// The calls of the lifecycle, behind both fronts of the plane. Drain and activate are by hand without a query, and by
// an agent's order with one.
const (
	ReadyPath      = "/v1/readyz"
	DrainPath      = "/v1/sender/drain"
	ActivatePath   = "/v1/sender/activate"
	HoldPath       = "/v1/sender/hold" // a lease under which the sender goes on serving, while it changes
	RenewPath      = "/v1/sender/renew"
	StatusPath     = "/v1/sender/status"
	TargetsPath    = "/v1/sender/targets"
	ExclusionsPath = "/v1/sender/aside"
)

// Status is how one process of a sender is.
type Status struct {
	Name        string          `json:"name"`
	Process     string          `json:"process"` // drawn at its start
	Pid         int             `json:"pid"`
	Phase       string          `json:"phase"`
	Epoch       uint64          `json:"epoch"` // the highest of an order that it has seen...
	Ended       bool            `json:"ended"` // ...of which nothing stands
	LeaseActive bool            `json:"stands"`
	Until       time.Time       `json:"until,omitzero"`
	Release     string          `json:"release,omitempty"`
	Config      string          `json:"config"` // digest of the configuration in force
	Started     time.Time       `json:"started"`
	Counts      state.Counts    `json:"counts"`
	Clients     protocol.Counts `json:"clients"`
	MemoryMB    float64         `json:"memory_mb"`
}

// Digest names a text.
func Digest(text string) string { return fmt.Sprintf("%x", sha256.Sum256([]byte(text)))[:16] }

// An ordering reads what an order says in its query. Times are Unix times in milliseconds.
type ordering struct {
	query url.Values
	err   error
}

func (o *ordering) number(name string) uint64 {
	v, err := strconv.ParseUint(o.query.Get(name), 10, 63)
	if err != nil && o.err == nil {
		o.err = fmt.Errorf("%s: a whole number is wanted", name)
	}
	return v
}

func (o *ordering) time(name string) time.Time { return time.UnixMilli(int64(o.number(name))) }

const (
	MaxHTTPConnections = 32                     // connections at the second address; the oldest gives way to the next
	frontSpan          = 2 * time.Second        // a call must have come within this
	frontHead          = 8 << 10                // and its head may hold so much
	replySpan          = 500 * time.Millisecond // an answer must be taken within this
)

// lifecycleCalls are the handlers of the lifecycle's calls by their patterns.
func lifecycleCalls(s Lifecycle) map[string]http.HandlerFunc {
	answer := func(w http.ResponseWriter, err error, done string) {
		switch {
		case err == nil:
			fmt.Fprintln(w, done)
		case lease.IsRejection(err):
			http.Error(w, err.Error(), http.StatusConflict)
		default:
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
		}
	}
	act := func(do func() error, done string) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) { answer(w, do(), done) }
	}
	// ordered is act where there is no query, and else what the query orders.
	ordered := func(byHand http.HandlerFunc, done string, do func(o *ordering) func() error) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			if r.URL.RawQuery == "" && byHand != nil {
				byHand(w, r)
				return
			}
			o := &ordering{query: r.URL.Query()}
			run := do(o)
			if o.err != nil {
				http.Error(w, o.err.Error(), http.StatusBadRequest)
				return
			}
			answer(w, run(), done)
		}
	}
	take := func(drain bool) func(o *ordering) func() error {
		return func(o *ordering) func() error {
			t := lease.Order{Process: o.query.Get("process"), Epoch: o.number("epoch"), By: o.time("by"), Until: o.time("until"), Drain: drain}
			return func() error { return s.Take(t) }
		}
	}
	return map[string]http.HandlerFunc{
		"GET " + ReadyPath: act(s.Ready, "ready"),
		"PUT " + DrainPath: ordered(act(s.Drain, "draining"), "draining", take(true)),
		"PUT " + HoldPath:  ordered(nil, "held", take(false)),
		"PUT " + RenewPath: ordered(nil, "renewed", func(o *ordering) func() error {
			epoch, until := o.number("epoch"), o.time("until")
			return func() error { return s.Renew(epoch, until) }
		}),
		"PUT " + ActivatePath: ordered(act(s.Activate, "active"), "active", func(o *ordering) func() error {
			epoch := o.number("epoch")
			return func() error { return s.End(epoch) }
		}),
		"PUT " + ExclusionsPath: ordered(nil, "set aside", func(o *ordering) func() error {
			epoch, until, ids := o.number("epoch"), o.time("until"), o.query["id"]
			if len(ids) > lease.MaxExcluded && o.err == nil {
				o.err = fmt.Errorf("id: %d at most", lease.MaxExcluded)
			}
			return func() error { return s.SetExclusions(epoch, ids, until) }
		}),
		"GET " + TargetsPath: func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "application/json")
			json.NewEncoder(w).Encode(s.Targets())
		},
		"GET " + StatusPath: func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "application/json")
			json.NewEncoder(w).Encode(s.Status())
		},
	}
}

// HTTPServer serves calls at a TCP address, where nobody can be told apart.
type HTTPServer struct {
	sock *places
	http *http.Server
	log  *slog.Logger
}

// ListenTCP binds the second address, for the lifecycle's calls alone, one call a connection.
func ListenTCP(addr string, s Lifecycle, log *slog.Logger) (*HTTPServer, error) {
	f, err := ListenCalls(addr, lifecycleCalls(s), MaxHTTPConnections, frontSpan, log)
	if err == nil {
		f.http.SetKeepAlivesEnabled(false)
		f.http.MaxHeaderBytes = frontHead
	}
	return f, err
}

// ListenCalls binds an address for calls by their patterns, on so many connections. A call must have come whole within
// a span, and be answered within it.
func ListenCalls(addr string, calls map[string]http.HandlerFunc, most int, span time.Duration, log *slog.Logger) (*HTTPServer, error) {
	sock, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("admin: %w", err)
	}
	mux := http.NewServeMux()
	for pattern, h := range calls {
		mux.HandleFunc(pattern, h)
	}
	return &HTTPServer{sock: &places{Listener: sock, most: most}, log: log, http: &http.Server{
		Handler: mux, ReadHeaderTimeout: frontSpan, ReadTimeout: span, WriteTimeout: span + replySpan, IdleTimeout: idleSpan,
		ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelDebug),
	}}, nil
}

// Addr is the address that it listens on.
func (f *HTTPServer) Addr() net.Addr { return f.sock.Addr() }

// Serve serves until Close.
func (f *HTTPServer) Serve() {
	if err := f.http.Serve(f.sock); !errors.Is(err, http.ErrServerClosed) {
		f.log.Error("second address ended", "err", err)
	}
}

// Close ends it at once.
func (f *HTTPServer) Close() { f.http.Close() }

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
