// Package netfault puts links between processes on loopback addresses: TCP and datagrams pass through them, and each way
// of each pair can be cut, silent, slow, lossy, doubling or out of order, and healed. What passes is not read.
package netfault

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Net is a number of links. What is not set is sound.
type Net struct {
	mu        sync.Mutex
	rng       *rand.Rand
	states    map[direction]State
	rule      func(from, to string) State // of ways that are not set; nil: they are sound
	conns     map[*proxiedConn]bool
	changed   chan struct{} // closed and made anew with each change
	resources []interface{ Close() error }
	closed    bool
	wg        sync.WaitGroup
	counts    map[direction]Count
}

// New returns links that draw their losses from a seed.
func New(seed uint64) *Net {
	return &Net{
		rng: rand.New(rand.NewPCG(seed, 0)), states: map[direction]State{}, conns: map[*proxiedConn]bool{}, changed: make(chan struct{}), counts: map[direction]Count{},
	}
}

// Set ails one way, or heals it by a zero state. Connections that a cut hits break at once.
func (n *Net) Set(from, to string, s State) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.states[direction{from, to}] = s
	n.notifyChanged()
}

// SetBoth is Set in both directions.
func (n *Net) SetBoth(a, b string, s State) {
	n.Set(a, b, s)
	n.Set(b, a, s)
}

// Partition cuts off a group from all others among the names, both ways, by the given state.
func (n *Net) Partition(group, all []string, s State) {
	in := map[string]bool{}
	for _, g := range group {
		in[g] = true
	}
	for _, a := range all {
		for _, b := range all {
			if in[a] != in[b] {
				n.Set(a, b, s)
			}
		}
	}
}

// Heal makes all ways sound.
func (n *Net) Heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.states)
	n.notifyChanged()
}

// Follow has a rule say what ails the ways that are not set. Whoever makes it calls Turn when it says something else.
func (n *Net) Follow(rule func(from, to string) State) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.rule = rule
	n.notifyChanged()
}

// Refresh looks at all ways anew. Connections that a cut hits break at once.
func (n *Net) Refresh() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.notifyChanged()
}

// stateOf is the state of a way; under the lock.
func (n *Net) stateOf(w direction) State {
	s, set := n.states[w]
	if !set && n.rule != nil {
		return n.rule(w.from, w.to)
	}
	return s
}

func (n *Net) notifyChanged() {
	close(n.changed)
	n.changed = make(chan struct{})
	for p := range n.conns {
		if n.stateOf(direction{p.from, p.to}).Cut || n.stateOf(direction{p.to, p.from}).Cut {
			p.reset()
		}
	}
}

// currentState is that of a way, with what tells of the next change.
func (n *Net) currentState(w direction) (State, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.stateOf(w), n.changed
}

// chance is true for a part of the calls.
func (n *Net) chance(part float64) bool {
	if part <= 0 {
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.rng.Float64() < part
}

func (n *Net) randomDelay(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return time.Duration(n.rng.Int64N(int64(d)))
}

func (n *Net) recordPassed(w direction, bytes int, lost bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	c := n.counts[w]
	if lost {
		c.Lost++
	} else {
		c.Bytes, c.Pieces = c.Bytes+int64(bytes), c.Pieces+1
	}
	n.counts[w] = c
}

// Passed tells what has passed one way.
func (n *Net) Passed(from, to string) Count {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.counts[direction{from, to}]
}

// track has something closed with the links. False: they are closed already.
func (n *Net) track(c interface{ Close() error }) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		c.Close()
		return false
	}
	n.resources = append(n.resources, c)
	return true
}

// Close ends all links and waits for what passes through them.
func (n *Net) Close() {
	n.mu.Lock()
	n.closed = true
	for _, c := range n.resources {
		c.Close()
	}
	for p := range n.conns {
		p.reset()
	}
	n.states, n.rule = map[direction]State{}, nil
	close(n.changed)
	n.changed = make(chan struct{})
	n.mu.Unlock()
	n.wg.Wait()
}
