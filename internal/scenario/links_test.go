package scenario

import (
	"testing"
	"time"
)

// LinkState applies faults to the right parties and directions, and the fault that began last takes precedence.
func TestLinkState(t *testing.T) {
	p := parseWith(t, `
link(at = 10, seconds = 5, of = "n0", what = "CUT")
link(at = 20, seconds = 5, of = "bldg-a", to = ["clients", "discovery"], what = "SILENT", one_way = True)
link(at = 22, seconds = 1, of = "n0", to = "clients", delay = 0.25, jitter = 0.5, loss = 0.5)
link(at = 30, seconds = 5, of = "n1", to = "destination/2", what = "CUT")
link(at = 40, seconds = 5, share = 0.5, to = "partners", what = "CUT")
parts(at = 50, seconds = 5, parts = 3, what = "CUT")
`).Plan(3)
	cut, silent := LinkState{Cut: true}, LinkState{Silent: true}
	other, second := p.Destinations[0].Endpoints[0].ID, p.Destinations[1].Endpoints[0].ID
	for _, c := range []struct {
		at       float64
		from, to string
		want     LinkState
	}{
		{9.9, "n0", "n1", LinkState{}}, {10, "n0", "n1", cut}, {10, "n1", "n0", cut}, {14.9, "clients", "n0", cut},
		{12, "n1", "n2", LinkState{}}, {15, "n0", "n1", LinkState{}},
		{20, "n0", Clients, silent}, {20, Clients, "n0", LinkState{}}, {20, "n2", Discovery, silent},
		{20, "n1", Discovery, LinkState{}}, {20, "n0", "n1", LinkState{}},
		{22, "n0", Clients, LinkState{Delay: 250 * time.Millisecond, Jitter: 500 * time.Millisecond, Loss: 0.5}},
		{23, "n0", Clients, silent},
		{30, "n1", second, cut}, {30, second, "n1", cut}, {30, "n1", other, LinkState{}}, {30, "n0", second, LinkState{}},
		{50, "n0", "n1", cut}, {50, "n2", "n1", cut}, {50, "n0", Clients, LinkState{}}, {50, "n0", other, LinkState{}},
	} {
		if got := p.LinkState(time.Duration(c.at*float64(time.Second)), c.from, c.to); got != c.want {
			t.Errorf("%v s, %s to %s: %+v, want %+v", c.at, c.from, c.to, got, c.want)
		}
	}
	cutOff := 0
	for i := range 3 {
		if !p.LinkState(40*time.Second, Sender(i), other).Passes() {
			cutOff++
		}
	}
	if cutOff != 2 {
		t.Errorf("%d of 3 senders are cut off, want 2 for a share of 0.5", cutOff)
	}
	if changes := p.LinkChanges(); len(changes) != 12 || changes[0] != 10*time.Second {
		t.Errorf("links change at %v", changes)
	}
}
