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

func (n *gateRecorder) Drain()    { *n = append(*n, "drain") }
func (n *gateRecorder) Activate() { *n = append(*n, "activate") }

// Orders and leases in each phase: those from before the end of the start hold after it, repeats are harmless, and a
// process that stops or hands over takes none. Times are seconds; "take:5" is an order of epoch 5 to be taken up by 2
// whose lease ends at 10.
func TestStateMachine(t *testing.T) {
	start := time.Unix(1000, 0)
	for _, c := range []struct{ does, door, is, refused string }{
		{"begin take:5", "drain", "drained", ""},
		{"begin take:5 at:9 expire", "drain", "drained", ""},
		{"begin take:5 at:10 expire", "drain activate", "serving", ""},
		{"begin take:5 renew:5 at:12 expire", "drain", "drained", ""},
		{"begin take:5 end:5 take:5", "drain activate", "serving", "take:5"},
		{"begin hold:5", "", "serving", ""},
		{"begin at:3 take:5", "", "serving", "take:5"},
		{"take:5 begin", "", "serving", "take:5"},
		{"begin take:5 activate", "drain activate", "serving", ""},  // by hand goes before
		{"begin drain take:5 end:5", "drain", "drained", ""},        // by hand stays
		{"begin drain take:5 at:10 expire", "drain", "drained", ""}, //
		{"begin take:5 leave take:6 renew:5", "drain", "leaving", "take:6 renew:5"},
		{"begin take:5 leave at:10 expire begin", "drain", "serving", ""}, // up while another process was to take over
		{"begin take:5 stop end:5", "drain", "stopping", "end:5"},
		{"inherit:5 begin", "drain", "drained", ""},
		{"inherit:5 begin take:5 end:5", "drain activate", "serving", ""},
		{"inherit:5 begin take:4", "drain", "drained", "take:4"},
	} {
		s, d := newStateMachine(slog.New(slog.DiscardHandler)), &gateRecorder{}
		now := start
		s.now = func() time.Time { return now }
		at := func(n int) time.Time { return start.Add(time.Duration(n) * time.Second) }
		var refused []string
		for _, do := range strings.Fields(c.does) {
			var err error
			verb, arg, _ := strings.Cut(do, ":")
			n, _ := strconv.Atoi(arg)
			o := lease.Order{Process: s.id, Epoch: uint64(n), By: at(2), Until: at(10), Drain: verb == "take"}
			switch verb {
			case "begin":
				s.startServing(d)
			case "drain":
				err = s.Drain()
			case "activate":
				err = s.Activate()
			case "stop":
				s.advance(stopping)
			case "leave":
				s.advance(handingOver)
			case "take", "hold":
				err = s.Take(o)
			case "renew":
				err = s.Renew(uint64(n), at(20))
			case "end":
				err = s.End(uint64(n))
			case "at":
				now = at(n)
			case "expire":
				s.expireLease()
			case "inherit":
				s.inherit(false, lease.Holder{Epoch: uint64(n), Until: at(10), Drain: true})
			}
			if err != nil {
				refused = append(refused, do)
			}
		}
		if got := strings.Join(*d, " "); got != c.door || s.phase.String() != c.is || strings.Join(refused, " ") != c.refused {
			t.Errorf("%s: door %q, is %v, refused %v", c.does, got, s.phase, refused)
		}
		if ready := s.Ready() == nil; ready != (s.phase == serving || s.phase == drained) {
			t.Errorf("%s: ready %v", c.does, ready)
		}
	}
}
