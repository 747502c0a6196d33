package lifecycle

import (
	"log/slog"
	"strconv"
	"strings"
	"testing"
	"time"

	"cleathold/internal/lease"
)

type gateRecorder []string

func (r *gateRecorder) Drain()    { *r = append(*r, "drain") }
func (r *gateRecorder) Activate() { *r = append(*r, "activate") }

// Orders and leases in each phase: orders given during the start take effect after it, repeating an order changes
// nothing, and a process that stops or hands over rejects orders. Times are in seconds; "take:5" is an order of epoch 5
// that must be accepted by time 2 and whose lease ends at time 10.
func TestStateMachine(t *testing.T) {
	for _, c := range []struct{ orders, gate, phase, rejected string }{
		{"begin take:5", "drain", "drained", ""},
		{"begin take:5 at:9 expire", "drain", "drained", ""},
		{"begin take:5 at:10 expire", "drain activate", "serving", ""},
		{"begin take:5 renew:5 at:12 expire", "drain", "drained", ""},
		{"begin take:5 end:5 take:5", "drain activate", "serving", "take:5"},
		{"begin hold:5", "", "serving", ""},
		{"begin at:3 take:5", "", "serving", "take:5"},
		{"take:5 begin", "", "serving", "take:5"},
		{"begin take:5 activate", "drain activate", "serving", ""},  // the operator's order overrides the lease
		{"begin drain take:5 end:5", "drain", "drained", ""},        // the operator's order outlasts the lease's end
		{"begin drain take:5 at:10 expire", "drain", "drained", ""}, // and its expiry
		{"begin take:5 leave take:6 renew:5", "drain", "leaving", "take:6 renew:5"},
		{"begin take:5 leave at:10 expire begin", "drain", "serving", ""}, // expired during a failed hand-over
		{"begin take:5 stop end:5", "drain", "stopping", "end:5"},
		{"inherit:5 begin", "drain", "drained", ""},
		{"inherit:5 begin take:5 end:5", "drain activate", "serving", ""},
		{"inherit:5 begin take:4", "drain", "drained", "take:4"},
	} {
		r := newOrderSequence()
		var rejected []string
		for _, order := range strings.Fields(c.orders) {
			if r.apply(order) != nil {
				rejected = append(rejected, order)
			}
		}
		gate, phase := strings.Join(r.gate, " "), r.m.phase
		if gate != c.gate || phase.String() != c.phase || strings.Join(rejected, " ") != c.rejected {
			t.Errorf("%s: gate %q, phase %v, rejected %v", c.orders, gate, phase, rejected)
		}
		if ready := r.m.Ready() == nil; ready != (phase == serving || phase == drained) {
			t.Errorf("%s: ready %v", c.orders, ready)
		}
	}
}

// orderSequence applies a sequence of orders to a state machine with a simulated clock.
type orderSequence struct {
	m    *stateMachine
	gate gateRecorder
	now  time.Time
}

// sequenceStart is the time at which each sequence starts.
var sequenceStart = time.Unix(1000, 0)

func newOrderSequence() *orderSequence {
	r := &orderSequence{m: newStateMachine(slog.New(slog.DiscardHandler)), now: sequenceStart}
	r.m.now = func() time.Time { return r.now }
	return r
}

// apply executes an order, such as "take:5", and returns the error if it is rejected.
func (r *orderSequence) apply(order string) error {
	at := func(n int) time.Time { return sequenceStart.Add(time.Duration(n) * time.Second) }
	verb, arg, _ := strings.Cut(order, ":")
	n, _ := strconv.Atoi(arg)
	switch verb {
	case "begin":
		r.m.startServing(&r.gate)
	case "drain":
		return r.m.Drain()
	case "activate":
		return r.m.Activate()
	case "stop":
		r.m.advance(stopping)
	case "leave":
		r.m.advance(handingOver)
	case "take", "hold":
		return r.m.AcceptLease(lease.Order{
			Process: r.m.id, Epoch: uint64(n), AcceptBy: at(2), Until: at(10), Drain: verb == "take",
		})
	case "renew":
		return r.m.RenewLease(uint64(n), at(20))
	case "end":
		return r.m.EndLease(uint64(n))
	case "at":
		r.now = at(n)
	case "expire":
		r.m.expireLease()
	case "inherit":
		r.m.inherit(false, lease.Holder{Epoch: uint64(n), Until: at(10), Drain: true})
	}
	return nil
}
