package scenario

import (
	"errors"
	"strings"
	"testing"
	"time"

	"cleathold/internal/settings"
)

// What ails a way at a time: who is meant, which direction, and what began last.
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
	other, second := p.Dests[0].Endpoints[0].ID, p.Dests[1].Endpoints[0].ID
	for _, c := range []struct {
		at       float64
		from, to string
		want     LinkState
	}{
		{9.9, "n0", "n1", LinkState{}}, {10, "n0", "n1", cut}, {10, "n1", "n0", cut}, {14.9, "clients", "n0", cut}, {12, "n1", "n2", LinkState{}}, {15, "n0", "n1", LinkState{}},
		{20, "n0", Clients, silent}, {20, Clients, "n0", LinkState{}}, {20, "n2", Discovery, silent}, {20, "n1", Discovery, LinkState{}}, {20, "n0", "n1", LinkState{}},
		{22, "n0", Clients, LinkState{Delay: 250 * time.Millisecond, Jitter: 500 * time.Millisecond, Loss: 0.5}}, {23, "n0", Clients, silent},
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
		t.Errorf("%d of 3 senders are half of them", cutOff)
	}
	if changes := p.LinkChanges(); len(changes) != 12 || changes[0] != 10*time.Second {
		t.Errorf("ways change at %v", changes)
	}
}

// Deeds of a share of the senders: so many, each once, over so long.
func TestActionsOnShare(t *testing.T) {
	p := parseWith(t, `
sender(share = 0.7, at = 10, what = "stop", seconds = 4, spread = 2)
sender(number = 1, at = 30, what = "retune", slots = 0.5)
`).Plan(3)
	seen := map[int]bool{}
	for _, d := range p.Actions[:2] {
		seen[d.Sender] = true
		if d.At < 10*time.Second || d.At > 12*time.Second || d.Until-d.At != 4*time.Second {
			t.Errorf("%+v", d)
		}
	}
	if len(seen) != 2 || len(p.Actions) != 3 || p.Actions[2].InFlight != 0.5 || p.Actions[2].OpenMessages != 1 || p.Actions[0].At == p.Actions[1].At {
		t.Errorf("%+v", p.Actions)
	}
}

func TestLinkAndActionErrors(t *testing.T) {
	for _, c := range []struct{ text, want string }{
		{`link(at = 1, seconds = 1, of = "n3", what = "CUT")`, `link: no party "n3"`},
		{`link(at = 1, seconds = 1, of = "n01", what = "CUT")`, `link: no party "n01"`},
		{`link(at = 1, seconds = 1, of = ["n0", "partners/x"], what = "CUT")`, `link: no party "partners/x"`},
		{`link(at = 1, seconds = 1, of = "n0")`, "nothing ails it"},
		{`link(at = 1, seconds = 1, of = "n0", what = "ODD")`, `what: "ODD" is neither`},
		{`link(at = 1, seconds = 1, of = "n0", loss = 1.5)`, "loss: a part from 0 to 1"},
		{`link(at = 1, seconds = 1, of = "n0", delay = 100)`, "delay and jitter: 1m0s together at most"},
		{`link(at = 1, of = "n0", what = "CUT")`, "seconds above 0"},
		{`link(at = 1, seconds = 1, what = "CUT")`, "either of, or a share"},
		{`link(at = 1, seconds = 1, of = 7, what = "CUT")`, "of: got int"},
		{`parts(at = 1, seconds = 1, parts = 1, what = "CUT")`, "two parts at least"},
		{`parts(at = 1, seconds = 1, parts = 4, what = "CUT")`, "parts: 4 of 3 senders"},
		{`sender(number = 1, share = 0.5, at = 1, what = "kill")`, "either a number, or a share"},
		{`sender(number = 1, at = 1, what = "stop")`, "a stop needs its seconds"},
		{`sender(number = 1, at = 1, what = "kill", seconds = 1)`, "seconds: a kill takes none"},
		{`sender(number = 1, at = 1, what = "kill", slots = 2)`, "a kill takes none"},
		{`sender(number = 1, at = 1, what = "retune", slots = 0)`, "multiples above 0"},
		{`sender(number = 1, at = 1, what = "odd")`, `"odd" is none of activate, drain, hup, kill`},
	} {
		_, err := Parse("s.star", []byte(libraryScript(t)+c.text+"\n"), nil)
		var own *settings.Error
		if !errors.As(err, &own) || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: %v, want %s", c.text, err, c.want)
		}
	}
}
