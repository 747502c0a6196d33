package admin

import (
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"cleathold/internal/connbudget"
	"cleathold/internal/lease"
	"cleathold/internal/protocol"
	"cleathold/internal/state"
)

// Lifecycle controls the lifecycle of a sender on behalf of operators and agents.
type Lifecycle interface {
	// Ready returns nil if this process can serve, and otherwise the reason why it can't.
	Ready() error
	// Drain makes the sender reject clients, and Activate makes it accept them again. Both are idempotent.
	Drain() error
	Activate() error
	// AcceptLease, RenewLease and EndLease execute an agent's order for a lease.
	AcceptLease(o lease.Order) error
	RenewLease(epoch uint64, until time.Time) error
	EndLease(epoch uint64) error
	// SetExclusions replaces the set of endpoints that operators have excluded. The set belongs to an epoch and expires at
	// the given time.
	SetExclusions(epoch uint64, ids []string, until time.Time) error
	// Status returns the current status.
	Status() DetailedStatus
	// Targets returns the targets on discovery's list.
	Targets() []state.ListedTarget
}

// Paths of the lifecycle's calls, on both servers. Drain and activate are calls of an operator without a query, and
// of an agent with one.
const (
	ReadyPath      = "/v1/readyz"
	DrainPath      = "/v1/sender/drain"
	ActivatePath   = "/v1/sender/activate"
	HoldPath       = "/v1/sender/hold" // a lease under which the sender keeps serving while it changes its version
	RenewPath      = "/v1/sender/renew"
	StatusPath     = "/v1/sender/status"
	TargetsPath    = "/v1/sender/targets"
	ExclusionsPath = "/v1/sender/aside"
)

// Status is the state of one process of a sender.
type Status struct {
	Name        string          `json:"name"`
	Process     string          `json:"process"` // a random id of the process
	Pid         int             `json:"pid"`
	Phase       string          `json:"phase"`
	Epoch       uint64          `json:"epoch"` // the highest epoch of the orders seen
	Ended       bool            `json:"ended"` // the lease of that epoch has ended
	LeaseActive bool            `json:"stands"`
	Until       time.Time       `json:"until,omitzero"`
	Release     string          `json:"release,omitempty"`
	Config      string          `json:"config"` // digest of the configuration in force
	Started     time.Time       `json:"started"`
	Counts      state.Counts    `json:"counts"`
	Clients     protocol.Counts `json:"clients"`
	MemoryMB    float64         `json:"memory_mb"`
}

// DetailedStatus is the response to StatusPath: the status with counts for operators, which agents ignore.
type DetailedStatus struct {
	Status
	Endpoints    protocol.TransportCounts `json:"endpoints"`
	ClientBudget connbudget.Use           `json:"client_budget"`
	Abandoned    int64                    `json:"abandoned"` // messages whose client closed the connection before
}

// Digest returns a short digest of a text.
func Digest(text string) string { return fmt.Sprintf("%x", sha256.Sum256([]byte(text)))[:16] }

// orderQuery parses the parameters of an order from a query and keeps the first error. Times are Unix times in
// milliseconds.
type orderQuery struct {
	values url.Values
	err    error
}

func (o *orderQuery) number(name string) uint64 {
	v, err := strconv.ParseUint(o.values.Get(name), 10, 63)
	if err != nil && o.err == nil {
		o.err = fmt.Errorf("%s: a whole number is wanted", name)
	}
	return v
}

func (o *orderQuery) time(name string) time.Time { return time.UnixMilli(int64(o.number(name))) }

// lifecycleCalls returns the handlers of the lifecycle's calls by URL pattern.
func lifecycleCalls(lifecycle Lifecycle) map[string]http.HandlerFunc {
	return map[string]http.HandlerFunc{
		"GET " + ReadyPath: operatorHandler(lifecycle.Ready, "ready"),
		"PUT " + DrainPath: operatorOrAgentHandler(lifecycle.Drain, "draining", takeLease(lifecycle, true)),
		"PUT " + HoldPath:  agentHandler("held", takeLease(lifecycle, false)),
		"PUT " + RenewPath: agentHandler("renewed", func(q *orderQuery) func() error {
			epoch, until := q.number("epoch"), q.time("until")
			return func() error { return lifecycle.RenewLease(epoch, until) }
		}),
		"PUT " + ActivatePath: operatorOrAgentHandler(lifecycle.Activate, "active", func(q *orderQuery) func() error {
			epoch := q.number("epoch")
			return func() error { return lifecycle.EndLease(epoch) }
		}),
		"PUT " + ExclusionsPath: agentHandler("set aside", func(q *orderQuery) func() error {
			epoch, until, ids := q.number("epoch"), q.time("until"), q.values["id"]
			if len(ids) > lease.MaxExcluded && q.err == nil {
				q.err = fmt.Errorf("id: %d at most", lease.MaxExcluded)
			}
			return func() error { return lifecycle.SetExclusions(epoch, ids, until) }
		}),
		"GET " + TargetsPath: func(w http.ResponseWriter, _ *http.Request) {
			writeJSON(w, http.StatusOK, lifecycle.Targets())
		},
		"GET " + StatusPath: func(w http.ResponseWriter, _ *http.Request) {
			writeJSON(w, http.StatusOK, lifecycle.Status())
		},
	}
}

// takeLease returns a function that parses an order for a lease from a query and returns the function that executes it.
func takeLease(lifecycle Lifecycle, drain bool) func(q *orderQuery) func() error {
	return func(q *orderQuery) func() error {
		order := lease.Order{
			Process: q.values.Get("process"), Epoch: q.number("epoch"), AcceptBy: q.time("by"), Until: q.time("until"),
			Drain: drain,
		}
		return func() error { return lifecycle.AcceptLease(order) }
	}
}

// operatorHandler returns the handler of a call without parameters.
func operatorHandler(do func() error, success string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { writeOutcome(w, do(), success) }
}

// agentHandler returns the handler of a call whose query is an agent's order. The function read parses the order from
// the query and returns the function that executes it.
func agentHandler(success string, read func(q *orderQuery) func() error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		query := &orderQuery{values: r.URL.Query()}
		do := read(query)
		if query.err != nil {
			http.Error(w, query.err.Error(), http.StatusBadRequest)
			return
		}
		writeOutcome(w, do(), success)
	}
}

// operatorOrAgentHandler returns the handler of a call that is made by an operator without a query, and by an agent
// with one.
func operatorOrAgentHandler(do func() error, success string, read func(q *orderQuery) func() error) http.HandlerFunc {
	operator, agent := operatorHandler(do, success), agentHandler(success, read)
	return func(w http.ResponseWriter, r *http.Request) {
		if r.URL.RawQuery == "" {
			operator(w, r)
			return
		}
		agent(w, r)
	}
}

// writeOutcome writes the response of a call: the success text, status 409 for an order that the lease or the
// exclusions reject, or status 503 for any other error.
func writeOutcome(w http.ResponseWriter, err error, success string) {
	switch {
	case err == nil:
		fmt.Fprintln(w, success)
	case lease.IsRejection(err):
		http.Error(w, err.Error(), http.StatusConflict)
	default:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	}
}

// writeJSON writes a response with a JSON body.
func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(v)
}
