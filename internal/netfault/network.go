package netfault

import (
	"io"
	"math/rand/v2"
	"sync"
	"time"
)

// Net is a network of proxied links between named parties. A direction whose state is not set has no faults, unless a
// rule is set. It is safe for concurrent use.
type Net struct {
	wg sync.WaitGroup // all goroutines that serve links

	mu      sync.Mutex
	rng     *rand.Rand
	states  map[direction]State
	rule    func(from, to string) State // state of directions that are not in states; nil = no faults
	conns   map[*proxiedConn]bool
	changed chan struct{} // closed and replaced whenever states or the rule change
	closers []io.Closer   // closed by Close
	closed  bool
	counts  map[direction]Count
}

// New returns a network. Its delays and losses are drawn from a random generator with the given seed. The caller must
// call Close.
func New(seed uint64) *Net {
	return &Net{
		rng:     rand.New(rand.NewPCG(seed, 0)),
		states:  map[direction]State{},
		conns:   map[*proxiedConn]bool{},
		changed: make(chan struct{}),
		counts:  map[direction]Count{},
	}
}

// Set sets the state of one direction; the zero state means no faults. Connections through a direction that is cut are
// reset at once.
func (n *Net) Set(from, to string, s State) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.states[direction{from, to}] = s
	n.applyChange()
}

// SetBoth sets the state of both directions between two parties.
func (n *Net) SetBoth(a, b string, s State) {
	n.Set(a, b, s)
	n.Set(b, a, s)
}

// Partition sets the state of both directions between each party in group and each other party in all.
func (n *Net) Partition(group, all []string, s State) {
	inGroup := map[string]bool{}
	for _, name := range group {
		inGroup[name] = true
	}
	for _, a := range all {
		for _, b := range all {
			if inGroup[a] != inGroup[b] {
				n.Set(a, b, s)
			}
		}
	}
}

// Heal discards the states set by Set, SetBoth and Partition. A rule remains in effect.
func (n *Net) Heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.states)
	n.applyChange()
}

// SetRule sets a function that returns the states of the directions that are not set explicitly. The function is called
// while the network's lock is held. The caller must call Refresh whenever the returned states change.
func (n *Net) SetRule(rule func(from, to string) State) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.rule = rule
	n.applyChange()
}

// Refresh applies changed states of the rule. Connections through a direction that is cut are reset at once.
func (n *Net) Refresh() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.applyChange()
}

// Counts returns the counters of one direction.
func (n *Net) Counts(from, to string) Count {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.counts[direction{from, to}]
}

// Close closes all links and waits for the goroutines that serve them. Datagrams that are still delayed are lost.
func (n *Net) Close() {
	n.mu.Lock()
	n.closed = true
	for _, c := range n.closers {
		c.Close()
	}
	for c := range n.conns {
		c.reset()
	}
	n.states, n.rule = map[direction]State{}, nil
	n.wakeWaiters()
	n.mu.Unlock()
	n.wg.Wait()
}

// stateOf returns the state of a direction. The caller must hold n.mu.
func (n *Net) stateOf(d direction) State {
	s, set := n.states[d]
	if !set && n.rule != nil {
		return n.rule(d.from, d.to)
	}
	return s
}

// currentState returns the state of a direction, and a channel that is closed at the next change of any direction.
func (n *Net) currentState(d direction) (State, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.stateOf(d), n.changed
}

// applyChange resets connections that are cut now, and wakes all goroutines that wait for a change. The caller must
// hold n.mu.
func (n *Net) applyChange() {
	n.wakeWaiters()
	for c := range n.conns {
		if n.stateOf(c.forward()).Cut || n.stateOf(c.back()).Cut {
			c.reset()
		}
	}
}

func (n *Net) wakeWaiters() {
	close(n.changed)
	n.changed = make(chan struct{})
}

// randomBool returns true with the given probability.
func (n *Net) randomBool(probability float64) bool {
	if probability <= 0 {
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.rng.Float64() < probability
}

// randomDelay returns a random delay that is less than bound.
func (n *Net) randomDelay(bound time.Duration) time.Duration {
	if bound <= 0 {
		return 0
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return time.Duration(n.rng.Int64N(int64(bound)))
}

func (n *Net) recordPassed(d direction, bytes int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	c := n.counts[d]
	c.Bytes, c.Chunks = c.Bytes+int64(bytes), c.Chunks+1
	n.counts[d] = c
}

func (n *Net) recordLost(d direction) {
	n.mu.Lock()
	defer n.mu.Unlock()
	c := n.counts[d]
	c.Lost++
	n.counts[d] = c
}

// track registers a closer that Close closes. If the network is already closed, it closes c at once and returns false.
func (n *Net) track(c io.Closer) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		c.Close()
		return false
	}
	n.closers = append(n.closers, c)
	return true
}
