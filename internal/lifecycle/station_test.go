package lifecycle

import (
	"log/slog"
	"strings"
	"testing"
)

type noted []string

func (n *noted) Drain()    { *n = append(*n, "drain") }
func (n *noted) Activate() { *n = append(*n, "activate") }

// Orders in each phase: those from before the end of the start hold after it, repeats are harmless, and whoever
// stops or leaves takes none.
func TestStationOrders(t *testing.T) {
	for _, c := range []struct{ does, door, is, refused string }{
		{"begin", "", "serving", ""},
		{"begin drain", "drain", "drained", ""},
		{"drain begin", "drain", "drained", ""},
		{"drain activate begin", "", "serving", ""},
		{"begin drain drain activate activate drain", "drain activate drain", "drained", ""},
		{"begin activate", "", "serving", ""},
		{"begin stop drain", "", "stopping", "drain"},
		{"stop begin", "", "stopping", ""},
		{"begin leave drain", "", "leaving", "drain"},
		{"begin drain leave begin", "drain drain", "drained", ""}, // the next process did not come: a new door
		{"begin leave stop begin activate", "", "stopping", "activate"},
	} {
		s, d := &station{log: slog.New(slog.DiscardHandler)}, &noted{}
		refused := []string{}
		for _, do := range strings.Fields(c.does) {
			var err error
			switch do {
			case "begin":
				s.begin(d)
			case "drain":
				err = s.Drain()
			case "activate":
				err = s.Activate()
			case "stop":
				s.enter(stopping)
			case "leave":
				s.enter(leaving)
			}
			if err != nil {
				refused = append(refused, do)
			}
		}
		if got := strings.Join(*d, " "); got != c.door || s.is.String() != c.is || strings.Join(refused, " ") != c.refused {
			t.Errorf("%s: door %q, is %v, refused %v", c.does, got, s.is, refused)
		}
		if ready := s.Ready() == nil; ready != (s.is == serving || s.is == drained) {
			t.Errorf("%s: ready %v", c.does, ready)
		}
	}
}
