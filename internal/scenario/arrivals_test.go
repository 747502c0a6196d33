package scenario

import (
	"math"
	"testing"
	"time"
)

// The drawn messages match the script's rate, shares, clumps, bursts and hot keys.
func TestTraffic(t *testing.T) {
	count := func(extra string) (n int, byClass, byDest map[int]int, within map[int]int, p *Plan) {
		p = parseWith(t, extra).Plan(3)
		p.Scenario.Length = 600 * time.Second
		byClass, byDest, within = map[int]int{}, map[int]int{}, map[int]int{}
		var last time.Duration
		for a := p.Arrivals(); ; n++ {
			m, ok := a.Next()
			if !ok {
				return
			}
			if m.At < last || m.N != n || m.At > p.Scenario.Length {
				t.Fatalf("%+v after %v", m, last)
			}
			last = m.At
			byClass[m.Class]++
			byDest[m.Dest]++
			within[int(m.At/(100*time.Second))]++
		}
	}
	near := func(name string, got, want, tolerance float64) {
		t.Helper()
		if math.Abs(got-want) > tolerance*want {
			t.Errorf("%s: %g, want %g", name, got, want)
		}
	}
	n, byClass, byDest, _, p := count("")
	near("messages", float64(n), 0.8*47*600, 0.1)
	near("status", float64(byClass[0]), 0.55*float64(n), 0.05)
	large := p.Destinations[0]
	for _, d := range p.Destinations {
		if d.Share > large.Share {
			large = d
		}
	}
	near("the largest destination", float64(byDest[large.Dest]), large.Share*float64(n), 0.15)
	_, _, _, within, _ := count("burst(at = 200, seconds = 100, factor = 2)\n")
	near("a burst", float64(within[2]), 2*float64(within[1]), 0.15)
	_, _, hot, _, _ := count("hot(at = 0, seconds = 600, share = 0.2)\n")
	near("a hot destination", float64(hot[large.Dest])/float64(n), large.Share*0.8+0.2, 0.2)
}
